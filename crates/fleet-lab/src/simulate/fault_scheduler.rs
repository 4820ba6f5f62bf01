//! Draws the schedule of the faults that are asked for. Spans are bounded by the duration of the simulation, so that a
//! short one sees their end too.

use super::fault::Fault;
use super::fault_schedule::{FaultAction, FaultSchedule, ScheduledAction};
use crate::time::{draw_timestamp, DurationExt};
use crate::world::datagrams::{Partition, Temporary};
use crate::world::{Rng, TimeSpan, START};
use gateway_core::{Endpoint, GatewayId, ServerId, Timestamp, ZoneId};
use rand::seq::SliceRandom;
use rand::Rng as _;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time from a server's drain to the end of its process: all lists have arrived long before.
const DRAIN_TO_STOP: Duration = Duration::from_secs(8);
/// Time from the start of an outage of discovery to the drains that no gateway knows of.
const OUTAGE_TO_DRAIN: Duration = Duration::from_millis(100);
/// No fault lasts longer than until this share of the simulation.
const LATEST_END: f64 = 0.8;
/// One of so many servers is affected by a fault of single servers.
const ONE_SERVER_OF: usize = 8;
/// One of so many servers is replaced by a rolling replacement.
const REPLACED_ONE_OF: usize = 2;
/// Factor by which slow servers take longer.
const SLOWDOWN: f64 = 6.0;
/// Of ten gateways so many are killed.
const KILLED_OF_TEN: usize = 7;

/// Draws the entry of a new server, in a zone by number and with its start time.
pub(super) type NewEndpoint<'a> = dyn FnMut(u32, Option<Timestamp>) -> Endpoint + 'a;

/// Draws a schedule for a fleet.
pub(super) struct FaultScheduler<'a> {
    rng: &'a mut Rng,
    /// Time in which clients arrive.
    duration: Duration,
    gateways: u32,
    zones: u32,
    new_endpoint: &'a mut NewEndpoint<'a>,
    /// Servers at the start that no fault affects yet.
    unaffected: std::vec::IntoIter<Endpoint>,
    server_count: usize,
    schedule: FaultSchedule,
}

impl<'a> FaultScheduler<'a> {
    /// A scheduler that has drawn no fault yet.
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

    /// Draws the schedule of all these faults.
    pub(super) fn schedule(mut self, faults: &BTreeSet<Fault>) -> FaultSchedule {
        for fault in faults {
            match fault {
                Fault::Calm => {}
                Fault::Burst => self.schedule_burst(),
                Fault::Hang => self.schedule_hang(),
                Fault::Slow => self.schedule_slowness(),
                Fault::Drain => self.schedule_replacement(),
                Fault::Kill => self.schedule_gateway_kills(),
                Fault::Cut => self.schedule_partition(),
                Fault::Silent => self.schedule_discovery_outage(),
                Fault::Cold => self.schedule_cold_start(),
                Fault::Restart => self.schedule_server_restarts(),
            }
        }
        self.schedule
    }

    fn schedule_burst(&mut self) {
        self.schedule.surges.push(Temporary {
            span: self.span(0.25, 10.0),
            value: 1.5,
        });
        self.schedule.flood = Some(Temporary {
            span: self.span(0.35, 12.0),
            value: 0.3,
        });
    }

    fn schedule_hang(&mut self) {
        let hang = self.span(0.25, 12.0);
        for endpoint in self.take_servers(ONE_SERVER_OF) {
            let action = FaultAction::HangServer {
                server: endpoint.server,
                until: hang.end,
            };
            self.add(hang.start, action);
        }
    }

    fn schedule_slowness(&mut self) {
        let slowness = self.span(0.25, 16.0);
        for endpoint in self.take_servers(ONE_SERVER_OF) {
            let server = endpoint.server;
            self.add(
                slowness.start,
                FaultAction::SlowServer {
                    server,
                    factor: SLOWDOWN,
                },
            );
            self.add(
                slowness.end,
                FaultAction::SlowServer {
                    server,
                    factor: 1.0,
                },
            );
        }
    }

    fn schedule_replacement(&mut self) {
        for endpoint in self.take_servers(REPLACED_ONE_OF) {
            let at = draw_timestamp(self.rng, self.at(0.2)..self.at(0.6));
            let replacement = (self.new_endpoint)(endpoint.zone.0, Some(at));
            self.add(at, FaultAction::StartServer(replacement));
            self.add_drain(at, endpoint.server);
        }
    }

    fn schedule_gateway_kills(&mut self) {
        let mut gateways: Vec<u32> = (0..self.gateways).collect();
        gateways.shuffle(self.rng);
        gateways.truncate(self.gateways as usize * KILLED_OF_TEN / 10);
        let killed_at = self.at(0.3);
        for gateway in gateways.into_iter().map(GatewayId) {
            let restarted_at = killed_at + Duration::from_seconds(self.rng.random_range(1.7..7.5));
            self.add(killed_at, FaultAction::KillGateway(gateway));
            self.add(restarted_at, FaultAction::RestartGateway(gateway));
        }
    }

    fn schedule_partition(&mut self) {
        let span = self.span(0.3, 6.0);
        let zone = ZoneId(self.rng.random_range(0..self.zones));
        self.schedule.partitions.0.push(Partition { zone, span });
        self.schedule.message_loss = Some(Temporary { span, value: 0.1 });
    }

    fn schedule_discovery_outage(&mut self) {
        let outage = self.span(0.25, 8.0);
        self.schedule.discovery_outages.push(outage);
        let drained_at = outage.start + OUTAGE_TO_DRAIN;
        for endpoint in self.take_servers(ONE_SERVER_OF) {
            self.add_drain(drained_at, endpoint.server);
        }
    }

    fn schedule_cold_start(&mut self) {
        let at = self.at(0.2);
        let endpoint = (self.new_endpoint)(0, Some(at));
        self.add(at, FaultAction::StartServer(endpoint));
    }

    fn schedule_server_restarts(&mut self) {
        let stopped_at = self.at(0.25);
        for endpoint in self.take_servers(ONE_SERVER_OF) {
            self.add(stopped_at, FaultAction::StopServer(endpoint.server));
            let restarted_at = stopped_at + Duration::from_seconds(self.rng.random_range(1.0..4.0));
            self.add(restarted_at, FaultAction::RestartServer(endpoint.server));
        }
    }

    /// The time at which this share of the simulation has passed.
    fn at(&self, share: f64) -> Timestamp {
        START + Duration::from_micros_f64(self.duration.as_micros_f64() * share)
    }

    /// A span of so many seconds, or shorter if it would last too long.
    fn span(&self, from_share: f64, seconds: f64) -> TimeSpan {
        let start = self.at(from_share);
        TimeSpan {
            start,
            end: (start + Duration::from_seconds(seconds)).min(self.at(LATEST_END)),
        }
    }

    /// Takes one of so many servers, of those that no fault affects yet.
    fn take_servers(&mut self, one_of: usize) -> Vec<Endpoint> {
        self.unaffected
            .by_ref()
            .take(self.server_count.div_ceil(one_of))
            .collect()
    }

    fn add(&mut self, at: Timestamp, action: FaultAction) {
        self.schedule.actions.push(ScheduledAction { at, action });
    }

    fn add_drain(&mut self, at: Timestamp, server: ServerId) {
        self.add(at, FaultAction::DrainServer(server));
        self.add(at + DRAIN_TO_STOP, FaultAction::StopServer(server));
    }
}
