//! Settings of the real and hollow nodes, in the JSON format that a deployment uses.

use super::customers::{CLASSES, MAX_UNITS, PLANS};
use super::plan_quotas::{PlanQuotas, ACCEPTED_MESSAGES_PER_SECOND};
use super::scenario::{CLIENT_TIMEOUT, DRAIN_GRACE};
use gateway_core::DurationExt;
use gateway_core::{GatewayId, PlanId};
use serde_json::json;
use std::time::Duration;

/// Latency objective of each class.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// Returns the settings of the node `node` in a fleet of `fleet_size` nodes. The nodes differ only
/// in their number.
pub(super) fn node_settings(
    quotas: &PlanQuotas,
    fleet_size: u32,
    node: GatewayId,
) -> serde_json::Value {
    let plans = (0..PLANS.len()).map(|index| plan_settings(quotas, PlanId(index)));
    json!({
        "balancers": fleet_size, "me": node.0, "zone": "a", "zones": ["a"], "periodUs": 2000,
        "discovery": "automatic",
        "ceilings": {"sendCap": 5, "cancel": true, "mayTell": true, "retryAfter": true,
                     "maxRetryAfterUs": 500_000, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
        "classes": [class_settings(CLASSES[0], 3.0, "read_like"),
                    class_settings(CLASSES[1], 5.0, "non_idempotent")],
        "packages": plans.collect::<Vec<_>>(),
        "rules": {"coldFrom": 0.3, "coldUs": 2_000_000, "fallMultiple": 2.5, "overloadForUs": 1_000_000,
                  "drainGraceUs": DRAIN_GRACE.whole_micros()},
        "extra": {"peerInPerS": ACCEPTED_MESSAGES_PER_SECOND, "maxUnits": MAX_UNITS},
    })
}

fn plan_settings(quotas: &PlanQuotas, plan: PlanId) -> serde_json::Value {
    let settings = &PLANS[plan.0];
    json!({"name": settings.name, "rate": quotas.rate(plan), "storeSize": quotas.burst(plan),
           "price": settings.weight, "overWorth": 0.0, "overrunCost": 1.0})
}

fn class_settings(name: &str, priority_weight: f64, idempotency: &str) -> serde_json::Value {
    json!({"name": name, "aimUs": LATENCY_OBJECTIVE.whole_micros(),
           "deadlineUs": CLIENT_TIMEOUT.whole_micros(), "lateValue": 0.2,
           "worth": priority_weight, "repeat": idempotency})
}
