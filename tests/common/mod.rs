//! What the tests of the decision library share: settings, a harness around one gateway, and a fleet of them.
#![allow(dead_code, unused_imports)]

pub mod fleet;
mod harness;
mod request_log;
mod settings;

pub use harness::{count_sent, ready_endpoint, GatewayHarness, InFlightAttempt};
pub use settings::*;

use edge_node::{CustomerId, Micros};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// The customer of tests that need only one.
pub const CUSTOMER: CustomerId = CustomerId(7);
