//! What a gateway is configured with, and how it is parsed and validated.

mod parse;
mod validate;

pub use parse::{parse, zone_by_name, ParseError, ResolvedSettings};
pub use validate::SettingsError;

use crate::types::{Endpoint, GatewayId, ZoneId};
use crate::units::Units;
use std::time::Duration;

/// Which servers drop a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    AllServers,
    /// Those in the zone of the first attempt's server.
    Zone,
    /// Those in its cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether an execution at one endpoint is known at another, so that a repeat is dropped there.
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
    /// Any number of executions does what one does.
    Idempotent,
    /// Servers inside `scope` recognise its idempotency key and execute it once, until `window`
    /// after the first attempt that may have been executed was sent.
    Keyed {
        /// The servers that recognise the key.
        scope: DeduplicationScope,
        /// How long they recognise it.
        window: Duration,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within it earns the full priority weight.
    pub latency_objective: Duration,
    /// Fraction of the priority weight that a later answer still earns.
    pub late_weight: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
}

/// A hard limit on what all gateways together forward for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units a second.
    pub rate: f64,
    /// Maximum of units that may be used at one moment.
    pub capacity: Units,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Units that may be used at one moment.
    pub burst: Units,
    /// Attempts that may be in flight at once; `None` for no limit.
    pub max_concurrent: Option<u32>,
    /// Multiplies the class's priority weight.
    pub weight: f64,
    /// Fraction of the priority weight earned by what is forwarded beyond the quota. No decision uses
    /// it.
    pub over_quota_weight: f64,
    /// Share of the priority weight that a request forwarded beyond the quota costs.
    pub over_quota_cost: f64,
    /// The hard limit, if the plan has one.
    pub hard_limit: Option<HardLimit>,
}

impl Plan {
    /// Whether the plan limits the units a second; without a quota its rate is 0.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.rate > 0.0
    }
}

/// How changes of the endpoint list reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDiscovery {
    /// They arrive without being asked for.
    Pushed,
    /// They arrive after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Watched,
}

/// How servers behave after a start, and when they collapse under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRules {
    /// Fraction of its capacity that a server has when it starts.
    pub warm_up_from: f64,
    /// Time after its start until it has its full capacity.
    pub warm_up_period: Duration,
    /// A server is overloaded while its work exceeds this multiple of its present capacity.
    pub overload_multiple: f64,
    /// A server that is overloaded for this long collapses. No decision uses it.
    pub overload_window: Duration,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel_attempts: bool,
    /// Whether gateways may send each other messages.
    pub peer_messages: bool,
    /// The longest `Retry-After`; `None` where it is not sent.
    pub max_retry_after: Option<Duration>,
}

/// All that a gateway is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub gateway_id: GatewayId,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// How servers warm up and collapse.
    pub rules: ServerRules,
    /// What is permitted.
    pub permissions: Permissions,
    /// Price of an attempt that crosses zones, per request.
    pub cross_zone_cost: f64,
    /// How changes of the endpoint list arrive.
    pub discovery: EndpointDiscovery,
    /// Shortest time between two rounds of events. No decision uses it.
    pub event_period: Duration,
    /// Messages from peers that a gateway can take in, per second.
    pub peer_messages_per_second: f64,
    /// Units of the largest request; 0 for no limit.
    pub max_request_units: Units,
}
