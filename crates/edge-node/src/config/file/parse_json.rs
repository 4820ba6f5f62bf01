//! Parser of the platform's JSON.

use super::line_index::LineIndex;
use super::{ConfigItem, ConfigValue};
use crate::config::error::Diagnostic;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::Value;
use std::fmt;

/// Maximum nesting depth of tables and lists, which is far above that of any key. A table or list
/// that is nested deeper becomes [`ConfigValue::Unsupported`], because parsing recurses, and
/// unlimited depth would overflow the stack.
const MAX_NESTING: usize = 32;

/// Parses a text in JSON.
///
/// # Errors
/// Returns the first syntax error.
pub(super) fn parse(text: &str) -> Result<ConfigItem, Vec<Diagnostic>> {
    let parser = Parser {
        text,
        lines: LineIndex::new(text),
    };
    let root = serde_json::from_str(text).and_then(|root| parser.item(root, 0));
    root.map_err(|error| vec![diagnostic(&error)])
}

fn diagnostic(error: &serde_json::Error) -> Diagnostic {
    Diagnostic {
        line: Some(error.line()),
        path: String::new(),
        message: error.to_string(),
    }
}

struct Parser<'a> {
    text: &'a str,
    lines: LineIndex,
}

impl Parser<'_> {
    /// Converts a raw value that is inside `nesting` tables and lists.
    fn item(&self, raw: &RawValue, nesting: usize) -> serde_json::Result<ConfigItem> {
        let line = self.lines.line_at(self.offset_of(raw));
        let value = match raw.get().as_bytes().first() {
            Some(b'{' | b'[') if nesting >= MAX_NESTING => ConfigValue::Unsupported,
            Some(b'{') => self.table(raw, nesting + 1)?,
            Some(b'[') => self.list(raw, nesting + 1)?,
            _ => scalar(serde_json::from_str(raw.get())?),
        };
        Ok(ConfigItem { line, value })
    }

    /// Returns the byte offset at which a raw value begins in the text. A raw value is a slice of
    /// the text, so the difference of their addresses is the offset.
    fn offset_of(&self, raw: &RawValue) -> usize {
        (raw.get().as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize)
    }

    fn table(&self, raw: &RawValue, nesting: usize) -> serde_json::Result<ConfigValue> {
        let entries: ObjectEntries<'_> = serde_json::from_str(raw.get())?;
        let item = |(name, raw): (String, &RawValue)| Ok((name, self.item(raw, nesting)?));
        let items: serde_json::Result<_> = entries.0.into_iter().map(item).collect();
        Ok(ConfigValue::Table(items?))
    }

    fn list(&self, raw: &RawValue, nesting: usize) -> serde_json::Result<ConfigValue> {
        let elements: Vec<&RawValue> = serde_json::from_str(raw.get())?;
        let items: serde_json::Result<_> = elements
            .into_iter()
            .map(|element| self.item(element, nesting))
            .collect();
        Ok(ConfigValue::List(items?))
    }
}

fn scalar(value: Value) -> ConfigValue {
    match value {
        Value::String(text) => ConfigValue::String(text),
        Value::Bool(boolean) => ConfigValue::Boolean(boolean),
        Value::Null => ConfigValue::Null,
        Value::Number(number) => match (number.as_i128(), number.as_f64()) {
            (Some(integer), _) => ConfigValue::Integer(integer),
            (None, Some(number)) => ConfigValue::Float(number),
            (None, None) => ConfigValue::Unsupported,
        },
        Value::Array(_) | Value::Object(_) => ConfigValue::Unsupported,
    }
}

/// The entries of an object in the order of the text, including duplicate names, which the maps of
/// serde would drop.
struct ObjectEntries<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for ObjectEntries<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = ObjectEntries<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ObjectEntries<'de>, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(ObjectEntries(entries))
    }
}
