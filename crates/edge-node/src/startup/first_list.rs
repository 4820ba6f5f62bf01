//! The wait for the first endpoint list, before clients are served.

use crate::node::Node;
use gateway_core::reconnect;
use tokio::sync::oneshot;
use tracing::{info, warn};

/// How the wait for the first endpoint list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstList {
    /// A list was received and applied.
    Received,
    /// Discovery was silent until the deadline.
    DeadlinePassed,
}

/// Waits for the first endpoint list, while clients wait in the backlog. The node is held to what
/// discovery has from its first moment on, and the list in the configuration may be outdated; if
/// discovery stays silent, that list is used.
pub(super) async fn wait_for_first_list(
    node: &Node,
    first_list: oneshot::Receiver<()>,
) -> FirstList {
    let deadline = reconnect::first_list_timeout(node.settings.drain_grace);
    match tokio::time::timeout(deadline, first_list).await {
        Ok(_) => FirstList::Received,
        Err(_) => FirstList::DeadlinePassed,
    }
}

/// Logs that clients are served from now on.
pub(super) fn log_ready(first_list: FirstList) {
    match first_list {
        FirstList::Received => {
            info!(
                event = "ready",
                cause = "a list has come",
                "ready: a list of servers has come"
            );
        }
        FirstList::DeadlinePassed => {
            warn!(
                event = "ready",
                cause = "discovery is silent",
                "ready on an old list: discovery is silent"
            );
        }
    }
}
