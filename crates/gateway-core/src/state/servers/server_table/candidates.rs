//! Finding candidates: some servers of many, without a scan of all.

use super::ServerTable;
use crate::state::servers::server::Server;
use crate::time::Timestamp;
use crate::types::{CellId, ClassId, ServerId};

/// Which servers [`ServerTable::find_candidates`] looks at, in this order: those of a cell, if one
/// is named; those of a subset of the ring, from a position in it on and wrapping round; those
/// beyond the subset.
pub(crate) struct CandidateQuery {
    /// Cell whose servers are looked at first.
    pub(crate) cell: Option<CellId>,
    /// Where the subset begins on the ring.
    pub(crate) subset_position: usize,
    /// Number of servers in the subset.
    pub(crate) subset_size: usize,
    /// Position in the subset to begin at.
    pub(crate) subset_start: usize,
    /// Maximum number of servers to look at.
    pub(crate) max_visited: usize,
    /// Maximum number of servers to find, apart from those to be probed.
    pub(crate) max_found: usize,
}

/// A server found by [`ServerTable::find_candidates`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    /// Whether the table tracks it already.
    pub(crate) is_tracked: bool,
}

impl ServerTable {
    /// The server as a candidate, if a condition holds for it.
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

    /// Servers for which a condition holds, in the order of their ids: for each class the ejected
    /// one whose probe is longest due, and those that the query finds.
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

    /// The servers that a query looks at, in order.
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
