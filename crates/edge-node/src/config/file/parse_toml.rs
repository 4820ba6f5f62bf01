//! Parser for operators' TOML.

use super::line_index::LineIndex;
use super::{ConfigItem, ConfigValue};
use crate::config::error::Diagnostic;
use std::borrow::Cow;
use toml::de::{DeFloat, DeInteger, DeTable, DeValue, Error};
use toml::Spanned;

/// Parses TOML text into a tree whose items have line numbers.
///
/// # Errors
/// Returns all syntax errors, each with its line if the parser reports a position.
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
        value: table_value(&lines, root.get_ref()),
    })
}

fn diagnostic(lines: &LineIndex, error: &Error) -> Diagnostic {
    Diagnostic {
        line: error.span().map(|span| lines.line_at(span.start)),
        path: String::new(),
        message: error.message().replace('\n', "; "),
    }
}

fn table_value(lines: &LineIndex, table: &DeTable<'_>) -> ConfigValue {
    let entry = |(name, value): (&Spanned<Cow<'_, str>>, &Spanned<DeValue<'_>>)| {
        let line = lines.line_at(name.span().start);
        let item = ConfigItem {
            line,
            value: config_value(lines, value.get_ref()),
        };
        (name.get_ref().to_string(), item)
    };
    ConfigValue::Table(table.iter().map(entry).collect())
}

fn list_value(lines: &LineIndex, items: &[Spanned<DeValue<'_>>]) -> ConfigValue {
    let item = |item: &Spanned<DeValue<'_>>| ConfigItem {
        line: lines.line_at(item.span().start),
        value: config_value(lines, item.get_ref()),
    };
    ConfigValue::List(items.iter().map(item).collect())
}

fn config_value(lines: &LineIndex, value: &DeValue<'_>) -> ConfigValue {
    match value {
        DeValue::String(text) => ConfigValue::String(text.to_string()),
        DeValue::Integer(number) => integer_value(number),
        DeValue::Float(number) => float_value(number),
        DeValue::Boolean(boolean) => ConfigValue::Boolean(*boolean),
        DeValue::Datetime(_) => ConfigValue::Unsupported,
        DeValue::Array(items) => list_value(lines, items),
        DeValue::Table(entries) => table_value(lines, entries),
    }
}

/// Converts an integer, which may have underscores between its digits.
fn integer_value(number: &DeInteger<'_>) -> ConfigValue {
    let digits = number.as_str().replace('_', "");
    i128::from_str_radix(&digits, number.radix())
        .map_or(ConfigValue::Unsupported, ConfigValue::Integer)
}

/// Converts a float, which may have underscores between its digits.
fn float_value(number: &DeFloat<'_>) -> ConfigValue {
    let digits = number.as_str().replace('_', "");
    digits
        .parse()
        .map_or(ConfigValue::Unsupported, ConfigValue::Float)
}
