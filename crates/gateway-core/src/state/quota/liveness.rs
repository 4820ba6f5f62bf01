//! When usage of each gateway of the fleet was last received.

use crate::time::Timestamp;
use crate::types::{GatewayId, GatewaySet};
use std::ops::Range;
use std::time::Duration;

/// When each gateway's usage was last received, by gateway number.
pub(crate) struct GatewayLiveness {
    /// The own entry is never in the past.
    last_received_at: Vec<Timestamp>,
}

impl GatewayLiveness {
    /// All gateways count as received from now.
    pub(super) fn new(now: Timestamp, this_gateway: GatewayId, gateway_count: u32) -> Self {
        let mut last_received_at = vec![now; gateway_count as usize];
        last_received_at[this_gateway.0 as usize] = Timestamp::MAX;
        GatewayLiveness { last_received_at }
    }

    /// A message of a gateway of the fleet has been received.
    pub(super) fn record_message(&mut self, now: Timestamp, from: GatewayId) {
        self.last_received_at[from.0 as usize] = now;
    }

    /// How many of a customer's gateways have been silent for a time within `range`.
    pub(crate) fn silent_count(
        &self,
        gateways: GatewaySet,
        now: Timestamp,
        range: &Range<Duration>,
    ) -> f64 {
        let first = gateways.first.0 as usize;
        let fleet_size = self.last_received_at.len();
        (0..gateways.count as usize)
            .map(|step| (first + step) % fleet_size)
            .map(|member| now.duration_since(self.last_received_at[member]))
            .filter(|silence| range.contains(silence))
            .count() as f64
    }
}
