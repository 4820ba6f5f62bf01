//! The text of a configuration file as a tree in which each item knows its line, from TOML or JSON
//! alike.

mod line_index;
mod parse_json;
mod parse_toml;

use super::error::Diagnostic;
use std::path::Path;

/// The format of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFormat {
    /// TOML, written by operators.
    Toml,
    /// The platform's JSON.
    PlatformJson,
}

impl ConfigFormat {
    /// The format by the extension of the file's name, or else by how the text begins.
    pub fn detect(path: &Path, text: &str) -> ConfigFormat {
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("toml") => ConfigFormat::Toml,
            Some("json") => ConfigFormat::PlatformJson,
            _ if text.trim_start().starts_with('{') => ConfigFormat::PlatformJson,
            _ => ConfigFormat::Toml,
        }
    }
}

/// An item of a configuration.
#[derive(Debug, PartialEq)]
pub struct ConfigItem {
    /// The line on which it begins, from 1.
    pub line: usize,
    /// What it is.
    pub value: ConfigValue,
}

/// The value of an item.
#[derive(Debug, PartialEq)]
pub enum ConfigValue {
    /// Names with their items. A name may occur twice, which JSON allows.
    Table(Vec<(String, ConfigItem)>),
    /// Items in a row.
    List(Vec<ConfigItem>),
    /// A string.
    String(String),
    /// A whole number.
    Integer(i128),
    /// Any other number.
    Float(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// JSON's null.
    Null,
    /// What no key takes, such as TOML's dates.
    Unsupported,
}

impl ConfigItem {
    /// The entry of that name, if this is a table that has one; the first of several.
    pub fn get(&self, name: &str) -> Option<&ConfigItem> {
        let ConfigValue::Table(entries) = &self.value else {
            return None;
        };
        entries
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, item)| item)
    }

    /// The string, if this is one.
    pub fn as_str(&self) -> Option<&str> {
        match &self.value {
            ConfigValue::String(text) => Some(text),
            _ => None,
        }
    }

    /// The whole number, if this is one.
    pub fn as_integer(&self) -> Option<i128> {
        match self.value {
            ConfigValue::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// The number, whole or not, if this is one.
    pub fn as_number(&self) -> Option<f64> {
        match self.value {
            ConfigValue::Integer(number) => Some(number as f64),
            ConfigValue::Float(number) => Some(number),
            _ => None,
        }
    }

    /// The strings of a list; none if this is no list.
    pub fn strings(&self) -> Vec<&str> {
        match &self.value {
            ConfigValue::List(items) => items.iter().filter_map(ConfigItem::as_str).collect(),
            _ => Vec::new(),
        }
    }
}

/// Parses a configuration file.
///
/// # Errors
/// What the grammar of the format forbids, with its lines.
pub fn parse(format: ConfigFormat, text: &str) -> Result<ConfigItem, Vec<Diagnostic>> {
    match format {
        ConfigFormat::Toml => parse_toml::parse(text),
        ConfigFormat::PlatformJson => parse_json::parse(text),
    }
}
