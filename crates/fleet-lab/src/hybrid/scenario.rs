//! The scenario of a run: the number of nodes, and the customers with their demand.

use super::customers::{customer_id, Customer, PlannedRequest, MAX_UNITS, PLANS};
use super::node_settings::node_settings;
use super::plan_quotas::PlanQuotas;
use super::quotas::CustomerQuota;
use crate::time::MICROS_PER_SECOND;
use crate::world::Rng;
use gateway_core::{GatewayId, PlanId};
use rand::Rng as _;
use std::time::Duration;

/// Time for which every client waits for its final answer.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time during which a node may continue to send attempts to a draining server.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Demand of customers as a multiple of their quota: one customer within its quota, and one beyond
/// it.
pub(super) const DEMAND_RATIOS: [f64; 2] = [0.5, 3.0];
/// Fraction of the requests that are idempotent.
const IDEMPOTENT_FRACTION: f64 = 0.64;
pub(super) const SERVER_COUNT: usize = 6;
/// Mean service time of a request, in µs.
pub(super) const MEAN_WORK_US: f64 = 40_000.0;
/// Maximum deviation of a request's service time from the mean, as a fraction of the mean.
pub(super) const WORK_DEVIATION_FRACTION: f64 = 0.5;
/// Utilization of the servers by demand within the quotas.
const UTILIZATION: f64 = 0.5;

/// Size of a scenario: the number of nodes, the request rate and the tolerated use beyond quotas.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScenarioSize {
    /// Number of nodes that run; these have the lowest node numbers.
    pub(super) nodes: u32,
    /// Number of nodes in the settings, including those that do not run.
    pub(super) fleet_size: u32,
    /// Mean number of requests per second at each node.
    pub(super) rate_per_node: f64,
    /// Fraction of a quota that may be used in addition to the quota in the long run.
    pub(super) quota_tolerance: f64,
}

/// Customers of a run, with their quotas and their demand.
#[derive(Debug)]
pub(super) struct Scenario {
    size: ScenarioSize,
    customers: Vec<Customer>,
    quotas: PlanQuotas,
    total_demand: f64,
}

impl Scenario {
    /// Creates a scenario in which, for each plan, every node is the first node of one customer
    /// within its quota and of one customer beyond it, so that real and hollow nodes have the same
    /// work.
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

    pub(super) fn size(&self) -> ScenarioSize {
        self.size
    }

    /// Returns the mean number of requests per second over all nodes.
    pub(super) fn rate(&self) -> f64 {
        self.size.rate_per_node * f64::from(self.size.nodes)
    }

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

    /// Returns the quota of each customer, with the tolerance that follows from the information
    /// that nodes lack.
    pub(super) fn customer_quotas(&self) -> impl Iterator<Item = CustomerQuota> + '_ {
        self.customers
            .iter()
            .map(|customer| self.quotas.of(customer))
    }

    /// Returns the number of requests that a server runs concurrently.
    pub(super) fn server_slots(&self) -> usize {
        let within_quotas: f64 = DEMAND_RATIOS.iter().map(|ratio| ratio.min(1.0)).sum();
        let fraction_within_quotas = within_quotas / DEMAND_RATIOS.iter().sum::<f64>();
        let busy_slots = self.rate() * fraction_within_quotas * MEAN_WORK_US / MICROS_PER_SECOND;
        ((busy_slots / SERVER_COUNT as f64 / UTILIZATION).ceil() as usize).max(1)
    }

    /// Returns the settings of one node in the JSON of the deployment.
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
