//! One attempt to have a request answered by a server, from the connection to the end.

use super::attempt_result::AttemptResult;
use super::body_budget::BodyBudget;
use super::connect_error::ConnectError;
use super::connection::PooledConnection;
use super::response::{self, ResponseError, REQUEST_ID};
use super::Upstream;
use bytes::Bytes;
use gateway_core::{AttemptOutcome, RequestId, ServerId};
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The header with the milliseconds that remain for the server's answer.
const DEADLINE: &str = "x-deadline";
/// The header by which a server recognises a request that it has already executed.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A client's request as it is sent to a server.
pub(crate) struct UpstreamRequest {
    /// Its id, unique for ever.
    pub(crate) id: RequestId,
    /// Its method.
    pub(crate) method: Method,
    /// Its path and query.
    pub(crate) target: String,
    /// Its idempotency key, if it has one.
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// Its whole body.
    pub(crate) body: Bytes,
    /// When the edge node stops waiting for an answer.
    pub(crate) deadline: Instant,
}

/// What to attempt, and what ends it early.
pub(crate) struct Attempt<'a, F> {
    /// The request.
    pub(crate) request: &'a UpstreamRequest,
    /// The server to send it to.
    pub(crate) server: ServerId,
    /// When the attempt is given up; never later than the request's deadline.
    pub(crate) deadline: Instant,
    /// A message, or the loss of its sender, cancels the attempt.
    pub(crate) cancelled: oneshot::Receiver<()>,
    /// Whether the request still has no final answer.
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

/// Why an attempt ended without a response that can be used.
#[derive(Debug, Error)]
enum AttemptError {
    /// There is no connection: nothing was sent.
    #[error("no connection to the server")]
    Connect(#[from] ConnectError),
    /// The request was answered, its deadline passed, or the server drained or moved, before
    /// anything was sent.
    #[error("the attempt was no longer wanted once it had a connection")]
    Superseded,
    /// The exchange on the connection failed.
    #[error("the exchange with the server failed")]
    Exchange {
        /// Why.
        source: ExchangeError,
        /// Whether any byte was written: if so, the server may have executed the request.
        request_written: bool,
    },
}

impl AttemptError {
    fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptError::Connect(error) => error.outcome(),
            AttemptError::Superseded => AttemptOutcome::NotSent,
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

/// Why a request that was about to be sent got no response that can be used.
#[derive(Debug, Error)]
enum ExchangeError {
    /// The gateway cancelled the attempt.
    #[error("cancelled during the exchange")]
    Cancelled,
    /// The attempt's deadline passed.
    #[error("the attempt's deadline passed during the exchange")]
    DeadlineExceeded,
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
    /// The outcome if some bytes of the request were written: it counts as one that the server may
    /// have executed.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            ExchangeError::Cancelled => AttemptOutcome::Cancelled,
            ExchangeError::DeadlineExceeded => AttemptOutcome::TimedOut,
            ExchangeError::InvalidRequest(_) => AttemptOutcome::NotSent,
            ExchangeError::ConnectionLost(_) | ExchangeError::Response(_) => {
                AttemptOutcome::ConnectionLost
            }
        }
    }

    /// The outcome if no byte of the request was written: the server cannot have executed it.
    fn outcome_if_unwritten(&self) -> AttemptOutcome {
        match self {
            ExchangeError::Cancelled | ExchangeError::InvalidRequest(_) => AttemptOutcome::NotSent,
            ExchangeError::DeadlineExceeded
            | ExchangeError::ConnectionLost(_)
            | ExchangeError::Response(_) => AttemptOutcome::Unreachable,
        }
    }
}

impl Upstream {
    /// Makes one attempt. When it returns, its connection is closed or back in its pool.
    ///
    /// If the future is dropped instead, the connection is dropped with it and hyper closes the
    /// socket in a later turn of the runtime; nothing returns to the pool.
    pub(crate) async fn attempt(&self, attempt: Attempt<'_, impl Fn() -> bool>) -> AttemptResult {
        let result = self.try_attempt(attempt).await;
        result.unwrap_or_else(AttemptResult::from)
    }

    async fn try_attempt(
        &self,
        mut attempt: Attempt<'_, impl Fn() -> bool>,
    ) -> Result<AttemptResult, AttemptError> {
        let connection = self.obtain_connection(&mut attempt).await?;
        // Much may have changed while the connection came up: the request may have been answered,
        // the server may drain or have moved. A request of which nothing was written has not been
        // executed.
        let is_wanted = (attempt.is_open)() && Instant::now() < attempt.deadline;
        if !is_wanted || !self.leads_to(attempt.server, &connection) {
            self.release(attempt.server, connection);
            return Err(AttemptError::Superseded);
        }
        self.send(&mut attempt, connection).await
    }

    /// An idle connection, or else a new one.
    async fn obtain_connection(
        &self,
        attempt: &mut Attempt<'_, impl Fn() -> bool>,
    ) -> Result<PooledConnection, ConnectError> {
        if let Some(connection) = self.take_idle(attempt.server) {
            return Ok(connection);
        }
        // A branch that is not chosen is dropped: a connection that is coming up is closed then.
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => Err(ConnectError::Cancelled),
            () = tokio::time::sleep_until(attempt.deadline) => Err(ConnectError::DeadlineExceeded),
            connected = self.connect(attempt.server) => connected,
        }
    }

    /// Sends the request and reads the response. A connection that has carried a whole response is
    /// released, any other is closed.
    async fn send(
        &self,
        attempt: &mut Attempt<'_, impl Fn() -> bool>,
        mut connection: PooledConnection,
    ) -> Result<AttemptResult, AttemptError> {
        connection.reset_written();
        // The response comes first: a server must not be blamed for a response that this node was
        // late to read.
        let exchanged = tokio::select! {
            biased;
            result = exchange(&mut connection, attempt.request, attempt.deadline, &self.body_budget) => result,
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
                let request_written = connection.is_written();
                connection.close().await;
                Err(AttemptError::Exchange {
                    source,
                    request_written,
                })
            }
        }
    }
}

/// Writes the request and reads its whole response. If the future is dropped, the connection has to
/// be closed.
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
        .map_err(ExchangeError::ConnectionLost)?;
    let result = response::read(response, connection.last_answered(), budget).await?;
    Ok(result)
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
