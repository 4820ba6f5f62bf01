//! Parser of the JSON settings that the platform and the simulator share. Only this module knows
//! the JSON keys, and maps them to the names used in the code.

use super::{
    Class, DeduplicationScope, EndpointDiscovery, HardLimit, Idempotency, Permissions, Plan,
    ServerRules, Settings,
};
use crate::types::{GatewayId, ZoneId};
use crate::units::Units;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// Default of [`ResolvedSettings::connection_idle_timeout`], µs.
const DEFAULT_CONNECTION_IDLE_US: u64 = 15_000_000;
/// Default of [`ResolvedSettings::connect_timeout`], µs.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;
/// Default of [`ResolvedSettings::drain_grace`], µs.
const DEFAULT_DRAIN_GRACE_US: u64 = 500_000;

/// Why a text can't be parsed as settings.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The gateway's zone is not on the list of zones.
    #[error("zone is not listed in zones")]
    UnknownZone,
    /// A class with an idempotency key has no deduplication scope.
    #[error("class {class}: group is required with an idempotency key")]
    MissingScope {
        /// Name of the class in the settings.
        class: String,
    },
}

/// Parsed settings: those of the gateway, the names behind its ids, and the timeouts that only the
/// network code uses.
#[derive(Clone, Debug)]
pub struct ResolvedSettings {
    /// Settings of the gateway, not validated yet.
    pub settings: Settings,
    /// Names of the classes, in the order of their ids.
    pub class_names: Vec<String>,
    /// Names of the plans, in the order of their ids.
    pub plan_names: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zone_names: Vec<String>,
    /// The longest time that a client of any class waits for its answer; zero if no class has a
    /// deadline.
    pub longest_deadline: Duration,
    /// Time after which no new request may be sent to a server that was reported as draining.
    pub drain_grace: Duration,
    /// Time after which a server closes an idle connection.
    pub connection_idle_timeout: Duration,
    /// Time after which an attempt to establish a connection is given up.
    pub connect_timeout: Duration,
}

/// Parses settings from their JSON text, without validating them: see [`Settings::validate`].
///
/// # Errors
/// Returns an error if the JSON is malformed, if the gateway's zone is not listed, or if a class
/// with an idempotency key has no deduplication scope.
pub fn parse(text: &str) -> Result<ResolvedSettings, ParseError> {
    let json: JsonSettings = serde_json::from_str(text)?;
    let zone = json.zone_id()?;
    let longest_deadline = json.longest_deadline();
    let classes: Result<Vec<Class>, ParseError> =
        json.classes.iter().map(Class::try_from).collect();
    let settings = Settings {
        gateway_id: GatewayId(json.gateway_id),
        gateway_count: json.gateway_count,
        zone,
        classes: classes?,
        plans: json.plans.iter().map(Plan::from).collect(),
        rules: ServerRules::from(&json.rules),
        permissions: Permissions::from(&json.limits),
        cross_zone_cost: json.costs.cross_zone,
        discovery: json.discovery.into(),
        event_period: Duration::from_micros(json.event_period_us),
        peer_messages_per_second: json.extra.peer_messages_per_second,
        max_request_units: Units::new(json.extra.max_request_units),
    };
    Ok(ResolvedSettings {
        settings,
        longest_deadline,
        drain_grace: Duration::from_micros(json.rules.drain_grace_us),
        connection_idle_timeout: Duration::from_micros(json.limits.connection_idle_us),
        connect_timeout: Duration::from_micros(json.limits.connect_timeout_us),
        class_names: json.classes.into_iter().map(|class| class.name).collect(),
        plan_names: json.plans.into_iter().map(|plan| plan.name).collect(),
        zone_names: json.zones,
    })
}

/// Returns the zone of a name, or `None` if it is not on the list. Zones are numbered in the order
/// of the list.
#[must_use]
pub fn zone_by_name(zone_names: &[String], name: &str) -> Option<ZoneId> {
    let mut numbered = (0..).zip(zone_names);
    let (number, _) = numbered.find(|(_, known)| *known == name)?;
    Some(ZoneId(number))
}

#[derive(Deserialize)]
struct JsonSettings {
    #[serde(rename = "balancers")]
    gateway_count: u32,
    #[serde(rename = "me")]
    gateway_id: u32,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
    classes: Vec<JsonClass>,
    #[serde(rename = "packages")]
    plans: Vec<JsonPlan>,
    #[serde(rename = "ceilings")]
    limits: JsonLimits,
    rules: JsonRules,
    #[serde(default, rename = "deductions")]
    costs: JsonCosts,
    #[serde(default)]
    extra: JsonExtra,
    discovery: JsonDiscovery,
    #[serde(rename = "periodUs")]
    event_period_us: u64,
}

impl JsonSettings {
    /// Returns the longest deadline of any class; zero if no class has a deadline.
    fn longest_deadline(&self) -> Duration {
        let deadlines = self.classes.iter().map(|class| class.deadline_us);
        Duration::from_micros(deadlines.max().unwrap_or_default())
    }

    /// Returns the number of this gateway's zone: its index in the list of zones.
    fn zone_id(&self) -> Result<ZoneId, ParseError> {
        if self.zones.is_empty() {
            // Without a list of zones all servers are in one zone.
            return Ok(ZoneId(0));
        }
        zone_by_name(&self.zones, &self.zone).ok_or(ParseError::UnknownZone)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonClass {
    name: String,
    #[serde(rename = "aimUs")]
    latency_objective_us: u64,
    #[serde(default)]
    deadline_us: u64,
    #[serde(default, rename = "lateValue")]
    late_weight: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    repeat: JsonRepeat,
    #[serde(default)]
    group: Option<JsonScope>,
    #[serde(default)]
    window_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum JsonRepeat {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum JsonScope {
    All,
    Zone,
    Cell,
}

impl From<JsonScope> for DeduplicationScope {
    fn from(scope: JsonScope) -> Self {
        match scope {
            JsonScope::All => DeduplicationScope::AllServers,
            JsonScope::Zone => DeduplicationScope::Zone,
            JsonScope::Cell => DeduplicationScope::Cell,
        }
    }
}

impl JsonClass {
    fn idempotency(&self) -> Result<Idempotency, ParseError> {
        match self.repeat {
            JsonRepeat::ReadLike => Ok(Idempotency::Idempotent),
            JsonRepeat::NonIdempotent => Ok(Idempotency::NonIdempotent),
            JsonRepeat::IdempotencyKey => {
                let missing = || ParseError::MissingScope {
                    class: self.name.clone(),
                };
                let scope = self.group.ok_or_else(missing)?.into();
                Ok(Idempotency::Keyed {
                    scope,
                    window: Duration::from_micros(self.window_us),
                })
            }
        }
    }
}

impl TryFrom<&JsonClass> for Class {
    type Error = ParseError;

    fn try_from(class: &JsonClass) -> Result<Self, ParseError> {
        Ok(Class {
            latency_objective: Duration::from_micros(class.latency_objective_us),
            late_weight: class.late_weight,
            client_deadline: Duration::from_micros(class.deadline_us),
            priority_weight: class.priority_weight,
            idempotency: class.idempotency()?,
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonPlan {
    name: String,
    rate: f64,
    #[serde(rename = "storeSize")]
    burst: f64,
    /// 0 means no limit.
    #[serde(default, rename = "atOnce")]
    max_concurrent: u32,
    #[serde(rename = "price")]
    weight: f64,
    #[serde(default, rename = "overWorth")]
    over_quota_weight: f64,
    #[serde(default, rename = "overrunCost")]
    over_quota_cost: f64,
    /// 0 means no hard limit.
    #[serde(default, rename = "capRate")]
    hard_limit_rate: f64,
    #[serde(default, rename = "neverOverDepth")]
    hard_limit_capacity: f64,
}

impl From<&JsonPlan> for Plan {
    fn from(plan: &JsonPlan) -> Self {
        let hard_limit = HardLimit {
            rate: plan.hard_limit_rate,
            capacity: Units::new(plan.hard_limit_capacity),
        };
        Plan {
            rate: plan.rate,
            burst: Units::new(plan.burst),
            max_concurrent: (plan.max_concurrent > 0).then_some(plan.max_concurrent),
            weight: plan.weight,
            over_quota_weight: plan.over_quota_weight,
            over_quota_cost: plan.over_quota_cost,
            hard_limit: (plan.hard_limit_rate > 0.0).then_some(hard_limit),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonLimits {
    #[serde(rename = "sendCap")]
    max_attempts: u32,
    #[serde(rename = "cancel")]
    cancel_attempts: bool,
    #[serde(rename = "mayTell")]
    peer_messages: bool,
    #[serde(default = "default_retry_after")]
    retry_after: bool,
    #[serde(default = "unlimited_us")]
    max_retry_after_us: u64,
    #[serde(default = "default_connection_idle_us", rename = "connIdleUs")]
    connection_idle_us: u64,
    #[serde(default = "default_connect_timeout_us")]
    connect_timeout_us: u64,
}

impl From<&JsonLimits> for Permissions {
    fn from(limits: &JsonLimits) -> Self {
        Permissions {
            max_attempts: limits.max_attempts,
            cancel_attempts: limits.cancel_attempts,
            peer_messages: limits.peer_messages,
            max_retry_after: limits
                .retry_after
                .then_some(Duration::from_micros(limits.max_retry_after_us)),
        }
    }
}

fn default_retry_after() -> bool {
    true
}

fn unlimited_us() -> u64 {
    u64::MAX
}

fn default_connection_idle_us() -> u64 {
    DEFAULT_CONNECTION_IDLE_US
}

fn default_connect_timeout_us() -> u64 {
    DEFAULT_CONNECT_TIMEOUT_US
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JsonRules {
    #[serde(rename = "coldFrom")]
    warm_up_from: f64,
    #[serde(rename = "coldUs")]
    warm_up_period_us: u64,
    #[serde(rename = "fallMultiple")]
    overload_multiple: f64,
    #[serde(rename = "overloadForUs")]
    overload_window_us: u64,
    #[serde(default = "default_drain_grace_us")]
    drain_grace_us: u64,
}

impl From<&JsonRules> for ServerRules {
    fn from(rules: &JsonRules) -> Self {
        ServerRules {
            warm_up_from: rules.warm_up_from,
            warm_up_period: Duration::from_micros(rules.warm_up_period_us),
            overload_multiple: rules.overload_multiple,
            overload_window: Duration::from_micros(rules.overload_window_us),
        }
    }
}

fn default_drain_grace_us() -> u64 {
    DEFAULT_DRAIN_GRACE_US
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct JsonCosts {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct JsonExtra {
    #[serde(default, rename = "peerInPerS")]
    peer_messages_per_second: f64,
    #[serde(default, rename = "maxUnits")]
    max_request_units: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum JsonDiscovery {
    Automatic,
    Subscribe,
}

impl From<JsonDiscovery> for EndpointDiscovery {
    fn from(discovery: JsonDiscovery) -> Self {
        match discovery {
            JsonDiscovery::Automatic => EndpointDiscovery::Pushed,
            JsonDiscovery::Subscribe => EndpointDiscovery::Watched,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/settings.rs"]
mod tests;
