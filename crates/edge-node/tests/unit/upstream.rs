//! What happens to an attempt whose request or server changes while its connection comes up.

use super::*;
use bytes::Bytes;
use gateway_core::{AttemptOutcome, RequestId};
use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

const SERVER: ServerId = ServerId(1);

fn endpoint(address: Option<SocketAddr>) -> impl Iterator<Item = ServerAddress> {
    std::iter::once(ServerAddress {
        server: SERVER,
        address,
    })
}

/// An attempt during whose connecting `change` is called: how it ends, and what was written before
/// the connection was closed.
async fn attempt_with(change: impl Fn(&Upstream, SocketAddr) -> bool) -> (AttemptOutcome, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let upstream = Upstream::new(
        BodyBudget::new(0),
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
        body: Bytes::new(),
        deadline: Instant::now() + Duration::from_secs(60),
    };
    let (_cancel, cancelled) = oneshot::channel();
    let is_open = || change(&upstream, address);
    let attempt = Attempt {
        request: &request,
        server: SERVER,
        deadline: request.deadline,
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
    let (mut stream, _) = listener.accept().await.expect("it connected");
    let mut written = Vec::new();
    stream.read_to_end(&mut written).await.expect("it closes");
    (outcome, written)
}

async fn all_end_unsent() {
    let answered = |_: &Upstream, _| false;
    assert_eq!(
        attempt_with(answered).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "answered meanwhile"
    );
    let drains = |upstream: &Upstream, _| {
        upstream.update_endpoints(EndpointUpdate::Delta, endpoint(None));
        true
    };
    assert_eq!(
        attempt_with(drains).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "drains meanwhile"
    );
    let moves = |upstream: &Upstream, address: SocketAddr| {
        let elsewhere = SocketAddr::new(address.ip(), address.port() ^ 1);
        upstream.update_endpoints(EndpointUpdate::Delta, endpoint(Some(elsewhere)));
        true
    };
    assert_eq!(
        attempt_with(moves).await,
        (AttemptOutcome::NotSent, Vec::new()),
        "moves meanwhile"
    );
}

#[test]
fn nothing_is_written_once_the_request_is_answered_or_the_server_drains_or_moves() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, all_end_unsent());
}
