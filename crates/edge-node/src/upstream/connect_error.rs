//! Errors in connecting to a server, classified by whether the cause may lie with the server or
//! lies with this machine.

use crate::memory::MemoryExhausted;
use gateway_core::AttemptOutcome;
use std::io;
use thiserror::Error;

/// Error codes of the operating system for a lack of resources of this process or machine, not of
/// the server: descriptors of the process or of the whole system, local addresses, buffers or
/// memory.
const LOCAL_RESOURCE_ERRORS: [i32; 5] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::EADDRNOTAVAIL,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Reason why there is no connection to a server. Nothing was sent in any of these cases.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The gateway cancelled the attempt before the connection was established.
    #[error("cancelled while connecting")]
    Cancelled,
    /// The attempt's deadline passed before the connection was established.
    #[error("the attempt's deadline passed while connecting")]
    DeadlineExceeded,
    /// The time until which the request may be written passed before the connection was
    /// established.
    #[error("the write deadline passed while connecting")]
    WriteDeadlineExceeded,
    /// No address is known for the server, or it is not ready.
    #[error("no address is known for the server")]
    UnknownServer,
    /// All sockets that this process may open are in use, and no connection is idle.
    #[error("the socket limit is reached and no connection is idle")]
    SocketLimit,
    /// There is no memory to write the head of the request.
    #[error("no memory for the head of the request")]
    HeadMemory(#[from] MemoryExhausted),
    /// This process or its machine lacks a resource that a connection needs.
    #[error("insufficient local resources for a connection")]
    LocalResources(#[source] io::Error),
    /// The server or the network refused the connection, or connecting failed in another way.
    #[error("the connection failed")]
    Failed(#[source] io::Error),
    /// The connection was not established within the connect timeout.
    #[error("the connect timeout passed")]
    TimedOut,
    /// The connection was established but cannot carry HTTP.
    #[error("the HTTP handshake failed")]
    Handshake(#[source] hyper::Error),
}

impl ConnectError {
    /// Returns the outcome that is reported to the gateway: a server is reported as unreachable
    /// only if the cause may lie with the server.
    pub(super) fn outcome(&self) -> AttemptOutcome {
        match self {
            // The write deadline follows from the history of the request, not from the server.
            ConnectError::Cancelled
            | ConnectError::WriteDeadlineExceeded
            | ConnectError::UnknownServer
            | ConnectError::SocketLimit
            | ConnectError::HeadMemory(_)
            | ConnectError::LocalResources(_) => AttemptOutcome::NotSent,
            ConnectError::DeadlineExceeded
            | ConnectError::Failed(_)
            | ConnectError::TimedOut
            | ConnectError::Handshake(_) => AttemptOutcome::Unreachable,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> ConnectError {
        match error.raw_os_error() {
            Some(code) if LOCAL_RESOURCE_ERRORS.contains(&code) => {
                ConnectError::LocalResources(error)
            }
            _ => ConnectError::Failed(error),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_connect_error.rs"]
mod tests;
