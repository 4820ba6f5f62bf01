//! Configurations of the edge node under test.

pub(super) const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":4,"connIdleUs":15000000,"connectTimeoutUs":250000},"classes":[{"name":"read","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"},{"name":"submit","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":2.0,"repeat":"idempotency_key","group":"cell","windowUs":60000000},{"name":"pay","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":9.0,"repeat":"non_idempotent"}],"packages":[{"name":"p","rate":1000.0,"storeSize":1000.0,"price":1.0},{"name":"tiny","rate":0.5,"storeSize":1.0,"price":1.0}],"rules":{"drainGraceUs":20000000,"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

/// A configuration as a file of its own; `name` ends with its extension.
pub(crate) fn written(name: &str, config: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("edge-node-{}-{name}", std::process::id()));
    std::fs::write(&path, config).expect("the configuration is written");
    path
}
