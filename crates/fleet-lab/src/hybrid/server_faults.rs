//! Faults of the servers: what each one does, and when.

/// What a server does with attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerMode {
    /// Serves them.
    Serve,
    /// Answers half of them with an error.
    FailHalf,
    /// Accepts them and answers none.
    Hang,
    /// Rejects them without running them.
    Reject,
}

/// A change of a server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    /// It finishes the requests in flight.
    Draining,
    /// It was removed.
    Gone,
    /// It has started again.
    Restarted,
}

/// A change of a server's behaviour.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerFault {
    /// When, as a fraction of the run.
    pub(super) at: f64,
    /// Index of the server.
    pub(super) server: usize,
    /// What it does from now on.
    pub(super) mode: ServerMode,
    /// Its new state in the list, if that changes.
    pub(super) listed_state: Option<ListedState>,
}

impl ServerFault {
    fn new(at: f64, server: usize, mode: ServerMode) -> ServerFault {
        ServerFault {
            at,
            server,
            mode,
            listed_state: None,
        }
    }

    fn with_listed_state(self, state: ListedState) -> ServerFault {
        ServerFault {
            listed_state: Some(state),
            ..self
        }
    }
}

/// The faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum FaultProfile {
    /// None.
    Calm,
    /// One server rejects, one drains and restarts, one hangs, one answers with errors, each for a while.
    Mixed,
    /// One server answers nothing from the start on.
    #[value(alias = "mute")]
    Unresponsive,
}

impl FaultProfile {
    /// All faults in the order of their times.
    pub(super) fn faults(self) -> Vec<ServerFault> {
        match self {
            FaultProfile::Calm => Vec::new(),
            FaultProfile::Unresponsive => vec![ServerFault::new(0.0, 0, ServerMode::Hang)],
            FaultProfile::Mixed => vec![
                ServerFault::new(0.2, 1, ServerMode::Reject),
                ServerFault::new(0.3, 1, ServerMode::Serve),
                ServerFault::new(0.3, 2, ServerMode::Reject)
                    .with_listed_state(ListedState::Draining),
                ServerFault::new(0.4, 3, ServerMode::Hang),
                ServerFault::new(0.55, 2, ServerMode::Reject).with_listed_state(ListedState::Gone),
                ServerFault::new(0.55, 3, ServerMode::Serve),
                ServerFault::new(0.6, 4, ServerMode::FailHalf),
                ServerFault::new(0.7, 2, ServerMode::Serve)
                    .with_listed_state(ListedState::Restarted),
                ServerFault::new(0.75, 4, ServerMode::Serve),
            ],
        }
    }
}
