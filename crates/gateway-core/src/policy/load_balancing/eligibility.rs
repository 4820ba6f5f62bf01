//! Eligibility: which candidates may receive a request, according to ejection, probes and the
//! deduplication scope.

use super::Selector;
use crate::policy::retry::may_send;
use crate::settings::Idempotency;
use crate::state::request::Request;
use crate::state::servers::Server;
use crate::statistics::count_as_f64;
use crate::types::{ClassId, ServerId};

/// Minimum fraction of the ready servers that are not ejected; below it, ejection is ignored.
const MIN_HEALTHY_FRACTION: f64 = 0.5;

/// Conditions that apply to all candidates for one request.
pub(super) struct Choice<'a> {
    /// Request for which a server is chosen.
    pub(super) request: &'a Request,
    /// Whether ejected servers are eligible even if their probe is not due.
    pub(super) ignores_ejection: bool,
    /// Whether there is more than one candidate.
    has_alternatives: bool,
}

impl<'a> Choice<'a> {
    /// Creates the choice of a server for a request among some candidates.
    pub(super) fn new(
        selector: &Selector<'_>,
        request: &'a Request,
        candidates: &[ServerId],
    ) -> Self {
        Choice {
            request,
            ignores_ejection: selector.ignores_ejection(request.class()),
            has_alternatives: candidates.len() > 1,
        }
    }

    /// Returns whether a server is ejected for the class of the request.
    pub(super) fn is_ejected(&self, server: &Server) -> bool {
        server.class_health(self.request.class()).is_ejected()
    }
}

impl Selector<'_> {
    /// Returns whether fewer than [`MIN_HEALTHY_FRACTION`] of the ready servers are not ejected for
    /// a class. In that case the fault lies elsewhere, and ejecting more servers would overload the
    /// remaining ones.
    fn ignores_ejection(&self, class: ClassId) -> bool {
        let healthy = count_as_f64(self.servers.healthy_count(class));
        healthy < count_as_f64(self.servers.ready_count()) * MIN_HEALTHY_FRACTION
    }

    /// Returns whether a server may receive a request: it is not ejected or its probe is due, the
    /// probe is no risk for the request, and the request may be sent there without being executed
    /// twice.
    pub(super) fn may_receive(&self, choice: &Choice<'_>, server: &Server) -> bool {
        (choice.ignores_ejection || self.is_available(choice, server))
            && !self.is_risky_probe(choice, server)
            && self.may_send(choice.request, server)
    }

    /// Returns whether a server is not ejected for the request's class, or its probe is due:
    /// nothing is in flight there and the time of the probe has been reached.
    fn is_available(&self, choice: &Choice<'_>, server: &Server) -> bool {
        let probe_at = server.class_health(choice.request.class()).next_probe_at();
        probe_at.is_none_or(|at| at <= self.context.now && server.in_flight() == 0)
    }

    /// Returns whether a request would be sent to an ejected server although it might not be
    /// repeatable. An attempt at an ejected server may fail, so a request that is not idempotent is
    /// sent to one only if there is no other candidate.
    fn is_risky_probe(&self, choice: &Choice<'_>, server: &Server) -> bool {
        let is_idempotent =
            self.context.deployment.class_of(choice.request).idempotency == Idempotency::Idempotent;
        choice.is_ejected(server) && !is_idempotent && choice.has_alternatives
    }

    /// Returns whether a request may be sent to a server without being executed twice.
    pub(super) fn may_send(&self, request: &Request, server: &Server) -> bool {
        may_send(
            self.context.deployment,
            request,
            self.context.now,
            server.endpoint(),
        )
    }
}
