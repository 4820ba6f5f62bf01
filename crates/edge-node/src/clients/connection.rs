//! Serves one client connection, from accept to close.

use super::connection_limits::{self, CloseRequests, Verdict};
use super::connection_state::{Activity, ConnectionState, InFlightGuard};
use super::last_response::{self, Linger};
use super::phase::{wait_for_closing, Phase};
use super::read_ahead::{ReadAheadStream, ReadRefusal};
use super::request::{self, ClientDisconnected};
use super::request_error::RequestError;
use super::response::{self, BufferedResponse};
use crate::log::ErrorChain;
use crate::memory::MAX_HEAD_BYTES;
use crate::metrics::CloseReason;
use crate::node::Node;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::debug;

/// Pause before a connection is checked again that would have been closed but has unread bytes.
const UNREAD_BYTES_PAUSE: Duration = Duration::from_millis(5);

/// State that the requests of one connection share.
struct Connection {
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
    stream: ReadAheadStream,
    state: Rc<ConnectionState>,
}

/// Serves one connection until it is closed: by the client, on an error, or because the edge node
/// closes it.
///
/// Dropping the future closes the socket at once and abandons a request in flight. The connection
/// table drops all futures when it is itself dropped at the end of the process.
pub(super) async fn serve(
    stream: ReadAheadStream,
    node: Rc<Node>,
    phase: watch::Receiver<Phase>,
    state: Rc<ConnectionState>,
) {
    // Declared first, hence dropped last: the connection is counted until its socket is closed.
    let _connection_guard = node.client_connected();
    let connection = Rc::new(Connection {
        node,
        phase,
        stream: stream.clone(),
        state,
    });
    let responder = Rc::clone(&connection);
    let service = service_fn(move |request| {
        let connection = Rc::clone(&responder);
        async move { connection.respond(request).await }
    });
    let mut http_connection = http_server().serve_connection(stream, service);
    // The HTTP server is polled first, so that it reads what has arrived before the connection is
    // considered idle.
    let (reason, result) = tokio::select! {
        biased;
        result = &mut http_connection => (CloseReason::Ended, result),
        reason = connection.wait_until_closed_by_node() => (reason, Ok(())),
    };
    connection.state.begin_closing();
    connection.log_closed(reason, result);
    if reason != CloseReason::Ended {
        let unparsed = http_connection.into_parts().read_buf;
        connection
            .answer_incomplete_request(reason, !unparsed.is_empty())
            .await;
    }
}

fn http_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    // `connection_limits` limits the time for a head.
    server.header_read_timeout(None);
    server.max_buf_size(MAX_HEAD_BYTES);
    server.auto_date_header(false);
    server
}

fn close_reason(refusal: ReadRefusal) -> CloseReason {
    match refusal {
        ReadRefusal::HeadMemory => CloseReason::HeadMemory,
        ReadRefusal::Discarded => CloseReason::Discarded,
    }
}

impl Connection {
    /// Responds to one request. The connection counts as busy until the future completes or is
    /// dropped.
    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, ClientDisconnected> {
        let _in_flight = InFlightGuard::new(&self.state, &self.stream);
        self.yield_to_other_connections().await;
        let phase = *self.phase.borrow();
        let mut response =
            request::respond(&self.node, request, phase, &self.stream, &self.state).await?;
        // The phase may have advanced while the request was in flight.
        if *self.phase.borrow() > Phase::Serving {
            response::close_connection(&mut response);
        }
        Ok(response)
    }

    /// Yields to the runtime once before the first request, and before each request that was read
    /// together with an earlier one.
    ///
    /// Data that has arrived on a new connection is read in the runtime turn that accepts the
    /// connection, but a close behind that data is reported only in the next turn: a client that has
    /// already closed the connection must be detected before any work is done for it. hyper serves
    /// all requests in its buffer in one turn if it can: a client that sends small requests at full
    /// speed must not hold up all others.
    async fn yield_to_other_connections(&self) {
        let is_first = self.state.record_request() == 1;
        let is_pipelined = self.stream.begin_request();
        if is_first || is_pipelined {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the edge node has to close the connection, and returns why. Must be polled after
    /// the HTTP server, which reads what has arrived.
    async fn wait_until_closed_by_node(&self) -> CloseReason {
        let mut requests = CloseRequests::default();
        loop {
            let next_check = match self.check(requests) {
                Verdict::Close(reason) => return reason,
                Verdict::CheckAt(time) => time,
            };
            // A request to evict holds for one check: the table repeats it if it still needs room.
            requests.is_evicted = false;
            tokio::select! {
                () = sleep_until(next_check) => {}
                () = self.state.eviction_requested() => requests.is_evicted = true,
                refusal = self.stream.read_refused() => return close_reason(refusal),
                () = wait_for_closing(self.phase.clone()), if !requests.is_closing => {
                    requests.is_closing = true;
                    requests.answer_limit = self.node.answer_limit();
                    // Lets the HTTP server read a request that has already arrived.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    fn check(&self, requests: CloseRequests) -> Verdict {
        let activity = self.state.activity();
        let now = Instant::now();
        let has_requests = self.state.requests() > 0;
        let accepted_at = self.state.accepted_at();
        let verdict = connection_limits::check(activity, accepted_at, has_requests, requests, now);
        let is_idle = matches!(activity, Activity::Idle { .. });
        match verdict {
            // The unread bytes may be a request, which the HTTP server reads next.
            Verdict::Close(_) if is_idle && self.stream.has_unread_bytes() => {
                Verdict::CheckAt(now + UNREAD_BYTES_PAUSE)
            }
            verdict => verdict,
        }
    }

    /// Answers a request of which a part was read, before the connection is closed.
    /// `has_unparsed_bytes` tells whether the HTTP server has such a part in its buffer.
    async fn answer_incomplete_request(&self, reason: CloseReason, has_unparsed_bytes: bool) {
        let is_unwritten = matches!(self.state.activity(), Activity::WriteBlocked { .. });
        let has_begun = has_unparsed_bytes || self.stream.has_buffered_bytes();
        if is_unwritten || !has_begun {
            return;
        }
        let error = match reason {
            CloseReason::Evicted | CloseReason::Shutdown => RequestError::ConnectionNeeded,
            CloseReason::HeadMemory => RequestError::HeadMemoryExhausted,
            CloseReason::Discarded => RequestError::TooManyPipelined,
            _ => RequestError::IncompleteHead,
        };
        debug!(event = "request_invalid", cause = %error, "request answered with {}: {error}", error.status());
        let linger = match reason {
            CloseReason::Evicted => Linger::None,
            _ => Linger::Short,
        };
        last_response::write(&self.stream, error, linger).await;
    }

    fn log_closed(&self, reason: CloseReason, result: hyper::Result<()>) {
        self.node.client_connection_closed(reason);
        // An error needs no handling: if the client disconnected during a request, the
        // `AbandonGuard` of that request has abandoned it.
        let cause = match &result {
            Ok(()) => "no error".to_owned(),
            Err(error) => ErrorChain(error).to_string(),
        };
        let requests = self.state.requests();
        let idle_ms = self.state.idle_time().as_millis();
        let reason = reason.label();
        debug!(
            event = "client_connection_closed",
            reason,
            requests,
            idle_ms,
            cause,
            "client connection closed ({reason}) after {requests} requests, idle for {idle_ms} ms: {cause}"
        );
    }
}
