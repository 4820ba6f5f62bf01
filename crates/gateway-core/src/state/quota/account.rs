//! A customer's account at this gateway: its quota, hard limit, held lease and usage.

use super::forwarded_usage::ForwardedUsage;
use super::hard_limit_bucket::{refill_time_us, HardLimitBucket};
use super::held_lease::HeldLease;
use super::peer_usage::PeerUsages;
use super::token_bucket::TokenBucket;
use crate::message::{usage_count_of, ReturnedLease};
use crate::settings::Plan;
use crate::time::{DurationExt, Timestamp};
use crate::types::{GatewayId, GatewaySet, PlanId};
use crate::units::Units;
use std::time::Duration;

/// The parameters from which a customer's account is created.
#[derive(Clone, Copy)]
pub(crate) struct AccountConfig<'a> {
    /// The plan that the customer's requests name.
    pub(crate) plan_id: PlanId,
    pub(crate) plan: &'a Plan,
    /// The gateways that the customer's requests come through.
    pub(crate) gateways: GatewaySet,
    /// Units of the largest request that clients may send.
    pub(crate) max_request_units: Units,
}

/// The probability with which a customer's requests may ask its quota owners, as most recently set
/// by an owner.
#[derive(Clone, Copy)]
pub(crate) struct LeaseRequestProbability {
    /// The probability, from 0 to 1.
    pub(crate) value: f64,
    /// When an owner set the probability; the epoch if none has.
    pub(crate) updated_at: Timestamp,
}

/// Units that a customer's account needs for a request, beyond those that have been charged for it.
#[derive(Clone, Copy)]
pub(crate) struct MissingUnits {
    /// Units of the quota.
    pub(crate) quota: Units,
    /// Units of the hard limit.
    pub(crate) hard_limit: Units,
}

/// A customer's usage as announced to peers.
pub(super) struct AnnouncedUsage {
    /// The running usage count.
    pub(super) count: u16,
    /// When the count last increased.
    pub(super) last_increased_at: Timestamp,
}

/// The units that a customer may use at this gateway, has used here, and has used at peers.
pub(crate) struct CustomerAccount {
    plan: PlanId,
    gateways: GatewaySet,
    /// The tokens of the quota that remain at this gateway.
    quota: TokenBucket,
    /// The units that remain of this gateway's part of the hard limit.
    hard_limit: HardLimitBucket,
    /// When the quota and the hard limit were last refilled.
    refilled_at: Timestamp,
    /// When the units will have been refilled for which rejected clients were told to return; in the
    /// past if there are none.
    promised_until: Timestamp,
    /// When a request of the customer last arrived.
    last_used_at: Timestamp,
    /// Number of consecutive requests that named a different plan or gateway set.
    conflicting_hints: u32,
    /// Units that requests asked for recently: a sum with exponential decay.
    recent_demand: Units,
    held_lease: HeldLease,
    /// When a lease was last requested from an owner.
    lease_requested_at: Timestamp,
    lease_request_probability: LeaseRequestProbability,
    /// Units forwarded here, to be announced to peers.
    forwarded: ForwardedUsage,
    attempts_in_flight: u32,
    /// Units forwarded by peers.
    peers: PeerUsages,
}

impl CustomerAccount {
    /// Creates an account that has not been used for `unused_for`.
    ///
    /// The quota starts with the whole burst. If it started with only the even part, a customer
    /// that uses nearly all of its quota would never get the rest of the burst. The whole burst is
    /// harmless, because peers' usage is received soon enough to be drained. The hard limit starts
    /// with only the units refilled over `unused_for`, because earlier units may have been used.
    pub(crate) fn new(now: Timestamp, unused_for: Duration, config: AccountConfig<'_>) -> Self {
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
            hard_limit.refill(limit, unused_for.as_seconds());
        }
        CustomerAccount {
            plan: config.plan_id,
            gateways,
            quota: TokenBucket::new(burst.max(even_burst), even_burst),
            hard_limit,
            refilled_at: now,
            promised_until: Timestamp::EPOCH,
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

    /// Returns the plan whose limits apply to the account.
    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Returns the gateways that the customer's requests come through; at least one.
    pub(crate) fn gateways(&self) -> GatewaySet {
        self.gateways
    }

    /// Records the plan and gateway set that a request names. Returns how many consecutive requests
    /// have named a plan or gateway set other than this account's.
    pub(crate) fn record_hint(&mut self, plan: PlanId, gateways: GatewaySet) -> u32 {
        if self.plan == plan && self.gateways == gateways {
            self.conflicting_hints = 0;
        } else {
            self.conflicting_hints += 1;
        }
        self.conflicting_hints
    }

    /// Switches to the plan and gateway set of `fresh`, with `hard_limit_tokens` left of the hard
    /// limit. The switch adds no quota tokens; attempts in flight, the usage announced to peers,
    /// and the usage of peers are retained.
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

    /// Refills the quota at the plan's rate, less the even parts of the customer's silent gateways,
    /// and the hard limit at its rate.
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

    /// Returns the number of the customer's gateways, as a divisor.
    pub(crate) fn gateway_count(&self) -> f64 {
        f64::from(self.gateways.count)
    }

    /// Returns the tokens of the quota; negative if the quota is in debt.
    pub(crate) fn quota_tokens(&self) -> Units {
        self.quota.tokens()
    }

    /// Returns the units that this gateway's part of the hard limit still allows.
    pub(crate) fn hard_limit_tokens(&self) -> Units {
        self.hard_limit.tokens()
    }

    /// Returns the plan's burst less this gateway's own part of it.
    pub(crate) fn excess_burst(&self, plan: &Plan) -> Units {
        plan.burst - self.quota.burst_capacity()
    }

    /// Limits the quota of a new account to this gateway's own part of the burst.
    pub(crate) fn limit_to_even_burst(&mut self) {
        let even_burst = self.quota.burst_capacity();
        self.quota.limit_tokens(even_burst);
    }

    /// Drains the excess burst from the quota, leaving this gateway's own part if it was full.
    pub(crate) fn drain_excess_burst(&mut self, plan: &Plan) {
        let excess = self.excess_burst(plan).max(Units::ZERO);
        self.quota.drain(excess);
    }

    /// Records the units that a request asks for; earlier demand decays with time constant
    /// `window`.
    pub(crate) fn record_demand(&mut self, now: Timestamp, units: Units, window: Duration) {
        let idle_us = now.micros_since(self.last_used_at);
        self.last_used_at = now;
        self.recent_demand = self.recent_demand * (-idle_us / window.as_micros_f64()).exp() + units;
    }

    /// Returns the units that requests asked for recently: at a steady rate, the units of one decay
    /// window.
    pub(crate) fn recent_demand(&self) -> Units {
        self.recent_demand
    }

    /// Charges a request's units to the quota.
    pub(crate) fn charge(&mut self, units: Units) {
        self.quota.take(units);
    }

    /// Puts back the units of a request that was never sent.
    pub(crate) fn refund(&mut self, units: Units) {
        self.quota.put_back(units);
    }

    /// Records that an attempt is in flight. The units of a request's first attempt are announced
    /// to peers and charged to the hard limit; those of a retry are not.
    pub(crate) fn record_attempt_sent(&mut self, now: Timestamp, units: Units, is_first: bool) {
        self.attempts_in_flight += 1;
        if is_first {
            self.forwarded.record(now, units);
            self.hard_limit.take(units);
        }
    }

    /// Records that an attempt is no longer in flight.
    pub(crate) fn record_attempt_finished(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    /// Returns the number of the customer's attempts in flight at this gateway.
    pub(crate) fn attempts_in_flight(&self) -> u32 {
        self.attempts_in_flight
    }

    /// Merges a peer's usage count, and drains its increase from the quota. The account must have
    /// been refilled up to now.
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

    /// Returns the units per second that peers have forwarded recently.
    pub(crate) fn peer_units_per_second(&mut self, now: Timestamp) -> f64 {
        self.peers.units_per_second(now)
    }

    /// Returns the usage to announce to peers; `None` if this is the customer's only gateway or the
    /// usage did not increase within the last `max_age`.
    pub(super) fn announced_usage(
        &self,
        now: Timestamp,
        max_age: Duration,
    ) -> Option<AnnouncedUsage> {
        let has_peers = self.gateways.count > 1;
        let is_announced = has_peers && self.forwarded.has_increased_within(max_age, now);
        is_announced.then(|| AnnouncedUsage {
            count: usage_count_of(self.forwarded.units()),
            last_increased_at: self.forwarded.last_increased_at(),
        })
    }

    /// Returns the lease that this gateway holds for the customer.
    pub(crate) fn held_lease(&self) -> &HeldLease {
        &self.held_lease
    }

    /// Consumes units of the held lease and returns the time up to which they may be used; `None`
    /// if the lease does not cover them.
    pub(crate) fn consume_lease(&mut self, now: Timestamp, units: Units) -> Option<Timestamp> {
        self.held_lease.consume(now, units)
    }

    /// Returns when a lease was last requested; the epoch if never.
    pub(crate) fn lease_requested_at(&self) -> Timestamp {
        self.lease_requested_at
    }

    /// Records that a lease is requested now from the owner with index `owner_index`. Gives up the
    /// held lease and returns its remaining units for that owner.
    pub(crate) fn record_lease_request(
        &mut self,
        now: Timestamp,
        owner_index: u32,
    ) -> ReturnedLease {
        self.lease_requested_at = now;
        self.held_lease.give_back(owner_index)
    }

    /// Replaces the held lease with a new lease.
    pub(crate) fn hold_lease(&mut self, lease: HeldLease) {
        self.held_lease = lease;
    }

    /// Returns the lease request probability that an owner set most recently.
    pub(crate) fn lease_request_probability(&self) -> LeaseRequestProbability {
        self.lease_request_probability
    }

    /// Records the lease request probability that an owner has set now.
    pub(crate) fn set_request_probability(&mut self, now: Timestamp, value: f64) {
        self.lease_request_probability = LeaseRequestProbability {
            value,
            updated_at: now,
        };
    }

    /// Returns when the account will have been refilled with `missing` units, at
    /// `units_per_second` for the quota. That is not later than now if it holds them already.
    pub(crate) fn refilled_with_at(
        &self,
        plan: &Plan,
        missing: &MissingUnits,
        units_per_second: f64,
    ) -> Timestamp {
        let quota_us = if plan.has_quota() {
            refill_time_us(missing.quota - self.quota.tokens(), units_per_second)
        } else {
            0.0
        };
        let quota_at = self.refilled_at + Duration::from_micros_f64(quota_us);
        quota_at.max(self.hard_limit_available_at(plan, missing.hard_limit))
    }

    /// Returns when this gateway's part of the hard limit will hold `units`. That is not later than
    /// now if it holds them already, or if the plan has no hard limit.
    pub(crate) fn hard_limit_available_at(&self, plan: &Plan, units: Units) -> Timestamp {
        let wait_us = plan
            .hard_limit
            .as_ref()
            .map_or(0.0, |limit| self.hard_limit.time_until_us(units, limit));
        self.refilled_at + Duration::from_micros_f64(wait_us)
    }

    /// Returns the time in which `units` are refilled, at `units_per_second` for the quota.
    pub(crate) fn refill_time(&self, plan: &Plan, units: Units, units_per_second: f64) -> Duration {
        let quota_us = if plan.has_quota() {
            refill_time_us(units, units_per_second)
        } else {
            0.0
        };
        let hard_limit_us = plan
            .hard_limit
            .as_ref()
            .map_or(0.0, |limit| self.hard_limit.refill_time_us(units, limit));
        Duration::from_micros_f64(quota_us.max(hard_limit_us))
    }

    /// Returns when the units will have been refilled for which rejected clients were told to
    /// return; in the past if there are none.
    pub(crate) fn promised_until(&self) -> Timestamp {
        self.promised_until
    }

    /// Records that a rejected client was told to return at `at` for its units.
    pub(crate) fn promise_units_until(&mut self, at: Timestamp) {
        self.promised_until = at;
    }

    /// Returns whether the account may be evicted without gain or loss for its customer: it has
    /// been unused for `min_idle`, a refill up to now fills it, and peers have no recent usage.
    pub(crate) fn is_idle(
        &mut self,
        now: Timestamp,
        min_idle: Duration,
        plan: &Plan,
        silent_gateways: f64,
    ) -> bool {
        if !self.is_unused(now, min_idle) {
            return false;
        }
        self.refill(now, plan, silent_gateways);
        let hard_limit = plan.hard_limit.as_ref();
        let is_hard_limit_full = hard_limit.is_none_or(|limit| self.hard_limit.is_full(limit));
        let is_quota_full = !plan.has_quota() || self.quota.is_full(plan.burst);
        is_hard_limit_full && is_quota_full && self.peer_units_per_second(now) <= 0.0
    }

    /// Returns whether the account has been unused for `min_idle`, with no attempt in flight.
    pub(super) fn is_unused(&self, now: Timestamp, min_idle: Duration) -> bool {
        self.attempts_in_flight == 0 && now.duration_since(self.last_used_at) >= min_idle
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/customer_account.rs"]
mod tests;
