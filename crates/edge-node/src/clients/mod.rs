//! Client connections, the requests on them and the responses to those requests.
//!
//! The accept loop in this module hands each connection to the `ConnectionTable`, which serves it
//! in its own task.

pub mod call_terms;
mod connection;
mod connection_limits;
mod connection_state;
mod connection_table;
pub mod header_value;
mod last_response;
mod phase;
mod read_ahead;
mod read_ahead_buffer;
mod request;
pub mod request_error;
pub mod request_head;
mod response;
mod transfers;

pub use phase::Phase;

use crate::node::Node;
use connection_table::ConnectionTable;
use phase::wait_for_closing;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::warn;

/// Pause after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of failed accepts after which the rest of the backlog is given up at the shutdown.
const MAX_BACKLOG_ACCEPT_FAILURES: u32 = 25;

/// Accepts client connections until the edge node is closing, then returns once every connection
/// has sent its last response and is closed. At most `max_connections` are open at a time.
///
/// Dropping the future closes the listener and all connections at once.
pub(crate) async fn serve(
    listener: TcpListener,
    node: Rc<Node>,
    max_connections: usize,
    phase: watch::Receiver<Phase>,
) {
    let mut connections = ConnectionTable::new(node, max_connections, phase.clone());
    accept_until_closing(&listener, &mut connections, phase).await;
    accept_backlog(&listener, &mut connections).await;
    drop(listener);
    connections.join_all().await;
}

async fn accept_until_closing(
    listener: &TcpListener,
    connections: &mut ConnectionTable,
    phase: watch::Receiver<Phase>,
) {
    let closing = wait_for_closing(phase);
    tokio::pin!(closing);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.insert(stream).await,
                Err(error) => {
                    log_accept_failure(&error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut closing => return,
        }
        connections.reap_finished_tasks();
    }
}

/// Accepts the connections that are already in the listener's backlog. Closing the listener would
/// reset them although their clients consider them established. An accept may fail for a moment
/// while further connections wait.
async fn accept_backlog(listener: &TcpListener, connections: &mut ConnectionTable) {
    let mut failures = 0;
    while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        match accepted {
            Ok((stream, _)) => connections.insert(stream).await,
            Err(error) => {
                failures += 1;
                if failures > MAX_BACKLOG_ACCEPT_FAILURES {
                    return;
                }
                log_accept_failure(&error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn log_accept_failure(error: &io::Error) {
    // The connection stays in the backlog.
    warn!(event = "accept_failed", cause = %error, "failed to accept a client connection: {error}");
}
