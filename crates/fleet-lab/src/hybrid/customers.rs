//! The customers of a run, their plans and their requests.

use gateway_core::{CustomerId, GatewayId, PlanId};

/// Mixes the numbers of customers into their ids.
const ID_MULTIPLIER: u64 = 0x9e37_79b1;
/// Largest id of a customer.
const MAX_CUSTOMER_ID: u64 = 0xffff_ffff;
/// Units of the largest request; all sizes up to it are equally likely.
pub(super) const MAX_UNITS: u32 = 4;
/// Names of the classes: the first is idempotent, the second is not.
pub(super) const CLASSES: [&str; 2] = ["balance-read", "post-payment"];

/// A plan.
pub(super) struct Plan {
    /// Its name at the nodes.
    pub(super) name: &'static str,
    /// Fraction of all demand that its customers ask for.
    pub(super) demand_fraction: f64,
    /// Through how many nodes the requests of its customers arrive.
    pub(super) node_count: u32,
    /// How much a served request is worth, relative to other plans.
    pub(super) weight: f64,
}

/// All plans.
pub(super) const PLANS: [Plan; 3] = [
    Plan {
        name: "basic",
        demand_fraction: 0.28,
        node_count: 2,
        weight: 0.7,
    },
    Plan {
        name: "standard",
        demand_fraction: 0.38,
        node_count: 3,
        weight: 1.1,
    },
    Plan {
        name: "premier",
        demand_fraction: 0.34,
        node_count: 4,
        weight: 1.8,
    },
];

/// Name of a plan.
pub(super) fn plan_name(plan: PlanId) -> &'static str {
    PLANS[plan.0].name
}

/// A customer of the run. What it asks for does not change, so that real and hollow nodes have the same work. The
/// customers of the simulation have bursts and surges, and prefer some of their gateways.
#[derive(Clone, Copy, Debug)]
pub(super) struct Customer {
    /// Its id.
    pub(super) id: CustomerId,
    /// Its plan.
    pub(super) plan: PlanId,
    /// The first of its nodes.
    pub(super) first_node: GatewayId,
    /// Through how many nodes its requests arrive.
    pub(super) node_count: u32,
    /// Units a second that it asks for.
    pub(super) demand: f64,
}

/// A request that a client is about to send.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedRequest {
    /// The customer whose request it is.
    pub(super) customer: Customer,
    /// Index of its class in [`CLASSES`].
    pub(super) class: usize,
    /// Its size.
    pub(super) units: u32,
    /// The node at which it arrives.
    pub(super) node: GatewayId,
}

/// A customer's id by its number. Nodes find a customer's quota owners by the hash of its id, so ids have to be well
/// mixed.
pub(super) fn customer_id(number: u64) -> CustomerId {
    CustomerId(number.wrapping_mul(ID_MULTIPLIER) & MAX_CUSTOMER_ID)
}
