//! Keys of each class of requests and of each plan.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, HOUR_MS, MAX_NUMBER,
};

/// Most attempts that a plan may allow at once.
const MAX_CONCURRENCY: u64 = 1 << 20;
/// The platform counts whole microseconds, so this is its shortest time, in ms.
const MICROSECOND_MS: f64 = 0.001;

/// Values of `classes[].repeat`.
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
/// Values of `classes[].idempotency_scope`.
const IDEMPOTENCY_SCOPES: &[Choice] = &[
    Choice::same("all"),
    Choice::same("zone"),
    Choice::same("cell"),
];

/// Each `[[classes]]` table.
pub(super) const CLASSES: &[KeySpec] = &[
    KeySpec {
        toml_path: "classes[].name",
        json_path: "settings.classes[].name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of the class of requests: `X-Class`, and the path's first part.",
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
        description: "An answer within this earns the full value, in ms.",
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
        description: "The longest that its clients wait, in ms.",
    },
    KeySpec {
        toml_path: "classes[].late_value",
        json_path: "settings.classes[].lateValue",
        value_type: ValueType::Number { min: 0.0, max: 1.0 },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Share of the value that a later answer earns.",
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
        description: "What an answer is worth, against other classes.",
    },
    KeySpec {
        toml_path: "classes[].repeat",
        json_path: "settings.classes[].repeat",
        value_type: ValueType::Choice(REPEATS),
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Whether it may run twice: always, under its idempotency key, or never.",
    },
    KeySpec {
        toml_path: "classes[].idempotency_scope",
        json_path: "settings.classes[].group",
        value_type: ValueType::Choice(IDEMPOTENCY_SCOPES),
        default: DefaultValue::Absent { meaning: "none" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Which servers know a key again; needed with `idempotency_key`.",
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
        description: "For so long, in ms.",
    },
];

/// Each `[[plans]]` table.
pub(super) const PLANS: &[KeySpec] = &[
    KeySpec {
        toml_path: "plans[].name",
        json_path: "settings.packages[].name",
        value_type: ValueType::String,
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Name of the plan: `X-Tier`.",
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
        description: "Units that may be used at once.",
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
        description: "Attempts that may be out at once; 0 for no limit.",
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
        description: "What a class's value counts for its customers.",
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
        description: "Share of the value that is earned beyond the quota.",
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
        description: "Share of the value that a request beyond the quota costs.",
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
        description: "Hard ceiling of each customer, in units a second; 0 for none.",
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
        description: "Most units at once under the ceiling.",
    },
];
