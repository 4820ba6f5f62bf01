//! The lab's model of what surrounds the gateways, part by part.

use fleet_lab::world::client_request::ClientError;
use fleet_lab::world::clients::{Clients, Demand};
use fleet_lab::world::cold_start::ColdStartLoad;
use fleet_lab::world::customer_account::CustomerPlan;
use fleet_lab::world::datagrams::{
    Datagrams, MessageCounts, NetworkConditions, Partition, Partitions,
};
use fleet_lab::world::discovery::{Discovery, PollKind, PollResult};
use fleet_lab::world::draining::{DrainGrace, DrainingServers};
use fleet_lab::world::final_answer::FinalAnswer;
use fleet_lab::world::invariant::Invariant;
use fleet_lab::world::invariant_checker::{InvariantChecker, SentAttempt};
use fleet_lab::world::machine::Machine;
use fleet_lab::world::request_counts::RequestCounts;
use fleet_lab::world::request_record::RequestRecord;
use fleet_lab::world::server_events::{Job, ServerEvent};
use fleet_lab::world::servers::Server;
use fleet_lab::world::token_bucket::TokenBucket;
use fleet_lab::world::usage_limit::UsageLimit;
use fleet_lab::world::{random_stream, RequestNumber, TimeSpan, START};
use gateway_core::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const MICROSECOND: Duration = Duration::from_micros(1);
const RULES: Rules = Rules {
    warm_up_from: 0.25,
    warm_up_period: Duration::from_secs(10),
    overload_multiple: 2.0,
    overload_window: Duration::from_secs(2),
};

fn settings() -> Settings {
    let text = include_str!("../src/simulate/settings.json")
        .replace(r#""balancers": 1"#, r#""balancers": 6"#);
    gateway_core::settings::parse(&text)
        .expect("sound settings")
        .settings
}

fn endpoint(server: u64, started_at: Option<Timestamp>) -> Endpoint {
    let (zone, cell) = (ZoneId(server as u32 % 3), CellId(server % 3));
    Endpoint {
        server: ServerId(server),
        zone,
        cell,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at,
    }
}

/// Every request takes 100 ms on one of two cores.
fn machine() -> Machine {
    Machine {
        cores: 2,
        slots: 10,
        work: 100 * MILLISECOND..100 * MILLISECOND,
        report_interval: MICROSECOND..2 * MICROSECOND,
    }
}

fn job(request: u64, start_known: bool) -> Job {
    Job {
        request: RequestNumber(request),
        attempt: AttemptNumber(0),
        gateway: GatewayId(0),
        expires_at: Timestamp::MAX,
        work: 100 * MILLISECOND,
        start_known,
    }
}

fn server(started: Option<Timestamp>) -> Server {
    Server::new(
        &mut random_stream(1, 1),
        endpoint(1, started),
        machine(),
        RULES,
    )
}

/// An attempt that finished.
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

/// The attempts that finished.
fn finished(events: &[ServerEvent]) -> Vec<FinishedAttempt> {
    let finished = |event: &ServerEvent| match event {
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
    events.iter().filter_map(finished).collect()
}

/// A run that was started or delayed, and when it is due.
#[derive(Debug, PartialEq)]
struct DueRun {
    run: u64,
    done_at: Timestamp,
}

/// The runs that were started or delayed.
fn due(events: &[ServerEvent]) -> Vec<DueRun> {
    let due = |event: &ServerEvent| match event {
        ServerEvent::Started { run, done_at, .. } | ServerEvent::Delayed { run, done_at } => {
            Some(DueRun {
                run: *run,
                done_at: *done_at,
            })
        }
        _ => None,
    };
    events.iter().filter_map(due).collect()
}

#[test]
fn a_server_runs_one_request_on_each_core_and_rejects_what_it_cannot_hold() {
    let (mut server, mut out) = (server(None), Vec::new());
    for number in 0..11 {
        server.arrive(START, job(number, true), &mut out);
    }
    assert_eq!(
        due(&out),
        [
            DueRun {
                run: 1,
                done_at: START + 100 * MILLISECOND
            },
            DueRun {
                run: 2,
                done_at: START + 100 * MILLISECOND
            }
        ]
    );
    assert_eq!(
        finished(&out),
        [FinishedAttempt::new(
            10,
            AttemptOutcome::Overloaded,
            Some(10.0)
        )]
    );
    out.clear();
    server.complete(START + 100 * MILLISECOND, 1, &mut out);
    assert_eq!(
        finished(&out),
        [FinishedAttempt::new(0, AttemptOutcome::Success, Some(9.0))]
    );
    assert_eq!(
        due(&out),
        [DueRun {
            run: 3,
            done_at: START + 200 * MILLISECOND
        }]
    );
    server.cancel(RequestNumber(3), AttemptNumber(0));
    out.clear();
    server.complete(START + 100 * MILLISECOND, 2, &mut out);
    assert!(
        matches!(&out[1], ServerEvent::Started { job, .. } if job.request == RequestNumber(4)),
        "{out:?}"
    );
}

#[test]
fn a_hanging_server_answers_later_and_a_slow_one_takes_longer() {
    let (mut server, mut out) = (server(None), Vec::new());
    server.arrive(START, job(0, true), &mut out);
    server.hang(START + 40 * MILLISECOND, START + 5 * SECOND);
    out.clear();
    server.complete(START + 100 * MILLISECOND, 1, &mut out);
    // 40 ms of its work were done before the hang, 60 are left.
    assert_eq!(
        due(&out),
        [DueRun {
            run: 1,
            done_at: START + 5 * SECOND + 60 * MILLISECOND
        }]
    );
    out.clear();
    server.complete(START + 5 * SECOND + 60 * MILLISECOND, 1, &mut out);
    assert_eq!(finished(&out).len(), 1);
    server.set_slowdown(6.0);
    out.clear();
    server.arrive(START + 6 * SECOND, job(1, true), &mut out);
    assert_eq!(
        due(&out),
        [DueRun {
            run: 2,
            done_at: START + 6 * SECOND + 600 * MILLISECOND
        }]
    );
}

#[test]
fn a_cold_server_is_slower_and_crashes_one_call_beyond_its_budget() {
    // 20 a second when warm; cold 5; twice that for 2 s is 20, and 2 x root of 20, and 2: 30.9.
    let (mut server, mut out) = (server(Some(START)), Vec::new());
    server.arrive(START, job(0, false), &mut out);
    assert_eq!(
        due(&out),
        [DueRun {
            run: 1,
            done_at: START + 400 * MILLISECOND
        }]
    );
    for number in 1..30 {
        server.arrive(START, job(number, number > 5), &mut out);
    }
    assert!(server.is_up(), "30 calls are within it");
    server.arrive(START, job(30, true), &mut out);
    assert!(!server.is_up() && server.has_crashed());
    let Some(ServerEvent::Crashed(load)) = out.last() else {
        panic!("it crashed: {out:?}")
    };
    assert!(
        (load.budget - 30.94).abs() < 0.01 && load.calls == 31.0,
        "{load:?}"
    );
    assert!(
        (load.start_known_share - 25.0 / 31.0).abs() < 1e-9,
        "{load:?}"
    );
    // The connections of all attempts that it held are lost, and it accepts no further ones.
    assert_eq!(
        finished(&out)
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::ConnectionLost)
            .count(),
        11
    );
    out.clear();
    server.arrive(START + SECOND, job(31, true), &mut out);
    assert_eq!(
        finished(&out),
        [FinishedAttempt::new(31, AttemptOutcome::Unreachable, None)]
    );
}

#[test]
fn calls_older_than_the_window_do_not_count_and_a_warm_server_never_crashes() {
    let (mut cold, mut warm, mut out) = (server(Some(START)), server(None), Vec::new());
    for step in 0..3 {
        for number in 0..30 {
            cold.arrive(START + step * 2 * SECOND, job(number, true), &mut out);
        }
    }
    for number in 0..500 {
        warm.arrive(START, job(number, true), &mut out);
    }
    assert!(cold.is_up() && warm.is_up() && warm.highest_cold_load().is_none());
    let load = cold.highest_cold_load().expect("cold");
    assert_eq!(
        (load.calls, load.age),
        (30.0, Duration::ZERO),
        "the highest load was at the start"
    );
}

fn new_checker() -> InvariantChecker {
    let customers = [
        CustomerPlan {
            customer: CustomerId(1),
            plan: PlanId(0),
        },
        CustomerPlan {
            customer: CustomerId(2),
            plan: PlanId(2),
        },
    ];
    InvariantChecker::new(settings(), 500 * MILLISECOND, customers).expect("a checker")
}

fn sent(
    gateway: u32,
    request: RequestNumber,
    server: u64,
    draining_since: Option<Timestamp>,
) -> SentAttempt {
    SentAttempt {
        gateway: GatewayId(gateway),
        request,
        server: endpoint(server, None),
        draining_since,
    }
}

fn clients(rate: f64) -> Clients {
    let demand = Demand {
        rate,
        max_deadline: 4 * SECOND,
        surges: Vec::new(),
        flood: None,
    };
    Clients::new(random_stream(3, 1), START, &settings(), &demand)
}

#[test]
fn a_crash_is_a_violation_only_if_the_gateways_knew_of_the_start() {
    let mut checker = new_checker();
    let load = |share| ColdStartLoad {
        calls: 9.0,
        start_known_share: share,
        ..ColdStartLoad::default()
    };
    checker.server_crashed(START, ServerId(1), load(0.6));
    assert!(checker.violations.is_empty());
    checker.server_crashed(START, ServerId(1), load(0.7));
    assert_eq!(checker.violations[&Invariant::ColdStart].count, 1);
}

#[test]
fn quotas_and_hard_limits_are_counted_over_all_gateways_with_the_tolerance() {
    let mut checker = new_checker();
    let mut request = clients(50.0).new_request(START, 0);
    // The large plan's hard limit is 172 units, the tolerance is a tenth of that: 189.2 are allowed at once.
    request.customer = 1;
    request.estimated_units = 1.0;
    request.actual_units = 1.0;
    for count in 0..190 {
        let number = checker.request_arrived(START, request.clone());
        assert!(checker.violations.is_empty(), "after {count}");
        checker.attempt_sent(START, sent(count % 6, number, 1, None));
    }
    assert_eq!(checker.violations[&Invariant::HardLimit].count, 1);
    let second = checker.statistics.seconds[0];
    assert_eq!(
        (second.sent_units, second.over_quota_units),
        (190.0, 190.0 - 97.0)
    );
}

#[test]
fn a_non_idempotent_request_may_be_sent_again_only_if_it_is_proved_not_to_have_run() {
    for (outcome, is_violation) in [
        (AttemptOutcome::Overloaded, false),
        (AttemptOutcome::ConnectionLost, true),
    ] {
        let mut checker = new_checker();
        let mut request = clients(50.0).new_request(START, 0);
        request.customer = 0;
        request.class = ClassId(1);
        let number = checker.request_arrived(START, request);
        assert!(checker.attempt_sent(START, sent(0, number, 1, None)));
        checker.attempt_finished(number, AttemptNumber(0), outcome);
        assert!(checker.attempt_sent(START, sent(0, number, 2, None)));
        assert_eq!(
            checker.violations.contains_key(&Invariant::Idempotency),
            is_violation,
            "{outcome:?}"
        );
        assert!(
            checker.answered(START, number, FinalAnswer::Failed)
                && !checker.answer_overdue(START, number)
        );
        assert!(!checker.answered(START, number, FinalAnswer::Failed));
        assert_eq!(checker.violations[&Invariant::AnsweredTwice].count, 1);
        let counts = RequestCounts {
            arrived: 1,
            failed: 1,
            ..RequestCounts::default()
        };
        assert_eq!(checker.statistics.counts[1][0], counts);
    }
}

#[test]
fn an_attempt_at_a_draining_server_is_a_violation_after_the_grace_period() {
    for (late, is_violation) in [
        (500 * MILLISECOND, false),
        (500 * MILLISECOND + MICROSECOND, true),
    ] {
        let mut checker = new_checker();
        let mut request = clients(50.0).new_request(START, 0);
        request.customer = 0;
        let number = checker.request_arrived(START + late, request);
        checker.attempt_sent(START + late, sent(0, number, 1, Some(START)));
        assert_eq!(
            checker.violations.contains_key(&Invariant::Drain),
            is_violation
        );
    }
}

#[test]
fn a_gateway_receives_all_missed_changes_after_an_outage_of_discovery() {
    let outage = TimeSpan {
        start: START + SECOND,
        end: START + 9 * SECOND,
    };
    let list = vec![endpoint(1, None), endpoint(2, None)];
    let mut discovery = Discovery::new(
        random_stream(1, 2),
        list,
        2,
        Duration::ZERO..4 * MICROSECOND,
        vec![outage],
    );
    let (me, other) = (GatewayId(0), GatewayId(1));
    discovery.publish(Endpoint {
        state: EndpointState::Draining,
        ..endpoint(1, None)
    });
    discovery.publish(endpoint(3, Some(START)));
    assert!(
        !discovery.knows_server(me, ServerId(3))
            && discovery.draining_since(me, ServerId(1)).is_none()
    );
    let PollResult::RetryAt(until) =
        discovery.poll(START + 2 * SECOND, me, None, PollKind::Scheduled)
    else {
        panic!("an outage")
    };
    assert!((outage.end..outage.end + 4 * MICROSECOND).contains(&until));
    assert!(matches!(
        discovery.poll(START + 2 * SECOND, me, None, PollKind::Requested),
        PollResult::CallFailed
    ));
    let PollResult::Update(Event::EndpointsUpdated { kind, endpoints }) =
        discovery.poll(until, me, None, PollKind::Scheduled)
    else {
        panic!("an update")
    };
    assert_eq!((kind, endpoints.len()), (EndpointUpdate::Delta, 2));
    assert_eq!(discovery.draining_since(me, ServerId(1)), Some(until));
    assert!(discovery.knows_server(me, ServerId(3)) && !discovery.knows_server(other, ServerId(3)));
    assert!(matches!(
        discovery.poll(until, me, None, PollKind::Scheduled),
        PollResult::NoChange
    ));
    let isolated = discovery.poll(until, other, Some(until + SECOND), PollKind::Scheduled);
    assert!(matches!(isolated, PollResult::RetryAt(at) if at >= until + SECOND));
    // A server that comes back drains no more, and its new start is not known yet.
    assert!(discovery.knows_latest_start(me, ServerId(1)));
    discovery.publish(endpoint(1, Some(until)));
    assert!(
        discovery.knows_server(me, ServerId(1)) && !discovery.knows_latest_start(me, ServerId(1))
    );
    discovery.poll(until, me, None, PollKind::Scheduled);
    assert!(
        discovery.knows_latest_start(me, ServerId(1))
            && discovery.draining_since(me, ServerId(1)).is_none()
    );
    // A gateway that restarts has the list that it had last.
    let Event::EndpointsUpdated {
        kind: EndpointUpdate::Snapshot,
        endpoints,
    } = discovery.last_snapshot(other)
    else {
        panic!("a list")
    };
    assert_eq!(endpoints.len(), 2);
}

#[test]
fn a_gateway_accepts_messages_up_to_its_rate_and_none_pass_a_partition() {
    let conditions = NetworkConditions {
        delay: 10 * MICROSECOND..20 * MICROSECOND,
        loss: 0.5,
        temporary_loss: None,
        accepted_per_second: 5.0,
    };
    let mut datagrams = Datagrams::new(random_stream(1, 3), START, conditions, 2);
    let accepted = (0..20)
        .filter(|_| datagrams.accept(START, GatewayId(1), 100))
        .count();
    assert_eq!((accepted, datagrams.traffic.dropped), (5, 15));
    assert_eq!(
        datagrams.traffic.received[1],
        MessageCounts {
            messages: 20,
            bytes: 2_000
        }
    );
    assert!(
        datagrams.accept(START + SECOND, GatewayId(1), 100)
            && datagrams.accept(START, GatewayId(0), 1)
    );
    let delivered = (0..1_000)
        .filter(|_| datagrams.send(START, false).is_some())
        .count();
    assert!((400..600).contains(&delivered), "{delivered}");
    assert!((0..100).all(|_| datagrams.send(START, true).is_none()));
    let span = TimeSpan {
        start: START,
        end: START + SECOND,
    };
    let partitions = Partitions(vec![Partition {
        zone: ZoneId(1),
        span,
    }]);
    let separate = |one, other, at| partitions.separate(at, ZoneId(one), ZoneId(other));
    assert!(
        separate(1, 0, START)
            && separate(2, 1, START)
            && !separate(1, 1, START)
            && !separate(0, 2, START)
    );
    assert!(
        !separate(1, 0, START + SECOND)
            && partitions.isolated_until(START, ZoneId(1)) == Some(START + SECOND)
    );
}

#[test]
fn clients_ask_for_about_the_demand_through_their_own_gateways_at_uneven_rates() {
    const GATEWAYS: u32 = 6;
    let demand = 400.0;
    let mut clients = clients(demand);
    let mut by_gateway = vec![0_u32; GATEWAYS as usize];
    let (mut requests, seconds) = (0_u32, 20);
    for index in 0..clients.customers.len() {
        let mut now = START;
        while let Some(at) = clients
            .next_arrival(now, index)
            .filter(|at| *at < START + Duration::from_secs(seconds))
        {
            now = at;
            requests += 1;
            let request = clients.new_request(now, index);
            let Some(to) = clients.pick_gateway(now, &request, GATEWAYS, |_| false) else {
                panic!("a gateway")
            };
            let customer = &clients.customers[index];
            let offset = (to.0 + GATEWAYS - customer.first_gateway.0) % GATEWAYS;
            assert!(
                offset < customer.gateway_count && (0.5..=8.0).contains(&request.estimated_units)
            );
            by_gateway[to.0 as usize] += 1;
            let elsewhere = clients.pick_gateway(now, &request, GATEWAYS, |gateway| gateway == to);
            assert!(elsewhere != Some(to));
        }
    }
    // Within the quotas 400 requests a second are asked for; those beyond are added.
    let rate = f64::from(requests) / seconds as f64;
    assert!(rate > demand && rate < 3.0 * demand, "{rate}");
    assert!(
        by_gateway.iter().max() > by_gateway.iter().min(),
        "{by_gateway:?}"
    );
}

#[test]
fn clients_retry_once_as_advised_and_only_if_that_is_harmless() {
    let mut clients = clients(50.0);
    let mut request = clients.new_request(START, 0);
    request.disconnect_at = None;
    request.class = ClassId(1);
    let rejected = |retry_after| ClientError::Rejected { retry_after };
    let retry = clients
        .retry(START, &request, rejected(Some(70 * MILLISECOND)))
        .expect("a retry");
    assert_eq!(
        (retry.at, retry.request.retries),
        (START + 70 * MILLISECOND, 1)
    );
    assert_eq!(retry.request.deadline, request.deadline);
    assert!(
        clients
            .retry(START, &retry.request, rejected(None))
            .is_none(),
        "once"
    );
    assert!(
        clients
            .retry(START, &request, ClientError::Failed)
            .is_none(),
        "it may have run"
    );
    assert!(clients
        .retry(START, &request, ClientError::Unreachable)
        .is_some());
    request.class = ClassId(0);
    assert!(clients
        .retry(START, &request, ClientError::Failed)
        .is_some());
    assert!(
        clients
            .retry(request.deadline, &request, ClientError::Failed)
            .is_none(),
        "too late"
    );
}

#[test]
fn a_token_bucket_refills_at_its_rate_up_to_its_capacity() {
    let mut bucket = TokenBucket::full(START, 2.0, 10.0);
    assert!(bucket.try_take(START, 9.0) && !bucket.try_take(START, 2.0));
    assert!(bucket.try_take(START + 500 * MILLISECOND, 2.0));
    assert_eq!(bucket.take(START + SECOND, 4.0), -3.0);
    assert_eq!(
        (
            bucket.tokens(START + 60 * SECOND),
            bucket.fill_fraction(START + 60 * SECOND)
        ),
        (10.0, 1.0)
    );
}

#[test]
fn a_usage_limit_is_violated_beyond_its_tolerance_and_keeps_its_peak() {
    let mut limit = UsageLimit::unused(START, 2.0, 10.0);
    assert!(limit.peak().is_none());
    assert!(
        !limit.consume(START, 13.0, 3.0).is_violation(),
        "all of the tolerance"
    );
    let beyond = limit.consume(START, 0.5, 3.0);
    assert!(beyond.is_violation());
    assert_eq!(
        (beyond.units, beyond.tolerated, beyond.beyond_tolerance()),
        (3.5, 3.0, 0.5)
    );
    let later = limit.consume(START + SECOND, 1.0, 3.0);
    assert_eq!(later.units, 2.5, "two units were refilled");
    assert_eq!(limit.peak().map(|peak| peak.units), Some(3.5));
    let unused = UsageLimit::unused(START, 2.0, 10.0).consume(START + 60 * SECOND, 10.0, 0.0);
    assert!(
        !unused.is_violation() && unused.units == 0.0,
        "it accumulates no more than its capacity"
    );
}

#[test]
fn a_gateway_knows_of_a_drain_from_the_first_news_until_the_server_is_ready_again() {
    let mut draining = DrainingServers::default();
    let server = ServerId(1);
    assert!(!draining.state_received(START, server, EndpointState::Ready));
    assert!(draining.state_received(START + MICROSECOND, server, EndpointState::Draining));
    assert!(
        !draining.state_received(START + 2 * MICROSECOND, server, EndpointState::Gone),
        "it was draining already"
    );
    assert_eq!(
        (draining.since(server), draining.since(ServerId(2))),
        (Some(START + MICROSECOND), None)
    );
    assert!(!draining.state_received(START + 3 * MICROSECOND, server, EndpointState::Ready));
    assert_eq!(draining.since(server), None);
    assert!(draining.state_received(START + 4 * MICROSECOND, server, EndpointState::Gone));
    let grace = DrainGrace(100 * MICROSECOND);
    assert!(
        !grace.is_over(START + 100 * MICROSECOND, START)
            && grace.is_over(START + 101 * MICROSECOND, START)
    );
}

#[test]
fn a_request_record_tells_first_attempts_repeated_executions_and_answers_after_the_end() {
    let mut record = RequestRecord::new(START, "request");
    assert!(record.is_open() && !record.is_executed());
    assert!(record.add_attempt(1) && !record.add_attempt(2));
    record.execution_started();
    assert!(record.is_executed() && !record.is_executed_repeatedly());
    record.execution_started();
    assert!(record.is_executed_repeatedly());
    assert!(record.answered() && !record.is_open() && !record.is_answered_after_end());
    assert!(!record.answered() && record.is_answered_after_end());
    let mut abandoned: RequestRecord<&str, u32> = RequestRecord::new(START, "request");
    assert!(abandoned.close() && !abandoned.close() && !abandoned.is_answered_after_end());
    assert!(!abandoned.answered() && abandoned.is_answered_after_end());
}
