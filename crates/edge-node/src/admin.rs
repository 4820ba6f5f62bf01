//! The admin listener, for operators and their monitoring. It runs only where a configuration names
//! its address, and nothing that comes on it touches the requests of clients.

use crate::clients::Phase;
use crate::metrics::Metrics;
use crate::node::Node;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of concurrent connections; further ones are closed immediately. Whoever finds the
/// port could otherwise use up descriptors and memory.
const MAX_CONNECTIONS: usize = 8;
/// A connection carries one request and ends within this time, whatever arrives on it.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of bytes of a request that are buffered, which is the minimum that hyper accepts.
const MAX_BUFFERED_BYTES: usize = 8192;
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of open requests shown by `/debug/state`.
const MAX_SHOWN_REQUESTS: usize = 100;

const TEXT: &str = "text/plain; charset=utf-8";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";

type AdminResponse = Response<Full<Bytes>>;

/// What the admin listener reports on.
pub(crate) struct Admin {
    /// Name of this edge node.
    name: String,
    /// Asked for its status on each request.
    node: Rc<Node>,
    metrics: Rc<Metrics>,
    phase: watch::Receiver<Phase>,
    started: Instant,
}

/// Answers operators until the process ends.
///
/// The connections' tasks belong to this future's `JoinSet`: dropping the future aborts them. Each
/// ends by itself within [`CONNECTION_TIMEOUT`].
pub(crate) async fn serve(listener: TcpListener, admin: Admin) {
    let admin = Rc::new(admin);
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < MAX_CONNECTIONS {
            connections.spawn_local(serve_connection(stream, Rc::clone(&admin)));
        }
    }
}

async fn serve_connection(stream: TcpStream, admin: Rc<Admin>) {
    let service = service_fn(move |request| {
        let response = admin.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new());
    http.header_read_timeout(CONNECTION_TIMEOUT);
    http.max_buf_size(MAX_BUFFERED_BYTES);
    http.keep_alive(false);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    // A connection that fails or times out concerns nobody but its client.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
}

impl Admin {
    /// What reports on this node; the process counts as started now.
    pub(crate) fn new(
        name: String,
        node: Rc<Node>,
        metrics: Rc<Metrics>,
        phase: watch::Receiver<Phase>,
    ) -> Admin {
        Admin {
            name,
            node,
            metrics,
            phase,
            started: Instant::now(),
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> AdminResponse {
        if request.method() != Method::GET {
            return method_not_allowed();
        }
        match request.uri().path() {
            "/healthz" => response(StatusCode::OK, TEXT, "ok\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            "/debug/state" => response(StatusCode::OK, JSON, self.debug_state().to_string()),
            _ => response(
                StatusCode::NOT_FOUND,
                TEXT,
                "/metrics, /healthz, /readyz, /debug/state\n",
            ),
        }
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    fn readiness(&self) -> AdminResponse {
        match self.phase() {
            Phase::Serving => response(StatusCode::OK, TEXT, "serving\n"),
            phase => response(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT,
                format!("{}\n", phase.as_str()),
            ),
        }
    }

    fn metrics(&self) -> AdminResponse {
        match self
            .metrics
            .encode(&self.node.status(), self.started.elapsed())
        {
            Ok(text) => response(StatusCode::OK, OPEN_METRICS, text),
            Err(_) => response(
                StatusCode::INTERNAL_SERVER_ERROR,
                TEXT,
                "the figures can't be written\n",
            ),
        }
    }

    fn debug_state(&self) -> serde_json::Value {
        let status = self.node.status();
        json!({
            "name": self.name,
            "version": env!("CARGO_PKG_VERSION"),
            "phase": self.phase().as_str(),
            "up_s": self.started.elapsed().as_secs(),
            "open_requests": status.open_requests,
            "oldest_requests": self.oldest_requests(),
            "connections": {"clients": status.client_connections, "servers": status.server_connections},
            "open_descriptors": status.open_descriptors,
            "datagrams": {"sent": status.datagrams_sent, "received": status.datagrams_received},
            "list": {
                "sequence": status.list_sequence,
                "age_ms": status.list_age.map(whole_millis),
                "servers_ready": status.servers_ready,
                "watch_lost": self.node.is_watch_lost(),
            },
        })
    }

    fn oldest_requests(&self) -> Vec<serde_json::Value> {
        let oldest = self.node.oldest_requests(MAX_SHOWN_REQUESTS);
        let shown = oldest.into_iter().map(|request| {
            json!({
                "id": &*request.id.0,
                "age_ms": whole_millis(request.age),
                "attempts": request.attempts,
            })
        });
        shown.collect()
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> AdminResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn method_not_allowed() -> AdminResponse {
    let mut response = response(StatusCode::METHOD_NOT_ALLOWED, TEXT, "only GET\n");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static("GET"));
    response
}
