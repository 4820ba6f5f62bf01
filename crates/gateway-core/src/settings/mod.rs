//! The settings of a gateway, their parser and their validation.

mod parse;
mod validate;

pub use parse::{parse, zone_by_name, ParseError, ResolvedSettings};
pub use validate::SettingsError;

use crate::types::{Endpoint, GatewayId, ZoneId};
use crate::units::Units;
use std::time::Duration;

/// The servers that recognise an idempotency key after one of them has executed its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers of the fleet.
    AllServers,
    /// The servers in the zone of the server that executed the request.
    Zone,
    /// The servers in the cell of the server that executed the request.
    Cell,
}

impl DeduplicationScope {
    /// Returns whether the server at `other` recognises the idempotency key of a request that was
    /// executed at `executed_at`, and so does not execute it again.
    #[must_use]
    pub fn covers(self, executed_at: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DeduplicationScope::AllServers => true,
            DeduplicationScope::Zone => executed_at.zone == other.zone,
            DeduplicationScope::Cell => executed_at.cell == other.cell,
        }
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated executions have the same effect as a single one.
    Idempotent,
    /// Servers inside `scope` recognise the request's idempotency key and execute it only once.
    Keyed {
        /// The servers that recognise the key.
        scope: DeduplicationScope,
        /// How long servers recognise the key. The window begins when the first attempt that may
        /// have been executed is sent.
        window: Duration,
    },
    /// The request must never be executed twice.
    NonIdempotent,
}

/// A class of requests: what their answers are worth, and whether they may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time from a request's arrival within which an answer earns the full priority weight.
    pub latency_objective: Duration,
    /// Fraction of the priority weight that an answer after the latency objective still earns. No
    /// decision depends on it: a client waits until its deadline.
    pub late_weight: f64,
    /// Priority of a request within its latency objective, before the plan's weight multiplies it.
    pub priority_weight: f64,
    /// Longest time that a client waits for an answer, its retries included; zero if unknown.
    pub client_deadline: Duration,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

impl Class {
    /// Returns the longest time that a client waits for an answer, its retries included: the latency
    /// objective if the settings state no deadline.
    #[must_use]
    pub fn longest_wait(&self) -> Duration {
        if self.client_deadline.is_zero() {
            self.latency_objective
        } else {
            self.client_deadline
        }
    }
}

/// A hard limit on what all gateways together forward for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units a second that are refilled.
    pub rate: f64,
    /// Maximum number of units that may be used at one moment.
    pub capacity: Units,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Quota in units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Maximum number of units that may be used at one moment.
    pub burst: Units,
    /// Maximum number of attempts in flight at once; `None` for no limit.
    pub max_concurrent: Option<u32>,
    /// Factor by which the priority weight of a class is multiplied for customers of the plan.
    pub weight: f64,
    /// Fraction of the priority weight that a request forwarded beyond the quota earns. No decision
    /// depends on it.
    pub over_quota_weight: f64,
    /// Fraction of the priority weight that a request forwarded beyond the quota costs. No decision
    /// depends on it.
    pub over_quota_cost: f64,
    /// Hard limit; `None` if the plan has none.
    pub hard_limit: Option<HardLimit>,
}

impl Plan {
    /// Returns whether the plan limits the units a second.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.rate > 0.0
    }
}

/// How changes of the endpoint list reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDiscovery {
    /// Changes arrive without a watch.
    Pushed,
    /// Changes arrive after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Watched,
}

/// How servers behave after a start, and when they collapse under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRules {
    /// Fraction of its capacity that a server has when it starts.
    pub warm_up_from: f64,
    /// Time from a server's start until it has its full capacity.
    pub warm_up_period: Duration,
    /// A server is overloaded while its work exceeds this multiple of its current capacity.
    pub overload_multiple: f64,
    /// A server that stays overloaded for this long collapses. No decision depends on it.
    pub overload_window: Duration,
}

/// What the deployment permits gateways to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Maximum number of attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel_attempts: bool,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// Upper bound of `Retry-After`; `None` if rejections carry no `Retry-After`.
    pub max_retry_after: Option<Duration>,
}

/// The complete settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of this gateway, less than `gateway_count`.
    pub gateway_id: GatewayId,
    /// Number of gateways of the fleet, whether they are up or down; at least 1.
    pub gateway_count: u32,
    /// Availability zone that this gateway runs in.
    pub zone: ZoneId,
    /// Classes of requests, indexed by [`ClassId`](crate::ClassId); at least one.
    pub classes: Vec<Class>,
    /// Plans of customers, indexed by [`PlanId`](crate::PlanId); at least one.
    pub plans: Vec<Plan>,
    /// How servers warm up and collapse.
    pub rules: ServerRules,
    /// What the deployment permits gateways to do.
    pub permissions: Permissions,
    /// Cost of an attempt that is sent to a server in another zone, in units of priority weight. It
    /// affects the choice among servers only, not whether or when a request is sent.
    pub cross_zone_cost: f64,
    /// How changes of the endpoint list arrive.
    pub discovery: EndpointDiscovery,
    /// Shortest time between two rounds of events. No decision depends on it.
    pub event_period: Duration,
    /// Maximum number of messages from peers that a gateway can receive per second.
    pub peer_messages_per_second: f64,
    /// Maximum number of units of one request; 0 for no limit.
    pub max_request_units: Units,
}
