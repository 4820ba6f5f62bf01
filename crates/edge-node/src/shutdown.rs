//! Graceful shutdown after SIGTERM: fail the readiness probe, serve requests that still arrive,
//! then close.

use crate::clients::Phase;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// Time after SIGTERM during which new connections still arrive and are accepted.
const DRAIN_PERIOD: Duration = Duration::from_millis(600);

/// A shutdown, and what it needs.
pub(crate) struct Shutdown {
    /// The node, whose open requests are logged.
    pub(crate) node: Rc<Node>,
    /// Notifies clients' connections and the admin listener of the phase.
    pub(crate) phase: watch::Sender<Phase>,
    /// The task that serves clients.
    pub(crate) clients: JoinHandle<()>,
    /// No request that was accepted lasts longer than this.
    pub(crate) longest_deadline: Duration,
}

impl Shutdown {
    /// Runs the shutdown to its end. All other tasks are dropped when the process's `LocalSet` is,
    /// after that.
    pub(crate) async fn run(self) {
        self.start_draining();
        tokio::time::sleep(DRAIN_PERIOD).await;
        self.stop_accepting();
        self.wait_for_clients().await;
    }

    /// From here on the readiness probe fails and each answer closes its connection; new requests
    /// are served.
    fn start_draining(&self) {
        let open = self.node.open_requests();
        info!(
            event = "shutdown_started",
            cause = "SIGTERM",
            open,
            "leaving on SIGTERM: {open} requests open"
        );
        self.phase.send_replace(Phase::Draining);
    }

    /// No new connection is accepted any more, and idle ones are closed.
    fn stop_accepting(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Waits until each client has its answer. A client that never reads its answer would delay the
    /// exit without end, so the wait ends when the last deadline has passed.
    async fn wait_for_clients(self) {
        let ended = tokio::time::timeout(self.longest_deadline, self.clients).await;
        if ended.is_ok() {
            info!(
                event = "shutdown_complete",
                "left: every client has its answer"
            );
            return;
        }
        let open = self.node.open_requests();
        warn!(
            event = "shutdown_complete",
            open, "left: {open} requests open, past every deadline"
        );
    }
}
