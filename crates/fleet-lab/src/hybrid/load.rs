//! The load of a run: clients send requests to all nodes at a rate that does not depend on the
//! answers. Answers and the resource usage of the nodes are counted.

use super::customers::PlannedRequest;
use super::environment::Environment;
use super::invariant_checker::ANSWER_GRACE;
use super::node_totals::NodeTotals;
use super::nodes::{usage_of, Node, NodeUsage};
use super::observed_request::{ReceivedAnswer, SentRequest};
use super::scenario::CLIENT_TIMEOUT;
use super::server_faults::FaultProfile;
use crate::time::MICROS_PER_SECOND;
use crate::world::{seconds_to_next_event, Rng};
use anyhow::{Context, Result};
use gateway_core::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Multiplier that mixes the seed into request ids.
const ID_MULTIPLIER: u64 = 0x9e37_79b9;

/// Duration, seed and faults of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadConfig {
    /// Time during which clients send requests, in seconds.
    pub(super) seconds: f64,
    /// Seed of the request ids.
    pub(super) seed: u64,
    pub(super) faults: FaultProfile,
}

/// Totals of the nodes of each kind.
pub(super) struct KindTotals {
    pub(super) real: NodeTotals,
    pub(super) hollow: NodeTotals,
}

impl KindTotals {
    fn new() -> Result<KindTotals> {
        let totals = || NodeTotals::new().context("cannot create the histogram of waits");
        Ok(KindTotals {
            real: totals()?,
            hollow: totals()?,
        })
    }

    fn of(&mut self, node: &Node) -> &mut NodeTotals {
        match node {
            Node::Real(_) => &mut self.real,
            Node::Hollow(_) => &mut self.hollow,
        }
    }

    /// Adds the resources that a node has used between two measurements. Datagrams that are too
    /// long are counted from the start of the node instead.
    fn add_usage(&mut self, node: &Node, before: &NodeUsage, after: &NodeUsage) {
        let totals = self.of(node);
        totals.cost_us += after.cost.saturating_sub(before.cost).as_secs_f64() * MICROS_PER_SECOND;
        totals.messages += after.sent.counts.messages - before.sent.counts.messages;
        totals.bytes += after.sent.counts.bytes - before.sent.counts.bytes;
        totals.too_long += after.sent.too_long;
    }
}

/// Generates the load. Returns the totals of the nodes once each client has its answer or has given
/// up.
pub(super) async fn generate(
    environment: &Rc<Environment>,
    nodes: &Rc<Vec<Node>>,
    config: LoadConfig,
    rng: Rng,
) -> Result<KindTotals> {
    let totals = Rc::new(RefCell::new(KindTotals::new()?));
    let before = usage_of(nodes, environment)?;
    let started = Instant::now();
    environment
        .checker
        .borrow_mut()
        .start(environment.clock.now());
    tokio::task::spawn_local(inject_faults(Rc::clone(environment), config, started));
    let load = LoadGenerator {
        environment: Rc::clone(environment),
        nodes: Rc::clone(nodes),
        totals: Rc::clone(&totals),
    };
    load.run(config, started, rng).await?;
    let mut totals = Rc::into_inner(totals)
        .context("a client task still holds the totals")?
        .into_inner();
    let after = usage_of(nodes, environment)?;
    for ((node, before), after) in nodes.iter().zip(&before).zip(&after) {
        totals.add_usage(node, before, after);
    }
    Ok(totals)
}

#[derive(Clone)]
struct LoadGenerator {
    environment: Rc<Environment>,
    nodes: Rc<Vec<Node>>,
    totals: Rc<RefCell<KindTotals>>,
}

impl LoadGenerator {
    /// Sends requests at random times with a fixed mean rate, and waits until the last client has
    /// finished.
    async fn run(self, config: LoadConfig, started: Instant, mut rng: Rng) -> Result<()> {
        let mut clients = JoinSet::new();
        let mut elapsed = 0.0;
        let mut number = 0_u64;
        loop {
            elapsed += seconds_to_next_event(&mut rng, self.environment.scenario.rate());
            if elapsed >= config.seconds {
                break;
            }
            tokio::time::sleep_until(started + Duration::from_secs_f64(elapsed)).await;
            number += 1;
            let id = format!("{:016x}", config.seed.wrapping_mul(ID_MULTIPLIER) ^ number);
            let request = self.environment.scenario.draw_request(&mut rng);
            clients.spawn_local(self.clone().send(RequestId(id.into()), request));
        }
        while let Some(client) = clients.join_next().await {
            client.context("a client task failed")?;
        }
        Ok(())
    }

    /// Sends one request, waits for its answer and counts it.
    async fn send(self, id: RequestId, request: PlannedRequest) {
        let environment = &self.environment;
        let sent_at = environment.clock.now();
        let sent = SentRequest {
            node: request.node,
            customer: request.customer.id,
            units: f64::from(request.units),
            is_non_idempotent: request.class != 0,
            timeout: CLIENT_TIMEOUT,
        };
        environment
            .checker
            .borrow_mut()
            .request_sent(sent_at, id.0.clone(), sent);
        let node = &self.nodes[request.node.0 as usize];
        let give_up_at = sent_at + CLIENT_TIMEOUT + ANSWER_GRACE;
        let answer = match node {
            Node::Real(real) => real.request(environment, &id, &request, give_up_at).await,
            Node::Hollow(hollow) => {
                let answer = hollow.request(&id, &request, give_up_at).await;
                answer.map(ReceivedAnswer::Genuine)
            }
        };
        let wait = environment.clock.now().duration_since(sent_at);
        self.totals.borrow_mut().of(node).count(answer, wait);
    }
}

async fn inject_faults(environment: Rc<Environment>, config: LoadConfig, started: Instant) {
    for fault in config.faults.faults() {
        tokio::time::sleep_until(started + Duration::from_secs_f64(fault.at * config.seconds))
            .await;
        environment.servers[fault.server].set_mode(fault.mode);
        if let Some(state) = fault.listed_state {
            environment
                .registry
                .update(environment.clock.now(), fault.server, state);
        }
    }
}
