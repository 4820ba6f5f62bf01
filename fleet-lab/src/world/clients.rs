//! Clients: customers with plans and sets of gateways, which use these unevenly and shift; heavy ones beyond their
//! quotas; deadlines, retries by advice, and clients who leave.

use super::{micros, until_next, Rng, Span};
use edge_node::{ClassId, CustomerId, GatewayId, Idempotency, Micros, PlanId, Settings};
use rand::Rng as _;

/// Share of the requests of the first class; the others have even parts of the rest.
const FIRST_CLASS: f64 = 0.64;
/// Share of clients that leave before their answer, if it takes long enough.
const LEAVING: f64 = 0.02;
/// Share of requests whose true size is not the guess.
const MISJUDGED: f64 = 0.2;

/// How a customer uses its quota.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// Always this share.
    Steady(f64),
    /// Long spells of up to four times the quota.
    Heavy(f64),
    /// Short bursts of several times the quota, now and then.
    Bursty(f64),
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its id.
    pub id: CustomerId,
    /// Its plan.
    pub plan: PlanId,
    /// The first of its gateways.
    pub first: GatewayId,
    /// How many they are.
    pub spread: u32,
    /// Tries a second at its whole quota.
    whole: f64,
    habit: Habit,
    /// Whether it is in a spell or burst, and until when.
    spell: (bool, Micros),
    /// Which of its gateways is the busiest, and until when.
    turn: (u32, Micros),
    /// Tries a second on top, while it floods.
    flood: f64,
}

/// A client's try.
#[derive(Clone, Debug)]
pub struct Try {
    /// Whose, by its place among the customers.
    pub customer: usize,
    /// Its class.
    pub class: ClassId,
    /// The guess of its size, in units.
    pub units: f64,
    /// Its true size, told by its answer.
    pub true_units: f64,
    /// When its client's time is up, for all tries of it together, µs.
    pub deadline: Micros,
    /// When the client leaves, if it does.
    pub leaves: Option<Micros>,
    /// How many tries went before it.
    pub before: u32,
}

/// What a client hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Refused, with advice on when to come back, µs.
    Refused(Option<Micros>),
    /// Failed, or no answer.
    Failed,
    /// No gateway could be reached.
    Unreached,
}

/// All clients.
pub struct Clients {
    /// The customers.
    pub customers: Vec<Customer>,
    safe: Vec<bool>,
    max_request_units: f64,
    longest: Micros,
    surges: Vec<(Span, f64)>,
    floods: Option<Span>,
    rng: Rng,
}

/// What the clients ask for.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Requests a second inside the quotas.
    pub rate: f64,
    /// How long a client waits in all at the most, µs.
    pub longest: Micros,
    /// All customers ask for so many times more within these spans.
    pub surges: Vec<(Span, f64)>,
    /// Two customers add this share to all traffic within this span.
    pub floods: Option<(Span, f64)>,
}

impl Clients {
    /// Customers of each plan, as many as ask for an even part of the demand inside their quotas.
    pub fn new(mut rng: Rng, now: Micros, settings: &Settings, demand: &Demand) -> Clients {
        let mean_units = mean(settings.max_request_units);
        let mut customers = Vec::new();
        for (place, plan) in settings.plans.iter().enumerate() {
            let rate = if plan.rate > 0.0 { plan.rate / mean_units } else { 5.0 };
            let target = demand.rate / settings.plans.len() as f64;
            let (begin, mut inside) = (customers.len(), 0.0);
            while inside < target {
                let id = CustomerId(rng.random_range(1..1 << 33));
                let habit = match rng.random::<f64>() {
                    chance if chance < 0.17 => Habit::Steady(rng.random_range(0.85..1.0)),
                    chance if chance < 0.26 => Habit::Heavy(rng.random_range(1.5..4.0)),
                    chance if chance < 0.42 => Habit::Bursty(rng.random_range(2.0..7.6)),
                    _ => Habit::Steady(rng.random_range(0.1..0.6)),
                };
                let most = settings.gateway_count.min((settings.gateway_count / 20).clamp(4, 24));
                customers.push(Customer {
                    id,
                    plan: PlanId(place),
                    first: GatewayId(rng.random_range(0..settings.gateway_count)),
                    spread: rng.random_range(most.min(2)..=most),
                    whole: rate,
                    habit,
                    spell: (false, now),
                    turn: (0, now),
                    flood: 0.0,
                });
                inside += rate * habit.inside();
            }
            // The last one asked for brings the sum beyond the target; all ask for a little less.
            for customer in &mut customers[begin..] {
                customer.habit = customer.habit.scaled(target / inside);
            }
        }
        if let Some((_, share)) = demand.floods {
            for _ in 0..2 {
                let place = rng.random_range(0..customers.len());
                customers[place].flood += demand.rate * share / 2.0;
            }
        }
        let safe =
            settings.classes.iter().map(|class| class.idempotency == Idempotency::Idempotent).collect();
        let floods = demand.floods.map(|flood| flood.0);
        let (max_request_units, surges) = (settings.max_request_units, demand.surges.clone());
        Clients { customers, safe, max_request_units, longest: demand.longest, surges, floods, rng }
    }

    /// When a customer's next try comes, if one does.
    pub fn next(&mut self, now: Micros, customer: usize) -> Option<Micros> {
        let surge: f64 =
            self.surges.iter().filter(|(span, _)| span.holds(now)).map(|(_, times)| times).product();
        let flooding = self.floods.is_some_and(|span| span.holds(now));
        let of = &mut self.customers[customer];
        if now >= of.spell.1 {
            let (starts, span) = match (of.habit, of.spell.0) {
                (Habit::Steady(_), _) => (false, 20.0..30.0),
                (Habit::Heavy(_), was) => (!was, 5.0..15.0),
                (Habit::Bursty(_), true) => (false, 6.0..20.0),
                // The first burst comes at any time, not in the play's first moment.
                (Habit::Bursty(_), false) => (of.spell.1 > super::START, 1.1..4.6),
            };
            of.spell = (starts, now + micros(self.rng.random_range(span)));
        }
        let share = match (of.habit, of.spell.0) {
            (Habit::Steady(share) | Habit::Heavy(share) | Habit::Bursty(share), true) => share,
            (Habit::Steady(share), false) => share,
            (Habit::Heavy(_) | Habit::Bursty(_), false) => 0.4,
        };
        let rate = of.whole * share * surge + if flooding { of.flood } else { 0.0 };
        until_next(&mut self.rng, rate).map(|span| now + span)
    }

    /// A new try of a customer.
    pub fn fresh(&mut self, now: Micros, customer: usize) -> Try {
        let rest = (1.0 - FIRST_CLASS) / (self.safe.len() - 1).max(1) as f64;
        let chance = self.rng.random::<f64>();
        let class = if chance < FIRST_CLASS { 0 } else { 1 + ((chance - FIRST_CLASS) / rest) as usize };
        let class = ClassId(class.min(self.safe.len() - 1));
        let units = size(&mut self.rng, self.max_request_units);
        let misjudged = self.rng.random::<f64>() < MISJUDGED;
        let true_units = if misjudged { size(&mut self.rng, self.max_request_units) } else { units };
        let leaves = (self.rng.random::<f64>() < LEAVING)
            .then(|| now + self.rng.random_range(0..self.longest / 2 + 1));
        Try { customer, class, units, true_units, deadline: now + self.longest, leaves, before: 0 }
    }

    /// How long a client waits for one try, µs.
    pub fn patience(&mut self, now: Micros, of: &Try) -> Micros {
        let whole = of.deadline.saturating_sub(now);
        (whole as f64 * self.rng.random_range(0.5..1.0)) as Micros
    }

    /// The gateway that a try comes through, of those of its customer that are not left out.
    pub fn gateway(
        &mut self, now: Micros, of: &Try, gateways: u32, out: impl Fn(GatewayId) -> bool,
    ) -> Option<GatewayId> {
        let customer = &mut self.customers[of.customer];
        if now >= customer.turn.1 {
            let until = now + micros(self.rng.random_range(7.8..22.0));
            customer.turn = (self.rng.random_range(0..customer.spread), until);
        }
        let (first, spread, turn) = (customer.first.0, customer.spread, customer.turn.0);
        let place = |rank: u32| GatewayId((first + (turn + rank) % spread) % gateways);
        let open: Vec<u32> = (0..spread).filter(|rank| !out(place(*rank))).collect();
        let weight = |rank: u32| 1.0 / f64::from(rank + 1);
        let mut drawn = self.rng.random::<f64>() * open.iter().map(|rank| weight(*rank)).sum::<f64>();
        for rank in &open {
            drawn -= weight(*rank);
            if drawn <= 0.0 {
                return Some(place(*rank));
            }
        }
        open.last().map(|rank| place(*rank))
    }

    /// Whether and when a client tries again: once at the most, by the advice if there is any. What must not run
    /// twice is only tried again where that is harmless.
    pub fn again(&mut self, now: Micros, of: &Try, heard: Heard) -> Option<(Micros, Try)> {
        let harmless = self.safe[of.class.0] || heard != Heard::Failed;
        let pause = match heard {
            Heard::Refused(Some(advice)) => advice,
            _ => self.rng.random_range(10_000..200_000),
        };
        let at = now + pause;
        let in_time = at < of.deadline && of.leaves.is_none_or(|leaves| at < leaves);
        (harmless && of.before == 0 && in_time).then(|| (at, Try { before: of.before + 1, ..of.clone() }))
    }
}

impl Habit {
    /// Mean share of the quota that is asked for inside it.
    fn inside(self) -> f64 {
        match self {
            Habit::Steady(share) => share,
            Habit::Heavy(_) => 0.7,
            Habit::Bursty(_) => 0.5,
        }
    }

    fn scaled(self, times: f64) -> Habit {
        match self {
            Habit::Steady(share) => Habit::Steady(share * times),
            other => other,
        }
    }
}

/// Sizes are 1 unit up to the most, each with a chance in inverse to its square.
fn sizes(most: f64) -> impl Iterator<Item = (f64, f64)> {
    (1..=(most as u32).max(1)).map(|units| (f64::from(units), 1.0 / f64::from(units * units)))
}

fn size(rng: &mut Rng, most: f64) -> f64 {
    let mut drawn = rng.random::<f64>() * sizes(most).map(|(_, chance)| chance).sum::<f64>();
    let fits = sizes(most).find(|(_, chance)| {
        drawn -= chance;
        drawn <= 0.0
    });
    fits.map_or(1.0, |(units, _)| units)
}

fn mean(most: f64) -> f64 {
    let all: f64 = sizes(most).map(|(_, chance)| chance).sum();
    sizes(most).map(|(units, chance)| units * chance).sum::<f64>() / all
}
