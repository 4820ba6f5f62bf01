//! The description of a key: its paths in both formats, its type, its default and what a reload
//! does with it.

use crate::config::file::ConfigFormat;

/// No time is longer than an hour, as no client waits longer. In ms.
pub(super) const HOUR_MS: f64 = 3_600_000.0;
/// Far above any number that makes sense; keeps sums finite. A range that ends here counts as one
/// without an end.
pub(super) const MAX_NUMBER: f64 = 1e9;

/// The type of a key's value, with the inclusive range of numbers.
#[derive(Clone, Copy, Debug)]
pub(super) enum ValueType {
    /// A string that is not empty.
    String,
    /// A list of strings.
    StringList,
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    AddressList,
    /// `true` or `false`.
    Boolean,
    /// A whole number.
    Integer { min: u64, max: u64 },
    /// Any number.
    Number { min: f64, max: f64 },
    /// Milliseconds, fractions allowed. The platform has whole microseconds instead.
    Milliseconds { min: f64, max: f64 },
    /// One of these words.
    Choice(&'static [Choice]),
}

/// A name that a key takes, as both formats spell it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// The name in operators' files.
    pub(super) toml: &'static str,
    /// The name in the platform's JSON.
    pub(super) json: &'static str,
}

impl Choice {
    /// A name that both formats spell alike.
    pub(super) const fn same(name: &'static str) -> Choice {
        Choice {
            toml: name,
            json: name,
        }
    }

    /// The name in a format.
    pub(super) fn name(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml,
            ConfigFormat::PlatformJson => self.json,
        }
    }
}

/// The value that a key has where an operator's file leaves it out.
#[derive(Clone, Copy, Debug)]
pub(super) enum DefaultValue {
    /// It can't be left out.
    Required,
    /// A whole number.
    Integer(u64),
    /// Any number.
    Number(f64),
    /// Milliseconds.
    Milliseconds(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// A choice, as operators' files spell it.
    Choice(&'static str),
    /// It stays left out, which has the meaning that the page shows.
    Absent { meaning: &'static str },
}

/// Whether the platform's JSON has a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformPresence {
    /// It has to.
    Required,
    /// It may.
    Optional,
    /// Only operators' files have it.
    Absent,
}

/// What happens to a changed value when the configuration is reloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnReload {
    /// It takes effect in service.
    Applied,
    /// It takes effect at the next start, and the log names it.
    RequiresRestart,
    /// It is passed over: a seed that is left out differs at each reading.
    Ignored,
}

/// A key. Its paths are whole; `[]` stands for each item of a list.
#[derive(Debug)]
pub(super) struct KeySpec {
    /// Its path in operators' files, by which messages and the page name it.
    pub(super) toml_path: &'static str,
    /// Its path in the platform's JSON.
    pub(super) json_path: &'static str,
    /// What values it takes.
    pub(super) value_type: ValueType,
    /// Its value where an operator's file leaves it out.
    pub(super) default: DefaultValue,
    /// Whether the platform's JSON has it.
    pub(super) in_platform_json: PlatformPresence,
    /// What a reload does with it.
    pub(super) on_reload: OnReload,
    /// One sentence for the page.
    pub(super) description: &'static str,
}

impl KeySpec {
    /// Its path in a format.
    pub(super) fn path(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml_path,
            ConfigFormat::PlatformJson => self.json_path,
        }
    }

    /// Whether a format has it at all.
    pub(super) fn is_in(&self, format: ConfigFormat) -> bool {
        format == ConfigFormat::Toml || self.in_platform_json != PlatformPresence::Absent
    }

    /// Whether a configuration in a format can't leave it out.
    pub(super) fn is_required(&self, format: ConfigFormat) -> bool {
        match format {
            ConfigFormat::Toml => matches!(self.default, DefaultValue::Required),
            ConfigFormat::PlatformJson => self.in_platform_json == PlatformPresence::Required,
        }
    }
}

/// The path of a list of tables in both formats.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListPaths {
    /// Its path in operators' files.
    pub(super) toml: &'static str,
    /// Its path in the platform's JSON.
    pub(super) json: &'static str,
}

impl ListPaths {
    /// Its path in a format.
    pub(super) fn path(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml,
            ConfigFormat::PlatformJson => self.json,
        }
    }
}
