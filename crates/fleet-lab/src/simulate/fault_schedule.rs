//! The schedule of all faults of a simulation.

use crate::world::datagrams::{Partitions, TemporaryValue};
use crate::world::TimeSpan;
use gateway_core::{Endpoint, GatewayId, ServerId, Timestamp};

/// A change that a fault makes to a server or gateway.
#[derive(Clone, Copy, Debug)]
pub enum FaultAction {
    /// A server hangs: it accepts requests and completes none.
    HangServer {
        /// Server that hangs.
        server: ServerId,
        /// Time at which the hang ends.
        until: Timestamp,
    },
    /// A server's executions take longer.
    SlowServer {
        /// Server that becomes slow.
        server: ServerId,
        /// Factor that multiplies the execution time; 1 restores the normal speed.
        factor: f64,
    },
    /// A new server starts cold, and discovery lists it.
    StartServer(Endpoint),
    /// Discovery lists a server as draining.
    DrainServer(ServerId),
    /// A server's process ends.
    StopServer(ServerId),
    /// A server's process starts again, cold.
    RestartServer(ServerId),
    /// A gateway is killed, and the requests that are open at it fail.
    KillGateway(GatewayId),
    /// A gateway starts again.
    RestartGateway(GatewayId),
}

/// A fault action and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledAction {
    /// Time of the action.
    pub at: Timestamp,
    /// The change to a server or gateway.
    pub action: FaultAction,
}

/// All faults of a simulation, drawn before it starts.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// Changes to servers and gateways. Changes at the same time are made in this order.
    pub actions: Vec<ScheduledAction>,
    /// Spans in which one zone is separated from all others.
    pub partitions: Partitions,
    /// Spans in which discovery cannot be reached.
    pub discovery_outages: Vec<TimeSpan>,
    /// Spans in which the demand of all customers is multiplied by a factor.
    pub surges: Vec<TemporaryValue>,
    /// Span in which one or two customers add a fraction of the total demand within the quotas.
    pub flood: Option<TemporaryValue>,
    /// Span in which a fraction of all messages is lost.
    pub message_loss: Option<TemporaryValue>,
    /// Span in which a fraction of all connections to servers is established late.
    pub late_connections: Option<TemporaryValue>,
}
