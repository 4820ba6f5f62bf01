//! Tests of simulated servers: cores, queue, hangs, slowness, and the crash of an overloaded cold
//! server.

use crate::common::{endpoint, MICROSECOND, MILLISECOND, SECOND};
use fleet_lab::world::machine::Machine;
use fleet_lab::world::server_events::{Job, ServerEvent};
use fleet_lab::world::servers::Server;
use fleet_lab::world::{random_stream, RequestNumber, START};
use gateway_core::{AttemptNumber, AttemptOutcome, GatewayId, ServerRules, Timestamp};
use std::time::Duration;

const RULES: ServerRules = ServerRules {
    warm_up_from: 0.25,
    warm_up_period: Duration::from_secs(10),
    overload_multiple: 2.0,
    overload_window: Duration::from_secs(2),
};

/// Returns the hardware of the server: two cores, on each of which a request takes 100 ms, and ten
/// slots for requests that run or are queued. Load reports expire after at most 2 µs.
fn machine() -> Machine {
    Machine {
        cores: 2,
        slots: 10,
        work: 100 * MILLISECOND..100 * MILLISECOND,
        report_interval: MICROSECOND..2 * MICROSECOND,
    }
}

/// Returns the first attempt of a request, which never expires and takes 100 ms on a warm core.
fn job(request: u64, is_start_known: bool) -> Job {
    Job {
        request: RequestNumber(request),
        attempt: AttemptNumber(0),
        gateway: GatewayId(0),
        expires_at: Timestamp::MAX,
        work: 100 * MILLISECOND,
        is_start_known,
    }
}

/// Creates a server that started cold at `started_at`, or a warm server without a start time.
fn server(started_at: Option<Timestamp>) -> Server {
    Server::new(
        &mut random_stream(1, 1),
        endpoint(1, started_at),
        machine(),
        RULES,
    )
}

/// Result of an attempt that has ended at the server.
#[derive(Debug, PartialEq)]
struct FinishedAttempt {
    request: RequestNumber,
    outcome: AttemptOutcome,
    reported_load: Option<f64>,
}

impl FinishedAttempt {
    fn new(request: u64, outcome: AttemptOutcome, reported_load: Option<f64>) -> FinishedAttempt {
        FinishedAttempt {
            request: RequestNumber(request),
            outcome,
            reported_load,
        }
    }
}

/// Returns the results of all attempts that have ended, in the order of the events.
fn finished_attempts(events: &[ServerEvent]) -> Vec<FinishedAttempt> {
    let finished_attempt = |event: &ServerEvent| match event {
        ServerEvent::Finished {
            job,
            outcome,
            reported_load,
        } => Some(FinishedAttempt::new(
            job.request.0,
            *outcome,
            *reported_load,
        )),
        _ => None,
    };
    events.iter().filter_map(finished_attempt).collect()
}

/// An execution that started or was delayed, and the time at which it is due.
#[derive(Debug, PartialEq)]
struct DueExecution {
    execution: u64,
    done_at: Timestamp,
}

impl DueExecution {
    fn new(execution: u64, done_at: Timestamp) -> DueExecution {
        DueExecution { execution, done_at }
    }
}

/// Returns all executions that started or were delayed, in the order of the events.
fn due_executions(events: &[ServerEvent]) -> Vec<DueExecution> {
    let due_execution = |event: &ServerEvent| match event {
        ServerEvent::Started {
            execution, done_at, ..
        }
        | ServerEvent::Delayed { execution, done_at } => {
            Some(DueExecution::new(*execution, *done_at))
        }
        _ => None,
    };
    events.iter().filter_map(due_execution).collect()
}

#[test]
fn server_runs_one_request_per_core_and_rejects_requests_beyond_slots() {
    let (mut server, mut events) = (server(None), Vec::new());
    for number in 0..11 {
        server.arrive(START, job(number, true), &mut events);
    }
    assert_eq!(
        due_executions(&events),
        [
            DueExecution::new(1, START + 100 * MILLISECOND),
            DueExecution::new(2, START + 100 * MILLISECOND)
        ]
    );
    assert_eq!(
        finished_attempts(&events),
        [FinishedAttempt::new(
            10,
            AttemptOutcome::Overloaded,
            Some(10.0)
        )]
    );
    events.clear();
    server.complete(START + 100 * MILLISECOND, 1, &mut events);
    assert_eq!(
        finished_attempts(&events),
        [FinishedAttempt::new(0, AttemptOutcome::Success, Some(9.0))]
    );
    assert_eq!(
        due_executions(&events),
        [DueExecution::new(3, START + 200 * MILLISECOND)]
    );
    server.cancel(RequestNumber(3), AttemptNumber(0));
    events.clear();
    server.complete(START + 100 * MILLISECOND, 2, &mut events);
    assert!(
        matches!(&events[1], ServerEvent::Started { job, .. } if job.request == RequestNumber(4)),
        "{events:?}"
    );
}

#[test]
fn hang_delays_answers_and_slowdown_lengthens_executions() {
    let (mut server, mut events) = (server(None), Vec::new());
    server.arrive(START, job(0, true), &mut events);
    server.hang(START + 40 * MILLISECOND, START + 5 * SECOND);
    events.clear();
    server.complete(START + 100 * MILLISECOND, 1, &mut events);
    // 40 ms of the work were done before the hang; 60 ms remain.
    assert_eq!(
        due_executions(&events),
        [DueExecution::new(1, START + 5 * SECOND + 60 * MILLISECOND)]
    );
    events.clear();
    server.complete(START + 5 * SECOND + 60 * MILLISECOND, 1, &mut events);
    assert_eq!(finished_attempts(&events).len(), 1);
    server.set_slowdown(6.0);
    events.clear();
    server.arrive(START + 6 * SECOND, job(1, true), &mut events);
    assert_eq!(
        due_executions(&events),
        [DueExecution::new(2, START + 6 * SECOND + 600 * MILLISECOND)]
    );
}

#[test]
fn cold_server_is_slower_and_crashes_one_call_beyond_budget() {
    // A warm server completes 20 requests per second, and a cold server 5 at its start. The
    // overload multiple of 2 and the window of 2 s allow 2 * 5 * 2 = 20 calls, so that the budget
    // is 20 + 2 * sqrt(20) + 2 = 30.94 calls.
    let (mut server, mut events) = (server(Some(START)), Vec::new());
    server.arrive(START, job(0, false), &mut events);
    assert_eq!(
        due_executions(&events),
        [DueExecution::new(1, START + 400 * MILLISECOND)]
    );
    for number in 1..30 {
        server.arrive(START, job(number, number > 5), &mut events);
    }
    assert!(server.is_up(), "30 calls are within the budget");
    server.arrive(START, job(30, true), &mut events);
    assert!(!server.is_up() && server.has_crashed());
    let Some(ServerEvent::Crashed(load)) = events.last() else {
        panic!("server did not crash: {events:?}")
    };
    assert!(
        (load.budget - 30.94).abs() < 0.01 && load.calls == 31.0,
        "{load:?}"
    );
    assert!(
        (load.start_known_fraction - 25.0 / 31.0).abs() < 1e-9,
        "{load:?}"
    );
    // Ten attempts in flight and the attempt that caused the crash lose their connection, and the
    // server accepts no further attempts.
    assert_eq!(
        finished_attempts(&events)
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::ConnectionLost)
            .count(),
        11
    );
    events.clear();
    server.arrive(START + SECOND, job(31, true), &mut events);
    assert_eq!(
        finished_attempts(&events),
        [FinishedAttempt::new(31, AttemptOutcome::Unreachable, None)]
    );
}

#[test]
fn ignores_calls_older_than_window_and_warm_server_never_crashes() {
    let (mut cold, mut warm, mut events) = (server(Some(START)), server(None), Vec::new());
    for step in 0..3 {
        for number in 0..30 {
            cold.arrive(START + step * 2 * SECOND, job(number, true), &mut events);
        }
    }
    for number in 0..500 {
        warm.arrive(START, job(number, true), &mut events);
    }
    assert!(cold.is_up() && warm.is_up() && warm.highest_cold_load().is_none());
    let load = cold.highest_cold_load().expect("server was cold");
    assert_eq!(
        (load.calls, load.age),
        (30.0, Duration::ZERO),
        "the highest load was at the start"
    );
}
