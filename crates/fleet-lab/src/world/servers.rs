//! Simulated servers: execution on a limited number of cores, a queue, load reports, the crash of
//! an overloaded cold server, hangs and slowness.

use super::cold_start::{ColdCall, ColdStart, ColdStartLoad};
use super::load_report::LoadReport;
use super::machine::Machine;
use super::server_events::{Job, ServerEvent};
use super::{RequestNumber, Rng, TimeSpan};
use crate::time::draw_duration;
use gateway_core::DurationExt;
use gateway_core::{AttemptNumber, AttemptOutcome, Endpoint, ServerRules, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// State of a server's process; only a process that is up accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    Stopped,
    Crashed,
}

/// A simulated server, with its queue, its process state and its load report.
pub struct Server {
    /// Endpoint of the server in the endpoint list.
    pub endpoint: Endpoint,
    machine: Machine,
    process: ProcessState,
    /// Attempts that run, by execution number.
    running: BTreeMap<u64, Job>,
    queue: VecDeque<Job>,
    /// Number of the latest execution; 0 before the first.
    last_execution: u64,
    /// Span of the latest hang; `None` if the server has not hung since its start.
    hang: Option<TimeSpan>,
    /// Execution time of an attempt that starts now, as a multiple of the normal time.
    slowdown: f64,
    load_report: LoadReport,
    cold_start: ColdStart,
}

impl Server {
    /// Creates an idle server, and draws the interval at which it measures its load.
    pub fn new(rng: &mut Rng, endpoint: Endpoint, machine: Machine, rules: ServerRules) -> Server {
        let load_report = LoadReport::new(draw_duration(rng, &machine.report_interval));
        Server {
            endpoint,
            cold_start: ColdStart::new(rules, machine.capacity()),
            machine,
            process: ProcessState::Up,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            last_execution: 0,
            hang: None,
            slowdown: 1.0,
            load_report,
        }
    }

    /// Returns whether the server accepts connections.
    pub fn is_up(&self) -> bool {
        self.process == ProcessState::Up
    }

    /// Returns the highest load relative to its budget while the server was cold; `None` if the
    /// server has never started cold.
    pub fn highest_cold_load(&self) -> Option<ColdStartLoad> {
        self.endpoint
            .started_at
            .map(|_| self.cold_start.highest_load())
    }

    /// Returns whether the server crashed from overload.
    pub fn has_crashed(&self) -> bool {
        self.process == ProcessState::Crashed
    }

    /// Sets the factor that multiplies the execution time of each attempt that starts from now on;
    /// 1 restores the normal speed.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Makes the server hang: until `until`, it accepts attempts but completes none.
    pub fn hang(&mut self, now: Timestamp, until: Timestamp) {
        self.hang = Some(TimeSpan {
            start: now,
            end: until,
        });
    }

    /// Starts the process of a stopped or crashed server again. The server is cold.
    pub fn restart(&mut self, now: Timestamp) {
        self.process = ProcessState::Up;
        self.endpoint.started_at = Some(now);
        self.hang = None;
        self.slowdown = 1.0;
        self.load_report.restart(now);
        self.cold_start.restart();
    }

    /// Stops the server's process if it is up. All attempts that run or are queued end with a lost
    /// connection.
    pub fn stop(&mut self, events: &mut Vec<ServerEvent>) {
        if self.is_up() {
            self.end_process(ProcessState::Stopped, events);
        }
    }

    fn end_process(&mut self, state: ProcessState, events: &mut Vec<ServerEvent>) {
        self.process = state;
        let running = std::mem::take(&mut self.running).into_values();
        let lost = running.chain(self.queue.drain(..));
        let outcome = AttemptOutcome::ConnectionLost;
        events.extend(lost.map(|job| ServerEvent::Finished {
            job,
            outcome,
            reported_load: None,
        }));
    }

    /// Returns the number of attempts that run or are queued.
    fn attempts_in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    fn reported_load(&mut self, now: Timestamp) -> Option<f64> {
        let attempts_in_flight = self.attempts_in_flight();
        Some(self.load_report.current(now, attempts_in_flight))
    }

    /// Handles an attempt that arrives: runs or queues it, or ends it at once if the server is
    /// down, has no free slot, or crashes because the attempt overloads it while it is cold.
    pub fn arrive(&mut self, now: Timestamp, job: Job, events: &mut Vec<ServerEvent>) {
        if !self.is_up() {
            events.push(ServerEvent::Finished {
                job,
                outcome: AttemptOutcome::Unreachable,
                reported_load: None,
            });
        } else if self.record_cold_call(now, &job) {
            self.queue.push_back(job);
            self.end_process(ProcessState::Crashed, events);
            events.push(ServerEvent::Crashed(self.cold_start.highest_load()));
        } else if self.attempts_in_flight() >= self.machine.slots {
            let reported_load = self.reported_load(now);
            events.push(ServerEvent::Finished {
                job,
                outcome: AttemptOutcome::Overloaded,
                reported_load,
            });
        } else {
            self.queue.push_back(job);
            self.start_queued(now, events);
        }
    }

    /// Records an attempt if the server is cold. Returns whether the calls now exceed the budget of
    /// the server.
    fn record_cold_call(&mut self, now: Timestamp, job: &Job) -> bool {
        let call = ColdCall {
            at: now,
            work: job.work.as_micros_f64() / self.machine.mean_work_us(),
            is_start_known: job.is_start_known,
        };
        self.cold_start.record_call(call, self.endpoint.started_at)
    }

    /// Starts queued attempts while there are idle cores. Drops attempts that have expired.
    fn start_queued(&mut self, now: Timestamp, events: &mut Vec<ServerEvent>) {
        while self.running.len() < self.machine.cores as usize {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if job.expires_at <= now {
                continue; // The gateway no longer waits for this attempt.
            }
            let duration = self.execution_time(now, &job);
            let starts_at = self.hang.map_or(now, |hang| hang.end.max(now));
            self.last_execution += 1;
            self.running.insert(self.last_execution, job);
            events.push(ServerEvent::Started {
                execution: self.last_execution,
                done_at: starts_at + duration,
                job,
            });
        }
    }

    /// Returns the execution time of an attempt that starts now.
    fn execution_time(&self, now: Timestamp, job: &Job) -> Duration {
        let warm_up_fraction = self
            .cold_start
            .warm_up_fraction(now, self.endpoint.started_at);
        Duration::from_micros_f64(job.work.as_micros_f64() * self.slowdown / warm_up_fraction)
    }

    /// Completes the execution with the given number, which is due. If the server hangs, delays the
    /// execution instead: the work that remained when the hang began is done after the hang.
    pub fn complete(&mut self, now: Timestamp, execution: u64, events: &mut Vec<ServerEvent>) {
        if let Some(hang) = self.hang.filter(|hang| hang.contains(now)) {
            if self.running.contains_key(&execution) {
                events.push(ServerEvent::Delayed {
                    execution,
                    done_at: hang.end + now.duration_since(hang.start),
                });
            }
            return;
        }
        let Some(job) = self.running.remove(&execution) else {
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

    /// Drops an attempt that its gateway has cancelled, if the attempt is still queued.
    pub fn cancel(&mut self, request: RequestNumber, attempt: AttemptNumber) {
        self.queue
            .retain(|job| job.request != request || job.attempt != attempt);
    }
}
