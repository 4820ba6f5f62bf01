//! Keys of the requests that are forwarded, and of the servers that execute them.

use crate::config::schema::spec::{
    DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, HOUR_MS, MAX_NUMBER,
};

/// Most attempts that one request may take.
const MAX_ATTEMPTS: u64 = 100;
/// The shortest timeout of a connection, in ms.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// The shortest grace period of a server that drains, in ms.
const MIN_DRAIN_GRACE_MS: f64 = 10.0;

/// The `[requests]` table.
pub(super) const REQUESTS: &[KeySpec] = &[
    KeySpec {
        toml_path: "requests.max_attempts",
        json_path: "settings.ceilings.sendCap",
        value_type: ValueType::Integer {
            min: 1,
            max: MAX_ATTEMPTS,
        },
        default: DefaultValue::Integer(3),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Attempts for one request.",
    },
    KeySpec {
        toml_path: "requests.cancel",
        json_path: "settings.ceilings.cancel",
        value_type: ValueType::Boolean,
        default: DefaultValue::Boolean(true),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Whether attempts may be cancelled.",
    },
    KeySpec {
        toml_path: "requests.max_units",
        json_path: "settings.extra.maxUnits",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Units of the largest request; 0 for no limit.",
    },
    KeySpec {
        toml_path: "requests.retry_after",
        json_path: "settings.ceilings.retryAfter",
        value_type: ValueType::Boolean,
        default: DefaultValue::Boolean(true),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Whether refused clients are told when to come back.",
    },
    KeySpec {
        toml_path: "requests.max_retry_after_ms",
        json_path: "settings.ceilings.maxRetryAfterUs",
        value_type: ValueType::Milliseconds {
            min: 0.0,
            max: HOUR_MS,
        },
        default: DefaultValue::Absent {
            meaning: "no limit",
        },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "The longest that they may be told, in ms.",
    },
];

/// The `[servers]` table.
pub(super) const SERVERS: &[KeySpec] = &[
    KeySpec {
        toml_path: "servers.idle_timeout_ms",
        json_path: "settings.ceilings.connIdleUs",
        value_type: ValueType::Milliseconds {
            min: MIN_TIMEOUT_MS,
            max: HOUR_MS,
        },
        default: DefaultValue::Milliseconds(15_000.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "After so long a server closes an idle connection, in ms.",
    },
    KeySpec {
        toml_path: "servers.connect_timeout_ms",
        json_path: "settings.ceilings.connectTimeoutUs",
        value_type: ValueType::Milliseconds {
            min: MIN_TIMEOUT_MS,
            max: HOUR_MS,
        },
        default: DefaultValue::Milliseconds(250.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "A connection that is not up by then never comes up, in ms.",
    },
    KeySpec {
        toml_path: "servers.drain_grace_ms",
        json_path: "settings.rules.drainGraceUs",
        value_type: ValueType::Milliseconds {
            min: MIN_DRAIN_GRACE_MS,
            max: HOUR_MS,
        },
        default: DefaultValue::Milliseconds(500.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description:
            "So long after a server was told to drain, in ms, new requests may still reach it.",
    },
    KeySpec {
        toml_path: "servers.cold_start_capacity",
        json_path: "settings.rules.coldFrom",
        value_type: ValueType::Number { min: 0.0, max: 1.0 },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Share of its capacity with which a server starts.",
    },
    KeySpec {
        toml_path: "servers.cold_start_ms",
        json_path: "settings.rules.coldUs",
        value_type: ValueType::Milliseconds {
            min: 0.0,
            max: HOUR_MS,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "After so long it is warm, in ms.",
    },
    KeySpec {
        toml_path: "servers.overload_factor",
        json_path: "settings.rules.fallMultiple",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description:
            "Work above this multiple of its present capacity makes a cold server fall ...",
    },
    KeySpec {
        toml_path: "servers.overload_window_ms",
        json_path: "settings.rules.overloadForUs",
        value_type: ValueType::Milliseconds {
            min: 0.0,
            max: HOUR_MS,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "... over this span, in ms.",
    },
    KeySpec {
        toml_path: "servers.cross_zone_cost",
        json_path: "settings.deductions.crossZone",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Price of an attempt that crosses zones, in the unit of `classes[].value`.",
    },
];
