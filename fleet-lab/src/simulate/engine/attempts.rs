//! Attempts: from a gateway to a server, and how they end.

use super::queue::What;
use super::Engine;
use crate::world::invariant_checker::{Rule, Verdict};
use crate::world::servers::{Job, Server, ServerEvent};
use crate::world::RequestNo;
use edge_node::{
    AttemptNumber, AttemptOutcome, Endpoint, EndpointState, Event, GatewayId, Micros, RequestId, ServerId,
};
use rand::Rng as _;
use std::ops::Range;

/// One way between gateway and server, µs: in one zone, and across.
const NEAR: Range<Micros> = 200..500;
const FAR: Range<Micros> = 1_400..2_600;

impl Engine<'_> {
    /// One way between a gateway and a server, µs.
    pub(super) fn way(&mut self, node: u32, server: usize) -> Micros {
        let near = self.nodes[node as usize].zone == self.servers[server].entry.zone;
        self.rng.random_range(if near { NEAR } else { FAR })
    }

    fn is_cut(&self, node: u32, server: usize) -> bool {
        let (one, other) = (self.nodes[node as usize].zone, self.servers[server].entry.zone);
        self.experiment.timeline.cuts.part(self.now, one, other)
    }

    pub(super) fn send(&mut self, node: u32, id: &RequestId, to: ServerId, timeout: Option<Micros>) {
        let (now, me) = (self.now, GatewayId(node));
        let no = RequestNo::read(id).unwrap_or(RequestNo(u64::MAX));
        let known = self.discovery.knows(me, to);
        let Some(server) = self.places.get(&to).copied().filter(|_| known) else {
            let what = format!("gateway {node} sent to server {}, which it was never told of", to.0);
            return self.referee.broke(now, Rule::Drains, what);
        };
        let entry = self.servers[server].entry;
        if !self.referee.sent(now, me, no, entry, self.discovery.told_leaving(me, to)) {
            return;
        }
        self.referee.crossed += u64::from(entry.zone != self.nodes[node as usize].zone);
        let Some(open) = self.open.get_mut(&no) else { return };
        let attempt = AttemptNumber(open.attempts.len() as u32);
        open.attempts.push((server, true));
        let until = timeout.map_or(open.deadline, |span| open.deadline.min(now + span));
        let work = self.rng.random_range(self.experiment.machine.work.clone());
        let told = self.discovery.knows_start(me, to);
        let job = Job { request: no, attempt, node: me, until, work, told };
        self.put(until, What::Ends { no, attempt, outcome: AttemptOutcome::TimedOut, load: None });
        if self.is_cut(node, server) {
            let at = now + self.experiment.named.connect_timeout;
            return self
                .put(at, What::Ends { no, attempt, outcome: AttemptOutcome::Unreachable, load: None });
        }
        let way = self.way(node, server);
        self.put(now + way, What::Reaches { server, job });
    }

    pub(super) fn at_server(&mut self, place: usize, does: impl FnOnce(&mut Server, &mut Vec<ServerEvent>)) {
        let mut effects = std::mem::take(&mut self.effects);
        does(&mut self.servers[place], &mut effects);
        for effect in effects.drain(..) {
            match effect {
                ServerEvent::Runs { serial, done, job } => {
                    self.referee.ran(self.now, job.request);
                    self.put(done, What::Done { server: place, serial });
                }
                ServerEvent::Later { serial, done } => self.put(done, What::Done { server: place, serial }),
                ServerEvent::Ends { job, outcome, load } => {
                    // What a cut swallows is waited for until its time is up.
                    if !self.is_cut(job.node.0, place) {
                        let way = self.way(job.node.0, place);
                        let (no, attempt) = (job.request, job.attempt);
                        self.put(self.now + way, What::Ends { no, attempt, outcome, load });
                    }
                }
                ServerEvent::Fell(by) => {
                    let entry = self.servers[place].entry;
                    self.referee.fell(self.now, entry.server, by);
                    self.list(Endpoint { state: EndpointState::Gone, ..entry });
                }
            }
        }
        self.effects = effects;
    }

    /// An attempt ends, unless it has already.
    pub(super) fn ends(
        &mut self, no: RequestNo, number: AttemptNumber, outcome: AttemptOutcome, load: Option<f64>,
    ) {
        let Some(open) = self.open.get_mut(&no) else { return };
        let Some((_, out)) = open.attempts.get_mut(number.0 as usize) else { return };
        if !std::mem::replace(out, false) {
            return;
        }
        let (node, life) = (open.node, open.life);
        let served = outcome == AttemptOutcome::Success && !open.answered;
        open.answered |= served;
        let closed = open.answered;
        self.referee.ended(no, number, outcome);
        if served {
            self.referee.answered(self.now, no, Verdict::Served);
        }
        self.tidy(no);
        if self.nodes[node as usize].life == life {
            self.post(
                node,
                Event::AttemptFinished { id: no.id(), attempt: number, outcome, closed, reported_load: load },
            );
        }
    }
}
