//! Why there is no connection to a server, and whether the cause lies with the server or with
//! this machine.

use gateway_core::AttemptOutcome;
use std::io;
use thiserror::Error;

/// Errors of the operating system by which this process, not the server, lacks something:
/// descriptors of the process or of the whole system, local addresses, buffers or memory.
const LOCAL_RESOURCE_ERRORS: [i32; 5] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::EADDRNOTAVAIL,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Why there is no connection to a server. Nothing was sent.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The gateway cancelled the attempt before the connection was up.
    #[error("cancelled while connecting")]
    Cancelled,
    /// The attempt's deadline passed before the connection was up.
    #[error("the attempt's deadline passed while connecting")]
    DeadlineExceeded,
    /// No address is known for the server, or it is not ready.
    #[error("the server has no address")]
    UnknownServer,
    /// All sockets that this process may have are in use, and none is idle.
    #[error("no socket is left")]
    SocketLimit,
    /// This process or its machine lacks something that a connection needs.
    #[error("too few local resources for a connection")]
    LocalResources(#[source] io::Error),
    /// The server, or the way there, refused the connection.
    #[error("the connection failed")]
    Failed(#[source] io::Error),
    /// The connection did not come up within the connect timeout.
    #[error("the connect timeout passed")]
    TimedOut,
    /// The connection came up but cannot carry HTTP.
    #[error("the HTTP handshake failed")]
    Handshake(#[source] hyper::Error),
}

impl ConnectError {
    /// The outcome that is reported to the gateway: a server is reported as unreachable only if the
    /// cause may lie with the server.
    pub(super) fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectError::Cancelled
            | ConnectError::UnknownServer
            | ConnectError::SocketLimit
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
