//! One request of a client, from its head to its response.

use super::phase::Phase;
use super::read_ahead::ReadAheadStream;
use super::request_error::RequestError;
use super::request_head::{RequestHead, IDEMPOTENCY_KEY};
use super::response::{self, BufferedResponse};
use crate::node::{Answer, Node};
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use gateway_core::{Event, RequestId};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The path on which anyone may ask whether this process is ready.
const READINESS_PATH: &str = "/-/ready";
/// Part of a client's timeout that is reserved for the transfer of the response.
const RESPONSE_DELIVERY_TIME: Duration = Duration::from_millis(5);
/// Time after its deadline at which a request fails if the decision library has not ended it.
const ANSWER_GRACE: Duration = Duration::from_millis(2);
/// Maximum time from the head of a request to the end of its body. Without a limit, clients whose
/// bodies stop half-way would hold memory and connections.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(600);

/// The client has disconnected: there is nobody to respond to.
#[derive(Debug, thiserror::Error)]
#[error("the client has disconnected")]
pub(super) struct ClientDisconnected;

/// Serves one request: admits it, has it decided and builds its response.
///
/// Dropping the future abandons the request, see [`AbandonGuard`].
///
/// # Errors
/// The client closed its connection before the answer.
pub(super) async fn respond(
    node: &Rc<Node>,
    request: Request<Incoming>,
    phase: Phase,
    stream: &ReadAheadStream,
) -> Result<BufferedResponse, ClientDisconnected> {
    if is_readiness_probe(&request) {
        return Ok(response::readiness(phase));
    }
    match admit(node, request).await {
        Ok(admitted) => decide(node, admitted, stream).await,
        Err(error) => Ok(response::for_invalid_request(error)),
    }
}

fn is_readiness_probe(request: &Request<Incoming>) -> bool {
    request.method() == Method::GET && request.uri().path() == READINESS_PATH
}

/// A request that is complete, in the forms for the decision library and for the servers.
struct AdmittedRequest {
    /// For the decision library.
    event: Event,
    /// For the servers, once the decision library sends it.
    upstream_request: UpstreamRequest,
}

/// Parses the head, then reads the body to its end.
async fn admit(node: &Node, request: Request<Incoming>) -> Result<AdmittedRequest, RequestError> {
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&node.settings, &parts)?;
    let body = read_body(node, &head, body).await?;
    Ok(AdmittedRequest::new(head, parts, body))
}

/// Reads a complete body, within its limits of size and time.
///
/// Nothing is read of a body that is too large or that should not be there. Memory for a large one
/// is reserved while it is read; the reservation is released when this returns or is dropped.
async fn read_body(node: &Node, head: &RequestHead, body: Incoming) -> Result<Bytes, RequestError> {
    let announced = body.size_hint().lower();
    let reservation = node.upstream.body_budget.reserve(announced);
    let reservation = reservation.map_err(|_| RequestError::BodyTooLarge)?;
    if !head.allows_body && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    let whole = Limited::new(body, reservation.max_bytes()).collect();
    match tokio::time::timeout(BODY_READ_TIMEOUT, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        _ => Err(RequestError::IncompleteBody),
    }
}

impl AdmittedRequest {
    /// The client's timeout begins here: the request is complete at this moment.
    fn new(head: RequestHead, parts: Parts, body: Bytes) -> AdmittedRequest {
        let client_timeout = head.client_timeout.saturating_sub(RESPONSE_DELIVERY_TIME);
        let deadline = Instant::now() + client_timeout;
        let event = Event::RequestReceived {
            id: head.id.clone(),
            class: head.class,
            plan: head.plan,
            customer: head.customer,
            units: head.terms.units,
            gateways: head.terms.gateways,
            client_timeout,
        };
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let idempotency_key = parts.headers.get(IDEMPOTENCY_KEY).cloned();
        let upstream_request = UpstreamRequest {
            id: head.id,
            method: parts.method,
            target,
            idempotency_key,
            body,
            deadline,
        };
        AdmittedRequest {
            event,
            upstream_request,
        }
    }
}

/// Hands a request to the node and waits for its final answer.
async fn decide(
    node: &Rc<Node>,
    admitted: AdmittedRequest,
    stream: &ReadAheadStream,
) -> Result<BufferedResponse, ClientDisconnected> {
    let AdmittedRequest {
        event,
        upstream_request,
    } = admitted;
    let id = upstream_request.id.clone();
    let last_moment = upstream_request.deadline + ANSWER_GRACE;
    let Some(answer) = node.accept_request(event, upstream_request) else {
        return Ok(response::for_invalid_request(RequestError::RequestIdInUse));
    };
    // Held until the response is built, and dropped with this future if the client disconnects
    // first.
    let _abandon_guard = AbandonGuard { node, id };
    let answer = wait_for_answer(answer, last_moment, stream).await?;
    Ok(response::from_answer(answer))
}

/// Waits for the final answer, until the last moment for one, or until the client disconnects.
async fn wait_for_answer(
    answer: oneshot::Receiver<Answer>,
    last_moment: Instant,
    stream: &ReadAheadStream,
) -> Result<Answer, ClientDisconnected> {
    tokio::select! {
        biased;
        answered = tokio::time::timeout_at(last_moment, answer) => match answered {
            Ok(Ok(answer)) => Ok(answer),
            // No request may stay open without end: past its last moment it fails, whatever the
            // decision library does.
            _ => Ok(Answer::Failed),
        },
        // Attempts for a client that has disconnected are wasted work. hyper does not notice a
        // close that stands behind further pipelined requests, so the stream itself is watched.
        () = stream.wait_for_client_close() => Err(ClientDisconnected),
    }
}

/// Abandons a request at the node when it is dropped; a request that has its answer is not
/// affected.
///
/// hyper drops the future of a response when the client disconnects, and so this guard in it. That
/// is how the node learns of it and cancels the attempt in flight.
struct AbandonGuard<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        self.node.abandon_request(&self.id);
    }
}
