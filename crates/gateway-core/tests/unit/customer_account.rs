//! Refill, hard limit, reconfiguration, idleness and announced usage of a customer's account.

use super::super::test_plan::plan;
use super::*;
use crate::policy::quota_sharing::customer_limit::MIN_IDLE;

const SECOND: Duration = Duration::from_secs(1);
const START: Timestamp = Timestamp::EPOCH;

fn config(plan: &Plan, gateways: u32) -> AccountConfig<'_> {
    let gateways = GatewaySet {
        first: GatewayId(0),
        count: gateways,
    };
    AccountConfig {
        plan_id: PlanId(0),
        plan,
        gateways,
        max_request_units: Units::new(1.0),
    }
}

/// Returns a new account, at time 0, of a customer with the given number of gateways.
fn account(gateways: u32) -> CustomerAccount {
    CustomerAccount::new(START, Duration::ZERO, config(&plan(), gateways))
}

#[test]
fn quota_refills_at_plan_rate_up_to_burst() {
    let mut account = account(1);
    account.charge(Units::new(15.0));
    account.refill(START + SECOND / 2, &plan(), 0.0);
    assert_eq!(account.quota_tokens(), Units::new(10.0));
    account.refill(START + 60 * SECOND, &plan(), 0.0);
    assert_eq!(account.quota_tokens(), Units::new(20.0));
}

#[test]
fn hard_limit_part_starts_empty_and_refills_to_part_of_capacity() {
    let mut account = account(2);
    assert_eq!(account.hard_limit_tokens(), Units::new(0.0));
    account.refill(START + SECOND, &plan(), 0.0);
    assert_eq!(account.hard_limit_tokens(), Units::new(2.0));
    account.refill(START + 60 * SECOND, &plan(), 0.0);
    assert_eq!(account.hard_limit_tokens(), Units::new(4.0));
}

#[test]
fn reconfiguration_adds_no_tokens_and_retains_usage() {
    let mut account = account(1);
    account.charge(Units::new(18.0));
    account.record_attempt_sent(START, Units::new(1.0), true);
    account
        .peers
        .usage_of(GatewayId(1))
        .add(START, Units::new(6.0));
    account.reconfigure(
        CustomerAccount::new(START, Duration::ZERO, config(&plan(), 2)),
        Units::new(-3.0),
    );
    assert_eq!(
        (account.quota_tokens(), account.hard_limit_tokens()),
        (Units::new(2.0), Units::new(-3.0))
    );
    assert_eq!(
        (account.attempts_in_flight(), account.forwarded.units()),
        (1, Units::new(1.0))
    );
    assert_eq!(account.peer_units_per_second(START), 3.0);
    assert_eq!(account.gateway_count(), 2.0);
}

#[test]
fn account_is_idle_when_full_and_unused_for_min_idle() {
    let is_idle = |account: &mut CustomerAccount, now| account.is_idle(now, MIN_IDLE, &plan(), 0.0);
    let mut account = account(1);
    assert!(
        !is_idle(&mut account, START + MIN_IDLE - Duration::from_micros(1)),
        "unused for less than MIN_IDLE"
    );
    assert!(is_idle(&mut account, START + MIN_IDLE));
    account.record_attempt_sent(START + MIN_IDLE, Units::new(1.0), true);
    assert!(
        !is_idle(&mut account, START + 2 * MIN_IDLE),
        "an attempt in flight"
    );
    account.record_attempt_finished();
    account.charge(Units::new(1000.0));
    assert!(!is_idle(&mut account, START + 2 * MIN_IDLE), "not full");
}

#[test]
fn retry_is_not_announced_to_peers() {
    let mut account = account(1);
    account.record_attempt_sent(START, Units::new(1.0), true);
    account.record_attempt_sent(START + Duration::from_micros(1), Units::new(1.0), false);
    assert_eq!(
        (
            account.forwarded.units(),
            account.forwarded.last_increased_at()
        ),
        (Units::new(1.0), START)
    );
}
