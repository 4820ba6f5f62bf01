//! Start, duration and strength of each fault.

use std::ops::Range;
use std::time::Duration;

/// Start and duration of a fault.
#[derive(Clone, Copy)]
pub(super) struct FaultWindow {
    /// Start, as a fraction of the simulation.
    pub(super) start_fraction: f64,
    /// Duration, unless [`LATEST_END_FRACTION`] ends the fault earlier.
    pub(super) duration: Duration,
}

impl FaultWindow {
    const fn new(start_fraction: f64, seconds: u64) -> FaultWindow {
        FaultWindow {
            start_fraction,
            duration: Duration::from_secs(seconds),
        }
    }
}

/// Fraction of the simulation by which every fault with a [`FaultWindow`] has ended. Drains and
/// restarts may end later.
pub(super) const LATEST_END_FRACTION: f64 = 0.8;
/// Span of a surge, in which the demand of all customers rises.
pub(super) const SURGE: FaultWindow = FaultWindow::new(0.25, 10);
/// Demand during a surge, as a multiple of the usual demand.
pub(super) const SURGE_RATIO: f64 = 1.5;
/// Span of a flood by one or two customers.
pub(super) const FLOOD: FaultWindow = FaultWindow::new(0.35, 12);
/// Demand that the flooding customers add together, as a fraction of all demand within the quotas.
pub(super) const FLOOD_FRACTION: f64 = 0.3;
/// Span in which servers hang.
pub(super) const HANG: FaultWindow = FaultWindow::new(0.25, 12);
/// Span in which servers are slow.
pub(super) const SLOWNESS: FaultWindow = FaultWindow::new(0.25, 16);
/// Fraction of the simulation before which no server is replaced.
pub(super) const FIRST_REPLACEMENT_FRACTION: f64 = 0.2;
/// Fraction of the simulation after which no server is replaced.
pub(super) const LAST_REPLACEMENT_FRACTION: f64 = 0.6;
/// Fraction of the simulation after which gateways are killed.
pub(super) const KILL_FRACTION: f64 = 0.3;
/// Time for which a killed gateway is down, in seconds.
pub(super) const GATEWAY_DOWN_SECONDS: Range<f64> = 1.7..7.5;
/// Span in which a zone is partitioned.
pub(super) const PARTITION: FaultWindow = FaultWindow::new(0.3, 6);
/// Fraction of messages that is lost everywhere during the partition.
pub(super) const PARTITION_LOSS_FRACTION: f64 = 0.1;
/// Span of an outage of discovery.
pub(super) const DISCOVERY_OUTAGE: FaultWindow = FaultWindow::new(0.25, 8);
/// Time from the start of a discovery outage to the drains during the outage. No gateway learns of
/// these drains before the outage ends.
pub(super) const OUTAGE_TO_DRAIN: Duration = Duration::from_millis(100);
/// Time from a server's drain to the end of its process. Without an outage of discovery, all
/// gateways learn of the drain long before the process ends.
pub(super) const DRAIN_TO_STOP: Duration = Duration::from_secs(8);
/// Span in which connections are established late.
pub(super) const LATE_CONNECTIONS: FaultWindow = FaultWindow::new(0.25, 12);
/// Fraction of the attempts whose connections are established late.
pub(super) const LATE_CONNECTION_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the simulation after which a cold server is added.
pub(super) const COLD_START_FRACTION: f64 = 0.2;
/// Fraction of the simulation after which servers stop.
pub(super) const SERVER_STOP_FRACTION: f64 = 0.25;
/// Time for which a stopped server is down, in seconds.
pub(super) const SERVER_DOWN_SECONDS: Range<f64> = 1.0..4.0;
