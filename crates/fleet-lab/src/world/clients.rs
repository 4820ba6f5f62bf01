//! Clients: customers with plans and sets of gateways, which they use unevenly and by turns; customers that exceed
//! their quotas; deadlines, retries that follow the advice of a rejection, and clients that disconnect.

use super::datagrams::Temporary;
use super::demand_pattern::{DemandPattern, Phase};
use super::request_size::{draw_units, mean_units};
use super::{time_to_next_event, Rng, TimeSpan};
use crate::time::{draw_duration, DurationExt};
use gateway_core::{ClassId, CustomerId, GatewayId, Idempotency, PlanId, Settings, Timestamp};
use rand::Rng as _;
use std::ops::Range;
use std::time::Duration;

/// Share of the requests that are of the first class; the other classes have equal parts of the rest.
const FIRST_CLASS_SHARE: f64 = 0.64;
/// Share of clients that disconnect before their answer, if it takes long enough.
const DISCONNECT_SHARE: f64 = 0.02;
/// Share of requests whose actual size is not the estimate.
const MISESTIMATED_SHARE: f64 = 0.2;
/// Requests a second of a customer whose plan has no quota.
const UNLIMITED_RATE: f64 = 5.0;
/// Pause of a client before its retry, if it was not advised another one.
const RETRY_PAUSE: Range<Duration> = Duration::from_millis(10)..Duration::from_millis(200);
/// The unit of all times.
const MICROSECOND: Duration = Duration::from_micros(1);
/// Customers that take part in a flood.
const FLOODING_CUSTOMERS: usize = 2;

/// Which of its gateways a customer uses most, counted from the first, and until when.
#[derive(Clone, Copy, Debug)]
struct PreferredGateway {
    offset: u32,
    until: Timestamp,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its id.
    pub id: CustomerId,
    /// Its plan.
    pub plan: PlanId,
    /// The first of its gateways.
    pub first_gateway: GatewayId,
    /// How many gateways it uses.
    pub gateway_count: u32,
    /// Requests a second that use its whole quota.
    quota_rate: f64,
    pattern: DemandPattern,
    phase: Phase,
    preferred: PreferredGateway,
    /// Additional requests a second during a flood.
    flood_rate: f64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Whose it is, by index among the customers.
    pub customer: usize,
    /// Its class.
    pub class: ClassId,
    /// Its size as estimated beforehand, in units.
    pub estimated_units: f64,
    /// Its size as its answer tells it, in units.
    pub actual_units: f64,
    /// When the client gives up, retries included.
    pub deadline: Timestamp,
    /// When the client disconnects, if it does.
    pub disconnect_at: Option<Timestamp>,
    /// How many times the client has already tried.
    pub retries: u32,
}

/// Why a client did not get what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The request was rejected.
    Rejected {
        /// After what time to try again.
        retry_after: Option<Duration>,
    },
    /// The request failed, or there was no answer.
    Failed,
    /// No gateway could be reached.
    Unreachable,
}

/// A client's retry.
#[derive(Clone, Debug)]
pub struct ClientRetry {
    /// When.
    pub at: Timestamp,
    /// The request as it is sent then.
    pub request: ClientRequest,
}

/// All clients.
pub struct Clients {
    /// The customers.
    pub customers: Vec<Customer>,
    /// By class: whether repeating a request is harmless.
    idempotent: Vec<bool>,
    max_request_units: f64,
    max_deadline: Duration,
    surges: Vec<Temporary>,
    flood: Option<TimeSpan>,
    rng: Rng,
}

/// What the clients ask for.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Requests a second within the quotas.
    pub rate: f64,
    /// How long a client waits in all at most.
    pub max_deadline: Duration,
    /// Spans in which all customers ask for a multiple.
    pub surges: Vec<Temporary>,
    /// A span in which two customers add a share to all traffic.
    pub flood: Option<Temporary>,
}

impl Clients {
    /// Customers of each plan, as many as ask for an equal part of the demand within their quotas.
    pub fn new(mut rng: Rng, now: Timestamp, settings: &Settings, demand: &Demand) -> Clients {
        let mut customers = Vec::new();
        for plan in 0..settings.plans.len() {
            customers.extend(draw_customers(
                &mut rng,
                now,
                settings,
                PlanId(plan),
                demand.rate,
            ));
        }
        if let Some(flood) = demand.flood {
            for _ in 0..FLOODING_CUSTOMERS {
                let index = rng.random_range(0..customers.len());
                customers[index].flood_rate +=
                    demand.rate * flood.value / FLOODING_CUSTOMERS as f64;
            }
        }
        let classes = settings.classes.iter();
        Clients {
            customers,
            idempotent: classes
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            max_request_units: settings.max_request_units,
            max_deadline: demand.max_deadline,
            surges: demand.surges.clone(),
            flood: demand.flood.map(|flood| flood.span),
            rng,
        }
    }

    /// When a customer's next request arrives, if one does.
    pub fn next_arrival(&mut self, now: Timestamp, customer: usize) -> Option<Timestamp> {
        let active_surges = self.surges.iter().filter(|surge| surge.span.contains(now));
        let surge: f64 = active_surges.map(|surge| surge.value).product();
        let is_flooding = self.flood.is_some_and(|span| span.contains(now));
        let customer = &mut self.customers[customer];
        if now >= customer.phase.until {
            customer.phase = customer
                .pattern
                .next_phase(&mut self.rng, now, customer.phase);
        }
        let share = customer.pattern.share(customer.phase.is_peak);
        let flood_rate = if is_flooding {
            customer.flood_rate
        } else {
            0.0
        };
        let rate = customer.quota_rate * share * surge + flood_rate;
        time_to_next_event(&mut self.rng, rate).map(|span| now + span)
    }

    /// Draws a new request of a customer.
    pub fn new_request(&mut self, now: Timestamp, customer: usize) -> ClientRequest {
        let class = self.draw_class();
        let estimated_units = draw_units(&mut self.rng, self.max_request_units);
        let is_misestimated = self.rng.random::<f64>() < MISESTIMATED_SHARE;
        let actual_units = if is_misestimated {
            draw_units(&mut self.rng, self.max_request_units)
        } else {
            estimated_units
        };
        let disconnect_range = Duration::ZERO..self.max_deadline / 2 + MICROSECOND;
        let disconnects = self.rng.random::<f64>() < DISCONNECT_SHARE;
        let disconnect_at =
            disconnects.then(|| now + draw_duration(&mut self.rng, &disconnect_range));
        let deadline = now + self.max_deadline;
        ClientRequest {
            customer,
            class,
            estimated_units,
            actual_units,
            deadline,
            disconnect_at,
            retries: 0,
        }
    }

    fn draw_class(&mut self) -> ClassId {
        let last = self.idempotent.len() - 1;
        let other_class_share = (1.0 - FIRST_CLASS_SHARE) / last.max(1) as f64;
        let chance = self.rng.random::<f64>();
        if chance < FIRST_CLASS_SHARE {
            return ClassId(0);
        }
        let class = 1 + ((chance - FIRST_CLASS_SHARE) / other_class_share) as usize;
        ClassId(class.min(last))
    }

    /// Draws how long a client waits for one answer.
    pub fn draw_timeout(&mut self, now: Timestamp, request: &ClientRequest) -> Duration {
        let remaining = request.deadline.duration_since(now);
        Duration::from_micros_f64(remaining.as_micros_f64() * self.rng.random_range(0.5..1.0))
    }

    /// Draws the gateway that a request goes to, among those of its customer that are not excluded.
    pub fn pick_gateway(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        gateways: u32,
        is_excluded: impl Fn(GatewayId) -> bool,
    ) -> Option<GatewayId> {
        let customer = &mut self.customers[request.customer];
        if now >= customer.preferred.until {
            let until = now + Duration::from_seconds(self.rng.random_range(7.8..22.0));
            let offset = self.rng.random_range(0..customer.gateway_count);
            customer.preferred = PreferredGateway { offset, until };
        }
        let gateway_of = |rank: u32| {
            let offset = (customer.preferred.offset + rank) % customer.gateway_count;
            GatewayId((customer.first_gateway.0 + offset) % gateways)
        };
        let ranks = 0..customer.gateway_count;
        let available: Vec<u32> = ranks
            .filter(|rank| !is_excluded(gateway_of(*rank)))
            .collect();
        let weight = |rank: &u32| 1.0 / f64::from(rank + 1);
        let mut drawn = self.rng.random::<f64>() * available.iter().map(weight).sum::<f64>();
        for rank in &available {
            drawn -= weight(rank);
            if drawn <= 0.0 {
                return Some(gateway_of(*rank));
            }
        }
        available.last().map(|rank| gateway_of(*rank))
    }

    /// A client's retry, if it makes one: once at most, after the advised time if there is any. A request that must
    /// not run twice is only sent again if it cannot have run.
    pub fn retry(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        error: ClientError,
    ) -> Option<ClientRetry> {
        let is_harmless = self.idempotent[request.class.0] || error != ClientError::Failed;
        let pause = match error {
            ClientError::Rejected {
                retry_after: Some(advice),
            } => advice,
            _ => draw_duration(&mut self.rng, &RETRY_PAUSE),
        };
        let at = now + pause;
        let is_connected = request
            .disconnect_at
            .is_none_or(|disconnect_at| at < disconnect_at);
        if !is_harmless || request.retries > 0 || at >= request.deadline || !is_connected {
            return None;
        }
        let request = ClientRequest {
            retries: request.retries + 1,
            ..request.clone()
        };
        Some(ClientRetry { at, request })
    }
}

/// Draws as many customers of one plan as ask for its equal part of `total_rate` requests a second.
fn draw_customers(
    rng: &mut Rng,
    now: Timestamp,
    settings: &Settings,
    plan: PlanId,
    total_rate: f64,
) -> Vec<Customer> {
    let target_rate = total_rate / settings.plans.len() as f64;
    let mut customers = Vec::new();
    let mut rate_within_quota = 0.0;
    while rate_within_quota < target_rate {
        let customer = draw_customer(rng, now, settings, plan);
        rate_within_quota += customer.quota_rate * customer.pattern.mean_share_within_quota();
        customers.push(customer);
    }
    // The last customer brings the sum above the target, so all ask for a little less.
    for customer in &mut customers {
        customer.pattern = customer.pattern.scaled(target_rate / rate_within_quota);
    }
    customers
}

fn draw_customer(rng: &mut Rng, now: Timestamp, settings: &Settings, plan: PlanId) -> Customer {
    let quota = settings.plans[plan.0].rate;
    let quota_rate = if quota > 0.0 {
        quota / mean_units(settings.max_request_units)
    } else {
        UNLIMITED_RATE
    };
    let max_gateways = settings
        .gateway_count
        .min((settings.gateway_count / 20).clamp(4, 24));
    // The order of these fields is the order in which their values are drawn.
    Customer {
        id: CustomerId(rng.random_range(1..1 << 33)),
        pattern: DemandPattern::draw(rng),
        first_gateway: GatewayId(rng.random_range(0..settings.gateway_count)),
        gateway_count: rng.random_range(max_gateways.min(2)..=max_gateways),
        plan,
        quota_rate,
        phase: Phase {
            is_peak: false,
            until: now,
        },
        preferred: PreferredGateway {
            offset: 0,
            until: now,
        },
        flood_rate: 0.0,
    }
}
