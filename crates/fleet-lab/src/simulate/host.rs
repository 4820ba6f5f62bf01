//! What a simulation uses of the machine that it runs on. None of this is compared between simulations.

use super::report::Report;
use crate::time::MICROS_PER_SECOND;
use crate::world::seconds_since_start;
use gateway_core::DurationExt;
use gateway_core::Timestamp;
use std::fs;
use std::io::{stderr, IsTerminal, Write};
use std::time::{Duration, Instant};

/// Measures what is used from its start on.
pub(super) struct HostUsage {
    started: Instant,
    cpu_time_at_start: Option<Duration>,
}

/// CPU time of this process, which has one thread; `None` where the system does not provide it.
fn cpu_time() -> Option<Duration> {
    let text = fs::read_to_string("/proc/self/schedstat").ok()?;
    text.split_whitespace()
        .next()?
        .parse()
        .ok()
        .map(Duration::from_nanos)
}

/// Peak memory of this process, MiB; `None` where the system does not provide it.
fn peak_memory() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim()
        .strip_suffix("kB")?
        .trim()
        .parse()
        .ok()
        .map(|kib: f64| kib / 1024.0)
}

impl HostUsage {
    /// Starts to measure.
    pub(super) fn start() -> HostUsage {
        HostUsage {
            started: Instant::now(),
            cpu_time_at_start: cpu_time(),
        }
    }

    /// What was used since the start, as lines; `decision_time` is the time inside the decision librarys.
    pub(super) fn summary(&self, report: &Report, decision_time: Duration) -> String {
        let mut lines = vec![format!(
            "host: {:.1} s on the clock",
            self.started.elapsed().as_secs_f64()
        )];
        if let Some((now, start)) = cpu_time().zip(self.cpu_time_at_start) {
            let used = now.saturating_sub(start);
            lines.push(format!(
                "host: {:.1} s of CPU in all: {}",
                used.as_secs_f64(),
                time_per_unit(report, used)
            ));
        }
        lines.push(format!(
            "host: {:.1} s on the clock inside the module: {}",
            decision_time.as_secs_f64(),
            time_per_unit(report, decision_time)
        ));
        if let Some(peak) = peak_memory() {
            lines.push(format!("host: {peak:.0} MiB of memory at the most"));
        }
        lines.join("\n") + "\n"
    }
}

/// A time divided by the simulated time of all nodes, and by the number of requests.
fn time_per_unit(report: &Report, time: Duration) -> String {
    let node_seconds = f64::from(report.nodes) * report.simulated_seconds;
    let requests = (report.all.arrived as f64).max(1.0);
    let time_us = time.as_secs_f64() * MICROS_PER_SECOND;
    format!(
        "{:.0} µs a node-second, {:.0} µs a request",
        time_us / node_seconds,
        time_us / requests
    )
}

/// Shows the simulated time on standard error if that is a terminal.
pub(super) fn progress_display(duration: Duration) -> impl FnMut(Timestamp) {
    let is_terminal = stderr().is_terminal();
    move |now| {
        if is_terminal {
            // A terminal that is gone shows no progress.
            let _ = write!(
                stderr(),
                "\r{:.0} of {:.0} s ",
                seconds_since_start(now),
                duration.as_seconds()
            );
        }
    }
}
