//! Quotas of customers with hundreds of gateways, owned by few of them.

use crate::common::fleet::Fleet;
use crate::common::*;
use gateway_core::*;

#[test]
fn a_customer_of_hundreds_of_gateways_gets_its_quota_and_little_more() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.rate(SMALL_QUOTA, 4.0));
    let sent = fleet.drive(SMALL_QUOTA, 20, 10);
    // A burst of 4 and 4 a second over 10 s, of 200 requests.
    assert!((30..=54).contains(&sent), "{sent}");
    let busiest = fleet.most_received();
    assert!(
        busiest <= 600,
        "messages to one gateway stay under its intake: {busiest} in 10 s"
    );
    assert!(
        fleet.messages_sent <= 1400,
        "and are few: {}",
        fleet.messages_sent
    );
}

/// Requests at a steady rate that is inside the quota.
struct Demand {
    name: &'static str,
    gateways: u32,
    quota_rate: f64,
    quota_burst: f64,
    peer_messages_per_second: f64,
    request_rate: u64,
    seconds: u64,
    least_sent: usize,
}

#[test]
fn requests_inside_a_quota_are_admitted() {
    let demands = [
        Demand {
            name: "a small quota of many gateways",
            gateways: 200,
            quota_rate: 10.0,
            quota_burst: 4.0,
            peer_messages_per_second: 60.0,
            request_rate: 5,
            seconds: 10,
            least_sent: 45,
        },
        Demand {
            name: "a large quota, which in many small parts would reject what the whole would have covered",
            gateways: 60,
            quota_rate: 40.0,
            quota_burst: 12.0,
            peer_messages_per_second: 200.0,
            request_rate: 30,
            seconds: 6,
            least_sent: 162,
        },
    ];
    for demand in demands {
        let mut fleet = Fleet::new(demand.gateways, 40, |settings| {
            settings
                .rate(SMALL_QUOTA, demand.quota_rate)
                .burst(SMALL_QUOTA, demand.quota_burst)
                .peer_messages_per_second(demand.peer_messages_per_second)
        });
        let sent = fleet.drive(SMALL_QUOTA, demand.request_rate, demand.seconds);
        let requests = demand.request_rate * demand.seconds;
        assert!(
            sent >= demand.least_sent,
            "{}: {sent} of {requests}",
            demand.name
        );
    }
}

#[test]
fn a_hard_limit_over_many_gateways_holds_through_restarts() {
    let mut fleet = Fleet::new(60, 40, |settings| settings);
    let mut sent = 0;
    for round in 0..8 {
        sent += fleet.drive(HARD_LIMITED, 50, 1);
        if round % 2 == 1 {
            fleet.restart_all(round, 40);
        }
    }
    // Full at 12, 8 a second over 8 s; an owner starts empty, so restarts grant nothing twice.
    assert!((20..=76).contains(&sent), "{sent}");
}

#[test]
fn a_customer_far_over_its_quota_does_not_overload_its_owners() {
    let mut fleet = Fleet::new(60, 40, |settings| settings.rate(SMALL_QUOTA, 2.0));
    let sent = fleet.drive(SMALL_QUOTA, 250, 8);
    assert!((12..=28).contains(&sent), "still its quota: {sent}");
    // With a lease request for each of 2000 requests there would be some 4000 messages.
    assert!(fleet.messages_sent < 2400, "{}", fleet.messages_sent);
}

#[test]
fn an_owner_grants_no_more_permits_than_the_concurrency_limit() {
    let mut gateway = GatewayHarness::sole_gateway(1, settings(0, LARGE_FLEET), S, 40);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * S);
    }
    assert_eq!(gateway.in_flight.len(), 2);
}

/// Otherwise requests that wait for a server would take the permits from themselves.
#[test]
fn the_permit_of_an_expired_grant_is_released_before_the_request_asks_again() {
    let hard_limit = HardLimit {
        rate: 8.0,
        capacity: Units::new(12.0),
    };
    let settings = SettingsBuilder::new(0, LARGE_FLEET)
        .hard_limit(TWO_CONCURRENT, hard_limit)
        .build();
    let mut gateway = GatewayHarness::sole_gateway(1, settings, S, 0);
    // the owner's part of the hard limit starts empty
    gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 4 * S);
    gateway.advance(2 * S);
    let refused = gateway.rejected_or_failed_count();
    for _ in 0..2 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 4 * S);
    }
    gateway.advance(600 * MS); // a grant holds for 375 ms
    assert_eq!(gateway.rejected_or_failed_count(), refused);
}
