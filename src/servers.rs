//! The server table: what a gateway knows of the servers, and the sums that its decisions are made by, kept as entries
//! change. Of a server that this gateway does not use only the entry is kept. Nothing is decided here.

use crate::message;
use crate::state::{Health, Server};
use crate::subset::Ring;
use crate::*;
use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::{Deref, DerefMut};

/// Steps of a share of failures in the sum over all: as whole numbers, so that no error adds up.
const SHARE_STEPS: f64 = (1u64 << 32) as f64;

/// All servers that a gateway has been told of.
#[derive(Default)]
pub(crate) struct Servers {
    classes: usize,
    warm_up_period: Micros,
    walked: usize,
    /// Those with their state; more than these only where so many are ready that they are not walked.
    used: BTreeMap<ServerId, Server>,
    /// The entries of the other ready ones.
    spare: BTreeMap<ServerId, Endpoint>,
    /// The ready ones, in the order in which gateways share them out; by cell; and those that started within
    /// `cold_for` of now, by their start.
    ring: Ring,
    cells: BTreeSet<(CellId, ServerId)>,
    cold: BTreeSet<(Micros, ServerId)>,
    /// Servers by the short names of rumours.
    names: HashMap<u16, ServerId>,
    sums: Sums,
    visited: Cell<u64>,
}

/// What is kept over the ready servers.
#[derive(Default)]
struct Sums {
    /// By class: those that are out, by when the next trial may go.
    trials: Vec<BTreeSet<(Micros, ServerId)>>,
    /// By class: the sum of the shares of failures, in steps.
    failing: Vec<u64>,
    /// All evidence, by when it was seen.
    seen: BTreeSet<(Micros, ServerId, ClassId)>,
}

/// What the sums hold of a server's health with one class.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Counted {
    trial: Option<Micros>,
    failing: u64,
    seen: Micros,
}

impl Counted {
    fn of(health: &Health) -> Counted {
        let failing = (health.failing * SHARE_STEPS).round() as u64;
        Counted { trial: health.trial, failing, seen: health.seen }
    }
}

impl Sums {
    /// Follows a server's state; one that `counts` no more is taken off.
    fn follow(&mut self, server: &mut Server, counts: bool) {
        let id = server.entry.server;
        for (class, health) in server.health.iter_mut().enumerate() {
            let now = if counts { Counted::of(health) } else { Counted::default() };
            let before = std::mem::replace(&mut health.counted, now);
            if before.trial != now.trial {
                if let Some(at) = before.trial {
                    self.trials[class].remove(&(at, id));
                }
                self.trials[class].extend(now.trial.map(|at| (at, id)));
            }
            if before.seen != now.seen {
                self.seen.remove(&(before.seen, id, ClassId(class)));
                self.seen.extend((now.seen > 0).then_some((now.seen, id, ClassId(class))));
            }
            self.failing[class] = self.failing[class] - before.failing + now.failing;
        }
    }
}

/// A server that is being changed; the sums follow when it is let go.
pub(crate) struct Changing<'a> {
    server: &'a mut Server,
    sums: &'a mut Sums,
}

impl Deref for Changing<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.server
    }
}

impl DerefMut for Changing<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.server
    }
}

impl Drop for Changing<'_> {
    fn drop(&mut self) {
        let ready = self.server.ready();
        self.sums.follow(self.server, ready);
    }
}

impl Servers {
    /// None so far. All are kept with their state, and walked, as long as at most `walked` are ready.
    pub fn new(settings: &Settings, walked: usize) -> Servers {
        let classes = settings.classes.len();
        let trials = vec![BTreeSet::new(); classes];
        let sums = Sums { trials, failing: vec![0; classes], ..Sums::default() };
        Servers { classes, warm_up_period: settings.rules.warm_up_period, walked, sums, ..Servers::default() }
    }

    /// Whether so few are ready that each is kept with its state, and all may be walked.
    pub fn all_walked(&self) -> bool {
        self.ring.len() <= self.walked
    }

    /// How many servers were looked at since the start.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// How many servers and names are kept in mind.
    pub fn tracked_entries(&self) -> usize {
        self.used.len() + self.spare.len() + self.names.len()
    }

    /// The server of that short name.
    pub fn named(&self, short: u16) -> Option<ServerId> {
        self.names.get(&short).copied()
    }

    /// A server that is used.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.visit();
        self.used.get(id)
    }

    /// Whether a server of which something holds is used; `None` if that does not hold.
    pub fn look(&self, id: &ServerId, holds: impl Fn(&Server) -> bool) -> Option<bool> {
        if let Some(server) = self.get(id) {
            return holds(server).then_some(true);
        }
        let spare = self.spare.get(id).map(|entry| Server::unknown(*entry, 0, 0));
        spare.filter(holds).map(|_| false)
    }

    /// Servers of which something holds, and whether each is used; in the order of their ids. For each class the one
    /// whose trial is longest due; then at most `found` of those `looked` at: of a cell, if one is named, of a gateway's
    /// part of the ring, which are so `many` from its place, from a `start` in it and round, and of those beyond.
    pub fn find(
        &self, now: Micros, (me, many, start): (GatewayId, usize, usize), cell: Option<CellId>,
        (looked, found): (usize, usize), holds: impl Fn(&Server) -> bool + Copy,
    ) -> Vec<(ServerId, bool)> {
        let part = self.round(me, start).take(many - start).chain(self.round(me, 0).take(start));
        let near = cell.into_iter().flat_map(|cell| self.cell(cell)).take(looked / 2);
        let met = near.chain(part).chain(self.round(me, many)).take(looked);
        let fitting = |id| Some((id, self.look(&id, holds)?));
        let due = |class| self.due(ClassId(class), now).take(found).find_map(fitting);
        let trials = (0..self.classes).filter_map(due);
        let mut all: Vec<_> = trials.chain(met.filter_map(fitting).take(found)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// A server is used from now on.
    pub fn touch(&mut self, now: Micros, id: &ServerId) {
        self.get_mut(now, id);
    }

    /// A server to be changed. One that was not used so far is from now on.
    pub fn get_mut(&mut self, now: Micros, id: &ServerId) -> Option<Changing<'_>> {
        self.visit();
        let server = match self.used.entry(*id) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(place) => place.insert(Server::unknown(self.spare.remove(id)?, now, self.classes)),
        };
        server.met = now;
        Some(Changing { server, sums: &mut self.sums })
    }

    /// One attempt fewer is out at a server.
    pub fn release(&mut self, id: &ServerId) {
        self.visit();
        self.used.get_mut(id).into_iter().for_each(|server| server.open = server.open.saturating_sub(1));
    }

    /// The used ones, in the order of their ids.
    pub fn walk(&self) -> impl Iterator<Item = &Server> {
        self.used.values().inspect(|_| self.visit())
    }

    /// The same, to grant them credit: nothing that sums are kept of may be changed.
    pub fn walk_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        let visited = &self.visited;
        self.used.values_mut().inspect(|_| visited.set(visited.get() + 1))
    }

    /// The used ones that are ready.
    pub fn walk_ready(&self) -> impl Iterator<Item = &Server> {
        self.walk().filter(|server| server.ready())
    }

    /// The ready ones, in the order in which gateways share them out, from so many places after this gateway's on.
    pub fn round(&self, me: GatewayId, after: usize) -> impl Iterator<Item = ServerId> + '_ {
        self.ring.from(me, after)
    }

    /// The ready ones of a cell.
    pub fn cell(&self, cell: CellId) -> impl Iterator<Item = ServerId> + '_ {
        let members = self.cells.range((cell, ServerId(0))..=(cell, ServerId(u64::MAX)));
        members.map(|(_, server)| *server)
    }

    /// Those whose trial with a class is due, the longest due first.
    pub fn due(&self, class: ClassId, now: Micros) -> impl Iterator<Item = ServerId> + '_ {
        self.sums.trials[class.0].range(..=(now, ServerId(u64::MAX))).map(|(_, server)| *server)
    }

    /// Evidence on the ready ones that was seen after some time, the newest first.
    pub fn seen_after(&self, start: Micros) -> impl Iterator<Item = (ServerId, ClassId)> + '_ {
        let after = (start.saturating_add(1), ServerId(0), ClassId(0));
        self.sums.seen.range(after..).rev().map(|(_, server, class)| (*server, *class))
    }

    /// How many are ready.
    pub fn ready(&self) -> usize {
        self.ring.len()
    }

    /// How many of the ready ones are out for a class.
    pub fn out(&self, class: ClassId) -> usize {
        self.sums.trials[class.0].len()
    }

    /// Sum of the ready ones' shares of failures with a class: of all, if these are walked, with the bits of their sum
    /// in the order of their ids.
    pub fn failing(&self, class: ClassId) -> f64 {
        if self.all_walked() {
            return self.walk_ready().map(|server| server.health[class.0].failing).sum();
        }
        self.sums.failing[class.0] as f64 / SHARE_STEPS
    }

    /// How many of the ready ones are warm by now.
    pub fn warm(&mut self, now: Micros) -> usize {
        while self.cold.first().is_some_and(|(started, _)| started.saturating_add(self.warm_up_period) <= now)
        {
            self.cold.pop_first();
        }
        self.ring.len() - self.cold.len()
    }

    /// Takes in a list, or changes to it. A server that started anew is unknown again.
    pub fn list(&mut self, now: Micros, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        match kind {
            EndpointUpdate::Snapshot => self.list_whole(now, entries),
            EndpointUpdate::Delta => entries.into_iter().for_each(|entry| self.list_one(now, entry)),
        }
        if self.all_walked() {
            for (id, entry) in std::mem::take(&mut self.spare) {
                self.used.insert(id, Server::unknown(entry, now, self.classes));
            }
        }
    }

    fn list_one(&mut self, now: Micros, entry: Endpoint) {
        let id = entry.server;
        let before = self.get(&id).filter(|server| server.ready()).map(|server| server.entry);
        let all = self.all_walked();
        let after = if let Some(server) = self.listed_used(now, entry, all) {
            server.ready().then_some(server.entry)
        } else {
            Some(entry).filter(|entry| entry.state == EndpointState::Ready)
        };
        let used = self.used.contains_key(&id);
        let spare = after.filter(|_| !used);
        let was_spare = match spare {
            Some(entry) => self.spare.insert(id, entry),
            None => self.spare.remove(&id),
        };
        if after.is_some() {
            self.names.insert(message::short(id), id);
        } else if !used {
            self.unname(id);
        }
        self.place(now, before.or(was_spare), after);
    }

    /// Takes in an entry of a server that is used, or is to be.
    fn listed_used(&mut self, now: Micros, entry: Endpoint, begin: bool) -> Option<&Server> {
        let fresh = || Server::unknown(entry, now, self.classes);
        let server = match self.used.entry(entry.server) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(place) if begin => place.insert(fresh()),
            Entry::Vacant(_) => return None,
        };
        if entry.state != EndpointState::Ready {
            // Who leaves stays where it was, for what it may have run.
            server.entry.state = entry.state;
        } else {
            if server.entry.started_at != entry.started_at {
                self.sums.follow(server, false);
                *server = Server { open: server.open, ..fresh() };
            }
            server.entry = entry;
        }
        let ready = server.ready();
        self.sums.follow(server, ready);
        Some(server)
    }

    /// Moves a server to where its entry belongs, or takes it off if it is ready no more.
    fn place(&mut self, now: Micros, before: Option<Endpoint>, after: Option<Endpoint>) {
        if before == after {
            return;
        }
        if let Some(entry) = before {
            self.ring.remove(entry.server);
            self.cells.remove(&(entry.cell, entry.server));
            if let Some(started) = entry.started_at {
                self.cold.remove(&(started, entry.server));
            }
        }
        if let Some(entry) = after {
            self.ring.insert(entry.server);
            self.cells.insert((entry.cell, entry.server));
            self.cold.extend(self.cold_since(now, &entry));
        }
    }

    /// When a server started, if it is cold.
    fn cold_since(&self, now: Micros, entry: &Endpoint) -> Option<(Micros, ServerId)> {
        let cold = entry.started_at.filter(|started| started.saturating_add(self.warm_up_period) > now);
        cold.map(|started| (started, entry.server))
    }

    fn unname(&mut self, id: ServerId) {
        let short = message::short(id);
        if self.names.get(&short) == Some(&id) {
            self.names.remove(&short);
        }
    }

    fn list_whole(&mut self, now: Micros, entries: Vec<Endpoint>) {
        // The last entry of a server counts: where a list names one twice, fewer may be ready than it has entries.
        let last = |entry: &Endpoint| (entry.server, entry.state == EndpointState::Ready);
        let all = entries.len() <= self.walked
            || entries.iter().map(last).collect::<HashMap<_, _>>().values().filter(|ready| **ready).count()
                <= self.walked;
        let mut before = std::mem::take(&mut self.spare);
        if !before.is_empty() {
            self.names = self.used.keys().map(|id| (message::short(*id), *id)).collect();
        }
        self.used.values_mut().for_each(|server| server.entry.state = EndpointState::Gone);
        let mut spare = Vec::with_capacity(entries.len());
        for entry in entries {
            self.visit();
            if entry.state == EndpointState::Ready {
                self.names.insert(message::short(entry.server), entry.server);
            }
            // Who leaves stays where it was, also where it was not used.
            if let Some(known) = if all { before.remove(&entry.server) } else { None } {
                let known = Endpoint { state: EndpointState::Gone, ..known };
                self.used.insert(entry.server, Server::unknown(known, now, self.classes));
            }
            if self.listed_used(now, entry, all).is_none() {
                spare.push((entry.server, entry));
            }
        }
        self.spare = spare.into_iter().collect(); // the last entry of a server counts
        if self.spare.values().any(|entry| entry.state != EndpointState::Ready) {
            self.spare.retain(|_, entry| entry.state == EndpointState::Ready);
        }
        // Who is on the list no more is still to be taken off the sums.
        for server in self.used.values_mut() {
            let ready = server.ready();
            self.sums.follow(server, ready);
        }
        let used = self.used.values().filter(|server| server.ready()).map(|server| &server.entry);
        let ready = || used.clone().chain(self.spare.values());
        self.cells = ready().map(|entry| (entry.cell, entry.server)).collect();
        self.cold = ready().filter_map(|entry| self.cold_since(now, entry)).collect();
        self.ring = Ring::new(ready().map(|entry| entry.server));
    }

    /// Drops who is gone and holds no attempt; and where not all are walked, the state of those that tell nothing any
    /// more: not met for a span, not out, with no attempt out.
    pub fn tidy(&mut self, now: Micros, span: Micros) {
        let all = self.all_walked();
        let (mut gone, mut faded) = (Vec::new(), Vec::new());
        for server in self.walk().filter(|server| server.open == 0) {
            let trial = || server.health.iter().any(|health| health.trial.is_some());
            match server.entry.state {
                EndpointState::Gone => gone.push(server.entry.server),
                _ if all || now.saturating_sub(server.met) < span || trial() => {}
                _ => faded.push(server.entry.server),
            }
        }
        for id in gone {
            self.used.remove(&id);
            self.unname(id);
        }
        for id in faded {
            let Some(mut server) = self.used.remove(&id) else { continue };
            self.sums.follow(&mut server, false);
            if server.ready() {
                self.spare.insert(id, server.entry);
            } else {
                self.unname(id);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/servers.rs"]
mod tests;
