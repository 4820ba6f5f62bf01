//! The table of all keys, in the order of docs/CONFIGURATION.md.

mod fleet;
mod node;
mod policy;
mod traffic;

pub(crate) use node::MIN_FILE_DESCRIPTORS;

use super::spec::{KeySpec, ListPaths};
use crate::config::file::ConfigFormat;

/// All keys, by the tables of operators' files.
const KEY_GROUPS: [&[KeySpec]; 7] = [
    node::NODE,
    fleet::FLEET,
    fleet::PEERS,
    traffic::REQUESTS,
    traffic::SERVERS,
    policy::CLASSES,
    policy::PLANS,
];

/// The list of classes.
pub(super) const CLASS_LIST: ListPaths = ListPaths {
    toml: "classes",
    json: "settings.classes",
};
/// The list of plans.
pub(super) const PLAN_LIST: ListPaths = ListPaths {
    toml: "plans",
    json: "settings.packages",
};
/// Lists of which a configuration needs at least one item.
pub(super) const REQUIRED_LISTS: [ListPaths; 2] = [CLASS_LIST, PLAN_LIST];

/// All keys, in the order of the page.
pub(super) fn all_keys() -> impl Iterator<Item = &'static KeySpec> {
    KEY_GROUPS.into_iter().flatten()
}

/// The keys that a format has, in the order of the page.
pub(super) fn keys_of(format: ConfigFormat) -> impl Iterator<Item = &'static KeySpec> {
    all_keys().filter(move |key| key.is_in(format))
}
