//! Settings, endpoints and clients that the tests of several parts share.

use fleet_lab::world::clients::{Clients, Demand};
use fleet_lab::world::{random_stream, START};
use gateway_core::{CellId, Endpoint, EndpointState, ServerId, Settings, Timestamp, ZoneId};
use std::time::Duration;

pub(crate) const SECOND: Duration = Duration::from_secs(1);
pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
/// The resolution of all times.
pub(crate) const MICROSECOND: Duration = Duration::from_micros(1);

/// Returns the default settings of simulations, for six gateways.
pub(crate) fn settings() -> Settings {
    let text = include_str!("../../src/simulate/settings.json")
        .replace(r#""balancers": 1"#, r#""balancers": 6"#);
    gateway_core::settings::parse(&text)
        .expect("valid settings")
        .settings
}

/// Returns a ready endpoint in one of three zones, by server number.
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

/// Returns clients that send `rate` requests per second within their quotas.
pub(crate) fn clients(rate: f64) -> Clients {
    let demand = Demand {
        rate,
        max_deadline: 4 * SECOND,
        surges: Vec::new(),
        flood: None,
    };
    Clients::new(random_stream(3, 1), START, &settings(), &demand)
}
