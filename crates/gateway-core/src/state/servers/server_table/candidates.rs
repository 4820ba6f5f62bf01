//! Search for candidate servers without a scan of all servers.

use super::ServerTable;
use crate::state::servers::server::Server;
use crate::time::Timestamp;
use crate::types::{CellId, ClassId, ServerId};

/// The servers that [`ServerTable::find_candidates`] visits, in this order: the servers of `cell`,
/// if given; the servers of a subset of the ring, starting within the subset and wrapping around at
/// its end; the servers after the subset.
pub(crate) struct CandidateQuery {
    /// Cell whose servers are visited first.
    pub(crate) cell: Option<CellId>,
    /// Position on the ring at which the subset begins.
    pub(crate) subset_position: usize,
    pub(crate) subset_size: usize,
    /// Offset within the subset at which the visit begins.
    pub(crate) subset_start: usize,
    /// Maximum number of servers to visit; at most half of these visits are to servers of the cell.
    pub(crate) max_visited: usize,
    /// Maximum number of servers to find, not counting ejected servers to be probed.
    pub(crate) max_found: usize,
}

/// A server found by [`ServerTable::find_candidates`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    /// Whether the table tracks the server already.
    pub(crate) is_tracked: bool,
}

impl ServerTable {
    /// Returns the server as a candidate if it is in the table and meets a condition.
    fn candidate_if(&self, id: ServerId, condition: impl Fn(&Server) -> bool) -> Option<Candidate> {
        if let Some(server) = self.get(&id) {
            return condition(server).then_some(Candidate {
                server: id,
                is_tracked: true,
            });
        }
        let unknown = Server::unknown(*self.untracked.get(&id)?, Timestamp::EPOCH, 0);
        condition(&unknown).then_some(Candidate {
            server: id,
            is_tracked: false,
        })
    }

    /// Returns servers that meet a condition, ordered by id: for each class the ejected server
    /// whose probe has been due longest, and the servers that the query finds.
    pub(crate) fn find_candidates(
        &self,
        now: Timestamp,
        query: &CandidateQuery,
        condition: impl Fn(&Server) -> bool + Copy,
    ) -> Vec<Candidate> {
        let candidate = |id| self.candidate_if(id, condition);
        let probe = |class| {
            self.probes_due(ClassId(class), now)
                .take(query.max_found)
                .find_map(candidate)
        };
        let probes = (0..self.classes).filter_map(probe);
        let others = self
            .query_order(query)
            .filter_map(candidate)
            .take(query.max_found);
        let mut found: Vec<_> = probes.chain(others).collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Iterates over the servers that a query visits, in order.
    fn query_order<'a>(&'a self, query: &'a CandidateQuery) -> impl Iterator<Item = ServerId> + 'a {
        let position = query.subset_position;
        let in_cell = query.cell.into_iter().flat_map(|cell| self.in_cell(cell));
        let from_start = self.ring_from(position + query.subset_start);
        let from_start = from_start.take(query.subset_size - query.subset_start);
        let before_start = self.ring_from(position).take(query.subset_start);
        let beyond = self.ring_from(position + query.subset_size);
        let order = in_cell
            .take(query.max_visited / 2)
            .chain(from_start)
            .chain(before_start)
            .chain(beyond);
        order.take(query.max_visited)
    }
}
