//! The kinds of faults and their names on the command line.

use crate::Failure;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// No fault.
    Calm,
    /// The demand of all customers rises by half, and one or two customers flood.
    Burst,
    /// One in eight servers accepts requests and completes none.
    Hang,
    /// One in eight servers is six times slower.
    Slow,
    /// Half of the servers are replaced by cold ones, at different times.
    RollingReplacement,
    /// Seven in ten gateways are killed concurrently and restart.
    GatewayKill,
    /// One zone is partitioned from the others, and more messages are lost everywhere.
    Partition,
    /// Discovery has an outage, in which one in eight servers drains.
    DiscoveryOutage,
    /// An additional server starts cold.
    ColdStart,
    /// One in eight servers stops and restarts cold.
    ServerRestart,
    /// A third of the connections to servers are established late, or not within the connect
    /// timeout.
    LateConnections,
}

/// Names of the faults on the command line.
const FAULT_NAMES: [(&str, Fault); 11] = [
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
    ("late", Fault::LateConnections),
];

impl Fault {
    /// Returns the fault with a name on the command line.
    ///
    /// # Errors
    /// [`Failure::InvalidArguments`] if there is no such fault.
    pub(super) fn parse(name: &str) -> Result<Fault, Failure> {
        if let Some((_, fault)) = FAULT_NAMES.iter().find(|(known, _)| *known == name) {
            return Ok(*fault);
        }
        let names = FAULT_NAMES.map(|(name, _)| name).join(", ");
        Err(Failure::InvalidArguments(format!(
            "unknown fault {name:?}; expected one of {names}"
        )))
    }
}
