//! `fleet-lab hybrid`: its invariants on scripted requests, and short runs with the edge node's real program.

#[path = "hybrid/invariant_checker.rs"]
mod invariant_checker;
#[path = "hybrid/report.rs"]
mod report;
#[path = "hybrid/runs.rs"]
mod runs;
