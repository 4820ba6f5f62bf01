//! The phases of the process's life, from start to exit.

use tokio::sync::watch;

/// How far the edge node is on its way from start to exit. Phases only ever advance, so they
/// compare in that order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not ready yet: connections of clients wait in the listener's backlog.
    Starting,
    /// Ready.
    Serving,
    /// Not ready any more. New connections and requests are still served, but each answer closes
    /// its connection.
    Draining,
    /// No new connection is accepted, and idle ones are closed.
    Closing,
}

impl Phase {
    /// The word for this phase on the admin listener. Operators' tools read it: `Draining` stays
    /// `leaving` there.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "leaving",
            Phase::Closing => "closing",
        }
    }
}

/// Returns once the edge node is closing, or once the sender is dropped, after which no phase can
/// follow.
///
/// Cancel safe: the receiver is its own, and the phase stays `Closing` once it is that.
pub(super) async fn wait_for_closing(mut phase: watch::Receiver<Phase>) {
    // An error means that the sender is gone, which counts as closing.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
