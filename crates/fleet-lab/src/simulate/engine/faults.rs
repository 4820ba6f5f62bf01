//! Fault injection: carries out the scheduled changes to servers and gateways.

use super::Engine;
use crate::simulate::fault_schedule::FaultAction;
use crate::time::draw_duration;
use crate::world::servers::Server;
use crate::Failure;
use gateway_core::{Endpoint, EndpointState, GatewayId, ServerId};
use std::ops::Range;
use std::time::Duration;

/// Time for which the front end still sends requests to a gateway that is down.
const DOWN_UNNOTICED: Range<Duration> = Duration::from_millis(850)..Duration::from_millis(3_200);

impl Engine<'_> {
    /// Carries out one action of the fault schedule.
    ///
    /// # Errors
    /// [`Failure::InvalidArguments`] if a restarted gateway rejects its settings.
    pub(super) fn inject(&mut self, action: FaultAction) -> Result<(), Failure> {
        match action {
            FaultAction::HangServer { server, until } => {
                let now = self.now;
                if let Some(server) = self.server_mut(server) {
                    server.hang(now, until);
                }
            }
            FaultAction::SlowServer { server, factor } => {
                if let Some(server) = self.server_mut(server) {
                    server.set_slowdown(factor);
                }
            }
            FaultAction::StartServer(endpoint) => self.start_server(endpoint),
            FaultAction::DrainServer(server) => self.publish_state(server, EndpointState::Draining),
            FaultAction::StopServer(server) => self.stop_server(server),
            FaultAction::RestartServer(server) => self.restart_server(server),
            FaultAction::KillGateway(gateway) => self.kill_gateway(gateway),
            FaultAction::RestartGateway(gateway) => self.start_gateway(gateway)?,
        }
        Ok(())
    }

    fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        let index = *self.server_indices.get(&id)?;
        self.servers.get_mut(index)
    }

    fn start_server(&mut self, endpoint: Endpoint) {
        let rules = self.experiment.resolved.settings.rules;
        let server = Server::new(
            &mut self.rng,
            endpoint,
            self.experiment.machine.clone(),
            rules,
        );
        self.server_indices
            .insert(endpoint.server, self.servers.len());
        self.servers.push(server);
        self.publish(endpoint);
    }

    fn stop_server(&mut self, id: ServerId) {
        if let Some(index) = self.server_indices.get(&id).copied() {
            self.with_server(index, |server, _, events| server.stop(events));
        }
        self.publish_state(id, EndpointState::Gone);
    }

    fn restart_server(&mut self, id: ServerId) {
        let now = self.now;
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.restart(now);
        let endpoint = server.endpoint;
        self.publish(endpoint);
    }

    fn publish_state(&mut self, id: ServerId, state: EndpointState) {
        if let Some(server) = self.server_mut(id) {
            let endpoint = server.endpoint;
            self.publish(Endpoint { state, ..endpoint });
        }
    }

    fn kill_gateway(&mut self, id: GatewayId) {
        let down_noticed_at = self.now + draw_duration(&mut self.rng, &DOWN_UNNOTICED);
        let gateway = &mut self.gateways[id.0 as usize];
        gateway.module = None;
        gateway.down_noticed_at = down_noticed_at;
        gateway.incarnation += 1;
        self.fail_requests_of(id);
    }
}
