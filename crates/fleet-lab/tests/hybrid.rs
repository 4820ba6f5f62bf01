//! Tests of `fleet-lab hybrid`: the invariant checker on scripted requests, the comparison of
//! figures, and short runs with the edge node's real program.

#[path = "hybrid/invariant_checker.rs"]
mod invariant_checker;
#[path = "hybrid/report.rs"]
mod report;
#[path = "hybrid/runs.rs"]
mod runs;
mod support;
