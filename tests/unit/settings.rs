//! Settings as they are parsed from their text.

use super::*;

const SETTINGS: &str = r#"{"balancers":2,"me":0,"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"mayTell":true,"sendCap":4,"retryAfter":false},"classes":[{"name":"read","aimUs":1,"worth":1,"repeat":"read_like"}],"packages":[{"name":"p","rate":1,"storeSize":1,"price":1}],"rules":{"coldFrom":0.2,"coldUs":1,"fallMultiple":3,"overloadForUs":1}}"#;

#[test]
fn a_deployment_may_have_no_zones() {
    let resolved = parse(SETTINGS).expect("sound settings");
    assert!(resolved.zone_names.is_empty() && resolved.settings.permissions.max_retry_after.is_none());
    let elsewhere = SETTINGS.replacen('{', r#"{"zones":["a"],"zone":"b","#, 1);
    assert!(parse(&elsewhere).is_err(), "a zone that is not among those there are");
}
