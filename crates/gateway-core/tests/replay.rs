//! Regression test of all decisions: replays seeded events through the library, and compares
//! digests of the actions with recorded digests. Only the values of an action are hashed, in a
//! hand-written encoding without the names of types, variants and fields, so renames do not change
//! the digests.
//!
//! To record new digests after an intended change of decisions, run `cargo test --test replay`,
//! replace the entries of [`RECORDED`] with those in the failure message, name the recorded commit
//! in the comment of [`RECORDED`], and describe the change of decisions in the commit message.

#[path = "replay/action_digest.rs"]
mod action_digest;
mod common;
#[path = "replay/simulated_server.rs"]
mod simulated_server;
#[path = "replay/simulation.rs"]
mod simulation;

use simulation::Simulation;
use std::collections::BTreeSet;
use std::fmt;

/// Numbers of gateways and servers of a simulated fleet.
struct FleetSize {
    gateways: u32,
    servers: u64,
}

/// The digest of all actions of one simulation.
#[derive(Clone, Copy, PartialEq)]
struct RecordedDigest {
    gateways: u32,
    servers: u64,
    seed: u64,
    digest: u64,
}

const fn digest(gateways: u32, servers: u64, seed: u64, digest: u64) -> RecordedDigest {
    RecordedDigest {
        gateways,
        servers,
        seed,
        digest,
    }
}

impl fmt::Display for RecordedDigest {
    /// Writes the digest as an entry of [`RECORDED`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecordedDigest {
            gateways,
            servers,
            seed,
            digest,
        } = self;
        write!(
            f,
            "    digest({gateways}, {servers}, {seed}, {digest:#018x}),"
        )
    }
}

/// Digests recorded when an attempt began to need three times the mean latency of the time that its
/// client has left.
const RECORDED: &[RecordedDigest] = &[
    digest(3, 14, 1, 0x19f90707a7796ff2),
    digest(3, 14, 2, 0xe6678c348acb6965),
    digest(3, 60, 1, 0xb67e7e232a1da33a),
    digest(3, 60, 2, 0x8b2c5f6aff2aba6f),
    digest(3, 200, 1, 0x913854388e0b4061),
    digest(3, 200, 2, 0x9fad82b49f1c9e03),
    digest(30, 200, 1, 0xf5c32a50696e1d1f),
    digest(30, 200, 2, 0x75448e1826ccd7f3),
    digest(300, 14, 1, 0xdad6de2d83826b07),
    digest(300, 14, 2, 0x171555f0b988ecdc),
    digest(300, 60, 1, 0xc587e5dd8ad0141b),
    digest(300, 60, 2, 0x12ba826308a116fa),
    digest(300, 200, 1, 0xcc196eb9789157a9),
    digest(300, 200, 2, 0xc360a7b7e3e4ef70),
];

/// Fleets that are simulated, each with all [`SEEDS`]. The list does not depend on [`RECORDED`], so
/// the test fails if an entry of [`RECORDED`] is missing.
const FLEETS: [FleetSize; 7] = [
    FleetSize {
        gateways: 3,
        servers: 14,
    },
    FleetSize {
        gateways: 3,
        servers: 60,
    },
    FleetSize {
        gateways: 3,
        servers: 200,
    },
    FleetSize {
        gateways: 30,
        servers: 200,
    },
    FleetSize {
        gateways: 300,
        servers: 14,
    },
    FleetSize {
        gateways: 300,
        servers: 60,
    },
    FleetSize {
        gateways: 300,
        servers: 200,
    },
];
const SEEDS: [u64; 2] = [1, 2];

/// Names of all events, actions and outcomes except `WatchEndpoints`, which no gateway returns here
/// because its endpoints are pushed.
const EXPECTED_TO_OCCUR: [&str; 24] = [
    "EndpointsUpdated",
    "WatchFailed",
    "RequestReceived",
    "StreamStarted",
    "AttemptFinished",
    "ClientDisconnected",
    "TimerFired",
    "PeerMessage",
    "SendAttempt",
    "Reject",
    "Fail",
    "CancelAttempt",
    "Broadcast",
    "SendToPeer",
    "SetTimer",
    "Warn",
    "Success",
    "ServerError",
    "Overloaded",
    "TimedOut",
    "Unreachable",
    "ConnectionLost",
    "Cancelled",
    "NotSent",
];

#[test]
fn replayed_events_produce_recorded_actions() {
    let mut digests = Vec::new();
    let mut occurred = BTreeSet::new();
    for FleetSize { gateways, servers } in FLEETS {
        for seed in SEEDS {
            let result = Simulation::new(gateways, servers, seed).run();
            digests.push(digest(gateways, servers, seed, result.digest));
            occurred.extend(result.occurred);
        }
    }
    let missing: Vec<_> = EXPECTED_TO_OCCUR
        .iter()
        .filter(|name| !occurred.contains(**name))
        .collect();
    assert!(missing.is_empty(), "never occurred: {missing:?}");
    let lines: Vec<_> = digests.iter().map(RecordedDigest::to_string).collect();
    assert!(
        digests == RECORDED,
        "the actions differ from the recorded actions; their digests are\n{}",
        lines.join("\n")
    );
}
