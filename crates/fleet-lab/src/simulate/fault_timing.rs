//! When faults happen, how long they last and how strong they are.

use std::ops::Range;
use std::time::Duration;

/// When a fault happens.
#[derive(Clone, Copy)]
pub(super) struct FaultWindow {
    /// Start, as a fraction of the simulation.
    pub(super) start_fraction: f64,
    /// How long it lasts, unless the simulation is too short for that.
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

/// Fraction of the simulation by which each fault has ended.
pub(super) const LATEST_END_FRACTION: f64 = 0.8;
/// When all customers ask for a multiple of their usual demand.
pub(super) const SURGE: FaultWindow = FaultWindow::new(0.25, 10);
/// Demand during a surge, as a multiple of the usual one.
pub(super) const SURGE_RATIO: f64 = 1.5;
/// When two customers flood.
pub(super) const FLOOD: FaultWindow = FaultWindow::new(0.35, 12);
/// Demand that flooding customers add, as a fraction of all demand within the quotas.
pub(super) const FLOOD_FRACTION: f64 = 0.3;
/// When servers hang.
pub(super) const HANG: FaultWindow = FaultWindow::new(0.25, 12);
/// When servers are slow.
pub(super) const SLOWNESS: FaultWindow = FaultWindow::new(0.25, 16);
/// Fraction of the simulation after which the first server may be replaced.
pub(super) const FIRST_REPLACEMENT_FRACTION: f64 = 0.2;
/// Fraction of the simulation after which no server is replaced.
pub(super) const LAST_REPLACEMENT_FRACTION: f64 = 0.6;
/// Fraction of the simulation after which gateways are killed.
pub(super) const KILL_FRACTION: f64 = 0.3;
/// How long a killed gateway is down, s.
pub(super) const GATEWAY_DOWN_SECONDS: Range<f64> = 1.7..7.5;
/// When a zone is partitioned.
pub(super) const PARTITION: FaultWindow = FaultWindow::new(0.3, 6);
/// Fraction of messages lost everywhere during the partition.
pub(super) const PARTITION_LOSS_FRACTION: f64 = 0.1;
/// When discovery has an outage.
pub(super) const DISCOVERY_OUTAGE: FaultWindow = FaultWindow::new(0.25, 8);
/// Time from the start of an outage of discovery to the drains that no gateway knows of.
pub(super) const OUTAGE_TO_DRAIN: Duration = Duration::from_millis(100);
/// Time from a server's drain to the end of its process: all lists have arrived long before.
pub(super) const DRAIN_TO_STOP: Duration = Duration::from_secs(8);
/// Fraction of the simulation after which a cold server is added.
pub(super) const COLD_START_FRACTION: f64 = 0.2;
/// Fraction of the simulation after which servers crash.
pub(super) const SERVER_STOP_FRACTION: f64 = 0.25;
/// How long a crashed server is down, s.
pub(super) const SERVER_DOWN_SECONDS: Range<f64> = 1.0..4.0;
