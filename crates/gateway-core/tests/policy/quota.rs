//! Quotas enforced by the gateway's own token buckets: their refill, the usage of peers, hard
//! limits and concurrency limits.

use crate::common::*;
use gateway_core::*;

const PEER: GatewayId = GatewayId(1);

/// Returns the bytes of a usage message that contains no customers.
fn usage_bytes(incarnation: u32) -> Vec<u8> {
    let mut bytes = vec![4, 0];
    bytes.extend(incarnation.to_le_bytes());
    bytes
}

/// Returns a message that only shows that the peer is alive.
fn heartbeat(incarnation: u32) -> Event {
    Event::PeerMessage {
        from: PEER,
        bytes: usage_bytes(incarnation),
    }
}

/// Returns a message with the peer's running count of a customer's units.
fn usage(incarnation: u32, customer: CustomerId, count: u16) -> Event {
    let mut bytes = usage_bytes(incarnation);
    bytes.extend(&customer.0.to_le_bytes()[..5]);
    bytes.extend((count * 8).to_le_bytes());
    Event::PeerMessage { from: PEER, bytes }
}

/// Receives consecutive requests of a plan, and completes each that is sent immediately. Returns
/// how many were sent.
fn count_admitted(gateway: &mut GatewayHarness, plan: PlanId, requests: usize) -> usize {
    let sent =
        (0..requests).map(|_| gateway.request_and_complete(IDEMPOTENT, plan, CUSTOMER, 2 * SECOND));
    sent.filter(|sent| *sent).count()
}

/// Receives a message from the peer twice a second for ten seconds.
fn receive_for_ten_seconds(gateway: &mut GatewayHarness, message: &Event) {
    for _ in 0..20 {
        gateway.now += 500 * MILLISECOND;
        gateway.handle(message.clone());
    }
}

/// Returns whether a request under a concurrency limit is sent at once while a peer forwards this many
/// units every half second.
fn is_sent_beside_peer_usage(over_quota_cost: f64, peer_units: u16) -> bool {
    let settings = SettingsBuilder::new(0, 2)
        .over_quota_cost(TWO_CONCURRENT, over_quota_cost)
        .build();
    let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 4);
    gateway.request_and_complete(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * SECOND);
    for number in 0..8 {
        gateway.now += 500 * MILLISECOND;
        gateway.handle(usage(5, CUSTOMER, number * peer_units));
    }
    gateway.request_and_complete(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * SECOND)
}

/// The plan promises its customer a number of attempts at once. What an attempt beyond it costs the
/// operator does not make a caller within it wait longer.
#[test]
fn wait_for_concurrency_limit_does_not_depend_on_over_quota_cost() {
    let outcomes = |cost| -> Vec<bool> {
        (0..20)
            .map(|peer_units| is_sent_beside_peer_usage(cost, peer_units))
            .collect()
    };
    let without_cost = outcomes(0.0);
    assert!(without_cost[0] && !without_cost[19], "{without_cost:?}");
    for cost in [0.5, 1.0, 8.0] {
        assert_eq!(outcomes(cost), without_cost, "cost {cost}");
    }
}

#[test]
fn token_bucket_rejects_uncovered_request_and_refills_at_rate() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    count_admitted(&mut gateway, SMALL_QUOTA, 5);
    let is_rejection = |action: &&Action| matches!(action, Action::Reject { .. });
    let rejected = gateway.actions.iter().filter(is_rejection).count();
    assert_eq!(
        (gateway.sent_count(), rejected),
        (4, 1),
        "the burst is 4 units"
    );
    let before = gateway.sent_count();
    for _ in 0..2 {
        gateway.handle(heartbeat(1));
        gateway.now += 700 * MILLISECOND;
    }
    gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    assert_eq!(
        gateway.sent_count(),
        before + 1,
        "a refill of 1.4 units covers one request"
    );
}

#[test]
fn refills_only_own_even_part_while_peer_is_silent() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    let mut sent = 0;
    for _ in 0..12 {
        gateway.now += SECOND;
        sent += count_admitted(&mut gateway, SMALL_QUOTA, 1);
    }
    assert!(
        (6..=9).contains(&sent),
        "2 units of the burst and half of 1 unit per second: {sent}"
    );
}

/// Lets a peer first report ten units, and then these counts. Returns how many of six requests are
/// sent after that.
fn count_admitted_after(counts: &[u16]) -> usize {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    let first = gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    gateway.finish(&first, AttemptOutcome::Success);
    let known = usage(5, CUSTOMER, 10);
    gateway.handle(known.clone());
    // Both halves of the burst are full after ten seconds of messages from the peer.
    receive_for_ten_seconds(&mut gateway, &known);
    for count in counts {
        gateway.handle(usage(5, CUSTOMER, *count));
    }
    count_admitted(&mut gateway, SMALL_QUOTA, 6)
}

#[test]
fn counts_peer_usage_once_if_messages_are_lost_late_or_repeated() {
    assert_eq!(
        count_admitted_after(&[]),
        4,
        "no new usage leaves the whole burst"
    );
    let in_order = count_admitted_after(&[11, 12]);
    assert!(in_order < 3, "the two units that the peer used are drained");
    for (case, counts) in [
        ("lost", &[12][..]),
        ("repeated", &[11, 11, 12, 12]),
        ("late", &[12, 11, 10]),
    ] {
        assert_eq!(count_admitted_after(counts), in_order, "{case}");
    }
}

/// A peer that has evicted a customer counts its usage from zero again.
#[test]
fn merges_peer_count_that_restarts_from_zero() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    let first = gateway.request(IDEMPOTENT, SMALL_QUOTA, CUSTOMER, 2 * SECOND);
    gateway.finish(&first, AttemptOutcome::Success);
    gateway.handle(usage(5, CUSTOMER, 90));
    receive_for_ten_seconds(&mut gateway, &usage(5, CustomerId(8), 1));
    gateway.handle(usage(5, CUSTOMER, 3));
    assert!(
        count_admitted(&mut gateway, SMALL_QUOTA, 6) < 2,
        "the three units that the peer used are drained"
    );
}

/// If a peer has been up for much longer than the gateway, the gateway has restarted. Units may
/// have been used before the restart, so the gateway must not use the whole burst again.
#[test]
fn restart_does_not_refill_token_bucket() {
    let sent = |incarnation: u32| {
        let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), 100 * SECOND, 4);
        gateway.handle(usage(incarnation, CustomerId(8), 1));
        count_admitted(&mut gateway, SMALL_QUOTA, 6)
    };
    assert_eq!(
        (sent(99_000), sent(50_000)),
        (4, 2),
        "a burst of 4 units, and its even part after a restart"
    );
}

/// A single request that names a wrong plan must not set the plan permanently if it arrives first,
/// nor replace the right plan if it arrives later.
#[test]
fn single_request_with_wrong_plan_does_not_change_plan() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    assert_eq!(count_admitted(&mut gateway, SMALL_QUOTA, 1), 1);
    assert_eq!(
        count_admitted(&mut gateway, UNLIMITED, 20),
        20,
        "the unlimited plan applies; the small quota has a burst of 4 units"
    );
    count_admitted(&mut gateway, SMALL_QUOTA, 2);
    assert_eq!(count_admitted(&mut gateway, UNLIMITED, 20), 20);
}

#[test]
fn attempts_in_flight_stay_within_even_part() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    for _ in 0..5 {
        gateway.request(IDEMPOTENT, TWO_CONCURRENT, CUSTOMER, 2 * SECOND);
    }
    assert_eq!(
        gateway.in_flight.len(),
        1,
        "the even part of a limit of two attempts is one at each of two gateways"
    );
    let id = gateway.in_flight[0].request.clone();
    gateway.finish(&id, AttemptOutcome::Success);
    assert_eq!(gateway.in_flight.len(), 1, "the next request is sent");
}

/// A client whose request the hard limit will not admit in its time is told so at once, and when to
/// return, instead of after it has waited in vain.
#[test]
fn request_that_hard_limit_will_not_admit_in_time_is_rejected_at_once() {
    let hard_limit = HardLimit {
        rate: 0.5,
        capacity: Units::new(2.0),
    };
    let settings = SettingsBuilder::new(0, 1)
        .hard_limit(HARD_LIMITED, hard_limit)
        .build();
    let mut gateway = GatewayHarness::with_servers(1, settings, SECOND, 4);
    // The hard limit starts empty: one unit is refilled in 2 s.
    let patient = gateway.request(IDEMPOTENT, HARD_LIMITED, CUSTOMER, 4 * SECOND);
    let impatient = gateway.request(IDEMPOTENT, HARD_LIMITED, CUSTOMER, SECOND);
    let actions = gateway.advance(20 * MILLISECOND);
    let is_told_to_return_in_two_seconds = |action: &Action| {
        matches!(action, Action::Reject { id, retry_after: Some(after) }
            if *id == impatient && (1900..=2000).contains(&after.as_millis()))
    };
    assert!(
        actions.iter().any(is_told_to_return_in_two_seconds),
        "{actions:?}"
    );
    gateway.advance(2 * SECOND);
    assert!(gateway.server_of(&patient).is_some());
}

/// Receives consecutive requests of a customer with a hard limit, and returns how many were sent.
fn count_sent_under_hard_limit(
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

/// The even part of the hard limit, 6 of 12 units, is empty when a gateway starts, and full after a
/// long time. Evicting the account of a customer that sends no requests does not change that.
#[test]
fn hard_limit_grants_no_more_after_eviction() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    for (pause, expected) in [(0, 0), (10 * SECOND, 6), (90 * SECOND, 6)] {
        gateway.advance(pause);
        assert_eq!(
            count_sent_under_hard_limit(&mut gateway, CUSTOMER, 300 * MILLISECOND),
            expected,
            "after {pause} µs"
        );
        gateway.advance(400 * MILLISECOND); // queued requests are rejected
    }
    // A customer without an account has used nothing since the gateway started.
    let mut fresh = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    fresh.now += 500 * MILLISECOND;
    assert_eq!(
        count_sent_under_hard_limit(&mut fresh, CustomerId(8), SECOND),
        2,
        "4 units per second for 500 ms"
    );
}

const STEP: Micros = 5 * MILLISECOND;

/// Three gateways of a customer with a hard limit of 8 units per second and a capacity of 12 units.
struct HardLimitScenario {
    random: fastrand::Rng,
    gateways: Vec<GatewayHarness>,
    /// Units that the hard limit still allows.
    remaining: f64,
    sent: usize,
}

impl HardLimitScenario {
    fn new(seed: u64) -> Self {
        let gateway = |number| GatewayHarness::with_servers(seed, settings(number, 3), SECOND, 6);
        HardLimitScenario {
            random: fastrand::Rng::with_seed(seed),
            gateways: (0..3).map(gateway).collect(),
            remaining: 12.0,
            sent: 0,
        }
    }

    /// Restarts a random gateway in some steps. Lets every gateway handle its timers and, in some
    /// steps, a request.
    fn step(&mut self, now: Micros, seed: u64) {
        self.remaining = (self.remaining + 8.0 * 0.005).min(12.0);
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
                gateway.request(IDEMPOTENT, HARD_LIMITED, CustomerId(9), SECOND);
            }
            gateway.complete_all();
            let sent = gateway.sent_count() - before;
            self.remaining -= sent as f64;
            self.sent += sent;
        }
    }
}

#[test]
fn hard_limit_holds_without_peer_messages_and_across_restarts() {
    for seed in 0..6 {
        let mut scenario = HardLimitScenario::new(seed);
        for step in 0..4000 {
            scenario.step(SECOND + step * STEP, seed + step);
            assert!(
                scenario.remaining > -1e-6,
                "the hard limit is exceeded: {} units remain",
                scenario.remaining
            );
        }
        assert!(
            scenario.sent > 50,
            "only {} requests were sent; the hard limit allows more",
            scenario.sent
        );
    }
}

#[test]
fn nonconsecutive_requests_with_wrong_plan_do_not_change_plan() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    let mut sent = count_admitted(&mut gateway, SMALL_QUOTA, 1);
    for _ in 0..4 {
        sent += count_admitted(&mut gateway, UNLIMITED, 2);
        sent += count_admitted(&mut gateway, SMALL_QUOTA, 1);
    }
    assert_eq!(sent, 4, "the burst is 4 units");
}
