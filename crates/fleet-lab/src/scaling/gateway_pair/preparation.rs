//! Brings a pair of gateways to the state in which it is measured.

use super::{GatewayPair, PendingEvent, MEASURED};
use crate::scaling::fleet::{Customer, CONTROL_TICK, CUSTOMER_ID_LIMIT, GATEWAY_IDS, MILLISECOND};
use anyhow::Result;
use gateway_core::{CustomerId, EndpointUpdate, Event};
use std::time::Duration;

/// Number of server visits that all requests before the measurement may take together.
const WARM_UP_VISITS: u64 = 1_000_000;
/// Minimum number of requests before the measurement.
const MIN_WARM_UP_REQUESTS: u64 = 40;
/// Maximum number of requests before the measurement.
const MAX_WARM_UP_REQUESTS: u64 = 200;

impl GatewayPair {
    /// Brings the gateways to the state in which they are measured.
    pub(super) fn prepare(&mut self) -> Result<()> {
        for member in 0..self.members.len() {
            let endpoints = self.endpoints.clone();
            self.handle_event(
                member,
                Event::EndpointsUpdated {
                    kind: EndpointUpdate::Snapshot,
                    endpoints,
                },
            );
        }
        self.send_requests_of_inactive_customers();
        for _ in 0..self.warm_up_requests() {
            self.request()?;
        }
        // Both gateways have a control tick now, so that none falls into the measurement.
        self.now = self.now + CONTROL_TICK + MILLISECOND;
        for member in 0..self.members.len() {
            self.fire_timer(member);
        }
        self.deliver_unmeasured();
        self.leave_requests_open();
        self.take_costs();
        Ok(())
    }

    /// Returns the number of requests before the measurement: fewer where each request is
    /// expensive.
    fn warm_up_requests(&self) -> u64 {
        (WARM_UP_VISITS / self.sizes.servers.max(1))
            .clamp(MIN_WARM_UP_REQUESTS, MAX_WARM_UP_REQUESTS)
    }

    /// Sends the first gateway one request of each customer that does not take turns in sending
    /// requests, with a timeout of 0, so that it is not served.
    fn send_requests_of_inactive_customers(&mut self) {
        let active_customers = self.members[MEASURED].customers.len() as u64;
        for number in 0..self.sizes.customers.saturating_sub(active_customers) {
            let id = CustomerId(CUSTOMER_ID_LIMIT - 1 - number);
            let event = self.request_event(
                Customer {
                    id,
                    first_gateway: GATEWAY_IDS[MEASURED],
                },
                Duration::ZERO,
            );
            self.handle_event(MEASURED, event);
        }
    }

    /// Leaves requests open at the first gateway: one fewer than the configured number, which
    /// includes the request that is measured.
    fn leave_requests_open(&mut self) {
        for _ in 1..self.sizes.open_requests {
            self.enqueue_request(MEASURED);
            while let Some(PendingEvent { member, event }) = self.pending.pop_front() {
                // Without the answers of servers, the requests stay open.
                if !matches!(event, Event::AttemptFinished { .. }) {
                    self.handle_event(member, event);
                }
            }
        }
    }
}
