//! The costs that are measured. Each run builds a stand of its own, so that repeats share nothing.

use super::fixture::{counts_allocations, entries, live_bytes, settings, Cost, Stand, MS, TICK};
use super::report::Figure;
use super::{Over, Sizes};
use anyhow::{ensure, Result};
use edge_node::Gateway;
use edge_node::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

/// Something that costs.
pub struct Measured {
    /// Its name on the command line.
    pub name: &'static str,
    /// The sizes it is measured over.
    pub over: &'static [Over],
    /// Measures it once.
    pub run: fn(u64, Sizes) -> Result<Vec<Figure>>,
}

/// All costs.
pub const COSTS: [Measured; 10] = [
    Measured {
        name: "request",
        over: &[Over::Servers, Over::Customers, Over::Gateways, Over::Spread, Over::Open],
        run: request,
    },
    Measured { name: "datagram", over: &[Over::Servers, Over::Customers, Over::Gateways], run: datagram },
    Measured { name: "entry", over: &[Over::Servers], run: entry },
    Measured { name: "list", over: &[Over::Servers], run: list },
    Measured {
        name: "sweep",
        over: &[Over::Servers, Over::Customers, Over::Gateways, Over::Open],
        run: sweep,
    },
    Measured {
        name: "tick",
        over: &[Over::Servers, Over::Customers, Over::Gateways, Over::Spread],
        run: tick,
    },
    Measured { name: "feed", over: &[Over::Servers], run: feed },
    Measured { name: "memory-servers", over: &[Over::Servers], run: memory_of_servers },
    Measured { name: "memory-customers", over: &[Over::Customers], run: memory_of_customers },
    Measured { name: "memory-gateways", over: &[Over::Gateways], run: memory_of_gateways },
];

/// Requests in a run. Danger: what stays open for half of an aim looks hung, which costs otherwise.
const REQUESTS: u64 = 80;
/// Sweeps, ticks, changes and lists in a run.
const TIMES: u64 = 10;

fn each(cost: Cost, of: u64) -> Vec<Figure> {
    let part = |sum: u64| sum as f64 / of.max(1) as f64;
    let mut figures = vec![("time_us", cost.time / of.max(1) as f64), ("visited", part(cost.visited))];
    if counts_allocations() {
        figures.push(("allocations", part(cost.allocations)));
    }
    figures.extend([("messages", part(cost.messages)), ("sent_bytes", part(cost.bytes))]);
    figures.push(("longest_bytes", cost.longest as f64));
    figures
}

/// Time, allocations and entries looked at of what sends nothing.
fn silent(cost: Cost, of: u64) -> Vec<Figure> {
    each(cost, of)
        .into_iter()
        .filter(|(name, _)| ["time_us", "allocations", "visited"].contains(name))
        .collect()
}

/// A request at the gateway that took it: the try, the owner's answer, one attempt and its answer.
fn request(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let mut stand = Stand::new(seed, sizes)?;
    (0..REQUESTS).try_for_each(|_| stand.request())?;
    Ok(each(stand.take().0, REQUESTS))
}

/// A datagram that a peer sent unasked: an ask, which is answered, or in a small fleet its counts.
fn datagram(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let mut stand = Stand::new(seed, sizes)?;
    (0..REQUESTS).try_for_each(|_| stand.request())?;
    stand.wait(stand.now + TICK);
    let cost = stand.take().1;
    ensure!(cost.events > 0, "no datagram came");
    Ok(each(cost, cost.events))
}

/// One changed entry of the list: a server that drains or is back.
fn entry(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let mut stand = Stand::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..TIMES {
        let entry = stand.change();
        cost.add(stand.told(EndpointUpdate::Delta, vec![entry]));
    }
    Ok(silent(cost, TIMES))
}

/// The whole list, told again with one change.
fn list(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let mut stand = Stand::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..TIMES {
        stand.change();
        let entries = stand.list.clone();
        cost.add(stand.told(EndpointUpdate::Snapshot, entries));
    }
    Ok(silent(cost, TIMES))
}

/// A server as a list of the protocol page writes it.
#[derive(serde::Serialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    site: String,
    class: &'static str,
    block: u64,
    health: &'static str,
    share: f64,
    born_ms: u64,
}

/// A list of servers, or changes to it.
#[derive(serde::Serialize)]
struct Told<'a> {
    seq: u64,
    whole: bool,
    hosts: &'a [Host],
}

/// What a list is as text, whole and of one changed entry: bytes alone.
fn feed(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    // Unix time in ms has thirteen digits.
    let (net, born_ms) = (u32::from(Ipv4Addr::new(10, 0, 0, 0)), 1_700_000_000_000);
    let host = |(number, entry): (usize, Endpoint)| Host {
        host: format!("s-{:08x}", entry.server.0 >> 32),
        dial: SocketAddr::from((Ipv4Addr::from(net + number as u32), 8443)),
        site: format!("z{:02}", entry.zone.0),
        class: "m2",
        block: entry.cell.0,
        health: "ready",
        share: entry.weight,
        born_ms,
    };
    let entries = entries(&mut ChaCha8Rng::seed_from_u64(seed), sizes.servers);
    let hosts: Vec<_> = entries.into_iter().enumerate().map(host).collect();
    let bytes = |whole, hosts: &[Host]| -> Result<f64> {
        Ok(serde_json::to_vec(&Told { seq: sizes.servers, whole, hosts })?.len() as f64)
    };
    let (all, one) = (bytes(true, &hosts)?, bytes(false, &hosts[..1])?);
    Ok(vec![("list_bytes", all), ("each_bytes", all / sizes.servers as f64), ("entry_bytes", one)])
}

/// A wake between two ticks, while requests are open.
fn sweep(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    // One more stays open than are measured against elsewhere: none comes in here.
    let mut stand = Stand::new(seed, Sizes { open: sizes.open + 1, ..sizes })?;
    let mut cost = Cost::default();
    for _ in 0..TIMES {
        stand.now = stand.due();
        cost.add(stand.wake(0));
    }
    Ok(silent(cost, TIMES))
}

/// A wake on which the controller ticks, with no request open.
fn tick(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let mut stand = Stand::new(seed, Sizes { open: 1, ..sizes })?;
    let mut cost = Cost::default();
    for _ in 0..TIMES {
        stand.now += TICK + MS;
        cost.add(stand.wake(0));
    }
    Ok(silent(cost, TIMES))
}

/// A gateway with nothing but its settings, and the bytes that it holds.
fn fresh(seed: u64, gateways: u32) -> Result<(Gateway, u64)> {
    ensure!(counts_allocations(), "this program does not count its allocations");
    let before = live_bytes();
    let gateway = Gateway::new(seed, settings(GatewayId(0), gateways), TICK)?;
    let held = live_bytes().saturating_sub(before);
    Ok((gateway, held))
}

fn memory(bytes: u64, of: u64) -> Vec<Figure> {
    vec![("memory_bytes", bytes as f64), ("each_bytes", bytes as f64 / of.max(1) as f64)]
}

fn memory_of_servers(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let (mut gateway, _) = fresh(seed, sizes.gateways)?;
    let entries = entries(&mut ChaCha8Rng::seed_from_u64(seed), sizes.servers);
    let mut out = Vec::new();
    let before = live_bytes();
    // The copy is the event's own and is freed with it.
    gateway.handle(
        TICK,
        Event::EndpointsUpdated { kind: EndpointUpdate::Snapshot, endpoints: entries.clone() },
        &mut out,
    );
    out.clear();
    out.shrink_to_fit();
    Ok(memory(live_bytes().saturating_sub(before), sizes.servers))
}

fn memory_of_customers(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let (mut gateway, _) = fresh(seed, sizes.gateways)?;
    let before = live_bytes();
    for number in 0..sizes.customers {
        let mut out = Vec::new();
        let event = Event::RequestReceived {
            id: RequestId(format!("{number:016x}").into()),
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(number),
            units: 1.0,
            gateways: GatewaySet { first: GatewayId(0), count: sizes.spread.min(sizes.gateways) },
            client_timeout: 0,
        };
        gateway.handle(TICK, event, &mut out);
    }
    Ok(memory(live_bytes().saturating_sub(before), sizes.customers))
}

fn memory_of_gateways(seed: u64, sizes: Sizes) -> Result<Vec<Figure>> {
    let (gateway, held) = fresh(seed, sizes.gateways)?;
    drop(gateway);
    Ok(memory(held, u64::from(sizes.gateways)))
}
