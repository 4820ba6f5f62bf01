//! Tests each outcome of an attempt, and the bytes on the wire.

use super::super::{BodyBudget, ServerAddress};
use super::*;
use gateway_core::EndpointUpdate;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const FIRST: ServerId = ServerId(1);
const SECOND: ServerId = ServerId(2);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nranks";

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener has no address");
    (listener, address)
}

/// Creates an upstream with these servers that may open at most `max_sockets` sockets.
fn upstream_with_servers(max_sockets: usize, servers: &[(ServerId, SocketAddr)]) -> Upstream {
    let upstream = Upstream::new(
        BodyBudget::new(0),
        max_sockets,
        Duration::from_secs(15),
        Duration::from_secs(60),
    );
    let endpoints = servers.iter().map(|(server, address)| ServerAddress {
        server: *server,
        address: Some(*address),
    });
    upstream.update_endpoints(EndpointUpdate::Snapshot, endpoints);
    upstream
}

fn request() -> UpstreamRequest {
    UpstreamRequest {
        id: RequestId("a".into()),
        method: Method::POST,
        target: "/submit/7?game=7".to_owned(),
        idempotency_key: Some(HeaderValue::from_static("5c0f")),
        body: Bytes::from_static(b"time"),
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

/// Makes an attempt that is not cancelled.
async fn make_attempt(upstream: &Upstream, server: ServerId, deadline: Instant) -> AttemptResult {
    let request = request();
    let (_cancel, cancelled) = oneshot::channel();
    upstream
        .attempt(Attempt {
            request: &request,
            number: AttemptNumber(0),
            server,
            deadline,
            cancelled,
            is_open: || true,
        })
        .await
}

fn in_one_minute() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

fn result_without_response(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        outcome,
        body: None,
        reported_load: None,
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(b"time") {
        assert_ne!(
            stream
                .read_buf(&mut received)
                .await
                .expect("failed to read the request"),
            0,
            "the connection was closed"
        );
    }
    String::from_utf8(received).expect("the request is not UTF-8")
}

/// Accepts a connection and responds to one request on it. Returns the connection, which stays
/// open, and the request.
async fn accept_and_respond(listener: &TcpListener, response: &[u8]) -> (TcpStream, String) {
    let (mut stream, _) = listener
        .accept()
        .await
        .expect("failed to accept a connection");
    let received = read_request(&mut stream).await;
    stream
        .write_all(response)
        .await
        .expect("failed to write the response");
    (stream, received)
}

/// Waits until the other side closes the connection. Fails if it sends anything more.
async fn wait_until_closed(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .await
        .expect("failed to read until the connection is closed");
    assert!(rest.is_empty());
}

#[test]
fn maps_error_to_outcome_by_whether_request_was_written() {
    use AttemptOutcome::{Cancelled, ConnectionLost, NotSent, TimedOut, Unreachable};
    type MakeError = fn() -> ExchangeError;
    let invalid =
        || ExchangeError::InvalidRequest(Method::from_bytes(b"").expect_err("empty method").into());
    let cases: [(MakeError, AttemptOutcome, AttemptOutcome); 4] = [
        (|| ExchangeError::Cancelled, Cancelled, NotSent),
        (|| ExchangeError::DeadlineExceeded, TimedOut, Unreachable),
        (
            || ExchangeError::Response(ResponseError::Unframed),
            ConnectionLost,
            Unreachable,
        ),
        (invalid, NotSent, NotSent),
    ];
    for (make_error, if_written, if_unwritten) in cases {
        for (request_written, expected) in [(true, if_written), (false, if_unwritten)] {
            let error = AttemptError::Exchange {
                source: make_error(),
                request_written,
            };
            assert_eq!(
                AttemptResult::from(error),
                result_without_response(expected),
                "{:?}",
                make_error()
            );
        }
    }
    assert_eq!(AttemptError::NoLongerNeeded.outcome(), NotSent);
    for (error, expected) in [
        (ConnectError::Cancelled, NotSent),
        (ConnectError::UnknownServer, NotSent),
        (ConnectError::SocketLimit, NotSent),
        (ConnectError::DeadlineExceeded, Unreachable),
        (ConnectError::TimedOut, Unreachable),
    ] {
        assert_eq!(AttemptError::from(error).outcome(), expected);
    }
}

#[test]
fn writes_expected_request_bytes() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let (result, (_stream, received)) = tokio::join!(
            make_attempt(&upstream, FIRST, in_one_minute()),
            accept_and_respond(&listener, OK)
        );
        let body = Some(Bytes::from_static(b"ranks"));
        assert_eq!(
            result,
            AttemptResult {
                outcome: AttemptOutcome::Success,
                body,
                reported_load: None
            }
        );
        let (before, after) = received
            .split_once("x-deadline: ")
            .expect("no x-deadline header");
        let (deadline, after) = after
            .split_once("\r\n")
            .expect("the header line does not end");
        let start =
            format!("POST /submit/7?game=7 HTTP/1.1\r\nhost: {address}\r\nx-request-id: a\r\n");
        assert_eq!(before, start);
        assert_eq!(
            after,
            "idempotency-key: 5c0f\r\ncontent-length: 4\r\n\r\ntime"
        );
        let milliseconds = deadline
            .strip_suffix('m')
            .expect("the deadline has no unit")
            .parse::<u64>()
            .expect("the deadline is not a number");
        assert!((1..=60_000).contains(&milliseconds), "{deadline}");
    });
}

#[test]
fn attempt_without_connection_is_not_sent_or_unreachable() {
    block_on(async {
        let (listener, address) = listen().await;
        let known = upstream_with_servers(8, &[(FIRST, address)]);
        let unknown = make_attempt(&known, SECOND, in_one_minute()).await;
        assert_eq!(
            unknown,
            result_without_response(AttemptOutcome::NotSent),
            "no address"
        );
        let past = Instant::now() - Duration::from_secs(60);
        let late = make_attempt(&known, FIRST, past).await;
        assert_eq!(
            late,
            result_without_response(AttemptOutcome::Unreachable),
            "past the deadline"
        );
        let without_sockets = upstream_with_servers(0, &[(FIRST, address)]);
        let limited = make_attempt(&without_sockets, FIRST, in_one_minute()).await;
        assert_eq!(
            limited,
            result_without_response(AttemptOutcome::NotSent),
            "no socket left"
        );
        drop(listener);
        let refused = make_attempt(&known, FIRST, in_one_minute()).await;
        assert_eq!(
            refused,
            result_without_response(AttemptOutcome::Unreachable),
            "refused"
        );
        assert_eq!(known.open_sockets(), 0);
    });
}

#[test]
fn cancelled_attempt_closes_connection_and_reports_whether_written() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let request = request();
        let deadline = in_one_minute();
        let (cancel, cancelled) = oneshot::channel();
        drop(cancel);
        let cancelled_before_start = Attempt {
            request: &request,
            number: AttemptNumber(0),
            server: FIRST,
            deadline,
            cancelled,
            is_open: || true,
        };
        assert_eq!(
            upstream.attempt(cancelled_before_start).await,
            result_without_response(AttemptOutcome::NotSent)
        );
        let (cancel, cancelled) = oneshot::channel();
        let cancelled_after_write = Attempt {
            request: &request,
            number: AttemptNumber(0),
            server: FIRST,
            deadline,
            cancelled,
            is_open: || true,
        };
        let cancel_once_received = async {
            let (mut stream, _) = listener
                .accept()
                .await
                .expect("failed to accept a connection");
            read_request(&mut stream).await;
            drop(cancel);
            wait_until_closed(&mut stream).await;
        };
        let (result, ()) = tokio::join!(
            upstream.attempt(cancelled_after_write),
            cancel_once_received
        );
        assert_eq!(result, result_without_response(AttemptOutcome::Cancelled));
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn incomplete_response_is_reported_as_connection_lost() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let truncated = async { drop(accept_and_respond(&listener, &OK[..OK.len() - 1]).await) };
        let (result, ()) = tokio::join!(make_attempt(&upstream, FIRST, in_one_minute()), truncated);
        assert_eq!(
            result,
            result_without_response(AttemptOutcome::ConnectionLost)
        );
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn attempt_without_response_times_out() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let deadline = Instant::now() + Duration::from_millis(200);
        let (result, (mut stream, _)) = tokio::join!(
            make_attempt(&upstream, FIRST, deadline),
            accept_and_respond(&listener, b"")
        );
        assert_eq!(result, result_without_response(AttemptOutcome::TimedOut));
        wait_until_closed(&mut stream).await;
    });
}

#[test]
fn dropped_attempt_closes_connection() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let mut stream = tokio::select! {
            result = make_attempt(&upstream, FIRST, in_one_minute()) => panic!("the attempt ended: {result:?}"),
            (stream, _) = accept_and_respond(&listener, b"") => stream,
        };
        wait_until_closed(&mut stream).await;
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn socket_limit_closes_oldest_idle_connection() {
    block_on(async {
        let (first_listener, first) = listen().await;
        let (second_listener, second) = listen().await;
        let upstream = upstream_with_servers(1, &[(FIRST, first), (SECOND, second)]);
        let (result, (mut idle, _)) = tokio::join!(
            make_attempt(&upstream, FIRST, in_one_minute()),
            accept_and_respond(&first_listener, OK)
        );
        assert_eq!(
            (result.outcome, upstream.open_sockets()),
            (AttemptOutcome::Success, 1)
        );
        let (result, _served) = tokio::join!(
            make_attempt(&upstream, SECOND, in_one_minute()),
            accept_and_respond(&second_listener, OK)
        );
        assert_eq!(
            (result.outcome, upstream.open_sockets()),
            (AttemptOutcome::Success, 1)
        );
        wait_until_closed(&mut idle).await;
    });
}
