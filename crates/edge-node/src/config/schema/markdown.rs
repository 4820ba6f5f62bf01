//! The Markdown table of all configuration keys, which `edge-node keys` prints and
//! docs/CONFIGURATION.md contains.

use super::keys::all_keys;
use super::spec::{DefaultValue, KeySpec, OnReload, ValueType};
use crate::config::file::ConfigFormat;

const HEADER: &str = "| key | description | type | default | at SIGHUP | platform's JSON |\n\
                      | --- | --- | --- | --- | --- | --- |\n";

/// Returns a Markdown table with one row for each key, in the order of docs/CONFIGURATION.md.
pub fn markdown_table() -> String {
    let rows = all_keys().map(table_row);
    std::iter::once(HEADER.to_owned()).chain(rows).collect()
}

fn table_row(key: &KeySpec) -> String {
    let KeySpec {
        toml_path,
        description,
        ..
    } = key;
    let value_type = type_description(key.value_type);
    let default = default_description(key.default);
    let on_reload = match key.on_reload {
        OnReload::Applied => "applied",
        OnReload::RequiresRestart | OnReload::Ignored => "at the next start",
    };
    let json_path = if key.is_in(ConfigFormat::PlatformJson) {
        format!("`{}`", key.json_path)
    } else {
        "-".to_owned()
    };
    format!("| `{toml_path}` | {description} | {value_type} | {default} | {on_reload} | {json_path} |\n")
}

fn type_description(value_type: ValueType) -> String {
    match value_type {
        ValueType::String => "string".to_owned(),
        ValueType::StringList => "list of strings".to_owned(),
        ValueType::Address => "IP address with port".to_owned(),
        ValueType::AddressList => "list of IP addresses with ports".to_owned(),
        ValueType::Boolean => "`true` or `false`".to_owned(),
        ValueType::Integer { min, max } => format!("integer, {min} to {max}"),
        ValueType::Number { min, max } => format!("number, {min} to {max}"),
        ValueType::Milliseconds { min, max } => format!("ms, {min} to {max}"),
        ValueType::Choice(choices) => {
            let names: Vec<String> = choices
                .iter()
                .map(|choice| format!("`{}`", choice.toml))
                .collect();
            names.join(", ")
        }
    }
}

fn default_description(default: DefaultValue) -> String {
    match default {
        DefaultValue::Required => "required".to_owned(),
        DefaultValue::Integer(number) => number.to_string(),
        DefaultValue::Number(number) | DefaultValue::Milliseconds(number) => number.to_string(),
        DefaultValue::Boolean(boolean) => boolean.to_string(),
        DefaultValue::Choice(name) => format!("`{name}`"),
        DefaultValue::Absent { meaning } => meaning.to_owned(),
    }
}
