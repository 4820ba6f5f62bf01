//! What was asked, sent on and answered, and whether the rules held. No input, no output, no clock.

use edge_node::{CustomerId, GatewayId, Micros, ServerId};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;

/// A final answer is lost if it comes later than this after the client's time is up, in µs: half a second, and the
/// 50 ms by which every limit is longer on sockets.
pub const LOST_AFTER: Micros = 550_000;
/// Every limit is longer by this on sockets, in µs.
pub const SLACK: Micros = 50_000;

/// A customer's quota over all nodes together, and by how much these may pass it while they know too little.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Units beyond, at any time.
    pub doubt: f64,
    /// Units beyond, for each second since the first request.
    pub doubt_per_s: f64,
}

/// A client's try.
#[derive(Clone, Debug)]
pub struct Try {
    /// The node that it came to.
    pub node: GatewayId,
    /// Whose it is.
    pub customer: CustomerId,
    /// What it draws from the quota.
    pub units: f64,
    /// Whether it must never run twice.
    pub unsafe_to_repeat: bool,
    /// How long the client waits, in µs.
    pub patience: Micros,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served with what a loan server made for this request.
    Served,
    /// Served with something else.
    Forged,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

#[derive(Debug)]
struct Entry {
    asked: Try,
    at: Micros,
    arrived: bool,
    ran: u32,
    answers: u32,
    late: bool,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    filled: Micros,
    /// Where it came nearest to what the doubt allows: units beyond the quota, and those allowed then.
    nearest: Option<(f64, f64)>,
}

/// One rule: how often it was looked at, and how often broken.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Rule {
    /// Its name.
    pub rule: &'static str,
    /// On how many cases it was tried.
    pub looked_at: u64,
    /// In how many it did not hold.
    pub broken: u64,
    /// What else was seen.
    pub seen: String,
}

/// Everything that happened to the requests of one run.
#[derive(Debug)]
pub struct Ledger {
    begun: Micros,
    drain_grace: Micros,
    quotas: HashMap<CustomerId, Bucket>,
    tries: HashMap<Arc<str>, Entry>,
    /// Since when a node knows that a server takes nothing new.
    told: HashMap<(GatewayId, ServerId), Micros>,
    leaving_told: u64,
    leaving_seen: u64,
    after_grace: u64,
    foreign: u64,
    forged: u64,
}

impl Ledger {
    /// An empty one; times are in µs.
    pub fn new(
        begun: Micros, drain_grace: Micros, quotas: impl IntoIterator<Item = (CustomerId, Quota)>,
    ) -> Self {
        let bucket = |quota: Quota| Bucket { quota, level: quota.burst, filled: begun, nearest: None };
        Ledger {
            begun,
            drain_grace,
            quotas: quotas.into_iter().map(|(of, quota)| (of, bucket(quota))).collect(),
            tries: HashMap::new(),
            told: HashMap::new(),
            leaving_told: 0,
            leaving_seen: 0,
            after_grace: 0,
            foreign: 0,
            forged: 0,
        }
    }

    /// The first clients come now: quotas are counted from here on.
    pub fn begin(&mut self, now: Micros) {
        self.begun = now;
    }

    /// A client has sent a try. Ids are never used twice.
    pub fn asked(&mut self, now: Micros, id: Arc<str>, asked: Try) {
        let entry = Entry { asked, at: now, arrived: false, ran: 0, answers: 0, late: false };
        self.tries.insert(id, entry);
    }

    /// An attempt has come whole to a server. Returns the units of its try; `None` where no client sent it.
    pub fn arrived(&mut self, now: Micros, id: &str, server: ServerId) -> Option<f64> {
        let Some(entry) = self.tries.get_mut(id) else {
            self.foreign += 1;
            return None;
        };
        if let Some(told) = self.told.get(&(entry.asked.node, server)) {
            self.leaving_seen += 1;
            self.after_grace += u64::from(now > told + self.drain_grace + SLACK);
        }
        if !std::mem::replace(&mut entry.arrived, true) {
            let (begun, units) = (self.begun, entry.asked.units);
            self.quotas.entry(entry.asked.customer).and_modify(|bucket| bucket.take(begun, now, units));
        }
        Some(entry.asked.units)
    }

    /// A server has begun on a try.
    pub fn ran(&mut self, id: &str) {
        self.tries.get_mut(id).into_iter().for_each(|entry| entry.ran += 1);
    }

    /// A client has got an answer.
    pub fn answered(&mut self, now: Micros, id: &str, answer: Answer) {
        let Some(entry) = self.tries.get_mut(id) else {
            self.foreign += 1;
            return;
        };
        entry.answers += 1;
        entry.late |= now > entry.at + entry.asked.patience + LOST_AFTER;
        self.forged += u64::from(answer == Answer::Forged);
    }

    /// Discovery has told a node that a server is ready, or that it takes nothing new.
    pub fn told(&mut self, now: Micros, node: GatewayId, server: ServerId, ready: bool) {
        if ready {
            self.told.remove(&(node, server));
        } else {
            let told = &mut self.leaving_told;
            self.told.entry((node, server)).or_insert_with(|| {
                *told += 1;
                now
            });
        }
    }

    /// What became of the rules, once all is over.
    pub fn rules(&self) -> Vec<Rule> {
        let count =
            |wrong: &dyn Fn(&Entry) -> bool| self.tries.values().filter(|entry| wrong(entry)).count() as u64;
        let all = self.tries.len() as u64;
        let (none, late) = (count(&|entry| entry.answers == 0), count(&|entry| entry.late));
        let many = count(&|entry| entry.answers > 1);
        let seen: Vec<_> = self.quotas.values().filter_map(|bucket| bucket.nearest).collect();
        let over = |(beyond, allowed): &(f64, f64)| beyond - allowed;
        let nearest = seen.iter().copied().max_by(|one, other| over(one).total_cmp(&over(other)));
        let (beyond, allowed) = nearest.unwrap_or_default();
        vec![
            Rule {
                rule: "quotas hold over all nodes together",
                looked_at: seen.len() as u64,
                broken: seen.iter().filter(|near| over(near) > 0.0).count() as u64,
                seen: format!("at the nearest {beyond:.1} units beyond one, {allowed:.1} allowed for doubt"),
            },
            Rule {
                rule: "one final answer each, in time",
                looked_at: all,
                broken: count(&|entry| entry.answers != 1 || entry.late),
                seen: format!("{none} without, {late} late, {many} with more than one"),
            },
            Rule {
                rule: "what is unsafe to repeat runs once",
                looked_at: count(&|entry| entry.asked.unsafe_to_repeat && entry.ran > 0),
                broken: count(&|entry| entry.asked.unsafe_to_repeat && entry.ran > 1),
                seen: format!(
                    "{} safe ones ran more than once",
                    count(&|entry| !entry.asked.unsafe_to_repeat && entry.ran > 1)
                ),
            },
            Rule {
                rule: "nothing new to a server that leaves",
                looked_at: self.leaving_told,
                broken: self.after_grace,
                seen: format!("{} attempts came within the grace", self.leaving_seen - self.after_grace),
            },
            Rule {
                rule: "only what clients sent goes on, only what servers made comes back",
                looked_at: all,
                broken: self.foreign + self.forged,
                seen: format!("{} foreign, {} forged", self.foreign, self.forged),
            },
        ]
    }
}

impl Bucket {
    fn take(&mut self, begun: Micros, now: Micros, units: f64) {
        let seconds = |since: Micros| now.saturating_sub(since) as f64 / 1e6;
        self.level = (self.level + self.quota.rate * seconds(self.filled)).min(self.quota.burst) - units;
        self.filled = now;
        let allowed = self.quota.doubt + self.quota.doubt_per_s * seconds(begun);
        let is_nearer = |(beyond, before): (f64, f64)| -self.level - allowed > beyond - before;
        if self.nearest.is_none_or(is_nearer) {
            self.nearest = Some((-self.level, allowed));
        }
    }
}
