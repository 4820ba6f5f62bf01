//! What a play showed. All of it follows from the seed.

use super::experiment::Experiment;
use crate::world::datagrams::Traffic;
use crate::world::invariant_checker::{Breaks, Referee, Rule, Second, Tally};
use crate::world::servers::{Pressure, Server};
use crate::world::START;
use edge_node::Micros;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What became of the tries of one class and plan.
#[derive(Clone, Debug, Serialize)]
pub struct Part {
    /// The class.
    pub class: String,
    /// The plan.
    pub plan: String,
    /// Its tries.
    #[serde(flatten)]
    pub tries: Tally,
}

/// Messages between gateways.
#[derive(Clone, Debug, Serialize)]
pub struct Messages {
    /// That came to a gateway in a second, on average.
    pub mean_per_s: f64,
    /// And at the gateway to which the most came.
    pub busiest_per_s: f64,
    /// Bytes that came to a gateway in a second, on average.
    pub mean_bytes_per_s: f64,
    /// And at the gateway to which the most came.
    pub busiest_bytes_per_s: f64,
    /// Sent in all, one for each receiver.
    pub sent: u64,
    /// Lost on the way.
    pub lost: u64,
    /// Dropped beyond what a gateway takes in.
    pub dropped: u64,
}

/// A server that was started cold.
#[derive(Clone, Debug, Serialize)]
pub struct ColdServer {
    /// Its id.
    pub server: u64,
    /// Whether it was pushed over.
    pub fell: bool,
    /// The hardest that it was driven.
    #[serde(flatten)]
    pub pressure: Pressure,
}

impl ColdServer {
    /// The most calls as a share of their budget.
    fn share(&self) -> f64 {
        self.pressure.calls / self.pressure.budget.max(f64::MIN_POSITIVE)
    }
}

/// Cold servers that the table shows.
const HARDEST: usize = 5;

/// The report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Gateways.
    pub nodes: u32,
    /// Servers at the start.
    pub servers: usize,
    /// The seed.
    pub seed: u64,
    /// Troubles by name.
    pub troubles: Vec<String>,
    /// Simulated seconds until the last request had ended.
    pub played_s: f64,
    /// All tries.
    pub all: Tally,
    /// Tries by class and plan.
    pub parts: Vec<Part>,
    /// Units first sent on.
    pub sent_units: f64,
    /// Of these, beyond quotas.
    pub over_units: f64,
    /// Attempts sent.
    pub attempts: u64,
    /// Of these, to another zone.
    pub crossed: u64,
    /// Rules broken.
    pub broken: BTreeMap<Rule, Breaks>,
    /// Messages.
    pub messages: Messages,
    /// From arrival to first attempt, ms, the median.
    pub wait_p50_ms: f64,
    /// The same, of which one in a hundred takes longer.
    pub wait_p99_ms: f64,
    /// Servers started cold.
    pub cold: Vec<ColdServer>,
    /// By second.
    pub seconds: Vec<Second>,
}

fn row(text: &mut String, name: &str, tries: &Tally) {
    let Tally { came, served, late, refused, refused_with_room: room, failed, left, died, unreached } =
        *tries;
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{name:<24}{came:>9}{served:>9}{late:>8}{refused:>9}{room:>9}{failed:>8}{left:>7}{died:>7}{unreached:>10}"
    );
}

impl Report {
    /// Gathers it from the books after a play that ended then.
    pub fn new(
        experiment: &Experiment, now: Micros, servers: &[Server], traffic: &Traffic, referee: Referee,
    ) -> Report {
        let Experiment { seed, named, troubles, .. } = experiment;
        let played_s = (now - START) as f64 / 1e6;
        let (mut all, mut parts) = (Tally::default(), Vec::new());
        for (class, plans) in named.class_names.iter().zip(&referee.tallies) {
            for (plan, tries) in named.plan_names.iter().zip(plans) {
                all.add(tries);
                parts.push(Part { class: class.clone(), plan: plan.clone(), tries: *tries });
            }
        }
        let most = |of: fn(&(u64, u64)) -> u64| traffic.came.iter().map(of).max().unwrap_or(0) as f64;
        let sum = |of: fn(&(u64, u64)) -> u64| traffic.came.iter().map(of).sum::<u64>() as f64;
        let each = played_s * f64::from(experiment.nodes());
        let messages = Messages {
            mean_per_s: sum(|came| came.0) / each,
            busiest_per_s: most(|came| came.0) / played_s,
            mean_bytes_per_s: sum(|came| came.1) / each,
            busiest_bytes_per_s: most(|came| came.1) / played_s,
            sent: traffic.sent,
            lost: traffic.lost,
            dropped: traffic.dropped,
        };
        let cold = servers.iter().filter_map(|server| {
            let (fell, id) = (server.has_fallen(), server.entry.server.0);
            server.pressure().map(|pressure| ColdServer { server: id, fell, pressure })
        });
        let wait = |share| referee.waits.value_at_quantile(share) as f64 / 1e3;
        Report {
            nodes: experiment.nodes(),
            servers: experiment.servers.len(),
            seed: *seed,
            troubles: troubles.clone(),
            played_s,
            all,
            parts,
            sent_units: referee.seconds.iter().map(|second| second.sent_units).sum(),
            over_units: referee.seconds.iter().map(|second| second.over_units).sum(),
            attempts: referee.attempts,
            crossed: referee.crossed,
            messages,
            wait_p50_ms: wait(0.5),
            wait_p99_ms: wait(0.99),
            cold: cold.collect(),
            broken: referee.broken,
            seconds: referee.seconds,
        }
    }

    /// The rules broken, in a line.
    pub fn broken_line(&self) -> String {
        let all = self.broken.iter().map(|(rule, breaks)| format!("{rule:?} {} times", breaks.times));
        all.collect::<Vec<_>>().join(", ")
    }

    /// The table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let troubles = if self.troubles.is_empty() { "calm".to_owned() } else { self.troubles.join("+") };
        let _ = writeln!(
            text,
            "{} gateways, {} servers, {troubles}, seed {}: {:.1} s played\n",
            self.nodes, self.servers, self.seed, self.played_s
        );
        let _ = writeln!(
            text,
            "{:<24}{:>9}{:>9}{:>8}{:>9}{:>9}{:>8}{:>7}{:>7}{:>10}",
            "class, plan",
            "came",
            "served",
            "late",
            "refused",
            "w. room",
            "failed",
            "left",
            "died",
            "unreached"
        );
        for part in &self.parts {
            row(&mut text, &format!("{}, {}", part.class, part.plan), &part.tries);
        }
        row(&mut text, "all", &self.all);
        let share = |part: f64, whole: f64| if whole > 0.0 { 100.0 * part / whole } else { 0.0 };
        let _ = writeln!(
            text,
            "\nunits sent on            {:.0}, beyond quotas {:.0} ({:.2}%)",
            self.sent_units,
            self.over_units,
            share(self.over_units, self.sent_units)
        );
        let _ = writeln!(
            text,
            "attempts                 {}, to another zone {:.1}%",
            self.attempts,
            share(self.crossed as f64, self.attempts as f64)
        );
        let _ = writeln!(
            text,
            "wait to first attempt    p50 {:.1} ms, p99 {:.1} ms",
            self.wait_p50_ms, self.wait_p99_ms
        );
        let messages = &self.messages;
        let _ = writeln!(
            text,
            "messages to a gateway    {:.1} a second, {:.0} B; busiest {:.1}, {:.0} B",
            messages.mean_per_s,
            messages.mean_bytes_per_s,
            messages.busiest_per_s,
            messages.busiest_bytes_per_s
        );
        let _ = writeln!(
            text,
            "messages sent            {}, lost {}, dropped {}",
            messages.sent, messages.lost, messages.dropped
        );
        let mut cold: Vec<&ColdServer> = self.cold.iter().collect();
        cold.sort_by(|a, b| b.share().total_cmp(&a.share()));
        if !cold.is_empty() {
            let fell = cold.iter().filter(|server| server.fell).count();
            let _ = writeln!(
                text,
                "cold servers             {}, of which {fell} fell; the hardest driven:",
                cold.len()
            );
        }
        for ColdServer { server, fell, pressure } in cold.into_iter().take(HARDEST) {
            let Pressure { calls, budget, told, age, .. } = *pressure;
            let _ = writeln!(
                text,
                "  server {server:<16} {calls:.1} calls of a budget of {budget:.1} at {:.2} s, {:.0}% told{}",
                age as f64 / 1e6,
                100.0 * told,
                if *fell { "; it fell" } else { "" }
            );
        }
        if self.broken.is_empty() {
            text += "rules                    all kept\n";
        }
        for (rule, breaks) in &self.broken {
            let _ = writeln!(text, "rule broken              {rule:?} {} times", breaks.times);
            breaks.first.iter().for_each(|what| {
                let _ = writeln!(text, "                         {what}");
            });
        }
        text
    }
}
