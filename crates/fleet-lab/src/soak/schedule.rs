//! The disruptions of a run, drawn from its seed.

use crate::world::{random_stream, Rng};
use rand::Rng as _;
use std::fmt;
use std::time::Duration;

/// Part of the seed's random stream that draws the schedule.
const SCHEDULE_STREAM: u64 = 1;
/// Time from the start of the load to SIGTERM.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(9000);
/// Number of servers at the start, of which the first half is removed.
pub(super) const SERVER_COUNT: usize = 8;

/// How discovery behaves during its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutageKind {
    /// It accepts watches and sends nothing on any watch, also after the outage.
    Silent,
    /// It accepts no watch; those that wait are answered after the outage.
    NotAccepting,
    /// It closes each watch.
    Closing,
}

/// A span of time since the start of the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

impl Span {
    pub(super) fn contains(self, time: Duration) -> bool {
        (self.from..self.to).contains(&time)
    }
}

/// What servers do for a while with the requests that they receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerFault {
    /// They never answer.
    Hang,
    /// They reset the connection after the request has begun to run.
    Reset,
}

/// A fault of the servers whose index is odd.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerFaultSpan {
    pub(super) fault: ServerFault,
    pub(super) span: Span,
}

/// The disruptions of a run. All times are counted from the start of the load.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    pub(super) outage: Span,
    pub(super) outage_kind: OutageKind,
    /// Time that discovery takes to answer a watch after the outage.
    pub(super) latency: Duration,
    /// Time over which discovery writes the first list of a watch after the outage, in pieces.
    pub(super) list_duration: Duration,
    /// When half of the servers are removed.
    pub(super) removal: Duration,
    pub(super) hangups: Vec<Duration>,
    /// When the process is stopped for 150 ms.
    pub(super) stops: Vec<Duration>,
    pub(super) server_fault: Option<ServerFaultSpan>,
    /// Number of clients that connect and send nothing, or a part of a head.
    pub(super) idle_clients: usize,
    /// Number of SIGTERM signals at the end, 20 ms apart.
    pub(super) terminations: u32,
}

impl Schedule {
    /// Draws the schedule of a run.
    pub(super) fn draw(seed: u64) -> Schedule {
        let mut rng = random_stream(seed, SCHEDULE_STREAM);
        let outage = draw_span(&mut rng, 800..2000, 500..4500);
        let removal = outage.to + draw_millis(&mut rng, 30..700);
        let kinds = [
            OutageKind::Silent,
            OutageKind::NotAccepting,
            OutageKind::Closing,
        ];
        Schedule {
            outage,
            outage_kind: kinds[rng.random_range(0..kinds.len())],
            latency: draw_rarely(&mut rng, 0.7, 20..1200),
            list_duration: draw_rarely(&mut rng, 0.3, 100..1000),
            removal,
            hangups: draw_series(&mut rng, 0.5, 6, 50..400),
            stops: draw_series(&mut rng, 0.4, 3, 400..1500),
            server_fault: draw_server_fault(&mut rng),
            idle_clients: if rng.random_bool(0.4) { 150 } else { 0 },
            terminations: rng.random_range(1..4),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

fn draw_millis(rng: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_span(rng: &mut Rng, from: std::ops::Range<u64>, length: std::ops::Range<u64>) -> Span {
    let from = draw_millis(rng, from);
    let to = from + draw_millis(rng, length);
    Span { from, to }
}

/// Draws a duration with this probability; zero otherwise.
fn draw_rarely(rng: &mut Rng, probability: f64, range: std::ops::Range<u64>) -> Duration {
    let drawn = draw_millis(rng, range);
    if rng.random_bool(probability) {
        drawn
    } else {
        Duration::ZERO
    }
}

/// Draws the times of a series of events with this probability; none otherwise.
fn draw_series(
    rng: &mut Rng,
    probability: f64,
    max_count: usize,
    gap: std::ops::Range<u64>,
) -> Vec<Duration> {
    if !rng.random_bool(probability) {
        return Vec::new();
    }
    let count = rng.random_range(1..=max_count);
    let mut time = draw_millis(rng, 500..7000);
    let mut times = Vec::new();
    for _ in 0..count {
        times.push(time);
        time += draw_millis(rng, gap.clone());
    }
    times
}

fn draw_server_fault(rng: &mut Rng) -> Option<ServerFaultSpan> {
    let span = draw_span(rng, 1000..8000, 300..3000);
    let fault = if rng.random_bool(0.5) {
        ServerFault::Hang
    } else {
        ServerFault::Reset
    };
    rng.random_bool(0.6)
        .then_some(ServerFaultSpan { fault, span })
}
