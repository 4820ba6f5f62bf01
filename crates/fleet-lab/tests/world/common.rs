//! Settings, servers and clients for the tests of all parts.

use fleet_lab::world::clients::{Clients, Demand};
use fleet_lab::world::{random_stream, START};
use gateway_core::{CellId, Endpoint, EndpointState, ServerId, Settings, Timestamp, ZoneId};
use std::time::Duration;

/// A second.
pub(crate) const SECOND: Duration = Duration::from_secs(1);
/// A millisecond.
pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
/// A microsecond, the unit of all times.
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);

/// The default settings of simulations, for six gateways.
pub(crate) fn settings() -> Settings {
    let text = include_str!("../../src/simulate/settings.json")
        .replace(r#""balancers": 1"#, r#""balancers": 6"#);
    gateway_core::settings::parse(&text)
        .expect("sound settings")
        .settings
}

/// A server in one of three zones.
pub(crate) fn endpoint(server: u64, started_at: Option<Timestamp>) -> Endpoint {
    let (zone, cell) = (ZoneId(server as u32 % 3), CellId(server % 3));
    Endpoint {
        server: ServerId(server),
        zone,
        cell,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at,
    }
}

/// Clients that ask for this number of requests a second within their quotas.
pub(crate) fn clients(rate: f64) -> Clients {
    let demand = Demand {
        rate,
        max_deadline: 4 * SECOND,
        surges: Vec::new(),
        flood: None,
    };
    Clients::new(random_stream(3, 1), START, &settings(), &demand)
}
