//! How the gateways of a fleet share the quota of each customer. [`QuotaSharing::for_mode`] chooses
//! one of two methods at startup:
//!
//! - [`gossip`], in a small fleet: each gateway broadcasts the units that it has forwarded, and
//!   decides by its own token buckets.
//! - [`lease`], in a large fleet: a request asks one of its customer's quota owners, which grant
//!   leases.
//!
//! The other modules:
//!
//! - [`owner`]: what a quota owner decides about a lease request.
//! - [`account`]: rules for a customer's account at this gateway that apply to both methods.
//! - [`customer_limit`]: which customers are forgotten, and when a new one is not accepted.

pub(crate) mod account;
pub(crate) mod customer_limit;
pub(crate) mod gossip;
pub(crate) mod lease;
pub(crate) mod owner;

use self::gossip::UsageBroadcasts;
use super::admission::Admission;
use crate::settings::Settings;
use crate::state::deployment::{Context, FleetMode};
use crate::state::quota::{CustomerAccount, QuotaState};
use crate::state::request::Request;

/// Method by which the gateways of a fleet share quotas.
#[derive(Clone, Copy)]
pub(crate) enum QuotaSharing {
    /// Own token buckets, from which the usage that peers broadcast is drained.
    Gossip(UsageBroadcasts),
    /// Leases granted by quota owners.
    Leases,
}

impl QuotaSharing {
    /// Returns the method for a fleet of this mode.
    pub(crate) fn for_mode(mode: FleetMode, settings: &Settings) -> Self {
        match mode {
            FleetMode::Gossip => QuotaSharing::Gossip(UsageBroadcasts::new(settings)),
            FleetMode::Leases => QuotaSharing::Leases,
        }
    }

    /// Decides on a request that has just arrived. `account` is its customer's account, refilled up
    /// to now.
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

    /// Returns whether the customer's limits allow the first attempt of a queued request now; if
    /// not, the request stays in the queue. In a large fleet they always do, because a quota owner
    /// has already decided on the request.
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

    /// Returns whether requests ask quota owners, which may fail to respond.
    pub(crate) fn uses_leases(self) -> bool {
        matches!(self, QuotaSharing::Leases)
    }

    /// Returns the schedule of the usage broadcasts that this gateway sends; `None` if it sends
    /// none.
    pub(crate) fn usage_broadcasts(self) -> Option<UsageBroadcasts> {
        match self {
            QuotaSharing::Gossip(broadcasts) if broadcasts.has_recipients() => Some(broadcasts),
            QuotaSharing::Gossip(_) | QuotaSharing::Leases => None,
        }
    }
}
