//! Preparation of a pair of gateways before the measurement: endpoint lists, customers, warm-up
//! requests, control ticks and open requests.

use super::{GatewayPair, PendingEvent, MEASURED};
use crate::scaling::fleet::{Customer, CONTROL_TICK, CUSTOMER_ID_LIMIT, GATEWAY_IDS, MILLISECOND};
use anyhow::Result;
use gateway_core::{CustomerId, EndpointUpdate, Event};
use std::time::Duration;

/// Maximum number of server entries that each gateway visits for its warm-up requests, if every
/// request visits the entries of all servers. [`MIN_WARM_UP_REQUESTS`] takes precedence.
const WARM_UP_VISITS: u64 = 1_000_000;
/// Minimum number of warm-up requests at each gateway.
const MIN_WARM_UP_REQUESTS: u64 = 40;
/// Maximum number of warm-up requests at each gateway.
const MAX_WARM_UP_REQUESTS: u64 = 200;

impl GatewayPair {
    /// Prepares both gateways for the measurement, and discards the cost of the preparation.
    ///
    /// # Errors
    /// Returns an error if the measured gateway does not serve a warm-up request.
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
        // Both gateways run a control tick now, so that none is due while requests are measured.
        self.now = self.now + CONTROL_TICK + MILLISECOND;
        for member in 0..self.members.len() {
            self.fire_timer(member);
        }
        self.deliver_unmeasured();
        self.leave_requests_open();
        self.take_costs();
        Ok(())
    }

    /// Returns the number of warm-up requests at each gateway. It decreases with the number of
    /// servers, because the cost of a request may increase with that number.
    fn warm_up_requests(&self) -> u64 {
        (WARM_UP_VISITS / self.sizes.servers.max(1))
            .clamp(MIN_WARM_UP_REQUESTS, MAX_WARM_UP_REQUESTS)
    }

    /// Sends the measured gateway one request of each inactive customer, which sends no requests
    /// later. The client timeout is 0, so that the request is not served.
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

    /// Leaves requests open at the measured gateway: one fewer than the configured number, which
    /// includes the request that is measured.
    fn leave_requests_open(&mut self) {
        for _ in 1..self.sizes.open_requests {
            self.enqueue_request(MEASURED);
            while let Some(PendingEvent { member, event }) = self.pending.pop_front() {
                // The answers of the servers are dropped, so that the requests stay open.
                if !matches!(event, Event::AttemptFinished { .. }) {
                    self.handle_event(member, event);
                }
            }
        }
    }
}
