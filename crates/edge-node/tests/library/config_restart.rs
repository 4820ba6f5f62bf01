//! Which changes of a configuration require a restart.

use edge_node::config::file::ConfigFormat;
use edge_node::config::schema::RestartValues;
use serde_json::{json, Value};

fn values(json: &Value) -> RestartValues {
    RestartValues::from_platform_json(ConfigFormat::Toml, json)
}

#[test]
fn changed_keys_are_named_in_alphabetical_order() {
    let before =
        json!({"name": "a", "settings": {"me": 0, "packages": [{"rate": 1.0}, {"rate": 2.0}]}});
    let after =
        json!({"name": "a", "settings": {"me": 1, "packages": [{"rate": 1.0}, {"rate": 3.0}]}});
    assert_eq!(
        values(&before).changed_keys(&values(&after)),
        ["fleet.number", "plans[].units_per_s"]
    );
    assert_eq!(
        values(&before).changed_keys(&values(&before)),
        <[&str; 0]>::default()
    );
}

#[test]
fn what_is_applied_in_service_requires_no_restart() {
    let before = json!({"discovery": "127.0.0.1:1", "seed": "1", "log": {"level": "info"}});
    let after = json!({"discovery": "127.0.0.1:2", "seed": "2", "log": {"level": "debug"}});
    assert_eq!(
        values(&before).changed_keys(&values(&after)),
        <[&str; 0]>::default()
    );
}

#[test]
fn keys_are_named_as_the_file_s_format_has_them() {
    let platform = |json| RestartValues::from_platform_json(ConfigFormat::PlatformJson, &json);
    let before = platform(json!({"limits": {"sockets": 64}}));
    let after = platform(json!({"limits": {"sockets": 65}}));
    assert_eq!(before.changed_keys(&after), ["limits.sockets"]);
}
