//! The scene of a run: who asks for what, the settings that all nodes are told, and the troubles of the servers.

use super::ledger::Quota;
use edge_node::{CustomerId, GatewayId, Micros, PlanId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// How long any client waits, in µs.
pub const DEADLINE: Micros = 2_000_000;
/// Within this an answer earns its full worth, in µs.
const AIM: Micros = 1_000_000;
/// How long a node may go on sending to a server that leaves, in µs.
pub const DRAIN_GRACE: Micros = 500_000;
/// Messages a second that a node takes in.
const INTAKE: f64 = 40.0;
/// Units of the largest request; all sizes up to it are as likely.
const MOST_UNITS: u32 = 4;
/// Seconds of its rate that a customer may use at once.
const BURST_S: f64 = 1.2;
/// What a calm and a heavy customer ask for, times its quota.
const DEMAND: [f64; 2] = [0.5, 3.0];
/// Share of requests that may be repeated.
const SAFE_SHARE: f64 = 0.64;
/// µs that a first send may take from its grant to its server: a connection has to come up.
const ON_ITS_WAY: Micros = 250_000;
/// As in the decision module: the share of a node's intake that counts of its peers may fill, seconds between counts
/// at the least, and from which on homes keep the quotas.
const INTAKE_SHARE: f64 = 0.7;
const COUNTS_EVERY_S: f64 = 0.2;
const WIDE_FROM_S: f64 = 0.5;
/// Loan servers.
pub const SERVERS: usize = 6;
/// Mean work of a request, in µs, and its spread to both sides as a share.
pub const WORK: (f64, f64) = (40_000.0, 0.5);
/// How busy the servers are by what is within quotas.
const BUSY: f64 = 0.5;

/// A plan: its name, its share of what is asked for, and through how many nodes its customers come.
struct Plan {
    name: &'static str,
    share: f64,
    spread: u32,
    weight: f64,
}

const PLANS: [Plan; 3] = [
    Plan { name: "basic", share: 0.28, spread: 2, weight: 0.7 },
    Plan { name: "standard", share: 0.38, spread: 3, weight: 1.1 },
    Plan { name: "premier", share: 0.34, spread: 4, weight: 1.8 },
];

/// Names of the classes: one that may be repeated, and one that may not.
pub const CLASSES: [&str; 2] = ["balance-read", "post-payment"];

/// A customer of the run.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// Who.
    pub id: CustomerId,
    /// Its plan.
    pub plan: PlanId,
    /// The first of its nodes.
    pub first: GatewayId,
    /// How many nodes it comes through.
    pub spread: u32,
    /// Units a second that it asks for.
    demand: f64,
}

/// A request that a client is about to send.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// Whose.
    pub customer: Customer,
    /// Place of its class in [`CLASSES`].
    pub class: usize,
    /// Its size.
    pub units: u32,
    /// The node that it comes to.
    pub node: GatewayId,
}

/// Who asks for what.
#[derive(Debug)]
pub struct Scene {
    /// Nodes that are there; their numbers are the first ones.
    pub nodes: u32,
    /// Nodes that the settings tell of.
    pub fleet: u32,
    /// Requests a second, over all nodes.
    pub rate: f64,
    /// Part of a quota that may be used beyond it.
    doubt: f64,
    customers: Vec<Customer>,
    /// Units a second of each plan.
    quotas: Vec<f64>,
    total: f64,
}

impl Scene {
    /// A scene for so many nodes, each of which gets `rate` requests a second in the mean. On each plan every node
    /// is the first one of a calm and of a heavy customer: real and hollow nodes get the same work.
    pub fn new(nodes: u32, fleet: u32, rate: f64, doubt: f64) -> Scene {
        let mean = f64::from(MOST_UNITS + 1) / 2.0;
        let quota = |plan: &Plan| rate * mean * plan.share / DEMAND.iter().sum::<f64>();
        let quotas: Vec<f64> = PLANS.iter().map(quota).collect();
        let mut customers = Vec::new();
        for (place, plan) in PLANS.iter().enumerate() {
            for demand in DEMAND {
                let one = |first| Customer {
                    id: CustomerId(0),
                    plan: PlanId(place),
                    first: GatewayId(first),
                    spread: plan.spread.min(nodes),
                    demand: demand * quotas[place],
                };
                customers.extend((0..nodes).map(one));
            }
        }
        // Well-mixed numbers: a node looks for a customer's homes by the hash of its number.
        let numbers = (1_u64..).map(|number| CustomerId(number.wrapping_mul(0x9e37_79b1) & 0xffff_ffff));
        customers.iter_mut().zip(numbers).for_each(|(customer, id)| customer.id = id);
        let total = customers.iter().map(|customer| customer.demand).sum();
        Scene { nodes, fleet, rate: rate * f64::from(nodes), doubt, customers, quotas, total }
    }

    /// The next request.
    pub fn wish(&self, random: &mut ChaCha8Rng) -> Wish {
        let mut left = random.random::<f64>() * self.total;
        let customer = self.customers.iter().find(|customer| {
            left -= customer.demand;
            left <= 0.0
        });
        let customer = *customer.unwrap_or(&self.customers[0]);
        let step = random.random_range(0..customer.spread);
        Wish {
            customer,
            class: usize::from(random.random::<f64>() >= SAFE_SHARE),
            units: random.random_range(1..=MOST_UNITS),
            node: GatewayId((customer.first.0 + step) % self.nodes),
        }
    }

    fn burst(&self, plan: usize) -> f64 {
        (self.quotas[plan] * BURST_S).max(f64::from(MOST_UNITS))
    }

    /// The quota of each customer, with the doubt that follows from what nodes can know. Among few nodes, each tells
    /// the others what it sent, some times a second: until then every other one may use its whole store, and what
    /// fills it meanwhile; and of a debt deeper than its store a node forgets the rest. In a wide fleet two homes and
    /// an understudy keep the quota: the homes may each round up to the largest request, and the understudy's part
    /// comes on top.
    pub fn limits(&self) -> impl Iterator<Item = (CustomerId, Quota)> + '_ {
        let told_every = self.counts_every().max(COUNTS_EVERY_S);
        self.customers.iter().map(move |customer| {
            let (rate, burst) = (self.quotas[customer.plan.0], self.burst(customer.plan.0));
            let others = f64::from(customer.spread - 1);
            let on_its_way = rate * ON_ITS_WAY as f64 / 1e6;
            let apart = others * (burst + rate * told_every);
            let homes = 2.0 * f64::from(MOST_UNITS) + self.doubt * burst;
            let doubt = on_its_way + if self.wide() { homes } else { apart };
            (customer.id, Quota { rate, burst, doubt, doubt_per_s: self.doubt * rate })
        })
    }

    /// Seconds between counts to all that the nodes' intake allows.
    fn counts_every(&self) -> f64 {
        f64::from(self.fleet.saturating_sub(1)) / (INTAKE * INTAKE_SHARE)
    }

    /// Whether counts told to all would come too seldom: homes keep the quotas there.
    fn wide(&self) -> bool {
        self.counts_every() >= WIDE_FROM_S
    }

    /// Requests that a server can work on at once.
    pub fn slots(&self) -> usize {
        let within = DEMAND.iter().map(|demand| demand.min(1.0)).sum::<f64>() / DEMAND.iter().sum::<f64>();
        let busy = self.rate * within * WORK.0 / 1e6;
        ((busy / SERVERS as f64 / BUSY).ceil() as usize).max(1)
    }

    /// Name of a plan.
    pub fn plan(&self, plan: PlanId) -> &'static str {
        PLANS[plan.0].name
    }

    /// The settings of one node, in the deployment's words.
    pub fn settings(&self, me: GatewayId) -> serde_json::Value {
        let class = |name, worth, repeat| json!({"name": name, "aimUs": AIM, "deadlineUs": DEADLINE, "lateValue": 0.2, "worth": worth, "repeat": repeat});
        let plans = PLANS.iter().enumerate().map(|(place, plan)| {
            json!({"name": plan.name, "rate": self.quotas[place], "storeSize": self.burst(place),
                   "price": plan.weight, "overWorth": 0.0, "overrunCost": 1.0})
        });
        json!({
            "balancers": self.fleet, "me": me.0, "zone": "a", "zones": ["a"], "periodUs": 2000,
            "discovery": "automatic",
            "ceilings": {"sendCap": 5, "cancel": true, "mayTell": true, "retryAfter": true,
                         "maxRetryAfterUs": 500_000, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
            "classes": [class(CLASSES[0], 3.0, "read_like"), class(CLASSES[1], 5.0, "non_idempotent")],
            "packages": plans.collect::<Vec<_>>(),
            "rules": {"coldFrom": 0.3, "coldUs": 2_000_000, "fallMultiple": 2.5, "overloadForUs": 1_000_000,
                      "drainGraceUs": DRAIN_GRACE},
            "extra": {"peerInPerS": INTAKE, "maxUnits": MOST_UNITS},
        })
    }
}

/// What a server does with the requests that come to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves them.
    Serves,
    /// Answers half of them with an error.
    Errs,
    /// Takes them and answers none.
    Hangs,
    /// Turns them away unseen.
    TurnsAway,
}

/// What discovery says of a server from some moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It finishes what it holds.
    Draining,
    /// It was removed.
    Gone,
    /// It has started anew.
    Ready,
}

/// Something that happens to a server.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// When, as a share of the run.
    pub at: f64,
    /// To which, by its place.
    pub server: usize,
    /// What it does from now on.
    pub mode: Mode,
    /// What discovery says from now on, if that changes.
    pub listed: Option<Listed>,
}

/// The troubles of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// None.
    Calm,
    /// One server turns away, one drains and comes back, one hangs, one errs, each for a while.
    Mixed,
    /// One server answers nobody, from the start on.
    Mute,
}

impl Trouble {
    /// All that happens, in its order.
    pub fn turns(self) -> Vec<Turn> {
        let turn = |at, server, mode, listed| Turn { at, server, mode, listed };
        match self {
            Trouble::Calm => Vec::new(),
            Trouble::Mute => vec![turn(0.0, 0, Mode::Hangs, None)],
            Trouble::Mixed => vec![
                turn(0.2, 1, Mode::TurnsAway, None),
                turn(0.3, 1, Mode::Serves, None),
                turn(0.3, 2, Mode::TurnsAway, Some(Listed::Draining)),
                turn(0.4, 3, Mode::Hangs, None),
                turn(0.55, 2, Mode::TurnsAway, Some(Listed::Gone)),
                turn(0.55, 3, Mode::Serves, None),
                turn(0.6, 4, Mode::Errs, None),
                turn(0.7, 2, Mode::Serves, Some(Listed::Ready)),
                turn(0.75, 4, Mode::Serves, None),
            ],
        }
    }
}
