//! Quota owners of a large fleet. If every gateway decided on its own, each would grant a whole
//! burst; instead, one or two of a customer's gateways own its quota in equal parts. A standby
//! owner has a small part, for the time during which the other owners do not respond.
//!
//! The rules, in the order in which they apply to a lease request:
//! 1. [`owner_count`], [`owners_of`]: which gateways own the quota.
//! 2. [`ReceivedLeaseRequest::new`]: whether this gateway is the owner that the lease request asks.
//! 3. [`ReceivedLeaseRequest::new_part`]: the owner's part of the quota and of the hard limit.
//! 4. [`ReceivedLeaseRequest::decide`]: whether the request is granted, and how many units are
//!    leased in addition.
//! 5. [`throttle_lease_requests`]: with which probability further requests may ask an owner.

use crate::message::{LeaseDecision, LeaseRequest, LeaseResponse};
use crate::settings::{Class, HardLimit, Plan, Settings};
use crate::state::quota::{
    permits_of_owner, OwnedQuota, OwnedQuotaConfig, PermitHolder, QuotaOwners,
};
use crate::time::{DurationExt, Timestamp, MICROS_PER_SECOND};
use crate::types::{CustomerId, GatewayId, GatewaySet};
use crate::units::Units;
use std::time::Duration;

/// Units per second that one owner can manage for each message per second of its message intake,
/// into which the lease requests for these units have to fit.
const UNITS_PER_MESSAGE_RATIO: f64 = 0.6;
/// Maximum number of owners. It is small because the units that remain in one owner's part are of
/// no use to a request that asks another owner.
const MAX_OWNERS: u32 = 2;
/// Fraction of a quota or hard limit that the standby owner has. For a quota it is added to the
/// other owners' parts; for a hard limit it is taken from them.
const STANDBY_FRACTION: f64 = 0.3;
/// Lease requests of one customer that an owner accepts before it throttles them, as a fraction of
/// its message intake.
const ACCEPTED_INTAKE_FRACTION: f64 = 0.4;
/// Factor by which each excess lease request lowers the request probability (multiplicative
/// decrease).
const PROBABILITY_DECREASE_RATIO: f64 = 0.97;
/// Increase of the request probability per second without excess lease requests (additive
/// increase).
const PROBABILITY_INCREASE_PER_SECOND: f64 = 0.5;
/// Maximum fraction of the remaining units that is granted as one lease, so that other gateways get
/// some.
const MAX_LEASE_FRACTION: f64 = 0.25;
/// Time within which an owner has to respond; also the shortest lifetime of its grants.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(90);
/// Shortest lifetime of a lease or grant, which has to outlast the transmission of the response.
const MIN_LEASE_LIFETIME: Duration = RESPONSE_TIMEOUT;
/// Longest lifetime of a lease or grant.
pub(in crate::policy) const MAX_LEASE_LIFETIME: Duration = Duration::from_secs(3);
/// Longest lifetime of a lease or grant under a hard limit, as a fraction of the time in which the
/// hard limit refills.
const MAX_LIFETIME_REFILL_FRACTION: f64 = 0.25;

/// Returns how long a lease or grant may be used. Under a hard limit the time is short, because the
/// owner has to reserve the units that are refilled in the meantime.
pub(crate) fn lease_lifetime(hard_limit: Option<&HardLimit>) -> Duration {
    let Some(limit) = hard_limit else {
        return MAX_LEASE_LIFETIME;
    };
    let refill_seconds = limit.capacity.seconds_to_refill(limit.rate);
    let lifetime_us = refill_seconds * MAX_LIFETIME_REFILL_FRACTION * MICROS_PER_SECOND;
    Duration::from_micros_f64(lifetime_us).clamp(MIN_LEASE_LIFETIME, MAX_LEASE_LIFETIME)
}

/// Returns the number of owners, without the standby owner, of a customer with this plan: as many
/// as are needed for the lease requests at the plan's rate to fit into their message intake.
pub(super) fn owner_count(settings: &Settings, plan: &Plan, gateway_count: u32) -> u32 {
    let units_per_second_per_owner = UNITS_PER_MESSAGE_RATIO * settings.peer_messages_per_second;
    ((plan.rate / units_per_second_per_owner).ceil() as u32)
        .clamp(1, MAX_OWNERS)
        .min(gateway_count)
}

/// Returns the owners of a customer's quota among the gateways that its requests arrive at.
pub(crate) fn owners_of(
    settings: &Settings,
    customer: CustomerId,
    plan: &Plan,
    gateways: GatewaySet,
) -> QuotaOwners {
    let count = owner_count(settings, plan, gateways.count);
    QuotaOwners::new(customer, gateways, count, settings.gateway_count)
}

/// Lease request that this gateway has received as a quota owner.
pub(crate) struct ReceivedLeaseRequest<'a> {
    /// Gateway that sent the lease request.
    from: GatewayId,
    request: &'a LeaseRequest,
    /// Owners of the customer's quota.
    owners: QuotaOwners,
    /// Plan that the lease request names.
    plan: &'a Plan,
}

impl<'a> ReceivedLeaseRequest<'a> {
    /// Returns a lease request that this gateway has received; `None` if the request names an
    /// unknown plan, or this gateway is not the owner that it asks.
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

    /// Returns the customer whose quota the lease request asks for.
    pub(crate) fn customer(&self) -> CustomerId {
        self.request.customer
    }

    /// Creates this owner's part of the customer's limits: the part of the quota is full, that of
    /// the hard limit empty.
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

    /// Returns the fractions of the quota and of the hard limit that this owner has.
    ///
    /// The sum of the parts must not exceed the hard limit, so the standby owner's part is taken
    /// from the other owners' parts. Its part of the quota is added to theirs; that is the most
    /// that a customer gains if lost messages make owners look unresponsive.
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

    /// Decides whether the lease request fits this owner's part of the customer's limits, and how
    /// many units are leased in addition. The units of the last lease that the sender returns are
    /// taken back first.
    pub(crate) fn decide(
        &self,
        settings: &Settings,
        now: Timestamp,
        owned: &mut OwnedQuota,
    ) -> LeaseResponse {
        let returned = self.request.returned;
        let seconds_since_refill = owned.begin_lease_request(now, self.plan, self.from, returned);
        throttle_lease_requests(owned, settings, self.plan, seconds_since_refill);
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

    /// Creates the response to this lease request.
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

    /// Returns whether this part has a free permit, and enough units of the quota and of the hard
    /// limit.
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

    /// Returns this owner's part of the limit on attempts in flight; `None` if the plan has no such
    /// limit.
    fn max_permits(&self) -> Option<usize> {
        let limit = self.plan.max_concurrent?;
        Some(permits_of_owner(
            limit,
            self.owners.count(),
            self.request.owner_index,
        ))
    }

    /// Grants a permit. It expires after the longest time that a client waits, in case the message
    /// that releases it is lost: until then an attempt may be in flight.
    fn acquire_permit(&self, settings: &Settings, now: Timestamp, owned: &mut OwnedQuota) {
        let holder = PermitHolder {
            gateway: self.from,
            sequence: self.request.sequence,
        };
        owned.acquire_permit(holder, now + longest_wait(settings));
    }

    /// Returns the units to lease: as many as requested, up to [`MAX_LEASE_FRACTION`] of what
    /// remains in this part. A plan without a limit by rate has no units to lease.
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

/// Returns the longest time that a client of any class waits.
fn longest_wait(settings: &Settings) -> Duration {
    let waits = settings.classes.iter().map(Class::longest_wait);
    waits.max().unwrap_or_default()
}

/// Fractions of a customer's limits that one owner has.
struct OwnedFractions {
    quota: f64,
    hard_limit: f64,
}

/// Updates the rate of a customer's lease requests and the probability with which its requests may
/// ask an owner; without this, a customer far over its quota would exceed the message intake of its
/// owners.
fn throttle_lease_requests(
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
