//! A customer's token bucket: what it holds, what fills it, what peers were heard to draw, what is on lease. Sums only;
//! who gets what is decided in `control`.

use crate::*;
use std::collections::{BTreeMap, VecDeque};

/// µs over which what peers were heard to draw ages out (the design's two seconds).
pub(crate) const HEARD_FOR: Micros = 2_000_000;
/// µs without a try for which a bucket is kept at the least.
const KEEP_FOR: Micros = 60_000_000;

/// What a peer has been heard to send on for a customer: its running count, and when how much came.
#[derive(Default)]
pub(crate) struct Heard {
    pub birth: u32,
    pub count: u16,
    /// When it was last heard.
    pub at: Micros,
    pub recent: VecDeque<(Micros, f64)>,
}

impl Heard {
    /// Takes in a running count; how much it rose. Messages may be late, twice or out of order; after `silence` one that
    /// is lower has begun anew, as its sender had dropped the customer.
    pub fn steps(&mut self, now: Micros, silence: Micros, birth: u32, count: u16) -> u16 {
        let anew = now.saturating_sub(std::mem::replace(&mut self.at, now)) > silence && count < self.count;
        let steps = match self.birth {
            known if known == birth && anew => count,
            known if known == birth => count.wrapping_sub(self.count),
            0 => 0, // first heard of: what was sent before is no news
            _ => count,
        };
        if steps > u16::MAX / 2 {
            return 0; // a count that went back is an old one
        }
        (self.birth, self.count) = (birth, count);
        steps
    }
}

/// A customer's store, or the part of it that a home keeps.
#[derive(Default)]
pub(crate) struct Store {
    pub plan: PlanId,
    pub first: GatewayId,
    pub spread: f64,
    pub depth: f64,
    pub level: f64,
    pub filled: Micros,
    /// Requests on end that named another plan or set.
    pub doubts: u32,
    /// When a try last drew on it.
    pub used: Micros,
    /// Units that tries drew of late: those of the longest term of a lease in the mean, also where a ceiling makes it
    /// shorter.
    pub recent: f64,
    /// Units that an owner has let go ahead of the tries that will use them.
    pub lease: Lease,
    /// As an owner: the lease that each gateway holds, by the ask it was granted under, and its units.
    pub leases: BTreeMap<GatewayId, (u16, f64)>,
    pub sent: f64,
    pub sent_at: Micros,
    pub open: u32,
    pub heard: BTreeMap<GatewayId, Heard>,
    pub hard_limit_tokens: f64,
    /// What part of the quota and of the ceiling is kept here.
    pub share: f64,
    pub hard_limit_share: f64,
    /// µs for which what is granted may be used: so much of the ceiling's fill is kept back.
    pub late: Micros,
    /// As a home: who holds a place of the limit on attempts at once, and until when.
    pub places: Vec<(GatewayId, u16, Micros)>,
    /// As a home: asks in about a second.
    pub asked: f64,
    /// The share of tries that may ask, and when that was told.
    pub chance: f64,
    pub chance_at: Micros,
}

impl Store {
    /// Units a second that the peers were heard to send on over a span.
    pub fn peers(&mut self, now: Micros, span: Micros) -> f64 {
        let mut units = 0.0;
        for heard in self.heard.values_mut() {
            while heard.recent.front().is_some_and(|(at, _)| at + span < now) {
                heard.recent.pop_front();
            }
            units += heard.recent.iter().map(|(_, units)| units).sum::<f64>();
        }
        units / (span as f64 / 1e6)
    }

    /// One more attempt of the customer is out here; a first one is told to peers.
    pub fn sent_on(&mut self, now: Micros, units: f64, first: bool) {
        self.open += 1;
        if first {
            (self.sent, self.sent_at, self.hard_limit_tokens) =
                (self.sent + units, now, self.hard_limit_tokens - units);
        }
    }

    /// Goes over to another plan or set; nothing is gained by that, and all that is out or told stays so.
    pub fn follow(&mut self, fresh: Store, ceiling: f64) {
        let (heard, level) = (std::mem::take(&mut self.heard), self.level.min(fresh.level));
        let (open, sent, sent_at) = (self.open, self.sent, self.sent_at);
        *self = Store { level, hard_limit_tokens: ceiling, open, sent, sent_at, heard, ..fresh };
    }

    /// Fills at the rate, less the share of gateways that are silent.
    pub fn fill(&mut self, now: Micros, plan: &Plan, silent: f64) {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now;
        self.level = (self.level + self.share * plan.rate * (1.0 - silent / self.spread) * span)
            .min((plan.burst * self.share).max(self.depth));
        self.fill_ceiling(plan, span);
    }

    /// Fills this part of the ceiling over a span, in seconds.
    pub fn fill_ceiling(&mut self, plan: &Plan, span: f64) {
        if let Some(ceiling) = plan.hard_limit {
            // Danger: a ceiling passed. A fixed share, empty at first, needs no word from anyone and holds
            // through lost messages and restarts; it hurts where nearly all comes in through one gateway.
            // A home keeps back what is filled while its grants and leases may be used: they are void after that, so
            // that what is used late adds up to no more than the whole depth.
            let most = self.most_under(&ceiling);
            self.hard_limit_tokens =
                (self.hard_limit_tokens + ceiling.rate * self.hard_limit_share * span).min(most);
        }
    }

    fn most_under(&self, ceiling: &HardLimit) -> f64 {
        (ceiling.capacity - ceiling.rate * self.late as f64 / 1e6) * self.hard_limit_share
    }

    /// Whether nothing would be gained or given by dropping it: it has stood unused, and is full.
    pub fn is_idle(&mut self, now: Micros, plan: &Plan, silent: impl Fn(&Store) -> f64) -> bool {
        if self.open > 0 || now.saturating_sub(self.used) < KEEP_FOR {
            return false;
        }
        self.fill(now, plan, silent(self));
        self.places.retain(|place| place.2 > now);
        let full =
            plan.hard_limit.as_ref().is_none_or(|ceiling| self.hard_limit_tokens >= self.most_under(ceiling));
        let refilled = plan.rate <= 0.0 || self.level >= (plan.burst * self.share).max(self.depth);
        full && refilled && self.places.is_empty() && self.peers(now, HEARD_FOR) <= 0.0
    }

    /// As an owner: lets units go on lease. They count as used until they come back.
    pub fn lend(&mut self, to: GatewayId, serial: u16, units: f64) {
        (self.level, self.hard_limit_tokens) = (self.level - units, self.hard_limit_tokens - units);
        if units > 0.0 {
            self.leases.insert(to, (serial, units));
        }
    }

    /// As an owner: takes back what is left of a gateway's lease. Danger: a ceiling passed by what comes back twice, of
    /// a lost answer or from before a restart. Only the lease that is known comes back, once, and no more of it than
    /// was lent; its gateway has dropped it.
    pub fn take_back(&mut self, from: GatewayId, (serial, units): (u16, f64)) {
        let known = self.leases.get(&from).filter(|lent| lent.0 == serial);
        if let Some((_, lent)) = known.copied() {
            self.leases.remove(&from);
            let units = units.min(lent);
            (self.level, self.hard_limit_tokens) = (self.level + units, self.hard_limit_tokens + units);
        }
    }

    /// Frees the place held under an ask.
    pub fn release(&mut self, holder: (GatewayId, u16)) {
        self.places.retain(|place| (place.0, place.1) != holder);
    }
}

/// Units that a gateway may use without asking, until they lapse.
#[derive(Default)]
pub(crate) struct Lease {
    pub units: f64,
    pub until: Micros,
    /// Which owner granted it, by its place, and under which ask.
    pub home: u32,
    pub serial: u16,
    /// When one was last asked for.
    pub asked: Micros,
}

impl Lease {
    /// Takes a try's units, if so many are left in time; until when they may be used.
    pub fn draw(&mut self, now: Micros, units: f64) -> Option<Micros> {
        let enough = self.units > 0.0 && self.units >= units && now <= self.until;
        self.units -= if enough { units } else { 0.0 };
        enough.then_some(self.until)
    }

    /// What is left, for the owner that granted it; it can't be used here any more.
    pub fn give_back(&mut self, home: u32) -> (u16, f64) {
        let left = std::mem::take(&mut self.units);
        if home == self.home {
            (self.serial, left)
        } else {
            (self.serial, 0.0)
        }
    }
}
