//! The connection of a watch on discovery: an HTTP request on a connection of its own, whose
//! response body lasts as long as the watch.

use crate::socket_io::SocketIo;
use bytes::Bytes;
use gateway_core::reconnect::WatchFailure;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Path and query of a watch that begins with a snapshot of all servers.
const WATCH_PATH: &str = "/api/targets?watch=1";

/// Why a watch has ended. The log event `watch_lost` has the text of the error and of its sources
/// as its cause.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The response head did not arrive before the deadline.
    #[error("no response to the watch request: deadline has elapsed")]
    NoResponse,
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
            WatchError::NoResponse
            | WatchError::Silent
            | WatchError::Ended
            | WatchError::Connect(_)
            | WatchError::Transport(_)
            | WatchError::Request(_) => WatchFailure::ConnectionLost,
        }
    }
}

/// A task that is aborted when this handle is dropped. Dropping a plain `JoinHandle` would leave
/// the task running and its connection open.
struct AbortingTask(JoinHandle<()>);

impl Drop for AbortingTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Identifies a watch among all watches of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchId(pub(super) u64);

/// What happened on a watch.
#[derive(Debug)]
pub(super) enum WatchEvent {
    /// The response head arrived.
    Opened,
    /// Bytes of the response body arrived. Chunk boundaries have no meaning.
    Received(Bytes),
    /// The watch has ended.
    Ended(WatchError),
}

/// An event with the watch on which it happened.
pub(super) type WatchInput = (WatchId, WatchEvent);

/// The connection of a watch. Dropping it closes the connection.
pub(super) struct WatchConnection {
    _task: AbortingTask,
}

impl WatchConnection {
    /// Opens a watch in a task of its own, which sends everything that happens on the watch to
    /// `inputs`. The task reads on only when there is room for the next event.
    pub(super) fn open(
        id: WatchId,
        address: SocketAddr,
        inputs: mpsc::Sender<WatchInput>,
    ) -> WatchConnection {
        let task = async move {
            let Err(error) = run(id, address, &inputs).await;
            // The receiver no longer exists if the process ends.
            let _ = inputs.send((id, WatchEvent::Ended(error))).await;
        };
        WatchConnection {
            _task: AbortingTask(tokio::task::spawn_local(task)),
        }
    }
}

/// Opens a watch and sends its events until it ends. Returns the reason for the end.
async fn run(
    id: WatchId,
    address: SocketAddr,
    inputs: &mpsc::Sender<WatchInput>,
) -> Result<Infallible, WatchError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(SocketIo::new(stream)).await?;
    let _connection = AbortingTask(tokio::task::spawn_local(async move {
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
    // The receiver no longer exists if the process ends, which aborts this task.
    let _ = inputs.send((id, WatchEvent::Opened)).await;
    let mut body = response.into_body();
    loop {
        let bytes = next_bytes(&mut body).await?;
        let _ = inputs.send((id, WatchEvent::Received(bytes))).await;
    }
}

/// Waits for the next chunk of a response body and returns its bytes.
async fn next_bytes(body: &mut Incoming) -> Result<Bytes, WatchError> {
    match body.frame().await {
        // A trailers frame has no data.
        Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => Err(WatchError::Transport(error)),
        None => Err(WatchError::Ended),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery_watch.rs"]
mod tests;
