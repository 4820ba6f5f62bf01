//! Call terms: all three, once each, within the settings.

use edge_node::clients::call_terms::CallTerms;
use gateway_core::{settings, GatewayId, GatewaySet, Settings, Units};

/// Settings of three gateways, with 8 units for a request at most.
fn settings() -> Settings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../fixtures/platform-config.json"))
            .expect("a configuration");
    settings::parse(&config["settings"].to_string())
        .expect("settings")
        .settings
}

#[test]
fn terms_may_come_in_any_order_beside_unknown_ones() {
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
fn terms_that_are_missing_repeated_or_out_of_range_are_rejected() {
    let bad = [
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
    for text in bad {
        assert_eq!(CallTerms::parse(text, &settings()), None, "{text:?}");
    }
}
