//! One watch on discovery: a request over a connection of its own whose response lasts for as long
//! as the watch.

use bytes::Bytes;
use gateway_core::reconnect::WatchFailure;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;

/// A watch that begins with a snapshot of all servers.
const WATCH_PATH: &str = "/api/targets?watch=1";

/// Why a watch has ended. The log shows these texts with those of their sources as the cause of
/// `watch_lost`.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The response did not begin in time.
    #[error("no answer")]
    NoAnswer(#[source] Elapsed),
    /// Discovery answered with another status than 200.
    #[error("the watch was answered {0}")]
    Rejected(StatusCode),
    /// Something has arrived that is no list, or a list of which the end has not arrived in time.
    #[error("something on the watch can't be read")]
    Malformed,
    /// Nothing has arrived in time.
    #[error("the watch is silent")]
    Silent,
    /// Discovery ended the response.
    #[error("the watch ended")]
    Ended,
    /// The connection could not be made.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The connection broke, or the other side does not speak HTTP.
    #[error(transparent)]
    Transport(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

impl WatchError {
    /// How the backoff before the next watch treats this error.
    pub(super) fn failure(&self) -> WatchFailure {
        match self {
            WatchError::Rejected(_) | WatchError::Malformed => WatchFailure::Rejected,
            WatchError::NoAnswer(_)
            | WatchError::Silent
            | WatchError::Ended
            | WatchError::Connect(_)
            | WatchError::Transport(_)
            | WatchError::Request(_) => WatchFailure::ConnectionLost,
        }
    }
}

/// The task that drives a connection. Dropping this aborts the task, which closes the connection; a
/// plain `JoinHandle` would leave both running after the watch has been given up.
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
    /// Opens a watch and waits for the head of the response. If this future is dropped, the
    /// connection is closed.
    ///
    /// # Errors
    /// The connection can't be made or breaks, or the response has another status than 200.
    pub(super) async fn open(address: SocketAddr) -> Result<Watch, WatchError> {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = ConnectionTask(tokio::task::spawn_local(async move {
            // An error of the connection is reported by the response or its body, too.
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

    /// The next bytes of the response, in whatever pieces they arrive. If this future is dropped,
    /// no bytes are lost.
    ///
    /// # Errors
    /// The response has ended, or the connection broke.
    pub(super) async fn next_bytes(&mut self) -> Result<Bytes, WatchError> {
        match self.body.frame().await {
            // A frame of trailers has no bytes.
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => Err(WatchError::Transport(error)),
            None => Err(WatchError::Ended),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery_watch.rs"]
mod tests;
