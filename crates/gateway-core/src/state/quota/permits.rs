//! The concurrency permits that a quota owner has granted for one customer.

use crate::time::Timestamp;
use crate::types::GatewayId;

/// The holder of a permit, and the lease request that the permit was granted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitHolder {
    /// The gateway that sends the attempt.
    pub(crate) gateway: GatewayId,
    /// Sequence number of that gateway's lease request.
    pub(crate) sequence: u16,
}

struct Permit {
    holder: PermitHolder,
    expires_at: Timestamp,
}

/// The permits in use. Each permit expires, because the message that releases it may be lost.
#[derive(Default)]
pub(crate) struct ConcurrencyPermits(Vec<Permit>);

impl ConcurrencyPermits {
    /// Returns the number of permits in use, including permits that have expired since the last
    /// call of [`drop_expired`](Self::drop_expired).
    pub(crate) fn in_use(&self) -> usize {
        self.0.len()
    }

    /// Grants a permit. The caller checks whether one is free.
    pub(crate) fn acquire(&mut self, holder: PermitHolder, expires_at: Timestamp) {
        self.0.push(Permit { holder, expires_at });
    }

    /// Releases a holder's permit, if it is in use.
    pub(crate) fn release(&mut self, holder: PermitHolder) {
        self.0.retain(|permit| permit.holder != holder);
    }

    /// Releases the permits that have expired.
    pub(crate) fn drop_expired(&mut self, now: Timestamp) {
        self.0.retain(|permit| permit.expires_at > now);
    }
}

/// Returns how many permits of `limit` the owner with this index may grant. The owners divide the
/// limit as evenly as whole permits allow; a standby owner may grant as many as the last owner.
pub(crate) fn permits_of_owner(limit: u32, owners: u32, index: u32) -> usize {
    let index = index.min(owners - 1);
    ((limit + owners - 1 - index) / owners) as usize
}

#[cfg(test)]
#[path = "../../../tests/unit/permits.rs"]
mod tests;
