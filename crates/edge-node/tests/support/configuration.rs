//! Configurations for the edge node under test.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Path of the example configuration for operators, relative to the package directory.
pub(crate) const EXAMPLE_CONFIG_PATH: &str = "../../edge-node.example.toml";

/// Settings in the JSON format of the platform.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":4,"connIdleUs":15000000,"connectTimeoutUs":250000},"classes":[{"name":"read","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"},{"name":"submit","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":2.0,"repeat":"idempotency_key","group":"cell","windowUs":60000000},{"name":"pay","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":9.0,"repeat":"non_idempotent"}],"packages":[{"name":"p","rate":1000.0,"storeSize":1000.0,"price":1.0},{"name":"tiny","rate":0.5,"storeSize":1.0,"price":1.0}],"rules":{"drainGraceUs":20000000,"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

/// The values that differ between the test configurations.
pub(super) struct PlatformConfig<'a> {
    pub(super) discovery: SocketAddr,
    /// Address on which the node receives datagrams from peers.
    pub(super) node_datagram_address: SocketAddr,
    /// Address of the node's only peer.
    pub(super) peer_datagram_address: SocketAddr,
    /// Endpoint list that the configuration contains.
    pub(super) known_list: &'a str,
}

impl PlatformConfig<'_> {
    /// Returns the configuration in the JSON format of the platform.
    pub(super) fn text(&self) -> String {
        let PlatformConfig {
            discovery,
            node_datagram_address,
            peer_datagram_address,
            known_list,
        } = self;
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{node_datagram_address}","peers":["{node_datagram_address}","{peer_datagram_address}"],"known":{known_list},"settings":{SETTINGS}}}"#
        )
    }
}

/// Returns the example configuration for operators.
pub(crate) fn example_config() -> String {
    std::fs::read_to_string(EXAMPLE_CONFIG_PATH).expect("example configuration is readable")
}

/// Returns the example configuration with this discovery address, and with free loopback ports to
/// listen on.
pub(crate) fn runnable_example_config(discovery: SocketAddr) -> String {
    example_config()
        .replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery.to_string())
        .replacen("listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.1:0\"", 1)
}

/// Writes a configuration to a new temporary file and returns its path. `name` must end with the
/// file extension of the format.
pub(crate) fn write_config_file(name: &str, config: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("edge-node-{}-{name}", std::process::id()));
    std::fs::write(&path, config).expect("configuration is written");
    path
}
