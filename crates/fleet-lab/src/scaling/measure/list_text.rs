//! The length of a list of servers in the JSON of discovery.

use crate::scaling::fleet::draw_endpoints;
use crate::scaling::report::Figure;
use crate::scaling::sizes::FleetSizes;
use anyhow::Result;
use gateway_core::Endpoint;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

/// An entry of the list, as defined by the protocol.
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
            // A Unix time in ms has thirteen digits.
            born_ms: 1_700_000_000_000,
        }
    }
}

/// A list of servers, or changes to the list.
#[derive(serde::Serialize)]
struct HostList<'a> {
    seq: u64,
    whole: bool,
    hosts: &'a [HostEntry],
}

/// Measures the length of the JSON of a whole list and of one changed entry, in bytes.
pub(super) fn measure_list_text(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
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
