//! A real node: a process of the edge node's program, and its clients over HTTP.

use super::discovery;
use super::environment::World;
use super::ledger::{Answer, LOST_AFTER};
use super::scenario::{Wish, CLASSES, DEADLINE};
use anyhow::{bail, Context, Result};
use bytes::Bytes;
use edge_node::{GatewayId, Micros, RequestId};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};

/// How long a node may take to listen and be ready, in all.
const READY_WITHIN: Duration = Duration::from_secs(5);
/// How long it may take to leave after SIGTERM: no client waits for it any more.
const LEAVES_WITHIN: Duration = Duration::from_secs(4);
/// A client's connection that has stood idle for so long is not used again: the node closes it soon.
const IDLE_FOR: Duration = Duration::from_secs(1);

/// One real node that runs.
pub struct Real {
    number: GatewayId,
    child: Child,
    pid: Pid,
    address: SocketAddr,
    clients: Client<HttpConnector, Full<Bytes>>,
}

impl Real {
    /// Starts one and waits until it is ready. Its configuration is written to `folder`.
    pub async fn start(
        world: &World, number: GatewayId, program: &Path, folder: &Path, agent: SocketAddr,
        datagrams: SocketAddr, seed: u64,
    ) -> Result<Real> {
        let name = format!("n{}", number.0);
        let path = folder.join(format!("{name}.json"));
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": agent, "seed": format!("{seed:016x}"),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "peer_listen": datagrams, "peers": world.datagrams.peers(number),
            "known": discovery::known(&world.roster)?, "settings": world.scene.settings(number),
        });
        std::fs::write(&path, config.to_string()).with_context(|| format!("{}", path.display()))?;
        let mut command = Command::new(program);
        for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(key);
        }
        command.env("LB_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child =
            command.kill_on_drop(true).spawn().with_context(|| format!("{}", program.display()))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).context("the process has no id")?;
        let log = child.stderr.take().context("the process has no log")?;
        let ready = async {
            let mut log = BufReader::new(log);
            let mut line = String::new();
            log.read_line(&mut line).await?;
            let address = line.trim_end().rsplit(' ').next().and_then(|word| word.parse().ok());
            let address: SocketAddr =
                address.with_context(|| format!("it does not listen: {}", line.trim_end()))?;
            // Read to its end: a full pipe would stop the node.
            tokio::task::spawn_local(async move { log.read_to_end(&mut Vec::new()).await });
            let clients = Client::builder(TokioExecutor::new())
                .pool_idle_timeout(IDLE_FOR)
                .pool_timer(TokioTimer::new())
                .build(connector());
            let node = Real { number, child, pid, address, clients };
            // It accepts no connection before it has heard of the servers; the request waits until then.
            let uri = format!("http://{address}/-/ready").parse()?;
            let status = node.clients.get(uri).await?.status();
            if status != StatusCode::OK {
                bail!("it is not ready: {status}");
            }
            Ok(node)
        };
        let ready = tokio::time::timeout(READY_WITHIN, ready).await;
        ready.unwrap_or_else(|_| bail!("it is not ready in time")).with_context(|| format!("n{}", number.0))
    }

    /// Processor time that the process has used, user's and system's, from `/proc`.
    ///
    /// # Errors
    /// The process has ended.
    pub fn spent(&self) -> Result<Duration> {
        let path = format!("/proc/{}/stat", self.pid.as_raw_nonzero());
        let text = std::fs::read_to_string(&path).with_context(|| format!("n{} has ended", self.number.0))?;
        // The name in brackets may hold anything; what follows is counted from its end.
        let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields).split_whitespace();
        let ticks: Vec<u64> = fields.skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
        let [user, system] = ticks[..] else { bail!("{path}: two times are missing") };
        let second = rustix::param::clock_ticks_per_second();
        Ok(Duration::from_secs_f64((user + system) as f64 / second as f64))
    }

    /// A client's try over HTTP, to its final answer; `None` where none came in time.
    pub async fn ask(&self, world: &World, id: &RequestId, wish: &Wish, until: Micros) -> Option<Answer> {
        let left = Duration::from_micros(until.saturating_sub(world.clock.now()));
        let answer = tokio::time::timeout(left, self.exchange(world, id, wish)).await.ok()?.ok()?;
        world.ledger.borrow_mut().answered(world.clock.now(), &id.0, answer);
        Some(answer)
    }

    async fn exchange(&self, world: &World, id: &RequestId, wish: &Wish) -> Result<Answer> {
        let class = CLASSES[wish.class];
        let (method, body) = if wish.class == 0 { (Method::GET, "") } else { (Method::POST, "paid") };
        let customer = &wish.customer;
        let terms = format!("units={},spread={},first={}", wish.units, customer.spread, customer.first.0);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/{class}/{:016x}", self.address, customer.id.0))
            .header("x-request-id", &*id.0)
            .header("x-class", class)
            .header("x-tier", world.scene.plan(customer.plan))
            .header("x-deadline", format!("{}m", DEADLINE / 1000))
            .header("x-call-terms", terms)
            .body(Full::from(body))?;
        let answer = self.clients.request(request).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        Ok(match status {
            // A loan server's answer says for which request it was made.
            StatusCode::OK if body == id.0.as_bytes() => Answer::Served,
            StatusCode::OK => Answer::Forged,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Answer::Refused,
            _ => Answer::Failed,
        })
    }

    /// Tells it to leave, and waits for that.
    ///
    /// # Errors
    /// It had ended before, it left with an error, or it did not leave in time and was killed.
    pub async fn leave(mut self) -> Result<()> {
        let name = format!("n{}", self.number.0);
        if let Some(status) = self.child.try_wait()? {
            bail!("{name} has ended by itself: {status}");
        }
        kill_process(self.pid, Signal::TERM).with_context(|| format!("SIGTERM to {name}"))?;
        match tokio::time::timeout(LEAVES_WITHIN, self.child.wait()).await {
            Ok(status) => match status? {
                status if status.success() => Ok(()),
                status => bail!("{name} left with {status}"),
            },
            Err(_) => {
                self.child.kill().await?;
                bail!("{name} did not leave within {LEAVES_WITHIN:?} and was killed")
            }
        }
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

/// When a client stops waiting for an answer that is lost.
pub fn lost_at(asked: Micros) -> Micros {
    asked + DEADLINE + LOST_AFTER
}
