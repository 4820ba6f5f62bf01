//! What a gateway keeps of its customers' quotas, and of the gateways that own them.

use super::token_bucket::TokenBucket;
use crate::message::{usage_count_of, UsageCount};
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, GatewaySet, RequestId};
use crate::units::Units;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// A quota owner that did not answer.
#[derive(Clone, Copy, Default)]
pub(crate) struct OwnerMisses {
    /// Lease requests on end without an answer.
    pub(crate) count: u32,
    /// Until when it is passed over, if there were enough of them.
    pub(crate) cooldown_until: Timestamp,
}

impl OwnerMisses {
    /// One more lease request had no answer.
    pub(crate) fn record(&mut self, cooldown_until: Timestamp) {
        self.count += 1;
        self.cooldown_until = cooldown_until;
    }
}

/// Quotas as this gateway sees them.
pub(crate) struct QuotaState {
    /// When this gateway started.
    pub(crate) started_at: Timestamp,
    /// Whether peers have been up for much longer: this gateway has been restarted.
    pub(crate) restarted_recently: bool,
    /// This gateway's own bucket of each customer.
    pub(crate) local: BTreeMap<CustomerId, TokenBucket>,
    /// The buckets, or parts of them, that it keeps as a quota owner.
    pub(crate) owned: BTreeMap<CustomerId, TokenBucket>,
    /// Requests that wait for the answer to a lease request, by its sequence number.
    pub(crate) pending: BTreeMap<u16, RequestId>,
    last_sequence: u16,
    /// Owners that did not answer of late.
    pub(crate) unresponsive: BTreeMap<GatewayId, OwnerMisses>,
    /// When each gateway's usage was last heard; the own entry lies in the future for ever.
    pub(crate) last_heard: Vec<Timestamp>,
}

impl QuotaState {
    pub(crate) fn new(now: Timestamp, this_gateway: GatewayId, gateway_count: u32) -> Self {
        let mut last_heard = vec![now; gateway_count as usize];
        last_heard[this_gateway.0 as usize] = Timestamp::MAX;
        QuotaState {
            started_at: now,
            restarted_recently: false,
            local: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_sequence: 0,
            unresponsive: BTreeMap::new(),
            last_heard,
        }
    }

    /// How long this gateway has been up.
    pub(crate) fn uptime(&self, now: Timestamp) -> Duration {
        now.duration_since(self.started_at)
    }

    /// This gateway's incarnation, as sent to peers: when it started, in ms.
    pub(crate) fn incarnation(&self) -> u32 {
        self.started_at.as_incarnation()
    }

    /// The sequence number of the next lease request.
    pub(crate) fn next_sequence(&mut self) -> u16 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Running counts of what was forwarded here: of customers with peers that were busy
    /// within `max_age` µs, the latest first.
    pub(crate) fn usage_counts(&self, now: Timestamp, max_age: Duration) -> Vec<UsageCount> {
        let is_told = |bucket: &TokenBucket| {
            bucket.forwarded_units > Units::ZERO
                && bucket.gateway_count > 1.0
                && now <= bucket.forwarded_at + max_age
        };
        let mut busy: Vec<_> = self
            .local
            .iter()
            .filter(|(_, bucket)| is_told(bucket))
            .collect();
        busy.sort_by_key(|(customer, bucket)| (Reverse(bucket.forwarded_at), **customer));
        let usage_count = |(customer, bucket): (&CustomerId, &TokenBucket)| {
            let count = usage_count_of(bucket.forwarded_units);
            UsageCount {
                customer: *customer,
                count,
            }
        };
        busy.into_iter().map(usage_count).collect()
    }
}

/// How many of a customer's gateways have been silent for a time within `range`, in µs.
pub(crate) fn silent_gateways(
    last_heard: &[Timestamp],
    gateways: GatewaySet,
    now: Timestamp,
    range: Range<Duration>,
) -> f64 {
    let first = gateways.first.0 as usize;
    let members = (0..gateways.count as usize).map(|step| (first + step) % last_heard.len());
    let silence = members.map(|member| now.duration_since(last_heard[member]));
    silence.filter(|silence| range.contains(silence)).count() as f64
}
