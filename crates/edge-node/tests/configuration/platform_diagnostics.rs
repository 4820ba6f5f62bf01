//! Diagnostics of the platform's JSON, with their lines. Operators rarely write this format, but
//! sometimes have to look into it.

use super::{check_config, CheckResult, DiagnosticCase};

/// A valid configuration in the platform's JSON, with keys that the edge node does not know.
pub(super) const PLATFORM_CONFIG: &str = r#"{
  "name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "odd": [{}],
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "peers": ["127.0.0.1:2", "127.0.0.1:3"], "peer_listen": null,
  "settings": {
    "balancers": 2, "me": 0, "zone": "a", "zones": ["a"], "periodUs": 2000, "discovery": "automatic",
    "ceilings": {"cancel": true, "mayTell": true, "sendCap": 4, "unheardOf": 1},
    "classes": [
      {"name": "read", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "read_like"},
      {"name": "pay", "aimUs": 400000, "deadlineUs": 30000000, "worth": 3.0, "repeat": "non_idempotent"}],
    "packages": [
      {"name": "p", "rate": 1.0, "storeSize": 1.0, "price": 1.0}],
    "rules": {"coldFrom": 0.2, "coldUs": 1000000, "fallMultiple": 3.0, "overloadForUs": 1000000}}}"#;

/// Replacements in [`PLATFORM_CONFIG`]. Each expected diagnostic begins with its line number.
const PLATFORM_DIAGNOSTICS: &[DiagnosticCase] = &[
    DiagnosticCase::new("127.0.0.1:0", "nowhere", "2: listen: must be an IP address"),
    DiagnosticCase::new(
        "\"sockets\": 1024",
        "\"sockets\": 63",
        "3: limits.sockets: is 63, but must be at least 64",
    ),
    DiagnosticCase::new(
        "127.0.0.1:3",
        "x",
        "4: peers: must be a list of IP addresses",
    ),
    DiagnosticCase::new(
        "\"me\": 0",
        "\"me\": 2",
        "6: settings.me: must be less than 2, the number of edge nodes",
    ),
    DiagnosticCase::new(
        "\"periodUs\": 2000",
        "\"periodUs\": 2.5",
        "6: settings.periodUs: must be an integer",
    ),
    DiagnosticCase::new(
        "\"zone\": \"a\"",
        "\"zone\": \"b\"",
        "6: settings.zone: must be one of a",
    ),
    DiagnosticCase::new(
        "\"automatic\"",
        "\"never\"",
        "6: settings.discovery: must be one of automatic, subscribe",
    ),
    DiagnosticCase::new(
        "\"cancel\": true",
        "\"cancel\": 1",
        "7: settings.ceilings.cancel: must be true or false",
    ),
    DiagnosticCase::new(
        "\"worth\": 3.0, \"repeat\": \"non",
        "\"repeat\": \"non",
        "10: settings.classes[1].worth: is missing",
    ),
    DiagnosticCase::new(
        "\"non_idempotent\"",
        "\"idempotency_key\"",
        "10: settings.classes[1].group: is missing",
    ),
    DiagnosticCase::new(
        "\"rate\": 1.0",
        "\"rate\": -1.0",
        "12: settings.packages[0].rate: is -1, but must be at least 0",
    ),
    DiagnosticCase::new(
        "\"name\": \"p\", ",
        "\"name\": \"p\", \"name\": \"q\", ",
        "12: settings.packages[0].name: duplicate key",
    ),
];

#[test]
fn diagnostics_of_platform_json_name_its_keys_and_lines() {
    assert!(
        check_config("valid.json", PLATFORM_CONFIG).is_valid,
        "unknown keys must be ignored"
    );
    assert!(
        check_config("valid.conf", PLATFORM_CONFIG).is_valid,
        "format must be detected by content"
    );
    for (number, case) in PLATFORM_DIAGNOSTICS.iter().enumerate() {
        let CheckResult { is_valid, lines } =
            case.check(&format!("platform-{number}.json"), PLATFORM_CONFIG);
        let is_reported = lines.len() == 1 && lines[0].starts_with(case.diagnostic);
        assert!(!is_valid && is_reported, "{}: {lines:?}", case.replacement);
    }
    let several = PLATFORM_CONFIG
        .replace("\"sendCap\": 4, ", "")
        .replace("\"name\": \"n3\"", "\"name\": []");
    assert_eq!(
        check_config("platform-several.json", &several).lines.len(),
        2
    );
}
