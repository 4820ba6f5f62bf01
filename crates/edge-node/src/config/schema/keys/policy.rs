//! Keys of classes and plans.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, HOUR_MS, MAX_NUMBER,
};

/// Upper bound of `plans[].concurrency`.
const MAX_CONCURRENCY: u64 = 1 << 20;
/// Shortest time in ms, since the platform's JSON has whole microseconds.
const MICROSECOND_MS: f64 = 0.001;

/// Choices of `classes[].repeat`.
const REPEATS: &[Choice] = &[
    Choice {
        toml: "safe",
        json: "read_like",
    },
    Choice::same("idempotency_key"),
    Choice {
        toml: "never",
        json: "non_idempotent",
    },
];
/// Choices of `classes[].idempotency_scope`.
const IDEMPOTENCY_SCOPES: &[Choice] = &[
    Choice::same("all"),
    Choice::same("zone"),
    Choice::same("cell"),
];

/// The keys of each `[[classes]]` table.
pub(super) const CLASSES: &[KeySpec] = &[
    KeySpec {
        toml_path: "classes[].name",
        json_path: "settings.classes[].name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of the class, in `X-Class` and as the first segment of the path.",
    },
    KeySpec {
        toml_path: "classes[].latency_target_ms",
        json_path: "settings.classes[].aimUs",
        value_type: ValueType::Milliseconds {
            min: MICROSECOND_MS,
            max: HOUR_MS,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Latency objective, in ms: an answer within it earns the full priority weight.",
    },
    KeySpec {
        toml_path: "classes[].deadline_ms",
        json_path: "settings.classes[].deadlineUs",
        value_type: ValueType::Milliseconds {
            min: MICROSECOND_MS,
            max: HOUR_MS,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Longest time that clients wait for an answer, in ms.",
    },
    KeySpec {
        toml_path: "classes[].late_value",
        json_path: "settings.classes[].lateValue",
        value_type: ValueType::Number { min: 0.0, max: 1.0 },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Late weight: fraction of the priority weight that a later answer earns.",
    },
    KeySpec {
        toml_path: "classes[].value",
        json_path: "settings.classes[].worth",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Priority weight of a request, relative to other classes.",
    },
    KeySpec {
        toml_path: "classes[].repeat",
        json_path: "settings.classes[].repeat",
        value_type: ValueType::Choice(REPEATS),
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Whether a request may be repeated: always, with its idempotency key, or never.",
    },
    KeySpec {
        toml_path: "classes[].idempotency_scope",
        json_path: "settings.classes[].group",
        value_type: ValueType::Choice(IDEMPOTENCY_SCOPES),
        default: DefaultValue::Absent { meaning: "none" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Deduplication scope: servers that recognise an idempotency key; required with `idempotency_key`.",
    },
    KeySpec {
        toml_path: "classes[].idempotency_window_ms",
        json_path: "settings.classes[].windowUs",
        value_type: ValueType::Milliseconds {
            min: 0.0,
            max: HOUR_MS,
        },
        default: DefaultValue::Milliseconds(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Time for which servers recognise an idempotency key, in ms.",
    },
];

/// The keys of each `[[plans]]` table.
pub(super) const PLANS: &[KeySpec] = &[
    KeySpec {
        toml_path: "plans[].name",
        json_path: "settings.packages[].name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of the plan, in `X-Tier`.",
    },
    KeySpec {
        toml_path: "plans[].units_per_s",
        json_path: "settings.packages[].rate",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description:
            "Quota of each customer over all edge nodes, in units a second; 0 for no limit by rate.",
    },
    KeySpec {
        toml_path: "plans[].burst_units",
        json_path: "settings.packages[].storeSize",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Maximum number of units that may be used at one moment.",
    },
    KeySpec {
        toml_path: "plans[].concurrency",
        json_path: "settings.packages[].atOnce",
        value_type: ValueType::Integer {
            min: 0,
            max: MAX_CONCURRENCY,
        },
        default: DefaultValue::Integer(0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Maximum number of attempts of a customer in flight at once; 0 for no limit.",
    },
    KeySpec {
        toml_path: "plans[].value_factor",
        json_path: "settings.packages[].price",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(1.0),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Factor by which the priority weight of each class is multiplied for customers of the plan.",
    },
    KeySpec {
        toml_path: "plans[].over_quota_value",
        json_path: "settings.packages[].overWorth",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Fraction of the priority weight that a request beyond the quota earns.",
    },
    KeySpec {
        toml_path: "plans[].over_quota_cost",
        json_path: "settings.packages[].overrunCost",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Fraction of the priority weight that a request beyond the quota costs.",
    },
    KeySpec {
        toml_path: "plans[].ceiling_units_per_s",
        json_path: "settings.packages[].capRate",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Hard limit of each customer over all edge nodes, in units a second; 0 for no hard limit.",
    },
    KeySpec {
        toml_path: "plans[].ceiling_burst_units",
        json_path: "settings.packages[].neverOverDepth",
        value_type: ValueType::Number {
            min: 0.0,
            max: MAX_NUMBER,
        },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Maximum number of units that may be used at one moment under the hard limit.",
    },
];
