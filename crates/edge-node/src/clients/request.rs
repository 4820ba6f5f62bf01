//! Serves one client request, from its head to its response.

use super::connection_state::ConnectionState;
use super::phase::Phase;
use super::read_ahead::ReadAheadStream;
use super::request_error::RequestError;
use super::request_head::{RequestHead, IDEMPOTENCY_KEY};
use super::response::{self, BufferedResponse};
use crate::body::{self, BodyBuffer, BodyError};
use crate::memory::{MemoryBudget, MemoryReservation};
use crate::node::{Answer, Node};
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use gateway_core::{Event, RequestId};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{debug, warn};

/// Path of the readiness probe, which any client may send.
const READINESS_PATH: &str = "/-/ready";
/// Part of the client's timeout that is reserved for the transfer of the response.
const RESPONSE_DELIVERY_TIME: Duration = Duration::from_millis(5);
/// Time after a request's deadline at which the edge node fails the request if the decision library
/// has not ended it.
const ANSWER_GRACE: Duration = Duration::from_millis(2);
/// Length of the forwarded part of a head that does not count, because it is part of what is
/// reserved for every connection.
const UNCOUNTED_HEAD_BYTES: usize = 1024;

/// Error of a request whose client disconnected before the final answer, so that no response can be
/// sent.
#[derive(Debug, thiserror::Error)]
#[error("the client has disconnected")]
pub(super) struct ClientDisconnected;

/// Serves one request: reads and checks it, waits for its final answer and builds the response.
///
/// Dropping the future abandons the request; see [`AbandonGuard`].
///
/// # Errors
/// Returns [`ClientDisconnected`] if the client closes its connection before the final answer.
pub(super) async fn respond(
    node: &Rc<Node>,
    request: Request<Incoming>,
    phase: Phase,
    stream: &ReadAheadStream,
    state: &ConnectionState,
) -> Result<BufferedResponse, ClientDisconnected> {
    if is_readiness_probe(&request) {
        return Ok(response::readiness(phase));
    }
    match read_request(node, request, stream, state).await {
        Ok(valid_request) => submit_to_node(node, valid_request, stream).await,
        Err(error) => {
            debug!(event = "request_invalid", cause = %error, "request answered with {}: {error}", error.status());
            Ok(response::for_invalid_request(error))
        }
    }
}

fn is_readiness_probe(request: &Request<Incoming>) -> bool {
    request.method() == Method::GET && request.uri().path() == READINESS_PATH
}

/// A complete and valid request, in the forms for the decision library and for the servers.
struct ValidRequest {
    /// Event that reports the request to the decision library.
    event: Event,
    /// Request that is sent to a server for each attempt that the decision library starts.
    upstream_request: UpstreamRequest,
}

/// Parses the head, then reads the complete body.
async fn read_request(
    node: &Node,
    request: Request<Incoming>,
    stream: &ReadAheadStream,
    state: &ConnectionState,
) -> Result<ValidRequest, RequestError> {
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&node.settings, &parts)?;
    let forwarded = ForwardedHead::copy_of(parts, &node.head_memory)?;
    let body = read_body(node, &head, body, state).await?;
    let times = RequestTimes {
        received_at: stream.received_at(),
        answer_limit: node.answer_limit(),
    };
    Ok(ValidRequest::new(head, forwarded, body, times))
}

/// The part of a head that is forwarded to servers, in memory of its own. The received head is a
/// view of hyper's read buffer, and would keep that buffer allocated until the request has its
/// answer.
struct ForwardedHead {
    method: Method,
    target: String,
    idempotency_key: Option<HeaderValue>,
    memory: MemoryReservation,
}

impl ForwardedHead {
    /// Copies the forwarded part of a head, and releases the rest. What is longer than
    /// [`UNCOUNTED_HEAD_BYTES`] counts against `head_memory`.
    ///
    /// # Errors
    /// Returns an error if there is no memory for the copy.
    fn copy_of(parts: Parts, head_memory: &MemoryBudget) -> Result<ForwardedHead, RequestError> {
        let target = parts.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        let idempotency_key = parts.headers.get(IDEMPOTENCY_KEY);
        let key_bytes = idempotency_key.map_or(0, HeaderValue::len);
        let mut memory = head_memory.reservation();
        memory
            .grow_to((target.len() + key_bytes).saturating_sub(UNCOUNTED_HEAD_BYTES))
            .map_err(|_| RequestError::HeadMemoryExhausted)?;
        Ok(ForwardedHead {
            target: target.to_owned(),
            idempotency_key: idempotency_key.and_then(copy_value),
            memory,
            method: parts.method,
        })
    }
}

/// Reads the complete body, within the limits of size, memory and time.
///
/// Reads nothing of a body that is too large or that the class does not allow.
async fn read_body(
    node: &Node,
    head: &RequestHead,
    mut body: Incoming,
    state: &ConnectionState,
) -> Result<Bytes, RequestError> {
    let buffer = BodyBuffer::new(&body, &node.request_bodies);
    let buffer = buffer.map_err(|_| RequestError::BodyTooLarge)?;
    if !head.allows_body && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    // Without a limit, clients that never complete a body would hold memory and connections.
    let timeout = state.body_deadline();
    let deadline = node
        .answer_limit()
        .map_or(timeout, |limit| limit.min(timeout));
    let receiving = state.receive_body();
    tokio::select! {
        biased;
        read = tokio::time::timeout_at(deadline, read_or_discard(&mut body, buffer)) => {
            read.unwrap_or(Err(RequestError::IncompleteBody))
        }
        // The clients that make no progress give way to new ones.
        () = receiving.evicted() => Err(RequestError::ConnectionNeeded),
    }
}

/// Reads a body. A body for which there is no memory is read to its end as well, and discarded:
/// otherwise the connection would be closed over unread data, which resets it, and the client might
/// not receive the response.
async fn read_or_discard(body: &mut Incoming, buffer: BodyBuffer) -> Result<Bytes, RequestError> {
    match body::read(body, buffer).await {
        Ok(bytes) => Ok(bytes),
        Err(error @ BodyError::Exhausted(_)) => {
            warn!(event = "body_memory_exhausted", cause = %error, "a request is rejected: {error}");
            body::discard(body).await;
            Err(RequestError::BodyMemoryExhausted)
        }
        Err(_) => Err(RequestError::IncompleteBody),
    }
}

/// The times that bound how long a request may take.
struct RequestTimes {
    /// When the last byte of the request arrived, from which the client's timeout runs. A request
    /// that was sent behind an open one may have waited since then.
    received_at: Instant,
    /// Time by which every request must be answered; `None` without such a limit.
    answer_limit: Option<Instant>,
}

impl RequestTimes {
    /// Returns the time by which a request with this timeout must have its answer.
    fn deadline(&self, client_timeout: Duration) -> Instant {
        let delivered_in_time = client_timeout.saturating_sub(RESPONSE_DELIVERY_TIME);
        let deadline = self.received_at + delivered_in_time;
        self.answer_limit
            .map_or(deadline, |limit| deadline.min(limit))
    }
}

impl ValidRequest {
    /// Builds both forms of the request.
    fn new(
        head: RequestHead,
        forwarded: ForwardedHead,
        body: Bytes,
        times: RequestTimes,
    ) -> ValidRequest {
        let deadline = times.deadline(head.client_timeout);
        let client_timeout = deadline.saturating_duration_since(Instant::now());
        let event = Event::RequestReceived {
            id: head.id.clone(),
            class: head.class,
            plan: head.plan,
            customer: head.customer,
            units: head.terms.units,
            gateways: head.terms.gateways,
            client_timeout,
        };
        let upstream_request = UpstreamRequest {
            id: head.id,
            method: forwarded.method,
            target: forwarded.target,
            idempotency_key: forwarded.idempotency_key,
            _head_memory: forwarded.memory,
            body,
            deadline,
        };
        ValidRequest {
            event,
            upstream_request,
        }
    }
}

/// Copies the value of a header into memory of its own. The value is valid already, so the result is
/// never `None`.
fn copy_value(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// Submits a request to the node, waits for its final answer and builds the response.
async fn submit_to_node(
    node: &Rc<Node>,
    valid_request: ValidRequest,
    stream: &ReadAheadStream,
) -> Result<BufferedResponse, ClientDisconnected> {
    let ValidRequest {
        event,
        upstream_request,
    } = valid_request;
    let id = upstream_request.id.clone();
    let answer_deadline = upstream_request.deadline + ANSWER_GRACE;
    let Some(answer) = node.accept_request(event, upstream_request) else {
        return Ok(response::for_invalid_request(RequestError::RequestIdInUse));
    };
    // Kept until the response is built, and dropped with this future if the client disconnects
    // first.
    let _abandon_guard = AbandonGuard { node, id };
    let answer = wait_for_answer(answer, answer_deadline, stream).await?;
    Ok(response::from_answer(answer))
}

/// Waits for the final answer, but not beyond `answer_deadline` or the client's disconnect.
async fn wait_for_answer(
    answer: oneshot::Receiver<Answer>,
    answer_deadline: Instant,
    stream: &ReadAheadStream,
) -> Result<Answer, ClientDisconnected> {
    tokio::select! {
        biased;
        answered = tokio::time::timeout_at(answer_deadline, answer) => match answered {
            Ok(Ok(answer)) => Ok(answer),
            // A request must not stay open indefinitely: it fails at `answer_deadline`, even if the
            // decision library never ends it.
            _ => Ok(Answer::Failed),
        },
        // Attempts for a client that has disconnected are wasted work. hyper does not detect a
        // close behind further pipelined requests, so the stream itself is watched.
        () = stream.wait_for_client_close() => Err(ClientDisconnected),
    }
}

/// Abandons a request at the node when the guard is dropped. A request that already has its final
/// answer is not affected.
///
/// hyper drops the future of a response when the client disconnects, and this guard with it. This
/// is how the node learns of the disconnect and cancels the attempt in flight.
struct AbandonGuard<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        self.node.abandon_request(&self.id);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_request.rs"]
mod tests;
