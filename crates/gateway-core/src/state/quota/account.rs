//! A customer's account at this gateway.

use super::forwarded_usage::ForwardedUsage;
use super::hard_limit_bucket::{refill_time_us, HardLimitBucket};
use super::held_lease::HeldLease;
use super::peer_usage::PeerUsages;
use super::token_bucket::TokenBucket;
use super::MIN_IDLE;
use crate::message::{usage_count_of, ReturnedLease};
use crate::settings::Plan;
use crate::time::{DurationExt, Timestamp};
use crate::types::{GatewayId, GatewaySet, PlanId};
use crate::units::Units;
use std::time::Duration;

/// What a customer's account is made from.
#[derive(Clone, Copy)]
pub(crate) struct AccountConfig<'a> {
    /// The plan that the customer's requests name.
    pub(crate) plan_id: PlanId,
    /// Its limits.
    pub(crate) plan: &'a Plan,
    /// The gateways that the customer's requests come through.
    pub(crate) gateways: GatewaySet,
    /// Units of the largest request.
    pub(crate) max_request_units: Units,
}

/// The probability with which a customer's requests may ask its quota owners, as an owner last set
/// it.
#[derive(Clone, Copy)]
pub(crate) struct LeaseRequestProbability {
    /// The probability, 0 to 1.
    pub(crate) value: f64,
    /// When an owner set it.
    pub(crate) updated_at: Timestamp,
}

/// A customer's usage as it is announced to peers.
pub(super) struct AnnouncedUsage {
    /// The running usage count.
    pub(super) count: u16,
    /// When it last rose.
    pub(super) last_risen_at: Timestamp,
}

/// What a customer may use at this gateway, what it has used here, and what peers have used.
pub(crate) struct CustomerAccount {
    plan: PlanId,
    gateways: GatewaySet,
    /// What remains of the quota here.
    quota: TokenBucket,
    /// What remains of this gateway's part of the hard limit.
    hard_limit: HardLimitBucket,
    refilled_at: Timestamp,
    /// When a request last arrived.
    last_used_at: Timestamp,
    /// Consecutive requests that named another plan or gateway set.
    conflicting_hints: u32,
    /// Units that requests asked for recently, as a sum that decays.
    recent_demand: Units,
    held_lease: HeldLease,
    /// When a lease was last requested.
    lease_requested_at: Timestamp,
    lease_request_probability: LeaseRequestProbability,
    forwarded: ForwardedUsage,
    attempts_in_flight: u32,
    peers: PeerUsages,
}

impl CustomerAccount {
    /// An account that has not been used for `unused`.
    ///
    /// Its bucket holds the whole burst: with only the even part at first, the rest would stay
    /// missing for a customer that uses nearly all of its quota, and peers' usage is received soon
    /// enough. Its part of the hard limit holds only what has come in over `unused`, as it may have
    /// been used up before.
    pub(crate) fn new(now: Timestamp, unused: Duration, config: AccountConfig<'_>) -> Self {
        let gateways = GatewaySet {
            count: config.gateways.count.max(1),
            ..config.gateways
        };
        let gateway_count = f64::from(gateways.count);
        let burst = config.plan.burst;
        let even_burst = burst
            .divided_by(gateway_count)
            .max(config.max_request_units);
        let mut hard_limit = HardLimitBucket::empty(1.0 / gateway_count, Duration::ZERO);
        if let Some(limit) = &config.plan.hard_limit {
            hard_limit.refill(limit, unused.as_seconds());
        }
        CustomerAccount {
            plan: config.plan_id,
            gateways,
            quota: TokenBucket::new(burst.max(even_burst), even_burst),
            hard_limit,
            refilled_at: now,
            last_used_at: Timestamp::EPOCH,
            conflicting_hints: 0,
            recent_demand: Units::ZERO,
            held_lease: HeldLease::default(),
            lease_requested_at: Timestamp::EPOCH,
            lease_request_probability: LeaseRequestProbability {
                value: 1.0,
                updated_at: Timestamp::EPOCH,
            },
            forwarded: ForwardedUsage::default(),
            attempts_in_flight: 0,
            peers: PeerUsages::default(),
        }
    }

    /// The plan that it stands for.
    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// The gateways that the customer's requests come through; at least one.
    pub(crate) fn gateways(&self) -> GatewaySet {
        self.gateways
    }

    /// Notes which plan and gateways a request names. Returns how many consecutive requests have
    /// named others than this account's.
    pub(crate) fn record_hint(&mut self, plan: PlanId, gateways: GatewaySet) -> u32 {
        if self.plan == plan && self.gateways == gateways {
            self.conflicting_hints = 0;
        } else {
            self.conflicting_hints += 1;
        }
        self.conflicting_hints
    }

    /// Goes over to another plan or gateway set. Nothing is gained by that, and what is in flight
    /// or has been announced to peers stays so.
    pub(crate) fn reconfigure(&mut self, mut fresh: CustomerAccount, hard_limit_tokens: Units) {
        fresh.quota.limit_tokens(self.quota.tokens());
        fresh.hard_limit.set_tokens(hard_limit_tokens);
        *self = CustomerAccount {
            attempts_in_flight: self.attempts_in_flight,
            forwarded: self.forwarded,
            peers: std::mem::take(&mut self.peers),
            ..fresh
        };
    }

    /// Refills at the plan's rate, less the even part of the customer's gateways that are silent.
    pub(crate) fn refill(&mut self, now: Timestamp, plan: &Plan, silent_gateways: f64) {
        let seconds = now.seconds_since(self.refilled_at);
        self.refilled_at = now;
        let units_per_second = plan.rate * (1.0 - silent_gateways / self.gateway_count());
        self.quota
            .refill(Units::refilled(units_per_second, seconds), plan.burst);
        if let Some(limit) = &plan.hard_limit {
            self.hard_limit.refill(limit, seconds);
        }
    }

    /// How many gateways the customer has, to calculate with.
    pub(crate) fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.count)
    }

    /// Tokens of the quota; negative if it is in debt.
    pub(crate) fn quota_tokens(&self) -> Units {
        self.quota.tokens()
    }

    /// Units that this gateway's part of the hard limit still allows.
    pub(crate) fn hard_limit_tokens(&self) -> Units {
        self.hard_limit.tokens()
    }

    /// The part of a plan's burst that is not this gateway's own.
    pub(crate) fn excess_burst(&self, plan: &Plan) -> Units {
        plan.burst - self.quota.burst_capacity()
    }

    /// Leaves only this gateway's own part of the burst in a new account.
    pub(crate) fn limit_to_even_burst(&mut self) {
        let even_burst = self.quota.burst_capacity();
        self.quota.limit_tokens(even_burst);
    }

    /// Takes all but this gateway's own part of the burst.
    pub(crate) fn drain_excess_burst(&mut self, plan: &Plan) {
        let excess = self.excess_burst(plan).max(Units::ZERO);
        self.quota.drain(excess);
    }

    /// Notes what a request asks for; earlier demand decays over `window`.
    pub(crate) fn record_demand(&mut self, now: Timestamp, units: Units, window: Duration) {
        let idle_us = now.micros_since(self.last_used_at);
        self.last_used_at = now;
        self.recent_demand = self.recent_demand * (-idle_us / window.as_micros_f64()).exp() + units;
    }

    /// Units that requests asked for recently: those of one window, in the mean.
    pub(crate) fn recent_demand(&self) -> Units {
        self.recent_demand
    }

    /// Charges a request's units to the quota.
    pub(crate) fn charge(&mut self, units: Units) {
        self.quota.take(units);
    }

    /// Returns the units of a request that was never sent.
    pub(crate) fn refund(&mut self, units: Units) {
        self.quota.put_back(units);
    }

    /// One more attempt is in flight here. The units of a request's first attempt are announced to
    /// peers, and are charged to the hard limit.
    pub(crate) fn record_attempt_sent(&mut self, now: Timestamp, units: Units, is_first: bool) {
        self.attempts_in_flight += 1;
        if is_first {
            self.forwarded.record(now, units);
            self.hard_limit.take(units);
        }
    }

    /// One attempt fewer is in flight.
    pub(crate) fn record_attempt_finished(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    /// Attempts in flight here.
    pub(crate) fn attempts_in_flight(&self) -> u32 {
        self.attempts_in_flight
    }

    /// Takes in a peer's usage count: what it has risen by is drained from the quota. The account
    /// must have been refilled up to now.
    pub(crate) fn merge_peer_usage(
        &mut self,
        now: Timestamp,
        peer: GatewayId,
        incarnation: u32,
        count: u16,
    ) {
        let units = self.peers.merge(now, peer, incarnation, count);
        if units > Units::ZERO {
            self.quota.drain(units);
        }
    }

    /// Units a second that peers have forwarded recently.
    pub(crate) fn peer_units_per_second(&mut self, now: Timestamp) -> f64 {
        self.peers.units_per_second(now)
    }

    /// The usage to announce to peers, if the customer's requests come through other gateways too
    /// and it rose within `max_age`.
    pub(super) fn announced_usage(
        &self,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<AnnouncedUsage> {
        let has_peers = self.gateways.count > 1;
        let is_announced = has_peers && self.forwarded.has_risen_within(max_age, now);
        is_announced.then(|| AnnouncedUsage {
            count: usage_count_of(self.forwarded.units()),
            last_risen_at: self.forwarded.last_risen_at(),
        })
    }

    /// The lease that this gateway holds for the customer.
    pub(crate) fn held_lease(&self) -> &HeldLease {
        &self.held_lease
    }

    /// Uses units of the held lease, if it covers them; returns until when they may be used.
    pub(crate) fn consume_lease(&mut self, now: Timestamp, units: Units) -> Option<Timestamp> {
        self.held_lease.consume(now, units)
    }

    /// When a lease was last requested.
    pub(crate) fn lease_requested_at(&self) -> Timestamp {
        self.lease_requested_at
    }

    /// Notes that a lease is requested now from the owner of that index. Returns the rest of the
    /// held lease.
    pub(crate) fn record_lease_request(
        &mut self,
        now: Timestamp,
        owner_index: u32,
    ) -> ReturnedLease {
        self.lease_requested_at = now;
        self.held_lease.give_back(owner_index)
    }

    /// Replaces the held lease by a new one.
    pub(crate) fn hold_lease(&mut self, lease: HeldLease) {
        self.held_lease = lease;
    }

    /// The probability that an owner last set.
    pub(crate) fn lease_request_probability(&self) -> LeaseRequestProbability {
        self.lease_request_probability
    }

    /// Notes the probability that an owner has set now.
    pub(crate) fn set_request_probability(&mut self, now: Timestamp, value: f64) {
        self.lease_request_probability = LeaseRequestProbability {
            value,
            updated_at: now,
        };
    }

    /// Microseconds until it is likely to cover a request of so many units, which have been charged
    /// to the quota already and are returned if the request is never sent.
    pub(crate) fn time_until_available_us(&self, plan: &Plan, units: Units) -> f64 {
        let quota_us = if plan.has_quota() {
            refill_time_us(-self.quota.tokens(), plan.rate)
        } else {
            0.0
        };
        let hard_limit_us = plan
            .hard_limit
            .as_ref()
            .map_or(0.0, |limit| self.hard_limit.time_until_us(units, limit));
        quota_us.max(hard_limit_us)
    }

    /// Whether dropping it neither gains nor loses anything: it has long been unused, and is full.
    pub(crate) fn is_idle(&mut self, now: Timestamp, plan: &Plan, silent_gateways: f64) -> bool {
        if !self.is_unused(now) {
            return false;
        }
        self.refill(now, plan, silent_gateways);
        let hard_limit = plan.hard_limit.as_ref();
        let is_hard_limit_full = hard_limit.is_none_or(|limit| self.hard_limit.is_full(limit));
        let is_quota_full = !plan.has_quota() || self.quota.is_full(plan.burst);
        is_hard_limit_full && is_quota_full && self.peer_units_per_second(now) <= 0.0
    }

    /// Whether it has not been used for long, and nothing is in flight.
    pub(super) fn is_unused(&self, now: Timestamp) -> bool {
        self.attempts_in_flight == 0 && now.duration_since(self.last_used_at) >= MIN_IDLE
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/customer_account.rs"]
mod tests;
