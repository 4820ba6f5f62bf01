//! Values that take effect only at a start. They are retained, so that a reload can name the keys
//! whose values have changed.

use super::keys::keys_of;
use super::locate::path_segments;
use super::spec::{KeySpec, OnReload};
use crate::config::file::ConfigFormat;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The values of all keys that require a restart, by the paths of the keys in the format of the
/// file. A key of list items has one value for each item.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RestartValues(BTreeMap<&'static str, Vec<Value>>);

impl RestartValues {
    /// Returns the values in a configuration in the platform's JSON, to which operators' TOML is
    /// translated. `format` is the format of the file.
    pub fn from_platform_json(format: ConfigFormat, json: &Value) -> RestartValues {
        let keys = keys_of(format).filter(|key| key.on_reload == OnReload::RequiresRestart);
        RestartValues(
            keys.map(|key| (key.path(format), values_of(key, json)))
                .collect(),
        )
    }

    /// Returns the paths of the keys whose values in `other` differ, in alphabetical order.
    pub fn changed_keys(&self, other: &RestartValues) -> Vec<&'static str> {
        let changed = self
            .0
            .iter()
            .filter(|(path, values)| other.0.get(*path) != Some(values));
        changed.map(|(path, _)| *path).collect()
    }
}

/// Returns the values of a key: one for each item if it is a key of list items, otherwise a single
/// one. The value is null where the key is absent.
fn values_of(key: &KeySpec, json: &Value) -> Vec<Value> {
    let mut found = vec![json];
    for segment in path_segments(key.json_path) {
        let entries = found.into_iter().map(|value| &value[segment.name]);
        found = if segment.is_list {
            entries
                .flat_map(|list| list.as_array().into_iter().flatten())
                .collect()
        } else {
            entries.collect()
        };
    }
    found.into_iter().cloned().collect()
}
