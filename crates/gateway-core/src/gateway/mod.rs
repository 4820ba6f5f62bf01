//! The gateway: takes in events, keeps the state and carries out what the [`policy`](crate::policy) decides.
//! Nothing is decided here.

mod attempts;
mod control_tick;
mod gossip;
mod leases;
mod requests;
mod servers;
mod stalled_servers;

use self::servers::Servers;
use crate::policy::controller_inputs::ControllerInputs;
use crate::policy::deadlines::TIMER_PERIOD;
use crate::policy::fleet_mode::mode_of;
use crate::policy::fuzzy_controller::{FuzzyController, TICK_PERIOD};
use crate::policy::retry_budget::RetryBudget;
use crate::settings::{EndpointDiscovery, Settings, SettingsError};
use crate::state::attempt::AttemptTable;
use crate::state::deployment::{Context, Deployment, FleetMode};
use crate::state::latency_samples::LatencySamples;
use crate::state::quota_state::QuotaState;
use crate::state::request::{Request, RequestDetails, RequestTable};
use crate::time::Timestamp;
use crate::types::{PlanId, RejectReason};
use crate::{Action, Event};
use std::collections::BTreeMap;

/// When the next timers are due.
struct Timers {
    /// When the timer that was set fires.
    wake_at: Timestamp,
    next_broadcast: Timestamp,
    next_control_tick: Timestamp,
}

/// Decides for one gateway. It does no input or output, and reads no clock.
pub struct Gateway {
    deployment: Deployment,
    random: fastrand::Rng,
    timers: Timers,
    watch_requested: bool,
    requests: RequestTable,
    attempts: AttemptTable,
    retry_budget: RetryBudget,
    servers: Servers,
    quotas: QuotaState,
    controller: FuzzyController,
    controller_inputs: &'static dyn ControllerInputs,
    /// Latencies since the last control tick.
    latencies: LatencySamples,
    /// Final answers that no server made, by reason and plan.
    rejections: BTreeMap<(RejectReason, PlanId), u64>,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else. `seed`: for random numbers; `now`: in µs.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(seed: u64, settings: Settings, now: Timestamp) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.len();
        let mode = mode_of(&settings);
        let quotas = QuotaState::new(now, settings.gateway_id, settings.gateway_count);
        let deployment = Deployment::new(settings, mode);
        let servers = Servers::new(&deployment);
        Ok(Gateway {
            deployment,
            random: fastrand::Rng::with_seed(seed),
            timers: Timers {
                wake_at: Timestamp::MAX,
                next_broadcast: now,
                next_control_tick: now + TICK_PERIOD,
            },
            watch_requested: false,
            requests: RequestTable::default(),
            attempts: AttemptTable::default(),
            retry_budget: mode.retry_budget(),
            servers,
            quotas,
            controller: FuzzyController::default(),
            controller_inputs: mode.controller_inputs(),
            latencies: LatencySamples::new(classes),
            rejections: BTreeMap::new(),
        })
    }

    /// Takes in one event; what is to be done about it is added to `actions`. `now`: in µs, never less than
    /// before.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.watch_requested, true) {
            self.watch_endpoints(actions);
        }
        match event {
            Event::EndpointsUpdated { kind, endpoints } => {
                self.servers.apply_update(now, kind, endpoints);
            }
            Event::WatchFailed => self.watch_endpoints(actions),
            Event::RequestReceived {
                id,
                class,
                plan,
                customer,
                units,
                gateways,
                client_timeout,
            } => {
                let settings = &self.deployment.settings;
                if settings.classes.len() <= class.0 || settings.plans.len() <= plan.0 {
                    return actions.push(Action::Fail { id });
                }
                let details = RequestDetails {
                    class,
                    plan,
                    customer,
                    units: units.max(0.0),
                };
                let request = Request::arriving(now, client_timeout, details);
                self.on_request(now, id, request, gateways, actions);
            }
            Event::StreamStarted { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.stream_started();
                }
            }
            Event::AttemptFinished {
                id,
                attempt,
                outcome,
                closed,
                reported_load,
            } => {
                let result = attempts::AttemptResult {
                    outcome,
                    closed,
                    reported_load,
                };
                self.on_attempt_finished(now, id, attempt, result, actions);
            }
            Event::ClientDisconnected { id } => self.remove_request(&id, actions),
            Event::TimerFired { .. } if now < self.timers.wake_at => {} // a later timer has replaced it
            Event::TimerFired { .. } => self.on_timer(now, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(now, from, &bytes, actions),
        }
        self.dispatch(now, actions);
        self.set_timer(now, actions);
    }

    fn on_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.detect_stalled_servers(now, actions);
        self.timers.wake_at = Timestamp::MAX;
        self.expire_requests(now, actions);
        self.check_lease_requests(now, actions);
        self.on_control_tick(now, actions);
        self.broadcast_usage(now, actions);
    }

    fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let periodic = match self.deployment.mode {
            FleetMode::Gossip => self
                .timers
                .next_control_tick
                .min(self.timers.next_broadcast),
            FleetMode::Leases => self.timers.next_control_tick,
        };
        let soonest = now + TIMER_PERIOD;
        let next = if self.requests.is_empty() {
            periodic.max(soonest)
        } else {
            soonest
        };
        if next < self.timers.wake_at {
            self.timers.wake_at = next;
            actions.push(Action::SetTimer {
                after: next.duration_since(now),
                token: 0,
            });
        }
    }

    fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.deployment.settings.discovery == EndpointDiscovery::Watched {
            actions.push(Action::WatchEndpoints);
        }
    }

    fn context(&self, now: Timestamp) -> Context<'_> {
        Context {
            now,
            deployment: &self.deployment,
            fleet: self.servers.estimates(),
        }
    }

    /// Final answers since the start that no server made, by reason and plan.
    pub fn rejections(&self) -> impl Iterator<Item = (RejectReason, PlanId, u64)> + '_ {
        self.rejections
            .iter()
            .map(|((reason, plan), count)| (*reason, *plan, *count))
    }

    /// How many servers and customers are kept in memory.
    pub fn tracked_entries(&self) -> usize {
        self.servers.tracked_entries() + self.quotas.local.len() + self.quotas.owned.len()
    }

    /// How many servers were looked at since the start: work that tests can count.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited()
    }
}
