//! After a jam: servers that are quick again are used again.

mod common;

use common::*;
use edge_node::*;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: u64 = 8;
const CORES: f64 = 4.0;
const MANY: f64 = 3.5 * CORES; // requests beyond which a server gets less done

/// A gateway before servers that take longer where they hold more than they work on at once.
struct Fleet {
    stand: Stand,
    /// When each attempt's answer comes.
    due: BTreeMap<RequestId, Micros>,
    customers: u64,
    random: fastrand::Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let stand = Stand::with_servers(seed, settings(0, 1), S, SERVERS);
        Fleet { stand, due: BTreeMap::new(), customers: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Tries come at a steady rate, a third of them of the lowest class, while a server takes so long for one
    /// alone. What share of the lowest class was sent on, and what share of all that was sent came to server 0.
    fn drive(&mut self, seconds: u64, per_s: u64, alone: impl Fn(u64) -> Micros) -> (f64, f64) {
        let end = self.stand.now + seconds * S;
        let (mut next, mut low) = (self.stand.now, BTreeSet::new());
        while self.stand.now < end {
            self.stand.pass(2 * MS);
            let now = self.stand.now;
            let over = |(id, at): (&RequestId, &Micros)| (*at <= now).then(|| id.clone());
            for id in self.due.iter().filter_map(over).collect::<Vec<_>>() {
                self.due.remove(&id);
                self.stand.end(&id, AttemptOutcome::Success);
            }
            while next <= now {
                (next, self.customers) = (next + S / per_s, self.customers + 1);
                let class = if self.customers.is_multiple_of(3) { SAFE } else { UNSAFE };
                let id = self.stand.request(class, 1, self.customers, 3 * S);
                low.extend((class == SAFE).then_some(id));
            }
            let mut held = BTreeMap::<ServerId, f64>::new();
            for (_, _, server) in &self.stand.out {
                *held.entry(*server).or_default() += 1.0;
            }
            for (id, _, server) in &self.stand.out {
                let work = (0.3 - 0.7 * self.random.f64().max(1e-6).ln()).min(4.0);
                let crowd = (held[server] / CORES).max(1.0) * (held[server] / MANY).max(1.0);
                let took = alone(server.0) as f64 * work * crowd;
                self.due.entry(id.clone()).or_insert(now + took as Micros);
            }
        }
        let (mut of_low, mut first, mut all) = (0.0, 0.0, 0.0);
        for action in self.stand.log.drain(..) {
            let Action::SendAttempt { id, server, .. } = action else { continue };
            of_low += f64::from(u8::from(low.contains(&id)));
            first += f64::from(u8::from(server.0 == 0));
            all += 1.0;
        }
        (of_low / low.len() as f64, first / all)
    }
}

fn well(_: u64) -> Micros {
    100 * MS
}

/// For ten seconds half of the servers take eight times as long, which is more than the others can make up for.
#[test]
fn the_lowest_class_is_let_in_again_within_five_seconds_of_a_jam() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        let (before, _) = fleet.drive(5, 250, well);
        let (jammed, _) =
            fleet.drive(10, 250, |server| if server < SERVERS / 2 { 800 * MS } else { well(server) });
        assert!(before > 0.95 && jammed < 0.5, "seed {seed}: no jam, {before} and {jammed}");
        fleet.drive(5, 250, well);
        let (after, _) = fleet.drive(5, 250, well);
        assert!(after > 0.95, "seed {seed}: {after} of the lowest class sent on");
    }
}

/// A server was slow alone, and the others could do without it.
#[test]
fn a_server_that_was_slow_is_used_again_within_five_seconds() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.drive(10, 150, |server| if server == 0 { 700 * MS } else { well(server) });
        fleet.drive(5, 150, well);
        let (_, share) = fleet.drive(5, 150, well);
        assert!(share > 0.25 / SERVERS as f64, "seed {seed}: {share} of what was sent");
    }
}
