//! The gateway: handles events, holds the state, and carries out what the [`policy`](crate::policy)
//! decides.
//!
//! The files follow a request: `requests` (arrival and expiry), `leases` (the quota owners'
//! decision), `dispatch` (sending queued requests), `attempts` (how attempts end),
//! `stalled_servers` and `final_answer`. Periodic work is in `timers`, `control_tick` with
//! `control_loop`, and `gossip`. What the gateway knows of servers is in `servers`.

mod attempts;
mod control_loop;
mod control_tick;
mod dispatch;
mod final_answer;
mod gossip;
mod leases;
mod rejections;
mod requests;
mod servers;
mod stalled_servers;
mod timers;

use self::attempts::AttemptResult;
use self::control_loop::ControlLoop;
use self::rejections::RejectionCounts;
use self::servers::Servers;
use self::timers::Timers;
use crate::policy::controller_inputs::controller_inputs;
use crate::policy::fleet_mode::mode_of;
use crate::policy::quota_sharing::QuotaSharing;
use crate::policy::retry_budget::RetryBudget;
use crate::settings::{EndpointDiscovery, Settings, SettingsError};
use crate::state::attempt::{AttemptKey, AttemptTable};
use crate::state::deployment::{Context, Deployment};
use crate::state::quota::QuotaState;
use crate::state::request::{Request, RequestDetails};
use crate::state::request_table::RequestTable;
use crate::time::Timestamp;
use crate::types::{PlanId, RejectReason, RequestId};
use crate::units::Units;
use crate::{Action, Event};

/// The decisions of one gateway. It does no input or output, and reads no clock.
pub struct Gateway {
    deployment: Deployment,
    random: fastrand::Rng,
    timers: Timers,
    watch_requested: bool,
    requests: RequestTable,
    attempts: AttemptTable,
    retry_budget: RetryBudget,
    servers: Servers,
    quota_sharing: QuotaSharing,
    quotas: QuotaState,
    control_loop: ControlLoop,
    rejections: RejectionCounts,
}

impl Gateway {
    /// A gateway that starts at `now` with its settings and without any other knowledge. `seed`
    /// initialises its random numbers.
    ///
    /// # Errors
    /// Returns an error if the settings contradict each other or are out of range.
    pub fn new(seed: u64, settings: Settings, now: Timestamp) -> Result<Self, SettingsError> {
        settings.validate()?;
        let class_count = settings.classes.len();
        let mode = mode_of(&settings);
        let quotas = QuotaState::new(now, settings.gateway_id, settings.gateway_count);
        let quota_sharing = QuotaSharing::for_mode(mode, &settings);
        let deployment = Deployment::new(settings, mode);
        let servers = Servers::new(&deployment);
        Ok(Gateway {
            deployment,
            random: fastrand::Rng::with_seed(seed),
            timers: Timers::new(now, mode.broadcasts_usage()),
            watch_requested: false,
            requests: RequestTable::default(),
            attempts: AttemptTable::default(),
            retry_budget: RetryBudget::new(mode),
            servers,
            quota_sharing,
            quotas,
            control_loop: ControlLoop::new(class_count, controller_inputs(mode)),
            rejections: RejectionCounts::default(),
        })
    }

    /// Handles one event that happened at `now`, which must not be earlier than in the call before.
    /// The actions that follow are appended to `actions`, to be carried out in this order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.watch_endpoints_at_first_event(actions);
        if let Some(id) = self.request_outside_settings(&event) {
            // No queued request is sent and no timer is set because of it.
            return actions.push(Action::Fail { id });
        }
        self.handle_event(now, event, actions);
        self.dispatch(now, actions);
        self.rearm_timer(now, actions);
    }

    /// The request that has arrived, if its class or plan is not one of the settings.
    fn request_outside_settings(&self, event: &Event) -> Option<RequestId> {
        let Event::RequestReceived {
            id, class, plan, ..
        } = event
        else {
            return None;
        };
        let is_inside = self.deployment.has_class_and_plan(*class, *plan);
        (!is_inside).then(|| id.clone())
    }

    fn handle_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
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
                let details = RequestDetails {
                    class,
                    plan,
                    customer,
                    units: units.max(Units::ZERO),
                };
                let request = Request::new(now, client_timeout, details);
                self.on_request(now, id, request, gateways, actions);
            }
            Event::StreamStarted { id } => self.on_stream_started(&id),
            Event::AttemptFinished {
                id,
                attempt,
                outcome,
                closed,
                reported_load,
            } => {
                let key = AttemptKey {
                    request: id,
                    number: attempt,
                };
                let result = AttemptResult {
                    outcome,
                    is_request_closed: closed,
                    reported_load,
                };
                self.on_attempt_finished(now, &key, result, actions);
            }
            Event::ClientDisconnected { id } => self.remove_request(&id, actions),
            Event::TimerFired { .. } => self.on_timer(now, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(now, from, &bytes, actions),
        }
    }

    /// A timer has fired: what is due by now is done, in this order.
    fn on_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.timers.is_replaced(now) {
            return;
        }
        self.detect_stalled_servers(now, actions);
        self.timers.record_timer_fired();
        self.expire_requests(now, actions);
        self.check_unsent_requests(now, actions);
        self.on_control_tick(now, actions);
        self.broadcast_usage(now, actions);
    }

    fn rearm_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let has_open_requests = !self.requests.is_empty();
        if let Some(after) = self.timers.rearm(now, has_open_requests) {
            actions.push(Action::SetTimer { after, token: 0 });
        }
    }

    fn watch_endpoints_at_first_event(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.watch_requested, true) {
            self.watch_endpoints(actions);
        }
    }

    fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.deployment.settings.discovery == EndpointDiscovery::Watched {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// The context of decisions that need nothing of the gateway to be borrowed mutably at the same
    /// time.
    fn context(&self, now: Timestamp) -> Context<'_> {
        Context::new(now, &self.deployment, self.servers.estimates())
    }

    /// How many final answers since the start were made without a server, by reason and plan.
    pub fn rejections(&self) -> impl Iterator<Item = (RejectReason, PlanId, u64)> + '_ {
        self.rejections.iter()
    }

    /// How many servers and customers are held in memory.
    pub fn tracked_entries(&self) -> usize {
        self.servers.tracked_entries() + self.quotas.tracked_entries()
    }

    /// How many entries of servers were visited since the start, as a measure of work.
    pub fn entries_visited(&self) -> u64 {
        self.servers.visited()
    }
}
