//! Servers: cores, a queue, load reports, the warm-up after a start and the crash of a cold server that is
//! overloaded, hangs, slowness and drains.

use super::{RequestNumber, Rng, TimeSpan};
use edge_node::{AttemptNumber, AttemptOutcome, Endpoint, GatewayId, Micros, Rules};
use rand::Rng as _;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// What kind of machine the servers are.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests that run at once.
    pub cores: u32,
    /// Requests that it holds at most, running or queued; further ones are rejected without running.
    pub slots: usize,
    /// Work of a request on a warm core, µs, uniformly distributed.
    pub work: Range<Micros>,
    /// Interval at which a server measures the load that it reports, µs; each server draws its own.
    pub report_interval: Range<Micros>,
}

impl Machine {
    /// Mean work of a request, µs.
    pub fn mean_work(&self) -> f64 {
        (self.work.start + self.work.end) as f64 / 2.0
    }

    /// Requests of mean work that a warm server completes in a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * 1e6 / self.mean_work()
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
    /// When it is dropped if it is still queued, µs.
    pub expires_at: Micros,
    /// Its work on a warm core, µs.
    pub work: Micros,
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
        /// When it is done, unless the server hangs meanwhile, µs.
        done_at: Micros,
        /// The attempt.
        job: Job,
    },
    /// A running request takes longer.
    Delayed {
        /// For [`Server::complete`].
        run: u64,
        /// When it is done, µs.
        done_at: Micros,
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

/// The highest load of a cold server, compared with what it can bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct ColdStartLoad {
    /// Calls within the overload window, in requests of mean work.
    pub calls: f64,
    /// Calls that the settings allow within the window at that moment.
    pub allowed: f64,
    /// Calls that make it crash: the allowed ones, twice their root, and two.
    pub budget: f64,
    /// Share of the calls that came from gateways which knew of the start.
    #[serde(rename = "told")]
    pub start_known_share: f64,
    /// Time since the server's start, µs.
    pub age: Micros,
}

impl ColdStartLoad {
    /// Calls as a fraction of the budget.
    pub fn fraction(&self) -> f64 {
        self.calls / self.budget.max(f64::MIN_POSITIVE)
    }
}

/// Whether a server's process accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    Stopped,
    Crashed,
}

/// A call to a cold server.
struct ColdCall {
    at: Micros,
    /// Its work as a multiple of the mean.
    work: f64,
    start_known: bool,
}

/// The load that a server reports until the next measurement.
#[derive(Default)]
struct LoadReport {
    expires_at: Micros,
    load: f64,
}

/// One server.
pub struct Server {
    /// Its entry in the list of servers.
    pub endpoint: Endpoint,
    machine: Machine,
    rules: Rules,
    process: ProcessState,
    running: BTreeMap<u64, Job>,
    queue: VecDeque<Job>,
    last_run: u64,
    /// The last span in which it answers nothing.
    hang: Option<TimeSpan>,
    /// Factor by which all work takes longer.
    slowdown: f64,
    report: LoadReport,
    report_interval: Micros,
    /// Calls within the overload window, while it is cold.
    cold_calls: VecDeque<ColdCall>,
    highest_cold_load: ColdStartLoad,
}

impl Server {
    /// An idle server.
    pub fn new(rng: &mut Rng, endpoint: Endpoint, machine: Machine, rules: Rules) -> Server {
        let report_interval = rng.random_range(machine.report_interval.clone());
        Server {
            endpoint,
            machine,
            rules,
            process: ProcessState::Up,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            last_run: 0,
            hang: None,
            slowdown: 1.0,
            report: LoadReport::default(),
            report_interval,
            cold_calls: VecDeque::new(),
            highest_cold_load: ColdStartLoad::default(),
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.process == ProcessState::Up
    }

    /// The highest load while it was cold; `None` for a server that never was.
    pub fn highest_cold_load(&self) -> Option<ColdStartLoad> {
        self.endpoint.started_at.map(|_| self.highest_cold_load)
    }

    /// Whether it crashed by overload.
    pub fn has_crashed(&self) -> bool {
        self.process == ProcessState::Crashed
    }

    /// Fraction of its capacity that it has reached since its start.
    fn warm_up_fraction(&self, now: Micros) -> f64 {
        let Some(started_at) = self.endpoint.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at) as f64 / self.rules.warm_up_period.max(1) as f64;
        (self.rules.warm_up_from + (1.0 - self.rules.warm_up_from) * age).min(1.0)
    }

    /// Sets the factor by which all work that begins from now on takes longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// It accepts requests and answers none until then.
    pub fn hang(&mut self, now: Micros, until: Micros) {
        self.hang = Some(TimeSpan { start: now, end: until });
    }

    /// Its process starts again, cold.
    pub fn restart(&mut self, now: Micros) {
        self.process = ProcessState::Up;
        self.endpoint.started_at = Some(now);
        self.hang = None;
        self.slowdown = 1.0;
        self.report = LoadReport { expires_at: now, load: 0.0 };
        self.cold_calls.clear();
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
        events.extend(held.map(|job| ServerEvent::Finished { job, outcome, reported_load: None }));
    }

    fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// The load that an answer reports, measured anew when the last report has expired.
    fn reported_load(&mut self, now: Micros) -> Option<f64> {
        if now >= self.report.expires_at {
            self.report = LoadReport { expires_at: now + self.report_interval, load: self.held() as f64 };
        }
        Some(self.report.load)
    }

    /// Counts a call while the server is cold; returns whether it is overloaded by it.
    fn is_overloaded_by(&mut self, now: Micros, job: &Job) -> bool {
        let warm_up_fraction = self.warm_up_fraction(now);
        if warm_up_fraction >= 1.0 {
            return false;
        }
        let work = job.work as f64 / self.machine.mean_work();
        self.cold_calls.push_back(ColdCall { at: now, work, start_known: job.start_known });
        let window = self.rules.overload_window;
        while self.cold_calls.front().is_some_and(|call| call.at + window <= now) {
            self.cold_calls.pop_front();
        }
        let load = self.cold_start_load(now, warm_up_fraction);
        if load.calls / load.budget > self.highest_cold_load.fraction() {
            self.highest_cold_load = load;
        }
        load.calls > load.budget
    }

    fn cold_start_load(&self, now: Micros, warm_up_fraction: f64) -> ColdStartLoad {
        let calls: f64 = self.cold_calls.iter().map(|call| call.work).sum();
        let with_start_known = self.cold_calls.iter().filter(|call| call.start_known);
        let start_known_calls: f64 = with_start_known.map(|call| call.work).sum();
        let window = self.rules.overload_window as f64 / 1e6;
        let allowed = self.rules.overload_multiple * self.machine.capacity() * warm_up_fraction * window;
        ColdStartLoad {
            calls,
            allowed,
            budget: allowed + 2.0 * allowed.sqrt() + 2.0,
            start_known_share: start_known_calls / calls,
            age: now.saturating_sub(self.endpoint.started_at.unwrap_or(now)),
        }
    }

    /// An attempt arrives.
    pub fn arrive(&mut self, now: Micros, job: Job, events: &mut Vec<ServerEvent>) {
        if !self.is_up() {
            let outcome = AttemptOutcome::Unreachable;
            events.push(ServerEvent::Finished { job, outcome, reported_load: None });
            return;
        }
        if self.is_overloaded_by(now, &job) {
            self.queue.push_back(job);
            self.end_process(ProcessState::Crashed, events);
            events.push(ServerEvent::Crashed(self.highest_cold_load));
            return;
        }
        if self.held() >= self.machine.slots {
            let reported_load = self.reported_load(now);
            events.push(ServerEvent::Finished { job, outcome: AttemptOutcome::Overloaded, reported_load });
            return;
        }
        self.queue.push_back(job);
        self.start_queued(now, events);
    }

    /// Starts queued requests while there are idle cores.
    fn start_queued(&mut self, now: Micros, events: &mut Vec<ServerEvent>) {
        while self.running.len() < self.machine.cores as usize {
            let Some(job) = self.queue.pop_front() else { return };
            if job.expires_at <= now {
                continue; // its gateway no longer waits for it
            }
            let duration = (job.work as f64 * self.slowdown / self.warm_up_fraction(now)) as Micros;
            let starts_at = self.hang.map_or(now, |hang| hang.end.max(now));
            self.last_run += 1;
            self.running.insert(self.last_run, job);
            events.push(ServerEvent::Started { run: self.last_run, done_at: starts_at + duration, job });
        }
    }

    /// A running request is due: it is done now, or later if the server hangs.
    pub fn complete(&mut self, now: Micros, run: u64, events: &mut Vec<ServerEvent>) {
        if let Some(hang) = self.hang.filter(|hang| hang.contains(now)) {
            if self.running.contains_key(&run) {
                events.push(ServerEvent::Delayed { run, done_at: hang.end + (now - hang.start) });
            }
            return;
        }
        let Some(job) = self.running.remove(&run) else { return };
        let reported_load = self.reported_load(now);
        events.push(ServerEvent::Finished { job, outcome: AttemptOutcome::Success, reported_load });
        self.start_queued(now, events);
    }

    /// The gateway no longer waits for an attempt: it is dropped if it is still queued.
    pub fn cancel(&mut self, request: RequestNumber, attempt: AttemptNumber) {
        self.queue.retain(|job| job.request != request || job.attempt != attempt);
    }
}
