//! Parses configuration files in either format into a tree of items with line numbers.

mod line_index;
mod parse_json;
mod parse_toml;

use super::error::Diagnostic;
use std::path::Path;

/// The format of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFormat {
    /// TOML that operators write.
    Toml,
    /// JSON that the platform writes.
    PlatformJson,
}

impl ConfigFormat {
    /// Returns the format that the file name extension indicates; without a known extension, JSON
    /// if the text begins with `{`, and TOML otherwise.
    pub fn detect(path: &Path, text: &str) -> ConfigFormat {
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("toml") => ConfigFormat::Toml,
            Some("json") => ConfigFormat::PlatformJson,
            _ if text.trim_start().starts_with('{') => ConfigFormat::PlatformJson,
            _ => ConfigFormat::Toml,
        }
    }
}

/// An item of a configuration file: a table, a list or a single value.
#[derive(Debug, PartialEq)]
pub struct ConfigItem {
    /// Number of the line on which the item begins, from 1.
    pub line: usize,
    /// The parsed value, not yet checked against the type and range of its key.
    pub value: ConfigValue,
}

/// The value of an item, by the type that it has in the file.
#[derive(Debug, PartialEq)]
pub enum ConfigValue {
    /// A table: names with their items, in the order of the parser. JSON allows duplicate names.
    Table(Vec<(String, ConfigItem)>),
    /// A list, whose items may differ in type.
    List(Vec<ConfigItem>),
    /// A string, without its quotes and with its escapes resolved.
    String(String),
    /// An integer, in a type that is wider than the range of any key.
    Integer(i128),
    /// A number that is not an integer, or is written as a float.
    Float(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// The `null` of JSON; TOML has no such value.
    Null,
    /// A value of a type that no key has, such as a date in TOML.
    Unsupported,
}

impl ConfigItem {
    /// Returns the first entry of that name; `None` if the item is not a table or has no such
    /// entry.
    pub fn get(&self, name: &str) -> Option<&ConfigItem> {
        let ConfigValue::Table(entries) = &self.value else {
            return None;
        };
        entries
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, item)| item)
    }

    /// Returns the string; `None` if the item is not a string.
    pub fn as_str(&self) -> Option<&str> {
        match &self.value {
            ConfigValue::String(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the integer; `None` if the item is not an integer.
    pub fn as_integer(&self) -> Option<i128> {
        match self.value {
            ConfigValue::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the integer or float as a float; `None` if the item is not a number.
    pub fn as_number(&self) -> Option<f64> {
        match self.value {
            ConfigValue::Integer(number) => Some(number as f64),
            ConfigValue::Float(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the strings in a list, without its other elements; empty if the item is not a list.
    pub fn strings(&self) -> Vec<&str> {
        match &self.value {
            ConfigValue::List(items) => items.iter().filter_map(ConfigItem::as_str).collect(),
            _ => Vec::new(),
        }
    }
}

/// Parses the text of a configuration file.
///
/// # Errors
/// Returns the syntax errors with their lines: all that are found in TOML, the first in JSON.
pub fn parse(format: ConfigFormat, text: &str) -> Result<ConfigItem, Vec<Diagnostic>> {
    match format {
        ConfigFormat::Toml => parse_toml::parse(text),
        ConfigFormat::PlatformJson => parse_json::parse(text),
    }
}
