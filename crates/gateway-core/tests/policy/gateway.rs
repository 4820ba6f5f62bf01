//! The gateway as a whole: its rules under random events, determinism, memory and settings.

use crate::common::*;
use gateway_core::*;
use std::time::Duration;

#[test]
fn same_events_produce_same_actions() {
    let run = || {
        let mut gateway = GatewayHarness::with_servers(11, settings(0, 2), SECOND, 5);
        for step in 0..300u64 {
            let class = ClassId((step % 4) as usize);
            gateway.request(class, UNLIMITED, CustomerId(step % 5), SECOND);
            gateway.advance(10 * MILLISECOND);
            let outcome = if step % 3 == 0 {
                AttemptOutcome::ServerError
            } else {
                AttemptOutcome::Success
            };
            let first = gateway.in_flight.first().cloned();
            if let Some(attempt) = first.filter(|_| step % 2 == 0) {
                gateway.finish(&attempt.request, outcome);
            }
        }
        gateway.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn rejects_invalid_settings() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = settings(0, 1);
        change(&mut settings);
        Gateway::new(1, settings, Timestamp::EPOCH).err()
    };
    assert_eq!(error_of(|_| {}), None);
    assert_eq!(
        error_of(|settings| settings.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        error_of(|settings| settings.plans.clear()),
        Some(SettingsError::NoPlans)
    );
    assert_eq!(
        error_of(|settings| settings.gateway_id = GatewayId(4)),
        Some(SettingsError::UnknownGateway)
    );
    assert_eq!(
        error_of(|settings| settings.plans[0].rate = -1.0),
        Some(SettingsError::InvalidNumber)
    );
    assert_eq!(
        error_of(|settings| settings.classes[0].priority_weight = f64::NAN),
        Some(SettingsError::InvalidNumber)
    );
}

/// A request whose class or plan the settings do not describe must neither cause queued requests to
/// be sent nor set a timer.
#[test]
fn request_of_unknown_class_or_plan_fails_without_other_actions() {
    let unknown = [(ClassId(99), UNLIMITED), (IDEMPOTENT, PlanId(99))];
    for (class, plan) in unknown {
        let now = Timestamp::from_micros(SECOND);
        let mut gateway = Gateway::new(1, settings(0, 2), now).expect("valid settings");
        let id = RequestId("unknown".into());
        let event = Event::RequestReceived {
            id: id.clone(),
            class,
            plan,
            customer: CUSTOMER,
            units: Units::new(1.0),
            gateways: GatewaySet {
                first: GatewayId(0),
                count: 2,
            },
            client_timeout: Duration::from_secs(2),
        };
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        assert_eq!(
            actions,
            [Action::Fail { id }],
            "the failure is the only action"
        );
    }
}

/// Over a long time, replaced servers appear under new ids, and customers send a single request
/// each. Memory must not grow with the number of servers and customers ever seen.
#[test]
fn evicts_gone_servers_and_idle_customers() {
    let mut gateway = GatewayHarness::with_servers(1, settings(0, 2), SECOND, 4);
    for number in 0..300 {
        let gone = Endpoint {
            state: EndpointState::Gone,
            ..ready_endpoint(number)
        };
        let fresh = ready_endpoint(4 + number);
        gateway.update_endpoints(EndpointUpdate::Delta, vec![gone, fresh]);
        let plan = PlanId(number as usize % PLAN_COUNT);
        gateway.request(IDEMPOTENT, plan, CustomerId(1000 + number), 2 * SECOND);
        gateway.complete_all();
        gateway.advance(20 * MILLISECOND);
    }
    gateway.advance(90 * SECOND);
    let tracked = gateway.gateway.tracked_entries();
    assert!(tracked <= 8, "{tracked} entries are still tracked");
}

/// Outcomes of attempts, repeated in proportion to the probability with which they are drawn.
const OUTCOMES: [AttemptOutcome; 10] = [
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::ServerError,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// A gateway that receives random events.
struct RandomEvents {
    gateway: GatewayHarness,
    random: fastrand::Rng,
}

impl RandomEvents {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let gateway = GatewayHarness::with_servers(seed, settings(0, 2), SECOND, random.u64(1..8));
        RandomEvents { gateway, random }
    }

    /// Handles one random legal event, or lets some time pass.
    fn step(&mut self) {
        let in_flight = !self.gateway.in_flight.is_empty();
        match self.random.u32(0..14) {
            0..=3 => self.receive_request(),
            4..=7 if in_flight => self.finish_random_attempt(),
            8 => self.update_random_endpoint(),
            9 if self.random.u8(0..5) == 0 => self.replace_endpoints(),
            10 => self.receive_random_peer_message(),
            11 if in_flight && self.random.u8(0..4) == 0 => {
                let id = self.gateway.in_flight[0].request.clone();
                self.gateway.disconnect(&id);
            }
            _ => {
                self.gateway.advance(self.random.u64(0..20) * MILLISECOND);
            }
        }
    }

    fn receive_request(&mut self) {
        let class = ClassId(self.random.usize(0..CLASS_COUNT));
        let is_short = self.random.u8(0..9) == 0;
        let timeout = if is_short {
            0..30 * MILLISECOND
        } else {
            MILLISECOND..3 * SECOND
        };
        let timeout = self.random.u64(timeout);
        let plan = PlanId(self.random.usize(0..PLAN_COUNT));
        let customer = CustomerId(self.random.u64(0..6));
        self.gateway.request(class, plan, customer, timeout);
    }

    fn finish_random_attempt(&mut self) {
        let index = self.random.usize(0..self.gateway.in_flight.len());
        let id = self.gateway.in_flight[index].request.clone();
        let outcome = OUTCOMES[self.random.usize(0..OUTCOMES.len())];
        self.gateway.finish(&id, outcome);
    }

    fn update_random_endpoint(&mut self) {
        let states = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let state = states[self.random.usize(0..states.len())];
        let started_at = self
            .random
            .bool()
            .then_some(Timestamp::from_micros(self.gateway.now));
        let endpoint = Endpoint {
            state,
            started_at,
            ..ready_endpoint(self.random.u64(0..8))
        };
        self.gateway
            .update_endpoints(EndpointUpdate::Delta, vec![endpoint]);
    }

    fn replace_endpoints(&mut self) {
        let servers = self.random.u64(0..8);
        self.gateway.update_endpoints(
            EndpointUpdate::Snapshot,
            (0..servers).map(ready_endpoint).collect(),
        );
    }

    fn receive_random_peer_message(&mut self) {
        let length = self.random.usize(0..300);
        let bytes = (0..length).map(|_| self.random.u8(0..3)).collect();
        self.gateway.handle(Event::PeerMessage {
            from: GatewayId(1),
            bytes,
        });
    }
}

/// Handles random legal events from fixed seeds; the harness checks the rules.
#[test]
fn rules_hold_under_random_events() {
    let mut sent = 0;
    let mut unserved = 0;
    for seed in 0..40 {
        let mut events = RandomEvents::new(seed);
        for _ in 0..1500 {
            events.step();
        }
        events.gateway.advance(4 * SECOND);
        sent += events.gateway.sent_count();
        unserved += events.gateway.rejected_or_failed_count();
    }
    assert!(
        sent > 3000 && unserved > 1000,
        "too few requests to check the rules: {sent} sent, {unserved} rejected or failed"
    );
}
