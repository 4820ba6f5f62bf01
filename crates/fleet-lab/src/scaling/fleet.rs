//! The fleet that the two measured gateways belong to: its settings, its servers and its customers.

use super::sizes::FleetSizes;
use anyhow::{Context, Result};
use gateway_core::{
    Action, CellId, Class, ClassId, CustomerId, Endpoint, EndpointDiscovery, EndpointState, Event,
    Gateway, GatewayId, GatewaySet, Idempotency, Permissions, Plan, PlanId, RequestId, ServerId,
    ServerRules, Settings, Timestamp, Units, ZoneId,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

pub(super) const MILLISECOND: Duration = Duration::from_millis(1);
/// Interval between control ticks of the decision library.
pub(super) const CONTROL_TICK: Duration = Duration::from_millis(500);
/// Time at which the two gateways start.
pub(super) const START: Timestamp = Timestamp::from_micros(5_000_000);
/// Time for which a client waits; long enough that open requests stay open.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Minimum number of customers that take turns in sending requests: enough that gateways need not
/// throttle their lease requests. If more requests stay open, each open request has a customer of
/// its own.
pub(super) const MIN_ACTIVE_CUSTOMERS: u64 = 64;
const ZONE_COUNT: u32 = 29;
/// Exclusive upper limit of customer ids, which have at most 33 bits by the protocol.
pub(super) const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
pub(super) const GATEWAY_IDS: [GatewayId; 2] = [GatewayId(0), GatewayId(1)];

/// Returns the settings of a gateway in a fleet with two classes of requests and one plan, whose
/// quota no customer here uses up.
pub(super) fn settings(gateway: GatewayId, gateways: u32) -> Settings {
    Settings {
        gateway_id: gateway,
        gateway_count: gateways,
        zone: ZoneId(0),
        classes: vec![
            class(3.0, Idempotency::Idempotent),
            class(5.0, Idempotency::NonIdempotent),
        ],
        plans: vec![plan()],
        rules: ServerRules {
            warm_up_from: 0.27,
            warm_up_period: Duration::from_secs(16),
            overload_multiple: 2.5,
            overload_window: Duration::from_secs(3),
        },
        permissions: Permissions {
            max_attempts: 5,
            cancel_attempts: true,
            peer_messages: true,
            max_retry_after: Some(Duration::from_secs(10)),
        },
        cross_zone_cost: 0.0,
        discovery: EndpointDiscovery::Pushed,
        event_period: Duration::from_millis(2),
        peer_messages_per_second: 40.0,
        max_request_units: Units::new(8.0),
    }
}

fn class(priority_weight: f64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Duration::from_secs(1),
        late_weight: 0.2,
        client_deadline: Duration::from_secs(4),
        priority_weight,
        idempotency,
    }
}

/// Returns a plan whose quota has a single owner.
fn plan() -> Plan {
    Plan {
        rate: 20.0,
        burst: Units::new(100.0),
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.2,
        over_quota_cost: 0.0,
        hard_limit: None,
    }
}

/// Draws a list of servers evenly distributed over all zones. Their ids are random, as hashes are.
pub(super) fn draw_endpoints(rng: &mut ChaCha8Rng, servers: u64) -> Vec<Endpoint> {
    let endpoint = |number: u64| Endpoint {
        server: ServerId(rng.random()),
        zone: ZoneId((number % u64::from(ZONE_COUNT)) as u32),
        cell: CellId(number % u64::from(ZONE_COUNT)),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    };
    (0..servers).map(endpoint).collect()
}

/// A customer, and the first of the gateways at which its requests arrive.
#[derive(Clone, Copy)]
pub(super) struct Customer {
    pub(super) id: CustomerId,
    /// First of the consecutive gateways at which the customer's requests arrive.
    pub(super) first_gateway: GatewayId,
}

/// Draws customers whose quotas the gateway `owner` owns: each customer's first gateway is chosen
/// such that its quota owner, at a known distance after the first gateway, is `owner`.
pub(super) fn draw_customers(
    rng: &mut ChaCha8Rng,
    sizes: FleetSizes,
    owner: GatewayId,
) -> Result<Vec<Customer>> {
    let count = sizes
        .open_requests
        .max(MIN_ACTIVE_CUSTOMERS)
        .min(sizes.customers);
    let mut customers = Vec::new();
    for _ in 0..count {
        let id = CustomerId(rng.random_range(0..CUSTOMER_ID_LIMIT / 2));
        let offset = owner_offset(id, sizes)?;
        let first_gateway = GatewayId((owner.0 + sizes.gateways - offset) % sizes.gateways);
        customers.push(Customer { id, first_gateway });
    }
    Ok(customers)
}

/// Returns the distance from the first gateway of a customer to its quota owner, in gateways; 0 if
/// quotas have no owners.
fn owner_offset(customer: CustomerId, sizes: FleetSizes) -> Result<u32> {
    let settings = settings(GATEWAY_IDS[0], sizes.gateways);
    let mut gateway = Gateway::new(1, settings, START)
        .context("cannot create the gateway that determines the quota owner")?;
    let event = Event::RequestReceived {
        id: RequestId("probe".into()),
        class: ClassId(0),
        plan: PlanId(0),
        customer,
        units: Units::new(1.0),
        gateways: GatewaySet {
            first: GATEWAY_IDS[0],
            count: sizes.effective_gateways_per_customer(),
        },
        client_timeout: CLIENT_TIMEOUT,
    };
    let mut actions = Vec::new();
    gateway.handle(START, event, &mut actions);
    let owner = actions.iter().find_map(|action| match action {
        Action::SendToPeer { to, .. } => Some(to.0),
        _ => None,
    });
    Ok(owner.unwrap_or(0))
}
