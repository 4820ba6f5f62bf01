//! Each way in which an attempt can end, and what is on the wire meanwhile.

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

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Servers at these addresses, and so many sockets for them at the most.
fn upstream(max_sockets: usize, servers: &[(ServerId, SocketAddr)]) -> Upstream {
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

/// An attempt that nothing cancels.
async fn attempt(upstream: &Upstream, server: ServerId, deadline: Instant) -> AttemptResult {
    let request = request();
    let (_cancel, cancelled) = oneshot::channel();
    upstream
        .attempt(Attempt {
            request: &request,
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

fn outcome_alone(outcome: AttemptOutcome) -> AttemptResult {
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
            stream.read_buf(&mut received).await.expect("it reads"),
            0,
            "the connection was closed"
        );
    }
    String::from_utf8(received).expect("text")
}

/// Answers one request on a new connection, which stays open.
async fn respond(listener: &TcpListener, response: &[u8]) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().await.expect("it connects");
    let received = read_request(&mut stream).await;
    stream
        .write_all(response)
        .await
        .expect("it takes the response");
    (stream, received)
}

/// Comes back once the other side has closed the connection.
async fn until_closed(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("it is closed");
    assert!(rest.is_empty());
}

#[test]
fn an_error_becomes_an_outcome_by_whether_the_request_was_written() {
    use AttemptOutcome::{Cancelled, ConnectionLost, NotSent, TimedOut, Unreachable};
    type MakeError = fn() -> ExchangeError;
    let invalid =
        || ExchangeError::InvalidRequest(Method::from_bytes(b"").expect_err("no method").into());
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
                outcome_alone(expected),
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
fn the_request_is_written_byte_for_byte() {
    run(async {
        let (listener, address) = listen().await;
        let upstream = upstream(8, &[(FIRST, address)]);
        let (result, (_stream, received)) = tokio::join!(
            attempt(&upstream, FIRST, in_one_minute()),
            respond(&listener, OK)
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
        let (before, after) = received.split_once("x-deadline: ").expect("a deadline");
        let (deadline, after) = after.split_once("\r\n").expect("the end of the line");
        let start =
            format!("POST /submit/7?game=7 HTTP/1.1\r\nhost: {address}\r\nx-request-id: a\r\n");
        assert_eq!(before, start);
        assert_eq!(
            after,
            "idempotency-key: 5c0f\r\ncontent-length: 4\r\n\r\ntime"
        );
        let milliseconds = deadline
            .strip_suffix('m')
            .expect("a unit")
            .parse::<u64>()
            .expect("a number");
        assert!((1..=60_000).contains(&milliseconds), "{deadline}");
    });
}

#[test]
fn without_a_connection_nothing_counts_as_sent() {
    run(async {
        let (listener, address) = listen().await;
        let known = upstream(8, &[(FIRST, address)]);
        let unknown = attempt(&known, SECOND, in_one_minute()).await;
        assert_eq!(
            unknown,
            outcome_alone(AttemptOutcome::NotSent),
            "no address"
        );
        let past = Instant::now() - Duration::from_secs(60);
        let late = attempt(&known, FIRST, past).await;
        assert_eq!(
            late,
            outcome_alone(AttemptOutcome::Unreachable),
            "past the deadline"
        );
        let without_sockets = upstream(0, &[(FIRST, address)]);
        let limited = attempt(&without_sockets, FIRST, in_one_minute()).await;
        assert_eq!(
            limited,
            outcome_alone(AttemptOutcome::NotSent),
            "no socket left"
        );
        drop(listener);
        let refused = attempt(&known, FIRST, in_one_minute()).await;
        assert_eq!(
            refused,
            outcome_alone(AttemptOutcome::Unreachable),
            "refused"
        );
        assert_eq!(known.open_sockets(), 0);
    });
}

#[test]
fn a_cancelled_attempt_closes_its_connection_and_says_whether_it_was_written() {
    run(async {
        let (listener, address) = listen().await;
        let upstream = upstream(8, &[(FIRST, address)]);
        let request = request();
        let deadline = in_one_minute();
        let (cancel, cancelled) = oneshot::channel();
        drop(cancel);
        let early = Attempt {
            request: &request,
            server: FIRST,
            deadline,
            cancelled,
            is_open: || true,
        };
        assert_eq!(
            upstream.attempt(early).await,
            outcome_alone(AttemptOutcome::NotSent)
        );
        let (cancel, cancelled) = oneshot::channel();
        let sent = Attempt {
            request: &request,
            server: FIRST,
            deadline,
            cancelled,
            is_open: || true,
        };
        let cancel_once_received = async {
            let (mut stream, _) = listener.accept().await.expect("it connects");
            read_request(&mut stream).await;
            drop(cancel);
            until_closed(&mut stream).await;
        };
        let (result, ()) = tokio::join!(upstream.attempt(sent), cancel_once_received);
        assert_eq!(result, outcome_alone(AttemptOutcome::Cancelled));
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn an_incomplete_response_is_a_lost_connection() {
    run(async {
        let (listener, address) = listen().await;
        let upstream = upstream(8, &[(FIRST, address)]);
        let cut = async { drop(respond(&listener, &OK[..OK.len() - 1]).await) };
        let (result, ()) = tokio::join!(attempt(&upstream, FIRST, in_one_minute()), cut);
        assert_eq!(result, outcome_alone(AttemptOutcome::ConnectionLost));
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn an_attempt_without_a_response_times_out() {
    run(async {
        let (listener, address) = listen().await;
        let upstream = upstream(8, &[(FIRST, address)]);
        let deadline = Instant::now() + Duration::from_millis(200);
        let (result, (mut stream, _)) =
            tokio::join!(attempt(&upstream, FIRST, deadline), respond(&listener, b""));
        assert_eq!(result, outcome_alone(AttemptOutcome::TimedOut));
        until_closed(&mut stream).await;
    });
}

#[test]
fn dropping_an_attempt_closes_its_connection() {
    run(async {
        let (listener, address) = listen().await;
        let upstream = upstream(8, &[(FIRST, address)]);
        let mut stream = tokio::select! {
            result = attempt(&upstream, FIRST, in_one_minute()) => panic!("it ended: {result:?}"),
            (stream, _) = respond(&listener, b"") => stream,
        };
        until_closed(&mut stream).await;
        assert_eq!(upstream.open_sockets(), 0);
    });
}

#[test]
fn at_the_limit_of_sockets_the_oldest_idle_connection_makes_way() {
    run(async {
        let (first_listener, first) = listen().await;
        let (second_listener, second) = listen().await;
        let upstream = upstream(1, &[(FIRST, first), (SECOND, second)]);
        let (result, (mut idle, _)) = tokio::join!(
            attempt(&upstream, FIRST, in_one_minute()),
            respond(&first_listener, OK)
        );
        assert_eq!(
            (result.outcome, upstream.open_sockets()),
            (AttemptOutcome::Success, 1)
        );
        let (result, _served) = tokio::join!(
            attempt(&upstream, SECOND, in_one_minute()),
            respond(&second_listener, OK)
        );
        assert_eq!(
            (result.outcome, upstream.open_sockets()),
            (AttemptOutcome::Success, 1)
        );
        until_closed(&mut idle).await;
    });
}
