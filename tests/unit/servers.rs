//! The server table against a naive one that keeps all and walks all for each sum.

use super::*;
use proptest::prelude::*;

const CLASSES: usize = 2;
const SPAN: Micros = 50;
const COLD_FOR: Micros = 40;

/// What may come to a table.
#[derive(Clone, Debug)]
enum Step {
    List(Vec<Endpoint>),
    Changes(Vec<Endpoint>),
    /// A server's share of failures with a class, the time of its next trial, and when that was seen.
    Health(ServerId, usize, (f64, Option<Micros>)),
    Touch(ServerId),
    Sent(ServerId),
    Ended(ServerId),
    Tidy,
    Wait(Micros),
}

fn entry() -> impl Strategy<Value = Endpoint> {
    let standing = prop_oneof![4 => Just(EndpointState::Ready), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Gone)];
    let started = prop_oneof![2 => Just(None), 1 => (0..60u64).prop_map(Some)];
    (0..12u64, 0..3u64, standing, started).prop_map(|(server, cell, standing, started)| Endpoint {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(cell),
        state: standing,
        weight: 1.0,
        started_at: started,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let server = || (0..12u64).prop_map(ServerId);
    let health =
        (0..=4u32, proptest::option::of(1..200u64)).prop_map(|(share, at)| (f64::from(share) / 4.0, at));
    prop_oneof![
        1 => proptest::collection::vec(entry(), 0..14).prop_map(Step::List),
        3 => proptest::collection::vec(entry(), 1..4).prop_map(Step::Changes),
        6 => (server(), 0..CLASSES, health).prop_map(|(server, class, health)| Step::Health(server, class, health)),
        2 => server().prop_map(Step::Touch),
        1 => server().prop_map(Step::Sent),
        1 => server().prop_map(Step::Ended),
        2 => Just(Step::Tidy),
        2 => (1..40u64).prop_map(Step::Wait),
    ]
}

/// All that was ever listed and is not dropped, each with its state.
#[derive(Default)]
struct Naive {
    walked: usize,
    all: BTreeMap<ServerId, Known>,
}

#[derive(Clone)]
struct Known {
    entry: Endpoint,
    health: [(f64, Option<Micros>, Micros); CLASSES],
    open: u32,
    met: Micros,
}

impl Naive {
    fn ready(&self) -> impl Iterator<Item = &Known> + Clone {
        self.all.values().filter(|known| known.entry.state == EndpointState::Ready)
    }

    fn list(&mut self, now: Micros, entries: &[Endpoint]) {
        for entry in entries {
            let fresh = Known { entry: *entry, health: Default::default(), open: 0, met: now };
            let known = self.all.entry(entry.server).or_insert_with(|| fresh.clone());
            if entry.state != EndpointState::Ready {
                known.entry.state = entry.state;
                continue;
            }
            if known.entry.started_at != entry.started_at {
                *known = Known { open: known.open, ..fresh };
            }
            known.entry = *entry;
        }
    }

    fn tidy(&mut self, now: Micros) {
        let forgets = self.ready().count() > self.walked;
        self.all.retain(|_, known| known.open > 0 || known.entry.state != EndpointState::Gone);
        for known in self.all.values_mut() {
            let out = known.health.iter().any(|health| health.1.is_some());
            if forgets && known.open == 0 && !out && now - known.met >= SPAN {
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
            warm_up_period: COLD_FOR,
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

fn same(table: &mut Servers, naive: &Naive, now: Micros) -> Result<(), TestCaseError> {
    let ids: Vec<_> = naive.ready().map(|known| known.entry.server).collect();
    prop_assert_eq!(table.ready(), ids.len());
    prop_assert_eq!(table.all_walked(), ids.len() <= naive.walked);
    let ring = Ring::new(ids.iter().copied());
    for after in 0..3 {
        let round: Vec<_> = table.round(GatewayId(3), after).collect();
        prop_assert_eq!(round, ring.from(GatewayId(3), after).collect::<Vec<_>>());
    }
    for cell in (0..3).map(CellId) {
        let members = naive.ready().filter(|known| known.entry.cell == cell).map(|known| known.entry.server);
        prop_assert_eq!(table.cell(cell).collect::<Vec<_>>(), members.collect::<Vec<_>>());
    }
    let mut seen = Vec::new();
    for class in 0..CLASSES {
        let health = || naive.ready().map(move |known| (known.entry.server, known.health[class]));
        let sum: f64 = health().map(|(_, health)| health.0).sum();
        prop_assert!((table.failing(ClassId(class)) - sum).abs() < 1e-6);
        prop_assert_eq!(table.out(ClassId(class)), health().filter(|(_, health)| health.1.is_some()).count());
        let mut due: Vec<_> =
            health().filter_map(|(id, health)| Some((health.1.filter(|at| *at <= now)?, id))).collect();
        due.sort_unstable();
        let due: Vec<_> = due.into_iter().map(|(_, id)| id).collect();
        prop_assert_eq!(table.due(ClassId(class), now).collect::<Vec<_>>(), due);
        let after = health().filter(|(_, health)| health.2 > now.saturating_sub(30));
        seen.extend(after.map(|(id, health)| (health.2, id, ClassId(class))));
    }
    seen.sort_unstable_by(|a, b| b.cmp(a));
    let seen: Vec<_> = seen.into_iter().map(|(_, id, class)| (id, class)).collect();
    prop_assert_eq!(table.seen_after(now.saturating_sub(30)).collect::<Vec<_>>(), seen);
    let warm =
        naive.ready().filter(|known| known.entry.started_at.is_none_or(|started| started + COLD_FOR <= now));
    prop_assert_eq!(table.warm(now), warm.count());
    for known in naive.all.values().filter(|known| known.health.iter().any(|health| health.2 > 0)) {
        let server = table.get(&known.entry.server);
        let kept = server.map(|server| {
            let health = server.health.iter().map(|health| (health.failing, health.trial, health.seen));
            (health.collect::<Vec<_>>(), server.open)
        });
        prop_assert_eq!(kept, Some((known.health.to_vec(), known.open)));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn its_sums_are_those_of_a_walk_over_all(
        walked in prop_oneof![Just(0usize), Just(4), Just(100)],
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut table = Servers::new(&settings(), walked);
        let mut naive = Naive { walked, ..Naive::default() };
        let mut now = 60;
        for step in steps {
            match step {
                Step::List(entries) => {
                    naive.all.values_mut().for_each(|known| known.entry.state = EndpointState::Gone);
                    naive.list(now, &entries);
                    table.list(now, EndpointUpdate::Snapshot, entries);
                }
                Step::Changes(entries) => {
                    naive.list(now, &entries);
                    table.list(now, EndpointUpdate::Delta, entries);
                }
                Step::Health(id, class, (failing, trial)) => {
                    // Of one that is not ready and was never used the table knows nothing: it need not.
                    let Some(mut server) = table.get_mut(now, &id) else { continue };
                    let health = &mut server.health[class];
                    (health.failing, health.trial, health.seen) = (failing, trial, now);
                    let known = naive.all.get_mut(&id);
                    prop_assert!(known.is_some());
                    known.into_iter().for_each(|known| {
                        (known.health[class], known.met) = ((failing, trial, now), now);
                    });
                }
                Step::Touch(id) => {
                    table.touch(now, &id);
                    naive.all.get_mut(&id).into_iter().for_each(|known| known.met = now);
                }
                Step::Sent(id) => {
                    let Some(mut server) = table.get_mut(now, &id) else { continue };
                    server.open += 1;
                    let known = naive.all.get_mut(&id).into_iter();
                    known.for_each(|known| (known.open, known.met) = (known.open + 1, now));
                }
                Step::Ended(id) => {
                    table.release(&id);
                    let known = naive.all.get_mut(&id).into_iter();
                    known.for_each(|known| known.open = known.open.saturating_sub(1));
                }
                Step::Tidy => {
                    table.tidy(now, SPAN);
                    naive.tidy(now);
                }
                Step::Wait(span) => now += span,
            }
            // Of one that is not ready and was never used the table keeps not even when it started: it need not. So it
            // may forget only what has no attempt out and no evidence.
            let leaving = naive.all.values().filter(|known| known.entry.state != EndpointState::Ready);
            let left: Vec<_> = leaving.map(|known| known.entry.server).collect();
            for id in left.into_iter().filter(|id| table.get(id).is_none()) {
                let known = naive.all.remove(&id);
                let bare = |known: &Known| known.open == 0 && known.health == <[_; CLASSES]>::default();
                prop_assert!(known.as_ref().is_some_and(bare));
            }
            same(&mut table, &naive, now)?;
        }
    }
}
