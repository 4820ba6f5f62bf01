//! The gateway: handles events, holds the state, and carries out the decisions of the
//! [`policy`](crate::policy).
//!
//! The modules in the order in which a request passes through them: `requests` (arrival and
//! expiry), `leases` (grants by quota owners), `dispatch` (sending queued requests to servers),
//! `attempts` (results of attempts), `stalled_servers` (ejection of servers that answer nothing),
//! `final_answer` (answers without a server) with `rejections` (their counts). Periodic work is in
//! `timers`, `control_tick` with `control_loop`, and `gossip`, which also receives the messages of
//! other gateways. The state and selection of servers is in `servers`.

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
use crate::state::quota::{CustomerLimit, QuotaState};
use crate::state::request::{Request, RequestDetails};
use crate::state::request_table::RequestTable;
use crate::time::Timestamp;
use crate::types::{PlanId, RejectReason, RequestId};
use crate::units::Units;
use crate::{Action, Event};

/// A gateway: turns each [`Event`] into [`Action`]s. It does no input or output, and reads no
/// clock.
pub struct Gateway {
    deployment: Deployment,
    random: fastrand::Rng,
    timers: Timers,
    has_requested_watch: bool,
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
    /// Creates a gateway that starts at `now` and knows nothing but its settings. `seed`
    /// initialises its random number generator.
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
            has_requested_watch: false,
            requests: RequestTable::default(),
            attempts: AttemptTable::default(),
            retry_budget: RetryBudget::new(),
            servers,
            quota_sharing,
            quotas,
            control_loop: ControlLoop::new(class_count, controller_inputs(mode)),
            rejections: RejectionCounts::default(),
        })
    }

    /// Limits the customers whose state is kept. There is no limit by default.
    pub fn set_customer_limit(&mut self, limit: CustomerLimit) {
        self.quotas.set_customer_limit(limit);
    }

    /// Handles one event that happened at `now`, and appends the resulting actions to `actions` in
    /// the order in which the caller has to carry them out. `now` must not be earlier than in the
    /// previous call.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.watch_endpoints_at_first_event(actions);
        if let Some(id) = self.request_of_unknown_class_or_plan(&event) {
            // Such a request must neither cause queued requests to be sent nor set a timer.
            return actions.push(Action::Fail { id });
        }
        self.handle_event(now, event, actions);
        self.dispatch(now, actions);
        self.rearm_timer(now, actions);
    }

    /// Returns the id of a request that has just arrived if its class or plan is not in the
    /// settings.
    fn request_of_unknown_class_or_plan(&self, event: &Event) -> Option<RequestId> {
        let Event::RequestReceived {
            id, class, plan, ..
        } = event
        else {
            return None;
        };
        let is_known = self.deployment.has_class_and_plan(*class, *plan);
        (!is_known).then(|| id.clone())
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

    /// Handles a timer that has fired: does the periodic work that is due, in a fixed order.
    /// Ignores a timer that has been replaced.
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
        if !std::mem::replace(&mut self.has_requested_watch, true) {
            self.watch_endpoints(actions);
        }
    }

    fn watch_endpoints(&self, actions: &mut Vec<Action>) {
        if self.deployment.settings.discovery == EndpointDiscovery::Watched {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Returns the context of decisions at `now`. The context borrows the whole gateway; callers
    /// that borrow a part of the gateway mutably use [`Context::new`] instead.
    fn context(&self, now: Timestamp) -> Context<'_> {
        Context::new(now, &self.deployment, self.servers.estimates())
    }

    /// Returns the number of final answers given without a server since the gateway started, by
    /// reason and plan; counts of 0 are left out.
    pub fn rejections(&self) -> impl Iterator<Item = (RejectReason, PlanId, u64)> + '_ {
        self.rejections.iter()
    }

    /// Returns the number of entries held in memory for servers and customers, as a measure of
    /// memory use.
    pub fn tracked_entries(&self) -> usize {
        self.servers.tracked_entries() + self.quotas.tracked_entries()
    }

    /// Returns the number of server entries visited since the gateway started, as a measure of CPU
    /// work.
    pub fn entries_visited(&self) -> u64 {
        self.servers.entries_visited()
    }
}
