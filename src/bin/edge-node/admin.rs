//! The admin listener, for operators and their monitoring. It is there only where a configuration names its address.

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

/// Connections at a time; more are closed at once. Guards descriptors and memory against whoever finds the port.
const CONNECTIONS_MOST: usize = 8;
/// A connection has one request and ends within this, whatever comes on it.
const ENDS_WITHIN: Duration = Duration::from_millis(2500);
/// Most bytes buffered of a request, which is the least that hyper can do with.
const HEAD_MOST: usize = 8192;
/// Pause after a connection that could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// Open requests that are shown.
const SHOWN_MOST: usize = 100;

/// What the listener tells of.
pub struct Admin {
    pub name: String,
    pub node: Rc<Node>,
    pub metrics: Rc<Metrics>,
    pub phase: watch::Receiver<Phase>,
    pub started: Instant,
}

/// Answers operators, for ever.
pub async fn serve(listener: TcpListener, admin: Admin) {
    let admin = Rc::new(admin);
    let mut open = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        while open.try_join_next().is_some() {}
        if open.len() < CONNECTIONS_MOST {
            open.spawn_local(converse(stream, Rc::clone(&admin)));
        }
    }
}

async fn converse(stream: TcpStream, admin: Rc<Admin>) {
    let service = service_fn(move |request| {
        let reply = admin.answer(&request);
        async move { Ok::<_, Infallible>(reply) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(ENDS_WITHIN).max_buf_size(HEAD_MOST).keep_alive(false);
    // How it ended matters to nobody here.
    let _ = tokio::time::timeout(ENDS_WITHIN, http.serve_connection(TokioIo::new(stream), service)).await;
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, kind: &'static str, words: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(words.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

impl Admin {
    fn answer(&self, request: &Request<Incoming>) -> Reply {
        if request.method() != Method::GET {
            let mut reply = reply(StatusCode::METHOD_NOT_ALLOWED, TEXT, "only GET\n");
            reply.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            return reply;
        }
        let phase = *self.phase.borrow();
        match request.uri().path() {
            "/healthz" => reply(StatusCode::OK, TEXT, "ok\n"),
            "/readyz" if phase == Phase::Serving => reply(StatusCode::OK, TEXT, "serving\n"),
            "/readyz" => reply(StatusCode::SERVICE_UNAVAILABLE, TEXT, format!("{}\n", phase.as_str())),
            "/metrics" => match self.metrics.text(self.node.now(), self.started.elapsed()) {
                Ok(text) => reply(StatusCode::OK, METRICS, text),
                Err(_) => reply(StatusCode::INTERNAL_SERVER_ERROR, TEXT, "the figures can't be written\n"),
            },
            "/debug/state" => reply(StatusCode::OK, "application/json", self.state(phase).to_string()),
            _ => reply(StatusCode::NOT_FOUND, TEXT, "/metrics, /healthz, /readyz, /debug/state\n"),
        }
    }

    fn state(&self, phase: Phase) -> serde_json::Value {
        let now = self.node.now();
        let requests: Vec<_> = self.node.oldest(SHOWN_MOST).into_iter().map(|(id, age, attempts)| {
            json!({"id": &*id.0, "age_ms": age.as_millis() as u64, "attempts": attempts})
        }).collect();
        json!({
            "name": self.name,
            "version": env!("CARGO_PKG_VERSION"),
            "phase": phase.as_str(),
            "up_s": self.started.elapsed().as_secs(),
            "open_requests": now.open_requests,
            "oldest_requests": requests,
            "connections": {"clients": now.client_connections, "servers": now.server_connections},
            "open_descriptors": now.descriptors,
            "datagrams": {"sent": now.datagrams_sent, "received": now.datagrams_received},
            "list": {
                "sequence": now.list_sequence,
                "age_ms": now.list_age.map(|age| age.as_millis() as u64),
                "servers_ready": now.servers_ready,
                "watch_lost": self.node.is_watch_lost(),
            },
        })
    }
}
