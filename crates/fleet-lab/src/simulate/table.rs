//! The text form of a report.

use super::report::{ColdServer, Report};
use crate::world::request_counts::RequestCounts;
use gateway_core::DurationExt;
use std::fmt::{Display, Formatter, Result};

/// Maximum number of cold servers that the text lists.
const MAX_COLD_SERVERS: usize = 5;

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.write_title(f)?;
        self.write_requests(f)?;
        self.write_classes(f)?;
        self.write_attempts(f)?;
        self.write_messages(f)?;
        self.write_cold_servers(f)?;
        self.write_violations(f)
    }
}

impl Report {
    fn write_title(&self, f: &mut Formatter<'_>) -> Result {
        let faults = if self.faults.is_empty() {
            "calm".to_owned()
        } else {
            self.faults.join("+")
        };
        writeln!(
            f,
            "{} gateways, {} servers, {faults}, seed {}: {:.1} s played\n",
            self.nodes, self.servers, self.seed, self.simulated_seconds
        )
    }

    fn write_requests(&self, f: &mut Formatter<'_>) -> Result {
        writeln!(
            f,
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
        )?;
        for counts in &self.by_class_and_plan {
            write_counts(
                f,
                &format!("{}, {}", counts.class, counts.plan),
                &counts.requests,
            )?;
        }
        write_counts(f, "all", &self.all)
    }

    fn write_classes(&self, f: &mut Formatter<'_>) -> Result {
        writeln!(
            f,
            "\n{:<24}{:>9}{:>9}{:>8}{:>9}{:>8}{:>12}{:>9}{:>14}{:>9}",
            "class",
            "attempts",
            "served",
            "late",
            "refused",
            "failed",
            "served p50",
            "p99 ms",
            "unserved p50",
            "p99 ms"
        )?;
        for class in &self.by_class {
            writeln!(
                f,
                "{:<24}{:>9}{:>9}{:>8}{:>9}{:>8}{:>12.1}{:>9.1}{:>14.1}{:>9.1}",
                class.class,
                class.attempts,
                class.requests.served,
                class.requests.late,
                class.requests.rejected,
                class.requests.failed,
                class.served_p50_ms,
                class.served_p99_ms,
                class.unserved_p50_ms,
                class.unserved_p99_ms
            )?;
        }
        Ok(())
    }

    fn write_attempts(&self, f: &mut Formatter<'_>) -> Result {
        writeln!(
            f,
            "\nunits sent on            {:.0}, beyond quotas {:.0} ({:.2}%)",
            self.sent_units,
            self.over_quota_units,
            percentage(self.over_quota_units, self.sent_units)
        )?;
        writeln!(
            f,
            "attempts                 {}, to another zone {:.1}%",
            self.attempts,
            percentage(self.cross_zone_attempts as f64, self.attempts as f64)
        )?;
        writeln!(
            f,
            "wait to first attempt    p50 {:.1} ms, p99 {:.1} ms",
            self.wait_p50_ms, self.wait_p99_ms
        )
    }

    fn write_messages(&self, f: &mut Formatter<'_>) -> Result {
        let messages = &self.messages;
        writeln!(
            f,
            "messages to a gateway    {:.1} a second, {:.0} B; busiest {:.1}, {:.0} B",
            messages.mean_per_s,
            messages.mean_bytes_per_s,
            messages.busiest_per_s,
            messages.busiest_bytes_per_s
        )?;
        writeln!(
            f,
            "messages sent            {}, lost {}, dropped {}",
            messages.sent, messages.lost, messages.dropped
        )
    }

    /// Writes the cold servers with the highest loads.
    fn write_cold_servers(&self, f: &mut Formatter<'_>) -> Result {
        let mut servers: Vec<&ColdServer> = self.cold_servers.iter().collect();
        servers.sort_by(|a, b| b.load.fraction().total_cmp(&a.load.fraction()));
        if !servers.is_empty() {
            let crashed = servers.iter().filter(|server| server.has_crashed).count();
            writeln!(
                f,
                "cold servers             {}, of which {crashed} fell; the hardest driven:",
                servers.len()
            )?;
        }
        for ColdServer {
            server,
            has_crashed,
            load,
        } in servers.into_iter().take(MAX_COLD_SERVERS)
        {
            writeln!(
                f,
                "  server {server:<16} {:.1} calls of a budget of {:.1} at {:.2} s, {:.0}% told{}",
                load.calls,
                load.budget,
                load.age.as_seconds(),
                100.0 * load.start_known_fraction,
                if *has_crashed { "; it fell" } else { "" }
            )?;
        }
        Ok(())
    }

    fn write_violations(&self, f: &mut Formatter<'_>) -> Result {
        if self.violations.is_empty() {
            writeln!(f, "rules                    all kept")?;
        }
        for (invariant, violations) in &self.violations {
            writeln!(
                f,
                "rule broken              {invariant} {} times",
                violations.count
            )?;
            for example in &violations.examples {
                writeln!(f, "                         {example}")?;
            }
        }
        Ok(())
    }
}

fn write_counts(f: &mut Formatter<'_>, name: &str, counts: &RequestCounts) -> Result {
    writeln!(
        f,
        "{name:<24}{:>9}{:>9}{:>8}{:>9}{:>9}{:>8}{:>7}{:>7}{:>10}",
        counts.arrived,
        counts.served,
        counts.late,
        counts.rejected,
        counts.rejected_within_quota,
        counts.failed,
        counts.disconnected,
        counts.gateway_killed,
        counts.unreachable
    )
}

fn percentage(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        0.0
    }
}
