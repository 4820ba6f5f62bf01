//! Concurrency permits that a quota owner has handed out for one customer.

use crate::time::Timestamp;
use crate::types::GatewayId;

/// Who holds a permit, and under which lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitHolder {
    /// The gateway that sends the attempt.
    pub(crate) gateway: GatewayId,
    /// Sequence number of its lease request.
    pub(crate) sequence: u16,
}

struct Permit {
    holder: PermitHolder,
    expires_at: Timestamp,
}

/// The permits in use. Each expires by itself, as the message that releases it may be lost.
#[derive(Default)]
pub(crate) struct ConcurrencyPermits(Vec<Permit>);

impl ConcurrencyPermits {
    /// How many are in use, with those that have expired since the last call of `drop_expired`.
    pub(crate) fn in_use(&self) -> usize {
        self.0.len()
    }

    /// Hands one out; whether one is free is decided before.
    pub(crate) fn acquire(&mut self, holder: PermitHolder, expires_at: Timestamp) {
        self.0.push(Permit { holder, expires_at });
    }

    /// Takes one back, if it is in use.
    pub(crate) fn release(&mut self, holder: PermitHolder) {
        self.0.retain(|permit| permit.holder != holder);
    }

    /// Takes back those that have expired.
    pub(crate) fn drop_expired(&mut self, now: Timestamp) {
        self.0.retain(|permit| permit.expires_at > now);
    }
}

/// One owner's part of a limit that `owners` share, as even as whole permits allow. A standby owner
/// has as many as the last owner.
pub(crate) fn permits_of_owner(limit: u32, owners: u32, index: u32) -> usize {
    let index = index.min(owners - 1);
    ((limit + owners - 1 - index) / owners) as usize
}

#[cfg(test)]
#[path = "../../../tests/unit/permits.rs"]
mod tests;
