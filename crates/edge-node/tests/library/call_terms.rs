//! Tests the call terms: all three are required, once each, within the range of the settings.

use edge_node::clients::call_terms::CallTerms;
use gateway_core::{settings, GatewayId, GatewaySet, Settings, Units};

/// Settings of three gateways that allow a request at most 8 units.
fn settings() -> Settings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../fixtures/platform-config.json"))
            .expect("the fixture is not JSON");
    settings::parse(&config["settings"].to_string())
        .expect("the fixture has invalid settings")
        .settings
}

#[test]
fn accepts_terms_in_any_order_and_ignores_unknown_ones() {
    let gateways = GatewaySet {
        first: GatewayId(2),
        count: 3,
    };
    let expected = Some(CallTerms {
        units: Units::new(2.5),
        gateways,
    });
    for text in [
        "units=2.5,spread=3,first=2",
        "first=2, units=2.5 ,spread=3",
        "x=,first=2,x=9,spread=3,units=2.5",
    ] {
        assert_eq!(CallTerms::parse(text, &settings()), expected, "{text:?}");
    }
}

#[test]
fn rejects_missing_repeated_or_out_of_range_terms() {
    let invalid = [
        "",
        "units=1,spread=1",
        "units=1,first=0",
        "spread=1,first=0",
        "units=1,spread=1,first=0,",
        "units=1,spread=1,first=0,x",
        "units=1,units=1,spread=1,first=0",
        "units=1,spread=1,spread=1,first=0",
        "units=1,spread=1,first=0,first=0",
        "units=0,spread=1,first=0",
        "units=8.5,spread=1,first=0",
        "units=-1,spread=1,first=0",
        "units=1,spread=0,first=0",
        "units=1,spread=4,first=0",
        "units=1,spread=+1,first=0",
        "units=1,spread=,first=0",
        "units=1,spread=1,first=3",
        "units=1,spread=1,first=-0",
    ];
    for text in invalid {
        assert_eq!(CallTerms::parse(text, &settings()), None, "{text:?}");
    }
}
