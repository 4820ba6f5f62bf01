//! Tests in which order connections are evicted when there are too many, and what counts as
//! activity on a connection.

use super::*;
use crate::memory::MemoryBudget;
use std::io::Write;

/// Memory for what is read ahead.
const HEAD_MEMORY_BYTES: usize = 1024 * 1024;

/// A connection accepted by a listener on loopback, with the client's side.
struct Accepted {
    state: ConnectionState,
    stream: ReadAheadStream,
    client: std::net::TcpStream,
}

async fn accept() -> Accepted {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener has no address");
    let client = std::net::TcpStream::connect(address).expect("failed to connect");
    let (accepted, _) = listener.accept().await.expect("failed to accept");
    let stream = ReadAheadStream::new(accepted, &MemoryBudget::new(HEAD_MEMORY_BYTES));
    Accepted {
        state: ConnectionState::new(&stream),
        stream,
        client,
    }
}

fn block_on(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    runtime.block_on(test);
}

impl Accepted {
    fn order(&self) -> Option<EvictionOrder> {
        self.state.eviction_order()
    }

    /// Records a request that is answered at once.
    fn answer_request(&self) {
        self.state.record_request();
        drop(InFlightGuard::new(&self.state, &self.stream));
    }

    /// Lets a part of a request arrive and be read.
    async fn receive_part(&mut self) {
        self.client.write_all(b"GET").expect("failed to send");
        let client_close = self.stream.wait_for_client_close();
        let _ = tokio::time::timeout(Duration::from_millis(20), client_close).await;
    }
}

#[test]
fn evicts_longest_idle_first_then_incomplete_requests_and_unwritten_responses_last() {
    block_on(async {
        let mut connections = Vec::new();
        for _ in 0..5 {
            connections.push(accept().await);
            connections[connections.len() - 1].answer_request();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        connections[0].state.transfers.record_write(true);
        connections[1].receive_part().await;
        connections[2].receive_part().await;
        let order = |index: usize| connections[index].order().expect("no request is in flight");
        for (earlier, later) in [(3, 4), (4, 1), (1, 2), (2, 0)] {
            assert!(order(earlier) < order(later), "{earlier} before {later}");
        }
    });
}

#[test]
fn connection_with_request_in_flight_is_not_evicted() {
    block_on(async {
        let connection = accept().await;
        let guard = InFlightGuard::new(&connection.state, &connection.stream);
        assert!(connection.order().is_none());
        drop(guard);
        assert!(connection.order().is_some());
    });
}

#[test]
fn record_request_returns_one_only_for_first_request() {
    block_on(async {
        let state = accept().await.state;
        assert_eq!(state.record_request(), 1);
        assert_eq!(state.record_request(), 2);
        assert_eq!(state.requests(), 2);
    });
}

#[test]
fn connection_without_request_is_evicted_before_newly_idle_one() {
    block_on(async {
        let just_idle = accept().await;
        just_idle.answer_request();
        let unused = accept().await;
        assert!(unused.order() < just_idle.order());
    });
}

/// Guards against a connection that counts as idle although a request has begun to arrive on it.
#[test]
fn part_of_request_ends_idleness_until_answer() {
    block_on(async {
        let mut connection = accept().await;
        assert!(matches!(connection.state.activity(), Activity::Idle { .. }));
        connection.receive_part().await;
        assert!(matches!(
            connection.state.activity(),
            Activity::Receiving(_)
        ));
        // The part stays unread behind the answer: it belongs to the next request.
        connection.answer_request();
        assert!(matches!(
            connection.state.activity(),
            Activity::Receiving(_)
        ));
    });
}
