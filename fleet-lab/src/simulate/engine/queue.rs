//! The one queue of events of a play.

use crate::simulate::faults::Step;
use crate::world::clients::Try;
use crate::world::servers::Job;
use crate::world::RequestNo;
use edge_node::{AttemptNumber, AttemptOutcome, Micros};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What happens at a time.
pub enum What {
    /// A customer's next try comes.
    Arrival(usize),
    /// A client tries again.
    Again(Box<Try>),
    /// A wake-up that a gateway asked for in one of its lives.
    Wake { node: u32, life: u32, token: u64 },
    /// A message arrives.
    Datagram { from: u32, to: u32, bytes: Vec<u8> },
    /// An attempt comes to a server.
    Reaches { server: usize, job: Job },
    /// A running request is due.
    Done { server: usize, serial: u64 },
    /// A server hears that nobody waits for an attempt.
    CalledOff { server: usize, no: RequestNo, attempt: AttemptNumber },
    /// A gateway sees how an attempt ended.
    Ends { no: RequestNo, attempt: AttemptNumber, outcome: AttemptOutcome, load: Option<f64> },
    /// A client leaves.
    Leaves(RequestNo),
    /// The time for a final answer is over.
    Overdue(RequestNo),
    /// A gateway is due to be told of the list, or has asked.
    Poll { node: u32, asked: bool },
    /// A gateway's call to discovery fails.
    CallFails { node: u32, life: u32 },
    /// Trouble.
    Step(Step),
}

/// An event; of those at one time, the first put in comes first.
struct Due {
    at: Micros,
    serial: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// Events by time.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Due>>,
    serial: u64,
}

impl Queue {
    /// Puts in what happens at a time, µs.
    pub fn put(&mut self, at: Micros, what: What) {
        self.serial += 1;
        self.heap.push(Reverse(Due { at, serial: self.serial, what }));
    }

    /// Takes out what happens next, and when.
    pub fn next(&mut self) -> Option<(Micros, What)> {
        self.heap.pop().map(|Reverse(due)| (due.at, due.what))
    }
}
