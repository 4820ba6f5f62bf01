//! Quota owners of a large fleet, where every gateway on its own would grant a whole burst. One or
//! two of a customer's gateways own its quota in equal parts; a standby owner has a small part, for
//! the time while the others don't respond.
//!
//! The rules, in the order in which they apply to a lease request:
//! 1. [`owner_count`], [`owners_of`]: which gateways own the quota.
//! 2. [`ReceivedLeaseRequest::new`]: whether the gateway that received the request is the owner that
//!    is asked.
//! 3. [`ReceivedLeaseRequest::new_part`]: the owner's part of the quota and of the hard limit.
//! 4. [`ReceivedLeaseRequest::decide`]: whether the request is granted, and which units go on lease beyond
//!    it.
//! 5. [`throttle_requests`]: with which probability further requests may ask.

use crate::message::{LeaseDecision, LeaseRequest, LeaseResponse};
use crate::settings::{HardLimit, Plan, Settings};
use crate::state::quota::{
    permits_of_owner, OwnedQuota, OwnedQuotaConfig, PermitHolder, QuotaOwners,
};
use crate::time::{DurationExt, Timestamp, MICROS_PER_SECOND};
use crate::types::{CustomerId, GatewayId, GatewaySet};
use crate::units::Units;
use std::time::Duration;

/// Units a second that one owner can look after for each message a second that it takes in: the
/// lease requests for them have to fit in.
const UNITS_PER_MESSAGE_RATIO: f64 = 0.6;
/// Maximum number of owners: what remains in one part is of no use to a request that asks another.
const MAX_OWNERS: u32 = 2;
/// The standby owner's part. Of a quota it comes on top of the owners' parts; of a hard limit it is
/// taken off theirs.
const STANDBY_FRACTION: f64 = 0.3;
/// Lease requests of one customer that an owner accepts before it throttles them, as a fraction of
/// the messages that it takes in.
const ACCEPTED_INTAKE_FRACTION: f64 = 0.4;
/// Factor by which each excess lease request lowers the request probability: a multiplicative
/// decrease.
const PROBABILITY_DECREASE_RATIO: f64 = 0.97;
/// What the request probability gains a second without excess lease requests: an additive increase.
const PROBABILITY_INCREASE_PER_SECOND: f64 = 0.5;
/// Maximum fraction of the remaining units that goes on one lease, so that other gateways get some.
const MAX_LEASE_FRACTION: f64 = 0.25;
/// Time that an owner has to respond, and the shortest lifetime of its grants.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(90);
/// Shortest lifetime of a lease or grant: it has to outlast the way of the response.
const MIN_LEASE_LIFETIME: Duration = RESPONSE_TIMEOUT;
/// The longest lifetime of a lease or grant.
pub(in crate::policy) const MAX_LEASE_LIFETIME: Duration = Duration::from_secs(3);
/// The longest lifetime under a hard limit, as a fraction of the time that the limit takes to
/// refill.
const MAX_LIFETIME_REFILL_FRACTION: f64 = 0.25;

/// How long a lease or grant may be used. Under a hard limit that is short, because the owner has
/// to reserve what is refilled in the meantime.
pub(crate) fn lease_lifetime(hard_limit: Option<&HardLimit>) -> Duration {
    let Some(limit) = hard_limit else {
        return MAX_LEASE_LIFETIME;
    };
    let refill_seconds = limit.capacity.seconds_to_refill(limit.rate);
    let lifetime_us = refill_seconds * MAX_LIFETIME_REFILL_FRACTION * MICROS_PER_SECOND;
    Duration::from_micros_f64(lifetime_us).clamp(MIN_LEASE_LIFETIME, MAX_LEASE_LIFETIME)
}

/// How many owners, without the standby owner, a customer of a plan has: as many as its rate needs,
/// for the lease requests to fit into their message intake.
pub(super) fn owner_count(settings: &Settings, plan: &Plan, gateway_count: u32) -> u32 {
    let units_per_second_of_one = UNITS_PER_MESSAGE_RATIO * settings.peer_messages_per_second;
    ((plan.rate / units_per_second_of_one).ceil() as u32)
        .clamp(1, MAX_OWNERS)
        .min(gateway_count)
}

/// The owners of a customer's quota among the gateways that its requests come through.
pub(crate) fn owners_of(
    settings: &Settings,
    customer: CustomerId,
    plan: &Plan,
    gateways: GatewaySet,
) -> QuotaOwners {
    let count = owner_count(settings, plan, gateways.count);
    QuotaOwners::new(customer, gateways, count, settings.gateway_count)
}

/// A lease request as its owner decides on it.
pub(crate) struct ReceivedLeaseRequest<'a> {
    /// The gateway that sent it.
    from: GatewayId,
    /// The request.
    request: &'a LeaseRequest,
    /// The owners of its customer's quota.
    owners: QuotaOwners,
    /// The plan that it names.
    plan: &'a Plan,
}

impl<'a> ReceivedLeaseRequest<'a> {
    /// A lease request that this gateway has received; `None` if it names an unknown plan, or this
    /// gateway is not the owner that is asked.
    pub(crate) fn new(
        settings: &'a Settings,
        from: GatewayId,
        request: &'a LeaseRequest,
    ) -> Option<Self> {
        let plan = settings.plans.get(request.plan.0)?;
        let gateways = GatewaySet {
            count: request.gateways.count.clamp(1, settings.gateway_count),
            ..request.gateways
        };
        let owners = owners_of(settings, request.customer, plan, gateways);
        let is_for_this_gateway = owners.gateway(request.owner_index) == settings.gateway_id
            && request.owner_index <= owners.standby_index();
        is_for_this_gateway.then_some(ReceivedLeaseRequest {
            from,
            request,
            owners,
            plan,
        })
    }

    /// The customer whose quota it asks for.
    pub(crate) fn customer(&self) -> CustomerId {
        self.request.customer
    }

    /// A new part for this owner: of the quota, full, and of the hard limit, empty.
    pub(crate) fn new_part(&self, settings: &Settings, now: Timestamp) -> OwnedQuota {
        let fractions = self.fractions();
        let part = OwnedQuotaConfig {
            plan_id: self.request.plan,
            plan: self.plan,
            quota_fraction: fractions.quota,
            hard_limit_fraction: fractions.hard_limit,
            grant_lifetime: lease_lifetime(self.plan.hard_limit.as_ref()),
            max_request_units: settings.max_request_units,
        };
        OwnedQuota::new(now, part)
    }

    /// What fraction of the quota and of the hard limit this owner has.
    ///
    /// The sum of the parts must not exceed the hard limit, so the standby owner's part is taken
    /// off the others'. Its part of the quota is on top: that is the most that a customer gains
    /// where lost messages make owners look unresponsive.
    fn fractions(&self) -> OwnedFractions {
        let even_fraction = 1.0 / f64::from(self.owners.count());
        let has_standby = self.request.gateways.count > self.owners.count();
        let is_standby = !self.owners.is_regular(self.request.owner_index);
        match (has_standby, is_standby) {
            (false, _) => OwnedFractions {
                quota: even_fraction,
                hard_limit: even_fraction,
            },
            (true, false) => OwnedFractions {
                quota: even_fraction,
                hard_limit: even_fraction * (1.0 - STANDBY_FRACTION),
            },
            (true, true) => OwnedFractions {
                quota: STANDBY_FRACTION,
                hard_limit: STANDBY_FRACTION,
            },
        }
    }

    /// Decides whether the request fits this part of its customer's limits, and which units go on
    /// lease beyond it. What the sender returns of its last lease is taken in first.
    pub(crate) fn decide(
        &self,
        settings: &Settings,
        now: Timestamp,
        owned: &mut OwnedQuota,
    ) -> LeaseResponse {
        let returned = self.request.returned;
        let seconds_since_refill = owned.begin_lease_request(now, self.plan, self.from, returned);
        throttle_requests(owned, settings, self.plan, seconds_since_refill);
        if !self.fits_limits(owned) {
            return self.response(LeaseDecision::QuotaExceeded, owned, Units::ZERO);
        }
        owned.consume(self.request.units);
        let leased_units = if self.max_permits().is_some() {
            self.acquire_permit(settings, now, owned);
            Units::ZERO
        } else {
            self.lease_units(owned)
        };
        owned.grant_lease(self.from, self.request.sequence, leased_units);
        self.response(LeaseDecision::Granted, owned, leased_units)
    }

    /// The response to this request.
    fn response(
        &self,
        decision: LeaseDecision,
        owned: &OwnedQuota,
        leased_units: Units,
    ) -> LeaseResponse {
        LeaseResponse {
            sequence: self.request.sequence,
            decision,
            lease_request_probability: owned.lease_request_probability(),
            leased_units,
        }
    }

    /// Whether this part has a free permit, and enough units of the quota and of the hard limit.
    fn fits_limits(&self, owned: &OwnedQuota) -> bool {
        let units = self.request.units;
        let has_permit = self
            .max_permits()
            .is_none_or(|maximum| owned.permits_in_use() < maximum);
        let is_quota_exceeded = self.plan.has_quota() && owned.quota_tokens() < units;
        let is_hard_limit_exceeded =
            self.plan.hard_limit.is_some() && owned.hard_limit_tokens() < units;
        has_permit && !is_quota_exceeded && !is_hard_limit_exceeded
    }

    /// This owner's part of the limit on attempts in flight, if the plan has one.
    fn max_permits(&self) -> Option<usize> {
        let limit = self.plan.max_concurrent?;
        Some(permits_of_owner(
            limit,
            self.owners.count(),
            self.request.owner_index,
        ))
    }

    /// Grants a permit for the longest latency objective, in case the message that releases it is
    /// lost.
    fn acquire_permit(&self, settings: &Settings, now: Timestamp, owned: &mut OwnedQuota) {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let holder = PermitHolder {
            gateway: self.from,
            sequence: self.request.sequence,
        };
        let expires_at = now + objectives.max().unwrap_or_default();
        owned.acquire_permit(holder, expires_at);
    }

    /// Units that go on lease: as many as requested, up to a fraction of what remains in this part.
    /// Without a limit by rate there is nothing to lease.
    fn lease_units(&self, owned: &OwnedQuota) -> Units {
        let remaining_quota = if self.plan.has_quota() {
            owned.quota_tokens()
        } else {
            Units::ZERO
        };
        let remaining = self.plan.hard_limit.map_or(remaining_quota, |_| {
            remaining_quota.min(owned.hard_limit_tokens())
        });
        self.request
            .requested_units
            .min(remaining * MAX_LEASE_FRACTION)
            .max(Units::ZERO)
    }
}

/// What fraction of a customer's limits one owner has.
struct OwnedFractions {
    quota: f64,
    hard_limit: f64,
}

/// Updates the rate of a customer's lease requests, and the probability with which its requests may
/// ask: a customer far over its quota would otherwise exceed its owners' message intake.
fn throttle_requests(
    owned: &mut OwnedQuota,
    settings: &Settings,
    plan: &Plan,
    seconds_since_refill: f64,
) {
    let accepted_per_second = ACCEPTED_INTAKE_FRACTION * settings.peer_messages_per_second;
    let requests_per_second = owned.record_lease_request(seconds_since_refill);
    if plan.has_quota() && requests_per_second > accepted_per_second {
        owned.decrease_request_probability(PROBABILITY_DECREASE_RATIO);
    } else {
        owned.increase_request_probability(PROBABILITY_INCREASE_PER_SECOND * seconds_since_refill);
    }
}
