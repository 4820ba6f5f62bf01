//! The decision logic of an edge node, a gateway between clients and a fleet of servers: which
//! requests are admitted, to which server each attempt is sent, and which requests are retried or
//! rejected.
//!
//! The library does no I/O and reads no clock. The embedding program passes each [`Event`] with its
//! [`Timestamp`] to [`Gateway::handle`], and carries out the [`Action`]s that the call returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod event;
mod fuzzy_inference;
mod gateway;
mod hash;
pub mod load_report;
mod message;
pub mod policy;
pub mod reconnect;
pub mod settings;
mod state;
mod statistics;
mod time;
mod types;
mod units;
mod warning;

pub use action::Action;
pub use event::Event;
pub use gateway::Gateway;
pub use settings::{
    Class, DeduplicationScope, EndpointDiscovery, HardLimit, Idempotency, Permissions, Plan,
    ResolvedSettings, ServerRules, Settings, SettingsError,
};
pub use state::quota::CustomerLimit;
pub use time::{DurationExt, Timestamp};
pub use types::*;
pub use units::Units;
pub use warning::Warning;
