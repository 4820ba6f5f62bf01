//! The gateways of a simulation, and the endpoint lists that `update` lines refer to.

use crate::line::Line;
use crate::line_error::{LineError, LineErrorKind};
use crate::reply;
use crate::translate::{self, ListedEndpoint};
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::{Action, Gateway, Timestamp};
use std::collections::BTreeMap;

/// A running gateway, and its settings, which include the names of classes, plans and zones.
struct GatewayInstance {
    gateway: Gateway,
    settings: ResolvedSettings,
}

/// All gateways of a simulation.
#[derive(Default)]
pub(crate) struct Adapter {
    /// The endpoint lists by number.
    endpoint_lists: BTreeMap<u8, Vec<ListedEndpoint>>,
    /// The running gateways by number.
    gateways: BTreeMap<u64, GatewayInstance>,
    /// The actions of the last event. The buffer is reused to avoid an allocation per event.
    actions: Vec<Action>,
}

impl Adapter {
    /// Stores an endpoint list under its number, which `update` lines refer to. Replaces an earlier
    /// list with this number.
    pub(crate) fn register_list(&mut self, list_number: u8, endpoints: Vec<ListedEndpoint>) {
        self.endpoint_lists.insert(list_number, endpoints);
    }

    /// Handles a line that is addressed to one gateway, and appends the gateway's actions to the
    /// reply. `now` is the time of the line's frame.
    ///
    /// # Errors
    /// Returns an error if the line is malformed or unknown, if its settings are invalid, or if its
    /// gateway is not running.
    pub(crate) fn handle(
        &mut self,
        now: Timestamp,
        line: &Line,
        reply: &mut String,
    ) -> Result<(), LineError> {
        let gateway_number: u64 = line.parsed("i")?;
        match line.name {
            "hello" => self.start(gateway_number, now, line),
            "teardown" => self.stop(gateway_number, line),
            _ => self.handle_event(gateway_number, now, line, reply),
        }
    }

    fn start(&mut self, gateway_number: u64, now: Timestamp, line: &Line) -> Result<(), LineError> {
        let seed: i128 = line.parsed("randomSeed")?;
        let settings = settings::parse(line.text_to_end("setup")?)
            .map_err(|error| line.error(LineErrorKind::UnparsableSettings(error)))?;
        // The cast keeps the lower 64 bits of the seed.
        let gateway = Gateway::new(seed as u64, settings.settings.clone(), now)
            .map_err(|error| line.error(LineErrorKind::InvalidSettings(error)))?;
        self.gateways
            .insert(gateway_number, GatewayInstance { gateway, settings });
        Ok(())
    }

    fn stop(&mut self, gateway_number: u64, line: &Line) -> Result<(), LineError> {
        match self.gateways.remove(&gateway_number) {
            Some(_) => Ok(()),
            None => Err(unknown_gateway(gateway_number, line)),
        }
    }

    fn handle_event(
        &mut self,
        gateway_number: u64,
        now: Timestamp,
        line: &Line,
        reply: &mut String,
    ) -> Result<(), LineError> {
        let instance = self
            .gateways
            .get_mut(&gateway_number)
            .ok_or_else(|| unknown_gateway(gateway_number, line))?;
        let Some(event) = translate::parse_event(line, &instance.settings, &self.endpoint_lists)?
        else {
            return Ok(());
        };
        self.actions.clear();
        instance.gateway.handle(now, event, &mut self.actions);
        for action in &self.actions {
            reply::append(reply, gateway_number, action);
        }
        Ok(())
    }
}

fn unknown_gateway(gateway: u64, line: &Line) -> LineError {
    line.error(LineErrorKind::UnknownGateway {
        name: line.name.to_owned(),
        gateway,
    })
}
