//! Settings and load reports as they are read from their text.

use super::*;

#[test]
fn a_load_report_that_cannot_be_read_tells_nothing() {
    assert_eq!(held("concurrent=7.5,depth=2,load_share=0.61", '='), Some(7.5));
    assert_eq!(held("depth:2, concurrent : 0", ':'), Some(0.0));
    for bad in
        ["", "concurrent", "concurrent=", "concurrent=-1", "concurrent=NaN", "concurrent=1e99", "depth=3"]
    {
        assert_eq!(held(bad, '='), None, "{bad:?}");
    }
}

const SETUP: &str = r#"{"balancers":2,"me":0,"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"mayTell":true,"sendCap":4,"retryAfter":false},"classes":[{"name":"read","aimUs":1,"worth":1,"repeat":"read_like"}],"packages":[{"name":"p","rate":1,"storeSize":1,"price":1}],"rules":{"coldFrom":0.2,"coldUs":1,"fallMultiple":3,"overloadForUs":1}}"#;

#[test]
fn a_deployment_may_have_no_zones() {
    let named = read(SETUP).expect("sound settings");
    assert!(named.zones.is_empty() && named.settings.allowed.retry_after.is_none());
    let elsewhere = SETUP.replacen('{', r#"{"zones":["a"],"zone":"b","#, 1);
    assert!(read(&elsewhere).is_err(), "a zone that is not among those there are");
}
