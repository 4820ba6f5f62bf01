//! The life-cycle phases of the edge node process, from start to exit.

use tokio::sync::watch;

/// Life-cycle phase of the edge node. Phases only advance, and they compare in that order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not ready yet: client connections wait in the listener's backlog.
    Starting,
    /// Ready: connections are accepted and requests are served.
    Serving,
    /// No longer ready. New connections and requests are still served, but each response closes
    /// its connection.
    Draining,
    /// No new connection is accepted, and idle connections are closed.
    Closing,
}

impl Phase {
    /// Returns the name of this phase on the admin listener. Operators' tools read it, so
    /// `Draining` stays `leaving` there.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "leaving",
            Phase::Closing => "closing",
        }
    }
}

/// Waits until the edge node is closing, or until the sender is dropped, after which the phase can
/// no longer change.
///
/// Cancel safe: the receiver is owned by the future, and the phase never leaves `Closing`.
pub(super) async fn wait_for_closing(mut phase: watch::Receiver<Phase>) {
    // An error means that the sender was dropped, which counts as closing.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
