//! The memory of a gateway.

use super::figures::memory_figures;
use crate::scaling::cost::{is_counting_allocations, live_bytes};
use crate::scaling::fleet::{draw_endpoints, settings};
use crate::scaling::report::Figure;
use crate::scaling::sizes::FleetSizes;
use anyhow::{ensure, Result};
use gateway_core::{
    ClassId, CustomerId, EndpointUpdate, Event, Gateway, GatewayId, GatewaySet, PlanId, RequestId,
    Timestamp, Units,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time at which gateways whose memory is measured start and handle all events.
const START: Timestamp = Timestamp::from_micros(500_000);

/// A gateway without servers and customers, and the memory that it uses.
struct FreshGateway {
    gateway: Gateway,
    bytes: u64,
}

fn fresh_gateway(seed: u64, gateways: u32) -> Result<FreshGateway> {
    ensure!(
        is_counting_allocations(),
        "this program does not count its allocations"
    );
    let before = live_bytes();
    let gateway = Gateway::new(seed, settings(GatewayId(0), gateways), START)?;
    let bytes = live_bytes().saturating_sub(before);
    Ok(FreshGateway { gateway, bytes })
}

/// Measures the memory that a list of servers takes.
pub(super) fn measure_server_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
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
    gateway.handle(START, event, &mut actions);
    actions.clear();
    actions.shrink_to_fit();
    Ok(memory_figures(
        live_bytes().saturating_sub(before),
        sizes.servers,
    ))
}

/// Measures the memory that customers take, each with one request that is rejected.
pub(super) fn measure_customer_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let mut gateway = fresh_gateway(seed, sizes.gateways)?.gateway;
    let before = live_bytes();
    for number in 0..sizes.customers {
        let event = Event::RequestReceived {
            id: RequestId(format!("{number:016x}").into()),
            class: ClassId(0),
            plan: PlanId(0),
            customer: CustomerId(number),
            units: Units::new(1.0),
            gateways: GatewaySet {
                first: GatewayId(0),
                count: sizes.effective_gateways_per_customer(),
            },
            client_timeout: Duration::ZERO,
        };
        gateway.handle(START, event, &mut Vec::new());
    }
    Ok(memory_figures(
        live_bytes().saturating_sub(before),
        sizes.customers,
    ))
}

/// Measures the memory of a gateway without servers and customers.
pub(super) fn measure_gateway_memory(seed: u64, sizes: FleetSizes) -> Result<Vec<Figure>> {
    let bytes = fresh_gateway(seed, sizes.gateways)?.bytes;
    Ok(memory_figures(bytes, u64::from(sizes.gateways)))
}
