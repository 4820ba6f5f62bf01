//! Admission: whether a request that has just arrived may be sent, asks for its quota first, or is rejected.

use super::deadlines::FINAL_ANSWER_MARGIN;
use super::load_shedding::shed_probability;
use super::quota_owner::MAX_LEASE_LIFETIME;
use crate::state::deployment::{Context, FleetMode};
use crate::state::request::Request;
use crate::state::token_bucket::TokenBucket;
use crate::time::Timestamp;
use crate::types::RejectReason;

/// Seconds of the peers' usage that a bucket keeps back: forwarded, but not heard of yet.
const UNHEARD_USAGE: f64 = 0.5;
/// µs in which a gateway forgets what share of a customer's requests may ask its owners.
const PROBABILITY_LIFETIME: f64 = 2e6;

pub(crate) enum Admission {
    /// The customer's bucket here covers it.
    Admit,
    /// The customer's lease here covers it, and may be used until then.
    AdmitOnLease {
        expires_at: Timestamp,
    },
    /// One of the customer's quota owners decides.
    AskOwner,
    Reject(RejectReason),
}

/// Decides on a request that has just arrived, whose customer's bucket has been refilled.
pub(crate) fn decide(
    context: Context<'_>,
    bucket: &mut TokenBucket,
    request: &Request,
    random: &mut fastrand::Rng,
) -> Admission {
    let now = context.now;
    let too_short = request.deadline() <= now + FINAL_ANSWER_MARGIN;
    bucket.record_demand(now, request.units(), MAX_LEASE_LIFETIME);
    let may_ask = lease_request_probability(bucket, now);
    let plan = &context.deployment.settings.plans[bucket.plan.0];
    let kept_back = (bucket.peer_rate(now) * UNHEARD_USAGE)
        .min(plan.burst - bucket.capacity)
        .max(0.0);
    let quota_exceeded = plan.rate > 0.0 && bucket.tokens - kept_back < request.units();
    bucket.tokens -= request.units();
    if context.deployment.mode == FleetMode::Gossip {
        return if too_short {
            Admission::Reject(RejectReason::DeadlineTooShort)
        } else if quota_exceeded {
            Admission::Reject(RejectReason::QuotaExceeded)
        } else {
            Admission::Admit
        };
    }
    let shed = random.f64() < shed_probability(context, request);
    let throttled = random.f64() > may_ask;
    if too_short {
        return Admission::Reject(RejectReason::DeadlineTooShort);
    }
    if shed {
        return Admission::Reject(RejectReason::LoadShed);
    }
    if let Some(expires_at) = bucket.lease.consume(now, request.units()) {
        return Admission::AdmitOnLease { expires_at };
    }
    if throttled {
        return Admission::Reject(RejectReason::LeaseRequestThrottled);
    }
    Admission::AskOwner
}

/// The share of a customer's requests that may ask its owners: what they last granted, which fades.
fn lease_request_probability(bucket: &TokenBucket, now: Timestamp) -> f64 {
    let forgotten = (now.micros_since(bucket.probability_set_at) / PROBABILITY_LIFETIME).min(1.0);
    bucket.lease_request_probability + (1.0 - bucket.lease_request_probability) * forgotten
}
