//! Draws the schedule of the requested faults. Hangs, slowness, surges, floods, partitions and
//! discovery outages end before the simulation does, so that a short simulation includes the
//! recovery too.

use super::fault::Fault;
use super::fault_schedule::{FaultAction, FaultSchedule, ScheduledAction};
use super::fault_timing::{
    FaultWindow, COLD_START_FRACTION, DISCOVERY_OUTAGE, DRAIN_TO_STOP, FIRST_REPLACEMENT_FRACTION,
    FLOOD, FLOOD_FRACTION, GATEWAY_DOWN_SECONDS, HANG, KILL_FRACTION, LAST_REPLACEMENT_FRACTION,
    LATEST_END_FRACTION, LATE_CONNECTIONS, LATE_CONNECTION_FRACTION, OUTAGE_TO_DRAIN, PARTITION,
    PARTITION_LOSS_FRACTION, SERVER_DOWN_SECONDS, SERVER_STOP_FRACTION, SLOWNESS, SURGE,
    SURGE_RATIO,
};
use crate::time::draw_timestamp;
use crate::time::duration_from_seconds;
use crate::world::datagrams::{Partition, TemporaryValue};
use crate::world::{Rng, TimeSpan, START};
use gateway_core::DurationExt;
use gateway_core::{Endpoint, GatewayId, ServerId, Timestamp, ZoneId};
use rand::seq::SliceRandom;
use rand::Rng as _;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of servers out of which a hang, slowness, a discovery outage or a restart affects one.
const AFFECTED_ONE_IN: usize = 8;
/// Number of servers out of which a rolling replacement replaces one.
const REPLACED_ONE_IN: usize = 2;
/// Execution time on a slow server, as a multiple of the normal time.
const SLOWDOWN_RATIO: f64 = 6.0;
/// Number of gateways that are killed for every ten gateways of the fleet.
const KILLED_PER_TEN: usize = 7;

/// Creates the endpoint of a new server in the zone with the given number, which starts at the
/// given time; without a start time, the server is warm.
pub(super) type NewEndpoint<'a> = dyn FnMut(u32, Option<Timestamp>) -> Endpoint + 'a;

/// Draws the times and targets of the faults of one simulation.
pub(super) struct FaultScheduler<'a> {
    rng: &'a mut Rng,
    /// Time for which clients send new requests, from the start of the simulation.
    duration: Duration,
    gateways: u32,
    zones: u32,
    new_endpoint: &'a mut NewEndpoint<'a>,
    /// Initial servers that no scheduled fault affects yet, in random order.
    unaffected: std::vec::IntoIter<Endpoint>,
    server_count: usize,
    schedule: FaultSchedule,
}

impl<'a> FaultScheduler<'a> {
    /// Creates a scheduler with an empty schedule.
    pub(super) fn new(
        rng: &'a mut Rng,
        duration: Duration,
        gateways: u32,
        zones: u32,
        servers: &[Endpoint],
        new_endpoint: &'a mut NewEndpoint<'a>,
    ) -> FaultScheduler<'a> {
        let mut unaffected = servers.to_vec();
        unaffected.shuffle(rng);
        FaultScheduler {
            rng,
            duration,
            gateways,
            zones,
            new_endpoint,
            unaffected: unaffected.into_iter(),
            server_count: servers.len(),
            schedule: FaultSchedule::default(),
        }
    }

    /// Draws and returns the schedule of a set of faults.
    pub(super) fn schedule(mut self, faults: &BTreeSet<Fault>) -> FaultSchedule {
        for fault in faults {
            match fault {
                Fault::Calm => {}
                Fault::Burst => self.schedule_burst(),
                Fault::Hang => self.schedule_hang(),
                Fault::Slow => self.schedule_slowness(),
                Fault::RollingReplacement => self.schedule_rolling_replacement(),
                Fault::GatewayKill => self.schedule_gateway_kills(),
                Fault::Partition => self.schedule_partition(),
                Fault::DiscoveryOutage => self.schedule_discovery_outage(),
                Fault::ColdStart => self.schedule_cold_start(),
                Fault::ServerRestart => self.schedule_server_restarts(),
                Fault::LateConnections => self.schedule_late_connections(),
            }
        }
        self.schedule
    }

    fn schedule_burst(&mut self) {
        self.schedule.surges.push(TemporaryValue {
            span: self.fault_span(SURGE),
            value: SURGE_RATIO,
        });
        self.schedule.flood = Some(TemporaryValue {
            span: self.fault_span(FLOOD),
            value: FLOOD_FRACTION,
        });
    }

    fn schedule_hang(&mut self) {
        let hang = self.fault_span(HANG);
        for endpoint in self.take_servers(AFFECTED_ONE_IN) {
            let action = FaultAction::HangServer {
                server: endpoint.server,
                until: hang.end,
            };
            self.add_action(hang.start, action);
        }
    }

    fn schedule_slowness(&mut self) {
        let slowness = self.fault_span(SLOWNESS);
        for endpoint in self.take_servers(AFFECTED_ONE_IN) {
            let server = endpoint.server;
            self.add_action(
                slowness.start,
                FaultAction::SlowServer {
                    server,
                    factor: SLOWDOWN_RATIO,
                },
            );
            self.add_action(
                slowness.end,
                FaultAction::SlowServer {
                    server,
                    factor: 1.0,
                },
            );
        }
    }

    fn schedule_rolling_replacement(&mut self) {
        for endpoint in self.take_servers(REPLACED_ONE_IN) {
            let at = draw_timestamp(
                self.rng,
                self.time_at(FIRST_REPLACEMENT_FRACTION)..self.time_at(LAST_REPLACEMENT_FRACTION),
            );
            let replacement = (self.new_endpoint)(endpoint.zone.0, Some(at));
            self.add_action(at, FaultAction::StartServer(replacement));
            self.add_drain(at, endpoint.server);
        }
    }

    fn schedule_gateway_kills(&mut self) {
        let mut gateways: Vec<u32> = (0..self.gateways).collect();
        gateways.shuffle(self.rng);
        gateways.truncate(self.gateways as usize * KILLED_PER_TEN / 10);
        let killed_at = self.time_at(KILL_FRACTION);
        for gateway in gateways.into_iter().map(GatewayId) {
            let restarted_at =
                killed_at + duration_from_seconds(self.rng.random_range(GATEWAY_DOWN_SECONDS));
            self.add_action(killed_at, FaultAction::KillGateway(gateway));
            self.add_action(restarted_at, FaultAction::RestartGateway(gateway));
        }
    }

    fn schedule_partition(&mut self) {
        let span = self.fault_span(PARTITION);
        let zone = ZoneId(self.rng.random_range(0..self.zones));
        self.schedule.partitions.0.push(Partition { zone, span });
        self.schedule.message_loss = Some(TemporaryValue {
            span,
            value: PARTITION_LOSS_FRACTION,
        });
    }

    fn schedule_discovery_outage(&mut self) {
        let outage = self.fault_span(DISCOVERY_OUTAGE);
        self.schedule.discovery_outages.push(outage);
        let drained_at = outage.start + OUTAGE_TO_DRAIN;
        for endpoint in self.take_servers(AFFECTED_ONE_IN) {
            self.add_drain(drained_at, endpoint.server);
        }
    }

    fn schedule_cold_start(&mut self) {
        let at = self.time_at(COLD_START_FRACTION);
        let endpoint = (self.new_endpoint)(0, Some(at));
        self.add_action(at, FaultAction::StartServer(endpoint));
    }

    fn schedule_server_restarts(&mut self) {
        let stopped_at = self.time_at(SERVER_STOP_FRACTION);
        for endpoint in self.take_servers(AFFECTED_ONE_IN) {
            self.add_action(stopped_at, FaultAction::StopServer(endpoint.server));
            let restarted_at =
                stopped_at + duration_from_seconds(self.rng.random_range(SERVER_DOWN_SECONDS));
            self.add_action(restarted_at, FaultAction::RestartServer(endpoint.server));
        }
    }

    fn schedule_late_connections(&mut self) {
        self.schedule.late_connections = Some(TemporaryValue {
            span: self.fault_span(LATE_CONNECTIONS),
            value: LATE_CONNECTION_FRACTION,
        });
    }

    /// Returns the time at which a fraction of the simulation has passed.
    fn time_at(&self, fraction: f64) -> Timestamp {
        START + Duration::from_micros_f64(self.duration.as_micros_f64() * fraction)
    }

    /// Returns the span of a fault, which ends at [`LATEST_END_FRACTION`] of the simulation at the
    /// latest.
    fn fault_span(&self, window: FaultWindow) -> TimeSpan {
        let start = self.time_at(window.start_fraction);
        TimeSpan {
            start,
            end: (start + window.duration).min(self.time_at(LATEST_END_FRACTION)),
        }
    }

    /// Returns one in `one_in` of all initial servers, rounded up, and marks them as affected.
    /// Returns fewer if too few unaffected servers are left.
    fn take_servers(&mut self, one_in: usize) -> Vec<Endpoint> {
        self.unaffected
            .by_ref()
            .take(self.server_count.div_ceil(one_in))
            .collect()
    }

    fn add_action(&mut self, at: Timestamp, action: FaultAction) {
        self.schedule.actions.push(ScheduledAction { at, action });
    }

    fn add_drain(&mut self, at: Timestamp, server: ServerId) {
        self.add_action(at, FaultAction::DrainServer(server));
        self.add_action(at + DRAIN_TO_STOP, FaultAction::StopServer(server));
    }
}
