//! Keys of a single edge node: its name and addresses, the limits of the process, the log and the
//! admin listener.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType,
};

/// Minimum limit on file descriptors. A lower limit would leave too few for client connections in
/// addition to the connections to servers.
pub(crate) const MIN_FILE_DESCRIPTORS: u64 = 64;
/// Minimum memory of the process, in MiB.
const MIN_MEMORY_MIB: u64 = 16;
/// Upper bound of the limits, in file descriptors and in MiB: far above what any machine grants.
const MAX_RESOURCE_LIMIT: u64 = 1 << 20;

/// Choices of `log.level`, which only operators' TOML has.
const LOG_LEVELS: &[Choice] = &[
    Choice::same("off"),
    Choice::same("error"),
    Choice::same("warn"),
    Choice::same("info"),
    Choice::same("debug"),
];
/// Choices of `log.format`, which only operators' TOML has.
const LOG_FORMATS: &[Choice] = &[Choice::same("text"), Choice::same("json")];

/// The keys at the root and those of the `[limits]`, `[log]` and `[admin]` tables.
pub(super) const NODE: &[KeySpec] = &[
    KeySpec {
        toml_path: "name",
        json_path: "name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of this edge node in its log.",
    },
    KeySpec {
        toml_path: "listen",
        json_path: "listen",
        value_type: ValueType::Address,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Address on which clients connect.",
    },
    KeySpec {
        toml_path: "discovery",
        json_path: "discovery",
        value_type: ValueType::Address,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::Applied,
        description: "Address on which the discovery agent listens.",
    },
    KeySpec {
        toml_path: "seed",
        json_path: "seed",
        value_type: ValueType::String,
        default: DefaultValue::Absent { meaning: "random" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::Ignored,
        description: "Seed of all random decisions, in up to 16 hexadecimal digits.",
    },
    KeySpec {
        toml_path: "limits.file_descriptors",
        json_path: "limits.sockets",
        value_type: ValueType::Integer {
            min: MIN_FILE_DESCRIPTORS,
            max: MAX_RESOURCE_LIMIT,
        },
        default: DefaultValue::Integer(1024),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Maximum number of file descriptors of the process.",
    },
    KeySpec {
        toml_path: "limits.memory_mib",
        json_path: "limits.memory_mb",
        value_type: ValueType::Integer {
            min: MIN_MEMORY_MIB,
            max: MAX_RESOURCE_LIMIT,
        },
        default: DefaultValue::Integer(32),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Memory that the process may use, in MiB; at most a quarter of it is for bodies of requests, and as much for bodies of responses.",
    },
    KeySpec {
        toml_path: "log.level",
        json_path: "log.level",
        value_type: ValueType::Choice(LOG_LEVELS),
        default: DefaultValue::Choice("info"),
        in_platform_json: PlatformPresence::Absent,
        on_reload: OnReload::Applied,
        description: "Lowest severity that is logged.",
    },
    KeySpec {
        toml_path: "log.format",
        json_path: "log.format",
        value_type: ValueType::Choice(LOG_FORMATS),
        default: DefaultValue::Choice("text"),
        in_platform_json: PlatformPresence::Absent,
        on_reload: OnReload::RequiresRestart,
        description: "Format of a log line: text for people, or a JSON object.",
    },
    KeySpec {
        toml_path: "admin.listen",
        json_path: "admin.listen",
        value_type: ValueType::Address,
        default: DefaultValue::Absent {
            meaning: "no admin listener",
        },
        in_platform_json: PlatformPresence::Absent,
        on_reload: OnReload::RequiresRestart,
        description: "Address of the admin listener, which serves metrics, health and state to operators and monitoring.",
    },
];
