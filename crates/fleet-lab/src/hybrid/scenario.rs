//! The scenario of a run: what the clients ask for, the settings of all nodes, and the faults of the servers.

use super::ledger::{CustomerQuota, Quota};
use crate::time::DurationExt;
use crate::world::Rng;
use gateway_core::{CustomerId, GatewayId, PlanId};
use rand::Rng as _;
use serde_json::json;
use std::time::Duration;

/// How long any client waits.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// How long a node may go on sending to a server that drains.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Messages a second that a node accepts.
const ACCEPTED_MESSAGES_PER_S: f64 = 40.0;
/// Units of the largest request; all sizes up to it are equally likely.
const MAX_UNITS: u32 = 4;
/// Seconds of its rate that a customer may use at once.
const BURST_SECONDS: f64 = 1.2;
/// What customers ask for, as a multiple of their quota: one within it, and one beyond.
const DEMAND: [f64; 2] = [0.5, 3.0];
/// Share of requests that may be repeated.
const IDEMPOTENT_SHARE: f64 = 0.64;
/// Most time from a quota decision to the arrival of the first attempt at its server: a connection may have to be
/// opened.
const FIRST_SEND_TIME: Duration = Duration::from_millis(250);
/// As in the decision module: share of the messages that a node accepts which may be usage counts of its peers.
const USAGE_MESSAGE_SHARE: f64 = 0.7;
/// As in the decision module: least time between two usage counts, s.
const MIN_USAGE_INTERVAL_S: f64 = 0.2;
/// As in the decision module: from this time between usage counts on, quotas have owners, s.
const OWNERS_FROM_INTERVAL_S: f64 = 0.5;
/// Number of servers.
pub(super) const SERVER_COUNT: usize = 6;
/// Mean work of a request, µs.
pub(super) const MEAN_WORK_US: f64 = 40_000.0;
/// How far the work of single requests lies from the mean, as a share of it.
pub(super) const WORK_DEVIATION: f64 = 0.5;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Utilization of the servers by demand within the quotas.
const UTILIZATION: f64 = 0.5;

/// A plan.
struct Plan {
    name: &'static str,
    /// Share of all demand.
    share: f64,
    /// Through how many nodes the requests of its customers arrive.
    node_count: u32,
    weight: f64,
}

const PLANS: [Plan; 3] = [
    Plan {
        name: "basic",
        share: 0.28,
        node_count: 2,
        weight: 0.7,
    },
    Plan {
        name: "standard",
        share: 0.38,
        node_count: 3,
        weight: 1.1,
    },
    Plan {
        name: "premier",
        share: 0.34,
        node_count: 4,
        weight: 1.8,
    },
];

/// Name of a plan.
pub(super) fn plan_name(plan: PlanId) -> &'static str {
    PLANS[plan.0].name
}

/// Names of the classes: the first is idempotent, the second is not.
pub(super) const CLASSES: [&str; 2] = ["balance-read", "post-payment"];

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
    demand: f64,
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

/// How many nodes there are, and what clients ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScenarioSize {
    /// Nodes that run; their numbers are the first ones.
    pub(super) nodes: u32,
    /// Nodes in the settings, those that do not run included.
    pub(super) fleet_size: u32,
    /// Requests a second at each node, on average.
    pub(super) rate_per_node: f64,
    /// Share of a quota that may be used on top of it in the long run.
    pub(super) quota_tolerance: f64,
}

/// What the clients ask for.
#[derive(Debug)]
pub(super) struct Scenario {
    /// How many nodes there are, and what clients ask for.
    pub(super) size: ScenarioSize,
    customers: Vec<Customer>,
    /// By plan, in units a second.
    quotas: Vec<f64>,
    total_demand: f64,
}

impl Scenario {
    /// A scenario in which on each plan every node is the first node of a customer within its quota and of one beyond:
    /// real and hollow nodes have the same work.
    pub(super) fn new(size: ScenarioSize) -> Scenario {
        let quotas: Vec<f64> = PLANS
            .iter()
            .map(|plan| quota(plan, size.rate_per_node))
            .collect();
        let mut customers = Vec::new();
        for (index, plan) in PLANS.iter().enumerate() {
            for demand in DEMAND {
                for first_node in 0..size.nodes {
                    customers.push(Customer {
                        id: customer_id(customers.len() as u64 + 1),
                        plan: PlanId(index),
                        first_node: GatewayId(first_node),
                        node_count: plan.node_count.min(size.nodes),
                        demand: demand * quotas[index],
                    });
                }
            }
        }
        let total_demand = customers.iter().map(|customer| customer.demand).sum();
        Scenario {
            size,
            customers,
            quotas,
            total_demand,
        }
    }

    /// Requests a second at all nodes.
    pub(super) fn rate(&self) -> f64 {
        self.size.rate_per_node * f64::from(self.size.nodes)
    }

    /// Draws the next request.
    pub(super) fn draw_request(&self, rng: &mut Rng) -> PlannedRequest {
        let mut drawn = rng.random::<f64>() * self.total_demand;
        let customer = self.customers.iter().find(|customer| {
            drawn -= customer.demand;
            drawn <= 0.0
        });
        let customer = *customer.unwrap_or(&self.customers[0]);
        let offset = rng.random_range(0..customer.node_count);
        PlannedRequest {
            customer,
            class: usize::from(rng.random::<f64>() >= IDEMPOTENT_SHARE),
            units: rng.random_range(1..=MAX_UNITS),
            node: GatewayId((customer.first_node.0 + offset) % self.size.nodes),
        }
    }

    /// Units that a customer of a plan may use at once.
    fn burst(&self, plan: usize) -> f64 {
        (self.quotas[plan] * BURST_SECONDS).max(f64::from(MAX_UNITS))
    }

    /// The quota of each customer, with the tolerance that follows from what nodes can know.
    pub(super) fn quotas(&self) -> impl Iterator<Item = CustomerQuota> + '_ {
        let customers = self.customers.iter();
        customers.map(|customer| CustomerQuota {
            customer: customer.id,
            quota: self.quota_of(customer),
        })
    }

    fn quota_of(&self, customer: &Customer) -> Quota {
        let rate = self.quotas[customer.plan.0];
        let burst = self.burst(customer.plan.0);
        let in_transit = rate * FIRST_SEND_TIME.as_micros_f64() / MICROS_PER_SECOND;
        let lack_of_information = if self.quotas_have_owners() {
            self.owner_tolerance(burst)
        } else {
            self.usage_count_tolerance(customer, rate, burst)
        };
        Quota {
            rate,
            burst,
            tolerance: in_transit + lack_of_information,
            tolerance_per_s: self.size.quota_tolerance * rate,
        }
    }

    /// In a large fleet two owners and a standby owner keep a quota: each owner may round up to the largest request,
    /// and the standby owner's part is added.
    fn owner_tolerance(&self, burst: f64) -> f64 {
        2.0 * f64::from(MAX_UNITS) + self.size.quota_tolerance * burst
    }

    /// In a small fleet each node sends its usage counts to the others some times a second: until then every other
    /// node may use its whole bucket, and what refills it meanwhile. Debts deeper than its bucket a node forgets, which
    /// the tolerance per second covers.
    fn usage_count_tolerance(&self, customer: &Customer, rate: f64, burst: f64) -> f64 {
        let other_nodes = f64::from(customer.node_count - 1);
        other_nodes * (burst + rate * self.usage_interval().max(MIN_USAGE_INTERVAL_S))
    }

    /// Time between two usage counts of a node that the rate of accepted messages allows, s.
    fn usage_interval(&self) -> f64 {
        f64::from(self.size.fleet_size.saturating_sub(1))
            / (ACCEPTED_MESSAGES_PER_S * USAGE_MESSAGE_SHARE)
    }

    /// Whether usage counts would be too rare, so that quotas have owners.
    fn quotas_have_owners(&self) -> bool {
        self.usage_interval() >= OWNERS_FROM_INTERVAL_S
    }

    /// Requests that run at once at a server.
    pub(super) fn server_slots(&self) -> usize {
        let within_quotas: f64 = DEMAND.iter().map(|demand| demand.min(1.0)).sum();
        let share_within_quotas = within_quotas / DEMAND.iter().sum::<f64>();
        let busy_slots = self.rate() * share_within_quotas * MEAN_WORK_US / MICROS_PER_SECOND;
        ((busy_slots / SERVER_COUNT as f64 / UTILIZATION).ceil() as usize).max(1)
    }

    /// The settings of one node, in the deployment's JSON.
    pub(super) fn settings(&self, node: GatewayId) -> serde_json::Value {
        json!({
            "balancers": self.size.fleet_size, "me": node.0, "zone": "a", "zones": ["a"], "periodUs": 2000,
            "discovery": "automatic",
            "ceilings": {"sendCap": 5, "cancel": true, "mayTell": true, "retryAfter": true,
                         "maxRetryAfterUs": 500_000, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
            "classes": [class_settings(CLASSES[0], 3.0, "read_like"),
                        class_settings(CLASSES[1], 5.0, "non_idempotent")],
            "packages": (0..PLANS.len()).map(|plan| self.plan_settings(plan)).collect::<Vec<_>>(),
            "rules": {"coldFrom": 0.3, "coldUs": 2_000_000, "fallMultiple": 2.5, "overloadForUs": 1_000_000,
                      "drainGraceUs": DRAIN_GRACE.whole_micros()},
            "extra": {"peerInPerS": ACCEPTED_MESSAGES_PER_S, "maxUnits": MAX_UNITS},
        })
    }

    fn plan_settings(&self, plan: usize) -> serde_json::Value {
        let Plan { name, weight, .. } = PLANS[plan];
        json!({"name": name, "rate": self.quotas[plan], "storeSize": self.burst(plan),
               "price": weight, "overWorth": 0.0, "overrunCost": 1.0})
    }
}

fn class_settings(name: &str, priority_weight: f64, repeat: &str) -> serde_json::Value {
    json!({"name": name, "aimUs": LATENCY_OBJECTIVE.whole_micros(), "deadlineUs": CLIENT_TIMEOUT.whole_micros(), "lateValue": 0.2,
           "worth": priority_weight, "repeat": repeat})
}

/// The quota of a plan's customers, units a second.
fn quota(plan: &Plan, rate_per_node: f64) -> f64 {
    let mean_units = f64::from(MAX_UNITS + 1) / 2.0;
    rate_per_node * mean_units * plan.share / DEMAND.iter().sum::<f64>()
}

/// A customer's id by its number. Nodes find a customer's quota owners by the hash of its id, so ids have to be well
/// mixed.
fn customer_id(number: u64) -> CustomerId {
    CustomerId(number.wrapping_mul(0x9e37_79b1) & 0xffff_ffff)
}

/// What a server does with attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerMode {
    /// Serves them.
    Serve,
    /// Answers half of them with an error.
    FailHalf,
    /// Accepts them and answers none.
    Hang,
    /// Rejects them without running them.
    Reject,
}

/// A change of a server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    /// It finishes what it holds.
    Draining,
    /// It was removed.
    Gone,
    /// It has started again.
    Restarted,
}

/// A change of a server's behaviour.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerFault {
    /// When, as a share of the run.
    pub(super) at: f64,
    /// Index of the server.
    pub(super) server: usize,
    /// What it does from now on.
    pub(super) mode: ServerMode,
    /// Its new state in the list, if that changes.
    pub(super) listed: Option<ListedState>,
}

impl ServerFault {
    fn new(at: f64, server: usize, mode: ServerMode) -> ServerFault {
        ServerFault {
            at,
            server,
            mode,
            listed: None,
        }
    }

    fn listed(self, state: ListedState) -> ServerFault {
        ServerFault {
            listed: Some(state),
            ..self
        }
    }
}

/// The faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum FaultProfile {
    /// None.
    Calm,
    /// One server rejects, one drains and restarts, one hangs, one answers with errors, each for a while.
    Mixed,
    /// One server answers nothing from the start on.
    #[value(alias = "mute")]
    Unresponsive,
}

impl FaultProfile {
    /// All faults in the order of their times.
    pub(super) fn faults(self) -> Vec<ServerFault> {
        match self {
            FaultProfile::Calm => Vec::new(),
            FaultProfile::Unresponsive => vec![ServerFault::new(0.0, 0, ServerMode::Hang)],
            FaultProfile::Mixed => vec![
                ServerFault::new(0.2, 1, ServerMode::Reject),
                ServerFault::new(0.3, 1, ServerMode::Serve),
                ServerFault::new(0.3, 2, ServerMode::Reject).listed(ListedState::Draining),
                ServerFault::new(0.4, 3, ServerMode::Hang),
                ServerFault::new(0.55, 2, ServerMode::Reject).listed(ListedState::Gone),
                ServerFault::new(0.55, 3, ServerMode::Serve),
                ServerFault::new(0.6, 4, ServerMode::FailHalf),
                ServerFault::new(0.7, 2, ServerMode::Serve).listed(ListedState::Restarted),
                ServerFault::new(0.75, 4, ServerMode::Serve),
            ],
        }
    }
}
