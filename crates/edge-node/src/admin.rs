//! The admin listener: HTTP endpoints for operators and their monitoring. It runs only if the
//! configuration sets its address, and its traffic does not affect client requests.

use crate::clients::Phase;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::socket_io::SocketIo;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of concurrent connections; any further connection is closed immediately. Without
/// this limit, anyone who can reach the port could exhaust descriptors and memory.
const MAX_CONNECTIONS: usize = 8;
/// Maximum lifetime of a connection, which carries a single request.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Size limit of a connection's read buffer in bytes; the smallest limit that hyper accepts.
const MAX_BUFFERED_BYTES: usize = 8192;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of open requests listed by `/debug/state`.
const MAX_SHOWN_REQUESTS: usize = 100;

// Values of the `Content-Type` header.
const TEXT: &str = "text/plain; charset=utf-8";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";

type AdminResponse = Response<Full<Bytes>>;

/// The HTTP service behind the admin listener, which builds a response to each request.
pub(crate) struct AdminService {
    /// Name of this edge node, shown by `/debug/state`.
    name: String,
    /// Source of the values in `/metrics` and `/debug/state`, which are read for each request.
    node: Rc<Node>,
    metrics: Rc<Metrics>,
    /// Life-cycle phase that `/readyz` and `/debug/state` report.
    phase: watch::Receiver<Phase>,
    /// Start of the uptime that `/metrics` and `/debug/state` report.
    started_at: Instant,
}

/// Accepts connections on the admin listener and serves each in its own task, which ends within
/// [`CONNECTION_TIMEOUT`]. Never returns; dropping the future aborts the tasks.
pub(crate) async fn serve(listener: TcpListener, admin: AdminService) {
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

async fn serve_connection(stream: TcpStream, admin: Rc<AdminService>) {
    let service = service_fn(move |request| {
        let response = admin.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new());
    http.header_read_timeout(CONNECTION_TIMEOUT);
    http.max_buf_size(MAX_BUFFERED_BYTES);
    http.keep_alive(false);
    let connection = http.serve_connection(SocketIo::new(stream), service);
    // A failed or timed-out connection affects only the operator's client, so it is not logged.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
}

impl AdminService {
    /// Creates the service for a node. The uptime that it reports is counted from this call.
    pub(crate) fn new(
        name: String,
        node: Rc<Node>,
        metrics: Rc<Metrics>,
        phase: watch::Receiver<Phase>,
    ) -> AdminService {
        AdminService {
            name,
            node,
            metrics,
            phase,
            started_at: Instant::now(),
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> AdminResponse {
        if request.method() != Method::GET {
            return method_not_allowed_response();
        }
        match request.uri().path() {
            "/healthz" => response(StatusCode::OK, TEXT, "ok\n"),
            "/readyz" => self.readiness_response(),
            "/metrics" => self.metrics_response(),
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

    fn readiness_response(&self) -> AdminResponse {
        match self.phase() {
            Phase::Serving => response(StatusCode::OK, TEXT, "serving\n"),
            phase => response(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT,
                format!("{}\n", phase.as_str()),
            ),
        }
    }

    fn metrics_response(&self) -> AdminResponse {
        match self
            .metrics
            .encode(&self.node.status(), self.started_at.elapsed())
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
            "up_s": self.started_at.elapsed().as_secs(),
            "open_requests": status.open_requests,
            "oldest_requests": self.oldest_requests(),
            "connections": {"clients": status.client_connections, "servers": status.server_connections},
            "open_descriptors": status.open_descriptors,
            "resident_memory_bytes": status.resident_memory_bytes,
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
        let entries = oldest.into_iter().map(|request| {
            json!({
                "id": &*request.id.0,
                "age_ms": whole_millis(request.age),
                "attempts": request.attempts,
            })
        });
        entries.collect()
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

fn method_not_allowed_response() -> AdminResponse {
    let mut response = response(StatusCode::METHOD_NOT_ALLOWED, TEXT, "only GET\n");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static("GET"));
    response
}
