//! Clients: the arrival times, sizes, classes and deadlines of their requests, their retries after
//! an error, and clients that disconnect.

use super::client_request::{ClientError, ClientRequest, ClientRetry};
use super::customers::{draw_customers, Customer};
use super::datagrams::TemporaryValue;
use super::request_size::draw_units;
use super::{time_to_next_event, Rng, TimeSpan};
use crate::time::{draw_duration, MICROSECOND};
use gateway_core::DurationExt;
use gateway_core::{ClassId, GatewayId, Idempotency, PlanId, Settings, Timestamp};
use rand::Rng as _;
use std::ops::Range;
use std::time::Duration;

/// Fraction of the requests that are of the first class; the other classes have equal parts of the
/// rest.
const FIRST_CLASS_FRACTION: f64 = 0.64;
/// Fraction of requests whose client disconnects at a random time in the first half of the maximum
/// deadline, if it has no answer by then.
const DISCONNECT_FRACTION: f64 = 0.02;
/// Fraction of requests whose actual size is drawn independently of the estimate.
const MISESTIMATED_FRACTION: f64 = 0.2;
/// Pause of a client before its retry if the error advised none.
const RETRY_PAUSE: Range<Duration> = Duration::from_millis(10)..Duration::from_millis(200);
/// Number of customers that take part in a flood.
const FLOODING_CUSTOMERS: usize = 2;

/// The clients of all customers.
pub struct Clients {
    /// All customers; requests refer to them by index.
    pub customers: Vec<Customer>,
    /// Whether requests of a class are idempotent, by class.
    idempotent: Vec<bool>,
    max_request_units: f64,
    max_deadline: Duration,
    surges: Vec<TemporaryValue>,
    flood: Option<TimeSpan>,
    rng: Rng,
}

/// The demand of all clients together.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Mean requests per second within the quotas of all customers.
    pub rate: f64,
    /// Maximum time that a client waits for an answer, retries included.
    pub max_deadline: Duration,
    /// Spans in which all customers multiply their demand by the value.
    pub surges: Vec<TemporaryValue>,
    /// Span in which two customers together add this fraction of `rate` to the demand.
    pub flood: Option<TemporaryValue>,
}

impl Clients {
    /// Draws customers of each plan until they account for the plan's equal part of the demand.
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
                customers[index].join_flood(demand.rate * flood.value / FLOODING_CUSTOMERS as f64);
            }
        }
        let classes = settings.classes.iter();
        Clients {
            customers,
            idempotent: classes
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            max_request_units: settings.max_request_units.as_f64(),
            max_deadline: demand.max_deadline,
            surges: demand.surges.clone(),
            flood: demand.flood.map(|flood| flood.span),
            rng,
        }
    }

    /// Draws the time at which a customer's next request arrives; `None` if its rate is 0.
    pub fn next_arrival(&mut self, now: Timestamp, customer: usize) -> Option<Timestamp> {
        let active_surges = self.surges.iter().filter(|surge| surge.span.contains(now));
        let surge: f64 = active_surges.map(|surge| surge.value).product();
        let is_flooding = self.flood.is_some_and(|span| span.contains(now));
        let customer = &mut self.customers[customer];
        let rate = customer.request_rate(&mut self.rng, now, surge, is_flooding);
        time_to_next_event(&mut self.rng, rate).map(|span| now + span)
    }

    /// Draws a new request of a customer.
    pub fn new_request(&mut self, now: Timestamp, customer: usize) -> ClientRequest {
        let class = self.draw_class();
        let estimated_units = draw_units(&mut self.rng, self.max_request_units);
        let is_misestimated = self.rng.random::<f64>() < MISESTIMATED_FRACTION;
        let actual_units = if is_misestimated {
            draw_units(&mut self.rng, self.max_request_units)
        } else {
            estimated_units
        };
        let disconnect_range = Duration::ZERO..self.max_deadline / 2 + MICROSECOND;
        let disconnects = self.rng.random::<f64>() < DISCONNECT_FRACTION;
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
        let other_class_fraction = (1.0 - FIRST_CLASS_FRACTION) / last.max(1) as f64;
        let chance = self.rng.random::<f64>();
        if chance < FIRST_CLASS_FRACTION {
            return ClassId(0);
        }
        let class = 1 + ((chance - FIRST_CLASS_FRACTION) / other_class_fraction) as usize;
        ClassId(class.min(last))
    }

    /// Draws how long a client waits for the answer to one request: half to all of the time until
    /// its deadline.
    pub fn draw_timeout(&mut self, now: Timestamp, request: &ClientRequest) -> Duration {
        let remaining = request.deadline.duration_since(now);
        Duration::from_micros_f64(remaining.as_micros_f64() * self.rng.random_range(0.5..1.0))
    }

    /// Draws the gateway that receives a request, among those of its customer that are not
    /// excluded.
    pub fn pick_gateway(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        gateways: u32,
        is_excluded: impl Fn(GatewayId) -> bool,
    ) -> Option<GatewayId> {
        let customer = &mut self.customers[request.customer];
        customer.pick_gateway(&mut self.rng, now, gateways, is_excluded)
    }

    /// Returns the retry that a client makes after an error, if any. A client retries at most once,
    /// after the advised time if the rejection has one. A request that is not idempotent is only
    /// sent again if it cannot have run.
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
