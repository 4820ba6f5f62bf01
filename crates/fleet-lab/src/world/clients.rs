//! Clients: the arrival times, sizes, classes and deadlines of their requests, and when clients
//! disconnect or retry after an error.

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

/// Fraction of the requests that are of the first class; the rest is divided equally among the
/// other classes.
const FIRST_CLASS_FRACTION: f64 = 0.64;
/// Fraction of requests whose client disconnects at a random time in the first half of the maximum
/// deadline, if it has no answer by then.
const DISCONNECT_FRACTION: f64 = 0.02;
/// Fraction of requests whose actual size is drawn independently of the estimate.
const MISESTIMATED_FRACTION: f64 = 0.2;
/// Time from an error to the client's retry, if the error does not advise a time.
const RETRY_PAUSE: Range<Duration> = Duration::from_millis(10)..Duration::from_millis(200);
/// Number of equal parts into which the demand of a flood is divided. Each part is added to the
/// demand of a customer that is drawn at random, so that one customer may have both parts.
const FLOOD_PARTS: usize = 2;

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
    /// Mean demand within the quotas, in requests per second of all customers together.
    pub rate: f64,
    /// Maximum time for which a client waits for an answer, including the time of a retry.
    pub max_deadline: Duration,
    /// Spans in which the usual demand of every customer is multiplied by the value.
    pub surges: Vec<TemporaryValue>,
    /// Span in which one or two customers together add the value, as a fraction of `rate`, to the
    /// demand.
    pub flood: Option<TemporaryValue>,
}

impl Clients {
    /// Draws the customers: for each plan as many as its equal part of the demand requires.
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
            for _ in 0..FLOOD_PARTS {
                let index = rng.random_range(0..customers.len());
                customers[index].join_flood(demand.rate * flood.value / FLOOD_PARTS as f64);
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

    /// Draws the time at which a customer's next request arrives; `None` if the customer's rate
    /// is 0.
    pub fn next_arrival(&mut self, now: Timestamp, customer: usize) -> Option<Timestamp> {
        let active_surges = self.surges.iter().filter(|surge| surge.span.contains(now));
        let surge: f64 = active_surges.map(|surge| surge.value).product();
        let is_flooding = self.flood.is_some_and(|span| span.contains(now));
        let customer = &mut self.customers[customer];
        let rate = customer.request_rate(&mut self.rng, now, surge, is_flooding);
        time_to_next_event(&mut self.rng, rate).map(|span| now + span)
    }

    /// Draws a new request of the customer with this index: its class, its units, and whether and
    /// when its client disconnects.
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

    /// Draws the time for which a client waits for the answer to one request: between half and all
    /// of the time until the client's deadline.
    pub fn draw_timeout(&mut self, now: Timestamp, request: &ClientRequest) -> Duration {
        let remaining = request.deadline.duration_since(now);
        Duration::from_micros_f64(remaining.as_micros_f64() * self.rng.random_range(0.5..1.0))
    }

    /// Draws the gateway that receives a request, among the customer's gateways that are not
    /// excluded; `None` if all of them are excluded.
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

    /// Returns the retry that a client makes after an error; `None` if the client does not retry. A
    /// client retries at most once, before its deadline and before it disconnects. It waits for the
    /// time that the rejection advises, or otherwise for a random time. It repeats a request whose
    /// class is not idempotent only if the request cannot have run.
    pub fn retry(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        error: ClientError,
    ) -> Option<ClientRetry> {
        let may_be_repeated = self.idempotent[request.class.0] || error != ClientError::Failed;
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
        if !may_be_repeated || request.retries > 0 || at >= request.deadline || !is_connected {
            return None;
        }
        let request = ClientRequest {
            retries: request.retries + 1,
            ..request.clone()
        };
        Some(ClientRetry { at, request })
    }
}
