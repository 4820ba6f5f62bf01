//! The decisions of an edge node (a gateway), without input, output or clock: [`Event`]s and the time go in, [`Action`]s
//! come out of [`Gateway::handle`].
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
    ResolvedSettings, Rules, Settings, SettingsError,
};
pub use time::Timestamp;
pub use types::*;
pub use units::Units;
pub use warning::Warning;
