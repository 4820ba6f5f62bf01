//! Time and memory that a simulation uses on its host. These figures vary between runs, so they are
//! not part of the report.

use super::report::Report;
use crate::time::MICROS_PER_SECOND;
use crate::world::seconds_since_start;
use gateway_core::DurationExt;
use gateway_core::Timestamp;
use std::fs;
use std::io::{stderr, IsTerminal, Write};
use std::time::{Duration, Instant};

/// A measurement of the time and memory that a simulation uses.
pub(super) struct HostUsage {
    started: Instant,
    cpu_time_at_start: Option<Duration>,
}

/// Returns the CPU time of this process, which has one thread; `None` if the system does not
/// provide it.
fn cpu_time() -> Option<Duration> {
    let text = fs::read_to_string("/proc/self/schedstat").ok()?;
    text.split_whitespace()
        .next()?
        .parse()
        .ok()
        .map(Duration::from_nanos)
}

/// Returns the peak memory of this process, in MiB; `None` if the system does not provide it.
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
    pub(super) fn start() -> HostUsage {
        HostUsage {
            started: Instant::now(),
            cpu_time_at_start: cpu_time(),
        }
    }

    /// Returns the usage since the start as lines of text. `decision_time` is the time inside the
    /// decision library of all gateways.
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

/// Formats a time divided by the simulated time of all gateways, and by the number of requests.
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

/// Returns a function that shows the simulated time on standard error if that is a terminal.
pub(super) fn progress_display(duration: Duration) -> impl FnMut(Timestamp) {
    let is_terminal = stderr().is_terminal();
    move |now| {
        if is_terminal {
            // Progress is optional, so an error of a closed terminal is ignored.
            let _ = write!(
                stderr(),
                "\r{:.0} of {:.0} s ",
                seconds_since_start(now),
                duration.as_seconds()
            );
        }
    }
}
