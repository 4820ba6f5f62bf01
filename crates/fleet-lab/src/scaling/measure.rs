//! The costs that are measured. Each run makes gateways of its own, so that repeats share nothing.

use super::cost::{counts_allocations, live_bytes, Cost};
use super::fleet::{draw_endpoints, settings, CONTROL_TICK, MILLISECOND};
use super::gateway_pair::{GatewayPair, MEASURED};
use super::report::Figure;
use super::sizes::{Dimension, FleetSizes};
use anyhow::{ensure, Result};
use gateway_core::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Something whose cost is measured.
pub(super) struct Measurement {
    /// Its name on the command line.
    pub(super) name: &'static str,
    /// The dimensions in which the fleet grows.
    pub(super) dimensions: &'static [Dimension],
    /// Measures it once, with a seed.
    pub(super) run: fn(u64, FleetSizes) -> Result<Vec<Figure>>,
}

/// All measurements.
pub(super) const MEASUREMENTS: [Measurement; 10] = [
    Measurement {
        name: "request",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::GatewaysPerCustomer,
            Dimension::OpenRequests,
        ],
        run: measure_request,
    },
    Measurement {
        name: "datagram",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
        ],
        run: measure_datagram,
    },
    Measurement {
        name: "entry",
        dimensions: &[Dimension::Servers],
        run: measure_endpoint_change,
    },
    Measurement {
        name: "list",
        dimensions: &[Dimension::Servers],
        run: measure_snapshot,
    },
    Measurement {
        name: "sweep",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::OpenRequests,
        ],
        run: measure_timer,
    },
    Measurement {
        name: "tick",
        dimensions: &[
            Dimension::Servers,
            Dimension::Customers,
            Dimension::Gateways,
            Dimension::GatewaysPerCustomer,
        ],
        run: measure_control_tick,
    },
    Measurement {
        name: "feed",
        dimensions: &[Dimension::Servers],
        run: measure_list_text,
    },
    Measurement {
        name: "memory-servers",
        dimensions: &[Dimension::Servers],
        run: measure_server_memory,
    },
    Measurement {
        name: "memory-customers",
        dimensions: &[Dimension::Customers],
        run: measure_customer_memory,
    },
    Measurement {
        name: "memory-gateways",
        dimensions: &[Dimension::Gateways],
        run: measure_gateway_memory,
    },
];

/// When gateways whose memory is measured start.
const FIRST_TICK: Timestamp = Timestamp::from_micros(500_000);
/// Requests in a run. They take less than half of the latency objective in all: servers of requests that stay open
/// for longer would look hung, which costs more than what is measured.
const REQUESTS: u64 = 80;
/// Timers, control ticks, changes and lists in a run.
const REPETITIONS: u64 = 10;

fn per_unit(total: u64, count: u64) -> f64 {
    total as f64 / count.max(1) as f64
}

/// Figures of work that sends no message, for each of `count` repetitions.
fn local_figures(cost: Cost, count: u64) -> Vec<Figure> {
    let mut figures = vec![
        Figure {
            name: "time_us",
            value: cost.cpu_time_us / count.max(1) as f64,
        },
        Figure {
            name: "visited",
            value: per_unit(cost.visited, count),
        },
    ];
    if counts_allocations() {
        figures.push(Figure {
            name: "allocations",
            value: per_unit(cost.allocations, count),
        });
    }
    figures
}

/// Figures of work that sends messages, for each of `count` repetitions.
fn message_figures(cost: Cost, count: u64) -> Vec<Figure> {
    let mut figures = local_figures(cost, count);
    figures.push(Figure {
        name: "messages",
        value: per_unit(cost.messages, count),
    });
    figures.push(Figure {
        name: "sent_bytes",
        value: per_unit(cost.bytes, count),
    });
    figures.push(Figure {
        name: "longest_bytes",
        value: cost.longest_message as f64,
    });
    figures
}

/// A request at the gateway at which it arrives: the request, the owner's lease, one attempt and its answer.
fn measure_request(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    for _ in 0..REQUESTS {
        pair.request()?;
    }
    Ok(message_figures(pair.take_costs().own, REQUESTS))
}

/// A message of a peer other than an answer: a lease request, which is answered, or in a small fleet usage counts.
fn measure_datagram(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    for _ in 0..REQUESTS {
        pair.request()?;
    }
    pair.advance(pair.now + CONTROL_TICK);
    let cost = pair.take_costs().peer_messages;
    ensure!(cost.events > 0, "no datagram came");
    Ok(message_figures(cost, cost.events))
}

/// One changed entry of the list: a server that starts to drain or becomes ready again.
fn measure_endpoint_change(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        let endpoint = pair.change_endpoint();
        cost.add(pair.update_endpoints(EndpointUpdate::Delta, vec![endpoint]));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// The whole list again, with one change.
fn measure_snapshot(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.change_endpoint();
        let endpoints = pair.endpoints.clone();
        cost.add(pair.update_endpoints(EndpointUpdate::Snapshot, endpoints));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// A timer between two control ticks, while requests are open.
fn measure_timer(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    // One more request stays open than elsewhere, where one is under way: none arrives here.
    let sizes = FleetSizes {
        open_requests: sizes.open_requests + 1,
        ..sizes
    };
    let mut pair = GatewayPair::new(seed, sizes)?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.now = pair.next_timer();
        cost.add(pair.fire_timer(MEASURED));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// A control tick while no request is open.
fn measure_control_tick(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut pair = GatewayPair::new(
        seed,
        FleetSizes {
            open_requests: 1,
            ..sizes
        },
    )?;
    let mut cost = Cost::default();
    for _ in 0..REPETITIONS {
        pair.now = pair.now + CONTROL_TICK + MILLISECOND;
        cost.add(pair.fire_timer(MEASURED));
    }
    Ok(local_figures(cost, REPETITIONS))
}

/// A server in a list as the protocol defines it.
#[derive(serde::Serialize)]
struct HostEntry {
    host: String,
    dial: SocketAddr,
    site: String,
    class: &'static str,
    block: u64,
    health: &'static str,
    share: f64,
    born_ms: u64,
}

impl HostEntry {
    fn new(number: usize, endpoint: &Endpoint) -> HostEntry {
        let network = u32::from(Ipv4Addr::new(10, 0, 0, 0));
        HostEntry {
            host: format!("s-{:08x}", endpoint.server.0 >> 32),
            dial: SocketAddr::from((Ipv4Addr::from(network + number as u32), 8443)),
            site: format!("z{:02}", endpoint.zone.0),
            class: "m2",
            block: endpoint.cell.0,
            health: "ready",
            share: endpoint.weight,
            // Unix time in ms has thirteen digits.
            born_ms: 1_700_000_000_000,
        }
    }
}

/// A list of servers, or changes to it.
#[derive(serde::Serialize)]
struct HostList<'a> {
    seq: u64,
    whole: bool,
    hosts: &'a [HostEntry],
}

/// The text of a list, whole and of one changed entry: bytes alone.
fn measure_list_text(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let endpoints = draw_endpoints(&mut ChaCha8Rng::seed_from_u64(seed), sizes.servers);
    let numbered = endpoints.iter().enumerate();
    let hosts: Vec<_> = numbered
        .map(|(number, endpoint)| HostEntry::new(number, endpoint))
        .collect();
    let length = |whole, hosts: &[HostEntry]| -> Result<f64> {
        let list = HostList {
            seq: sizes.servers,
            whole,
            hosts,
        };
        Ok(serde_json::to_vec(&list)?.len() as f64)
    };
    let list_bytes = length(true, &hosts)?;
    Ok(vec![
        Figure {
            name: "list_bytes",
            value: list_bytes,
        },
        Figure {
            name: "each_bytes",
            value: list_bytes / sizes.servers as f64,
        },
        Figure {
            name: "entry_bytes",
            value: length(false, &hosts[..1])?,
        },
    ])
}

/// A gateway with nothing but its settings, and its memory.
struct FreshGateway {
    gateway: Gateway,
    bytes: u64,
}

fn fresh_gateway(seed: u64, gateways: u32) -> Result<FreshGateway> {
    ensure!(
        counts_allocations(),
        "this program does not count its allocations"
    );
    let before = live_bytes();
    let gateway = Gateway::new(seed, settings(GatewayId(0), gateways), FIRST_TICK)?;
    let bytes = live_bytes().saturating_sub(before);
    Ok(FreshGateway { gateway, bytes })
}

fn memory_figures(bytes: u64, count: u64) -> Vec<Figure> {
    vec![
        Figure {
            name: "memory_bytes",
            value: bytes as f64,
        },
        Figure {
            name: "each_bytes",
            value: per_unit(bytes, count),
        },
    ]
}

fn measure_server_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut gateway = fresh_gateway(seed, sizes.gateways)?.gateway;
    let endpoints = draw_endpoints(&mut ChaCha8Rng::seed_from_u64(seed), sizes.servers);
    let mut actions = Vec::new();
    let before = live_bytes();
    // The event's copy of the list is freed with the event.
    let kind = EndpointUpdate::Snapshot;
    let event = Event::EndpointsUpdated {
        kind,
        endpoints: endpoints.clone(),
    };
    gateway.handle(FIRST_TICK, event, &mut actions);
    actions.clear();
    actions.shrink_to_fit();
    Ok(memory_figures(
        live_bytes().saturating_sub(before),
        sizes.servers,
    ))
}

fn measure_customer_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut gateway = fresh_gateway(seed, sizes.gateways)?.gateway;
    let before = live_bytes();
    for number in 0..sizes.customers {
        let event = Event::RequestReceived {
            id: RequestId(format!("{number:016x}").into()),
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(number),
            units: 1.0,
            gateways: GatewaySet {
                first: GatewayId(0),
                count: sizes.effective_gateways_per_customer(),
            },
            client_timeout: Duration::ZERO,
        };
        gateway.handle(FIRST_TICK, event, &mut Vec::new());
    }
    Ok(memory_figures(
        live_bytes().saturating_sub(before),
        sizes.customers,
    ))
}

fn measure_gateway_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let bytes = fresh_gateway(seed, sizes.gateways)?.bytes;
    Ok(memory_figures(bytes, u64::from(sizes.gateways)))
}
