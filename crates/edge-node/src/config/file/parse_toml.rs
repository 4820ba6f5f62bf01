//! Parser of operators' TOML.

use super::line_index::LineIndex;
use super::{ConfigItem, ConfigValue};
use crate::config::error::Diagnostic;
use std::borrow::Cow;
use toml::de::{DeFloat, DeInteger, DeTable, DeValue, Error};
use toml::Spanned;

/// Parses a text in TOML.
///
/// # Errors
/// Returns all syntax errors.
pub(super) fn parse(text: &str) -> Result<ConfigItem, Vec<Diagnostic>> {
    let lines = LineIndex::new(text);
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors
            .iter()
            .map(|error| diagnostic(&lines, error))
            .collect());
    }
    Ok(ConfigItem {
        line: 1,
        value: table(&lines, root.get_ref()),
    })
}

fn diagnostic(lines: &LineIndex, error: &Error) -> Diagnostic {
    Diagnostic {
        line: error.span().map(|span| lines.line_at(span.start)),
        path: String::new(),
        message: error.message().replace('\n', "; "),
    }
}

fn table(lines: &LineIndex, table: &DeTable<'_>) -> ConfigValue {
    let entry = |(name, value): (&Spanned<Cow<'_, str>>, &Spanned<DeValue<'_>>)| {
        let line = lines.line_at(name.span().start);
        let item = ConfigItem {
            line,
            value: convert(lines, value.get_ref()),
        };
        (name.get_ref().to_string(), item)
    };
    ConfigValue::Table(table.iter().map(entry).collect())
}

fn list(lines: &LineIndex, items: &[Spanned<DeValue<'_>>]) -> ConfigValue {
    let item = |item: &Spanned<DeValue<'_>>| ConfigItem {
        line: lines.line_at(item.span().start),
        value: convert(lines, item.get_ref()),
    };
    ConfigValue::List(items.iter().map(item).collect())
}

fn convert(lines: &LineIndex, value: &DeValue<'_>) -> ConfigValue {
    match value {
        DeValue::String(text) => ConfigValue::String(text.to_string()),
        DeValue::Integer(number) => integer(number),
        DeValue::Float(number) => float(number),
        DeValue::Boolean(boolean) => ConfigValue::Boolean(*boolean),
        DeValue::Datetime(_) => ConfigValue::Unsupported,
        DeValue::Array(items) => list(lines, items),
        DeValue::Table(entries) => table(lines, entries),
    }
}

fn integer(number: &DeInteger<'_>) -> ConfigValue {
    let digits = number.as_str().replace('_', "");
    i128::from_str_radix(&digits, number.radix())
        .map_or(ConfigValue::Unsupported, ConfigValue::Integer)
}

fn float(number: &DeFloat<'_>) -> ConfigValue {
    let digits = number.as_str().replace('_', "");
    digits
        .parse()
        .map_or(ConfigValue::Unsupported, ConfigValue::Float)
}
