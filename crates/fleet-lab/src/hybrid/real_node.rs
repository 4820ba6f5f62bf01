//! A real node: a process of the edge node's program, and its clients, which send requests over
//! HTTP.

use super::customers::{plan_name, PlannedRequest, CLASSES};
use super::environment::Environment;
use super::observed_request::ReceivedAnswer;
use super::scenario::CLIENT_TIMEOUT;
use crate::edge_node_process;
use crate::world::final_answer::FinalAnswer;
use anyhow::{bail, Context, Result};
use bytes::Bytes;
use gateway_core::{GatewayId, RequestId, Timestamp};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::process::Child;

/// Maximum time from the start of a node until it is ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time from SIGTERM until a node has ended; no client is waiting for it by then.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a client's connection is not used again, because the node closes it soon.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Index of the user time among the fields of `/proc/PID/stat` that follow the program's name; the
/// next field is the system time.
const USER_TIME_FIELD: usize = 11;

/// Start parameters of one real node.
pub(super) struct RealNodeConfig {
    pub(super) id: GatewayId,
    /// Address of the node's discovery agent.
    pub(super) discovery: SocketAddr,
    /// Address at which the node receives messages of its peers.
    pub(super) datagrams: SocketAddr,
    /// Seed of the node's random draws.
    pub(super) seed: u64,
}

impl RealNodeConfig {
    /// Writes the node's configuration file to a folder and returns its path.
    fn write(&self, environment: &Environment, folder: &Path) -> Result<PathBuf> {
        let name = node_name(self.id);
        let path = folder.join(format!("{name}.json"));
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": self.discovery,
            "seed": format!("{:016x}", self.seed),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "peer_listen": self.datagrams, "peers": environment.datagrams.peer_addresses(self.id),
            "known": environment.registry.json_since(0), "settings": environment.scenario.settings(self.id),
        });
        std::fs::write(&path, config.to_string())
            .with_context(|| format!("cannot write {}", path.display()))?;
        Ok(path)
    }
}

pub(super) struct RealNode {
    id: GatewayId,
    process: Child,
    pid: Pid,
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl RealNode {
    /// Starts a node and waits until it is ready. The node's configuration file is written to
    /// `folder`.
    pub(super) async fn start(
        environment: &Environment,
        program: &Path,
        folder: &Path,
        config: RealNodeConfig,
    ) -> Result<RealNode> {
        let path = config.write(environment, folder)?;
        let process = edge_node_process::command(program, &path).spawn();
        let process = process.with_context(|| format!("cannot start {}", program.display()))?;
        let node = tokio::time::timeout(
            STARTUP_TIMEOUT,
            RealNode::wait_until_ready(config.id, process),
        )
        .await;
        let node = node.unwrap_or_else(|_| bail!("not ready within {STARTUP_TIMEOUT:?}"));
        node.with_context(|| node_name(config.id))
    }

    async fn wait_until_ready(id: GatewayId, mut process: Child) -> Result<RealNode> {
        let pid = process
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .context("the process has already ended")?;
        let log = process
            .stderr
            .take()
            .context("the process has no standard error stream")?;
        let address = edge_node_process::read_address(log).await?;
        let node = RealNode {
            id,
            process,
            pid,
            address,
            client: new_client(),
        };
        // The node accepts no connections before it has received the list of servers, so the
        // request waits until then.
        let uri = format!("http://{address}/-/ready").parse()?;
        let status = node.client.get(uri).await?.status();
        if status != StatusCode::OK {
            bail!("the request to /-/ready was answered with {status}");
        }
        Ok(node)
    }

    /// Returns the processor time of the process in user and system mode, from `/proc`.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub(super) fn cpu_time(&self) -> Result<Duration> {
        let path = format!("/proc/{}/stat", self.pid.as_raw_nonzero());
        let name = node_name(self.id);
        let text = std::fs::read_to_string(&path).with_context(|| format!("{name} has ended"))?;
        // The program's name is in parentheses and may contain any character, so fields are counted
        // from the last closing parenthesis.
        let fields = text
            .rsplit_once(')')
            .map_or("", |(_, fields)| fields)
            .split_whitespace();
        let times = fields.skip(USER_TIME_FIELD).take(2);
        let ticks: Vec<u64> = times.filter_map(|field| field.parse().ok()).collect();
        let [user, system] = ticks[..] else {
            bail!("{path}: user time or system time is missing")
        };
        let ticks_per_second = rustix::param::clock_ticks_per_second();
        Ok(Duration::from_secs_f64(
            (user + system) as f64 / ticks_per_second as f64,
        ))
    }

    /// Sends a client's request over HTTP and returns its final answer; `None` if none has arrived
    /// by `give_up_at`, or the exchange fails.
    pub(super) async fn request(
        &self,
        environment: &Environment,
        id: &RequestId,
        request: &PlannedRequest,
        give_up_at: Timestamp,
    ) -> Option<ReceivedAnswer> {
        let time_left = give_up_at.duration_since(environment.clock.now());
        let exchange = self.exchange(id, request);
        let answer = tokio::time::timeout(time_left, exchange).await.ok()?.ok()?;
        environment
            .checker
            .borrow_mut()
            .answered(environment.clock.now(), &id.0, answer);
        Some(answer)
    }

    async fn exchange(&self, id: &RequestId, request: &PlannedRequest) -> Result<ReceivedAnswer> {
        let request = self.http_request(id, request)?;
        let response = self.client.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        let answer = match status {
            // The body of a server's response is the id of the request for which it was made.
            StatusCode::OK if body != id.0.as_bytes() => return Ok(ReceivedAnswer::Forged),
            StatusCode::OK => FinalAnswer::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                FinalAnswer::Rejected
            }
            _ => FinalAnswer::Failed,
        };
        Ok(ReceivedAnswer::Genuine(answer))
    }

    fn http_request(
        &self,
        id: &RequestId,
        request: &PlannedRequest,
    ) -> Result<Request<Full<Bytes>>> {
        let PlannedRequest {
            customer, units, ..
        } = request;
        let class = CLASSES[request.class];
        let (method, body) = if request.class == 0 {
            (Method::GET, "")
        } else {
            (Method::POST, "paid")
        };
        let terms = format!(
            "units={units},spread={},first={}",
            customer.node_count, customer.first_node.0
        );
        let request = Request::builder()
            .method(method)
            .uri(format!(
                "http://{}/{class}/{:016x}",
                self.address, customer.id.0
            ))
            .header("x-request-id", &*id.0)
            .header("x-class", class)
            .header("x-tier", plan_name(customer.plan))
            .header("x-deadline", format!("{}m", CLIENT_TIMEOUT.as_millis()))
            .header("x-call-terms", terms)
            .body(Full::from(body))?;
        Ok(request)
    }

    /// Stops the node with SIGTERM and waits until it has ended.
    ///
    /// # Errors
    /// Returns an error if the node had ended before, ended with an error, or did not end in time
    /// and was killed.
    pub(super) async fn shut_down(mut self) -> Result<()> {
        let name = node_name(self.id);
        if let Some(status) = self.process.try_wait()? {
            bail!("{name} ended before it was stopped: {status}");
        }
        kill_process(self.pid, Signal::TERM)
            .with_context(|| format!("cannot send SIGTERM to {name}"))?;
        let Ok(status) = tokio::time::timeout(SHUTDOWN_TIMEOUT, self.process.wait()).await else {
            self.process.kill().await?;
            bail!("{name} did not end within {SHUTDOWN_TIMEOUT:?} and was killed");
        };
        let status = status?;
        if !status.success() {
            bail!("{name} ended with {status}");
        }
        Ok(())
    }
}

fn node_name(id: GatewayId) -> String {
    format!("n{}", id.0)
}

fn new_client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}
