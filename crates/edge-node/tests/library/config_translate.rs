//! Translation of operators' TOML to the platform's JSON.

use edge_node::config::file::{parse, ConfigFormat};
use edge_node::config::schema::to_platform_json;
use serde_json::{json, Value};

fn translate(text: &str) -> Value {
    to_platform_json(&parse(ConfigFormat::Toml, text).expect("valid TOML"))
}

#[test]
fn values_get_paths_units_and_names_of_platform_json() {
    let json = translate(
        "[limits]\nmemory_mib = 192\n[fleet]\nround_ms = 2.5\nlist_changes = \"followed\"\nzones = [\"a\", \"b\"]\n",
    );
    assert_eq!(json["limits"]["memory_mb"], json!(192));
    assert_eq!(json["settings"]["periodUs"], json!(2_500));
    assert_eq!(json["settings"]["discovery"], json!("subscribe"));
    assert_eq!(json["settings"]["zones"], json!(["a", "b"]));
}

#[test]
fn absent_keys_get_their_defaults() {
    let json = translate("");
    assert_eq!(json["limits"]["sockets"], json!(1024));
    assert_eq!(
        json["settings"]["ceilings"]["connectTimeoutUs"],
        json!(250_000)
    );
    assert_eq!(json["settings"]["ceilings"]["mayTell"], json!(true));
    assert_eq!(json["log"]["level"], json!("info"));
    assert_eq!(
        json.get("admin"),
        None,
        "a key without a default value must stay absent"
    );
    assert_eq!(json["settings"].get("packages"), None);
}

#[test]
fn list_tables_keep_their_order() {
    let json = translate("[[plans]]\nname = \"basic\"\n[[plans]]\nconcurrency = 3\n");
    let plans = json["settings"]["packages"]
        .as_array()
        .expect("packages is a list");
    assert_eq!(plans.len(), 2);
    assert_eq!(
        (&plans[0]["name"], &plans[0]["atOnce"]),
        (&json!("basic"), &json!(0))
    );
    assert_eq!(
        (plans[1].get("name"), &plans[1]["atOnce"]),
        (None, &json!(3))
    );
}
