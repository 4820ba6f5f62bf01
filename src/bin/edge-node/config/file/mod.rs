//! Configurations as trees in which each item knows its line, read from TOML or JSON.

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Tables and lists within each other, far more than any key has round it. Guards the stack.
const DEPTH_MOST: usize = 32;

/// In which form a configuration is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// TOML, written by people.
    People,
    /// The platform's JSON.
    Platform,
}

impl Form {
    /// By the file's extension; of another one, by how the text begins.
    pub fn of(path: &Path, text: &str) -> Form {
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("toml") => Form::People,
            Some("json") => Form::Platform,
            _ if text.trim_start().starts_with('{') => Form::Platform,
            _ => Form::People,
        }
    }
}

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// From 1; `None` where something is missing of which no part is there.
    pub line: Option<usize>,
    /// The key, with the places in lists; empty for the text as a whole.
    pub path: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "{line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.what)
    }
}

/// An item of a configuration.
#[derive(Debug)]
pub struct Item {
    /// The line on which it begins, from 1.
    pub line: usize,
    pub kind: Kind,
}

#[derive(Debug)]
pub enum Kind {
    Table(Vec<(String, Item)>),
    List(Vec<Item>),
    Text(String),
    Integer(i128),
    Number(f64),
    Flag(bool),
    Null,
    /// What no key takes, as TOML's dates.
    Other,
}

impl Item {
    pub fn get(&self, name: &str) -> Option<&Item> {
        let Kind::Table(entries) = &self.kind else { return None };
        entries.iter().find(|(key, _)| key == name).map(|(_, item)| item)
    }
}

/// Reads a text.
///
/// # Errors
/// What its grammar forbids, each with its line.
pub fn read(form: Form, text: &str) -> Result<Item, Vec<Fault>> {
    let lines = Lines::of(text);
    match form {
        Form::People => {
            let (root, errors) = DeTable::parse_recoverable(text);
            let fault = |error: &toml::de::Error| Fault {
                line: error.span().map(|span| lines.at(span.start)),
                path: String::new(),
                what: error.message().replace('\n', "; "),
            };
            if !errors.is_empty() {
                return Err(errors.iter().map(fault).collect());
            }
            Ok(Item { line: 1, kind: lines.table(root.get_ref()) })
        }
        Form::Platform => {
            let bad = |error: serde_json::Error| {
                vec![Fault { line: Some(error.line()), path: String::new(), what: error.to_string() }]
            };
            let root: &RawValue = serde_json::from_str(text).map_err(bad)?;
            lines.json(text, root, 0).map_err(bad)
        }
    }
}

/// Where each line of a text begins.
struct Lines(Vec<usize>);

impl Lines {
    fn of(text: &str) -> Lines {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(place, _)| place + 1);
        Lines(std::iter::once(0).chain(breaks).collect())
    }

    fn at(&self, place: usize) -> usize {
        self.0.partition_point(|begin| *begin <= place)
    }

    fn table(&self, table: &DeTable<'_>) -> Kind {
        let entry = |(key, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
            let key: &Spanned<std::borrow::Cow<'_, str>> = key;
            let line = self.at(key.span().start);
            (key.get_ref().to_string(), Item { line, kind: self.toml(value.get_ref()) })
        };
        Kind::Table(table.iter().map(entry).collect())
    }

    fn toml(&self, value: &DeValue<'_>) -> Kind {
        match value {
            DeValue::String(text) => Kind::Text(text.to_string()),
            DeValue::Integer(number) => {
                let digits = number.as_str().replace('_', "");
                i128::from_str_radix(&digits, number.radix()).map_or(Kind::Other, Kind::Integer)
            }
            DeValue::Float(number) => {
                number.as_str().replace('_', "").parse().map_or(Kind::Other, Kind::Number)
            }
            DeValue::Boolean(flag) => Kind::Flag(*flag),
            DeValue::Datetime(_) => Kind::Other,
            DeValue::Array(items) => {
                let item = |item: &Spanned<DeValue<'_>>| Item {
                    line: self.at(item.span().start),
                    kind: self.toml(item.get_ref()),
                };
                Kind::List(items.iter().map(item).collect())
            }
            DeValue::Table(table) => self.table(table),
        }
    }

    fn json(&self, text: &str, raw: &RawValue, depth: usize) -> serde_json::Result<Item> {
        // A raw value is a part of the text that it was read from.
        let line = self.at((raw.get().as_ptr() as usize).saturating_sub(text.as_ptr() as usize));
        let kind = match raw.get().as_bytes().first() {
            Some(b'{' | b'[') if depth >= DEPTH_MOST => Kind::Other,
            Some(b'{') => {
                let entries: Entries<'_> = serde_json::from_str(raw.get())?;
                let entry = |(key, raw): (String, &RawValue)| Ok((key, self.json(text, raw, depth + 1)?));
                Kind::Table(entries.0.into_iter().map(entry).collect::<serde_json::Result<_>>()?)
            }
            Some(b'[') => {
                let items: Vec<&RawValue> = serde_json::from_str(raw.get())?;
                let item = |raw: &&RawValue| self.json(text, raw, depth + 1);
                Kind::List(items.iter().map(item).collect::<serde_json::Result<_>>()?)
            }
            _ => scalar(serde_json::from_str(raw.get())?),
        };
        Ok(Item { line, kind })
    }
}

fn scalar(value: serde_json::Value) -> Kind {
    match value {
        serde_json::Value::String(text) => Kind::Text(text),
        serde_json::Value::Bool(flag) => Kind::Flag(flag),
        serde_json::Value::Null => Kind::Null,
        serde_json::Value::Number(number) => match (number.as_i128(), number.as_f64()) {
            (Some(integer), _) => Kind::Integer(integer),
            (None, Some(number)) => Kind::Number(number),
            (None, None) => Kind::Other,
        },
        serde_json::Value::Array(_) | serde_json::Value::Object(_) => Kind::Other,
    }
}

/// The entries of an object in their order, as they stand in the text.
struct Entries<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for Entries<'de> {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        struct Each;
        impl<'de> Visitor<'de> for Each {
            type Value = Entries<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entries<'de>, A::Error> {
                let mut entries = Vec::new();
                while let Some(entry) = map.next_entry()? {
                    entries.push(entry);
                }
                Ok(Entries(entries))
            }
        }
        source.deserialize_map(Each)
    }
}
