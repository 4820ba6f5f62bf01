//! Simulated servers. Attempts of hollow nodes arrive by a call, those of real nodes over HTTP; both share one queue.
//!
//! These run in real time as futures: a dropped future cancels an attempt, and a semaphore is the queue. The servers of
//! `world` are state machines that announce when they are done, and they have a warm-up and crashes, which `hybrid` does
//! not have.

use super::ledger::Ledger;
use super::scenario::{MEAN_WORK_US, SERVER_COUNT, WORK_DEVIATION_FRACTION};
use super::server_faults::ServerMode;
use crate::world::Rng;
use gateway_core::ServerId;
use rand::{Rng as _, SeedableRng};
use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Requests that wait at a server, for each that runs.
const QUEUED_PER_RUNNING: usize = 8;

/// A server's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptReply {
    /// How the attempt went.
    pub(super) status: AttemptStatus,
    /// How many requests the server holds.
    pub(super) held: usize,
}

/// How an attempt went at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStatus {
    /// Served.
    Served,
    /// An error; the request may have run.
    Error,
    /// Rejected: the request did not run.
    Rejected,
}

/// One server.
pub(super) struct Server {
    /// Its name in the list.
    pub(super) name: String,
    /// Its id at every node.
    pub(super) id: ServerId,
    mode: Cell<ServerMode>,
    execution_slots: Semaphore,
    held: Cell<usize>,
    max_held: usize,
    rng: RefCell<Rng>,
}

/// Counts a request at a server for as long as it is held.
struct HeldGuard<'a>(&'a Cell<usize>);

impl HeldGuard<'_> {
    fn new(held: &Cell<usize>) -> HeldGuard<'_> {
        held.set(held.get() + 1);
        HeldGuard(held)
    }
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    fn new(index: usize, slots: usize, seed: u64) -> Server {
        let name = format!("s-{index:08x}");
        // The edge node derives ids from names in this way: health reports of real and hollow nodes have to mean the
        // same server.
        let mut hash = fnv::FnvHasher::default();
        hash.write(name.as_bytes());
        Server {
            id: ServerId(hash.finish()),
            name,
            mode: Cell::new(ServerMode::Serve),
            execution_slots: Semaphore::new(slots),
            held: Cell::new(0),
            max_held: slots * (1 + QUEUED_PER_RUNNING),
            rng: RefCell::new(Rng::seed_from_u64(seed ^ (index as u64 + 1))),
        }
    }

    /// All servers of a run, each with so many requests that run at once.
    pub(super) fn all(slots: usize, seed: u64) -> Vec<Server> {
        (0..SERVER_COUNT)
            .map(|index| Server::new(index, slots, seed))
            .collect()
    }

    /// Sets what it does with attempts from now on.
    pub(super) fn set_mode(&self, mode: ServerMode) {
        self.mode.set(mode);
    }

    /// Handles an attempt to its end. A caller that no longer waits drops the future, and the server forgets the
    /// attempt.
    pub(super) async fn handle_attempt(
        &self,
        ledger: &RefCell<Ledger>,
        request: &str,
    ) -> AttemptReply {
        let mode = self.mode.get();
        if mode == ServerMode::Reject || self.held.get() >= self.max_held {
            return self.reply(AttemptStatus::Rejected);
        }
        ledger.borrow_mut().execution_started(request);
        let _held = HeldGuard::new(&self.held);
        if mode == ServerMode::Hang {
            std::future::pending::<()>().await;
        }
        let work = self.draw_work();
        let is_unlucky = self.rng.borrow_mut().random::<bool>();
        // The semaphore is never closed; if it were, one more request would run at most.
        let _slot = self.execution_slots.acquire().await;
        tokio::time::sleep(work).await;
        let is_error = mode == ServerMode::FailHalf && is_unlucky;
        self.reply(if is_error {
            AttemptStatus::Error
        } else {
            AttemptStatus::Served
        })
    }

    fn draw_work(&self) -> Duration {
        let deviation = WORK_DEVIATION_FRACTION * self.rng.borrow_mut().random_range(-1.0..1.0);
        Duration::from_micros((MEAN_WORK_US * (1.0 + deviation)) as u64)
    }

    fn reply(&self, status: AttemptStatus) -> AttemptReply {
        AttemptReply {
            status,
            held: self.held.get(),
        }
    }
}
