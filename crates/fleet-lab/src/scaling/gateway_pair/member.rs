//! One gateway of the pair.

use crate::scaling::fleet::{draw_customers, settings, Customer, CONTROL_TICK};
use crate::scaling::sizes::FleetSizes;
use anyhow::Result;
use gateway_core::{Gateway, GatewayId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A gateway with its customers and its timer.
pub(super) struct Member {
    /// Decision library of the gateway.
    pub(super) gateway: Gateway,
    /// Customers that take turns in sending requests to the gateway.
    pub(super) customers: Vec<Customer>,
    /// Time at which the gateway's next timer fires.
    pub(super) timer_at: Timestamp,
}

impl Member {
    /// Draws a gateway whose customers' quotas the gateway `owner` owns.
    ///
    /// # Errors
    /// Returns an error if the gateway cannot be created.
    pub(super) fn draw(
        rng: &mut ChaCha8Rng,
        sizes: FleetSizes,
        now: Timestamp,
        id: GatewayId,
        owner: GatewayId,
    ) -> Result<Member> {
        let gateway = Gateway::new(rng.random(), settings(id, sizes.gateways), now)?;
        let customers = draw_customers(rng, sizes, owner)?;
        Ok(Member {
            gateway,
            customers,
            timer_at: now + CONTROL_TICK,
        })
    }
}
