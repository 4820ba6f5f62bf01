//! Quotas by the gateway's own token buckets: what they cover, what peers use, hard limits and
//! concurrency limits.

use crate::common::*;
use gateway_core::*;

const PEER: GatewayId = GatewayId(1);

/// A usage message without any customer's count.
fn usage_bytes(incarnation: u32) -> Vec<u8> {
    let mut bytes = vec![4, 0];
    bytes.extend(incarnation.to_le_bytes());
    bytes
}

/// Shows only that the peer is alive.
fn heartbeat(incarnation: u32) -> Event {
    Event::PeerMessage {
        from: PEER,
        bytes: usage_bytes(incarnation),
    }
}

/// The peer's running count of a customer's units.
fn usage(incarnation: u32, customer: CustomerId, count: u16) -> Event {
    let mut bytes = usage_bytes(incarnation);
    bytes.extend(&customer.0.to_le_bytes()[..5]);
    bytes.extend((count * 8).to_le_bytes());
    Event::PeerMessage { from: PEER, bytes }
}

/// Consecutive requests of a plan, each completed at once if it was sent; returns how many were.
fn admitted(gateway: &mut GatewayHarness, plan: PlanId, requests: usize) -> usize {
    let sent =
        (0..requests).map(|_| gateway.request_and_complete(IDEMPOTENT, plan, CUSTOMER, 2 * S));
    sent.filter(|sent| *sent).count()
}

/// The peer sends a message twice a second for ten seconds.
fn receive_for_ten_seconds(gateway: &mut GatewayHarness, message: &Event) {
    for _ in 0..20 {
        gateway.now += 500 * MS;
        gateway.handle(message.clone());
    }
}

#[test]
fn a_token_bucket_rejects_what_it_cannot_cover_and_refills_at_the_rate() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    admitted(&mut gateway, SMALL_QUOTA, 5);
    let is_rejection = |action: &&Action| matches!(action, Action::Reject { .. });
    let rejected = gateway.actions.iter().filter(is_rejection).count();
    assert_eq!((gateway.sent_count(), rejected), (4, 1), "a burst of 4");
    let before = gateway.sent_count();
    for _ in 0..2 {
        gateway.handle(heartbeat(1));
        gateway.now += 700 * MS;
    }
    gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
    assert_eq!(
        gateway.sent_count(),
        before + 1,
        "1.4 units later one is covered"
    );
}

#[test]
fn a_silent_peer_keeps_its_share_of_the_refill() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    let mut sent = 0;
    for _ in 0..12 {
        gateway.now += S;
        sent += admitted(&mut gateway, SMALL_QUOTA, 1);
    }
    assert!(
        (6..=9).contains(&sent),
        "burst share 2 and half of 1 a second: {sent}"
    );
}

/// Requests out of six that are sent after a peer's counts, where ten units were known before.
fn admitted_after(counts: &[u16]) -> usize {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    let first = gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
    gateway.finish(&first, AttemptOutcome::Success);
    let known = usage(5, CUSTOMER, 10);
    gateway.handle(known.clone());
    // Both halves of the burst are full after ten seconds of messages from the peer.
    receive_for_ten_seconds(&mut gateway, &known);
    for count in counts {
        gateway.handle(usage(5, CUSTOMER, *count));
    }
    admitted(&mut gateway, SMALL_QUOTA, 6)
}

#[test]
fn peer_usage_is_counted_once_whatever_is_lost_late_or_repeated() {
    assert_eq!(admitted_after(&[]), 4, "nothing new: the whole burst");
    let in_order = admitted_after(&[11, 12]);
    assert!(in_order < 3, "the two units that the peer used are gone");
    for (case, counts) in [
        ("lost", &[12][..]),
        ("repeated", &[11, 11, 12, 12]),
        ("late", &[12, 11, 10]),
    ] {
        assert_eq!(admitted_after(counts), in_order, "{case}");
    }
}

/// A sender that evicted a customer counts from zero again.
#[test]
fn a_count_that_begins_anew_is_taken_in() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    let first = gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * S);
    gateway.finish(&first, AttemptOutcome::Success);
    gateway.handle(usage(5, CUSTOMER, 90));
    receive_for_ten_seconds(&mut gateway, &usage(5, CustomerId(8), 1));
    gateway.handle(usage(5, CUSTOMER, 3));
    assert!(
        admitted(&mut gateway, SMALL_QUOTA, 6) < 2,
        "the three units that the peer used are gone"
    );
}

/// Peers of a much older incarnation show a gateway that it has restarted: what it has not seen may
/// have been used.
#[test]
fn a_restart_refills_no_token_bucket() {
    let sent = |incarnation: u32| {
        let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), 100 * S, 4);
        gateway.handle(usage(incarnation, CustomerId(8), 1));
        admitted(&mut gateway, SMALL_QUOTA, 6)
    };
    assert_eq!(
        (sent(99_000), sent(50_000)),
        (4, 2),
        "a burst of 4, and its even share"
    );
}

/// One request that names a wrong plan neither fixes it for good, coming first, nor takes the right
/// one away.
#[test]
fn one_request_with_a_wrong_plan_does_not_change_the_plan() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    assert_eq!(admitted(&mut gateway, SMALL_QUOTA, 1), 1);
    assert_eq!(
        admitted(&mut gateway, UNLIMITED, 20),
        20,
        "a burst of 4 there, no limit here"
    );
    admitted(&mut gateway, SMALL_QUOTA, 2);
    assert_eq!(admitted(&mut gateway, UNLIMITED, 20), 20);
}

#[test]
fn attempts_in_flight_stay_under_the_even_share() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * S);
    }
    assert_eq!(
        gateway.in_flight.len(),
        1,
        "two in flight over two gateways"
    );
    let id = gateway.in_flight[0].request.clone();
    gateway.finish(&id, AttemptOutcome::Success);
    assert_eq!(gateway.in_flight.len(), 1, "the next one follows");
}

/// Consecutive requests of a customer with a hard limit; returns how many were sent.
fn hard_limited_burst(
    gateway: &mut GatewayHarness,
    customer: CustomerId,
    timeout: Micros,
) -> usize {
    let before = gateway.sent_count();
    for _ in 0..20 {
        gateway.request(IDEMPOTENT, HARD_LIMITED, customer, timeout);
        gateway.complete_all();
    }
    gateway.sent_count() - before
}

/// The share of the hard limit, 6 of 12, is empty at the start of a gateway and full after long;
/// evicting the bucket of a customer that stays away changes nothing of that.
#[test]
fn a_hard_limit_grants_no_more_after_an_eviction() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    for (rest, expected) in [(0, 0), (10 * S, 6), (90 * S, 6)] {
        gateway.advance(rest);
        assert_eq!(
            hard_limited_burst(&mut gateway, CUSTOMER, 300 * MS),
            expected,
            "after {rest} µs"
        );
        gateway.advance(400 * MS); // what waits is rejected
    }
    // An unknown customer has used nothing since the start.
    let mut fresh = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    fresh.now += 500 * MS;
    assert_eq!(
        hard_limited_burst(&mut fresh, CustomerId(8), S),
        2,
        "4 a second"
    );
}

const STEP: Micros = 5 * MS;

/// Three gateways of a customer with a hard limit of 8 units a second and a capacity of 12.
struct HardLimitScenario {
    random: fastrand::Rng,
    gateways: Vec<GatewayHarness>,
    /// What the hard limit still allows.
    left: f64,
    sent: usize,
}

impl HardLimitScenario {
    fn new(seed: u64) -> Self {
        let gateway = |number| GatewayHarness::with_servers(seed, settings(number, 3), S, 6);
        HardLimitScenario {
            random: fastrand::Rng::with_seed(seed),
            gateways: (0..3).map(gateway).collect(),
            left: 12.0,
            sent: 0,
        }
    }

    /// Now and then a gateway restarts; then each takes a step.
    fn step(&mut self, now: Micros, seed: u64) {
        self.left = (self.left + 8.0 * 0.005).min(12.0);
        if self.random.u32(0..300) == 0 {
            let number = self.random.u32(0..3);
            self.gateways[number as usize] =
                GatewayHarness::with_servers(seed, settings(number, 3), now, 6);
        }
        for gateway in &mut self.gateways {
            gateway.now = now;
            let before = gateway.sent_count();
            gateway.fire_due_timers();
            if self.random.u32(0..10) == 0 {
                gateway.request(IDEMPOTENT, HARD_LIMITED, CustomerId(9), S);
            }
            gateway.complete_all();
            let sent = gateway.sent_count() - before;
            self.left -= sent as f64;
            self.sent += sent;
        }
    }
}

#[test]
fn a_hard_limit_holds_over_gateways_without_messages_and_with_restarts() {
    for seed in 0..6 {
        let mut scenario = HardLimitScenario::new(seed);
        for step in 0..4000 {
            scenario.step(S + step * STEP, seed + step);
            assert!(scenario.left > -1e-6, "rule 5: {}", scenario.left);
        }
        assert!(
            scenario.sent > 50,
            "the hard limit lets its rate through: {}",
            scenario.sent
        );
    }
}

#[test]
fn requests_with_a_wrong_plan_that_are_not_consecutive_do_not_change_the_plan() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), S, 4);
    let mut sent = admitted(&mut gateway, SMALL_QUOTA, 1);
    for _ in 0..4 {
        sent += admitted(&mut gateway, UNLIMITED, 2);
        sent += admitted(&mut gateway, SMALL_QUOTA, 1);
    }
    assert_eq!(sent, 4, "a burst of 4");
}
