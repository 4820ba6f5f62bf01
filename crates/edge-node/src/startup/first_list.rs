//! The wait for the first endpoint list from discovery, before clients are served.

use crate::node::Node;
use gateway_core::reconnect;
use tokio::sync::oneshot;
use tracing::{info, warn};

/// Outcome of the wait for the first endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstListOutcome {
    /// An endpoint list was received and applied.
    Received,
    /// No endpoint list was received from discovery before the deadline.
    DeadlinePassed,
}

/// Waits for the first endpoint list from discovery, while client connections wait in the
/// listener's backlog. From the first request on, the node must follow discovery, and the list in
/// the configuration may be outdated. Requests are forwarded according to that list only if
/// discovery sends none before the deadline.
pub(super) async fn wait_for_first_list(
    node: &Node,
    first_list: oneshot::Receiver<()>,
) -> FirstListOutcome {
    let deadline = reconnect::first_list_timeout(node.settings.drain_grace);
    match tokio::time::timeout(deadline, first_list).await {
        Ok(_) => FirstListOutcome::Received,
        Err(_) => FirstListOutcome::DeadlinePassed,
    }
}

/// Logs that the edge node has begun to serve clients.
pub(super) fn log_ready(outcome: FirstListOutcome) {
    match outcome {
        FirstListOutcome::Received => {
            info!(
                event = "ready",
                cause = "endpoint list received",
                "ready: endpoint list received from discovery"
            );
        }
        FirstListOutcome::DeadlinePassed => {
            warn!(
                event = "ready",
                cause = "no endpoint list received in time",
                "ready without an endpoint list from discovery: none received in time"
            );
        }
    }
}
