//! The server table against a naive one that keeps all and walks all for each sum.

use super::*;
use crate::settings::{Class, EndpointDiscovery, Idempotency, Permissions, Rules};
use crate::types::{EndpointUpdate, GatewayId, ZoneId};
use proptest::prelude::*;

const CLASSES: usize = 2;
const MAX_IDLE: Micros = 50;
const WARM_UP: Micros = 40;

/// What may come to a table.
#[derive(Clone, Debug)]
enum Step {
    Snapshot(Vec<Endpoint>),
    Delta(Vec<Endpoint>),
    /// A server's failure rate with a class, and the time of its next probe.
    Health(ServerId, usize, (f64, Option<Micros>)),
    Track(ServerId),
    Sent(ServerId),
    Finished(ServerId),
    EvictIdle,
    Wait(Micros),
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    let state = prop_oneof![4 => Just(EndpointState::Ready), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Gone)];
    let started = prop_oneof![2 => Just(None), 1 => (0..60u64).prop_map(Some)];
    (0..12u64, 0..3u64, state, started).prop_map(|(server, cell, state, started)| Endpoint {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(cell),
        state,
        weight: 1.0,
        started_at: started,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let server = || (0..12u64).prop_map(ServerId);
    let health =
        (0..=4u32, proptest::option::of(1..200u64)).prop_map(|(share, at)| (f64::from(share) / 4.0, at));
    prop_oneof![
        1 => proptest::collection::vec(endpoint(), 0..14).prop_map(Step::Snapshot),
        3 => proptest::collection::vec(endpoint(), 1..4).prop_map(Step::Delta),
        6 => (server(), 0..CLASSES, health).prop_map(|(server, class, health)| Step::Health(server, class, health)),
        2 => server().prop_map(Step::Track),
        1 => server().prop_map(Step::Sent),
        1 => server().prop_map(Step::Finished),
        2 => Just(Step::EvictIdle),
        2 => (1..40u64).prop_map(Step::Wait),
    ]
}

/// All that was ever listed and is not dropped, each with its health.
#[derive(Default)]
struct Naive {
    max_walked: usize,
    all: BTreeMap<ServerId, Known>,
}

#[derive(Clone)]
struct Known {
    endpoint: Endpoint,
    health: [(f64, Option<Micros>, Micros); CLASSES],
    in_flight: u32,
    last_used_at: Micros,
}

impl Naive {
    fn ready(&self) -> impl Iterator<Item = &Known> + Clone {
        self.all.values().filter(|known| known.endpoint.state == EndpointState::Ready)
    }

    fn list(&mut self, now: Micros, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let fresh =
                Known { endpoint: *endpoint, health: Default::default(), in_flight: 0, last_used_at: now };
            let known = self.all.entry(endpoint.server).or_insert_with(|| fresh.clone());
            if endpoint.state != EndpointState::Ready {
                known.endpoint.state = endpoint.state;
                continue;
            }
            if known.endpoint.started_at != endpoint.started_at {
                *known = Known { in_flight: known.in_flight, ..fresh };
            }
            known.endpoint = *endpoint;
        }
    }

    fn evict_idle(&mut self, now: Micros) {
        let forgets = self.ready().count() > self.max_walked;
        self.all.retain(|_, known| known.in_flight > 0 || known.endpoint.state != EndpointState::Gone);
        for known in self.all.values_mut() {
            let out = known.health.iter().any(|health| health.1.is_some());
            if forgets && known.in_flight == 0 && !out && now - known.last_used_at >= MAX_IDLE {
                known.health = Default::default();
            }
        }
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: 1,
        late_weight: 0.0,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        gateway_id: GatewayId(3),
        gateway_count: 9,
        zone: ZoneId(0),
        classes: vec![class; CLASSES],
        plans: Vec::new(),
        rules: Rules {
            warm_up_from: 0.1,
            warm_up_period: WARM_UP,
            overload_multiple: 2.0,
            overload_window: 1,
        },
        permissions: Permissions {
            max_attempts: 1,
            cancel_attempts: false,
            peer_messages: false,
            max_retry_after: None,
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: 1,
        peer_messages_per_second: 1.0,
        max_request_units: 1.0,
    }
}

fn same(table: &mut ServerTable, naive: &Naive, now: Micros) -> Result<(), TestCaseError> {
    let ids: Vec<_> = naive.ready().map(|known| known.endpoint.server).collect();
    prop_assert_eq!(table.ready_count(), ids.len());
    prop_assert_eq!(table.walks_all(), ids.len() <= naive.max_walked);
    let ring: HashRing = ids.iter().copied().collect();
    for after in 0..3 {
        let round: Vec<_> = table.ring_from(after).collect();
        prop_assert_eq!(round, ring.iter_from(after).collect::<Vec<_>>());
    }
    for cell in (0..3).map(CellId) {
        let members =
            naive.ready().filter(|known| known.endpoint.cell == cell).map(|known| known.endpoint.server);
        prop_assert_eq!(table.in_cell(cell).collect::<Vec<_>>(), members.collect::<Vec<_>>());
    }
    let mut seen = Vec::new();
    for class in 0..CLASSES {
        let health = || naive.ready().map(move |known| (known.endpoint.server, known.health[class]));
        let sum: f64 = health().map(|(_, health)| health.0).sum();
        prop_assert!((table.failure_rate_sum(ClassId(class)) - sum).abs() < 1e-6);
        prop_assert_eq!(
            table.ejected_count(ClassId(class)),
            health().filter(|(_, health)| health.1.is_some()).count()
        );
        let mut due: Vec<_> =
            health().filter_map(|(id, health)| Some((health.1.filter(|at| *at <= now)?, id))).collect();
        due.sort_unstable();
        let due: Vec<_> = due.into_iter().map(|(_, id)| id).collect();
        prop_assert_eq!(table.probes_due(ClassId(class), now).collect::<Vec<_>>(), due);
        let after = health().filter(|(_, health)| health.2 > now.saturating_sub(30));
        seen.extend(after.map(|(id, health)| (health.2, id, ClassId(class))));
    }
    seen.sort_unstable_by(|a, b| b.cmp(a));
    let seen: Vec<_> = seen.into_iter().map(|(_, id, class)| (id, class)).collect();
    prop_assert_eq!(table.observed_after(now.saturating_sub(30)).collect::<Vec<_>>(), seen);
    let warm = naive
        .ready()
        .filter(|known| known.endpoint.started_at.is_none_or(|started| started + WARM_UP <= now));
    prop_assert_eq!(table.warm_count(now), warm.count());
    for known in naive.all.values().filter(|known| known.health.iter().any(|health| health.2 > 0)) {
        let server = table.get(&known.endpoint.server);
        let kept = server.map(|server| {
            let health = server
                .health
                .iter()
                .map(|health| (health.failure_rate, health.next_probe_at, health.observed_at));
            (health.collect::<Vec<_>>(), server.in_flight)
        });
        prop_assert_eq!(kept, Some((known.health.to_vec(), known.in_flight)));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn its_sums_are_those_of_a_walk_over_all(
        max_walked in prop_oneof![Just(0usize), Just(4), Just(100)],
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut table = ServerTable::new(&settings(), max_walked);
        let mut naive = Naive { max_walked, ..Naive::default() };
        let mut now = 60;
        for step in steps {
            match step {
                Step::Snapshot(endpoints) => {
                    naive.all.values_mut().for_each(|known| known.endpoint.state = EndpointState::Gone);
                    naive.list(now, &endpoints);
                    table.apply_update(now, EndpointUpdate::Snapshot, endpoints);
                }
                Step::Delta(endpoints) => {
                    naive.list(now, &endpoints);
                    table.apply_update(now, EndpointUpdate::Delta, endpoints);
                }
                Step::Health(id, class, (failure_rate, probe_at)) => {
                    // Of one that is not ready and was never used the table knows nothing: it need not.
                    let Some(mut server) = table.get_mut(now, &id) else { continue };
                    let health = &mut server.health[class];
                    health.failure_rate = failure_rate;
                    health.next_probe_at = probe_at;
                    health.observed_at = now;
                    let known = naive.all.get_mut(&id);
                    prop_assert!(known.is_some());
                    known.into_iter().for_each(|known| {
                        (known.health[class], known.last_used_at) = ((failure_rate, probe_at, now), now);
                    });
                }
                Step::Track(id) => {
                    table.track(now, &id);
                    naive.all.get_mut(&id).into_iter().for_each(|known| known.last_used_at = now);
                }
                Step::Sent(id) => {
                    let Some(mut server) = table.get_mut(now, &id) else { continue };
                    server.in_flight += 1;
                    let known = naive.all.get_mut(&id).into_iter();
                    known.for_each(|known| (known.in_flight, known.last_used_at) = (known.in_flight + 1, now));
                }
                Step::Finished(id) => {
                    table.attempt_finished(&id);
                    let known = naive.all.get_mut(&id).into_iter();
                    known.for_each(|known| known.in_flight = known.in_flight.saturating_sub(1));
                }
                Step::EvictIdle => {
                    table.evict_idle(now, MAX_IDLE);
                    naive.evict_idle(now);
                }
                Step::Wait(span) => now += span,
            }
            // Of one that is not ready and was never used the table keeps not even when it started: it need not. So it
            // may forget only what has no attempt out and no evidence.
            let leaving = naive.all.values().filter(|known| known.endpoint.state != EndpointState::Ready);
            let left: Vec<_> = leaving.map(|known| known.endpoint.server).collect();
            for id in left.into_iter().filter(|id| table.get(id).is_none()) {
                let known = naive.all.remove(&id);
                let bare = |known: &Known| known.in_flight == 0 && known.health == <[_; CLASSES]>::default();
                prop_assert!(known.as_ref().is_some_and(bare));
            }
            same(&mut table, &naive, now)?;
        }
    }
}
