//! The kinds of faults and their names on the command line.

use crate::Failure;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// None.
    Calm,
    /// All customers ask for half as much again, and two customers flood.
    Burst,
    /// One of eight servers accepts requests and answers none.
    Hang,
    /// One of eight servers is six times slower.
    Slow,
    /// Half of the servers are replaced one after the other by cold ones.
    RollingReplacement,
    /// Seven of ten gateways are killed concurrently and restart.
    GatewayKill,
    /// A zone is partitioned from the others, and more messages are lost everywhere.
    Partition,
    /// Discovery has an outage, and one of eight servers drains in that time.
    DiscoveryOutage,
    /// One more server is started, cold.
    ColdStart,
    /// One of eight servers crashes and comes back cold.
    ServerRestart,
}

/// Names on the command line.
const FAULT_NAMES: [(&str, Fault); 10] = [
    ("calm", Fault::Calm),
    ("burst", Fault::Burst),
    ("hang", Fault::Hang),
    ("slow", Fault::Slow),
    ("drain", Fault::RollingReplacement),
    ("kill", Fault::GatewayKill),
    ("cut", Fault::Partition),
    ("silent", Fault::DiscoveryOutage),
    ("cold", Fault::ColdStart),
    ("restart", Fault::ServerRestart),
];

impl Fault {
    /// The fault of that name.
    ///
    /// # Errors
    /// If there is none.
    pub(super) fn parse(name: &str) -> Result<Fault, Failure> {
        if let Some((_, fault)) = FAULT_NAMES.iter().find(|(known, _)| *known == name) {
            return Ok(*fault);
        }
        let names = FAULT_NAMES.map(|(name, _)| name).join(", ");
        Err(Failure::InvalidArguments(format!(
            "no fault {name:?}; there are {names}"
        )))
    }
}
