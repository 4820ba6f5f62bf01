//! Quotas of customers that use hundreds of gateways, of which few own the quota.

use crate::common::fleet::Fleet;
use crate::common::*;
use gateway_core::*;

#[test]
fn customer_of_hundreds_of_gateways_gets_its_quota_and_little_more() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.rate(SMALL_QUOTA, 4.0));
    let sent = fleet.drive(SMALL_QUOTA, 20, 10);
    // A burst of 4 units and 4 units per second over 10 s, out of 200 requests.
    assert!((30..=54).contains(&sent), "{sent} requests were sent");
    let busiest = fleet.most_received();
    assert!(
        busiest <= 600,
        "one gateway received {busiest} messages in 10 s, more than its intake"
    );
    assert!(
        fleet.messages_sent <= 1400,
        "{} messages were sent",
        fleet.messages_sent
    );
}

/// Requests at a steady rate that is within the quota.
struct Demand {
    name: &'static str,
    gateways: u32,
    quota_rate: f64,
    quota_burst: f64,
    peer_messages_per_second: f64,
    request_rate: u64,
    seconds: u64,
    min_sent: usize,
}

#[test]
fn admits_requests_within_quota() {
    let demands = [
        Demand {
            name: "a small quota of many gateways",
            gateways: 200,
            quota_rate: 10.0,
            quota_burst: 4.0,
            peer_messages_per_second: 60.0,
            request_rate: 5,
            seconds: 10,
            min_sent: 45,
        },
        Demand {
            name:
                "a large quota whose many small parts would reject requests that the whole covers",
            gateways: 60,
            quota_rate: 40.0,
            quota_burst: 12.0,
            peer_messages_per_second: 200.0,
            request_rate: 30,
            seconds: 6,
            min_sent: 162,
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
            sent >= demand.min_sent,
            "{}: {sent} of {requests} requests were sent",
            demand.name
        );
    }
}

#[test]
fn hard_limit_of_many_gateways_holds_across_restarts() {
    let mut fleet = Fleet::new(60, 40, |settings| settings);
    let mut sent = 0;
    for round in 0..8 {
        sent += fleet.drive(HARD_LIMITED, 50, 1);
        if round % 2 == 1 {
            fleet.restart_all(round, 40);
        }
    }
    // A capacity of 12 units, and 8 units per second over 8 s. An owner starts with an empty part,
    // so units are not granted again after a restart.
    assert!((20..=76).contains(&sent), "{sent} requests were sent");
}

#[test]
fn customer_far_over_its_quota_does_not_overload_its_owners() {
    let mut fleet = Fleet::new(60, 40, |settings| settings.rate(SMALL_QUOTA, 2.0));
    let sent = fleet.drive(SMALL_QUOTA, 250, 8);
    assert!(
        (12..=28).contains(&sent),
        "the customer still gets its quota: {sent} requests were sent"
    );
    // With a lease request for each of the 2000 requests there would be about 4000 messages.
    assert!(
        fleet.messages_sent < 2400,
        "{} messages were sent",
        fleet.messages_sent
    );
}

#[test]
fn owner_grants_no_more_permits_than_concurrency_limit() {
    let mut gateway = GatewayHarness::sole_gateway(1, settings(0, LARGE_FLEET), SECOND, 40);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * SECOND);
    }
    assert_eq!(gateway.in_flight.len(), 2);
}

/// Clients wait for 4 s, so their attempts may be in flight for as long. A permit that expired at the
/// latency objective of 800 ms would let others through beyond the limit that the plan promises.
#[test]
fn owner_holds_concurrency_limit_while_clients_wait_past_their_objective() {
    let mut gateway = GatewayHarness::sole_gateway(1, settings(0, LARGE_FLEET), SECOND, 40);
    for _ in 0..6 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 4 * SECOND);
        gateway.advance(500 * MILLISECOND);
        assert!(gateway.in_flight.len() <= 2, "at {} us", gateway.now);
    }
}

/// A request that waits for a server asks for a new permit when its grant expires. If it kept the
/// old permit, waiting requests would exhaust the permits.
#[test]
fn releases_permit_of_expired_grant_before_request_asks_again() {
    let hard_limit = HardLimit {
        rate: 8.0,
        capacity: Units::new(12.0),
    };
    let settings = SettingsBuilder::new(0, LARGE_FLEET)
        .hard_limit(TWO_CONCURRENT, hard_limit)
        .build();
    let mut gateway = GatewayHarness::sole_gateway(1, settings, SECOND, 0);
    // The owner's part of the hard limit starts empty.
    gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 4 * SECOND);
    gateway.advance(2 * SECOND);
    let rejected_or_failed = gateway.rejected_or_failed_count();
    for _ in 0..2 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 4 * SECOND);
    }
    gateway.advance(600 * MILLISECOND); // a grant is valid for 375 ms
    assert_eq!(gateway.rejected_or_failed_count(), rejected_or_failed);
}
