//! Keys of this edge node alone: its name and addresses, limits of the process, log and admin
//! listener.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType,
};

/// Fewer descriptors than this leave no room for clients beside servers.
pub(crate) const MIN_FILE_DESCRIPTORS: u64 = 64;
/// The least memory that the process can be given, in MiB.
const MIN_MEMORY_MIB: u64 = 16;
/// Far above what any machine grants, in descriptors and in MiB.
const MAX_RESOURCE_LIMIT: u64 = 1 << 20;

/// Values of `log.level`, which only operators' files have.
const LOG_LEVELS: &[Choice] = &[
    Choice::same("off"),
    Choice::same("error"),
    Choice::same("warn"),
    Choice::same("info"),
    Choice::same("debug"),
];
/// Values of `log.format`, which only operators' files have.
const LOG_FORMATS: &[Choice] = &[Choice::same("text"), Choice::same("json")];

/// The name and addresses of this edge node, limits of the process, the log and the admin listener.
pub(super) const NODE: &[KeySpec] = &[
    KeySpec {
        toml_path: "name",
        json_path: "name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of this edge node, as its log shows it.",
    },
    KeySpec {
        toml_path: "listen",
        json_path: "listen",
        value_type: ValueType::Address,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Where clients connect.",
    },
    KeySpec {
        toml_path: "discovery",
        json_path: "discovery",
        value_type: ValueType::Address,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::Applied,
        description: "Where the agent of discovery listens.",
    },
    KeySpec {
        toml_path: "seed",
        json_path: "seed",
        value_type: ValueType::String,
        default: DefaultValue::Absent { meaning: "random" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::Ignored,
        description: "Hex digits from which all chance is drawn.",
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
        description: "File descriptors that the process may hold.",
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
        description: "Memory that it may use, in MiB; an eighth is for large bodies.",
    },
    KeySpec {
        toml_path: "log.level",
        json_path: "log.level",
        value_type: ValueType::Choice(LOG_LEVELS),
        default: DefaultValue::Choice("info"),
        in_platform_json: PlatformPresence::Absent,
        on_reload: OnReload::Applied,
        description: "Least severity that is logged.",
    },
    KeySpec {
        toml_path: "log.format",
        json_path: "log.format",
        value_type: ValueType::Choice(LOG_FORMATS),
        default: DefaultValue::Choice("text"),
        in_platform_json: PlatformPresence::Absent,
        on_reload: OnReload::RequiresRestart,
        description: "Lines for people, or a JSON object in each line.",
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
        description: "Where operators and their monitoring connect: metrics, health, state.",
    },
];
