//! Leases: units that quota owners of a large fleet grant ahead of the requests that use them.

use crate::common::fleet::Fleet;
use crate::common::*;
use gateway_core::*;

/// Chooses the same gateway for nine in ten requests, because real customers spread their requests
/// unevenly over gateways.
fn choose_mostly_one_gateway(random: &mut fastrand::Rng, gateways: usize) -> usize {
    if random.u8(0..10) < 9 {
        3
    } else {
        random.usize(0..gateways)
    }
}

/// Guards against a flood of lease requests. A gateway's message intake is bounded: if too many
/// lease requests are sent, some are lost, and each lost lease request is sent again. A busy
/// gateway must therefore not exchange messages with an owner for each request.
#[test]
fn busy_gateway_sends_fewer_lease_requests_than_requests() {
    let mut fleet = Fleet::new(60, 40, |settings| {
        let hard_limit = HardLimit {
            rate: 120.0,
            capacity: Units::new(120.0),
        };
        settings
            .rate(HARD_LIMITED, 60.0)
            .burst(HARD_LIMITED, 60.0)
            .hard_limit(HARD_LIMITED, hard_limit)
    });
    // The owner's part of the hard limit starts empty.
    fleet.drive_chosen_gateways(HARD_LIMITED, 30, 1, choose_mostly_one_gateway);
    let messages_before = fleet.messages_sent;
    let requests = 30 * 6;
    let sent = fleet.drive_chosen_gateways(HARD_LIMITED, 30, 6, choose_mostly_one_gateway);
    assert!(
        sent >= 171,
        "{sent} of {requests} requests were sent, all within the hard limit and the quota"
    );
    let messages = fleet.messages_sent - messages_before;
    assert!(
        messages * 4 <= requests * 5,
        "{messages} messages for {requests} requests; without leases, each request causes two"
    );
}

/// Leased units count as used until they are returned, and they are returned only once.
#[test]
fn hard_limit_holds_when_leases_are_lost_late_or_repeated() {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(60, 40, |settings| settings);
        fleet.random = fastrand::Rng::with_seed(seed);
        let started_at = fleet.now();
        let mut sent = 0;
        for round in 0..4 {
            // Bursts and pauses, so that leases expire, are returned and are granted again.
            sent += fleet.drive_chosen_gateways(HARD_LIMITED, 100, 1, choose_mostly_one_gateway);
            fleet.advance(SECOND);
            sent += fleet.complete_all();
            if round % 2 == 1 {
                fleet.restart_all(seed + round, 40);
            }
        }
        let seconds = (fleet.now() - started_at) as f64 / SECOND as f64;
        let max_sent = 12.0 + 8.0 * seconds;
        assert!(
            sent as f64 <= max_sent && sent >= 10,
            "seed {seed}: {sent} requests were sent, the hard limit allows {max_sent}"
        );
    }
}

/// Returns settings with a hard limit of 40 units that refills in 2 s, and a quota that is never
/// exceeded before the hard limit.
fn hard_limited_settings(gateway: u32) -> Settings {
    SettingsBuilder::new(gateway, LARGE_FLEET)
        .rate(HARD_LIMITED, 20.0)
        .burst(HARD_LIMITED, 1000.0)
        .hard_limit(
            HARD_LIMITED,
            HardLimit {
                rate: 20.0,
                capacity: Units::new(40.0),
            },
        )
        .build()
}

/// The quota owner to which gateways send lease requests.
struct Owner {
    id: GatewayId,
    harness: GatewayHarness,
}

/// A gateway, the quota owner of its customer, and the number of requests that were sent.
struct LeaseScenario {
    gateway: GatewayHarness,
    owner: Option<Owner>,
    sent: usize,
}

impl LeaseScenario {
    /// Creates a scenario with one gateway. The owner's part of the hard limit has had time to
    /// fill.
    fn new() -> Self {
        let gateway = GatewayHarness::with_servers(1, hard_limited_settings(3), SECOND, 40);
        let mut scenario = LeaseScenario {
            gateway,
            owner: None,
            sent: 0,
        };
        scenario.request(1);
        scenario.gateway.advance(5 * SECOND);
        scenario.sent = 0;
        scenario.gateway.actions.clear();
        scenario
    }

    /// Receives one request at the gateway, and delivers a resulting lease request to the owner
    /// `copies` times. Returns whether the request was sent immediately, without a response of the
    /// owner.
    fn request(&mut self, copies: usize) -> bool {
        let actions_before = self.gateway.actions.len();
        let id = self
            .gateway
            .request(IDEMPOTENT, HARD_LIMITED, CUSTOMER, 2 * SECOND);
        let sent_immediately = self.gateway.server_of(&id).is_some();
        let actions = self.gateway.actions[actions_before..].to_vec();
        for action in actions {
            let Action::SendToPeer { to, bytes } = action else {
                continue;
            };
            for _ in 0..copies {
                self.exchange_with_owner(to, &bytes);
            }
        }
        self.sent += usize::from(self.gateway.server_of(&id).is_some());
        sent_immediately
    }

    /// Delivers a lease request to the owner, and the owner's responses to the gateway.
    fn exchange_with_owner(&mut self, to: GatewayId, bytes: &[u8]) {
        let from = self.gateway.settings.gateway_id;
        let now = self.gateway.now;
        let owner = self.owner.get_or_insert_with(|| Owner {
            id: to,
            harness: GatewayHarness::new(1, hard_limited_settings(to.0), now),
        });
        assert_eq!(owner.id, to, "the customer has one owner");
        owner.harness.now = now;
        for response in owner.harness.handle(Event::PeerMessage {
            from,
            bytes: bytes.to_vec(),
        }) {
            let Action::SendToPeer { bytes, .. } = response else {
                continue;
            };
            self.gateway.handle(Event::PeerMessage { from: to, bytes });
        }
    }

    /// Uses a lease for a while, then lets the rest of it expire.
    fn let_lease_expire(&mut self) {
        let mut sent_on_lease = 0;
        for _ in 0..24 {
            sent_on_lease += u32::from(self.request(1));
            self.gateway.advance(50 * MILLISECOND);
        }
        assert!(
            sent_on_lease >= 12,
            "{sent_on_lease} of 24 requests were sent on a lease"
        );
        self.gateway.advance(520 * MILLISECOND);
    }

    /// Receives one request at each of these gateways, which leaves the owner with fewer units.
    fn request_at_other_gateways(&mut self, gateways: std::ops::Range<u32>) {
        let now = self.gateway.now;
        for number in gateways {
            let other = GatewayHarness::with_servers(1, hard_limited_settings(number), now, 40);
            let original = std::mem::replace(&mut self.gateway, other);
            self.request(1);
            self.gateway = original;
        }
    }
}

/// Returns how many requests are sent until the owner runs out of units, if an expired lease is
/// returned `copies` times.
fn sent_until_owner_runs_out(copies: usize) -> usize {
    let mut scenario = LeaseScenario::new();
    scenario.let_lease_expire();
    scenario.request_at_other_gateways(100..115); // makes room for the returned units
    assert!(
        !scenario.request(copies),
        "an expired lease covers no request"
    );
    scenario.request_at_other_gateways(115..200);
    scenario.sent
}

/// If a lease were used after it expires, or returned twice, the hard limit would be exceeded.
#[test]
fn expired_lease_is_returned_only_once() {
    let sent_with_one_return = sent_until_owner_runs_out(1);
    let sent_with_two_returns = sent_until_owner_runs_out(2);
    assert!(
        sent_with_two_returns <= sent_with_one_return,
        "one return: {sent_with_one_return} requests sent; two returns: {sent_with_two_returns}"
    );
    // The owner's part is 0.7 of the hard limit: 40 units, a quarter of them reserved, and 20 units
    // per second over 1.72 s. Leased units that were not used are granted to other gateways.
    let max_sent = 0.7 * (0.75 * 40.0 + 20.0 * 1.72);
    assert!(
        (max_sent - 3.0..=max_sent).contains(&(sent_with_one_return as f64)),
        "{sent_with_one_return} requests were sent, of at most {max_sent}"
    );
}

/// In a partition, or if gateways receive more messages than they can take in, frequent lease
/// requests would cause more losses.
#[test]
fn repeats_unanswered_lease_request_at_growing_intervals() {
    let mut gateway = GatewayHarness::with_servers(5, settings(0, LARGE_FLEET), SECOND, 40);
    gateway.request(IDEMPOTENT, HARD_LIMITED, CUSTOMER, 8 * SECOND);
    gateway.advance(3900 * MILLISECOND);
    let is_message = |action: &&Action| matches!(action, Action::SendToPeer { .. });
    let lease_requests = gateway.actions.iter().filter(is_message).count();
    assert!(
        (4..=8).contains(&lease_requests),
        "{lease_requests} lease requests in 3.9 s"
    );
}

/// Message to another gateway.
#[derive(Clone)]
struct SentMessage {
    to: GatewayId,
    bytes: Vec<u8>,
}

/// Returns the messages to other gateways among `actions`.
fn sent_messages(actions: &[Action]) -> Vec<SentMessage> {
    let message = |action: &Action| match action {
        Action::SendToPeer { to, bytes } => Some(SentMessage {
            to: *to,
            bytes: bytes.clone(),
        }),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

/// An owner counts as unresponsive only after consecutive timeouts, because a few messages are
/// always lost.
#[test]
fn owner_that_responds_between_timeouts_is_asked_instead_of_standby_owner() {
    let settings = |gateway| {
        let exhausted_hard_limit = HardLimit {
            rate: 0.1,
            capacity: Units::new(12.0),
        };
        SettingsBuilder::new(gateway, LARGE_FLEET)
            .rate(HARD_LIMITED, 20.0)
            .hard_limit(HARD_LIMITED, exhausted_hard_limit)
    };
    let mut gateway = GatewayHarness::with_servers(1, settings(3).build(), SECOND, 40);
    let mut owner: Option<GatewayHarness> = None;
    for _ in 0..5 {
        gateway.actions.clear();
        gateway.request(IDEMPOTENT, HARD_LIMITED, CUSTOMER, 2 * SECOND);
        gateway.advance(100 * MILLISECOND); // the first lease request is lost, and repeated
        let sent = sent_messages(&gateway.actions);
        let SentMessage { to, bytes } = sent.last().expect("a lease request was sent").clone();
        let owner =
            owner.get_or_insert_with(|| GatewayHarness::new(1, settings(to.0).build(), SECOND));
        assert!(
            sent.iter()
                .all(|message| message.to == owner.settings.gateway_id),
            "all lease requests go to the same owner"
        );
        owner.now = gateway.now;
        let from = gateway.settings.gateway_id;
        for response in sent_messages(&owner.handle(Event::PeerMessage { from, bytes })) {
            gateway.handle(Event::PeerMessage {
                from: to,
                bytes: response.bytes,
            });
        }
    }
}
