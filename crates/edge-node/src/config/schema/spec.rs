//! The specification of a key: its paths in both formats, its type, its default value and the
//! effect of a reload.

use crate::config::file::ConfigFormat;

/// Upper bound of most times, in ms: no client waits longer than an hour.
pub(super) const HOUR_MS: f64 = 3_600_000.0;
/// Upper bound of numbers that need no specific one: far above any sensible number, and low enough
/// that sums stay finite. A range that ends here counts as a range without an upper bound.
pub(super) const MAX_NUMBER: f64 = 1e9;

/// The type of a key's value. The ranges of numbers are inclusive.
#[derive(Clone, Copy, Debug)]
pub(super) enum ValueType {
    /// A non-empty string; the platform's JSON may have an empty one.
    String,
    /// A list of strings.
    StringList,
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    AddressList,
    /// `true` or `false`.
    Boolean,
    /// An integer, not written as a float.
    Integer { min: u64, max: u64 },
    /// An integer or a float.
    Number { min: f64, max: f64 },
    /// A time in milliseconds, which may have a fraction. The platform's JSON has whole
    /// microseconds instead.
    Milliseconds { min: f64, max: f64 },
    /// One of these choices.
    Choice(&'static [Choice]),
}

/// A value that a key may have, by its name in each format.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    /// Name in operators' TOML.
    pub(super) toml: &'static str,
    /// Name in the platform's JSON.
    pub(super) json: &'static str,
}

impl Choice {
    /// Returns a choice that has the same name in both formats.
    pub(super) const fn same(name: &'static str) -> Choice {
        Choice {
            toml: name,
            json: name,
        }
    }

    pub(super) fn name(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml,
            ConfigFormat::PlatformJson => self.json,
        }
    }
}

/// The value of a key that is absent from operators' TOML.
#[derive(Clone, Copy, Debug)]
pub(super) enum DefaultValue {
    /// No value: the key must be present.
    Required,
    /// The integer of a key of the type [`ValueType::Integer`].
    Integer(u64),
    /// An integer or a float.
    Number(f64),
    /// A time in milliseconds.
    Milliseconds(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// The name of a choice in operators' TOML.
    Choice(&'static str),
    /// No value: the key stays absent. `meaning` says in docs/CONFIGURATION.md what that means.
    Absent { meaning: &'static str },
}

/// Whether a key is present in the platform's JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformPresence {
    /// The key must be present.
    Required,
    /// The key may be absent.
    Optional,
    /// Only operators' TOML has the key.
    Absent,
}

/// The effect of a reload on a key whose value has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnReload {
    /// The new value takes effect at once.
    Applied,
    /// The new value takes effect at the next start, and the log names the key.
    RequiresRestart,
    /// The new value takes effect at the next start, and the log does not name the key: an
    /// absent seed is random, so it differs at each reading.
    Ignored,
}

/// The specification of a key. Its paths begin at the root; `[]` marks a list and means each of its
/// items.
#[derive(Debug)]
pub(super) struct KeySpec {
    /// Path in operators' TOML, by which docs/CONFIGURATION.md names the key.
    pub(super) toml_path: &'static str,
    /// Path in the JSON to which operators' TOML is translated. Files in the platform's JSON have
    /// the key at the same path, unless [`in_platform_json`](Self::in_platform_json) is `Absent`.
    pub(super) json_path: &'static str,
    /// Type and range of the value.
    pub(super) value_type: ValueType,
    /// Value if the key is absent from operators' TOML.
    pub(super) default: DefaultValue,
    /// Whether the platform's JSON has the key.
    pub(super) in_platform_json: PlatformPresence,
    /// Effect of a reload on a changed value.
    pub(super) on_reload: OnReload,
    /// One sentence for docs/CONFIGURATION.md.
    pub(super) description: &'static str,
}

impl KeySpec {
    pub(super) fn path(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml_path,
            ConfigFormat::PlatformJson => self.json_path,
        }
    }

    /// Returns whether a format has the key.
    pub(super) fn is_in(&self, format: ConfigFormat) -> bool {
        format == ConfigFormat::Toml || self.in_platform_json != PlatformPresence::Absent
    }

    /// Returns whether the key must be present in a configuration of a format.
    pub(super) fn is_required(&self, format: ConfigFormat) -> bool {
        match format {
            ConfigFormat::Toml => matches!(self.default, DefaultValue::Required),
            ConfigFormat::PlatformJson => self.in_platform_json == PlatformPresence::Required,
        }
    }
}

/// The paths of a list of tables in both formats.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListPaths {
    /// Path in operators' TOML.
    pub(super) toml: &'static str,
    /// Path in the platform's JSON.
    pub(super) json: &'static str,
}

impl ListPaths {
    pub(super) fn path(&self, format: ConfigFormat) -> &'static str {
        match format {
            ConfigFormat::Toml => self.toml,
            ConfigFormat::PlatformJson => self.json,
        }
    }
}
