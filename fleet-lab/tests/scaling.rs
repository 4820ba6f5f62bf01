//! `fleet-lab scaling` from outside: what it counts is bounded, what it writes reads back, what makes no sense ends with 2.

use fleet_lab::scaling::{Over, Report, Slope};
use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-lab")).arg("scaling").args(args).output().expect("the lab runs")
}

/// A file of this test alone.
fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs the lab and reads what it wrote.
fn report(name: &str, args: &[&str]) -> Report {
    let file = file(name);
    let json = file.to_str().expect("a plain path");
    let run = lab(&[args, &["--json", json]].concat());
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    let text = std::fs::read_to_string(&file).expect("the file is written");
    serde_json::from_str(&text).expect("it reads back")
}

fn slope<'a>(report: &'a Report, name: &str, over: Over) -> &'a Slope {
    let named = |slope: &&Slope| slope.name == name && slope.over == over;
    report.slopes.iter().find(named).expect("it was measured")
}

/// The most of a figure over all sizes and repeats.
fn most(slope: &Slope, figure: &str) -> f64 {
    slope.points.iter().map(|point| point.figures[figure].max).fold(0.0, f64::max)
}

#[test]
fn a_request_in_a_large_fleet_costs_one_ask_and_one_answer_at_most_whatever_the_size() {
    let what = ["--only", "request", "--only", "datagram", "--repeats", "2", "--most", "1000"];
    let over = ["--over", "servers", "--over", "gateways", "--customers", "100", "--spread", "12"];
    let report = report("large.json", &[what, over].concat());
    for (name, least) in [("request", 19.0), ("datagram", 7.0)] {
        let over = slope(&report, name, Over::Servers);
        assert_eq!(over.points.len(), 4, "14, 60, 200 and 1,000 servers");
        for point in &over.points {
            let messages = point.figures["messages"];
            // What is on lease goes without an ask; an ask is answered, always.
            let fewest = if name == "request" { 0.1 } else { 1.0 };
            assert!(
                messages.min >= fewest && messages.max <= 1.0,
                "{name}, {} servers: {messages:?}",
                point.size
            );
            assert!(
                point.figures["sent_bytes"].min >= least * messages.min,
                "{name}, {} servers",
                point.size
            );
        }
        assert!(most(over, "longest_bytes") <= 256.0, "a datagram has room for 256 bytes");
        assert!(most(over, "sent_bytes") <= 64.0, "an ask or its answer, with six rumours");
        assert!(most(over, "allocations") <= 32.0, "{}", most(over, "allocations"));
    }
    // Small fleets ask nobody; what they tell is told to all, when it is due.
    let over = slope(&report, "request", Over::Gateways);
    for point in &over.points {
        let asks = point.figures["messages"].median;
        let fits = if point.size < 60 { asks == 0.0 } else { asks > 0.0 && asks <= 1.0 };
        assert!(fits, "{} gateways: {asks} asks a request", point.size);
    }
}

/// Looked at are the servers that the gateway uses or hears of, seven in so large a fleet, not all that are listed.
#[test]
fn a_request_and_a_changed_entry_look_at_no_more_servers_where_more_are_listed() {
    let what =
        ["--only", "request", "--only", "datagram", "--only", "entry", "--only", "tick", "--over", "servers"];
    let sizes =
        ["--gateways", "4200", "--repeats", "1", "--most", "5000", "--customers", "100", "--spread", "12"];
    let report = report("visited.json", &[&what[..], &sizes].concat());
    for (name, bound) in [("request", 100.0), ("datagram", 50.0), ("entry", 2.0), ("tick", 200.0)] {
        let points = &slope(&report, name, Over::Servers).points;
        let visited =
            |size| points.iter().find(|point| point.size == size).expect("it").figures["visited"].max;
        assert!(
            visited(1_000) <= bound && visited(5_000) <= bound,
            "{name}: {} {}",
            visited(1_000),
            visited(5_000)
        );
        assert!(visited(5_000) > 0.0, "{name}: it is counted");
    }
}

#[test]
fn memory_grows_in_step_and_reads_back_with_its_spread() {
    let args = ["--only", "memory-customers", "--only", "memory-servers", "--repeats", "3", "--most", "1000"];
    let report = report("memory.json", &args);
    assert_eq!((report.seed, report.repeats), (1, 3));
    assert_eq!(report.slopes.len(), 2);
    for slope in &report.slopes {
        for point in &slope.points {
            let each = point.figures["each_bytes"];
            assert!(each.min <= each.median && each.median <= each.max);
            assert!((64.0..1024.0).contains(&each.median), "{} bytes each of {}", each.median, slope.name);
        }
    }
}

#[test]
fn a_list_as_text_grows_in_step() {
    let report = report("feed.json", &["--only", "feed", "--repeats", "1", "--most", "1000"]);
    for point in &slope(&report, "feed", Over::Servers).points {
        let (list, entry) = (point.figures["list_bytes"].median, point.figures["entry_bytes"].median);
        // All but the first entry share the words around them.
        let (least, most) = (0.7 * entry * point.size as f64, entry * point.size as f64);
        assert!((least..most).contains(&list), "{list} bytes of {} servers", point.size);
    }
}

#[test]
fn a_plot_is_an_svg_with_a_panel_for_each_slope() {
    let file = file("plot.svg");
    let path = file.to_str().expect("a plain path");
    let run = lab(&["--only", "entry", "--only", "list", "--repeats", "1", "--most", "200", "--plot", path]);
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    let svg = std::fs::read_to_string(file).expect("the file is written");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for panel in ["entry over servers", "list over servers"] {
        assert!(svg.contains(panel), "{panel}");
    }
}

#[test]
fn the_same_seed_counts_the_same() {
    let args = ["--only", "request", "--repeats", "1", "--most", "60", "--seed", "7", "--customers", "100"];
    let counted = |report: Report| -> Vec<_> {
        let points = report.slopes.into_iter().flat_map(|slope| slope.points);
        let figures = points.flat_map(|point| point.figures);
        figures.filter(|(name, _)| name != "time_us").collect()
    };
    let (one, two) = (report("one.json", &args), report("two.json", &args));
    assert_eq!(counted(one), counted(two));
}

#[test]
fn arguments_that_make_no_sense_end_with_2_and_one_plain_line() {
    let senseless: [&[&str]; 11] = [
        &["--only", "colour"],
        &["--repeats", "0"],
        &["--repeats", "many"],
        &["--gateways", "1"],
        &["--gateways", "70000"],
        &["--servers", "0"],
        &["--customers", "3"],
        &["--only", "entry", "--most", "2"],
        &["--sped", "3"],
        &["--over", "colours"],
        &["--only", "list", "--over", "customers"],
    ];
    for args in senseless {
        let run = lab(args);
        let said = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(2), "{args:?}: {said}");
        assert!(said.starts_with("fleet-lab: ") && said.lines().count() == 1, "{args:?}: {said}");
        assert!(run.stdout.is_empty(), "{args:?}");
    }
}

#[test]
fn a_plot_of_what_has_no_time_fails_with_1() {
    let file = file("none.svg");
    let path = file.to_str().expect("a plain path");
    let run = lab(&["--only", "memory-gateways", "--repeats", "1", "--most", "60", "--plot", path]);
    assert_eq!(run.status.code(), Some(1), "{}", String::from_utf8_lossy(&run.stderr));
}
