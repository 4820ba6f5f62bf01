//! The interface between the simulation and the code that makes the decisions of a gateway.

use gateway_core::{Action, Event, Gateway, Settings, SettingsError, Timestamp};

/// Decision logic of one gateway: the decision library, or a wrapper that a test puts around it.
pub trait DecisionModule {
    /// Handles one event at a simulated time, and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for Gateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

/// A new decision module, or the reason why its settings are invalid.
pub type ModuleResult = Result<Box<dyn DecisionModule>, SettingsError>;

/// Creates the decision module of a gateway from a seed, its settings and its start time.
pub(super) type ModuleFactory<'a> = dyn FnMut(u64, Settings, Timestamp) -> ModuleResult + 'a;
