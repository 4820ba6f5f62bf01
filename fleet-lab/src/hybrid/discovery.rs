//! The stand-in for discovery: the list of loan servers, and an agent beside each real node that tells it by watches.

use super::environment::World;
use super::scenario::Listed;
use anyhow::Result;
use bytes::Bytes;
use edge_node::{CellId, Endpoint, EndpointState, GatewayId, Micros, ServerId, ZoneId};
use http_body_util::channel::Sender;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Empty};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{http, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A watch says something at least so often.
const LIFE: Duration = Duration::from_secs(2);
/// Lines of a watch that may wait for the node to read.
const LINES: usize = 16;

/// A server as discovery has it.
#[derive(Clone)]
struct Host {
    name: String,
    id: ServerId,
    dial: SocketAddr,
    state: EndpointState,
    born: Option<Micros>,
    changed: u64,
}

/// The list and its version, from 1.
pub struct Roster {
    hosts: RefCell<Vec<Host>>,
    version: watch::Sender<u64>,
}

impl Roster {
    /// A list of servers that have run for long.
    pub fn new(servers: impl Iterator<Item = (String, ServerId, SocketAddr)>) -> Roster {
        let host =
            |(name, id, dial)| Host { name, id, dial, state: EndpointState::Ready, born: None, changed: 1 };
        Roster { hosts: RefCell::new(servers.map(host).collect()), version: watch::Sender::new(1) }
    }

    /// Notes what became of a server; watches tell it.
    pub fn change(&self, now: Micros, server: usize, listed: Listed) {
        let version = *self.version.borrow() + 1;
        if let Some(host) = self.hosts.borrow_mut().get_mut(server) {
            host.changed = version;
            (host.state, host.born) = match listed {
                Listed::Draining => (EndpointState::Draining, host.born),
                Listed::Gone => (EndpointState::Gone, host.born),
                Listed::Ready => (EndpointState::Ready, Some(now)),
            };
        }
        self.version.send_replace(version);
    }

    /// Comes up with each new version.
    pub fn follow(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// What has changed after a version, for a hollow node.
    pub fn since(&self, version: u64) -> Vec<Endpoint> {
        let hosts = self.hosts.borrow();
        let changed = hosts.iter().filter(|host| host.changed > version);
        let entry = |host: &Host| Endpoint {
            server: host.id,
            zone: ZoneId(0),
            cell: CellId(0),
            state: host.state,
            weight: 1.0,
            started_at: host.born,
        };
        changed.map(entry).collect()
    }

    /// The same as a line of a watch. From version 0 on, it is the whole list, on which nobody stands who is gone.
    fn line(&self, version: u64) -> String {
        let hosts = self.hosts.borrow();
        let told =
            |host: &&Host| host.changed > version && (version > 0 || host.state != EndpointState::Gone);
        let host = |host: &Host| {
            json!({"host": host.name, "dial": host.dial, "site": "a", "class": "std", "block": 0, "share": 1.0,
            "born_ms": host.born.unwrap_or(0) / 1000,
            "health": match host.state {
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
                EndpointState::Gone => "gone",
            }})
        };
        let hosts: Vec<_> = hosts.iter().filter(told).map(host).collect();
        let list = json!({"seq": *self.version.borrow(), "whole": version == 0, "hosts": hosts});
        format!("{list}\n")
    }
}

/// The list as a node that starts has it: `known` in its configuration.
pub fn known(roster: &Roster) -> Result<serde_json::Value> {
    Ok(serde_json::from_str(&roster.line(0))?)
}

/// The agent of one real node, for ever.
pub async fn listen(world: Rc<World>, node: GatewayId, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let world = Rc::clone(&world);
        tokio::task::spawn_local(async move {
            let answer = service_fn(|request| {
                let answer = open(&world, node, &request);
                async move { answer }
            });
            // The node may close a watch whenever it likes.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
        });
    }
}

fn open<B>(
    world: &Rc<World>, node: GatewayId, request: &Request<B>,
) -> http::Result<Response<BoxBody<Bytes, Infallible>>> {
    let query = request.uri().query().unwrap_or("");
    let watches = query.split('&').any(|part| part == "watch=1");
    if request.method() != Method::GET || request.uri().path() != "/api/targets" || !watches {
        return Response::builder().status(StatusCode::NOT_FOUND).body(Empty::new().boxed());
    }
    let (lines, body) = Channel::new(LINES);
    tokio::task::spawn_local(tell(Rc::clone(world), node, lines));
    Response::builder().body(body.boxed())
}

/// Tells a watch the whole list and then each change, until its connection ends.
async fn tell(world: Rc<World>, node: GatewayId, mut lines: Sender<Bytes>) {
    let mut changes = world.roster.follow();
    let mut told = 0;
    loop {
        let version = *changes.borrow_and_update();
        let line = if version > told { world.roster.line(told) } else { "\n".to_owned() };
        if lines.send_data(line.into()).await.is_err() {
            return;
        }
        let now = world.clock.now();
        world.tell(now, node, &world.roster.since(told));
        told = version;
        // A version or a sign of life, whichever is first.
        if matches!(tokio::time::timeout(LIFE, changes.changed()).await, Ok(Err(_))) {
            return;
        }
    }
}
