//! A customer's token bucket: its tokens and what is left under the hard limit, what fills it, what peers
//! were heard to use, and what is on lease. Arithmetic only; who gets what is decided in the policy.

use super::lease::{Lease, LeaseLedger};
use super::peer_usage::{PeerUsage, USAGE_WINDOW};
use super::permits::ConcurrencyPermits;
use crate::message::ReturnedLease;
use crate::settings::{HardLimit, Plan};
use crate::time::{DurationExt, Timestamp};
use crate::types::{GatewayId, GatewaySet, PlanId};
use crate::units::Units;
use std::collections::BTreeMap;
use std::time::Duration;

/// µs without a request for which a bucket is kept at the least.
const MIN_IDLE: Duration = Duration::from_secs(60);
const MICROS_PER_SECOND: f64 = 1e6;

/// What a customer's token bucket is made from.
#[derive(Clone, Copy)]
pub(crate) struct BucketConfig<'a> {
    pub(crate) plan_id: PlanId,
    pub(crate) plan: &'a Plan,
    /// The gateways that the customer's requests come through.
    pub(crate) gateways: GatewaySet,
    /// Units of the largest request.
    pub(crate) max_request_units: Units,
}

/// A customer's token bucket, or the part of it that a quota owner keeps.
#[derive(Default)]
pub(crate) struct TokenBucket {
    pub(crate) plan: PlanId,
    /// First of the customer's gateways, and how many there are.
    pub(crate) first_gateway: GatewayId,
    pub(crate) gateway_count: f64,
    pub(crate) capacity: Units,
    pub(crate) tokens: Units,
    pub(crate) refilled_at: Timestamp,
    /// Requests on end that named another plan or gateway set.
    pub(crate) conflicting_hints: u32,
    /// When a request last consumed from it.
    pub(crate) used_at: Timestamp,
    /// Units that requests consumed of late: those of the longest lease in the mean, also where a hard limit
    /// makes it shorter.
    pub(crate) recent_demand: Units,
    /// Units that an owner has granted ahead of the requests that will use them.
    pub(crate) lease: Lease,
    /// As an owner: what is on lease to others.
    ledger: LeaseLedger,
    /// Running count of the units forwarded here, and when it last rose.
    pub(crate) forwarded_units: Units,
    pub(crate) forwarded_at: Timestamp,
    pub(crate) in_flight: u32,
    peers: BTreeMap<GatewayId, PeerUsage>,
    pub(crate) hard_limit_tokens: Units,
    /// What part of the quota and of the hard limit is kept here.
    pub(crate) share: f64,
    pub(crate) hard_limit_share: f64,
    /// µs for which grants may be used: so much of the hard limit's refill is kept back.
    pub(crate) grant_lifetime: Duration,
    /// As an owner: permits of the limit on attempts in flight.
    pub(crate) permits: ConcurrencyPermits,
    /// As an owner: lease requests in about a second.
    pub(crate) lease_request_rate: f64,
    /// The share of requests that may request a lease, and when an owner last set it.
    pub(crate) lease_request_probability: f64,
    pub(crate) probability_set_at: Timestamp,
}

impl TokenBucket {
    /// A bucket that has not been used for `unused`. It holds the whole burst: with only the even part at
    /// first, what is missing would stay missing for a customer that uses nearly all, and peers' usage is
    /// heard soon enough. Its part of the hard limit holds what has come in over `unused` alone, as it may
    /// have been used up before.
    pub(crate) fn new(now: Timestamp, unused: Duration, config: BucketConfig<'_>) -> Self {
        let gateway_count = f64::from(config.gateways.count.max(1));
        let capacity = (config.plan.burst.divided_by(gateway_count)).max(config.max_request_units);
        let mut bucket = TokenBucket {
            plan: config.plan_id,
            first_gateway: config.gateways.first,
            gateway_count,
            capacity,
            tokens: config.plan.burst.max(capacity),
            refilled_at: now,
            share: 1.0,
            hard_limit_share: 1.0 / gateway_count,
            lease_request_probability: 1.0,
            ..TokenBucket::default()
        };
        bucket.refill_hard_limit(config.plan, unused.as_seconds());
        bucket
    }

    /// An owner's part of the bucket, full, with nothing under its part of the hard limit.
    pub(crate) fn into_part(
        self,
        config: BucketConfig<'_>,
        share: f64,
        hard_limit_share: f64,
        grant_lifetime: Duration,
    ) -> Self {
        let capacity = (config.plan.burst * share).max(config.max_request_units);
        TokenBucket {
            share,
            hard_limit_share,
            grant_lifetime,
            capacity,
            tokens: capacity,
            ..self
        }
    }

    /// The gateways that the customer's requests come through.
    pub(crate) fn gateways(&self) -> GatewaySet {
        GatewaySet {
            first: self.first_gateway,
            count: self.gateway_count as u32,
        }
    }

    /// Whether it stands for this plan and these gateways.
    pub(crate) fn matches(&self, plan: PlanId, gateways: GatewaySet) -> bool {
        self.plan == plan
            && self.first_gateway == gateways.first
            && self.gateway_count == f64::from(gateways.count)
    }

    /// Goes over to another plan or gateway set. Nothing is gained by that, and what is in flight or has been
    /// announced to peers stays so.
    pub(crate) fn reconfigure(&mut self, fresh: TokenBucket, hard_limit_tokens: Units) {
        *self = TokenBucket {
            tokens: self.tokens.min(fresh.tokens),
            hard_limit_tokens,
            in_flight: self.in_flight,
            forwarded_units: self.forwarded_units,
            forwarded_at: self.forwarded_at,
            peers: std::mem::take(&mut self.peers),
            ..fresh
        };
    }

    /// Refills at the plan's rate, less the share of the customer's gateways that are `silent`.
    pub(crate) fn refill(&mut self, now: Timestamp, plan: &Plan, silent: f64) {
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let units_per_second = self.share * plan.rate * (1.0 - silent / self.gateway_count);
        let refill = Units::refilled(units_per_second, seconds);
        self.tokens = (self.tokens + refill).min(self.max_tokens(plan));
        self.refill_hard_limit(plan, seconds);
    }

    fn max_tokens(&self, plan: &Plan) -> Units {
        (plan.burst * self.share).max(self.capacity)
    }

    /// A fixed share of the hard limit, empty at first, depends on no message and so holds through losses and
    /// restarts; the price is paid where nearly all comes in through one gateway.
    fn refill_hard_limit(&mut self, plan: &Plan, seconds: f64) {
        if let Some(limit) = plan.hard_limit {
            let refill = Units::refilled(limit.rate * self.hard_limit_share, seconds);
            self.hard_limit_tokens =
                (self.hard_limit_tokens + refill).min(self.max_hard_limit_tokens(&limit));
        }
    }

    /// An owner keeps back what is refilled while its grants and leases may be used: they are void after
    /// that, so that what is used late adds up to no more than the whole capacity.
    fn max_hard_limit_tokens(&self, limit: &HardLimit) -> Units {
        let kept_back =
            Units::new(limit.rate * self.grant_lifetime.as_micros_f64() / MICROS_PER_SECOND);
        (limit.capacity - kept_back) * self.hard_limit_share
    }

    /// Takes part of the quota and of the hard limit for use at once.
    pub(crate) fn consume(&mut self, units: Units) {
        self.tokens -= units;
        self.hard_limit_tokens -= units;
    }

    /// Notes what a request asks for; earlier demand decays over `window` µs.
    pub(crate) fn record_demand(&mut self, now: Timestamp, units: Units, window: Duration) {
        let idle = now.micros_since(self.used_at);
        self.used_at = now;
        self.recent_demand = self.recent_demand * (-idle / window.as_micros_f64()).exp() + units;
    }

    /// One more attempt of the customer is in flight here. The units of a first one are announced to peers.
    pub(crate) fn attempt_sent(&mut self, now: Timestamp, units: Units, first: bool) {
        self.in_flight += 1;
        if first {
            self.forwarded_units += units;
            self.forwarded_at = now;
            self.hard_limit_tokens -= units;
        }
    }

    /// One attempt fewer is in flight.
    pub(crate) fn attempt_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// What a peer has been heard to use.
    pub(crate) fn peer_usage(&mut self, peer: GatewayId) -> &mut PeerUsage {
        self.peers.entry(peer).or_default()
    }

    /// Units a second that the peers were heard to use.
    pub(crate) fn peer_rate(&mut self, now: Timestamp) -> f64 {
        let units: Units = self
            .peers
            .values_mut()
            .fold(Units::ZERO, |sum, peer| sum + peer.recent_units(now));
        units.as_f64() / USAGE_WINDOW.as_seconds()
    }

    /// µs until it is likely to hold `units`. What a request consumes is off the tokens already, and comes
    /// back if it was never sent.
    pub(crate) fn time_until_available(&self, plan: &Plan, units: Units) -> f64 {
        let quota = if plan.rate > 0.0 {
            refill_time(-self.tokens, plan.rate * self.share)
        } else {
            0.0
        };
        let hard_limit = plan.hard_limit.map_or(0.0, |limit| {
            refill_time(
                units - self.hard_limit_tokens,
                limit.rate * self.hard_limit_share,
            )
        });
        quota.max(hard_limit)
    }

    /// As an owner: grants units on lease; they count as used until they come back.
    pub(crate) fn grant_lease(&mut self, to: GatewayId, sequence: u16, units: Units) {
        self.consume(units);
        self.ledger.grant(to, sequence, units);
    }

    /// As an owner: takes back what is left of a gateway's lease.
    pub(crate) fn reclaim(&mut self, from: GatewayId, returned: ReturnedLease) {
        if let Some(units) = self.ledger.reclaim(from, returned) {
            self.tokens += units;
            self.hard_limit_tokens += units;
        }
    }

    /// Whether dropping it neither gains nor loses anything: it has stood unused, and is full. `silent`
    /// counts the silent ones of the customer's gateways.
    pub(crate) fn is_idle(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        silent: impl Fn(GatewaySet) -> f64,
    ) -> bool {
        if self.in_flight > 0 || now.duration_since(self.used_at) < MIN_IDLE {
            return false;
        }
        self.refill(now, plan, silent(self.gateways()));
        self.permits.drop_expired(now);
        let limit_full =
            |limit: &HardLimit| self.hard_limit_tokens >= self.max_hard_limit_tokens(limit);
        let hard_limit_full = plan.hard_limit.as_ref().is_none_or(limit_full);
        let tokens_full = plan.rate <= 0.0 || self.tokens >= self.max_tokens(plan);
        hard_limit_full && tokens_full && self.permits.in_use() == 0 && self.peer_rate(now) <= 0.0
    }
}

/// µs that a missing amount takes at a rate a second.
fn refill_time(missing: Units, rate: f64) -> f64 {
    if missing > Units::ZERO {
        missing.seconds_at(rate.max(f64::EPSILON)) * MICROS_PER_SECOND
    } else {
        0.0
    }
}

#[cfg(test)]
#[path = "../../tests/unit/token_bucket.rs"]
mod tests;
