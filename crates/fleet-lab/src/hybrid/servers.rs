//! Simulated servers. Attempts of hollow nodes arrive by function calls, those of real nodes over
//! HTTP; both share one queue.
//!
//! These servers run in real time as futures: dropping a future cancels its attempt, and a
//! semaphore is the queue. The servers of `world` are state machines that return the time at which
//! each execution is done, and they simulate warm-up and crashes, which `hybrid` does not.

use super::invariant_checker::SocketInvariantChecker;
use super::scenario::{MEAN_WORK_US, SERVER_COUNT, WORK_DEVIATION_FRACTION};
use super::server_faults::ServerMode;
use crate::world::Rng;
use gateway_core::ServerId;
use rand::{Rng as _, SeedableRng};
use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum number of queued requests at a server, for each request that may run concurrently.
const QUEUED_PER_RUNNING: usize = 8;

/// A server's reply to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptReply {
    pub(super) status: AttemptStatus,
    /// Requests in flight at the server, running or queued.
    pub(super) in_flight: usize,
}

/// Outcome of an attempt at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStatus {
    /// The request was served.
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server rejected the attempt; the request did not run.
    Rejected,
}

pub(super) struct Server {
    /// Name of the server in the list.
    pub(super) name: String,
    /// Id of the server at every node.
    pub(super) id: ServerId,
    mode: Cell<ServerMode>,
    execution_slots: Semaphore,
    in_flight: Cell<usize>,
    max_in_flight: usize,
    rng: RefCell<Rng>,
}

/// Guard that counts a request as in flight at a server as long as it lives.
struct InFlightGuard<'a>(&'a Cell<usize>);

impl InFlightGuard<'_> {
    fn new(in_flight: &Cell<usize>) -> InFlightGuard<'_> {
        in_flight.set(in_flight.get() + 1);
        InFlightGuard(in_flight)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    fn new(index: usize, slots: usize, seed: u64) -> Server {
        let name = format!("s-{index:08x}");
        // The edge node derives ids from names in the same way, because health reports of real and
        // hollow nodes have to refer to the same server.
        let mut hash = fnv::FnvHasher::default();
        hash.write(name.as_bytes());
        Server {
            id: ServerId(hash.finish()),
            name,
            mode: Cell::new(ServerMode::Serve),
            execution_slots: Semaphore::new(slots),
            in_flight: Cell::new(0),
            max_in_flight: slots * (1 + QUEUED_PER_RUNNING),
            rng: RefCell::new(Rng::seed_from_u64(seed ^ (index as u64 + 1))),
        }
    }

    /// Creates all servers of a run. Each server runs up to `slots` requests concurrently.
    pub(super) fn all(slots: usize, seed: u64) -> Vec<Server> {
        (0..SERVER_COUNT)
            .map(|index| Server::new(index, slots, seed))
            .collect()
    }

    /// Sets what the server does with attempts from now on.
    pub(super) fn set_mode(&self, mode: ServerMode) {
        self.mode.set(mode);
    }

    /// Handles an attempt until its end. An accepted attempt is recorded as executed at once,
    /// before it has a slot. A caller that no longer waits drops the future, which cancels the
    /// attempt.
    pub(super) async fn handle_attempt(
        &self,
        checker: &RefCell<SocketInvariantChecker>,
        request: &str,
    ) -> AttemptReply {
        let mode = self.mode.get();
        if mode == ServerMode::Reject || self.in_flight.get() >= self.max_in_flight {
            return self.reply(AttemptStatus::Rejected);
        }
        checker.borrow_mut().attempt_accepted(request);
        let _guard = InFlightGuard::new(&self.in_flight);
        if mode == ServerMode::Hang {
            std::future::pending::<()>().await;
        }
        let work = self.draw_work();
        let is_selected_to_fail = self.rng.borrow_mut().random::<bool>();
        // The semaphore is never closed; if it were, a request would only run earlier.
        let _slot = self.execution_slots.acquire().await;
        tokio::time::sleep(work).await;
        let is_error = mode == ServerMode::FailHalf && is_selected_to_fail;
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
            in_flight: self.in_flight.get(),
        }
    }
}
