//! `fleet-lab simulate`: the same seed gives the same bytes, a calm fleet keeps all rules, and the referee catches a gateway
//! that breaks one on purpose.

use edge_node::Gateway;
use edge_node::*;
use fleet_lab::simulate::{play, Asked, Decides, Experiment, Report};
use fleet_lab::world::invariant_checker::Rule;
use fleet_lab::Failure;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

fn asked(troubles: &[&str]) -> Asked {
    let troubles = troubles.iter().map(|name| (*name).to_owned()).collect();
    Asked { nodes: 20, servers: Some(14), seconds: 12, seed: 5, load: 0.5, troubles, settings: None }
}

fn played(asked: &Asked, fault: Fault) -> Report {
    let experiment = Experiment::new(asked).expect("a sound experiment");
    let make = |seed, settings: Settings, now| -> Result<Box<dyn Decides>, SettingsError> {
        Ok(Box::new(Faulty::new(Gateway::new(seed, settings.clone(), now)?, settings, fault)))
    };
    play(&experiment, make, &mut |_| {}, &mut |_| {}).expect("a play").report
}

fn times(report: &Report, rule: Rule) -> u64 {
    report.broken.get(&rule).map_or(0, |breaks| breaks.times)
}

// ---- A gateway that breaks a rule on purpose ----

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Sends to servers that drain, once it has known of that for long enough.
    Drained,
    /// Sends what the module refuses.
    Overrun,
    /// Sends all to the server that started last.
    Topple,
    /// Answers each refused request twice.
    AnswerTwice,
    /// Sends unsafe requests to two servers.
    RunTwice,
    /// Never gives up: takes back the module's refusals and failures.
    Silent,
    /// Sends once more after the end.
    SendLate,
}

/// The module, and what is done to its actions.
struct Faulty {
    inner: Gateway,
    settings: Settings,
    fault: Fault,
    known: BTreeMap<ServerId, (Endpoint, Micros)>,
    classes: BTreeMap<RequestId, ClassId>,
    /// Requests that were sent against the module's word: it does not know them any more.
    own: BTreeSet<RequestId>,
}

impl Faulty {
    fn new(inner: Gateway, settings: Settings, fault: Fault) -> Faulty {
        let (known, classes, own) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Faulty { inner, settings, fault, known, classes, own }
    }

    fn hears(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointsUpdated { endpoints: entries, .. } => {
                for entry in entries {
                    self.known.insert(entry.server, (*entry, now));
                }
            }
            Event::RequestReceived { id, class, .. } => {
                self.classes.insert(id.clone(), *class);
            }
            _ => {}
        }
    }

    fn standing(&self, state: EndpointState) -> impl Iterator<Item = &(Endpoint, Micros)> {
        self.known.values().filter(move |(entry, _)| entry.state == state)
    }

    /// Where a send goes in place of the module's choice.
    fn led_astray(&self, now: Micros) -> Option<ServerId> {
        let drained = || self.standing(EndpointState::Draining).find(|(_, told)| *told + 600_000 < now);
        let newest = || self.standing(EndpointState::Ready).max_by_key(|(entry, _)| entry.started_at);
        let to = match self.fault {
            Fault::Drained => drained(),
            Fault::Topple => newest().filter(|(entry, _)| entry.started_at.is_some()),
            _ => None,
        };
        to.map(|(entry, _)| entry.server)
    }

    fn tamper(&mut self, now: Micros, action: Action, out: &mut Vec<Action>) {
        let class = |id| self.classes.get(id).map(|class| self.settings.classes[class.0].idempotency);
        match (self.fault, action) {
            (Fault::Drained | Fault::Topple, Action::SendAttempt { id, server, timeout }) => {
                let server = self.led_astray(now).unwrap_or(server);
                out.push(Action::SendAttempt { id, server, timeout });
            }
            (Fault::Overrun, Action::Reject { id, .. }) => {
                let ready: Vec<_> =
                    self.standing(EndpointState::Ready).map(|(entry, _)| entry.server).collect();
                let server = ready[now as usize % ready.len()];
                self.own.insert(id.clone());
                out.push(Action::SendAttempt { id, server, timeout: None });
            }
            (Fault::AnswerTwice, refuse @ Action::Reject { .. }) => out.extend([refuse.clone(), refuse]),
            (Fault::RunTwice, Action::SendAttempt { id, server, timeout }) => {
                let twice = class(&id) == Some(Idempotency::NonIdempotent);
                out.push(Action::SendAttempt { id: id.clone(), server, timeout });
                let other = self.standing(EndpointState::Ready).map(|(entry, _)| entry.server);
                let other = other.filter(|_| twice).find(|other| *other != server);
                out.extend(other.map(|server| Action::SendAttempt { id, server, timeout }));
            }
            (Fault::Silent, Action::Reject { .. } | Action::Fail { .. }) => {}
            (Fault::SendLate, Action::Reject { id, retry_after }) => {
                out.push(Action::Reject { id: id.clone(), retry_after });
                let ready = self.standing(EndpointState::Ready).next().map(|(entry, _)| entry.server);
                out.extend(ready.map(|server| Action::SendAttempt { id, server, timeout: None }));
            }
            (_, action) => out.push(action),
        }
    }
}

impl Decides for Faulty {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.hears(now, &event);
        if let Event::AttemptFinished { id, closed, .. } = &event {
            if self.own.remove(id) && !closed {
                out.push(Action::Fail { id: id.clone() });
            }
        }
        let mut actions = Vec::new();
        self.inner.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.tamper(now, action, out));
    }
}

// ---- Plays ----

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_gives_others() {
    let all = ["burst", "hang", "slow", "drain", "kill", "cut", "silent", "cold", "restart"];
    let text = |seed| {
        let report = played(&Asked { seed, ..asked(&all) }, Fault::None);
        report.table() + &serde_json::to_string(&report).expect("a report")
    };
    let first = text(5);
    assert!(first == text(5), "seed 5 twice gives two reports");
    assert!(first != text(6), "seeds 5 and 6 give one report");
}

#[test]
fn a_small_calm_fleet_keeps_all_rules_and_serves() {
    let report = played(&asked(&["calm"]), Fault::None);
    assert!(report.broken.is_empty(), "{}", report.table());
    let all = report.all;
    assert_eq!(all.came, all.served + all.late + all.refused + all.failed + all.left, "{all:?}");
    assert!(all.served > 1_000 && all.died + all.unreached == 0, "{all:?}");
    assert!(report.messages.mean_per_s > 1.0 && report.messages.lost > 0, "{:?}", report.messages);
}

#[test]
fn each_rule_that_is_broken_on_purpose_is_caught_and_by_its_name() {
    let cases = [
        (Fault::Drained, "drain", Rule::Drains),
        (Fault::Overrun, "burst", Rule::Ceilings),
        (Fault::Topple, "cold", Rule::Cold),
        (Fault::AnswerTwice, "burst", Rule::AnsweredTwice),
        (Fault::RunTwice, "calm", Rule::Effects),
        (Fault::Silent, "burst", Rule::Lost),
        (Fault::SendLate, "burst", Rule::SentAfterEnd),
    ];
    for (fault, trouble, rule) in cases {
        let sound = played(&asked(&[trouble]), Fault::None);
        let faulty = played(&asked(&[trouble]), fault);
        assert_eq!(times(&sound, rule), 0, "{rule:?} without a fault\n{}", sound.table());
        assert!(times(&faulty, rule) > 0, "{fault:?} was not caught\n{}", faulty.table());
        if fault == Fault::Overrun {
            assert!(faulty.over_units > 4.0 * sound.over_units, "quotas\n{}", faulty.table());
        }
        if fault == Fault::Topple {
            assert!(faulty.cold.iter().any(|cold| cold.fell && cold.pressure.calls > cold.pressure.budget));
        }
    }
}

#[test]
fn gateways_that_die_lose_what_they_held_and_return() {
    let report = played(&asked(&["kill"]), Fault::None);
    assert!(report.broken.is_empty(), "{}", report.table());
    assert!(report.all.died > 0 && report.all.unreached > 0, "{}", report.table());
    let served = |range: std::ops::Range<usize>| -> u64 {
        report.seconds[range].iter().map(|second| second.tries.served).sum()
    };
    assert!(served(4..6) < served(1..3), "{}", report.table());
    assert!(served(10..12) > served(4..6), "{}", report.table());
}

#[test]
fn a_list_that_was_never_told_cannot_be_broken() {
    // While discovery is silent nobody knows that servers drain: none of these sends is a break.
    let report = played(&asked(&["silent"]), Fault::None);
    assert!(report.broken.is_empty(), "{}", report.table());
    assert!(times(&played(&asked(&["silent"]), Fault::Drained), Rule::Drains) > 0);
}

// ---- Arguments ----

#[test]
fn senseless_experiments_are_refused_in_one_line() {
    let one_zone = include_str!("../src/simulate/settings.json").replace(r#""a", "b", "c""#, r#""a""#);
    let cases: [(Asked, &str); 9] = [
        (Asked { nodes: 0, ..asked(&[]) }, "nodes"),
        (Asked { servers: Some(0), ..asked(&[]) }, "servers"),
        (Asked { seconds: 0, ..asked(&[]) }, "seconds"),
        (Asked { load: f64::NAN, ..asked(&[]) }, "load"),
        (asked(&["storm"]), "storm"),
        (asked(&["cut", "cut"]), "twice"),
        (asked(&["calm", "cut"]), "calm"),
        (Asked { settings: Some("[".to_owned()), ..asked(&[]) }, "settings"),
        (Asked { settings: Some(one_zone), ..asked(&["cut"]) }, "zones"),
    ];
    for (asked, word) in cases {
        let Err(Failure::Senseless(why)) = Experiment::new(&asked) else { panic!("taken: {asked:?}") };
        assert!(why.contains(word) && !why.contains('\n'), "{why}");
    }
}

#[test]
fn the_command_ends_with_2_and_one_line_on_bad_arguments() {
    for bad in [["--trouble", "storm"], ["--nodes", "0"], ["--settings", "no/such/file"], ["--json", "."]] {
        let ran = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
            .arg("simulate")
            .args(bad)
            .output()
            .expect("it starts");
        let said = String::from_utf8(ran.stderr).expect("text");
        assert_eq!((ran.status.code(), said.lines().count()), (Some(2), 1), "{bad:?}: {said}");
        assert!(ran.stdout.is_empty());
    }
}

#[test]
fn the_command_writes_its_report_and_a_plot_and_both_are_the_same_again() {
    let folder = std::env::temp_dir().join(format!("fleet-lab-simulate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let run = |name: &str| {
        let file = |end: &str| folder.join(format!("{name}.{end}"));
        let ran = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
            .args(["simulate", "--nodes", "4", "--servers", "3", "--seconds", "3", "--trouble", "hang"])
            .arg("--json")
            .arg(file("json"))
            .arg("--plot")
            .arg(file("svg"))
            .output()
            .expect("it starts");
        assert!(ran.status.success(), "{}", String::from_utf8_lossy(&ran.stderr));
        let read = |end: &str| std::fs::read_to_string(file(end)).expect("a file");
        (ran.stdout, read("json"), read("svg"))
    };
    let (first, again) = (run("first"), run("again"));
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    assert_eq!(first, again);
    let report: serde_json::Value = serde_json::from_str(&first.1).expect("JSON");
    assert!(report["all"]["served"].as_u64() > Some(10) && report.get("host").is_none(), "{report}");
    assert!(first.2.contains("<svg") && first.2.contains("beyond quotas"));
}
