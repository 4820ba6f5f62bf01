//! Tests each outcome of an attempt, and the bytes on the wire.

use super::super::tests::{block_on, instance};
use super::super::ServerEndpoint;
use super::*;
use crate::memory::MemoryBudget;
use gateway_core::EndpointUpdate;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const FIRST: ServerId = ServerId(1);
const SECOND: ServerId = ServerId(2);
/// Memory for the bodies of responses.
const MAX_BODY_BYTES: usize = 64 * 1024;
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nranks";

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
        BodyBudget::new(MAX_BODY_BYTES),
        MemoryBudget::new(MAX_BODY_BYTES),
        max_sockets,
        Duration::from_secs(15),
        Duration::from_secs(60),
    );
    let endpoints = servers.iter().map(|(server, address)| ServerEndpoint {
        server: *server,
        instance: Some(instance(*address)),
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
        _head_memory: MemoryBudget::new(0).reservation(),
        body: Bytes::from_static(b"time"),
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

/// Returns an attempt of a request at the first server that has one minute and may be written until
/// then.
fn attempt_of(
    request: &UpstreamRequest,
    cancelled: oneshot::Receiver<()>,
) -> Attempt<'_, fn() -> bool> {
    Attempt {
        request,
        number: AttemptNumber(0),
        server: FIRST,
        deadline: in_one_minute(),
        write_deadline: None,
        cancelled,
        is_open: || true,
    }
}

/// Makes an attempt that is not cancelled.
async fn make_attempt(upstream: &Upstream, server: ServerId, deadline: Instant) -> AttemptResult {
    let request = request();
    let (_cancel, cancelled) = oneshot::channel();
    let attempt = Attempt {
        server,
        deadline,
        ..attempt_of(&request, cancelled)
    };
    upstream.attempt(attempt).await
}

/// Makes an attempt that is not cancelled and may be written until `write_deadline`.
async fn make_attempt_until(
    upstream: &Upstream,
    request: &UpstreamRequest,
    write_deadline: Instant,
) -> AttemptResult {
    let (_cancel, cancelled) = oneshot::channel();
    let attempt = Attempt {
        write_deadline: Some(write_deadline),
        ..attempt_of(request, cancelled)
    };
    upstream.attempt(attempt).await
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
        (ConnectError::WriteDeadlineExceeded, NotSent),
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
        let (cancel, cancelled) = oneshot::channel();
        drop(cancel);
        let cancelled_before_start = attempt_of(&request, cancelled);
        assert_eq!(
            upstream.attempt(cancelled_before_start).await,
            result_without_response(AttemptOutcome::NotSent)
        );
        let (cancel, cancelled) = oneshot::channel();
        let cancelled_after_write = attempt_of(&request, cancelled);
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

/// Guards against a second execution of a request whose idempotency key has been forgotten by the
/// time the connection is established. The connection to a listener with a full backlog is not
/// established, so only the write deadline ends the attempt.
#[test]
fn attempt_ends_unsent_if_write_deadline_passes_before_connection_is_established() {
    block_on(async {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).expect("free port");
        socket.listen(0).expect("socket listens");
        let address = socket.local_addr().expect("local address").as_socket();
        let address = address.expect("IP address");
        let _filler = std::net::TcpStream::connect(address).expect("backlog has room for one");
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let write_deadline = Instant::now() + Duration::from_millis(100);
        let result = make_attempt_until(&upstream, &request(), write_deadline).await;
        assert_eq!(result, result_without_response(AttemptOutcome::NotSent));
        assert_eq!(upstream.open_sockets(), 0);
    });
}

/// Guards against a second execution by a server that reads the request slowly: the server may
/// execute the request once it has the last byte, so that byte must not be written late either.
#[test]
fn rest_of_request_is_not_written_after_write_deadline() {
    /// More than the socket buffers of both sides hold.
    const BODY_BYTES: usize = 32 * 1024 * 1024;
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let request = UpstreamRequest {
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
            ..request()
        };
        let write_deadline = Instant::now() + Duration::from_secs(2);
        let read_after_deadline = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            tokio::time::sleep_until(write_deadline + Duration::from_millis(10)).await;
            let mut received = Vec::new();
            // The connection may be reset, because the edge node closes it with unsent data.
            let _ = stream.read_to_end(&mut received).await;
            received.len()
        };
        let (result, received_bytes) = tokio::join!(
            make_attempt_until(&upstream, &request, write_deadline),
            read_after_deadline
        );
        assert_eq!(result, result_without_response(AttemptOutcome::Cancelled));
        assert!(
            (1..BODY_BYTES).contains(&received_bytes),
            "{received_bytes} bytes"
        );
        assert_eq!(upstream.open_sockets(), 0);
    });
}

/// The write deadline of a request must not affect the next request on the same connection.
#[test]
fn write_deadline_ends_with_its_request() {
    block_on(async {
        let (listener, address) = listen().await;
        let upstream = upstream_with_servers(8, &[(FIRST, address)]);
        let write_deadline = Instant::now() + Duration::from_secs(2);
        let respond_twice = async {
            let (mut stream, _) = accept_and_respond(&listener, OK).await;
            read_request(&mut stream).await;
            stream.write_all(OK).await.expect("connection is open");
        };
        let attempt_twice = async {
            let request = request();
            let first = make_attempt_until(&upstream, &request, write_deadline).await;
            tokio::time::sleep_until(write_deadline + Duration::from_millis(10)).await;
            let second = make_attempt(&upstream, FIRST, in_one_minute()).await;
            (first.outcome, second.outcome)
        };
        let (outcomes, ()) = tokio::join!(attempt_twice, respond_twice);
        assert_eq!(outcomes, (AttemptOutcome::Success, AttemptOutcome::Success));
    });
}
