//! The lab's model of the world, part by part.

use edge_node::*;
use fleet_lab::world::clients::{Clients, Demand, Heard};
use fleet_lab::world::datagrams::{Cut, Cuts, Datagrams, Weather};
use fleet_lab::world::discovery::{Discovery, Told};
use fleet_lab::world::invariant_checker::{Referee, Rule, Tally, Verdict};
use fleet_lab::world::servers::{Job, Machine, Pressure, Server, ServerEvent as Does};
use fleet_lab::world::{micros, stream, Bucket, RequestNo, Span, START};

const S: Micros = 1_000_000;
const RULES: Rules =
    Rules { warm_up_from: 0.25, warm_up_period: 10 * S, overload_multiple: 2.0, overload_window: 2 * S };

fn settings() -> Settings {
    let text =
        include_str!("../src/simulate/settings.json").replace(r#""balancers": 1"#, r#""balancers": 6"#);
    edge_node::settings::parse(&text).expect("sound settings").settings
}

fn entry(server: u64, started: Option<Micros>) -> Endpoint {
    let (zone, cell) = (ZoneId(server as u32 % 3), CellId(server % 3));
    Endpoint {
        server: ServerId(server),
        zone,
        cell,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: started,
    }
}

/// Every request takes 100 ms on one of two cores.
fn machine() -> Machine {
    Machine { cores: 2, slots: 10, work: 100_000..100_000, refresh: 1..2 }
}

fn job(request: u64, told: bool) -> Job {
    let (attempt, node) = (AttemptNumber(0), GatewayId(0));
    Job { request: RequestNo(request), attempt, node, until: Micros::MAX, work: 100_000, told }
}

fn server(started: Option<Micros>) -> Server {
    Server::new(&mut stream(1, 1), entry(1, started), machine(), RULES)
}

fn ends(effects: &[Does]) -> Vec<(u64, AttemptOutcome, Option<f64>)> {
    let end = |effect: &Does| match effect {
        Does::Ends { job, outcome, load } => Some((job.request.0, *outcome, *load)),
        _ => None,
    };
    effects.iter().filter_map(end).collect()
}

fn due(effects: &[Does]) -> Vec<(u64, Micros)> {
    let due = |effect: &Does| match effect {
        Does::Runs { serial, done, .. } | Does::Later { serial, done } => Some((*serial, *done)),
        _ => None,
    };
    effects.iter().filter_map(due).collect()
}

#[test]
fn a_server_runs_as_many_as_it_has_cores_and_turns_away_what_it_cannot_hold() {
    let (mut server, mut out) = (server(None), Vec::new());
    (0..11).for_each(|number| server.arrive(START, job(number, true), &mut out));
    assert_eq!(due(&out), [(1, START + 100_000), (2, START + 100_000)]);
    assert_eq!(ends(&out), [(10, AttemptOutcome::Overloaded, Some(10.0))]);
    out.clear();
    server.done(START + 100_000, 1, &mut out);
    assert_eq!(ends(&out), [(0, AttemptOutcome::Success, Some(9.0))]);
    assert_eq!(due(&out), [(3, START + 200_000)]);
    server.call_off(RequestNo(3), AttemptNumber(0));
    out.clear();
    server.done(START + 100_000, 2, &mut out);
    assert!(matches!(&out[1], Does::Runs { job, .. } if job.request == RequestNo(4)), "{out:?}");
}

#[test]
fn a_server_that_hangs_answers_later_and_a_slow_one_takes_longer() {
    let (mut server, mut out) = (server(None), Vec::new());
    server.arrive(START, job(0, true), &mut out);
    server.hang(START + 40_000, START + 5 * S);
    out.clear();
    server.done(START + 100_000, 1, &mut out);
    // 40 ms of its work were done before the hang, 60 are left.
    assert_eq!(due(&out), [(1, START + 5 * S + 60_000)]);
    out.clear();
    server.done(START + 5 * S + 60_000, 1, &mut out);
    assert_eq!(ends(&out).len(), 1);
    server.slow(6.0);
    out.clear();
    server.arrive(START + 6 * S, job(1, true), &mut out);
    assert_eq!(due(&out), [(2, START + 6 * S + 600_000)]);
}

#[test]
fn a_cold_server_works_at_its_share_and_falls_one_call_beyond_its_budget() {
    // 20 a second when warm; cold 5; twice that for 2 s is 20, and 2 x root of 20, and 2: 30.9.
    let (mut server, mut out) = (server(Some(START)), Vec::new());
    server.arrive(START, job(0, false), &mut out);
    assert_eq!(due(&out), [(1, START + 400_000)]);
    (1..30).for_each(|number| server.arrive(START, job(number, number > 5), &mut out));
    assert!(server.is_up(), "30 calls are within it");
    server.arrive(START, job(30, true), &mut out);
    assert!(!server.is_up() && server.has_fallen());
    let Some(Does::Fell(by)) = out.last() else { panic!("it fell: {out:?}") };
    assert!((by.budget - 30.94).abs() < 0.01 && by.calls == 31.0, "{by:?}");
    assert!((by.told - 25.0 / 31.0).abs() < 1e-9, "{by:?}");
    // All that it held is broken off, and nothing comes up any more.
    assert_eq!(ends(&out).iter().filter(|end| end.1 == AttemptOutcome::ConnectionLost).count(), 11);
    out.clear();
    server.arrive(START + S, job(31, true), &mut out);
    assert_eq!(ends(&out), [(31, AttemptOutcome::Unreachable, None)]);
}

#[test]
fn calls_older_than_the_window_do_not_count_and_a_warm_server_never_falls() {
    let (mut cold, mut warm, mut out) = (server(Some(START)), server(None), Vec::new());
    for step in 0..3 {
        (0..30).for_each(|number| cold.arrive(START + step * 2 * S, job(number, true), &mut out));
    }
    (0..500).for_each(|number| warm.arrive(START, job(number, true), &mut out));
    assert!(cold.is_up() && warm.is_up() && warm.pressure().is_none());
    let pressure = cold.pressure().expect("cold");
    assert_eq!((pressure.calls, pressure.age), (30.0, 0), "the hardest was at the start");
}

fn referee() -> Referee {
    let customers = [(CustomerId(1), PlanId(0)), (CustomerId(2), PlanId(2))];
    Referee::new(settings(), 500_000, customers.into_iter()).expect("a referee")
}

fn clients(rate: f64) -> Clients {
    let demand = Demand { rate, longest: 4 * S, surges: Vec::new(), floods: None };
    Clients::new(stream(3, 1), START, &settings(), &demand)
}

#[test]
fn a_fall_is_a_break_only_if_it_comes_from_gateways_that_knew() {
    let mut referee = referee();
    let by = |told| Pressure { calls: 9.0, told, ..Pressure::default() };
    referee.fell(START, ServerId(1), by(0.6));
    assert!(referee.broken.is_empty());
    referee.fell(START, ServerId(1), by(0.7));
    assert_eq!(referee.broken[&Rule::Cold].times, 1);
}

#[test]
fn quotas_and_ceilings_are_counted_over_all_gateways_with_the_slack() {
    let mut referee = referee();
    let mut of = clients(50.0).fresh(START, 0);
    // The large plan's ceiling holds 172 units, its slack is a tenth of that: 189.2 are allowed at once.
    (of.customer, of.units, of.true_units) = (1, 1.0, 1.0);
    for number in 0..190 {
        let no = referee.came(START, of.clone());
        assert!(referee.broken.is_empty(), "after {number}");
        referee.sent(START, GatewayId(number % 6), no, entry(1, None), None);
    }
    assert_eq!(referee.broken[&Rule::Ceilings].times, 1);
    let second = referee.seconds[0];
    assert_eq!((second.sent_units, second.over_units), (190.0, 190.0 - 97.0));
}

#[test]
fn an_unsafe_request_goes_out_again_only_once_it_is_proved_not_to_have_run() {
    for (outcome, breaks) in [(AttemptOutcome::Overloaded, false), (AttemptOutcome::ConnectionLost, true)] {
        let mut referee = referee();
        let mut of = clients(50.0).fresh(START, 0);
        (of.customer, of.class) = (0, ClassId(1));
        let no = referee.came(START, of);
        assert!(referee.sent(START, GatewayId(0), no, entry(1, None), None));
        referee.ended(no, AttemptNumber(0), outcome);
        assert!(referee.sent(START, GatewayId(0), no, entry(2, None), None));
        assert_eq!(referee.broken.contains_key(&Rule::Effects), breaks, "{outcome:?}");
        assert!(referee.answered(START, no, Verdict::Failed) && !referee.overdue(START, no));
        assert!(!referee.answered(START, no, Verdict::Failed));
        assert_eq!(referee.broken[&Rule::AnsweredTwice].times, 1);
        let tally = Tally { came: 1, failed: 1, ..Tally::default() };
        assert_eq!(referee.tallies[1][0], tally);
    }
}

#[test]
fn a_send_to_a_server_that_leaves_breaks_the_rule_after_the_grace() {
    for (late, breaks) in [(500_000, false), (500_001, true)] {
        let mut referee = referee();
        let mut of = clients(50.0).fresh(START, 0);
        of.customer = 0;
        let no = referee.came(START + late, of);
        referee.sent(START + late, GatewayId(0), no, entry(1, None), Some(START));
        assert_eq!(referee.broken.contains_key(&Rule::Drains), breaks);
    }
}

#[test]
fn a_gateway_is_told_all_that_it_missed_once_discovery_speaks_again() {
    let silent = Span { from: START + S, to: START + 9 * S };
    let list = vec![entry(1, None), entry(2, None)];
    let mut discovery = Discovery::new(stream(1, 2), list, 2, 0..4, vec![silent]);
    let (me, other) = (GatewayId(0), GatewayId(1));
    discovery.publish(Endpoint { state: EndpointState::Draining, ..entry(1, None) });
    discovery.publish(entry(3, Some(START)));
    assert!(!discovery.knows(me, ServerId(3)) && discovery.told_leaving(me, ServerId(1)).is_none());
    let Told::Later(until) = discovery.poll(START + 2 * S, me, None, false) else { panic!("silent") };
    assert!((silent.to..silent.to + 4).contains(&until));
    assert!(matches!(discovery.poll(START + 2 * S, me, None, true), Told::Fails));
    let Told::Event(Event::EndpointsUpdated { kind, endpoints: entries }) =
        discovery.poll(until, me, None, false)
    else {
        panic!("told")
    };
    assert_eq!((kind, entries.len()), (EndpointUpdate::Delta, 2));
    assert_eq!(discovery.told_leaving(me, ServerId(1)), Some(until));
    assert!(discovery.knows(me, ServerId(3)) && !discovery.knows(other, ServerId(3)));
    assert!(matches!(discovery.poll(until, me, None, false), Told::Nothing));
    assert!(
        matches!(discovery.poll(until, other, Some(until + S), false), Told::Later(at) if at >= until + S)
    );
    // A server that comes back leaves no more, and its new start is news.
    assert!(discovery.knows_start(me, ServerId(1)));
    discovery.publish(entry(1, Some(until)));
    assert!(discovery.knows(me, ServerId(1)) && !discovery.knows_start(me, ServerId(1)));
    discovery.poll(until, me, None, false);
    assert!(discovery.knows_start(me, ServerId(1)) && discovery.told_leaving(me, ServerId(1)).is_none());
    // One that starts anew has the list it had.
    let Event::EndpointsUpdated { kind: EndpointUpdate::Snapshot, endpoints: entries } =
        discovery.known(other)
    else {
        panic!("a list")
    };
    assert_eq!(entries.len(), 2);
}

#[test]
fn a_gateway_takes_in_no_more_messages_than_its_intake_and_a_cut_lets_none_through() {
    let weather = Weather { delay: 10..20, loss: 0.5, lossy: None, intake: 5.0 };
    let mut datagrams = Datagrams::new(stream(1, 3), START, weather, 2);
    let taken = (0..20).filter(|_| datagrams.takes(START, GatewayId(1), 100)).count();
    assert_eq!((taken, datagrams.traffic.dropped, datagrams.traffic.came[1]), (5, 15, (20, 2_000)));
    assert!(datagrams.takes(START + S, GatewayId(1), 100) && datagrams.takes(START, GatewayId(0), 1));
    let through = (0..1_000).filter(|_| datagrams.send(START, false).is_some()).count();
    assert!((400..600).contains(&through), "{through}");
    assert!((0..100).all(|_| datagrams.send(START, true).is_none()));
    let cuts = Cuts(vec![Cut { zone: ZoneId(1), span: Span { from: START, to: START + S } }]);
    let parted = |one, other, at| cuts.part(at, ZoneId(one), ZoneId(other));
    assert!(parted(1, 0, START) && parted(2, 1, START) && !parted(1, 1, START) && !parted(0, 2, START));
    assert!(!parted(1, 0, START + S) && cuts.until(START, ZoneId(1)) == Some(START + S));
}

#[test]
fn clients_ask_for_about_the_demand_through_their_own_gateways_unevenly() {
    let mut clients = clients(400.0);
    let steady = 400.0;
    let mut came = vec![0_u32; 6];
    let (mut tries, seconds) = (0_u32, 20);
    for customer in 0..clients.customers.len() {
        let mut now = START;
        while let Some(at) = clients.next(now, customer).filter(|at| *at < START + seconds * S) {
            now = at;
            tries += 1;
            let of = clients.fresh(now, customer);
            let Some(to) = clients.gateway(now, &of, 6, |_| false) else { panic!("a gateway") };
            let theirs = &clients.customers[customer];
            let turn = (to.0 + 6 - theirs.first.0) % 6;
            assert!(turn < theirs.spread && (0.5..=8.0).contains(&of.units));
            came[to.0 as usize] += 1;
            let elsewhere = clients.gateway(now, &of, 6, |node| node == to);
            assert!(elsewhere != Some(to));
        }
    }
    // Inside the quotas 400 a second are asked for; what goes beyond comes on top.
    let rate = f64::from(tries) / seconds as f64;
    assert!(rate > steady && rate < 3.0 * steady, "{rate}");
    assert!(came.iter().max() > came.iter().min(), "{came:?}");
}

#[test]
fn clients_come_again_once_by_advice_and_only_where_that_is_harmless() {
    let mut clients = clients(50.0);
    let mut of = clients.fresh(START, 0);
    (of.leaves, of.class) = (None, ClassId(1));
    let (at, again) = clients.again(START, &of, Heard::Refused(Some(70_000))).expect("again");
    assert_eq!((at, again.before, again.deadline), (START + 70_000, 1, of.deadline));
    assert!(clients.again(START, &again, Heard::Refused(None)).is_none(), "once");
    assert!(clients.again(START, &of, Heard::Failed).is_none(), "it may have run");
    assert!(clients.again(START, &of, Heard::Unreached).is_some());
    of.class = ClassId(0);
    assert!(clients.again(START, &of, Heard::Failed).is_some());
    assert!(clients.again(of.deadline, &of, Heard::Failed).is_none(), "too late");
}

#[test]
fn a_bucket_fills_at_its_rate_up_to_its_depth() {
    let mut bucket = Bucket::full(START, 2.0, 10.0);
    assert!(bucket.try_take(START, 9.0) && !bucket.try_take(START, 2.0));
    assert!(bucket.try_take(START + micros(0.5), 2.0));
    assert_eq!(bucket.take(START + S, 4.0), -3.0);
    assert_eq!((bucket.level(START + 60 * S), bucket.share(START + 60 * S)), (10.0, 1.0));
}
