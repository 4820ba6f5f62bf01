//! Refill, hard limit, reconfiguration and leases of a token bucket.

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const START: Timestamp = Timestamp::EPOCH;

/// 10 units a second with a burst of 20, under a hard limit of 4 a second and a capacity of 8.
fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: Units::new(20.0),
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.0,
        hard_limit: Some(HardLimit {
            rate: 4.0,
            capacity: Units::new(8.0),
        }),
    }
}

fn config(plan: &Plan, gateways: u32) -> BucketConfig<'_> {
    let gateways = GatewaySet {
        first: GatewayId(0),
        count: gateways,
    };
    BucketConfig {
        plan_id: PlanId(0),
        plan,
        gateways,
        max_request_units: Units::new(1.0),
    }
}

/// A new bucket of a customer with so many gateways, at time 0.
fn bucket(gateways: u32) -> TokenBucket {
    TokenBucket::new(START, Duration::ZERO, config(&plan(), gateways))
}

#[test]
fn it_refills_at_the_rate_up_to_the_burst() {
    let mut bucket = bucket(1);
    bucket.consume(Units::new(15.0));
    bucket.refill(START + SECOND / 2, &plan(), 0.0);
    assert_eq!(bucket.tokens, Units::new(10.0));
    bucket.refill(START + 60 * SECOND, &plan(), 0.0);
    assert_eq!(bucket.tokens, Units::new(20.0));
}

#[test]
fn its_share_of_the_hard_limit_starts_empty_and_refills_to_its_share_of_the_capacity() {
    let mut bucket = bucket(2);
    assert_eq!(bucket.hard_limit_tokens, Units::new(0.0));
    bucket.refill(START + SECOND, &plan(), 0.0);
    assert_eq!(bucket.hard_limit_tokens, Units::new(2.0));
    bucket.refill(START + 60 * SECOND, &plan(), 0.0);
    assert_eq!(bucket.hard_limit_tokens, Units::new(4.0));
}

#[test]
fn a_reconfiguration_gains_nothing() {
    let mut bucket = bucket(1);
    bucket.consume(Units::new(18.0));
    bucket.attempt_sent(START, Units::new(1.0), true);
    bucket.peer_usage(GatewayId(1)).add(START, Units::new(6.0));
    bucket.reconfigure(
        TokenBucket::new(START, Duration::ZERO, config(&plan(), 2)),
        Units::new(-3.0),
    );
    assert_eq!(
        (bucket.tokens, bucket.hard_limit_tokens),
        (Units::new(2.0), Units::new(-3.0))
    );
    assert_eq!(
        (bucket.in_flight, bucket.forwarded_units),
        (1, Units::new(1.0))
    );
    assert_eq!(bucket.peer_rate(START), 3.0);
    assert_eq!(bucket.gateway_count, 2.0);
}

#[test]
fn a_lease_is_reclaimed_once() {
    let mut bucket = bucket(1);
    bucket.grant_lease(GatewayId(1), 5, Units::new(6.0));
    assert_eq!(
        (bucket.tokens, bucket.hard_limit_tokens),
        (Units::new(14.0), Units::new(-6.0))
    );
    for _ in 0..2 {
        bucket.reclaim(
            GatewayId(1),
            ReturnedLease {
                sequence: 5,
                units: Units::new(2.0),
            },
        );
        assert_eq!(
            (bucket.tokens, bucket.hard_limit_tokens),
            (Units::new(16.0), Units::new(-4.0))
        );
    }
}

#[test]
fn it_is_idle_once_it_is_full_and_has_long_been_unused() {
    let is_idle = |bucket: &mut TokenBucket, now| bucket.is_idle(now, &plan(), |_| 0.0);
    let mut bucket = bucket(1);
    assert!(
        !is_idle(&mut bucket, START + MIN_IDLE - Duration::from_micros(1)),
        "too soon"
    );
    assert!(is_idle(&mut bucket, START + MIN_IDLE));
    bucket.attempt_sent(START + MIN_IDLE, Units::new(1.0), true);
    assert!(
        !is_idle(&mut bucket, START + 2 * MIN_IDLE),
        "an attempt in flight"
    );
    bucket.attempt_finished();
    bucket.consume(Units::new(1000.0));
    assert!(!is_idle(&mut bucket, START + 2 * MIN_IDLE), "not full");
}

#[test]
fn a_retry_is_not_announced_to_peers() {
    let mut bucket = bucket(1);
    bucket.attempt_sent(START, Units::new(1.0), true);
    bucket.attempt_sent(START + Duration::from_micros(1), Units::new(1.0), false);
    assert_eq!(
        (bucket.forwarded_units, bucket.forwarded_at),
        (Units::new(1.0), START)
    );
}
