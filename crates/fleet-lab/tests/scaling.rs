//! `fleet-lab scaling` as a command: its counts are bounded, its reports can be read back, and it
//! exits with status 2 if arguments are invalid.

use fleet_lab::scaling::{CostCurve, Dimension, Report};
use std::path::PathBuf;
use std::process::{Command, Output};

/// Splits a line of arguments at whitespace.
fn split_arguments(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

fn run_scaling(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .arg("scaling")
        .args(args)
        .output()
        .expect("fleet-lab should start")
}

/// Returns the path of an output file, whose name is used by one test only.
fn output_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs the command with the given arguments, and returns the report that it writes as JSON.
fn run_and_read_report(name: &str, args: &str) -> Report {
    let path = output_path(name);
    let json = path.to_str().expect("path should be UTF-8");
    let run = run_scaling(&[&split_arguments(args)[..], &["--json", json]].concat());
    assert!(
        run.status.success(),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let text = std::fs::read_to_string(&path).expect("report file should be readable");
    serde_json::from_str(&text).expect("report should be valid JSON")
}

fn find_curve<'a>(report: &'a Report, name: &str, dimension: Dimension) -> &'a CostCurve {
    let is_named = |curve: &&CostCurve| curve.name == name && curve.dimension == dimension;
    report
        .curves
        .iter()
        .find(is_named)
        .expect("curve should have been measured")
}

/// Returns the greatest value of a figure over all sizes and repeats.
fn maximum(curve: &CostCurve, figure: &str) -> f64 {
    curve
        .points
        .iter()
        .map(|point| point.figures[figure].max)
        .fold(0.0, f64::max)
}

#[test]
fn request_in_large_fleet_sends_at_most_one_lease_request_and_one_grant() {
    let measurements = "--only request --only datagram --repeats 2 --most 1000";
    let sizes = "--over servers --over gateways --customers 100 --spread 12";
    let report = run_and_read_report("large.json", &format!("{measurements} {sizes}"));
    for (name, min_bytes) in [("request", 19.0), ("datagram", 7.0)] {
        let curve = find_curve(&report, name, Dimension::Servers);
        assert_eq!(curve.points.len(), 4, "14, 60, 200 and 1,000 servers");
        for point in &curve.points {
            let messages = point.figures["messages"];
            // Requests that are covered by units on lease need no lease request; a lease request is
            // always answered.
            let min_messages = if name == "request" { 0.1 } else { 1.0 };
            assert!(
                messages.min >= min_messages && messages.max <= 1.0,
                "{name}, {} servers: {messages:?}",
                point.size
            );
            assert!(
                point.figures["sent_bytes"].min >= min_bytes * messages.min,
                "{name}, {} servers",
                point.size
            );
        }
        assert!(
            maximum(curve, "longest_bytes") <= 256.0,
            "a datagram is at most 256 bytes long"
        );
        assert!(
            maximum(curve, "sent_bytes") <= 64.0,
            "a lease request or its grant, with six health reports, is at most 64 bytes long"
        );
        assert!(
            maximum(curve, "allocations") <= 32.0,
            "{}",
            maximum(curve, "allocations")
        );
    }
    // Small fleets have no leases; their usage counts are broadcast when due, not with a request.
    let curve = find_curve(&report, "request", Dimension::Gateways);
    for point in &curve.points {
        let lease_requests = point.figures["messages"].median;
        let is_expected = if point.size < 60 {
            lease_requests == 0.0
        } else {
            lease_requests > 0.0 && lease_requests <= 1.0
        };
        assert!(
            is_expected,
            "{} gateways: {lease_requests} lease requests a request",
            point.size
        );
    }
}

/// A gateway visits the servers that it uses or receives health reports of, seven in a fleet of
/// this size, but not all listed servers.
#[test]
fn visited_servers_stay_bounded_as_list_grows() {
    let measurements = "--only request --only datagram --only entry --only tick --over servers";
    let sizes = "--gateways 4200 --repeats 1 --most 5000 --customers 100 --spread 12";
    let report = run_and_read_report("visited.json", &format!("{measurements} {sizes}"));
    for (name, bound) in [
        ("request", 100.0),
        ("datagram", 50.0),
        ("entry", 2.0),
        ("tick", 200.0),
    ] {
        let points = &find_curve(&report, name, Dimension::Servers).points;
        let visited = |size| {
            points
                .iter()
                .find(|point| point.size == size)
                .expect("size should have been measured")
                .figures["visited"]
                .max
        };
        assert!(
            visited(1_000) <= bound && visited(5_000) <= bound,
            "{name}: {} {}",
            visited(1_000),
            visited(5_000)
        );
        assert!(
            visited(5_000) > 0.0,
            "{name}: visited servers should be counted"
        );
    }
}

#[test]
fn memory_report_reads_back_with_bounded_bytes_each() {
    let args = "--only memory-customers --only memory-servers --repeats 3 --most 1000";
    let report = run_and_read_report("memory.json", args);
    assert_eq!((report.seed, report.repeats), (1, 3));
    assert_eq!(report.curves.len(), 2);
    for curve in &report.curves {
        for point in &curve.points {
            let each = point.figures["each_bytes"];
            assert!(each.min <= each.median && each.median <= each.max);
            assert!(
                (64.0..1024.0).contains(&each.median),
                "{} bytes each of {}",
                each.median,
                curve.name
            );
        }
    }
}

#[test]
fn json_list_length_is_proportional_to_server_count() {
    let report = run_and_read_report("feed.json", "--only feed --repeats 1 --most 1000");
    for point in &find_curve(&report, "feed", Dimension::Servers).points {
        let (list, entry) = (
            point.figures["list_bytes"].median,
            point.figures["entry_bytes"].median,
        );
        // The JSON object around the entries is part of both lengths, but only once in that of the
        // list.
        let (minimum, maximum) = (0.7 * entry * point.size as f64, entry * point.size as f64);
        assert!(
            (minimum..maximum).contains(&list),
            "{list} bytes of {} servers",
            point.size
        );
    }
}

#[test]
fn plot_is_svg_with_panel_for_each_curve() {
    let path = output_path("plot.svg");
    let plot = path.to_str().expect("path should be UTF-8");
    let run = run_scaling(
        &[
            &split_arguments("--only entry --only list --repeats 1 --most 200")[..],
            &["--plot", plot],
        ]
        .concat(),
    );
    assert!(
        run.status.success(),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let svg = std::fs::read_to_string(path).expect("plot file should be readable");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for panel in ["entry over servers", "list over servers"] {
        assert!(svg.contains(panel), "{panel}");
    }
}

#[test]
fn same_seed_yields_same_counts() {
    let args = "--only request --repeats 1 --most 60 --seed 7 --customers 100";
    let counted = |report: Report| -> Vec<_> {
        let points = report.curves.into_iter().flat_map(|curve| curve.points);
        let figures = points.flat_map(|point| point.figures);
        figures.filter(|(name, _)| name != "time_us").collect()
    };
    let (first, second) = (
        run_and_read_report("first.json", args),
        run_and_read_report("second.json", args),
    );
    assert_eq!(counted(first), counted(second));
}

#[test]
fn invalid_arguments_exit_with_status_2_and_one_line() {
    let invalid: [&[&str]; 11] = [
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
    for args in invalid {
        let run = run_scaling(args);
        let stderr = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(
            stderr.starts_with("fleet-lab: ") && stderr.lines().count() == 1,
            "{args:?}: {stderr}"
        );
        assert!(run.stdout.is_empty(), "{args:?}");
    }
}

#[test]
fn plot_without_processor_time_exits_with_status_1() {
    let path = output_path("none.svg");
    let plot = path.to_str().expect("path should be UTF-8");
    let run = run_scaling(
        &[
            &split_arguments("--only memory-gateways --repeats 1 --most 60")[..],
            &["--plot", plot],
        ]
        .concat(),
    );
    assert_eq!(
        run.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
}
