#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod bucket;
pub mod control;
mod event;
mod fuzzy;
pub mod load_report;
mod message;
mod ranked;
pub mod reconnect;
mod servers;
pub mod settings;
mod state;
mod subset;
mod types;

pub use action::Action;
pub use control::Gateway;
pub use event::Event;
pub use settings::{
    Class, DeduplicationScope, EndpointDiscovery, HardLimit, Idempotency, Permissions, Plan,
    ResolvedSettings, Rules, Settings, SettingsError,
};
pub use types::*;
