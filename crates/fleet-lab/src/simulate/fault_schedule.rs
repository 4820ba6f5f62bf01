//! The schedule of all faults of a simulation.

use crate::world::datagrams::{Partitions, TemporaryValue};
use crate::world::TimeSpan;
use gateway_core::{Endpoint, GatewayId, ServerId, Timestamp};

/// What is done to a server or gateway.
#[derive(Clone, Copy, Debug)]
pub enum FaultAction {
    /// A server answers nothing for a while.
    HangServer {
        /// The server.
        server: ServerId,
        /// When it answers again.
        until: Timestamp,
    },
    /// A server takes longer for all work.
    SlowServer {
        /// The server.
        server: ServerId,
        /// By this factor; 1 ends the slowness.
        factor: f64,
    },
    /// A new server starts, cold.
    StartServer(Endpoint),
    /// Discovery lists a server as draining.
    DrainServer(ServerId),
    /// A server's process ends.
    StopServer(ServerId),
    /// A server's process starts again, cold.
    RestartServer(ServerId),
    /// A gateway is killed.
    KillGateway(GatewayId),
    /// A gateway starts again.
    RestartGateway(GatewayId),
}

/// A fault action and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledAction {
    /// When.
    pub at: Timestamp,
    /// What is done.
    pub action: FaultAction,
}

/// All faults of a simulation.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// What is done to servers and gateways.
    pub actions: Vec<ScheduledAction>,
    /// Network partitions.
    pub partitions: Partitions,
    /// When discovery answers nothing.
    pub discovery_outages: Vec<TimeSpan>,
    /// When all customers ask for a multiple.
    pub surges: Vec<TemporaryValue>,
    /// When two customers add a fraction to all traffic.
    pub flood: Option<TemporaryValue>,
    /// When a fraction of all messages is lost.
    pub message_loss: Option<TemporaryValue>,
}
