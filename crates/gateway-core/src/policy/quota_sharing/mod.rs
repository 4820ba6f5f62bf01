//! How the gateways of a fleet share the quota of each customer. Which of the two ways applies is
//! chosen once, at the start, by [`QuotaSharing::for_mode`].
//!
//! - [`gossip`]: a small fleet. Each gateway broadcasts what it forwarded, and its own token
//!   buckets decide.
//! - [`lease`]: a large fleet. A request asks one of its customer's quota owners, which grant
//!   leases.
//! - [`owner`]: what such an owner decides about a lease request.
//! - [`account`]: rules for a customer's account at this gateway that are common to both.

pub(crate) mod account;
pub(crate) mod gossip;
pub(crate) mod lease;
pub(crate) mod owner;

use self::gossip::UsageBroadcasts;
use super::admission::Admission;
use crate::settings::Settings;
use crate::state::deployment::{Context, FleetMode};
use crate::state::quota::{CustomerAccount, QuotaState};
use crate::state::request::Request;

/// How the gateways of a fleet share quotas.
#[derive(Clone, Copy)]
pub(crate) enum QuotaSharing {
    /// Own token buckets, fed by the usage that peers broadcast.
    Gossip(UsageBroadcasts),
    /// Leases from quota owners.
    Leases,
}

impl QuotaSharing {
    /// The way of sharing that belongs to the mode of the fleet.
    pub(crate) fn for_mode(mode: FleetMode, settings: &Settings) -> Self {
        match mode {
            FleetMode::Gossip => QuotaSharing::Gossip(UsageBroadcasts::new(settings)),
            FleetMode::Leases => QuotaSharing::Leases,
        }
    }

    /// Decides on a request that has just arrived. `account` is its customer's, refilled up to now.
    pub(super) fn on_arrival(
        self,
        context: Context<'_>,
        account: &mut CustomerAccount,
        request: &Request,
        random: &mut fastrand::Rng,
    ) -> Admission {
        match self {
            QuotaSharing::Gossip(_) => gossip::on_arrival(context, account, request),
            QuotaSharing::Leases => lease::on_arrival(context, account, request, random),
        }
    }

    /// Whether the limits of its customer allow the first attempt of a queued request now; if not,
    /// it stays in the queue. A quota owner has already decided on the requests of a large fleet.
    pub(crate) fn allows_first_attempt(
        self,
        quotas: &mut QuotaState,
        context: Context<'_>,
        request: &Request,
    ) -> bool {
        match self {
            QuotaSharing::Gossip(_) => gossip::allows_first_attempt(quotas, context, request),
            QuotaSharing::Leases => true,
        }
    }

    /// Whether requests ask quota owners, so that these may fail to respond.
    pub(crate) fn uses_leases(self) -> bool {
        matches!(self, QuotaSharing::Leases)
    }

    /// The broadcasts of usage that this gateway sends; `None` if it sends none.
    pub(crate) fn usage_broadcasts(self) -> Option<UsageBroadcasts> {
        match self {
            QuotaSharing::Gossip(broadcasts) if broadcasts.has_recipients() => Some(broadcasts),
            QuotaSharing::Gossip(_) | QuotaSharing::Leases => None,
        }
    }
}
