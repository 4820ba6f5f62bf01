//! Detection of silent gateways, from when each gateway's usage was last received.

use crate::time::{DurationExt, Timestamp};
use crate::types::{GatewayId, GatewaySet};
use std::ops::Range;
use std::time::Duration;

/// The time at which each gateway's usage was last received.
pub(crate) struct GatewayLiveness {
    /// Indexed by gateway number. This gateway's own entry is [`Timestamp::MAX`], as a gateway is
    /// never silent to itself.
    last_received_at: Vec<Timestamp>,
}

impl GatewayLiveness {
    /// Creates the state of a gateway that starts at `now`. The silence of the other gateways is
    /// counted from then on.
    pub(super) fn new(now: Timestamp, this_gateway: GatewayId, gateway_count: u32) -> Self {
        let mut last_received_at = vec![now; gateway_count as usize];
        last_received_at[this_gateway.0 as usize] = Timestamp::MAX;
        GatewayLiveness { last_received_at }
    }

    /// Records that a message from a gateway of the fleet was received.
    pub(super) fn record_message(&mut self, now: Timestamp, from: GatewayId) {
        self.last_received_at[from.0 as usize] = now;
    }

    /// Returns how many of a customer's gateways have been silent for a duration within `range`.
    pub(crate) fn silent_count(
        &self,
        gateways: GatewaySet,
        now: Timestamp,
        range: &Range<Duration>,
    ) -> f64 {
        let range_us = range.start.whole_micros()..range.end.whole_micros();
        let first = gateways.first.0 as usize;
        let fleet_size = self.last_received_at.len();
        (0..gateways.count as usize)
            .map(|offset| (first + offset) % fleet_size)
            .map(|member| now.whole_micros_since(self.last_received_at[member]))
            .filter(|silence_us| range_us.contains(silence_us))
            .count() as f64
    }
}
