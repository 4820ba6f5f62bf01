//! What the tests of the decision library share: settings, a harness around one gateway, and a
//! fleet of them.
#![allow(dead_code, unused_imports)]

pub(crate) mod fleet;
mod harness;
mod request_log;
mod settings;

pub(crate) use harness::{count_sent, ready_endpoint, GatewayHarness, InFlightAttempt};
pub(crate) use settings::*;

use gateway_core::CustomerId;

/// Time on the clock of a test, in microseconds.
pub(crate) type Micros = u64;

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;

/// The customer of tests that need only one.
pub(crate) const CUSTOMER: CustomerId = CustomerId(7);
