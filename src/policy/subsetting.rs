//! Subsetting: the few servers that one gateway of a large fleet uses, so that its connections stay in use. A pair of
//! gateway and server that meets seldom costs a handshake each time, and holds a connection in between.

use crate::hash::GOLDEN_RATIO;
use crate::settings::Settings;
use crate::types::GatewayId;

/// Servers that a gateway uses, and at the least gateways that use each server.
const SUBSET_SIZE: f64 = 7.0;

/// Where a gateway's subset begins on a ring of so many servers. Steps of the golden ratio put the gateways of any run of
/// numbers, as a customer's are, far apart, so that they cover the servers evenly.
pub(crate) fn ring_position(gateway: GatewayId, servers: usize) -> usize {
    let turn = GOLDEN_RATIO.wrapping_mul(u64::from(gateway.0));
    ((u128::from(turn) * servers as u128) >> 64) as usize
}

/// How many of the ready servers a gateway uses: more where servers are many, or some would be used by no gateway.
pub(crate) fn subset_size(settings: &Settings, ready: usize) -> usize {
    let per_gateway = SUBSET_SIZE * ready as f64 / f64::from(settings.gateway_count);
    SUBSET_SIZE.max(per_gateway).ceil() as usize
}

#[cfg(test)]
#[path = "../../tests/unit/subsetting.rs"]
mod tests;
