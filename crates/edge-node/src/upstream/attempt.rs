//! Makes one attempt of a request at a server: obtains a connection, sends the request and reads
//! the response.

use super::attempt_result::AttemptResult;
use super::connect_error::ConnectError;
use super::connection::PooledConnection;
use super::response::{self, ResponseError, REQUEST_ID};
use super::socket::is_past;
use super::surplus::Surplus;
use super::Upstream;
use crate::body::BodyBudget;
use crate::log::ErrorChain;
use crate::memory::MemoryReservation;
use bytes::Bytes;
use gateway_core::{AttemptNumber, AttemptOutcome, RequestId, ServerId};
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// Header with the time that remains for the server's response, in milliseconds.
const DEADLINE: &str = "x-deadline";
/// Header by which a server recognises a request that it has already executed.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The form of a client's request that is sent to servers.
pub(crate) struct UpstreamRequest {
    /// Request id, which no other open request has.
    pub(crate) id: RequestId,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Value of the idempotency key header; `None` if the request has no key.
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// Memory of the target and the key, as far as they are long.
    pub(crate) _head_memory: MemoryReservation,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Time at which the edge node stops waiting for an answer.
    pub(crate) deadline: Instant,
}

/// An attempt to make, and the conditions that end it early.
pub(crate) struct Attempt<'a, F> {
    pub(crate) request: &'a UpstreamRequest,
    /// Number of the attempt within the request, from 0.
    pub(crate) number: AttemptNumber,
    /// Server to send the request to.
    pub(crate) server: ServerId,
    /// Time at which the attempt is given up; never later than the request's deadline.
    pub(crate) deadline: Instant,
    /// Latest time at which a byte of the request may be written; `None` without such a limit.
    pub(crate) write_deadline: Option<Instant>,
    /// Cancels the attempt when it receives a message or its sender is dropped.
    pub(crate) cancelled: oneshot::Receiver<()>,
    /// Returns whether the request still has no final answer.
    pub(crate) is_open: F,
}

impl From<AttemptError> for AttemptResult {
    fn from(error: AttemptError) -> AttemptResult {
        AttemptResult {
            outcome: error.outcome(),
            body: None,
            reported_load: None,
        }
    }
}

/// Reason why an attempt ended without a usable response.
#[derive(Debug, Error)]
enum AttemptError {
    /// No connection could be obtained, so nothing was sent.
    #[error("no connection to the server")]
    Connect(#[from] ConnectError),
    /// Before anything was sent, the request was answered, the attempt's deadline or its write
    /// deadline passed, or the server stopped being ready, restarted or was given a new address.
    #[error("the attempt was no longer needed when its connection was established")]
    NoLongerNeeded,
    /// The exchange on the connection failed.
    #[error("the exchange with the server failed")]
    Exchange {
        /// Cause of the failure.
        source: ExchangeError,
        /// Whether any byte of the request was written; if so, the server may have executed the
        /// request.
        request_written: bool,
    },
}

impl AttemptError {
    fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptError::Connect(error) => error.outcome(),
            AttemptError::NoLongerNeeded => AttemptOutcome::NotSent,
            AttemptError::Exchange {
                source,
                request_written: true,
            } => source.outcome(),
            AttemptError::Exchange {
                source,
                request_written: false,
            } => source.outcome_if_unwritten(),
        }
    }
}

/// Reason why an exchange on an open connection ended without a usable response.
#[derive(Debug, Error)]
enum ExchangeError {
    /// The gateway cancelled the attempt.
    #[error("cancelled during the exchange")]
    Cancelled,
    /// The attempt's deadline passed.
    #[error("the attempt's deadline passed during the exchange")]
    DeadlineExceeded,
    /// The attempt's write deadline passed before the whole request was written.
    #[error("the attempt's write deadline passed during the exchange")]
    WriteDeadlineExceeded(#[source] hyper::Error),
    /// The request cannot be expressed in HTTP.
    #[error("the request cannot be built")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The connection broke before the head of the response was complete.
    #[error("the connection was lost")]
    ConnectionLost(#[source] hyper::Error),
    /// The response cannot be used.
    #[error("the response cannot be used")]
    Response(#[from] ResponseError),
}

impl ExchangeError {
    /// Returns the outcome if part of the request was written, so that the server may have executed
    /// the request.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            ExchangeError::Cancelled | ExchangeError::WriteDeadlineExceeded(_) => {
                AttemptOutcome::Cancelled
            }
            ExchangeError::DeadlineExceeded => AttemptOutcome::TimedOut,
            ExchangeError::InvalidRequest(_) => AttemptOutcome::NotSent,
            ExchangeError::ConnectionLost(_) | ExchangeError::Response(_) => {
                AttemptOutcome::ConnectionLost
            }
        }
    }

    /// Returns the outcome if no byte of the request was written, so that the server cannot have
    /// executed the request.
    fn outcome_if_unwritten(&self) -> AttemptOutcome {
        match self {
            ExchangeError::Cancelled
            | ExchangeError::WriteDeadlineExceeded(_)
            | ExchangeError::InvalidRequest(_) => AttemptOutcome::NotSent,
            ExchangeError::DeadlineExceeded
            | ExchangeError::ConnectionLost(_)
            | ExchangeError::Response(_) => AttemptOutcome::Unreachable,
        }
    }
}

impl Upstream {
    /// Makes one attempt. When the future completes, the connection of the attempt is closed or
    /// back in its pool.
    ///
    /// If the future is dropped instead, the connection is dropped with it: hyper closes the socket
    /// in a later turn of the runtime, and the connection does not return to the pool.
    pub(crate) async fn attempt(&self, attempt: Attempt<'_, impl Fn() -> bool>) -> AttemptResult {
        let (request, number) = (attempt.request, attempt.number);
        let result = self.try_attempt(attempt).await;
        result.unwrap_or_else(|error| {
            log_failure(&request.id, number, &error);
            AttemptResult::from(error)
        })
    }

    async fn try_attempt(
        &self,
        mut attempt: Attempt<'_, impl Fn() -> bool>,
    ) -> Result<AttemptResult, AttemptError> {
        let connection = self.obtain_connection(&mut attempt).await?;
        // While the connection was being established, the request may have been answered, a
        // deadline may have passed, or the server may have stopped being ready, restarted or been given
        // a new address. Nothing has been written yet, so the server cannot have executed the request.
        let is_needed = (attempt.is_open)()
            && Instant::now() < attempt.deadline
            && !is_past(attempt.write_deadline);
        if !is_needed || !self.leads_to_current_process(attempt.server, &connection) {
            self.release(attempt.server, connection);
            return Err(AttemptError::NoLongerNeeded);
        }
        self.send(&mut attempt, connection).await
    }

    /// Returns an idle connection to the server, or else a new one.
    async fn obtain_connection(
        &self,
        attempt: &mut Attempt<'_, impl Fn() -> bool>,
    ) -> Result<PooledConnection, ConnectError> {
        let idle = self.take_idle(attempt.server);
        let is_reused = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            None => self.connect_for(attempt).await?,
        };
        debug!(
            event = "attempt_connected",
            id = %attempt.request.id.0,
            attempt = attempt.number.0,
            reused = is_reused,
            "request {}: attempt {} has a connection",
            attempt.request.id.0,
            attempt.number.0
        );
        Ok(connection)
    }

    /// Opens a connection for an attempt, unless the attempt ends before.
    async fn connect_for(
        &self,
        attempt: &mut Attempt<'_, impl Fn() -> bool>,
    ) -> Result<PooledConnection, ConnectError> {
        // `select!` drops the branches that do not complete, which closes a connection that is
        // still being established.
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => Err(ConnectError::Cancelled),
            () = tokio::time::sleep_until(attempt.deadline) => Err(ConnectError::DeadlineExceeded),
            () = sleep_until_if_some(attempt.write_deadline) => Err(ConnectError::WriteDeadlineExceeded),
            connected = self.connect(attempt.server) => connected,
        }
    }

    /// Sends the request and reads the response. A connection that has carried a complete response
    /// is released; any other is closed.
    async fn send(
        &self,
        attempt: &mut Attempt<'_, impl Fn() -> bool>,
        mut connection: PooledConnection,
    ) -> Result<AttemptResult, AttemptError> {
        if let Err(error) =
            connection.begin_request(attempt.write_deadline, head_bytes(attempt.request))
        {
            self.release(attempt.server, connection);
            return Err(ConnectError::from(error).into());
        }
        // The exchange is polled first: a response that arrived in time but was read late by this
        // node must not count against the server.
        let exchanged = tokio::select! {
            biased;
            result = exchange(&mut connection, attempt.request, attempt.deadline, &self.response_bodies) => result,
            _ = &mut attempt.cancelled => Err(ExchangeError::Cancelled),
            () = tokio::time::sleep_until(attempt.deadline) => Err(ExchangeError::DeadlineExceeded),
        };
        match exchanged {
            Ok(result) => {
                connection.set_last_answered(attempt.request.id.clone());
                self.release(attempt.server, connection);
                Ok(result)
            }
            Err(source) => {
                let request_written = connection.has_written();
                connection.close().await;
                Err(AttemptError::Exchange {
                    source,
                    request_written,
                })
            }
        }
    }
}

fn log_failure(id: &RequestId, attempt: AttemptNumber, error: &AttemptError) {
    let cause = ErrorChain(error);
    debug!(
        event = "attempt_failed",
        id = %id.0,
        attempt = attempt.0,
        %cause,
        "request {}: attempt {} failed: {cause}",
        id.0,
        attempt.0
    );
}

/// Writes the request and reads its complete response. If the future is dropped, the connection has
/// to be closed.
async fn exchange(
    connection: &mut PooledConnection,
    request: &UpstreamRequest,
    deadline: Instant,
    budget: &BodyBudget,
) -> Result<AttemptResult, ExchangeError> {
    let request =
        build_request(connection, request, deadline).map_err(ExchangeError::InvalidRequest)?;
    let response = connection
        .send(request)
        .await
        .map_err(|error| send_error(connection, error))?;
    let result = response::read(response, connection.last_answered(), budget).await?;
    if connection.take_surplus().await == Surplus::Unknown {
        return Err(ResponseError::Surplus.into());
    }
    Ok(result)
}

/// Returns why a request was not sent, or its response not received.
fn send_error(connection: &PooledConnection, error: hyper::Error) -> ExchangeError {
    if connection.has_missed_write_deadline() {
        ExchangeError::WriteDeadlineExceeded(error)
    } else {
        ExchangeError::ConnectionLost(error)
    }
}

/// Completes at a deadline; never completes without one.
async fn sleep_until_if_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Returns the length of the parts of a request's head that its client chose.
fn head_bytes(request: &UpstreamRequest) -> usize {
    let key_bytes = request.idempotency_key.as_ref().map_or(0, HeaderValue::len);
    request.target.len() + key_bytes
}

fn build_request(
    connection: &PooledConnection,
    request: &UpstreamRequest,
    deadline: Instant,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let remaining_ms = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    let mut builder = Request::builder()
        .method(&request.method)
        .uri(&request.target)
        .header(HOST, connection.address().to_string())
        .header(REQUEST_ID, &*request.id.0)
        .header(DEADLINE, format!("{remaining_ms}m"));
    if let Some(key) = &request.idempotency_key {
        builder = builder.header(IDEMPOTENCY_KEY, key);
    }
    builder.body(Full::new(request.body.clone()))
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_attempt.rs"]
mod tests;
