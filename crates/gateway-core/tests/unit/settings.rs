//! Tests of the parser of JSON settings.

use super::*;

const SETTINGS: &str = r#"{
    "balancers": 2, "me": 0, "periodUs": 2000, "discovery": "automatic",
    "ceilings": {"cancel": true, "mayTell": true, "sendCap": 4, "retryAfter": false},
    "classes": [{"name": "read", "aimUs": 1, "worth": 1, "repeat": "read_like"}],
    "packages": [{"name": "p", "rate": 1, "storeSize": 1, "price": 1}],
    "rules": {"coldFrom": 0.2, "coldUs": 1, "fallMultiple": 3, "overloadForUs": 1}
}"#;

#[test]
fn accepts_settings_without_zones_and_rejects_unlisted_zone() {
    let resolved = parse(SETTINGS).expect("valid settings");
    assert!(
        resolved.zone_names.is_empty() && resolved.settings.permissions.max_retry_after.is_none()
    );
    let with_zones = |zones: &str| SETTINGS.replacen('{', &format!("{{{zones},"), 1);
    assert!(parse(&with_zones(r#""zones":["a"],"zone":"a""#)).is_ok());
    let unlisted = with_zones(r#""zones":["a"],"zone":"b""#);
    assert!(
        parse(&unlisted).is_err(),
        "accepted a zone that is not listed"
    );
}
