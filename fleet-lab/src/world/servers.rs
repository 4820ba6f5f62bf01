//! Servers: cores, a queue, slots, load reports, the ramp of a cold start and the fall of one that is overdriven,
//! hangs, slowness and drains.

use super::{RequestNo, Rng};
use edge_node::{AttemptNumber, AttemptOutcome, Endpoint, GatewayId, Micros, Rules};
use rand::Rng as _;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// What kind of machine the servers are.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests that run at once.
    pub cores: u32,
    /// Requests that it holds at the most, running or queued; further ones are turned away unseen.
    pub slots: usize,
    /// Work of a request on a warm core, µs, evenly spread.
    pub work: Range<Micros>,
    /// A load report is that old at the most, µs, one figure for each server.
    pub refresh: Range<Micros>,
}

impl Machine {
    /// Mean work of a request, µs.
    pub fn mean_work(&self) -> f64 {
        (self.work.start + self.work.end) as f64 / 2.0
    }

    /// Requests of mean work that a warm server does in a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * 1e6 / self.mean_work()
    }
}

/// An attempt that has come to a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The try.
    pub request: RequestNo,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// The gateway that waits for the answer.
    pub node: GatewayId,
    /// What is still queued then is dropped, µs.
    pub until: Micros,
    /// Its work on a warm core, µs.
    pub work: Micros,
    /// Whether its gateway had been told that the server started.
    pub told: bool,
}

/// What a server does.
#[derive(Debug)]
pub enum ServerEvent {
    /// A request begins to run; it is done then, unless the server hangs meanwhile.
    Runs {
        /// For [`Server::done`].
        serial: u64,
        /// When, µs.
        done: Micros,
        /// Which.
        job: Job,
    },
    /// One that runs takes longer than was said.
    Later {
        /// For [`Server::done`].
        serial: u64,
        /// When, µs.
        done: Micros,
    },
    /// An attempt ends here, and its gateway hears of it unless the way is cut.
    Ends {
        /// Which.
        job: Job,
        /// How.
        outcome: AttemptOutcome,
        /// The load report, if it answers.
        load: Option<f64>,
    },
    /// It was cold, and was pushed over.
    Fell(Pressure),
}

/// The most that a cold server was sent, against what it bears.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Pressure {
    /// Calls within the rules' span, in requests of mean work.
    pub calls: f64,
    /// What the settings allow within it at that moment.
    pub allowed: f64,
    /// The budget: that, twice its root, and two.
    pub budget: f64,
    /// Share of the calls that came from gateways which had been told of the start.
    pub told: f64,
    /// Age of the server then, µs.
    pub age: Micros,
}

/// Whether its process takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Up,
    Stopped,
    Fallen,
}

/// One server.
pub struct Server {
    /// As the list has it.
    pub entry: Endpoint,
    machine: Machine,
    rules: Rules,
    process: Process,
    running: BTreeMap<u64, Job>,
    queue: VecDeque<Job>,
    serial: u64,
    /// It answers nothing until then.
    hung: Option<(Micros, Micros)>,
    /// How many times longer all work takes.
    slow: f64,
    report: (Micros, f64),
    refresh: Micros,
    /// Calls within the rules' span, while it is cold.
    calls: VecDeque<(Micros, f64, bool)>,
    pressure: Pressure,
}

impl Server {
    /// One that holds nothing.
    pub fn new(rng: &mut Rng, entry: Endpoint, machine: Machine, rules: Rules) -> Server {
        let refresh = rng.random_range(machine.refresh.clone());
        Server {
            entry,
            machine,
            rules,
            process: Process::Up,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            serial: 0,
            hung: None,
            slow: 1.0,
            report: (0, 0.0),
            refresh,
            calls: VecDeque::new(),
            pressure: Pressure::default(),
        }
    }

    /// Whether connections come up.
    pub fn is_up(&self) -> bool {
        self.process == Process::Up
    }

    /// The hardest that it was driven while it was cold; `None` for one that never was.
    pub fn pressure(&self) -> Option<Pressure> {
        self.entry.started_at.map(|_| self.pressure)
    }

    /// Whether it was pushed over.
    pub fn has_fallen(&self) -> bool {
        self.process == Process::Fallen
    }

    /// Share of its capacity that it has.
    fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.entry.started_at else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.rules.warm_up_period.max(1) as f64;
        (self.rules.warm_up_from + (1.0 - self.rules.warm_up_from) * age).min(1.0)
    }

    /// From now on all work that begins takes so many times longer.
    pub fn slow(&mut self, times: f64) {
        self.slow = times;
    }

    /// It takes requests and answers none until then.
    pub fn hang(&mut self, now: Micros, until: Micros) {
        self.hung = Some((now, until));
    }

    /// Its process starts anew, cold.
    pub fn restart(&mut self, now: Micros) {
        (self.process, self.entry.started_at) = (Process::Up, Some(now));
        (self.hung, self.slow, self.report) = (None, 1.0, (now, 0.0));
        self.calls.clear();
    }

    /// Its process ends: what it holds is broken off.
    pub fn stop(&mut self, out: &mut Vec<ServerEvent>) {
        if self.is_up() {
            self.end(Process::Stopped, out);
        }
    }

    fn end(&mut self, process: Process, out: &mut Vec<ServerEvent>) {
        self.process = process;
        let held = std::mem::take(&mut self.running).into_values().chain(self.queue.drain(..));
        out.extend(held.map(|job| ServerEvent::Ends {
            job,
            outcome: AttemptOutcome::ConnectionLost,
            load: None,
        }));
    }

    fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// What an answer says it holds: a figure that is refreshed now and then.
    fn load(&mut self, now: Micros) -> Option<f64> {
        if now >= self.report.0 {
            self.report = (now + self.refresh, self.held() as f64);
        }
        Some(self.report.1)
    }

    /// Counts a call to a cold server; whether that pushes it over.
    fn falls(&mut self, now: Micros, job: &Job) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        self.calls.push_back((now, job.work as f64 / self.machine.mean_work(), job.told));
        while self.calls.front().is_some_and(|call| call.0 + self.rules.overload_window <= now) {
            self.calls.pop_front();
        }
        let calls: f64 = self.calls.iter().map(|call| call.1).sum();
        let told: f64 = self.calls.iter().filter(|call| call.2).map(|call| call.1).sum();
        let window = self.rules.overload_window as f64 / 1e6;
        let allowed = self.rules.overload_multiple * self.machine.capacity() * warmth * window;
        let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
        if calls / budget > self.pressure.calls / self.pressure.budget.max(f64::MIN_POSITIVE) {
            let age = now.saturating_sub(self.entry.started_at.unwrap_or(now));
            self.pressure = Pressure { calls, allowed, budget, told: told / calls, age };
        }
        calls > budget
    }

    /// An attempt comes in.
    pub fn arrive(&mut self, now: Micros, job: Job, out: &mut Vec<ServerEvent>) {
        if !self.is_up() {
            return out.push(ServerEvent::Ends { job, outcome: AttemptOutcome::Unreachable, load: None });
        }
        if self.falls(now, &job) {
            self.queue.push_back(job);
            self.end(Process::Fallen, out);
            return out.push(ServerEvent::Fell(self.pressure));
        }
        if self.held() >= self.machine.slots {
            let load = self.load(now);
            return out.push(ServerEvent::Ends { job, outcome: AttemptOutcome::Overloaded, load });
        }
        self.queue.push_back(job);
        self.begin(now, out);
    }

    /// Takes up queued work, as far as there are cores.
    fn begin(&mut self, now: Micros, out: &mut Vec<ServerEvent>) {
        while self.running.len() < self.machine.cores as usize {
            let Some(job) = self.queue.pop_front() else { return };
            if job.until <= now {
                continue; // nobody waits for it any more
            }
            let takes = (job.work as f64 * self.slow / self.warmth(now)) as Micros;
            let from = self.hung.map_or(now, |(_, until)| until.max(now));
            self.serial += 1;
            self.running.insert(self.serial, job);
            out.push(ServerEvent::Runs { serial: self.serial, done: from + takes, job });
        }
    }

    /// A running request is due; it ends now, or later if the server hung meanwhile.
    pub fn done(&mut self, now: Micros, serial: u64, out: &mut Vec<ServerEvent>) {
        if let Some((from, until)) = self.hung.filter(|(from, until)| (*from..*until).contains(&now)) {
            if self.running.contains_key(&serial) {
                out.push(ServerEvent::Later { serial, done: until + (now - from) });
            }
            return;
        }
        let Some(job) = self.running.remove(&serial) else { return };
        let load = self.load(now);
        out.push(ServerEvent::Ends { job, outcome: AttemptOutcome::Success, load });
        self.begin(now, out);
    }

    /// Nobody waits for an attempt any more: it is dropped if it is still queued.
    pub fn call_off(&mut self, request: RequestNo, attempt: AttemptNumber) {
        self.queue.retain(|job| (job.request, job.attempt) != (request, attempt));
    }
}
