//! One line of the simulator's protocol: a name and fields of the form `name=value`, separated by
//! tabs.

use crate::line_error::{LineError, LineErrorKind};
use std::str::FromStr;

/// A line without its line ending.
pub(crate) struct Line<'a> {
    /// Number of the line in the input, from 1.
    number: usize,
    /// The text before the first tab, which determines the kind of the line.
    pub(crate) name: &'a str,
    /// The text after the first tab; empty if there are no fields.
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line into its name and fields. `number` is the number of the line in the
    /// input, from 1.
    pub(crate) fn split(number: usize, text: &'a str) -> Line<'a> {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line {
            number,
            name,
            fields,
        }
    }

    /// Returns an error for this line.
    pub(crate) fn error(&self, kind: LineErrorKind) -> LineError {
        LineError {
            line: self.number,
            kind,
        }
    }

    /// Returns the error for a field with an invalid value.
    pub(crate) fn invalid(&self, field: &'static str) -> LineError {
        let name = self.name.to_owned();
        let value = self.optional(field).unwrap_or_default().to_owned();
        self.error(LineErrorKind::InvalidField { name, field, value })
    }

    /// Returns the error for a required field that is missing.
    fn missing(&self, field: &'static str) -> LineError {
        self.error(LineErrorKind::MissingField {
            name: self.name.to_owned(),
            field,
        })
    }

    /// Checks that the line has the expected name.
    ///
    /// # Errors
    /// Returns an error if the line has another name.
    pub(crate) fn expect_name(&self, expected: &'static str) -> Result<(), LineError> {
        if self.name == expected {
            return Ok(());
        }
        Err(self.error(LineErrorKind::UnexpectedName {
            expected,
            found: self.name.to_owned(),
        }))
    }

    /// Returns the value of a field, or `None` if the line does not have the field.
    pub(crate) fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields
            .split('\t')
            .find_map(|part| value_of(part, field))
    }

    /// Returns the value of a field.
    ///
    /// # Errors
    /// Returns an error if the field is missing.
    pub(crate) fn text(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.optional(field).ok_or_else(|| self.missing(field))
    }

    /// Returns the value of a free-text field, which extends to the end of the line and may contain
    /// tabs.
    ///
    /// # Errors
    /// Returns an error if the field is missing.
    pub(crate) fn text_to_end(&self, field: &'static str) -> Result<&'a str, LineError> {
        let mut rest = self.fields;
        loop {
            if let Some(value) = value_of(rest, field) {
                return Ok(value);
            }
            let Some((_, after)) = rest.split_once('\t') else {
                return Err(self.missing(field));
            };
            rest = after;
        }
    }

    /// Returns the parsed value of a field.
    ///
    /// # Errors
    /// Returns an error if the field is missing or cannot be parsed.
    pub(crate) fn parsed<T: FromStr>(&self, field: &'static str) -> Result<T, LineError> {
        self.text(field)?.parse().map_err(|_| self.invalid(field))
    }

    /// Returns the parsed value of a field, or `default` if the field is missing.
    ///
    /// # Errors
    /// Returns an error if the field cannot be parsed.
    pub(crate) fn parsed_or<T: FromStr>(
        &self,
        field: &'static str,
        default: T,
    ) -> Result<T, LineError> {
        match self.optional(field) {
            Some(value) => value.parse().map_err(|_| self.invalid(field)),
            None => Ok(default),
        }
    }

    /// Returns the value of a field that must be a finite number of at least 0.
    ///
    /// # Errors
    /// Returns an error if the field is missing or has another value.
    pub(crate) fn non_negative(&self, field: &'static str) -> Result<f64, LineError> {
        let value: f64 = self.parsed(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field))
        }
    }

    /// Returns the value of a flag: true for `1`, false for `0` or a missing field.
    ///
    /// # Errors
    /// Returns an error if the field has another value.
    pub(crate) fn flag(&self, field: &'static str) -> Result<bool, LineError> {
        match self.optional(field) {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(_) => Err(self.invalid(field)),
        }
    }

    /// Returns the bytes of a field that contains pairs of hexadecimal digits, or `-` for no bytes.
    ///
    /// # Errors
    /// Returns an error if the field is missing, has an odd number of digits, or contains another
    /// character.
    pub(crate) fn hex(&self, field: &'static str) -> Result<Vec<u8>, LineError> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(hex_byte).collect();
        bytes.ok_or_else(|| self.invalid(field))
    }
}

/// Returns the value if `text` has the form `name=value` and its name is `field`.
fn value_of<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    text.strip_prefix(field)?.strip_prefix('=')
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let [high, low] = digits else { return None };
    Some(hex_digit(*high)? << 4 | hex_digit(*low)?)
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}

#[cfg(test)]
#[path = "../tests/unit/line.rs"]
mod tests;
