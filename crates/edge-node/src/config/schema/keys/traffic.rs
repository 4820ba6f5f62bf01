//! Keys of requests and of the servers that they are forwarded to.

use crate::config::schema::spec::{
    DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, HOUR_MS, MAX_NUMBER,
};

/// Upper bound of `requests.max_attempts`.
const MAX_ATTEMPTS: u64 = 100;
/// Lower bound of the timeouts of connections, in ms.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// Lower bound of `servers.drain_grace_ms`.
const MIN_DRAIN_GRACE_MS: f64 = 10.0;

/// The keys of the `[requests]` table.
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
        description: "Maximum number of attempts for one request.",
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
        description: "Maximum number of units of one request; 0 for no limit.",
    },
    KeySpec {
        toml_path: "requests.retry_after",
        json_path: "settings.ceilings.retryAfter",
        value_type: ValueType::Boolean,
        default: DefaultValue::Boolean(true),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Whether rejections carry `Retry-After`.",
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
        description: "Upper bound of `Retry-After`, in ms.",
    },
];

/// The keys of the `[servers]` table.
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
        description: "Time after which a server closes an idle connection, in ms.",
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
        description: "Time after which an attempt to establish a connection is given up, in ms.",
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
            "Time for which new requests may still be sent to a server that was reported as draining, in ms.",
    },
    KeySpec {
        toml_path: "servers.cold_start_capacity",
        json_path: "settings.rules.coldFrom",
        value_type: ValueType::Number { min: 0.0, max: 1.0 },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Fraction of its capacity that a server has when it starts.",
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
        description: "Time from a server's start until it has its full capacity, in ms.",
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
            "A server that is warming up is overloaded while its work exceeds this multiple of its current capacity.",
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
        description: "Time after which a server that stays overloaded collapses, in ms.",
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
        description: "Cost of an attempt that is sent to a server in another zone, in the unit of `classes[].value`.",
    },
];
