//! Translates operators' TOML to the platform's JSON, and inserts the defaults.

use super::keys::all_keys;
use super::locate::{locate, path_segments};
use super::spec::{Choice, DefaultValue, KeySpec, ValueType};
use crate::config::file::{ConfigFormat, ConfigItem, ConfigValue};
use serde_json::{json, Map, Value};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Translates a configuration in operators' TOML, which must be valid, to the platform's JSON.
pub fn to_platform_json(root: &ConfigItem) -> Value {
    let mut json = Value::Object(Map::new());
    for key in all_keys() {
        for location in locate(root, key.toml_path) {
            let value = match location.item {
                Some(item) => json_value(key.value_type, item),
                None => default_value(key),
            };
            if let Some(value) = value {
                insert(&mut json, key.json_path, &location.indexes, value);
            }
        }
    }
    json
}

/// Returns a value in the units and names of the platform's JSON; `None` if its type is not that of
/// the key.
fn json_value(value_type: ValueType, item: &ConfigItem) -> Option<Value> {
    let value = match (value_type, &item.value) {
        (ValueType::Choice(choices), ConfigValue::String(name)) => json!(json_name(choices, name)?),
        (ValueType::Milliseconds { .. }, _) => json!(to_micros(item.as_number()?)),
        (ValueType::Number { .. }, _) => json!(item.as_number()?),
        (_, ConfigValue::String(text)) => json!(text),
        (_, ConfigValue::Integer(number)) => json!(u64::try_from(*number).ok()?),
        (_, ConfigValue::Boolean(boolean)) => json!(boolean),
        (_, ConfigValue::List(_)) => json!(item.strings()),
        _ => return None,
    };
    Some(value)
}

/// Returns the default of a key in the units and names of the platform's JSON; `None` if the key
/// stays absent.
fn default_value(key: &KeySpec) -> Option<Value> {
    match (key.default, key.value_type) {
        (DefaultValue::Integer(number), _) => Some(json!(number)),
        (DefaultValue::Number(number), _) => Some(json!(number)),
        (DefaultValue::Milliseconds(millis), _) => Some(json!(to_micros(millis))),
        (DefaultValue::Boolean(boolean), _) => Some(json!(boolean)),
        (DefaultValue::Choice(name), ValueType::Choice(choices)) => {
            json_name(choices, name).map(|name| json!(name))
        }
        _ => None,
    }
}

/// Returns the name in the platform's JSON of the choice that has this name in operators' TOML.
fn json_name(choices: &[Choice], name: &str) -> Option<&'static str> {
    let choice = choices
        .iter()
        .find(|choice| choice.name(ConfigFormat::Toml) == name);
    choice.map(|choice| choice.name(ConfigFormat::PlatformJson))
}

fn to_micros(millis: f64) -> u64 {
    (millis * MICROS_PER_MILLI).round() as u64
}

/// Sets the value at a path, and creates the objects and lists of the path that are missing.
/// `indexes` are the indexes in the lists of the path, from the outermost list.
fn insert(root: &mut Value, path: &str, indexes: &[usize], value: Value) {
    let mut indexes = indexes.iter();
    let mut target = root;
    for segment in path_segments(path) {
        target = entry_mut(target, segment.name);
        let index = if segment.is_list {
            indexes.next()
        } else {
            None
        };
        if let Some(index) = index {
            target = element_mut(target, *index);
        }
    }
    *target = value;
}

/// Returns the entry of an object, and creates the object and the entry if they are missing.
fn entry_mut<'a>(value: &'a mut Value, name: &str) -> &'a mut Value {
    if !value.is_object() {
        *value = Value::Object(Map::new());
    }
    &mut value[name]
}

/// Returns the element of a list, and creates the list or extends it with nulls if it has no such
/// element.
fn element_mut(value: &mut Value, index: usize) -> &mut Value {
    let mut elements = match value.take() {
        Value::Array(elements) => elements,
        _ => Vec::new(),
    };
    if elements.len() <= index {
        elements.resize(index + 1, Value::Null);
    }
    *value = Value::Array(elements);
    &mut value[index]
}
