//! The customers of a run, their plans and their requests.

use gateway_core::{CustomerId, GatewayId, PlanId};

/// Multiplier that spreads consecutive customer numbers over the range of ids.
const ID_MULTIPLIER: u64 = 0x9e37_79b1;
/// Largest customer id of a run. Ids of a run have 32 bits; the protocol permits 33.
const MAX_CUSTOMER_ID: u64 = 0xffff_ffff;
/// Units of the largest request; all sizes from 1 unit up are equally likely.
pub(super) const MAX_UNITS: u32 = 4;
/// Names of the classes: the first class is idempotent, the second is non-idempotent.
pub(super) const CLASSES: [&str; 2] = ["balance-read", "post-payment"];

/// A plan, with the demand of its customers.
pub(super) struct Plan {
    /// Name of the plan at the nodes.
    pub(super) name: &'static str,
    /// Fraction of the total demand that comes from customers of the plan.
    pub(super) demand_fraction: f64,
    /// Number of nodes at which the requests of one customer arrive.
    pub(super) node_count: u32,
    /// Value of a served request relative to other plans.
    pub(super) weight: f64,
}

/// All plans, in the order of their ids.
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

pub(super) fn plan_name(plan: PlanId) -> &'static str {
    PLANS[plan.0].name
}

/// A customer of the run. Its demand is constant, so that real and hollow nodes have the same work,
/// whereas customers of the simulation have bursts and surges, and prefer some of their gateways.
#[derive(Clone, Copy, Debug)]
pub(super) struct Customer {
    /// Id of the customer at all nodes.
    pub(super) id: CustomerId,
    /// Plan of the customer, as an index into [`PLANS`].
    pub(super) plan: PlanId,
    /// First of the consecutive nodes at which the customer's requests arrive.
    pub(super) first_node: GatewayId,
    /// Number of nodes at which the customer's requests arrive.
    pub(super) node_count: u32,
    /// Mean units per second of the customer's requests.
    pub(super) demand: f64,
}

/// A request that a client is about to send.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedRequest {
    /// Customer that the request belongs to.
    pub(super) customer: Customer,
    /// Index of the request's class in [`CLASSES`].
    pub(super) class: usize,
    /// Units of the quota that the request consumes.
    pub(super) units: u32,
    /// Node at which the request arrives.
    pub(super) node: GatewayId,
}

/// Derives a customer's id from its number. Nodes choose a customer's quota owners by the hash of
/// its id, so ids must be well mixed.
pub(super) fn customer_id(number: u64) -> CustomerId {
    CustomerId(number.wrapping_mul(ID_MULTIPLIER) & MAX_CUSTOMER_ID)
}
