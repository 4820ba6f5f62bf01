//! Test support of the decision library: settings, a harness around one gateway, and a simulated
//! fleet of such harnesses.
#![allow(dead_code, unused_imports)]

pub(crate) mod fleet;
mod harness;
mod request_log;
mod settings;

pub(crate) use harness::{count_sent, ready_endpoint, GatewayHarness, InFlightAttempt};
pub(crate) use settings::*;

use gateway_core::CustomerId;

/// An instant on the clock of a test, or a time span, in microseconds.
pub(crate) type Micros = u64;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// The customer of tests that need only one.
pub(crate) const CUSTOMER: CustomerId = CustomerId(7);
