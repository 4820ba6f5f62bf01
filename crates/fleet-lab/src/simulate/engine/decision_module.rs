//! What makes the decisions of a simulated gateway.

use gateway_core::{Action, Event, Gateway, Settings, SettingsError, Timestamp};

/// What makes the decisions of one gateway: the decision library, or a wrapper that a test puts around it.
pub trait DecisionModule {
    /// Handles one event at a simulated time, and adds the resulting actions.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for Gateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

/// A new decision library, or why its settings are invalid.
pub type ModuleResult = Result<Box<dyn DecisionModule>, SettingsError>;

/// Makes the decision library of a gateway from a seed, its settings and the time of its start.
pub(super) type ModuleFactory<'a> = dyn FnMut(u64, Settings, Timestamp) -> ModuleResult + 'a;
