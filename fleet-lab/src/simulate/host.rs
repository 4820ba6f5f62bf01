//! What a play takes of the machine it runs on. Nothing of this is compared between plays.

use super::report::Report;
use crate::world::START;
use edge_node::Micros;
use std::fs;
use std::io::{stderr, IsTerminal, Write};
use std::time::{Duration, Instant};

/// Reads the machine's clocks from the start of a play on.
pub struct Clock {
    begun: Instant,
    cpu: Option<Duration>,
}

/// CPU time of this process, which has one thread; `None` where the system does not tell.
fn cpu() -> Option<Duration> {
    let told = fs::read_to_string("/proc/self/schedstat").ok()?;
    told.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// The most memory that this process has held, MiB; `None` where the system does not tell.
fn peak() -> Option<f64> {
    let told = fs::read_to_string("/proc/self/status").ok()?;
    let line = told.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok().map(|kib: f64| kib / 1024.0)
}

impl Clock {
    /// Begins to count.
    pub fn start() -> Clock {
        Clock { begun: Instant::now(), cpu: cpu() }
    }

    /// What was used since, as lines; `deciding` is the time spent inside the module.
    pub fn used(&self, report: &Report, deciding: Duration) -> String {
        let node_seconds = f64::from(report.nodes) * report.played_s;
        let requests = (report.all.came as f64).max(1.0);
        let mut lines = format!("host: {:.1} s on the clock", self.begun.elapsed().as_secs_f64());
        let each = |of: Duration| {
            let us = of.as_secs_f64() * 1e6;
            format!("{:.0} µs a node-second, {:.0} µs a request", us / node_seconds, us / requests)
        };
        if let Some(cpu) = cpu().zip(self.cpu).map(|(now, then)| now.saturating_sub(then)) {
            lines += &format!("\nhost: {:.1} s of CPU in all: {}", cpu.as_secs_f64(), each(cpu));
        }
        lines += &format!(
            "\nhost: {:.1} s on the clock inside the module: {}",
            deciding.as_secs_f64(),
            each(deciding)
        );
        if let Some(peak) = peak() {
            lines += &format!("\nhost: {peak:.0} MiB of memory at the most");
        }
        lines + "\n"
    }
}

/// Shows how far a play has come, if somebody watches.
pub fn progress(span: Micros) -> impl FnMut(Micros) {
    let watched = stderr().is_terminal();
    move |now| {
        if watched {
            let done = now.saturating_sub(START) as f64 / 1e6;
            // A terminal that is gone takes no progress.
            let _ = write!(stderr(), "\r{done:.0} of {:.0} s ", span as f64 / 1e6);
        }
    }
}
