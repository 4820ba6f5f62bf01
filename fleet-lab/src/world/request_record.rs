//! The invariant checker's record of one request, and what the idempotency of its class permits after its attempts.

use super::clients::ClientRequest;
use edge_node::{DeduplicationScope, Endpoint, Idempotency, Micros};

/// The record of one attempt.
pub(super) struct AttemptRecord {
    pub(super) server: Endpoint,
    pub(super) sent_at: Micros,
    pub(super) is_in_flight: bool,
    /// It certainly never ran.
    pub(super) is_proved_unexecuted: bool,
}

/// The record of one request.
pub(super) struct RequestRecord {
    pub(super) request: ClientRequest,
    pub(super) arrived_at: Micros,
    pub(super) is_open: bool,
    pub(super) attempts: Vec<AttemptRecord>,
    /// How many of its attempts began to run.
    pub(super) executions: u32,
}

impl RequestRecord {
    /// The first attempt that may have run.
    fn possibly_executed(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| !attempt.is_proved_unexecuted)
    }

    /// Whether the request may be sent to a server after its earlier attempts.
    pub(super) fn may_be_sent(&self, now: Micros, to: &Endpoint, idempotency: Idempotency) -> bool {
        let Some(executed) = self.possibly_executed() else { return true };
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let is_in_scope = match scope {
                    DeduplicationScope::AllServers => true,
                    DeduplicationScope::Zone => to.zone == executed.server.zone,
                    DeduplicationScope::Cell => to.cell == executed.server.cell,
                };
                is_in_scope && now <= executed.sent_at + window
            }
        }
    }

    /// Whether the request may be rejected after its earlier attempts, which invites the client to send it again.
    pub(super) fn may_be_rejected(&self, idempotency: Idempotency) -> bool {
        if self.possibly_executed().is_none() {
            return true;
        }
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::AllServers,
        }
    }
}
