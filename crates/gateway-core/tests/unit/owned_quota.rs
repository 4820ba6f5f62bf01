//! The part of a quota that an owner holds: leases, permits and idleness.

use super::super::test_plan::plan;
use super::*;
use crate::policy::quota_sharing::customer_limit::MIN_IDLE;

const START: Timestamp = Timestamp::EPOCH;

/// Returns a whole quota at a single owner, at time 0.
fn owned() -> OwnedQuota {
    let config = OwnedQuotaConfig {
        plan_id: PlanId(0),
        plan: &plan(),
        quota_fraction: 1.0,
        hard_limit_fraction: 1.0,
        grant_lifetime: Duration::ZERO,
        max_request_units: Units::new(1.0),
    };
    OwnedQuota::new(START, config)
}

#[test]
fn lease_is_reclaimed_once() {
    let mut owned = owned();
    owned.grant_lease(GatewayId(1), 5, Units::new(6.0));
    assert_eq!(
        (owned.quota_tokens(), owned.hard_limit_tokens()),
        (Units::new(14.0), Units::new(-6.0))
    );
    for _ in 0..2 {
        owned.reclaim(
            GatewayId(1),
            ReturnedLease {
                sequence: 5,
                units: Units::new(2.0),
            },
        );
        assert_eq!(
            (owned.quota_tokens(), owned.hard_limit_tokens()),
            (Units::new(16.0), Units::new(-4.0))
        );
    }
}

#[test]
fn owned_quota_is_idle_when_full_and_unused_for_min_idle() {
    let mut owned = owned();
    assert!(
        !owned.is_idle(
            START + MIN_IDLE - Duration::from_micros(1),
            MIN_IDLE,
            &plan()
        ),
        "unused for less than MIN_IDLE"
    );
    assert!(owned.is_idle(START + MIN_IDLE, MIN_IDLE, &plan()));
    owned.consume(Units::new(1000.0));
    assert!(
        !owned.is_idle(START + 2 * MIN_IDLE, MIN_IDLE, &plan()),
        "not full"
    );
}

#[test]
fn owned_quota_with_permit_in_use_is_not_idle() {
    let mut owned = owned();
    let holder = PermitHolder {
        gateway: GatewayId(1),
        sequence: 5,
    };
    owned.acquire_permit(holder, Timestamp::MAX);
    assert!(!owned.is_idle(START + MIN_IDLE, MIN_IDLE, &plan()));
    owned.release_permit(holder);
    assert!(owned.is_idle(START + MIN_IDLE, MIN_IDLE, &plan()));
}
