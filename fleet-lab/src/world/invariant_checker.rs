//! The referee: the lab's own books on every request, server and customer. It knows nothing of the module's insides,
//! and sees the true state at once.

use super::clients::Try;
use super::servers::Pressure;
use super::{Bucket, RequestNo, START};
use edge_node::{
    AttemptNumber, AttemptOutcome, CustomerId, DeduplicationScope, Endpoint, GatewayId, Idempotency, Micros,
    PlanId, ServerId, Settings,
};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// µs after a try's time in which its final answer still counts.
pub const ANSWER_GRACE: Micros = 8_000;
/// Slack of a ceiling, as a share of its depth; one of the largest requests if that is more.
const CEILING_SLACK: f64 = 0.1;
/// Share of the calls to a server that falls which make it the gateways' fault.
const TOLD_SHARE: f64 = 2.0 / 3.0;
/// Breaks of one rule that are told in words.
const TOLD_BREAKS: usize = 3;

/// A rule that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request had no final answer in time.
    Lost,
    /// A request had a second final answer.
    AnsweredTwice,
    /// An attempt began after the request's end, or beyond the number allowed.
    SentAfterEnd,
    /// What may have run went out again, or was refused, against its class.
    Effects,
    /// The server that was sent to had been told to leave for longer than the grace, or was never listed.
    Drains,
    /// A cold server was pushed over.
    Cold,
    /// A customer's ceiling was passed.
    Ceilings,
}

/// How often a rule was broken, and the first times in words.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Breaks {
    /// How often.
    pub times: u64,
    /// The first of them.
    pub first: Vec<String>,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// By an answer.
    Served,
    /// By a refusal.
    Refused,
    /// By a failure.
    Failed,
}

/// What became of tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// That came to a gateway.
    pub came: u64,
    /// Served within the aim.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Of these, never sent on while at least half of the customer's quota lay unused.
    pub refused_with_room: u64,
    /// Failed.
    pub failed: u64,
    /// Whose client left first.
    pub left: u64,
    /// Whose gateway died first.
    pub died: u64,
    /// That no gateway took, as it was dead.
    pub unreached: u64,
}

impl Tally {
    /// Adds another's counts.
    pub fn add(&mut self, other: &Tally) {
        self.came += other.came;
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_with_room += other.refused_with_room;
        self.failed += other.failed;
        self.left += other.left;
        self.died += other.died;
        self.unreached += other.unreached;
    }
}

/// One second of a play.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// What became of tries, by when it did.
    pub tries: Tally,
    /// Units first sent on.
    pub sent_units: f64,
    /// Of these, beyond quotas.
    pub over_units: f64,
}

/// What was sent, of a request.
struct Attempt {
    server: Endpoint,
    sent: Micros,
    out: bool,
    /// Proved never to have run.
    proved: bool,
}

struct Docket {
    of: Try,
    arrived: Micros,
    open: bool,
    attempts: Vec<Attempt>,
    ran: u32,
}

/// What binds one customer.
struct Account {
    id: CustomerId,
    plan: PlanId,
    quota: Bucket,
    ceiling: Option<Bucket>,
    /// Attempts out.
    out: u32,
}

/// The referee.
pub struct Referee {
    settings: Settings,
    grace: Micros,
    dockets: Vec<Docket>,
    accounts: Vec<Account>,
    /// By class, then by plan.
    pub tallies: Vec<Vec<Tally>>,
    /// What was broken.
    pub broken: BTreeMap<Rule, Breaks>,
    /// By second of the play.
    pub seconds: Vec<Second>,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts to servers in another zone.
    pub crossed: u64,
    /// From arrival to first attempt, µs.
    pub waits: Histogram<u64>,
}

impl Referee {
    /// One whose books are empty; customers are accounted for in the order in which they are given.
    ///
    /// # Errors
    /// If the histogram of waits cannot be had.
    pub fn new(
        settings: Settings, grace: Micros, customers: impl Iterator<Item = (CustomerId, PlanId)>,
    ) -> anyhow::Result<Referee> {
        let account = |(id, plan): (CustomerId, PlanId)| {
            let figures = &settings.plans[plan.0];
            let quota = Bucket::full(START, figures.rate, figures.burst);
            let ceiling =
                figures.hard_limit.map(|ceiling| Bucket::full(START, ceiling.rate, ceiling.capacity));
            Account { id, plan, quota, ceiling, out: 0 }
        };
        let accounts = customers.map(account).collect();
        let tallies = vec![vec![Tally::default(); settings.plans.len()]; settings.classes.len()];
        let waits = Histogram::new_with_bounds(1, 3_600_000_000, 3)?;
        Ok(Referee {
            settings,
            grace,
            dockets: Vec::new(),
            accounts,
            tallies,
            broken: BTreeMap::new(),
            seconds: Vec::new(),
            attempts: 0,
            crossed: 0,
            waits,
        })
    }

    /// Notes that a rule was broken.
    pub fn broke(&mut self, now: Micros, rule: Rule, what: String) {
        let breaks = self.broken.entry(rule).or_default();
        breaks.times += 1;
        if breaks.first.len() < TOLD_BREAKS {
            breaks.first.push(format!("{:.3} s: {what}", now.saturating_sub(START) as f64 / 1e6));
        }
    }

    fn second(&mut self, now: Micros) -> &mut Second {
        let place = (now.saturating_sub(START) / 1_000_000) as usize;
        if self.seconds.len() <= place {
            self.seconds.resize(place + 1, Second::default());
        }
        &mut self.seconds[place]
    }

    fn tally(&mut self, now: Micros, of: &Try, count: impl Fn(&mut Tally)) {
        let plan = self.accounts[of.customer].plan;
        count(&mut self.tallies[of.class.0][plan.0]);
        count(&mut self.second(now).tries);
    }

    /// No gateway took a try.
    pub fn unreached(&mut self, now: Micros, of: &Try) {
        self.tally(now, of, |tally| tally.unreached += 1);
    }

    /// A try came to a gateway.
    pub fn came(&mut self, now: Micros, of: Try) -> RequestNo {
        self.tally(now, &of, |tally| tally.came += 1);
        self.dockets.push(Docket { of, arrived: now, open: true, attempts: Vec::new(), ran: 0 });
        RequestNo(self.dockets.len() as u64 - 1)
    }

    /// A gateway sends an attempt on; `leaving` is since when it has been told that the server leaves. Whether
    /// the request was open, so that it may be carried out.
    pub fn sent(
        &mut self, now: Micros, node: GatewayId, no: RequestNo, server: Endpoint, leaving: Option<Micros>,
    ) -> bool {
        let Some(docket) = self.dockets.get(no.0 as usize) else {
            self.broke(now, Rule::SentAfterEnd, format!("gateway {} sent what no client asked", node.0));
            return false;
        };
        if !docket.open || docket.attempts.len() >= self.settings.permissions.max_attempts as usize {
            let what = if docket.open { "too often" } else { "after its end" };
            self.broke(now, Rule::SentAfterEnd, format!("gateway {} sent request {} {what}", node.0, no.0));
            return false;
        }
        if !permits(&self.settings, docket, now, Some(&server)) {
            let what = format!("gateway {} sent request {} again, which may run twice", node.0, no.0);
            self.broke(now, Rule::Effects, what);
        }
        if leaving.is_some_and(|told| now > told + self.grace) {
            let late = (now - leaving.unwrap_or(now)) / 1000;
            let what =
                format!("gateway {} sent to server {} {late} ms after it left", node.0, server.server.0);
            self.broke(now, Rule::Drains, what);
        }
        let docket = &mut self.dockets[no.0 as usize];
        let first = docket.attempts.is_empty();
        docket.attempts.push(Attempt { server, sent: now, out: true, proved: false });
        self.attempts += 1;
        if first {
            let (of, waited) = (docket.of.clone(), now - docket.arrived);
            // Waits are bounded by the deadlines, far below what the histogram holds.
            self.waits.saturating_record(waited.max(1));
            self.takes_units(now, &of);
        }
        self.accounts[self.dockets[no.0 as usize].of.customer].out += 1;
        true
    }

    /// A try's first attempt draws on its customer's quota and ceiling.
    fn takes_units(&mut self, now: Micros, of: &Try) {
        let most = self.settings.max_request_units;
        let account = &mut self.accounts[of.customer];
        let plan = &self.settings.plans[account.plan.0];
        let full = plan.max_concurrent.is_some_and(|most| account.out >= most);
        let inside = !full && (plan.rate <= 0.0 || account.quota.try_take(now, of.units));
        let left = account.ceiling.as_mut().map(|ceiling| ceiling.take(now, of.units));
        let slack = plan.hard_limit.map_or(0.0, |ceiling| (ceiling.capacity * CEILING_SLACK).max(most));
        let id = account.id;
        let second = self.second(now);
        second.sent_units += of.units;
        second.over_units += if inside { 0.0 } else { of.units };
        if let Some(left) = left.filter(|left| *left < -slack) {
            let what = format!("customer {} is {:.1} units beyond its ceiling", id.0, -left);
            self.broke(now, Rule::Ceilings, what);
        }
    }

    /// An attempt begins to run at a server.
    pub fn ran(&mut self, now: Micros, no: RequestNo) {
        let docket = &mut self.dockets[no.0 as usize];
        docket.ran += 1;
        let harmful = self.settings.classes[docket.of.class.0].idempotency == Idempotency::NonIdempotent;
        if harmful && docket.ran > 1 {
            self.broke(now, Rule::Effects, format!("request {} ran twice", no.0));
        }
    }

    /// An attempt ended, as its gateway is about to be told.
    pub fn ended(&mut self, no: RequestNo, number: AttemptNumber, outcome: AttemptOutcome) {
        let docket = &mut self.dockets[no.0 as usize];
        let Some(attempt) = docket.attempts.get_mut(number.0 as usize) else { return };
        attempt.proved = matches!(
            outcome,
            AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        if std::mem::replace(&mut attempt.out, false) {
            let account = &mut self.accounts[docket.of.customer];
            account.out = account.out.saturating_sub(1);
        }
    }

    /// A final answer; whether it was the first.
    pub fn answered(&mut self, now: Micros, no: RequestNo, verdict: Verdict) -> bool {
        let Some(docket) = self.dockets.get_mut(no.0 as usize) else {
            self.broke(now, Rule::AnsweredTwice, "an answer to what no client asked".to_owned());
            return false;
        };
        if !std::mem::replace(&mut docket.open, false) {
            self.broke(now, Rule::AnsweredTwice, format!("request {} was answered after its end", no.0));
            return false;
        }
        let docket = &self.dockets[no.0 as usize];
        let (of, class) = (docket.of.clone(), &self.settings.classes[docket.of.class.0]);
        let in_aim = now <= docket.arrived + class.latency_objective;
        let harmless = permits(&self.settings, docket, now, None);
        let unsent = docket.attempts.is_empty();
        let account = &mut self.accounts[of.customer];
        match verdict {
            Verdict::Served => {
                // What it truly counted comes to light with its answer.
                account.quota.take(now, of.true_units - of.units);
                self.tally(now, &of, |tally| if in_aim { tally.served += 1 } else { tally.late += 1 });
            }
            Verdict::Refused => {
                let limited = self.settings.plans[account.plan.0].rate > 0.0;
                let room = account.quota.share(now) >= 0.5 && account.quota.level(now) >= of.units;
                let wasted = u64::from(unsent && limited && room);
                self.tally(now, &of, |tally| {
                    tally.refused += 1;
                    tally.refused_with_room += wasted;
                });
                if !harmless {
                    self.broke(now, Rule::Effects, format!("request {} refused, which may have run", no.0));
                }
            }
            Verdict::Failed => self.tally(now, &of, |tally| tally.failed += 1),
        }
        true
    }

    /// The client left; whether the request was still open.
    pub fn left(&mut self, now: Micros, no: RequestNo) -> bool {
        let open = self.close(no);
        open.iter().for_each(|of| self.tally(now, of, |tally| tally.left += 1));
        open.is_some()
    }

    /// The gateway died.
    pub fn died(&mut self, now: Micros, no: RequestNo) {
        let open = self.close(no);
        open.iter().for_each(|of| self.tally(now, of, |tally| tally.died += 1));
    }

    /// The time for a final answer is over; whether there was none.
    pub fn overdue(&mut self, now: Micros, no: RequestNo) -> bool {
        let Some(of) = self.close(no) else { return false };
        self.tally(now, &of, |tally| tally.failed += 1);
        self.broke(now, Rule::Lost, format!("request {} had no answer in time", no.0));
        true
    }

    fn close(&mut self, no: RequestNo) -> Option<Try> {
        let docket = &mut self.dockets[no.0 as usize];
        std::mem::replace(&mut docket.open, false).then(|| docket.of.clone())
    }

    /// A cold server was pushed over.
    pub fn fell(&mut self, now: Micros, server: ServerId, by: Pressure) {
        if by.told > TOLD_SHARE {
            let (calls, age) = (by.calls, by.age as f64 / 1e6);
            let what = format!("server {} got {calls:.1} calls of {:.1} at {age:.2} s", server.0, by.budget);
            self.broke(now, Rule::Cold, what);
        }
    }
}

/// Whether a request may be sent to a server, or refused where none is given, after what was sent before.
fn permits(settings: &Settings, docket: &Docket, now: Micros, to: Option<&Endpoint>) -> bool {
    let effect = settings.classes[docket.of.class.0].idempotency;
    let Some(ran) = docket.attempts.iter().find(|attempt| !attempt.proved) else { return true };
    match (effect, to) {
        (Idempotency::Idempotent, _) => true,
        (Idempotency::NonIdempotent, _) => false,
        (Idempotency::Keyed { scope: group, .. }, None) => group == DeduplicationScope::AllServers,
        (Idempotency::Keyed { scope: group, window }, Some(to)) => {
            let inside = match group {
                DeduplicationScope::AllServers => true,
                DeduplicationScope::Zone => to.zone == ran.server.zone,
                DeduplicationScope::Cell => to.cell == ran.server.cell,
            };
            inside && now <= ran.sent + window
        }
    }
}
