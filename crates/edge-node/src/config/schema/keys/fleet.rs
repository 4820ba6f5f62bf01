//! Keys of the fleet of edge nodes and of the datagrams between edge nodes.

use crate::config::schema::spec::{
    Choice, DefaultValue, KeySpec, OnReload, PlatformPresence, ValueType, MAX_NUMBER,
};

/// Maximum number of edge nodes in a fleet.
const MAX_GATEWAYS: u64 = 100_000;
/// Upper bound of `fleet.round_ms`.
const MAX_ROUND_MS: f64 = 1_000.0;
/// Shortest time in ms, since the platform's JSON has whole microseconds.
const MICROSECOND_MS: f64 = 0.001;

/// Choices of `fleet.list_changes`.
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

/// The keys of the `[fleet]` table.
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
        description: "Number of edge nodes in the fleet.",
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
        description: "Number of this edge node, from 0.",
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
        description: "Zone of this edge node, one of `fleet.zones`.",
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
        description: "Shortest time between two rounds of events, in ms.",
    },
    KeySpec {
        toml_path: "fleet.list_changes",
        json_path: "settings.discovery",
        value_type: ValueType::Choice(LIST_CHANGES),
        default: DefaultValue::Choice("pushed"),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description:
            "How endpoint list changes reach the gateway; the edge node keeps a watch in any case.",
    },
];

/// The keys of the `[peers]` table.
pub(super) const PEERS: &[KeySpec] = &[
    KeySpec {
        toml_path: "peers.listen",
        json_path: "peer_listen",
        value_type: ValueType::Address,
        default: DefaultValue::Absent { meaning: "no datagrams" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Address on which datagrams of other edge nodes arrive.",
    },
    KeySpec {
        toml_path: "peers.addresses",
        json_path: "peers",
        value_type: ValueType::AddressList,
        default: DefaultValue::Absent { meaning: "none" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Address of each edge node in the order of their numbers, including this edge node.",
    },
    KeySpec {
        toml_path: "peers.broadcast",
        json_path: "peers_all",
        value_type: ValueType::Address,
        default: DefaultValue::Absent { meaning: "one datagram for each edge node" },
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Broadcast address that reaches all edge nodes.",
    },
    KeySpec {
        toml_path: "peers.enabled",
        json_path: "settings.ceilings.mayTell",
        value_type: ValueType::Boolean,
        default: DefaultValue::Boolean(true),
        in_platform_json: PlatformPresence::Required,
        on_reload: OnReload::RequiresRestart,
        description: "Whether edge nodes may send each other messages.",
    },
    KeySpec {
        toml_path: "peers.messages_per_s",
        json_path: "settings.extra.peerInPerS",
        value_type: ValueType::Number { min: 0.0, max: MAX_NUMBER },
        default: DefaultValue::Number(0.0),
        in_platform_json: PlatformPresence::Optional,
        on_reload: OnReload::RequiresRestart,
        description: "Maximum number of datagrams a second that an edge node can receive; at 0 edge nodes do not exchange usage counts.",
    },
];
