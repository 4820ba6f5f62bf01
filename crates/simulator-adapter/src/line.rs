//! One line of the simulator's protocol: a name and fields, separated by tabs, each field as
//! `name=value`.

use crate::line_error::{LineError, LineErrorKind};
use std::str::FromStr;

/// A line without its end.
pub(crate) struct Line<'a> {
    number: usize,
    /// Says what the line is.
    pub(crate) name: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits the name from the fields. `number` is the number of the line.
    pub(crate) fn split(number: usize, text: &'a str) -> Line<'a> {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line {
            number,
            name,
            fields,
        }
    }

    /// An error at this line.
    pub(crate) fn error(&self, kind: LineErrorKind) -> LineError {
        LineError {
            line: self.number,
            kind,
        }
    }

    /// The error that a field has a value that it cannot have.
    pub(crate) fn invalid(&self, field: &'static str) -> LineError {
        let name = self.name.to_owned();
        let value = self.optional(field).unwrap_or_default().to_owned();
        self.error(LineErrorKind::InvalidField { name, field, value })
    }

    fn missing(&self, field: &'static str) -> LineError {
        self.error(LineErrorKind::MissingField {
            name: self.name.to_owned(),
            field,
        })
    }

    /// Checks that this is the line that has to stand here.
    ///
    /// # Errors
    /// The line has another name.
    pub(crate) fn expect_name(&self, expected: &'static str) -> Result<(), LineError> {
        if self.name == expected {
            return Ok(());
        }
        Err(self.error(LineErrorKind::UnexpectedName {
            expected,
            found: self.name.to_owned(),
        }))
    }

    /// The value of a field, if the line has it.
    pub(crate) fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields
            .split('\t')
            .find_map(|part| value_of(part, field))
    }

    /// The value of a field.
    ///
    /// # Errors
    /// The field is missing.
    pub(crate) fn text(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.optional(field).ok_or_else(|| self.missing(field))
    }

    /// The value of a field of free text, which runs to the end of the line and may contain tabs.
    ///
    /// # Errors
    /// The field is missing.
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

    /// The value of a field, parsed.
    ///
    /// # Errors
    /// The field is missing or cannot be parsed.
    pub(crate) fn parsed<T: FromStr>(&self, field: &'static str) -> Result<T, LineError> {
        self.text(field)?.parse().map_err(|_| self.invalid(field))
    }

    /// The value of a field, parsed, or `default` if it is missing.
    ///
    /// # Errors
    /// The field cannot be parsed.
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

    /// A number that is finite and not negative.
    ///
    /// # Errors
    /// The field is missing or is no such number.
    pub(crate) fn non_negative(&self, field: &'static str) -> Result<f64, LineError> {
        let value: f64 = self.parsed(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field))
        }
    }

    /// A flag: `1` for true, `0` or a missing field for false.
    ///
    /// # Errors
    /// The field has another value.
    pub(crate) fn flag(&self, field: &'static str) -> Result<bool, LineError> {
        match self.optional(field) {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(_) => Err(self.invalid(field)),
        }
    }

    /// Bytes in hexadecimal digits, `-` for none.
    ///
    /// # Errors
    /// The field is missing, has an odd number of digits, or contains another character.
    pub(crate) fn hex(&self, field: &'static str) -> Result<Vec<u8>, LineError> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(hex_byte).collect();
        bytes.ok_or_else(|| self.invalid(field))
    }
}

/// The value in `name=value`, if the name is `field`.
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
