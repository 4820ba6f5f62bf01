//! Ejects stalled servers and cancels the attempts at them.

use super::servers::{StallEjection, StalledAttempt};
use super::Gateway;
use crate::policy::outlier_detection::is_timer_late;
use crate::policy::retry;
use crate::state::attempt::AttemptKey;
use crate::state::deployment::Context;
use crate::time::Timestamp;
use crate::warning::Warning;
use crate::Action;

impl Gateway {
    /// Ejects servers that accept requests but answer none, and cancels the stalled attempts there
    /// whose requests may be retried. Does nothing if the timer fired so late that this gateway
    /// itself is slow.
    pub(super) fn detect_stalled_servers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if is_timer_late(now, self.timers.fires_at()) {
            return;
        }
        let stalled_attempts = self
            .servers
            .stalled_attempts(now, &self.deployment, &self.attempts);
        for stalled in stalled_attempts {
            match self.servers.eject_stalled(now, &stalled, &mut self.random) {
                StallEjection::UnknownServer => continue,
                StallEjection::AlreadyEjected | StallEjection::Ejected { is_reported: false } => {}
                StallEjection::Ejected { is_reported: true } => {
                    actions.push(Action::Warn(Warning::ServerStalled {
                        server: stalled.server,
                    }));
                }
            }
            self.cancel_stalled(now, stalled, actions);
        }
    }

    /// Cancels a stalled attempt if its request may be retried.
    fn cancel_stalled(
        &mut self,
        now: Timestamp,
        stalled: StalledAttempt,
        actions: &mut Vec<Action>,
    ) {
        let context = Context::new(now, &self.deployment, self.servers.estimates());
        let Some(request) = self.requests.get_mut(&stalled.key.request) else {
            return;
        };
        if retry::may_cancel_stalled(context, request, stalled.sent_at, &self.retry_budget) {
            request.record_cancellation();
            let AttemptKey {
                request: id,
                number: attempt,
            } = stalled.key;
            actions.push(Action::CancelAttempt { id, attempt });
        }
    }
}
