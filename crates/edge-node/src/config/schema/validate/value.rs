//! Checks a value against the type and range of its key.

use super::problem::Problem;
use crate::config::file::{ConfigFormat, ConfigItem, ConfigValue};
use crate::config::schema::spec::{Choice, KeySpec, ValueType, MAX_NUMBER};
use std::net::SocketAddr;

/// Path of the only key whose minimum also applies to the platform's JSON, because the process
/// can't serve clients with fewer file descriptors. Other numbers in the platform's JSON are
/// limited only by their types.
const FILE_DESCRIPTORS_KEY: &str = "limits.file_descriptors";

/// Checks that a value has the type and range of its key.
pub(super) fn check_value(
    format: ConfigFormat,
    key: &KeySpec,
    item: &ConfigItem,
) -> Result<(), Problem> {
    let is_platform = format == ConfigFormat::PlatformJson;
    if is_platform && matches!(item.value, ConfigValue::Null) && !key.is_required(format) {
        return Ok(());
    }
    match key.value_type {
        ValueType::String => check_string(format, item),
        ValueType::StringList => check_string_list(item),
        ValueType::Address => check_address(item),
        ValueType::AddressList => check_address_list(item),
        ValueType::Boolean => check_boolean(item),
        ValueType::Choice(choices) => check_choice(format, choices, item),
        ValueType::Integer { min, .. } if is_platform => {
            let min = if key.toml_path == FILE_DESCRIPTORS_KEY {
                min
            } else {
                0
            };
            check_integer(item, min as f64, u64::MAX as f64)
        }
        ValueType::Integer { min, max } => check_integer(item, min as f64, max as f64),
        // The platform's JSON has whole microseconds.
        ValueType::Milliseconds { .. } if is_platform => check_integer(item, 0.0, u64::MAX as f64),
        ValueType::Number { .. } if is_platform => check_number(item, 0.0, f64::MAX),
        ValueType::Number { min, max } | ValueType::Milliseconds { min, max } => {
            check_number(item, min, max)
        }
    }
}

fn check_string(format: ConfigFormat, item: &ConfigItem) -> Result<(), Problem> {
    let may_be_empty = format == ConfigFormat::PlatformJson;
    let is_valid = item
        .as_str()
        .is_some_and(|text| may_be_empty || !text.is_empty());
    ensure(is_valid, Problem::NotString)
}

fn check_string_list(item: &ConfigItem) -> Result<(), Problem> {
    ensure(is_list_of(item, |_| true), Problem::NotStringList)
}

fn check_address(item: &ConfigItem) -> Result<(), Problem> {
    ensure(item.as_str().is_some_and(is_address), Problem::NotAddress)
}

fn check_address_list(item: &ConfigItem) -> Result<(), Problem> {
    ensure(is_list_of(item, is_address), Problem::NotAddressList)
}

fn check_boolean(item: &ConfigItem) -> Result<(), Problem> {
    ensure(
        matches!(item.value, ConfigValue::Boolean(_)),
        Problem::NotBoolean,
    )
}

fn check_choice(
    format: ConfigFormat,
    choices: &[Choice],
    item: &ConfigItem,
) -> Result<(), Problem> {
    let names: Vec<&str> = choices.iter().map(|choice| choice.name(format)).collect();
    let is_known = item.as_str().is_some_and(|text| names.contains(&text));
    ensure(
        is_known,
        Problem::NotOneOf {
            choices: names.into_iter().map(str::to_owned).collect(),
        },
    )
}

fn check_integer(item: &ConfigItem, min: f64, max: f64) -> Result<(), Problem> {
    match item.value {
        ConfigValue::Integer(number) => check_range(number as f64, min, max),
        _ => Err(Problem::NotInteger),
    }
}

fn check_number(item: &ConfigItem, min: f64, max: f64) -> Result<(), Problem> {
    let number = item.as_number().ok_or(Problem::NotNumber)?;
    check_range(number, min, max)
}

/// Checks a number against an inclusive range. NaN is outside every range.
fn check_range(number: f64, min: f64, max: f64) -> Result<(), Problem> {
    if number >= min && number <= max {
        Ok(())
    } else if max >= MAX_NUMBER {
        Err(Problem::BelowMinimum { number, min })
    } else {
        Err(Problem::OutOfRange { number, min, max })
    }
}

fn ensure(is_valid: bool, problem: Problem) -> Result<(), Problem> {
    if is_valid {
        Ok(())
    } else {
        Err(problem)
    }
}

/// Returns whether an item is a list of strings that all pass a check.
fn is_list_of(item: &ConfigItem, check: impl Fn(&str) -> bool) -> bool {
    match &item.value {
        ConfigValue::List(items) => items.iter().all(|item| item.as_str().is_some_and(&check)),
        _ => false,
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}
