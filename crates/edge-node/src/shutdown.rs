//! Graceful shutdown after SIGTERM: the readiness probe fails first while requests are still
//! served, then connections are closed.

use crate::clients::Phase;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::info;

/// Time after SIGTERM during which new connections are still accepted.
const DRAIN_PERIOD: Duration = Duration::from_millis(600);

/// Longest deadline that counts for the time at which the platform kills the process.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time from SIGTERM, beside the longest deadline, after which the platform may kill the process.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time before the kill by which every request has its answer. It covers a process that is held up
/// for 150 ms.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// Graceful shutdown, with the state and the task that it acts on.
pub(crate) struct Shutdown {
    /// Node whose number of open requests is logged.
    pub(crate) node: Rc<Node>,
    /// Passes the phase to the task that serves clients and to the admin listener.
    pub(crate) phase: watch::Sender<Phase>,
    /// Task that serves clients; it ends when all client connections are closed.
    pub(crate) clients: JoinHandle<()>,
    /// Longest deadline of any class: no accepted request stays open for longer.
    pub(crate) longest_deadline: Duration,
}

impl Shutdown {
    /// Runs the shutdown and returns when it is complete. The other tasks of the process are still
    /// running at that point; dropping its `LocalSet` ends them.
    pub(crate) async fn run(self) {
        self.node.set_answer_limit(self.answer_limit());
        self.start_draining();
        tokio::time::sleep(DRAIN_PERIOD).await;
        self.stop_accepting();
        self.wait_for_clients().await;
    }

    /// Returns the time by which requests that arrive from now on are answered.
    fn answer_limit(&self) -> Instant {
        let counted_deadline = self.longest_deadline.min(MAX_COUNTED_DEADLINE);
        Instant::now() + counted_deadline + KILL_DELAY - KILL_MARGIN
    }

    /// Enters the phase in which the readiness probe fails and each response closes its connection,
    /// while new requests are still served.
    fn start_draining(&self) {
        let open = self.node.open_requests();
        info!(
            event = "shutdown_started",
            cause = "SIGTERM",
            open,
            "shutting down on SIGTERM: {open} requests open"
        );
        self.phase.send_replace(Phase::Draining);
    }

    /// Enters the phase in which no connection is accepted and idle connections are closed.
    fn stop_accepting(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Waits until every client connection is closed.
    ///
    /// No timer of the shutdown ends this wait: if the process was held up, such a timer could expire
    /// together with those of the last requests, and the process would exit before it answers them.
    /// The wait is bounded because each connection is: a request by its deadline or the answer
    /// limit, and a client that does not read its answer by `connection_limits`.
    async fn wait_for_clients(self) {
        // The task fails only if it panics, which aborts the process.
        let _ = self.clients.await;
        info!(
            event = "shutdown_complete",
            "shutdown complete: every client has its answer"
        );
    }
}
