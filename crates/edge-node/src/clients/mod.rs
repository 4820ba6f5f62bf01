//! Clients: their connections, their requests and the responses that they get.
//!
//! The accept loop here hands each connection to the `ConnectionTable`, which
//! serves it in a task of its own.

pub mod call_terms;
mod connection;
mod connection_state;
mod connection_table;
pub mod header_value;
mod phase;
mod read_ahead;
mod request;
pub mod request_error;
pub mod request_head;
mod response;

pub use phase::Phase;

use crate::node::Node;
use connection_table::ConnectionTable;
use phase::wait_for_closing;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::warn;

/// Pause after a connection that could not be accepted, mostly for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients until the edge node is closing, then returns once each connection has its last
/// response. At most `max_connections` are open at a time.
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
                    // The connection stays in the backlog until there is a descriptor for it.
                    warn!(event = "accept_failed", cause = %error, "a connection was not accepted: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut closing => return,
        }
        connections.reap_finished_tasks();
    }
}

/// Takes in what the operating system has accepted by now. Those clients are connected already:
/// closing the listener would reset them.
async fn accept_backlog(listener: &TcpListener, connections: &mut ConnectionTable) {
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        connections.insert(stream).await;
    }
}
