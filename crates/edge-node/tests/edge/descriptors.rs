//! Tests the limit on file descriptors: clients can use up only their own share, with or without
//! requests, and never the descriptors that the edge node needs for discovery, servers and
//! readiness probes.

use super::support::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Limit on file descriptors in these tests, the lowest that the program accepts.
const MAX_DESCRIPTORS: usize = 64;
/// Number of connections that idle clients hold, and reopen as soon as they are closed.
const IDLE_CONNECTIONS: usize = 100;
/// Size of a large body, which is accepted if memory allows.
const LARGE_BODY_BYTES: usize = 1_000_000;
/// Number of pipelined requests whose large responses exceed what the operating system buffers for
/// a connection.
const PIPELINED_COUNT: usize = 12;

/// Clients that stay connected, some after one request and others without any, do not keep another
/// client from being served.
#[test]
fn idle_clients_do_not_block_other_clients() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_descriptor_limit("idle", discovery.address, &hosts, 64);
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = node.client();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("failed to set a read timeout");
        if number < MAX_DESCRIPTORS / 2 {
            assert_eq!(
                client
                    .exchange(&request_text(&format!("r{number}"), "read", "20000m"))
                    .status(),
                200
            );
        }
        clients.push(client);
    }
}

/// More clients connect than there are descriptors: the surplus waits, and is served once
/// descriptors are free.
#[test]
fn waiting_client_is_served_when_descriptors_become_free() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_descriptor_limit("sockets", discovery.address, &hosts, 64);
    let idle: Vec<_> = (0..60).map(|_| node.client()).collect();
    let mut last = node.client();
    last.send(&request_text("a", "read", "20000m"));
    drop(idle);
    assert_eq!(last.read_response().expect("no response").status(), 200);
}

/// More clients connect at the same time than the edge node keeps connections open, and each sends
/// a request. No connection is evicted before its request is read.
#[test]
fn answers_all_clients_that_connect_with_request_simultaneously() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node =
        EdgeNode::start_with_descriptor_limit("moment", discovery.address, &hosts, MAX_DESCRIPTORS);
    assert_eq!(node.client().exchange(READINESS_REQUEST).status(), 200);
    node.suspend();
    let connect = |number: usize| {
        let mut client = node.client();
        client.send(&if number < MAX_DESCRIPTORS / 2 {
            READINESS_REQUEST.to_owned()
        } else {
            request_text(&format!("r{number}"), "read", "20000m")
        });
        client
    };
    let clients: Vec<_> = (0..MAX_DESCRIPTORS).map(connect).collect();
    node.resume();
    for mut client in clients {
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(200)
        );
    }
}

/// What idle clients send before they become idle: nothing, part of a head, or a whole request.
const IDLE_PREFIXES: [&str; 3] = ["", "GET /-/ready HTTP/1.1\r\nHos", READINESS_REQUEST];
const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Holds as many idle connections as possible, and reopens them when they are closed, until `stop`
/// is set.
fn hold_idle_connections(address: SocketAddr, stop: &AtomicBool) {
    let open = |number: usize| {
        let mut stream = TcpStream::connect(address).expect("failed to connect");
        // The edge node may have closed the connection already.
        let _ = std::io::Write::write_all(
            &mut stream,
            IDLE_PREFIXES[number % IDLE_PREFIXES.len()].as_bytes(),
        );
        stream
            .set_nonblocking(true)
            .expect("failed to set non-blocking mode");
        stream
    };
    let is_closed = |stream: &TcpStream| {
        let mut answer = [0; 1024];
        loop {
            match std::io::Read::read(&mut &*stream, &mut answer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    };
    let mut connections: Vec<_> = (0..IDLE_CONNECTIONS).map(open).collect();
    while !stop.load(Ordering::Relaxed) {
        for (number, stream) in connections.iter_mut().enumerate() {
            if is_closed(stream) {
                *stream = open(number);
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Sends a request on a new connection and returns the status of the response. Returns `None` if
/// the connection was closed without a response, which is allowed while descriptors are short.
fn exchange_on_new_connection(node: &EdgeNode, request: &str) -> Option<u16> {
    let mut client = node.client();
    std::io::Write::write_all(&mut client.stream, request.as_bytes()).ok()?;
    client.read_response().map(|answer| answer.status())
}

/// Maximum number of connections that a client may have to open until it gets a response, while
/// idle clients use up the descriptors.
const MAX_CONNECTIONS_UNTIL_RESPONSE: usize = 50;

fn assert_answered(node: &EdgeNode, request: impl Fn(usize) -> String) {
    let answer = (0..MAX_CONNECTIONS_UNTIL_RESPONSE)
        .find_map(|number| exchange_on_new_connection(node, &request(number)));
    assert_eq!(answer, Some(200));
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_servers_and_readiness_probes() {
    let servers = FakeServers::new();
    let refusing_discovery = RefusingAddress::reserve();
    let old = servers.start_returning_entry("old", &[RESPONDS_OK]);
    let node = EdgeNode::start_with_descriptor_limit(
        "filled",
        refusing_discovery.address,
        &[old],
        MAX_DESCRIPTORS,
    );
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| hold_idle_connections(node.address, &stop));
        // Stops that thread even if this one panics.
        let _stop_guard = StopGuard(&stop);
        assert_answered(&node, |_| READINESS_REQUEST.to_owned());
        assert_answered(&node, |number| {
            request_text(&format!("a{number}"), "read", "20000m")
        });
        assert_eq!(servers.next_request().server, "old");
        // Long enough for all idle clients to have connected, been closed and reconnected.
        std::thread::sleep(Duration::from_millis(500));
        let new: Vec<_> = (0..8)
            .map(|number| {
                endpoint_entry(
                    &format!("new-{number}"),
                    servers.start("new", &[RESPONDS_OK]),
                    1,
                    "ready",
                )
            })
            .collect();
        let discovery = FakeDiscovery::start_at(refusing_discovery, endpoint_list(7, true, &new));
        discovery.next_watch();
        assert_answered(&node, |_| READINESS_REQUEST.to_owned());
        let mut number = 0;
        while {
            number += 1;
            assert_answered(&node, |again| {
                request_text(&format!("b{number}-{again}"), "read", "20000m")
            });
            servers.next_request().server != "new"
        } {}
        assert_answered(&node, |_| READINESS_REQUEST.to_owned());
    });
}

/// Sets its flag when it is dropped.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A client reads slowly: its responses are far larger than what the operating system buffers, so
/// some of them remain unwritten.
#[test]
fn connection_with_unwritten_response_is_not_evicted() {
    let servers = FakeServers::new();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
        "r".repeat(LARGE_BODY_BYTES)
    );
    let answers = ServerBehavior::Respond(Box::leak(response.into_boxed_str()));
    let hosts = [servers.start_returning_entry("s-1", &[answers])];
    let discovery = FakeDiscovery::start(&hosts);
    let node =
        EdgeNode::start_with_descriptor_limit("slowly", discovery.address, &hosts, MAX_DESCRIPTORS);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to create a socket");
    socket
        .set_recv_buffer_size(1)
        .expect("failed to minimise the receive buffer");
    socket
        .connect(&node.address.into())
        .expect("failed to connect");
    let mut slow = Client::new(socket.into());
    let pipelined: String = (0..PIPELINED_COUNT)
        .map(|number| request_text(&format!("r{number}"), "read", "20000m"))
        .collect();
    slow.send(&pipelined);
    servers.next_request();
    // Long enough for the buffers of the operating system to fill up.
    std::thread::sleep(Duration::from_millis(500));
    // Other clients send requests later and use all the connections that clients may have.
    let connect = |_| {
        let mut client = node.client();
        assert_eq!(client.exchange(READINESS_REQUEST).status(), 200);
        client
    };
    let others: Vec<_> = (0..MAX_DESCRIPTORS).map(connect).collect();
    for number in 0..PIPELINED_COUNT {
        let answer = slow
            .read_response()
            .map(|answer| (answer.status(), answer.body.len()));
        assert_eq!(answer, Some((200, LARGE_BODY_BYTES)), "{number}");
    }
    drop(others);
}

/// Number of clients that stop in the head of a request and stay. They fit into the backlog of the
/// listener together with one more client, and exceed by far the connections that stay open.
const STOPPING_CLIENTS: usize = 110;
/// Time within which a request has its answer: its own time of 2 s, and the half second after which
/// the platform counts it as lost.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2500);

/// Guards against an accept loop that waits for each evicted client to close its side, so that the
/// request of another client stays in the backlog beyond its time.
#[test]
fn clients_that_stop_in_a_head_do_not_hold_up_the_backlog() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start_with_descriptor_limit(
        "stopping",
        discovery.address,
        &entries,
        MAX_DESCRIPTORS,
    );
    assert_eq!(node.client().exchange(READINESS_REQUEST).status(), 200);
    node.suspend();
    let stop = |_| {
        let mut client = node.client();
        client.send("POST /pay/00000000b4d65521 HTTP/1.1\r\nHost: ");
        client
    };
    let stopping: Vec<Client> = (0..STOPPING_CLIENTS).map(stop).collect();
    let mut client = node.client();
    client.send(&request_text("waits", "pay", "2000m"));
    node.resume();
    let resumed_at = Instant::now();
    let response = client.read_response().map(|response| response.status());
    assert_eq!(response, Some(200));
    assert!(resumed_at.elapsed() < ANSWERED_WITHIN);
    drop(stopping);
}
