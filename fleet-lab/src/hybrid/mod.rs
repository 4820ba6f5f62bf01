//! Real processes on loopback beside hollow nodes: the same tenants, the same loan servers, the same datagrams.
//! The rules have to hold over both kinds together, and the kinds have to cost and send alike.

pub mod ledger;
pub mod report;
pub mod scenario;

mod datagrams;
mod discovery;
mod environment;
mod hollow_node;
mod real_node;
mod servers;

use crate::Failure;
use anyhow::{Context, Result};
use datagrams::Datagrams;
use discovery::Roster;
use edge_node::{GatewayId, RequestId};
use environment::{Clock, World};
use hollow_node::Hollow;
use ledger::{Ledger, Try};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use real_node::Real;
use report::{Report, Tally};
use scenario::{Scene, Trouble, Wish, DEADLINE, DRAIN_GRACE};
use servers::Server;
use std::cell::RefCell;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A run takes no longer than this on top of the time in which clients come.
const OVERTIME: Duration = Duration::from_secs(14);
/// Most requests a second, over all nodes: more is no experiment on one processor.
const RATE_MOST: f64 = 5000.0;

/// What the command is told.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Real nodes, 1 to 4.
    #[arg(long, default_value_t = 2)]
    real: u32,
    /// Hollow nodes, 1 to 100.
    #[arg(long, default_value_t = 10)]
    hollow: u32,
    /// For how long clients come, in seconds, 1 to 120.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Requests a second at each node, in the mean.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// For all that is left to chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many nodes the settings tell of, 1000 at most; those that are not there are silent. All that are there, if
    /// it is left out.
    #[arg(long)]
    fleet_size: Option<u32>,
    /// The factor within which real and hollow nodes have to agree, beyond what chance explains.
    #[arg(long, default_value_t = 2.0)]
    within: f64,
    /// The share of a quota that may be used on top of it in the long run: an understudy's part in a wide fleet, and
    /// in a small one what nodes forget of debts deeper than their stores.
    #[arg(long, default_value_t = 0.3)]
    doubt: f64,
    /// What befalls the loan servers.
    #[arg(long, value_enum, default_value_t = Trouble::Mixed)]
    trouble: Trouble,
    /// The edge node's program; the one beside this program, if it is left out.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where to write the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Args {
    /// The scene and the program that these describe, or why they describe none.
    fn read(&self) -> Result<(Scene, PathBuf), String> {
        let within = |what: &str, value: u32, most: u32| {
            let fits = (1..=most).contains(&value);
            if fits {
                Ok(())
            } else {
                Err(format!("--{what} {value}: it has to be from 1 to {most}"))
            }
        };
        within("real", self.real, 4)?;
        within("hollow", self.hollow, 100)?;
        within("seconds", self.seconds, 120)?;
        let nodes = self.real + self.hollow;
        let fleet = self.fleet_size.unwrap_or(nodes);
        if !(nodes..=1000).contains(&fleet) {
            return Err(format!(
                "--fleet-size {fleet}: it has to be from {nodes}, the nodes there are, to 1000"
            ));
        }
        if !(self.rate > 0.0 && self.rate * f64::from(nodes) <= RATE_MOST) {
            return Err(format!(
                "--rate {}: it has to be above 0, and {RATE_MOST} over all nodes at most",
                self.rate
            ));
        }
        if !(self.within >= 1.0 && self.within.is_finite()) {
            return Err(format!("--within {}: a factor is 1 or more", self.within));
        }
        if !(0.0..=1.0).contains(&self.doubt) {
            return Err(format!("--doubt {}: a share is from 0 to 1", self.doubt));
        }
        let beside = || Some(std::env::current_exe().ok()?.parent()?.join("edge-node"));
        let program = self.program.clone().or_else(beside).unwrap_or_default();
        if !program.is_file() {
            return Err(format!("no program at {}: `cargo build --release` builds it", program.display()));
        }
        Ok((Scene::new(nodes, fleet, self.rate, self.doubt), program))
    }
}

/// Runs it.
///
/// # Errors
/// The arguments make no sense, a part of the run could not be started, a rule was broken, or the two kinds of nodes
/// do not agree.
pub fn run(args: &Args) -> Result<(), Failure> {
    let (scene, program) = args.read().map_err(Failure::InvalidArguments)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let most = Duration::from_secs(args.seconds.into()) + OVERTIME;
    let play = async { tokio::time::timeout(most, play(args, scene, program)).await };
    let report = tokio::task::LocalSet::new().block_on(&runtime, play);
    let report = report.with_context(|| format!("it was not over after {most:?}"))??;
    write!(std::io::stdout(), "{report}")?;
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n").with_context(|| format!("--json {}", path.display()))?;
    }
    match report.faults() {
        faults if faults.is_empty() => Ok(()),
        faults => Err(Failure::Failed(anyhow::anyhow!(faults.join("; ")))),
    }
}

/// The numbers of the real nodes: spread evenly among the hollow ones, so that both kinds share customers.
fn places(real: u32, nodes: u32) -> Vec<GatewayId> {
    (0..real).map(|place| GatewayId(place * nodes / real)).collect()
}

/// A node of either kind.
enum Node {
    Real(Box<Real>),
    Hollow(Rc<Hollow>),
}

/// What both kinds did: the real nodes', then the hollow ones'.
struct Tallies([Tally; 2]);

impl Tallies {
    fn of(&mut self, node: &Node) -> &mut Tally {
        &mut self.0[usize::from(matches!(node, Node::Hollow(_)))]
    }
}

async fn port() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("a port")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn play(args: &Args, scene: Scene, program: PathBuf) -> Result<Report> {
    let folder = tempfile::tempdir().context("a folder for configurations")?;
    let real = places(args.real, scene.nodes);
    let clock = Clock::start();
    let servers = Server::all(scene.slots(), args.seed);
    let (mut listeners, mut dials) = (Vec::new(), Vec::new());
    for _ in &servers {
        let (listener, dial) = port().await?;
        listeners.push(listener);
        dials.push(dial);
    }
    // Held until just before the program takes them over: nothing else here gets the same ones.
    let mut own: Vec<Option<UdpSocket>> = (0..scene.nodes).map(|_| None).collect();
    for number in &real {
        own[number.0 as usize] = Some(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    }
    let names = servers.iter().zip(dials).map(|(server, dial)| (server.name.clone(), server.id, dial));
    let roster = Roster::new(names);
    let address = |own: &Option<UdpSocket>| own.as_ref().map(UdpSocket::local_addr).transpose();
    let addresses = own.iter().map(address).collect::<std::io::Result<Vec<_>>>()?;
    let datagrams = Datagrams::bind(&addresses, scene.fleet as usize).await?;
    let ledger = RefCell::new(Ledger::new(clock.now(), DRAIN_GRACE, scene.limits()));
    let world = Rc::new(World { clock, scene, ledger, servers, roster, datagrams });
    for (place, listener) in listeners.into_iter().enumerate() {
        tokio::task::spawn_local(Server::listen(Rc::clone(&world), place, listener));
    }
    let lost = Rc::clone(&world);
    tokio::task::spawn_local(async move { lost.datagrams.lose().await });

    let mut random = ChaCha8Rng::seed_from_u64(args.seed);
    let mut nodes = Vec::new();
    for (number, own) in (0..).map(GatewayId).zip(own) {
        nodes.push(match own {
            Some(own) => {
                let (listener, agent) = port().await?;
                tokio::task::spawn_local(discovery::listen(Rc::clone(&world), number, listener));
                let pass_on = Rc::clone(&world);
                tokio::task::spawn_local(async move {
                    loop {
                        pass_on.datagrams.next(number).await;
                    }
                });
                let (seed, datagrams) = (random.random(), own.local_addr()?);
                drop(own);
                let node = Real::start(&world, number, &program, folder.path(), agent, datagrams, seed);
                Node::Real(Box::new(node.await?))
            }
            None => Node::Hollow(Hollow::start(&world, number, random.random())?),
        });
    }
    let nodes = Rc::new(nodes);
    let tallies = offer(args, &world, &nodes, random).await?;
    let rules = world.ledger.borrow().rules();
    // Danger: a node that ends with an error and leaves a clean report. Clients are all gone by now.
    let mut leaving = JoinSet::new();
    for node in Rc::into_inner(nodes).context("a client still holds the nodes")? {
        if let Node::Real(real) = node {
            leaving.spawn_local(real.leave());
        }
    }
    while let Some(left) = leaving.join_next().await {
        left.context("a node was not seen to leave")??;
    }
    let [real, hollow] = &tallies.0;
    Ok(Report::new(real, hollow, args.within, rules))
}

/// Clients come for so long, whatever they are told: an open loop. Comes back once each has its answer, or has given
/// up waiting.
async fn offer(
    args: &Args, world: &Rc<World>, nodes: &Rc<Vec<Node>>, mut random: ChaCha8Rng,
) -> Result<Tallies> {
    let tally = || Tally::new().context("waits can't be counted");
    let tallies = Rc::new(RefCell::new(Tallies([tally()?, tally()?])));
    let before = costs(nodes)?;
    let told = |node| world.datagrams.sent(node);
    let told_before: Vec<_> = (0..world.scene.nodes).map(|node| told(GatewayId(node))).collect();
    let seconds = f64::from(args.seconds);
    let begun = Instant::now();
    world.ledger.borrow_mut().begin(world.clock.now());
    tokio::task::spawn_local(trouble(Rc::clone(world), args.trouble, seconds, begun));
    let mut clients = JoinSet::new();
    let (mut at, mut number) = (0.0, 0_u64);
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / world.scene.rate;
        if at >= seconds {
            break;
        }
        tokio::time::sleep_until(begun + Duration::from_secs_f64(at)).await;
        number += 1;
        let id = RequestId(format!("{:016x}", args.seed.wrapping_mul(0x9e37_79b9) ^ number).into());
        let wish = world.scene.wish(&mut random);
        clients.spawn_local(ask(Rc::clone(world), Rc::clone(nodes), Rc::clone(&tallies), id, wish));
    }
    while let Some(client) = clients.join_next().await {
        client.context("a client broke off")?;
    }
    let mut tallies = Rc::into_inner(tallies).context("a client still counts")?.into_inner();
    let spent = costs(nodes)?.into_iter().zip(before).map(|(after, before)| after.saturating_sub(before));
    for (((number, node), spent), before) in (0..).zip(nodes.iter()).zip(spent).zip(told_before) {
        let (sent, tally) = (told(GatewayId(number)), tallies.of(node));
        tally.cost += spent.as_secs_f64() * 1e6;
        tally.messages += sent.messages - before.messages;
        tally.bytes += sent.bytes - before.bytes;
        tally.too_long += sent.too_long;
    }
    Ok(tallies)
}

fn costs(nodes: &[Node]) -> Result<Vec<Duration>> {
    let cost = |node: &Node| match node {
        Node::Real(real) => real.spent(),
        Node::Hollow(hollow) => Ok(hollow.spent()),
    };
    nodes.iter().map(cost).collect()
}

async fn ask(
    world: Rc<World>, nodes: Rc<Vec<Node>>, tallies: Rc<RefCell<Tallies>>, id: RequestId, wish: Wish,
) {
    let asked = world.clock.now();
    let entry = Try {
        node: wish.node,
        customer: wish.customer.id,
        units: f64::from(wish.units),
        unsafe_to_repeat: wish.class != 0,
        patience: DEADLINE,
    };
    world.ledger.borrow_mut().asked(asked, id.0.clone(), entry);
    let node = &nodes[wish.node.0 as usize];
    let until = real_node::lost_at(asked);
    let answer = match node {
        Node::Real(real) => real.ask(&world, &id, &wish, until).await,
        Node::Hollow(hollow) => hollow.ask(&id, &wish, until).await,
    };
    tallies.borrow_mut().of(node).count(answer, world.clock.now() - asked);
}

async fn trouble(world: Rc<World>, trouble: Trouble, seconds: f64, begun: Instant) {
    for turn in trouble.turns() {
        tokio::time::sleep_until(begun + Duration::from_secs_f64(turn.at * seconds)).await;
        world.servers[turn.server].turn(turn.mode);
        if let Some(listed) = turn.listed {
            world.roster.change(world.clock.now(), turn.server, listed);
        }
    }
}
