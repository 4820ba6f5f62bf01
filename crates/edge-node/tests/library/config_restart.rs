//! Detection of changed keys that require a restart.

use edge_node::config::file::ConfigFormat;
use edge_node::config::schema::RestartValues;
use serde_json::{json, Value};

fn restart_values(json: &Value) -> RestartValues {
    RestartValues::from_platform_json(ConfigFormat::Toml, json)
}

#[test]
fn changed_keys_are_returned_in_alphabetical_order() {
    let before =
        json!({"name": "a", "settings": {"me": 0, "packages": [{"rate": 1.0}, {"rate": 2.0}]}});
    let after =
        json!({"name": "a", "settings": {"me": 1, "packages": [{"rate": 1.0}, {"rate": 3.0}]}});
    assert_eq!(
        restart_values(&before).changed_keys(&restart_values(&after)),
        ["fleet.number", "plans[].units_per_s"]
    );
    assert_eq!(
        restart_values(&before).changed_keys(&restart_values(&before)),
        <[&str; 0]>::default()
    );
}

#[test]
fn changed_discovery_seed_and_log_level_require_no_restart() {
    let before = json!({"discovery": "127.0.0.1:1", "seed": "1", "log": {"level": "info"}});
    let after = json!({"discovery": "127.0.0.1:2", "seed": "2", "log": {"level": "debug"}});
    assert_eq!(
        restart_values(&before).changed_keys(&restart_values(&after)),
        <[&str; 0]>::default()
    );
}

#[test]
fn changed_keys_have_paths_of_the_file_format() {
    let platform_values =
        |json| RestartValues::from_platform_json(ConfigFormat::PlatformJson, &json);
    let before = platform_values(json!({"limits": {"sockets": 64}}));
    let after = platform_values(json!({"limits": {"sockets": 65}}));
    assert_eq!(before.changed_keys(&after), ["limits.sockets"]);
}
