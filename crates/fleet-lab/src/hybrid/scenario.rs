//! The scenario of a run: how many nodes there are, and what the clients ask for.

use super::customers::{customer_id, Customer, PlannedRequest, MAX_UNITS, PLANS};
use super::node_settings::node_settings;
use super::plan_quotas::PlanQuotas;
use super::quotas::CustomerQuota;
use crate::time::MICROS_PER_SECOND;
use crate::world::Rng;
use gateway_core::{GatewayId, PlanId};
use rand::Rng as _;
use std::time::Duration;

/// How long any client waits.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a node may go on sending to a server that drains.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// What customers ask for, as a multiple of their quota: one within it, and one beyond.
pub(super) const DEMAND_RATIOS: [f64; 2] = [0.5, 3.0];
/// Fraction of the requests that may be repeated.
const IDEMPOTENT_FRACTION: f64 = 0.64;
/// Number of servers.
pub(super) const SERVER_COUNT: usize = 6;
/// Mean work of a request, µs.
pub(super) const MEAN_WORK_US: f64 = 40_000.0;
/// How far the work of single requests lies from the mean, as a fraction of it.
pub(super) const WORK_DEVIATION_FRACTION: f64 = 0.5;
/// Utilization of the servers by demand within the quotas.
const UTILIZATION: f64 = 0.5;

/// How many nodes there are, and what clients ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScenarioSize {
    /// Nodes that run; their numbers are the first ones.
    pub(super) nodes: u32,
    /// Nodes in the settings, those that do not run included.
    pub(super) fleet_size: u32,
    /// Requests a second at each node, on average.
    pub(super) rate_per_node: f64,
    /// Fraction of a quota that may be used on top of it in the long run.
    pub(super) quota_tolerance: f64,
}

/// What the clients ask for.
#[derive(Debug)]
pub(super) struct Scenario {
    size: ScenarioSize,
    customers: Vec<Customer>,
    quotas: PlanQuotas,
    total_demand: f64,
}

impl Scenario {
    /// A scenario in which on each plan every node is the first node of a customer within its quota and of one beyond:
    /// real and hollow nodes have the same work.
    pub(super) fn new(size: ScenarioSize) -> Scenario {
        let quotas = PlanQuotas::new(size);
        let customers = customers(size, &quotas);
        let total_demand = customers.iter().map(|customer| customer.demand).sum();
        Scenario {
            size,
            customers,
            quotas,
            total_demand,
        }
    }

    /// How many nodes there are.
    pub(super) fn size(&self) -> ScenarioSize {
        self.size
    }

    /// Requests a second at all nodes.
    pub(super) fn rate(&self) -> f64 {
        self.size.rate_per_node * f64::from(self.size.nodes)
    }

    /// Draws the next request.
    pub(super) fn draw_request(&self, rng: &mut Rng) -> PlannedRequest {
        let customer = self.draw_customer(rng);
        let offset = rng.random_range(0..customer.node_count);
        PlannedRequest {
            customer,
            class: usize::from(rng.random::<f64>() >= IDEMPOTENT_FRACTION),
            units: rng.random_range(1..=MAX_UNITS),
            node: GatewayId((customer.first_node.0 + offset) % self.size.nodes),
        }
    }

    /// Draws a customer with a probability proportional to its demand.
    fn draw_customer(&self, rng: &mut Rng) -> Customer {
        let mut drawn = rng.random::<f64>() * self.total_demand;
        let customer = self.customers.iter().find(|customer| {
            drawn -= customer.demand;
            drawn <= 0.0
        });
        *customer.unwrap_or(&self.customers[0])
    }

    /// The quota of each customer, with the tolerance that follows from what nodes can know.
    pub(super) fn customer_quotas(&self) -> impl Iterator<Item = CustomerQuota> + '_ {
        self.customers
            .iter()
            .map(|customer| self.quotas.of(customer))
    }

    /// Requests that run concurrently at a server.
    pub(super) fn server_slots(&self) -> usize {
        let within_quotas: f64 = DEMAND_RATIOS.iter().map(|ratio| ratio.min(1.0)).sum();
        let fraction_within_quotas = within_quotas / DEMAND_RATIOS.iter().sum::<f64>();
        let busy_slots = self.rate() * fraction_within_quotas * MEAN_WORK_US / MICROS_PER_SECOND;
        ((busy_slots / SERVER_COUNT as f64 / UTILIZATION).ceil() as usize).max(1)
    }

    /// The settings of one node, in the deployment's JSON.
    pub(super) fn settings(&self, node: GatewayId) -> serde_json::Value {
        node_settings(&self.quotas, self.size.fleet_size, node)
    }
}

fn customers(size: ScenarioSize, quotas: &PlanQuotas) -> Vec<Customer> {
    let mut customers = Vec::new();
    for (index, plan) in PLANS.iter().enumerate() {
        for demand_ratio in DEMAND_RATIOS {
            for first_node in 0..size.nodes {
                customers.push(Customer {
                    id: customer_id(customers.len() as u64 + 1),
                    plan: PlanId(index),
                    first_node: GatewayId(first_node),
                    node_count: plan.node_count.min(size.nodes),
                    demand: demand_ratio * quotas.rate(PlanId(index)),
                });
            }
        }
    }
    customers
}
