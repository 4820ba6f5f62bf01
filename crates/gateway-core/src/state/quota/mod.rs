//! The state of customers' quotas at a gateway, and of the gateways that own those quotas.

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

pub(crate) use account::{AccountConfig, CustomerAccount, MissingUnits};
pub(crate) use held_lease::HeldLease;
pub(crate) use owned::{OwnedQuota, OwnedQuotaConfig};
pub(crate) use owners::QuotaOwners;
pub(crate) use permits::{permits_of_owner, PermitHolder};
pub(crate) use progress::{PendingLeaseRequest, QuotaOwner, QuotaProgress, RequestGrant};

use crate::message::UsageCount;
use crate::settings::Plan;
use crate::time::Timestamp;
use crate::types::{CustomerId, GatewayId, RequestId};
use liveness::GatewayLiveness;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// The most recent consecutive lease requests that a quota owner did not respond to in time.
#[derive(Clone, Copy, Default)]
pub(crate) struct OwnerTimeouts {
    /// Number of consecutive lease requests without a response in time.
    pub(crate) count: u32,
    /// The time up to which the owner is not asked, if `count` makes it an unresponsive owner.
    pub(crate) cooldown_until: Timestamp,
}

/// Limit on the customers whose state a gateway keeps.
#[derive(Clone, Copy, Debug)]
pub struct CustomerLimit {
    /// Maximum number of accounts and of owned parts of quotas together.
    pub entries: usize,
    /// Longest time for which a request may wait.
    pub longest_deadline: Duration,
}

impl Default for CustomerLimit {
    /// Returns the absence of a limit.
    fn default() -> CustomerLimit {
        CustomerLimit {
            entries: usize::MAX,
            longest_deadline: Duration::ZERO,
        }
    }
}

/// The state of all quotas at this gateway: accounts, owned quotas and pending lease requests.
pub(crate) struct QuotaState {
    started_at: Timestamp,
    /// Whether peers have been up for much longer than this gateway, which shows that this gateway
    /// has restarted.
    has_restarted: bool,
    /// The account of each customer at this gateway.
    accounts: BTreeMap<CustomerId, CustomerAccount>,
    /// The parts of quotas that this gateway holds as a quota owner.
    owned: BTreeMap<CustomerId, OwnedQuota>,
    /// Requests that wait for a quota owner's response, by the sequence number of the lease
    /// request.
    pending_lease_requests: BTreeMap<u16, RequestId>,
    /// Sequence number of the most recent lease request.
    last_sequence: u16,
    /// The timeouts of each owner that did not respond in time to its most recent lease request.
    owner_timeouts: BTreeMap<GatewayId, OwnerTimeouts>,
    liveness: GatewayLiveness,
    customer_limit: CustomerLimit,
    /// When idle entries were last evicted because of the limit; the epoch if never.
    evicted_for_limit_at: Timestamp,
}

/// A customer's account that is still to be refilled, and the liveness on which the refill depends.
pub(crate) struct AccountEntry<'a> {
    /// The account, as of its last refill.
    pub(crate) account: &'a mut CustomerAccount,
    /// Tells which gateways are silent.
    liveness: &'a GatewayLiveness,
}

impl<'a> AccountEntry<'a> {
    /// Refills the account up to now and returns it. `partitioned` is the range of a gateway's
    /// silence within which that gateway's even part is not refilled here.
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
    /// Creates the state of a gateway that starts at `now` and knows no customers yet.
    /// `gateway_count` is the number of gateways in the fleet.
    pub(crate) fn new(now: Timestamp, this_gateway: GatewayId, gateway_count: u32) -> Self {
        QuotaState {
            started_at: now,
            has_restarted: false,
            accounts: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending_lease_requests: BTreeMap::new(),
            last_sequence: 0,
            owner_timeouts: BTreeMap::new(),
            liveness: GatewayLiveness::new(now, this_gateway, gateway_count),
            customer_limit: CustomerLimit::default(),
            evicted_for_limit_at: Timestamp::default(),
        }
    }

    /// Returns how long this gateway has been up.
    pub(crate) fn uptime(&self, now: Timestamp) -> Duration {
        now.duration_since(self.started_at)
    }

    /// Returns this gateway's incarnation, as sent to peers: when it started, in ms.
    pub(crate) fn incarnation(&self) -> u32 {
        self.started_at.as_incarnation()
    }

    /// Returns whether this gateway is known to have restarted.
    pub(crate) fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Records that this gateway has restarted.
    pub(crate) fn set_restarted(&mut self) {
        self.has_restarted = true;
    }

    /// Limits the accounts and the owned quotas.
    pub(crate) fn set_customer_limit(&mut self, limit: CustomerLimit) {
        self.customer_limit = limit;
    }

    /// Returns the limit on accounts and owned quotas.
    pub(crate) fn customer_limit(&self) -> CustomerLimit {
        self.customer_limit
    }

    /// Returns whether an account of the customer exists or may be added.
    pub(crate) fn has_room_for_account(&self, customer: CustomerId) -> bool {
        self.has_room() || self.accounts.contains_key(&customer)
    }

    /// Returns whether a part of the customer's quota is owned here or may be added.
    pub(crate) fn has_room_for_owned(&self, customer: CustomerId) -> bool {
        self.has_room() || self.owned.contains_key(&customer)
    }

    fn has_room(&self) -> bool {
        self.tracked_entries() < self.customer_limit.entries
    }

    /// Returns when idle entries were last evicted because of the limit.
    pub(crate) fn evicted_for_limit_at(&self) -> Timestamp {
        self.evicted_for_limit_at
    }

    /// Records that idle entries are evicted because of the limit.
    pub(crate) fn record_eviction_for_limit(&mut self, now: Timestamp) {
        self.evicted_for_limit_at = now;
    }

    /// Returns a customer's account, if there is one.
    pub(crate) fn account(&self, customer: CustomerId) -> Option<&CustomerAccount> {
        self.accounts.get(&customer)
    }

    /// Returns a mutable reference to a customer's account, if there is one.
    pub(crate) fn account_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerAccount> {
        self.accounts.get_mut(&customer)
    }

    /// Returns a customer's account to be refilled, if there is one.
    pub(crate) fn account_entry(&mut self, customer: CustomerId) -> Option<AccountEntry<'_>> {
        Some(AccountEntry {
            account: self.accounts.get_mut(&customer)?,
            liveness: &self.liveness,
        })
    }

    /// Returns a customer's account to be refilled; if there is none, adds the account that
    /// `create` returns.
    pub(crate) fn account_entry_or_insert(
        &mut self,
        customer: CustomerId,
        create: impl FnOnce() -> CustomerAccount,
    ) -> AccountEntry<'_> {
        AccountEntry {
            account: self.accounts.entry(customer).or_insert_with(create),
            liveness: &self.liveness,
        }
    }

    /// Iterates mutably over all accounts, ordered by customer.
    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = &mut CustomerAccount> {
        self.accounts.values_mut()
    }

    /// Returns the owned part of a customer's quota; if there is none, adds the part that `create`
    /// returns.
    pub(crate) fn owned_or_insert(
        &mut self,
        customer: CustomerId,
        create: impl FnOnce() -> OwnedQuota,
    ) -> &mut OwnedQuota {
        self.owned.entry(customer).or_insert_with(create)
    }

    /// Releases a concurrency permit that this gateway granted as a quota owner.
    pub(crate) fn release_permit(&mut self, customer: CustomerId, holder: PermitHolder) {
        if let Some(owned) = self.owned.get_mut(&customer) {
            owned.release_permit(holder);
        }
    }

    /// Allocates the sequence number of the next lease request.
    pub(crate) fn next_sequence(&mut self) -> u16 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Records that a request waits for the response to a lease request.
    pub(crate) fn insert_pending(&mut self, sequence: u16, request: RequestId) {
        self.pending_lease_requests.insert(sequence, request);
    }

    /// Removes and returns the request that waited for the response to a lease request.
    pub(crate) fn remove_pending(&mut self, sequence: u16) -> Option<RequestId> {
        self.pending_lease_requests.remove(&sequence)
    }

    /// Records that an owner has not responded in time. If this makes the owner unresponsive, it is
    /// not asked until `cooldown_until`.
    pub(crate) fn record_timeout(&mut self, owner: GatewayId, cooldown_until: Timestamp) {
        let timeouts = self.owner_timeouts.entry(owner).or_default();
        timeouts.count += 1;
        timeouts.cooldown_until = cooldown_until;
    }

    /// Records that an owner has responded, which resets its count of timeouts.
    pub(crate) fn record_response(&mut self, owner: GatewayId) {
        self.owner_timeouts.remove(&owner);
    }

    /// Returns the consecutive timeouts of an owner; `None` if it responded to its most recent
    /// lease request.
    pub(crate) fn timeouts_of(&self, owner: GatewayId) -> Option<OwnerTimeouts> {
        self.owner_timeouts.get(&owner).copied()
    }

    /// Records that usage counts of a peer were received.
    pub(crate) fn record_message(&mut self, now: Timestamp, from: GatewayId) {
        self.liveness.record_message(now, from);
    }

    /// Returns the running usage counts to announce: those of customers whose usage here increased
    /// within the last `max_age`, most recent increase first.
    pub(crate) fn usage_counts(&self, now: Timestamp, max_age: Duration) -> Vec<UsageCount> {
        let mut recent: Vec<_> = self
            .accounts
            .iter()
            .filter_map(|(customer, account)| {
                let usage = account.announced_usage(now, max_age)?;
                Some((*customer, usage))
            })
            .collect();
        recent.sort_by_key(|(customer, usage)| (Reverse(usage.last_increased_at), *customer));
        recent
            .into_iter()
            .map(|(customer, usage)| UsageCount {
                customer,
                count: usage.count,
            })
            .collect()
    }

    /// Evicts accounts and owned quotas that have been idle for `min_idle`; otherwise memory would
    /// grow with every customer ever seen.
    pub(crate) fn evict_idle(
        &mut self,
        now: Timestamp,
        min_idle: Duration,
        plans: &[Plan],
        partitioned: &Range<Duration>,
    ) {
        let liveness = &self.liveness;
        self.accounts.retain(|_, account| {
            if !account.is_unused(now, min_idle) {
                return true;
            }
            let silent = liveness.silent_count(account.gateways(), now, partitioned);
            !account.is_idle(now, min_idle, &plans[account.plan().0], silent)
        });
        self.owned
            .retain(|_, owned| !owned.is_idle(now, min_idle, &plans[owned.plan().0]));
    }

    /// Returns the number of accounts and owned quotas in memory.
    pub(crate) fn tracked_entries(&self) -> usize {
        self.accounts.len() + self.owned.len()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_plan.rs"]
mod test_plan;
