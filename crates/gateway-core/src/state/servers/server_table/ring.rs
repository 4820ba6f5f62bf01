//! Access to the ready servers by hash ring and by cell.

use super::ServerTable;
use crate::state::servers::server::Server;
use crate::types::{CellId, GatewayId, ServerId};

impl ServerTable {
    /// Returns a gateway's position on the ring of ready servers.
    pub(crate) fn ring_position(&self, gateway: GatewayId) -> usize {
        self.ring.position_of(gateway)
    }

    /// Iterates over the ready servers in ring order from `position`, wrapping around.
    pub(crate) fn ring_from(&self, position: usize) -> impl Iterator<Item = ServerId> + '_ {
        self.ring.iter_from(position)
    }

    /// Returns the `count` servers of `among` that come first on the ring from `position`. `among`
    /// must be ordered by id.
    pub(crate) fn first_on_ring<'s>(
        &self,
        position: usize,
        among: &[&'s Server],
        count: usize,
    ) -> Vec<&'s Server> {
        let find = |id| among.binary_search_by_key(&id, |server| server.id()).ok();
        self.ring_from(position)
            .filter_map(find)
            .map(|index| among[index])
            .take(count)
            .collect()
    }

    /// Iterates over the ready servers of a cell, ordered by id.
    pub(crate) fn in_cell(&self, cell: CellId) -> impl Iterator<Item = ServerId> + '_ {
        let members = self
            .cells
            .range((cell, ServerId(0))..=(cell, ServerId(u64::MAX)));
        members.map(|(_, server)| *server)
    }
}
