//! A watch on discovery: an HTTP request on a connection of its own, whose response body lasts as
//! long as the watch.

use crate::socket_io::SocketIo;
use bytes::Bytes;
use gateway_core::reconnect::WatchFailure;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;

/// Path and query of a watch that begins with a snapshot of all servers.
const WATCH_PATH: &str = "/api/targets?watch=1";

/// Why a watch has ended. The log event `watch_lost` has the text of the error and of its sources
/// as its cause.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The response head did not arrive before the deadline.
    #[error("no response to the watch request")]
    NoResponse(#[source] Elapsed),
    /// Discovery responded with a status other than 200.
    #[error("watch request was rejected with status {0}")]
    Rejected(StatusCode),
    /// A message is not a valid list, or the rest of a list did not arrive before the deadline.
    #[error("malformed or incomplete message on the watch")]
    Malformed,
    /// Nothing arrived before the deadline.
    #[error("no data on the watch before the deadline")]
    Silent,
    /// Discovery ended the response.
    #[error("watch response ended")]
    Ended,
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The connection broke, or discovery does not speak HTTP.
    #[error(transparent)]
    Transport(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

impl WatchError {
    /// Returns the kind of failure that determines the backoff before the next watch.
    pub(super) fn failure(&self) -> WatchFailure {
        match self {
            WatchError::Rejected(_) | WatchError::Malformed => WatchFailure::Rejected,
            WatchError::NoResponse(_)
            | WatchError::Silent
            | WatchError::Ended
            | WatchError::Connect(_)
            | WatchError::Transport(_)
            | WatchError::Request(_) => WatchFailure::ConnectionLost,
        }
    }
}

/// The task that drives a connection. Dropping it aborts the task, which closes the connection.
/// Dropping a plain `JoinHandle` would leave the task running and the connection open.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open watch. Dropping it closes its connection.
pub(super) struct Watch {
    _connection: ConnectionTask,
    body: Incoming,
}

impl Watch {
    /// Opens a watch and waits for the response head. If this future is dropped, the connection is
    /// closed.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established or breaks, or if the response has a
    /// status other than 200.
    pub(super) async fn open(address: SocketAddr) -> Result<Watch, WatchError> {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(SocketIo::new(stream)).await?;
        let connection = ConnectionTask(tokio::task::spawn_local(async move {
            // An error of the connection is also returned by the response or its body.
            let _ = connection.await;
        }));
        let request = Request::builder()
            .uri(WATCH_PATH)
            .header(HOST, address.to_string());
        let response = sender
            .send_request(request.body(Empty::<Bytes>::new())?)
            .await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Rejected(response.status()));
        }
        Ok(Watch {
            _connection: connection,
            body: response.into_body(),
        })
    }

    /// Waits for the next chunk of the response body and returns its bytes. Chunk boundaries have
    /// no meaning. If this future is dropped, no bytes are lost.
    ///
    /// # Errors
    /// Returns an error if the response has ended or the connection broke.
    pub(super) async fn next_bytes(&mut self) -> Result<Bytes, WatchError> {
        match self.body.frame().await {
            // A trailers frame has no data.
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => Err(WatchError::Transport(error)),
            None => Err(WatchError::Ended),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery_watch.rs"]
mod tests;
