//! Serves one client connection, from accept to close.

use super::connection_state::{ConnectionState, InFlightGuard};
use super::phase::{wait_for_closing, Phase};
use super::read_ahead::ReadAheadStream;
use super::request::{self, ClientDisconnected};
use super::response::{self, BufferedResponse};
use crate::log::ErrorChain;
use crate::node::Node;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioTimer;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::debug;

/// Maximum time for a complete request head to arrive, counted from accept and after each response.
/// Without a limit, clients that send nothing, or a head that never ends, would hold their
/// connections forever.
const HEAD_READ_TIMEOUT: Duration = Duration::from_millis(2200);
/// Maximum number of bytes buffered per client, so that all clients together stay far below the
/// memory limit.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// State that the requests of one connection share.
struct Connection {
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
    stream: ReadAheadStream,
    state: Rc<ConnectionState>,
}

/// Serves one connection until it is closed: by the client, on an error, or because the edge node
/// is closing and has sent the last response.
///
/// Dropping the future closes the socket at once and abandons a request in flight. The connection
/// table drops the future to evict an idle connection, and drops all futures when it is itself
/// dropped at the end of the process.
pub(super) async fn serve(
    stream: ReadAheadStream,
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
    state: Rc<ConnectionState>,
) {
    // Declared first, hence dropped last: the connection is counted until its socket is closed.
    let _connection_guard = node.client_connected();
    let connection = Connection {
        node,
        phase: phase.clone(),
        stream: stream.clone(),
        state: Rc::clone(&state),
    };
    let connection = Rc::new(connection);
    let service = service_fn(move |request| {
        let connection = Rc::clone(&connection);
        async move { connection.respond(request).await }
    });
    let http_connection = http_server().serve_connection(stream, service);
    tokio::pin!(http_connection);
    let ended = tokio::select! {
        biased;
        result = &mut http_connection => Some(result),
        () = wait_for_graceful_shutdown(phase) => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            http_connection.as_mut().graceful_shutdown();
            http_connection.await
        }
    };
    // An error needs no handling: if the client disconnected during a request, the `AbandonGuard`
    // of that request has abandoned it.
    log_closed(&state, result);
}

fn log_closed(state: &ConnectionState, result: hyper::Result<()>) {
    let cause = match &result {
        Ok(()) => "no error".to_owned(),
        Err(error) => ErrorChain(error).to_string(),
    };
    let requests = state.requests();
    let idle_ms = state.idle_time().as_millis();
    debug!(
        event = "client_connection_closed",
        requests,
        idle_ms,
        cause,
        "client connection closed after {requests} requests, idle for {idle_ms} ms: {cause}"
    );
}

fn http_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new());
    server.header_read_timeout(HEAD_READ_TIMEOUT);
    server.max_buf_size(MAX_BUFFERED_BYTES);
    server.auto_date_header(false);
    server
}

/// Waits until the connection must be shut down gracefully.
///
/// Yields to the runtime once between the phase change and the shutdown, so that a request that has
/// already arrived is read and answered. An immediate shutdown would drop the request unread.
async fn wait_for_graceful_shutdown(phase: watch::Receiver<Phase>) {
    wait_for_closing(phase).await;
    tokio::task::yield_now().await;
}

impl Connection {
    /// Responds to one request. The connection counts as busy until the future completes or is
    /// dropped.
    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ClientDisconnected> {
        let _in_flight = InFlightGuard::new(&self.state);
        self.yield_before_first_request().await;
        let phase = *self.phase.borrow();
        let mut response = request::respond(&self.node, request, phase, &self.stream).await?;
        // The phase may have advanced while the request was in flight.
        if *self.phase.borrow() > Phase::Serving {
            response::close_connection(&mut response);
        }
        Ok(response)
    }

    /// Yields to the runtime once before the first request, so that a client that has already
    /// closed the connection is detected before any work is done for it.
    ///
    /// Data that has arrived on a new connection is read in the runtime turn that accepts the
    /// connection, but a close behind that data is reported only in the next turn.
    async fn yield_before_first_request(&self) {
        if self.state.record_request() == 1 {
            tokio::task::yield_now().await;
        }
    }
}
