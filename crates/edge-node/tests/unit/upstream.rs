//! Tests attempts whose request or server changes while their connection is being established.

use super::*;
use bytes::Bytes;
use gateway_core::{AttemptNumber, AttemptOutcome, RequestId};
use hyper::Method;
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

const SERVER: ServerId = ServerId(1);
/// Memory for the bodies of responses.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Runs a test on a runtime of its own.
pub(super) fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Returns a process at this address with an unknown start time.
pub(super) fn instance(address: SocketAddr) -> ServerInstance {
    ServerInstance {
        address,
        started_at_ms: 0,
    }
}

fn endpoint(address: Option<SocketAddr>) -> impl Iterator<Item = ServerEndpoint> {
    std::iter::once(ServerEndpoint {
        server: SERVER,
        instance: address.map(instance),
    })
}

/// Makes an attempt and calls `change` once its connection is established, before anything is
/// written. Returns the outcome and the bytes that were written before the connection was closed.
async fn attempt_with_change_before_write(
    write_deadline: Option<Instant>,
    change: impl Fn(&Upstream, SocketAddr) -> bool,
) -> (AttemptOutcome, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener has no address");
    let upstream = Upstream::new(
        BodyBudget::new(MAX_BODY_BYTES),
        MemoryBudget::new(MAX_BODY_BYTES),
        8,
        Duration::from_secs(15),
        Duration::from_secs(60),
    );
    upstream.update_endpoints(EndpointUpdate::Snapshot, endpoint(Some(address)));
    let request = UpstreamRequest {
        id: RequestId("a".into()),
        method: Method::GET,
        target: "/read/0".to_owned(),
        idempotency_key: None,
        _head_memory: MemoryBudget::new(0).reservation(),
        body: Bytes::new(),
        deadline: Instant::now() + Duration::from_secs(60),
    };
    let (_cancel, cancelled) = oneshot::channel();
    let is_open = || change(&upstream, address);
    let attempt = Attempt {
        request: &request,
        number: AttemptNumber(0),
        server: SERVER,
        deadline: request.deadline,
        write_deadline,
        cancelled,
        is_open,
    };
    let AttemptResult {
        outcome,
        body,
        reported_load,
    } = upstream.attempt(attempt).await;
    assert!(body.is_none() && reported_load.is_none());
    upstream.update_endpoints(EndpointUpdate::Snapshot, std::iter::empty());
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("failed to accept the connection");
    let mut written = Vec::new();
    stream
        .read_to_end(&mut written)
        .await
        .expect("failed to read until the connection is closed");
    (outcome, written)
}

async fn assert_changes_end_attempt_unsent() {
    let answered = |_: &Upstream, _| false;
    assert_eq!(
        attempt_with_change_before_write(None, answered).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "request answered while connecting"
    );
    let drains = |upstream: &Upstream, _| {
        upstream.update_endpoints(EndpointUpdate::Delta, endpoint(None));
        true
    };
    assert_eq!(
        attempt_with_change_before_write(None, drains).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "server drains while connecting"
    );
    let moves = |upstream: &Upstream, address: SocketAddr| {
        let new_address = SocketAddr::new(address.ip(), address.port() ^ 1);
        upstream.update_endpoints(EndpointUpdate::Delta, endpoint(Some(new_address)));
        true
    };
    assert_eq!(
        attempt_with_change_before_write(None, moves).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "server moves while connecting"
    );
}

/// Guards against a second execution of a request whose idempotency key has been forgotten by the
/// time the connection is established.
#[test]
fn writes_nothing_if_write_deadline_passes_while_connecting() {
    block_on(async {
        let write_deadline = Instant::now() + Duration::from_secs(1);
        // The deadline passes between the end of the connection attempt and the first write.
        let wait_past_deadline = |_: &Upstream, _| {
            std::thread::sleep(write_deadline.saturating_duration_since(Instant::now()));
            std::thread::sleep(Duration::from_millis(1));
            true
        };
        assert_eq!(
            attempt_with_change_before_write(Some(write_deadline), wait_past_deadline).await,
            (AttemptOutcome::NotSent, Vec::new())
        );
    });
}

#[test]
fn writes_nothing_if_request_is_answered_or_server_drains_or_moves_while_connecting() {
    block_on(assert_changes_end_attempt_unsent());
}
