//! Configuration files as operators and the platform use them. Each must be read as the same values
//! for as long as its format is supported. The files and the expected values do not change when
//! names in the code change.

use edge_node::config::schema::RestartValues;
use edge_node::config::{AdminOptions, Config, OperatorOptions, PeerAddresses};
use edge_node::endpoint_list::{EndpointEntries, EndpointEntry, EndpointHealth, EndpointList};
use edge_node::log::{LogFormat, LogLevel, LogOptions};
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::{
    Class, DeduplicationScope, EndpointDiscovery, GatewayId, HardLimit, Idempotency, Permissions,
    Plan, ServerRules, Settings, Units, ZoneId,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const PLATFORM_CONFIG_PATH: &str = "tests/fixtures/platform-config.json";
const EXAMPLE_CONFIG_PATH: &str = "tests/fixtures/example-config.toml";
/// Expected values, for each file, of the keys that require a restart, by their paths in its
/// format.
const PLATFORM_RESTART_VALUES: &str = include_str!("fixtures/platform-restart-values.json");
const EXAMPLE_RESTART_VALUES: &str = include_str!("fixtures/example-restart-values.json");

const MIB: usize = 1024 * 1024;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("valid address")
}

fn addresses(texts: &[&str]) -> Vec<SocketAddr> {
    texts.iter().map(|text| address(text)).collect()
}

/// Asserts that resolved settings are equal. Destructuring names each field, so that a new field
/// can't be forgotten here.
fn assert_same_resolved_settings(actual: ResolvedSettings, expected: ResolvedSettings) {
    let ResolvedSettings {
        settings,
        class_names,
        plan_names,
        zone_names,
        longest_deadline,
        drain_grace,
        connection_idle_timeout,
        connect_timeout,
    } = actual;
    assert_eq!(settings, expected.settings);
    assert_eq!(class_names, expected.class_names);
    assert_eq!(plan_names, expected.plan_names);
    assert_eq!(zone_names, expected.zone_names);
    assert_eq!(longest_deadline, expected.longest_deadline);
    assert_eq!(drain_grace, expected.drain_grace);
    assert_eq!(connection_idle_timeout, expected.connection_idle_timeout);
    assert_eq!(connect_timeout, expected.connect_timeout);
}

fn assert_same_peers(actual: Option<PeerAddresses>, expected: PeerAddresses) {
    let PeerAddresses {
        listen,
        addresses,
        broadcast,
    } = actual.expect("configuration has addresses of peers");
    assert_eq!(listen, expected.listen);
    assert_eq!(addresses, expected.addresses);
    assert_eq!(broadcast, expected.broadcast);
}

/// Asserts that the log has its default options and that there is no admin listener.
fn assert_default_operator_options(actual: OperatorOptions) {
    let OperatorOptions {
        log: LogOptions { level, format },
        admin: AdminOptions { listen },
    } = actual;
    assert_eq!(level, LogLevel::Info);
    assert!(matches!(format, LogFormat::Text));
    assert_eq!(listen, None);
}

fn assert_same_restart_values(actual: RestartValues, expected: &str) {
    let actual = serde_json::to_value(actual).expect("restart values are serializable");
    let expected: serde_json::Value = serde_json::from_str(expected).expect("valid JSON");
    assert_eq!(actual, expected, "{actual:#}");
}

fn keyed_idempotency(scope: DeduplicationScope, window_us: u64) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: Duration::from_micros(window_us),
    }
}

fn platform_classes() -> Vec<Class> {
    vec![
        Class {
            latency_objective: Duration::from_micros(1_000_000),
            late_weight: 0.25,
            client_deadline: Duration::from_micros(4_000_000),
            priority_weight: 3.0,
            idempotency: Idempotency::Idempotent,
        },
        Class {
            latency_objective: Duration::from_micros(1_100_000),
            late_weight: 0.5,
            client_deadline: Duration::from_micros(5_000_000),
            priority_weight: 2.5,
            idempotency: keyed_idempotency(DeduplicationScope::Cell, 60_000_000),
        },
        Class {
            latency_objective: Duration::from_micros(1_200_000),
            late_weight: 0.75,
            client_deadline: Duration::from_micros(3_000_000),
            priority_weight: 2.0,
            idempotency: keyed_idempotency(DeduplicationScope::Zone, 61_000_000),
        },
        Class {
            latency_objective: Duration::from_micros(1_300_000),
            late_weight: 1.0,
            client_deadline: Duration::from_micros(2_000_000),
            priority_weight: 1.5,
            idempotency: keyed_idempotency(DeduplicationScope::AllServers, 62_000_000),
        },
        Class {
            latency_objective: Duration::from_micros(1_400_000),
            late_weight: 0.125,
            client_deadline: Duration::from_micros(4_500_000),
            priority_weight: 5.0,
            idempotency: Idempotency::NonIdempotent,
        },
    ]
}

fn platform_plans() -> Vec<Plan> {
    vec![
        Plan {
            rate: 2.5,
            burst: Units::new(10.0),
            max_concurrent: None,
            weight: 0.72,
            over_quota_weight: 0.0,
            over_quota_cost: 0.0,
            hard_limit: None,
        },
        Plan {
            rate: 50.0,
            burst: Units::new(100.0),
            max_concurrent: Some(12),
            weight: 1.8,
            over_quota_weight: 0.2,
            over_quota_cost: 0.8,
            hard_limit: Some(HardLimit {
                rate: 110.0,
                capacity: Units::new(220.0),
            }),
        },
    ]
}

fn platform_settings() -> ResolvedSettings {
    ResolvedSettings {
        settings: Settings {
            gateway_id: GatewayId(2),
            gateway_count: 3,
            zone: ZoneId(1),
            classes: platform_classes(),
            plans: platform_plans(),
            rules: ServerRules {
                warm_up_from: 0.27,
                warm_up_period: Duration::from_micros(16_000_000),
                overload_multiple: 2.5,
                overload_window: Duration::from_micros(3_000_000),
            },
            permissions: Permissions {
                max_attempts: 6,
                cancel_attempts: false,
                peer_messages: true,
                max_retry_after: Some(Duration::from_micros(30_000_000)),
            },
            cross_zone_cost: 0.05,
            discovery: EndpointDiscovery::Watched,
            event_period: Duration::from_micros(2_500),
            peer_messages_per_second: 40.0,
            max_request_units: Units::new(8.0),
        },
        class_names: [
            "balance-read",
            "submit-loan",
            "renew-loan",
            "close-loan",
            "post-payment",
        ]
        .map(String::from)
        .into(),
        plan_names: ["basic", "premier"].map(String::from).into(),
        zone_names: ["block-a", "block-b", "block-c"].map(String::from).into(),
        longest_deadline: Duration::from_micros(5_000_000),
        drain_grace: Duration::from_micros(450_000),
        connection_idle_timeout: Duration::from_micros(14_000_000),
        connect_timeout: Duration::from_micros(270_000),
    }
}

fn platform_endpoints() -> EndpointList {
    let entry =
        |name: &str, listen: Option<&str>, zone: &str, cell, health, weight, started_at_ms| {
            EndpointEntry {
                name: name.to_owned(),
                address: listen.map(address),
                zone: zone.to_owned(),
                cell,
                health,
                weight,
                started_at_ms,
            }
        };
    let readable = vec![
        entry(
            "s-1",
            Some("127.0.2.1:9000"),
            "block-a",
            7,
            EndpointHealth::Ready,
            0.5,
            1200,
        ),
        entry(
            "s-2",
            Some("127.0.2.2:9000"),
            "block-b",
            8,
            EndpointHealth::Draining,
            1.5,
            0,
        ),
        entry("s-3", None, "", 0, EndpointHealth::Gone, 1.0, 0),
    ];
    EndpointList {
        sequence: 41,
        is_snapshot: true,
        entries: EndpointEntries {
            readable,
            has_malformed: false,
        },
    }
}

#[test]
fn platform_settings_are_parsed_to_expected_values() {
    let text = std::fs::read_to_string(PLATFORM_CONFIG_PATH).expect("fixture is readable");
    let config: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let actual = settings::parse(&config["settings"].to_string()).expect("valid settings");
    assert_same_resolved_settings(actual, platform_settings());
}

#[test]
fn platform_config_is_read_to_expected_values() {
    let Config {
        path,
        name,
        listen,
        discovery,
        seed,
        max_file_descriptors,
        max_memory,
        peers,
        initial_endpoints,
        settings,
        operator_options,
        restart_values,
    } = Config::read(Path::new(PLATFORM_CONFIG_PATH)).expect("valid configuration");
    assert_eq!(path, Path::new(PLATFORM_CONFIG_PATH));
    assert_eq!(name, "n3");
    assert_eq!(listen, address("127.0.0.4:8443"));
    assert_eq!(discovery, address("127.0.1.1:8500"));
    assert_eq!(seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((max_file_descriptors, max_memory), (1000, 192 * MIB));
    let expected_peers = PeerAddresses {
        listen: address("127.0.0.4:7946"),
        addresses: addresses(&["127.0.0.2:7946", "127.0.0.3:7946", "127.0.0.4:7946"]),
        broadcast: Some(address("127.0.0.255:7946")),
    };
    assert_same_peers(peers, expected_peers);
    assert_eq!(initial_endpoints, Some(platform_endpoints()));
    assert_same_resolved_settings(settings, platform_settings());
    assert_default_operator_options(operator_options);
    assert_same_restart_values(restart_values, PLATFORM_RESTART_VALUES);
}

fn example_classes() -> Vec<Class> {
    let class = |priority_weight, idempotency| Class {
        latency_objective: Duration::from_micros(1_000_000),
        late_weight: 0.2,
        client_deadline: Duration::from_micros(4_000_000),
        priority_weight,
        idempotency,
    };
    vec![
        class(3.0, Idempotency::Idempotent),
        class(5.0, Idempotency::NonIdempotent),
    ]
}

fn example_plans() -> Vec<Plan> {
    let basic = Plan {
        rate: 2.5,
        burst: Units::new(10.0),
        max_concurrent: None,
        weight: 0.72,
        over_quota_weight: 0.2,
        over_quota_cost: 0.0,
        hard_limit: None,
    };
    let premier = Plan {
        rate: 50.0,
        burst: Units::new(100.0),
        max_concurrent: None,
        weight: 1.8,
        over_quota_weight: 0.0,
        over_quota_cost: 0.8,
        hard_limit: Some(HardLimit {
            rate: 100.0,
            capacity: Units::new(200.0),
        }),
    };
    vec![basic, premier]
}

fn example_settings() -> ResolvedSettings {
    ResolvedSettings {
        settings: Settings {
            gateway_id: GatewayId(0),
            gateway_count: 3,
            zone: ZoneId(0),
            classes: example_classes(),
            plans: example_plans(),
            rules: ServerRules {
                warm_up_from: 0.27,
                warm_up_period: Duration::from_micros(16_000_000),
                overload_multiple: 2.5,
                overload_window: Duration::from_micros(3_000_000),
            },
            permissions: Permissions {
                max_attempts: 5,
                cancel_attempts: true,
                peer_messages: true,
                max_retry_after: Some(Duration::from_micros(u64::MAX)),
            },
            cross_zone_cost: 0.0,
            discovery: EndpointDiscovery::Pushed,
            event_period: Duration::from_micros(2_000),
            peer_messages_per_second: 40.0,
            max_request_units: Units::new(8.0),
        },
        class_names: ["balance-read", "post-payment"].map(String::from).into(),
        plan_names: ["basic", "premier"].map(String::from).into(),
        zone_names: ["block-a", "block-b", "block-c"].map(String::from).into(),
        longest_deadline: Duration::from_micros(4_000_000),
        drain_grace: Duration::from_micros(500_000),
        connection_idle_timeout: Duration::from_micros(15_000_000),
        connect_timeout: Duration::from_micros(250_000),
    }
}

/// The seed is not compared: the example has none, so each reading draws a random one.
#[test]
fn example_config_is_read_to_expected_values() {
    let Config {
        path,
        name,
        listen,
        discovery,
        seed: _,
        max_file_descriptors,
        max_memory,
        peers,
        initial_endpoints,
        settings,
        operator_options,
        restart_values,
    } = Config::read(Path::new(EXAMPLE_CONFIG_PATH)).expect("valid configuration");
    assert_eq!(path, Path::new(EXAMPLE_CONFIG_PATH));
    assert_eq!(name, "edge-0");
    assert_eq!(listen, address("127.0.0.1:8443"));
    assert_eq!(discovery, address("127.0.0.1:8500"));
    assert_eq!((max_file_descriptors, max_memory), (1024, 192 * MIB));
    let expected_peers = PeerAddresses {
        listen: address("127.0.0.1:7946"),
        addresses: addresses(&["127.0.0.1:7946", "127.0.0.2:7946", "127.0.0.3:7946"]),
        broadcast: None,
    };
    assert_same_peers(peers, expected_peers);
    assert_eq!(initial_endpoints, None);
    assert_same_resolved_settings(settings, example_settings());
    assert_default_operator_options(operator_options);
    assert_same_restart_values(restart_values, EXAMPLE_RESTART_VALUES);
}
