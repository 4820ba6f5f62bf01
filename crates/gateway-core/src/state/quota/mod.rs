//! What a gateway remembers of its customers' quotas, and of the gateways that own them.

mod account;
mod forwarded_usage;
mod hard_limit_bucket;
mod held_lease;
mod ledger;
mod liveness;
mod owned;
mod owners;
mod peer_usage;
mod permits;
mod progress;
mod token_bucket;

pub(crate) use account::{AccountConfig, CustomerAccount};
pub(crate) use held_lease::HeldLease;
pub(crate) use owned::{OwnedQuota, OwnedQuotaConfig};
pub(crate) use owners::QuotaOwners;
pub(crate) use permits::{permits_of_owner, PermitHolder};
pub(crate) use progress::{PendingLease, QuotaOwner, QuotaProgress, RequestGrant};

use crate::message::UsageCount;
use crate::settings::Plan;
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, RequestId};
use liveness::GatewayLiveness;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Minimum time without a request before an account or an owned quota may be dropped.
const MIN_IDLE: Duration = Duration::from_secs(60);

/// A quota owner that did not respond.
#[derive(Clone, Copy, Default)]
pub(crate) struct OwnerTimeouts {
    /// Consecutive lease requests without a response.
    pub(crate) count: u32,
    /// Until when it is not asked, if there were enough of them.
    pub(crate) cooldown_until: Timestamp,
}

/// Quotas as this gateway sees them.
pub(crate) struct QuotaState {
    started_at: Timestamp,
    /// Whether peers have been up for much longer: this gateway has restarted.
    has_restarted: bool,
    /// The account of each customer at this gateway.
    accounts: BTreeMap<CustomerId, CustomerAccount>,
    /// The parts of quotas that it keeps as a quota owner.
    owned: BTreeMap<CustomerId, OwnedQuota>,
    /// Requests that wait for the response to a lease request, by its sequence number.
    pending_leases: BTreeMap<u16, RequestId>,
    last_sequence: u16,
    /// Owners that did not respond to the last lease requests.
    unresponsive_owners: BTreeMap<GatewayId, OwnerTimeouts>,
    liveness: GatewayLiveness,
}

/// A customer's account, and what its refill depends on.
pub(crate) struct AccountEntry<'a> {
    /// The account.
    pub(crate) account: &'a mut CustomerAccount,
    /// Which gateways are silent.
    liveness: &'a GatewayLiveness,
}

impl<'a> AccountEntry<'a> {
    /// The account, refilled up to now. `partitioned`: the time of silence during which the even
    /// part of a gateway is not refilled here.
    pub(crate) fn into_refilled(
        self,
        now: Timestamp,
        plans: &[Plan],
        partitioned: &Range<Duration>,
    ) -> &'a mut CustomerAccount {
        let account = self.account;
        let silent = self
            .liveness
            .silent_count(account.gateways(), now, partitioned);
        account.refill(now, &plans[account.plan().0], silent);
        account
    }
}

impl QuotaState {
    /// No customer is known yet.
    pub(crate) fn new(now: Timestamp, this_gateway: GatewayId, gateway_count: u32) -> Self {
        QuotaState {
            started_at: now,
            has_restarted: false,
            accounts: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending_leases: BTreeMap::new(),
            last_sequence: 0,
            unresponsive_owners: BTreeMap::new(),
            liveness: GatewayLiveness::new(now, this_gateway, gateway_count),
        }
    }

    /// How long this gateway has been up.
    pub(crate) fn uptime(&self, now: Timestamp) -> Duration {
        now.duration_since(self.started_at)
    }

    /// This gateway's incarnation, as sent to peers: when it started, in ms.
    pub(crate) fn incarnation(&self) -> u32 {
        self.started_at.as_incarnation()
    }

    /// Whether it is known that this gateway has restarted.
    pub(crate) fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Notes that this gateway has restarted.
    pub(crate) fn set_restarted(&mut self) {
        self.has_restarted = true;
    }

    /// A customer's account, if it has one.
    pub(crate) fn account(&self, customer: CustomerId) -> Option<&CustomerAccount> {
        self.accounts.get(&customer)
    }

    /// The same, to be changed.
    pub(crate) fn account_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerAccount> {
        self.accounts.get_mut(&customer)
    }

    /// The same, to be refilled.
    pub(crate) fn account_entry(&mut self, customer: CustomerId) -> Option<AccountEntry<'_>> {
        Some(AccountEntry {
            account: self.accounts.get_mut(&customer)?,
            liveness: &self.liveness,
        })
    }

    /// A customer's account, to be refilled; if it has none, `new` makes one.
    pub(crate) fn account_entry_or_insert(
        &mut self,
        customer: CustomerId,
        new: impl FnOnce() -> CustomerAccount,
    ) -> AccountEntry<'_> {
        AccountEntry {
            account: self.accounts.entry(customer).or_insert_with(new),
            liveness: &self.liveness,
        }
    }

    /// All accounts, to be changed.
    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = &mut CustomerAccount> {
        self.accounts.values_mut()
    }

    /// The owned part of a customer's quota; if there is none, `new` makes one.
    pub(crate) fn owned_or_insert(
        &mut self,
        customer: CustomerId,
        new: impl FnOnce() -> OwnedQuota,
    ) -> &mut OwnedQuota {
        self.owned.entry(customer).or_insert_with(new)
    }

    /// Takes back a concurrency permit that this gateway granted as an owner.
    pub(crate) fn release_permit(&mut self, customer: CustomerId, holder: PermitHolder) {
        if let Some(owned) = self.owned.get_mut(&customer) {
            owned.release_permit(holder);
        }
    }

    /// The sequence number of the next lease request.
    pub(crate) fn next_sequence(&mut self) -> u16 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Notes that a request waits for the response to a lease request.
    pub(crate) fn insert_pending(&mut self, sequence: u16, request: RequestId) {
        self.pending_leases.insert(sequence, request);
    }

    /// The request that waited for the response to a lease request; it waits no longer.
    pub(crate) fn remove_pending(&mut self, sequence: u16) -> Option<RequestId> {
        self.pending_leases.remove(&sequence)
    }

    /// Notes that an owner has not responded in time, so that it is not asked until
    /// `cooldown_until`.
    pub(crate) fn record_timeout(&mut self, owner: GatewayId, cooldown_until: Timestamp) {
        let timeouts = self.unresponsive_owners.entry(owner).or_default();
        timeouts.count += 1;
        timeouts.cooldown_until = cooldown_until;
    }

    /// Notes that an owner has responded.
    pub(crate) fn record_response(&mut self, owner: GatewayId) {
        self.unresponsive_owners.remove(&owner);
    }

    /// The consecutive lease requests to which an owner has not responded, if there are any.
    pub(crate) fn timeouts_of(&self, owner: GatewayId) -> Option<OwnerTimeouts> {
        self.unresponsive_owners.get(&owner).copied()
    }

    /// Notes that usage of a peer has been received.
    pub(crate) fn record_message(&mut self, now: Timestamp, from: GatewayId) {
        self.liveness.record_message(now, from);
    }

    /// Running counts of what was forwarded here, of customers whose usage rose within `max_age`,
    /// the latest first.
    pub(crate) fn usage_counts(&self, now: Timestamp, max_age: Duration) -> Vec<UsageCount> {
        let mut recent: Vec<_> = self
            .accounts
            .iter()
            .filter_map(|(customer, account)| {
                let usage = account.announced_usage(now, max_age)?;
                Some((*customer, usage))
            })
            .collect();
        recent.sort_by_key(|(customer, usage)| (Reverse(usage.last_risen_at), *customer));
        recent
            .into_iter()
            .map(|(customer, usage)| UsageCount {
                customer,
                count: usage.count,
            })
            .collect()
    }

    /// Drops what is idle: memory would grow with every customer ever seen.
    pub(crate) fn evict_idle(
        &mut self,
        now: Timestamp,
        plans: &[Plan],
        partitioned: &Range<Duration>,
    ) {
        let liveness = &self.liveness;
        self.accounts.retain(|_, account| {
            if !account.is_unused(now) {
                return true;
            }
            let silent = liveness.silent_count(account.gateways(), now, partitioned);
            !account.is_idle(now, &plans[account.plan().0], silent)
        });
        self.owned
            .retain(|_, owned| !owned.is_idle(now, &plans[owned.plan().0]));
    }

    /// How many accounts and owned quotas are kept in memory.
    pub(crate) fn tracked_entries(&self) -> usize {
        self.accounts.len() + self.owned.len()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_plan.rs"]
mod test_plan;
