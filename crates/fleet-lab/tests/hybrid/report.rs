//! Tests of the comparison of real and hollow nodes.

use fleet_lab::hybrid::node_totals::NodeTotals;
use fleet_lab::hybrid::observed_request::ReceivedAnswer;
use fleet_lab::hybrid::report::Report;
use fleet_lab::world::final_answer::FinalAnswer;
use std::time::Duration;

const SERVED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Served);
const REJECTED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Rejected);
const FAILED: ReceivedAnswer = ReceivedAnswer::Genuine(FinalAnswer::Failed);

/// Returns the totals of nodes that were sent 400 requests, served every other one and rejected the
/// rest.
fn totals(messages: u64, wait: Duration) -> NodeTotals {
    let mut totals = NodeTotals::new().expect("histogram of waits should be created");
    for number in 0..400 {
        let answer = if number % 2 == 0 { SERVED } else { REJECTED };
        totals.count(Some(answer), wait);
    }
    totals.messages = messages;
    totals.bytes = messages * 50;
    totals.cost_us = messages as f64;
    totals
}

#[test]
fn figures_further_apart_than_factor_and_chance_are_problems() {
    let problems = |real: &NodeTotals, hollow: &NodeTotals| {
        Report::new(real, hollow, 2.0, Vec::new()).problems()
    };
    let even = totals(1000, Duration::from_millis(50));
    assert!(problems(&even, &totals(1900, Duration::from_millis(90))).is_empty());
    assert_eq!(
        problems(&even, &totals(3000, Duration::from_millis(50))).len(),
        2,
        "messages and bytes differ"
    );
    assert_eq!(
        problems(&totals(1000, Duration::from_millis(150)), &even).len(),
        2,
        "both waits differ"
    );
    let mut failing = totals(1000, Duration::from_millis(50));
    for _ in 0..1200 {
        failing.count(Some(FAILED), Duration::ZERO);
    }
    failing.messages *= 4;
    failing.bytes *= 4;
    assert_eq!(
        problems(&even, &failing).len(),
        3,
        "the fractions of served, rejected and failed requests differ"
    );
    let mut long = totals(1000, Duration::from_millis(50));
    long.too_long = 1;
    assert_eq!(problems(&even, &long).len(), 1, "one datagram is too long");
    assert!(
        problems(
            &totals(0, Duration::from_millis(50)),
            &totals(0, Duration::from_millis(50))
        )
        .is_empty(),
        "neither kind sent a message"
    );
}
