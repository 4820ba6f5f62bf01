//! Keys of the fleet of edge nodes, and of the datagrams between them.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, MAX_NUMBER,
};

/// Edge nodes of the largest fleet.
const MAX_GATEWAYS: u64 = 100_000;
/// The longest time between two control ticks, in ms.
const MAX_ROUND_MS: f64 = 1_000.0;
/// The platform counts whole microseconds, so this is its shortest time, in ms.
const MICROSECOND_MS: f64 = 0.001;

/// Values of `fleet.list_changes`.
const LIST_CHANGES: &[Choice] = &[
    Choice {
        toml: "pushed",
        json: "automatic",
    },
    Choice {
        toml: "followed",
        json: "subscribe",
    },
];

/// The `[fleet]` table.
pub(super) const FLEET: &[KeySpec] = &[
    KeySpec {
        toml_path: "fleet.gateways",
        json_path: "settings.balancers",
        value_type: ValueType::Integer {
            min: 1,
            max: MAX_GATEWAYS,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Edge nodes in the fleet.",
    },
    KeySpec {
        toml_path: "fleet.number",
        json_path: "settings.me",
        value_type: ValueType::Integer {
            min: 0,
            max: MAX_GATEWAYS - 1,
        },
        default: DefaultValue::Required,
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "This one's number, from 0.",
    },
    KeySpec {
        toml_path: "fleet.zones",
        json_path: "settings.zones",
        value_type: ValueType::StringList,
        default: DefaultValue::Absent {
            meaning: "no zones",
        },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Names of all zones.",
    },
    KeySpec {
        toml_path: "fleet.zone",
        json_path: "settings.zone",
        value_type: ValueType::String,
        default: DefaultValue::Absent { meaning: "no zone" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "This edge node's zone, one of `fleet.zones`.",
    },
    KeySpec {
        toml_path: "fleet.round_ms",
        json_path: "settings.periodUs",
        value_type: ValueType::Milliseconds {
            min: MICROSECOND_MS,
            max: MAX_ROUND_MS,
        },
        default: DefaultValue::Milliseconds(2.0),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Shortest span between two rounds of decisions, in ms.",
    },
    KeySpec {
        toml_path: "fleet.list_changes",
        json_path: "settings.discovery",
        value_type: ValueType::Choice(LIST_CHANGES),
        default: DefaultValue::Choice("pushed"),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description:
            "How list changes reach the decisions; the edge node keeps a watch in any case.",
    },
];

/// The `[peers]` table.
pub(super) const PEERS: &[KeySpec] = &[
    KeySpec {
        toml_path: "peers.listen",
        json_path: "peer_listen",
        value_type: ValueType::Address,
        default: DefaultValue::Absent { meaning: "no datagrams" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Where datagrams of other edge nodes arrive.",
    },
    KeySpec {
        toml_path: "peers.addresses",
        json_path: "peers",
        value_type: ValueType::AddressList,
        default: DefaultValue::Absent { meaning: "none" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "One address for each edge node in the order of their numbers, its own among them.",
    },
    KeySpec {
        toml_path: "peers.broadcast",
        json_path: "peers_all",
        value_type: ValueType::Address,
        default: DefaultValue::Absent { meaning: "one datagram each" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "One address that reaches all of them.",
    },
    KeySpec {
        toml_path: "peers.enabled",
        json_path: "settings.ceilings.mayTell",
        value_type: ValueType::Boolean,
        default: DefaultValue::Boolean(true),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Whether edge nodes may tell each other what they use.",
    },
    KeySpec {
        toml_path: "peers.messages_per_s",
        json_path: "settings.extra.peerInPerS",
        value_type: ValueType::Number { min: 0.0, max: MAX_NUMBER },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Datagrams a second that an edge node takes in; at 0 edge nodes do not tell each other their usage.",
    },
];
