//! All keys of a configuration, in the order of docs/CONFIGURATION.md.

mod fleet;
mod node;
mod policy;
mod traffic;

pub(crate) use node::MIN_FILE_DESCRIPTORS;

use super::spec::{KeySpec, ListPaths};
use crate::config::file::ConfigFormat;

/// All keys, grouped by the tables of operators' TOML.
const KEY_GROUPS: [&[KeySpec]; 7] = [
    node::NODE,
    fleet::FLEET,
    fleet::PEERS,
    traffic::REQUESTS,
    traffic::SERVERS,
    policy::CLASSES,
    policy::PLANS,
];

pub(super) const CLASS_LIST: ListPaths = ListPaths {
    toml: "classes",
    json: "settings.classes",
};
pub(super) const PLAN_LIST: ListPaths = ListPaths {
    toml: "plans",
    json: "settings.packages",
};
/// Lists that must have at least one item.
pub(super) const REQUIRED_LISTS: [ListPaths; 2] = [CLASS_LIST, PLAN_LIST];

/// Returns all keys, in the order of docs/CONFIGURATION.md.
pub(super) fn all_keys() -> impl Iterator<Item = &'static KeySpec> {
    KEY_GROUPS.into_iter().flatten()
}

/// Returns the keys that a format has, in the order of docs/CONFIGURATION.md.
pub(super) fn keys_of(format: ConfigFormat) -> impl Iterator<Item = &'static KeySpec> {
    all_keys().filter(move |key| key.is_in(format))
}
