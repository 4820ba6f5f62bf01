//! The simulated gateways, and the endpoint lists that they are notified of.

use crate::line::Line;
use crate::line_error::{LineError, LineErrorKind};
use crate::reply;
use crate::translate::{self, ListedEndpoint};
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::{Action, Gateway, Timestamp};
use std::collections::BTreeMap;

/// A gateway with the names that its settings define.
struct GatewayInstance {
    gateway: Gateway,
    settings: ResolvedSettings,
}

/// All gateways of a simulation.
#[derive(Default)]
pub(crate) struct Adapter {
    lists: BTreeMap<u8, Vec<ListedEndpoint>>,
    gateways: BTreeMap<u64, GatewayInstance>,
    /// The actions of the last event; retained so that their memory is used again.
    actions: Vec<Action>,
}

impl Adapter {
    /// Stores an endpoint list for updates to refer to. It replaces the list that had its number
    /// before.
    pub(crate) fn register_list(&mut self, list: u8, endpoints: Vec<ListedEndpoint>) {
        self.lists.insert(list, endpoints);
    }

    /// Handles a line that is for one gateway, at `now` in µs. The gateway's actions are appended
    /// to the reply.
    ///
    /// # Errors
    /// The line is malformed, or its gateway was never started.
    pub(crate) fn handle(
        &mut self,
        now: Timestamp,
        line: &Line,
        reply: &mut String,
    ) -> Result<(), LineError> {
        let number: u64 = line.parsed("i")?;
        match line.name {
            "hello" => self.start(number, now, line),
            "teardown" => self.stop(number, line),
            _ => self.handle_event(number, now, line, reply),
        }
    }

    fn start(&mut self, number: u64, now: Timestamp, line: &Line) -> Result<(), LineError> {
        let seed: i128 = line.parsed("randomSeed")?;
        let settings = settings::parse(line.text_to_end("setup")?)
            .map_err(|error| line.error(LineErrorKind::UnparsableSettings(error)))?;
        // Of the seed, the lower 64 bits are used.
        let gateway = Gateway::new(seed as u64, settings.settings.clone(), now)
            .map_err(|error| line.error(LineErrorKind::InvalidSettings(error)))?;
        self.gateways
            .insert(number, GatewayInstance { gateway, settings });
        Ok(())
    }

    fn stop(&mut self, number: u64, line: &Line) -> Result<(), LineError> {
        match self.gateways.remove(&number) {
            Some(_) => Ok(()),
            None => Err(unknown_gateway(number, line)),
        }
    }

    fn handle_event(
        &mut self,
        number: u64,
        now: Timestamp,
        line: &Line,
        reply: &mut String,
    ) -> Result<(), LineError> {
        let instance = self
            .gateways
            .get_mut(&number)
            .ok_or_else(|| unknown_gateway(number, line))?;
        let Some(event) = translate::event(line, &instance.settings, &self.lists)? else {
            return Ok(());
        };
        self.actions.clear();
        instance.gateway.handle(now, event, &mut self.actions);
        for action in &self.actions {
            reply::append(reply, number, action);
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
