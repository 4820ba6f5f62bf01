//! File descriptors: clients may use up their own share, with requests or without, and never those
//! that the edge node needs for discovery, servers and readiness probes.

use super::support::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Limit on descriptors in these tests: the lowest that the program takes.
const MAX_DESCRIPTORS: usize = 64;
/// Connections that idle clients hold, or open again as soon as they are closed.
const IDLE_CONNECTIONS: usize = 100;
/// Bytes of a large body, which is taken where memory allows.
const LARGE_BODY_BYTES: usize = 1_000_000;
/// So many answers of that size are more than the operating system buffers on a connection.
const PIPELINED_COUNT: usize = 12;

/// Clients that sent one request and stay, and some that never send one, do not shut out another.
#[test]
fn idle_clients_do_not_block_other_clients() {
    let servers = FakeServers::new();
    let hosts = [servers.start_listed("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_descriptor_limit("idle", discovery.address, &hosts, 64);
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = node.client();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("a time-out");
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

/// More clients than descriptors: the surplus waits, and is served once there is room.
#[test]
fn the_edge_node_survives_a_lack_of_descriptors() {
    let servers = FakeServers::new();
    let hosts = [servers.start_listed("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_descriptor_limit("sockets", discovery.address, &hosts, 64);
    let idle: Vec<_> = (0..60).map(|_| node.client()).collect();
    let mut last = node.client();
    last.send(&request_text("a", "read", "20000m"));
    drop(idle);
    assert_eq!(last.read_response().expect("an answer").status(), 200);
}

/// More clients than may be open connect together, each with a request: none is evicted unread.
#[test]
fn clients_that_connect_with_a_request_together_are_all_answered() {
    let servers = FakeServers::new();
    let hosts = [servers.start_listed("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let node =
        EdgeNode::start_with_descriptor_limit("moment", discovery.address, &hosts, MAX_DESCRIPTORS);
    assert_eq!(node.client().exchange(READY).status(), 200);
    node.suspend();
    let connect = |number: usize| {
        let mut client = node.client();
        client.send(&if number < MAX_DESCRIPTORS / 2 {
            READY.to_owned()
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

/// What idle clients send before they go idle: nothing, a part of a head, or a whole request.
const IDLE_PREFIXES: [&str; 3] = ["", "GET /-/ready HTTP/1.1\r\nHos", READY];
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Idle clients that open all the connections they can, and open them again when they are closed,
/// until `stop` is set.
fn hold_idle_connections(address: SocketAddr, stop: &AtomicBool) {
    let open = |number: usize| {
        let mut stream = TcpStream::connect(address).expect("it connects");
        // It may have been closed by then.
        let _ = std::io::Write::write_all(
            &mut stream,
            IDLE_PREFIXES[number % IDLE_PREFIXES.len()].as_bytes(),
        );
        stream.set_nonblocking(true).expect("a mode");
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

/// Sends a request on a new connection; `None` if it was closed unread, which is allowed while
/// descriptors are short.
fn ask_on_new_connection(node: &EdgeNode, request: &str) -> Option<u16> {
    let mut client = node.client();
    std::io::Write::write_all(&mut client.stream, request.as_bytes()).ok()?;
    client.read_response().map(|answer| answer.status())
}

/// Most connections that a client may need beside such idle ones.
const MAX_TRIES: usize = 50;

fn assert_answered(node: &EdgeNode, request: impl Fn(usize) -> String) {
    let answer = (0..MAX_TRIES).find_map(|number| ask_on_new_connection(node, &request(number)));
    assert_eq!(answer, Some(200));
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_servers_and_readiness_probes() {
    let servers = FakeServers::new();
    let down = RefusingAddress::reserve();
    let old = servers.start_listed("old", &[RESPONDS_OK]);
    let node =
        EdgeNode::start_with_descriptor_limit("filled", down.address, &[old], MAX_DESCRIPTORS);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| hold_idle_connections(node.address, &stop));
        // Ends that thread also where this one panics.
        let _stop_guard = StopGuard(&stop);
        assert_answered(&node, |_| READY.to_owned());
        assert_answered(&node, |number| {
            request_text(&format!("a{number}"), "read", "20000m")
        });
        assert_eq!(servers.next_request().server, "old");
        // So long that all have connected, have been closed and have connected again.
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
        let discovery = FakeDiscovery::start_at(down, endpoint_list(7, true, &new));
        discovery.next_watch();
        assert_answered(&node, |_| READY.to_owned());
        let mut number = 0;
        while {
            number += 1;
            assert_answered(&node, |again| {
                request_text(&format!("b{number}-{again}"), "read", "20000m")
            });
            servers.next_request().server != "new"
        } {}
        assert_answered(&node, |_| READY.to_owned());
    });
}

/// Sets the flag when it is dropped.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A client that reads slowly: its answers are far more than the operating system buffers, so some
/// stay unwritten.
#[test]
fn a_connection_with_an_unwritten_answer_is_not_evicted_for_another() {
    let servers = FakeServers::new();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
        "r".repeat(LARGE_BODY_BYTES)
    );
    let answers = ServerBehavior::Respond(Box::leak(response.into_boxed_str()));
    let hosts = [servers.start_listed("s-1", &[answers])];
    let discovery = FakeDiscovery::start(&hosts);
    let node =
        EdgeNode::start_with_descriptor_limit("slowly", discovery.address, &hosts, MAX_DESCRIPTORS);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(1).expect("the least there is");
    socket
        .connect(&node.address.into())
        .expect("the edge node accepts");
    let mut slow = Client::new(socket.into());
    let pipelined: String = (0..PIPELINED_COUNT)
        .map(|number| request_text(&format!("r{number}"), "read", "20000m"))
        .collect();
    slow.send(&pipelined);
    servers.next_request();
    // Until the operating system takes no more of what is written.
    std::thread::sleep(Duration::from_millis(500));
    // Others have sent requests later, and hold all the connections there may be.
    let connect = |_| {
        let mut client = node.client();
        assert_eq!(client.exchange(READY).status(), 200);
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
