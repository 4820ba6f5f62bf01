//! Servers: cores, a queue, load reports, the crash of a cold server that is overloaded, hangs, slowness and drains.

use super::cold_start::{ColdCall, ColdStart, ColdStartLoad};
use super::{RequestNumber, Rng, TimeSpan};
use crate::time::{draw_duration, DurationExt};
use gateway_core::{AttemptNumber, AttemptOutcome, Endpoint, GatewayId, Rules, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// What kind of machine the servers are.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests that run at once.
    pub cores: u32,
    /// Requests that it holds at most, running or queued; further ones are rejected without running.
    pub slots: usize,
    /// Work of a request on a warm core, uniformly distributed.
    pub work: Range<Duration>,
    /// Interval at which a server measures the load that it reports; each server draws its own.
    pub report_interval: Range<Duration>,
}

impl Machine {
    /// Mean work of a request, µs.
    pub fn mean_work_us(&self) -> f64 {
        (self.work.start + self.work.end).as_micros_f64() / 2.0
    }

    /// Requests of mean work that a warm server completes in a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * MICROS_PER_SECOND / self.mean_work_us()
    }
}

/// An attempt that has arrived at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The request.
    pub request: RequestNumber,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// The gateway that waits for the answer.
    pub gateway: GatewayId,
    /// When it is dropped if it is still queued.
    pub expires_at: Timestamp,
    /// Its work on a warm core.
    pub work: Duration,
    /// Whether its gateway knew of the server's latest start.
    pub start_known: bool,
}

/// What happens at a server.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request begins to run.
    Started {
        /// For [`Server::complete`].
        run: u64,
        /// When it is done, unless the server hangs meanwhile.
        done_at: Timestamp,
        /// The attempt.
        job: Job,
    },
    /// A running request takes longer.
    Delayed {
        /// For [`Server::complete`].
        run: u64,
        /// When it is done.
        done_at: Timestamp,
    },
    /// An attempt ends; its gateway gets the outcome unless a partition separates them.
    Finished {
        /// The attempt.
        job: Job,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report, if the server answers.
        reported_load: Option<f64>,
    },
    /// The server was cold and was overloaded.
    Crashed(ColdStartLoad),
}

/// Whether a server's process accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    Stopped,
    Crashed,
}

/// The load that a server reports until the next measurement.
#[derive(Default)]
struct LoadReport {
    expires_at: Timestamp,
    load: f64,
}

/// One server.
pub struct Server {
    /// Its entry in the list of servers.
    pub endpoint: Endpoint,
    machine: Machine,
    process: ProcessState,
    running: BTreeMap<u64, Job>,
    queue: VecDeque<Job>,
    last_run: u64,
    /// The last span in which it answers nothing.
    hang: Option<TimeSpan>,
    /// Factor by which all work takes longer.
    slowdown: f64,
    report: LoadReport,
    report_interval: Duration,
    cold_start: ColdStart,
}

impl Server {
    /// An idle server.
    pub fn new(rng: &mut Rng, endpoint: Endpoint, machine: Machine, rules: Rules) -> Server {
        let report_interval = draw_duration(rng, &machine.report_interval);
        Server {
            endpoint,
            cold_start: ColdStart::new(rules, machine.capacity()),
            machine,
            process: ProcessState::Up,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            last_run: 0,
            hang: None,
            slowdown: 1.0,
            report: LoadReport::default(),
            report_interval,
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.process == ProcessState::Up
    }

    /// The highest load while it was cold; `None` for a server that never was.
    pub fn highest_cold_load(&self) -> Option<ColdStartLoad> {
        self.endpoint
            .started_at
            .map(|_| self.cold_start.highest_load())
    }

    /// Whether it crashed by overload.
    pub fn has_crashed(&self) -> bool {
        self.process == ProcessState::Crashed
    }

    /// Sets the factor by which all work that begins from now on takes longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// It accepts requests and answers none until then.
    pub fn hang(&mut self, now: Timestamp, until: Timestamp) {
        self.hang = Some(TimeSpan {
            start: now,
            end: until,
        });
    }

    /// Its process starts again, cold.
    pub fn restart(&mut self, now: Timestamp) {
        self.process = ProcessState::Up;
        self.endpoint.started_at = Some(now);
        self.hang = None;
        self.slowdown = 1.0;
        self.report = LoadReport {
            expires_at: now,
            load: 0.0,
        };
        self.cold_start.restart();
    }

    /// Its process ends: the connections of all attempts that it holds are lost.
    pub fn stop(&mut self, events: &mut Vec<ServerEvent>) {
        if self.is_up() {
            self.end_process(ProcessState::Stopped, events);
        }
    }

    fn end_process(&mut self, state: ProcessState, events: &mut Vec<ServerEvent>) {
        self.process = state;
        let running = std::mem::take(&mut self.running).into_values();
        let held = running.chain(self.queue.drain(..));
        let outcome = AttemptOutcome::ConnectionLost;
        events.extend(held.map(|job| ServerEvent::Finished {
            job,
            outcome,
            reported_load: None,
        }));
    }

    fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// The load that an answer reports, measured anew when the last report has expired.
    fn reported_load(&mut self, now: Timestamp) -> Option<f64> {
        if now >= self.report.expires_at {
            self.report = LoadReport {
                expires_at: now + self.report_interval,
                load: self.held() as f64,
            };
        }
        Some(self.report.load)
    }

    /// An attempt arrives.
    pub fn arrive(&mut self, now: Timestamp, job: Job, events: &mut Vec<ServerEvent>) {
        if !self.is_up() {
            let outcome = AttemptOutcome::Unreachable;
            events.push(ServerEvent::Finished {
                job,
                outcome,
                reported_load: None,
            });
            return;
        }
        let work = job.work.as_micros_f64() / self.machine.mean_work_us();
        let call = ColdCall {
            at: now,
            work,
            start_known: job.start_known,
        };
        if self
            .cold_start
            .is_overloaded_by(call, self.endpoint.started_at)
        {
            self.queue.push_back(job);
            self.end_process(ProcessState::Crashed, events);
            events.push(ServerEvent::Crashed(self.cold_start.highest_load()));
            return;
        }
        if self.held() >= self.machine.slots {
            let reported_load = self.reported_load(now);
            events.push(ServerEvent::Finished {
                job,
                outcome: AttemptOutcome::Overloaded,
                reported_load,
            });
            return;
        }
        self.queue.push_back(job);
        self.start_queued(now, events);
    }

    /// Starts queued requests while there are idle cores.
    fn start_queued(&mut self, now: Timestamp, events: &mut Vec<ServerEvent>) {
        while self.running.len() < self.machine.cores as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if job.expires_at <= now {
                continue; // its gateway no longer waits for it
            }
            let warm_up_fraction = self
                .cold_start
                .warm_up_fraction(now, self.endpoint.started_at);
            let duration = Duration::from_micros_f64(
                job.work.as_micros_f64() * self.slowdown / warm_up_fraction,
            );
            let starts_at = self.hang.map_or(now, |hang| hang.end.max(now));
            self.last_run += 1;
            self.running.insert(self.last_run, job);
            events.push(ServerEvent::Started {
                run: self.last_run,
                done_at: starts_at + duration,
                job,
            });
        }
    }

    /// A running request is due: it is done now, or later if the server hangs.
    pub fn complete(&mut self, now: Timestamp, run: u64, events: &mut Vec<ServerEvent>) {
        if let Some(hang) = self.hang.filter(|hang| hang.contains(now)) {
            if self.running.contains_key(&run) {
                events.push(ServerEvent::Delayed {
                    run,
                    done_at: hang.end + now.duration_since(hang.start),
                });
            }
            return;
        }
        let Some(job) = self.running.remove(&run) else {
            return;
        };
        let reported_load = self.reported_load(now);
        events.push(ServerEvent::Finished {
            job,
            outcome: AttemptOutcome::Success,
            reported_load,
        });
        self.start_queued(now, events);
    }

    /// The gateway no longer waits for an attempt: it is dropped if it is still queued.
    pub fn cancel(&mut self, request: RequestNumber, attempt: AttemptNumber) {
        self.queue
            .retain(|job| job.request != request || job.attempt != attempt);
    }
}
