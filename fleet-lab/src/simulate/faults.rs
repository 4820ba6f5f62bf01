//! Troubles by name, and when what happens of them. Spans are bounded by the play's length, so that a short play
//! sees their end too.

use crate::world::datagrams::{Cut, Cuts};
use crate::world::{micros, Rng, Span, START};
use crate::Failure;
use edge_node::{Endpoint, GatewayId, Micros, ServerId, ZoneId};
use rand::seq::SliceRandom;
use rand::Rng as _;
use std::collections::BTreeSet;

/// Number of the random source that troubles draw from.
pub const STREAM: u64 = 16;
/// A server that drains ends its process after this span, s: late lists have long been told by then.
const LINGER: f64 = 8.0;

/// A trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// None.
    Calm,
    /// All ask for half as much again, and two customers flood.
    Burst,
    /// One of eight servers takes requests and answers none.
    Hang,
    /// One of eight servers is six times slower.
    Slow,
    /// Half of the servers are replaced in steps by cold ones.
    Drain,
    /// Seven in ten gateways die at once and return.
    Kill,
    /// A zone is cut off, and datagrams are lost everywhere.
    Cut,
    /// Discovery falls silent, and one of eight servers drains just then.
    Silent,
    /// One more server is started, cold.
    Cold,
    /// One of eight servers crashes and comes back cold.
    Restart,
}

const NAMES: [(&str, Trouble); 10] = [
    ("calm", Trouble::Calm),
    ("burst", Trouble::Burst),
    ("hang", Trouble::Hang),
    ("slow", Trouble::Slow),
    ("drain", Trouble::Drain),
    ("kill", Trouble::Kill),
    ("cut", Trouble::Cut),
    ("silent", Trouble::Silent),
    ("cold", Trouble::Cold),
    ("restart", Trouble::Restart),
];

impl Trouble {
    /// The trouble of that name.
    ///
    /// # Errors
    /// If there is none.
    pub fn named(name: &str) -> Result<Trouble, Failure> {
        let known = NAMES.iter().find(|(known, _)| *known == name);
        let names = || NAMES.map(|(name, _)| name).join(", ");
        let unknown = || Failure::Senseless(format!("no trouble {name:?}; there are {}", names()));
        known.map(|(_, trouble)| *trouble).ok_or_else(unknown)
    }
}

/// Something that happens to servers or gateways.
#[derive(Clone, Debug)]
pub enum Step {
    /// A server answers nothing until then.
    Hang(ServerId, Micros),
    /// A server takes so many times longer.
    Slow(ServerId, f64),
    /// A server starts cold.
    Start(Endpoint),
    /// A server takes nothing new.
    Drain(ServerId),
    /// A server's process ends.
    Stop(ServerId),
    /// It comes back, cold.
    Restart(ServerId),
    /// A gateway is killed.
    Die(GatewayId),
    /// A gateway is started anew.
    Return(GatewayId),
}

/// All that happens.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// By time, µs.
    pub steps: Vec<(Micros, Step)>,
    /// Cuts of the network.
    pub cuts: Cuts,
    /// When discovery is silent.
    pub silent: Vec<Span>,
    /// When all customers ask for so many times more.
    pub surges: Vec<(Span, f64)>,
    /// When two customers add this share of all traffic.
    pub floods: Option<(Span, f64)>,
    /// When so many datagrams are lost.
    pub lossy: Option<(Span, f64)>,
}

impl Timeline {
    /// Draws what happens; `fresh` makes the entry of a new server in a zone, which starts then.
    pub fn new(
        rng: &mut Rng, troubles: &BTreeSet<Trouble>, span: Micros, nodes: u32, zones: u32,
        servers: &[Endpoint], fresh: &mut dyn FnMut(u32, Option<Micros>) -> Endpoint,
    ) -> Timeline {
        let mut line = Timeline::default();
        let at = |share: f64| START + (span as f64 * share) as Micros;
        let for_up_to =
            |from: f64, seconds: f64| Span { from: at(from), to: (at(from) + micros(seconds)).min(at(0.8)) };
        let mut order = servers.to_vec();
        order.shuffle(rng);
        let mut order = order.into_iter();
        let mut some =
            |parts: usize| -> Vec<Endpoint> { order.by_ref().take(servers.len().div_ceil(parts)).collect() };
        for trouble in troubles {
            match trouble {
                Trouble::Calm => {}
                Trouble::Burst => {
                    line.surges.push((for_up_to(0.25, 10.0), 1.5));
                    line.floods = Some((for_up_to(0.35, 12.0), 0.3));
                }
                Trouble::Hang => {
                    let hang = for_up_to(0.25, 12.0);
                    let steps =
                        some(8).into_iter().map(|server| (hang.from, Step::Hang(server.server, hang.to)));
                    line.steps.extend(steps);
                }
                Trouble::Slow => {
                    let slow = for_up_to(0.25, 16.0);
                    for server in some(8) {
                        line.steps.push((slow.from, Step::Slow(server.server, 6.0)));
                        line.steps.push((slow.to, Step::Slow(server.server, 1.0)));
                    }
                }
                Trouble::Drain => {
                    for server in some(2) {
                        let when = rng.random_range(at(0.2)..at(0.6));
                        line.steps.push((when, Step::Start(fresh(server.zone.0, Some(when)))));
                        line.leaves(when, server.server);
                    }
                }
                Trouble::Kill => {
                    let mut all: Vec<u32> = (0..nodes).collect();
                    all.shuffle(rng);
                    for node in all.into_iter().take(nodes as usize * 7 / 10) {
                        let back = at(0.3) + micros(rng.random_range(1.7..7.5));
                        line.steps.push((at(0.3), Step::Die(GatewayId(node))));
                        line.steps.push((back, Step::Return(GatewayId(node))));
                    }
                }
                Trouble::Cut => {
                    let span = for_up_to(0.3, 6.0);
                    line.cuts.0.push(Cut { zone: ZoneId(rng.random_range(0..zones)), span });
                    line.lossy = Some((span, 0.1));
                }
                Trouble::Silent => {
                    let span = for_up_to(0.25, 8.0);
                    line.silent.push(span);
                    let when = span.from + micros(0.1);
                    some(8).into_iter().for_each(|server| line.leaves(when, server.server));
                }
                Trouble::Restart => {
                    for server in some(8) {
                        line.steps.push((at(0.25), Step::Stop(server.server)));
                        let back = at(0.25) + micros(rng.random_range(1.0..4.0));
                        line.steps.push((back, Step::Restart(server.server)));
                    }
                }
                Trouble::Cold => {
                    let when = at(0.2);
                    line.steps.push((when, Step::Start(fresh(0, Some(when)))));
                }
            }
        }
        line
    }

    fn leaves(&mut self, when: Micros, server: ServerId) {
        self.steps.push((when, Step::Drain(server)));
        self.steps.push((when + micros(LINGER), Step::Stop(server)));
    }
}
