//! Faults of the servers: what each server does, and when that changes.

/// What a server does with the attempts that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerMode {
    /// Serves all attempts.
    Serve,
    /// Answers half of the attempts with an error.
    FailHalf,
    /// Accepts attempts and never answers them.
    Hang,
    /// Rejects attempts without running them.
    Reject,
}

/// A change of a server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    /// The server finishes the requests in flight.
    Draining,
    /// The server was removed.
    Gone,
    /// The server has started again.
    Restarted,
}

/// A change of a server's behaviour.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerFault {
    /// Time of the change, as a fraction of the time during which clients send requests.
    pub(super) at: f64,
    /// Index of the server.
    pub(super) server: usize,
    /// What the server does with attempts from then on.
    pub(super) mode: ServerMode,
    /// New state of the server in the list; `None` if the state does not change.
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

/// The choices of `--fault`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum FaultProfile {
    /// No faults.
    Calm,
    /// One server rejects, one drains and restarts, one hangs, one answers with errors, each for a
    /// while.
    Mixed,
    /// One server never answers, from the start of the run.
    #[value(alias = "mute")]
    Unresponsive,
}

impl FaultProfile {
    /// Returns all faults in the order of their times.
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
