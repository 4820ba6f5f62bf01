//! Settings of the gateways under test, and names for their four classes and four plans.

use gateway_core::*;
use std::time::Duration;

/// The lowest class: its requests may be executed more than once.
pub(crate) const IDEMPOTENT: ClassId = ClassId(0);
/// Requests have an idempotency key, which only the servers of one cell recognise.
pub(crate) const KEYED_BY_CELL: ClassId = ClassId(1);
pub(crate) const NON_IDEMPOTENT: ClassId = ClassId(2);
/// Requests have an idempotency key, which all servers recognise.
pub(crate) const KEYED: ClassId = ClassId(3);
pub(crate) const CLASS_COUNT: usize = 4;

/// A quota of one unit a second, with a burst of 4 units.
pub(crate) const SMALL_QUOTA: PlanId = PlanId(0);
/// No quota.
pub(crate) const UNLIMITED: PlanId = PlanId(1);
/// A hard limit of 8 units a second with a capacity of 12 units, and a much larger quota.
pub(crate) const HARD_LIMITED: PlanId = PlanId(2);
/// At most two attempts in flight at once, over all gateways.
pub(crate) const TWO_CONCURRENT: PlanId = PlanId(3);
pub(crate) const PLAN_COUNT: usize = 4;

/// Number of gateways of a large fleet, which shares quotas by leases because it has too many
/// gateways for broadcasts.
pub(crate) const LARGE_FLEET: u32 = 300;

/// Returns the default settings of a gateway under test.
pub(crate) fn settings(gateway: u32, gateway_count: u32) -> Settings {
    SettingsBuilder::new(gateway, gateway_count).build()
}

/// Builder of settings that differ from the defaults of the tests.
pub(crate) struct SettingsBuilder(Settings);

impl SettingsBuilder {
    pub(crate) fn new(gateway: u32, gateway_count: u32) -> Self {
        SettingsBuilder(Settings {
            gateway_id: GatewayId(gateway),
            gateway_count,
            zone: ZoneId(0),
            classes: classes(),
            plans: plans(),
            rules: ServerRules {
                warm_up_from: 0.2,
                warm_up_period: Duration::from_secs(10),
                overload_multiple: 3.0,
                overload_window: Duration::from_secs(1),
            },
            permissions: Permissions {
                max_attempts: 3,
                cancel_attempts: true,
                peer_messages: true,
                max_retry_after: Some(Duration::from_secs(10)),
            },
            cross_zone_cost: 0.0,
            discovery: EndpointDiscovery::Pushed,
            event_period: Duration::from_millis(2),
            peer_messages_per_second: 60.0,
            max_request_units: Units::new(1.0),
        })
    }

    pub(crate) fn rate(mut self, plan: PlanId, rate: f64) -> Self {
        self.0.plans[plan.0].rate = rate;
        self
    }

    pub(crate) fn burst(mut self, plan: PlanId, burst: f64) -> Self {
        self.0.plans[plan.0].burst = Units::new(burst);
        self
    }

    pub(crate) fn over_quota_cost(mut self, plan: PlanId, cost: f64) -> Self {
        self.0.plans[plan.0].over_quota_cost = cost;
        self
    }

    pub(crate) fn hard_limit(mut self, plan: PlanId, limit: HardLimit) -> Self {
        self.0.plans[plan.0].hard_limit = Some(limit);
        self
    }

    pub(crate) fn zone(mut self, zone: ZoneId, cross_zone_cost: f64) -> Self {
        self.0.zone = zone;
        self.0.cross_zone_cost = cross_zone_cost;
        self
    }

    pub(crate) fn peer_messages_per_second(mut self, rate: f64) -> Self {
        self.0.peer_messages_per_second = rate;
        self
    }

    /// Sets the latency objective of all classes.
    pub(crate) fn latency_objective(mut self, objective: Duration) -> Self {
        for class in &mut self.0.classes {
            class.latency_objective = objective;
        }
        self
    }

    /// Sets the weight of late answers of all classes.
    pub(crate) fn late_weight(mut self, late_weight: f64) -> Self {
        for class in &mut self.0.classes {
            class.late_weight = late_weight;
        }
        self
    }

    pub(crate) fn max_retry_after(mut self, max_retry_after: Option<Duration>) -> Self {
        self.0.permissions.max_retry_after = max_retry_after;
        self
    }

    pub(crate) fn build(self) -> Settings {
        self.0
    }
}

fn classes() -> Vec<Class> {
    let class = |priority_weight, idempotency| Class {
        latency_objective: Duration::from_millis(800),
        late_weight: 0.2,
        client_deadline: Duration::from_secs(4),
        priority_weight,
        idempotency,
    };
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: Duration::from_millis(500),
    };
    vec![
        class(1.0, Idempotency::Idempotent),
        class(2.0, keyed(DeduplicationScope::Cell)),
        class(9.0, Idempotency::NonIdempotent),
        class(3.0, keyed(DeduplicationScope::AllServers)),
    ]
}

fn plans() -> Vec<Plan> {
    let plan = Plan {
        rate: 1.0,
        burst: Units::new(4.0),
        max_concurrent: None,
        weight: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    };
    let hard_limit = Some(HardLimit {
        rate: 8.0,
        capacity: Units::new(12.0),
    });
    vec![
        plan.clone(),
        Plan {
            rate: 0.0,
            ..plan.clone()
        },
        Plan {
            rate: 1000.0,
            burst: Units::new(1000.0),
            hard_limit,
            ..plan.clone()
        },
        Plan {
            rate: 1000.0,
            burst: Units::new(1000.0),
            max_concurrent: Some(2),
            ..plan
        },
    ]
}
