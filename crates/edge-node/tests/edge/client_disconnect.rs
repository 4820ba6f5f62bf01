//! Tests that no attempt, neither a first one nor a retry, starts for a client that has closed its
//! connection, whatever its request is waiting for and however many requests are pipelined behind
//! it.

use super::start_with_one_server;
use super::support::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Numbers of requests pipelined behind the first one: none, a few, many, and more than the edge node
/// keeps and than its operating system buffers, so that the end of the stream comes late.
const PIPELINED_COUNTS: [usize; 4] = [0, 20, 200, 4000];
/// Of these numbers, those of requests that the operating system receives together with the close
/// behind them.
const BUFFERED_COUNTS: [usize; 3] = [0, 20, 200];

fn pipelined_requests(count: usize) -> String {
    (0..count)
        .map(|number| request_text(&format!("b{number}"), "pay", "20000m"))
        .collect()
}

/// Time within which the edge node detects a close behind more requests than it reads ahead. A
/// close behind fewer requests is detected at once.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(100);

/// Closes a client connection with this number of pipelined requests, and waits until the edge node
/// has detected the close.
fn disconnect(client: Client, pipelined: usize, node: &EdgeNode) {
    client.close();
    if pipelined > PIPELINED_COUNTS[1] {
        std::thread::sleep(CLOSE_DETECTION_TIME);
    }
    wait_until_read(node);
}

/// Waits until the edge node has read what arrived on any connection before the call.
fn wait_until_read(node: &EdgeNode) {
    assert_eq!(
        node.client()
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
}

#[test]
fn disconnect_cancels_attempt_in_flight() {
    let (servers, _discovery, node) =
        start_with_one_server("gone", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let received = servers.next_request();
    client.close();
    assert!(is_closed_in_time(&received));
    assert_eq!(
        node.client()
            .exchange(&request_text("b", "pay", "20000m"))
            .status(),
        200
    );
}

/// A client pipelines requests and disconnects: its attempt is cancelled, and none of the pipelined
/// requests is attempted.
fn assert_disconnect_behind_pipelined_requests_cancels_attempt(tag: &str, count: usize) {
    let (servers, _discovery, node) =
        start_with_one_server(tag, &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let received = servers.next_request();
    client.send(&pipelined_requests(count));
    client.close();
    received
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT / 6))
        .expect("failed to set a read timeout");
    let peeked = received.stream.peek(&mut [0]);
    assert!(
        !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
        "the attempt is still in flight"
    );
    assert_eq!(
        node.client()
            .exchange(&request_text("c", "pay", "20000m"))
            .status(),
        200
    );
    assert_eq!(servers.next_request().message.header("x-request-id"), "c");
    servers.assert_no_more_requests();
}

#[test]
fn disconnect_behind_pipelined_requests_cancels_attempt_in_flight() {
    for count in PIPELINED_COUNTS {
        assert_disconnect_behind_pipelined_requests_cancels_attempt(
            &format!("left-{count}"),
            count,
        );
    }
}

/// In a large fleet, a request waits for a lease from the quota owner of its customer. The client
/// disconnects before the lease is granted.
fn assert_disconnect_during_lease_request_prevents_attempt(tag: &str, pipelined: usize) {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let large_fleet = |config: String| config.replace(r#""balancers":2"#, r#""balancers":300"#);
    let node = EdgeNode::start_with_edited_config(tag, discovery.address, &hosts, large_fleet);
    // The peer, gateway 1, is the only gateway of the customer and therefore its quota owner.
    let owned_by_peer = |id: &str| request_text(id, "pay", "20000m").replace("first=0", "first=1");
    let receive_lease_request = || {
        let mut message = [0; 2000];
        node.peer_socket
            .recv_from(&mut message)
            .expect("no lease request received");
        assert_eq!(message[..2], [4, 1], "not a lease request");
        [message[2], message[3]]
    };
    let grant = |sequence: [u8; 2]| {
        let message = [4, 2, sequence[0], sequence[1], 0, 255, 0, 0, 0, 0];
        node.peer_socket
            .send_to(&message, node.datagram_address)
            .expect("failed to send the lease response");
    };
    let mut disconnecting_client = node.client();
    disconnecting_client.send(&owned_by_peer("a"));
    let sequence = receive_lease_request();
    disconnecting_client.send(&pipelined_requests(pipelined));
    disconnect(disconnecting_client, pipelined, &node);
    grant(sequence);
    wait_until_read(&node);
    // Without a grant, the local token bucket admits a request of a plan without a hard limit
    // within this time.
    std::thread::sleep(Duration::from_millis(700));
    servers.assert_no_more_requests();
    let mut connected_client = node.client();
    connected_client.send(&owned_by_peer("b"));
    // If the grant arrives too late, the local token bucket admits the request.
    grant(receive_lease_request());
    assert_eq!(
        connected_client
            .read_response()
            .expect("no response")
            .status(),
        200
    );
    assert_eq!(servers.next_request().message.header("x-request-id"), "b");
    servers.assert_no_more_requests();
}

#[test]
fn disconnect_during_lease_request_prevents_attempt() {
    for pipelined in PIPELINED_COUNTS {
        assert_disconnect_during_lease_request_prevents_attempt(
            &format!("waits-{pipelined}"),
            pipelined,
        );
    }
}

const OVERLOADED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";

/// Number of attempts that may be in flight at the only server before it has answered: 0.0625 of the
/// 30 s for which clients may wait, at an expected latency of 100 ms per attempt, rounded up.
const MAX_IN_FLIGHT: usize = 19;
/// Latency of an attempt after which fewer than [`MAX_IN_FLIGHT`] attempts may be in flight.
const LONG_LATENCY: Duration = Duration::from_secs(3);

/// Returns the behaviors of a server that never responds to this many requests, and responds to all
/// further ones.
fn silent_at_first(requests: usize) -> Vec<ServerBehavior> {
    let mut behaviors = vec![ServerBehavior::NeverRespond; requests];
    behaviors.push(RESPONDS_OK);
    behaviors
}

/// Sends requests, each on a connection of its own, and waits until the server has received them.
fn start_attempts(
    node: &EdgeNode,
    servers: &FakeServers,
    count: usize,
) -> Vec<(Client, ReceivedRequest)> {
    let start = |number| {
        let mut client = node.client();
        client.send(&request_text(&format!("a{number}"), "pay", "20000m"));
        (client, servers.next_request())
    };
    (0..count).map(start).collect()
}

/// Lets the server respond to attempts in flight, and waits for the responses.
fn complete_attempts(attempts: Vec<(Client, ReceivedRequest)>) {
    for (mut client, mut received) in attempts {
        received
            .stream
            .write_all(OK_RESPONSE)
            .expect("the attempt is no longer in flight");
        assert_eq!(client.read_response().expect("no response").status(), 200);
    }
}

/// The server has as many attempts in flight as it may have. A further request is queued, and its
/// client disconnects.
#[test]
fn disconnect_while_queued_prevents_attempt() {
    for pipelined in PIPELINED_COUNTS {
        let (servers, _discovery, node) = start_with_one_server(
            &format!("queued-{pipelined}"),
            &silent_at_first(MAX_IN_FLIGHT),
        );
        let in_flight = start_attempts(&node, &servers, MAX_IN_FLIGHT);
        let mut disconnecting_client = node.client();
        disconnecting_client.send(&request_text("c", "pay", "20000m"));
        disconnecting_client.send(&pipelined_requests(pipelined));
        wait_until_read(&node);
        servers.assert_no_more_requests();
        disconnect(disconnecting_client, pipelined, &node);
        complete_attempts(in_flight);
        assert_eq!(
            node.client()
                .exchange(&request_text("d", "pay", "20000m"))
                .status(),
            200
        );
        assert_eq!(servers.next_request().message.header("x-request-id"), "d");
        servers.assert_no_more_requests();
    }
}

/// An attempt has failed and its request is queued for the retry, because the attempt has taken so long
/// that fewer attempts may be in flight. The client disconnects.
#[test]
fn disconnect_while_queued_prevents_retry() {
    let (servers, _discovery, node) =
        start_with_one_server("again", &silent_at_first(MAX_IN_FLIGHT));
    let in_flight = start_attempts(&node, &servers, MAX_IN_FLIGHT - 1);
    let mut disconnecting_client = node.client();
    disconnecting_client.send(&request_text("c", "pay", "20000m"));
    let mut failed = servers.next_request();
    std::thread::sleep(LONG_LATENCY);
    failed
        .stream
        .write_all(OVERLOADED_RESPONSE)
        .expect("the attempt is no longer in flight");
    wait_until_read(&node);
    let mut queued = node.client();
    queued.send(&request_text("d", "pay", "20000m"));
    wait_until_read(&node);
    servers.assert_no_more_requests();
    disconnect(disconnecting_client, 0, &node);
    complete_attempts(in_flight);
    assert_eq!(queued.read_response().expect("no response").status(), 200);
    assert_eq!(servers.next_request().message.header("x-request-id"), "d");
    assert_eq!(
        node.client()
            .exchange(&request_text("e", "pay", "20000m"))
            .status(),
        200
    );
    assert_eq!(servers.next_request().message.header("x-request-id"), "e");
    servers.assert_no_more_requests();
}

/// A server whose backlog is full, so that connections to it are established only once it accepts.
struct LateServer {
    listener: TcpListener,
    _backlog_filler: TcpStream,
}

impl LateServer {
    fn start() -> (LateServer, SocketAddr) {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to create a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("failed to bind a port");
        // The backlog holds one connection.
        socket.listen(0).expect("failed to listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the listener has no address");
        let filler = TcpStream::connect(address).expect("failed to fill the backlog");
        (
            LateServer {
                listener,
                _backlog_filler: filler,
            },
            address,
        )
    }

    /// Accepts connections from now on. Returns how many were established and what was written on
    /// them.
    fn accept_all(self) -> ReceivedData {
        let mut accepted = ReceivedData {
            connections: 0,
            written: Vec::new(),
        };
        drop(
            self.listener
                .accept()
                .expect("failed to accept the connection in the backlog"),
        );
        self.listener
            .set_nonblocking(true)
            .expect("failed to set non-blocking mode");
        // The operating system retries its connection request after one second, then after two
        // more.
        for _ in 0..35 {
            std::thread::sleep(Duration::from_millis(100));
            let Ok((mut stream, _)) = self.listener.accept() else {
                continue;
            };
            accepted.connections += 1;
            stream
                .set_nonblocking(false)
                .expect("failed to set blocking mode");
            stream
                .set_read_timeout(Some(Duration::from_millis(500)))
                .expect("failed to set a read timeout");
            // Reading ends when the edge node closes the connection, or at the timeout.
            let _ = stream.read_to_end(&mut accepted.written);
        }
        accepted
    }
}

/// Connections and bytes that a late server received.
struct ReceivedData {
    connections: usize,
    written: Vec<u8>,
}

/// What the client does while a connection to the server is being established.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAction {
    Stays,
    Disconnects,
}

/// Edits a configuration so that a connection may take long to establish, and sets whether attempts
/// may be cancelled.
fn with_long_connect_timeout(config: String, cancel: bool) -> String {
    let config = config.replace(
        r#""connectTimeoutUs":250000"#,
        r#""connectTimeoutUs":30000000"#,
    );
    config.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#))
}

/// Lets the client stay or disconnect, then lets the server accept connections. Asserts that the
/// request is written to the server if the client stays, and that nothing is written otherwise.
fn assert_written_only_if_client_stays(
    action: ClientAction,
    client: Client,
    node: &EdgeNode,
    server: LateServer,
    tag: &str,
) {
    let open_client = match action {
        ClientAction::Stays => Some(client),
        ClientAction::Disconnects => {
            client.close();
            None
        }
    };
    wait_until_read(node);
    let accepted = server.accept_all();
    let stays = action == ClientAction::Stays;
    assert_eq!(!accepted.written.is_empty(), stays, "{tag}");
    assert!(accepted.connections > 0 || !stays, "{tag}");
    drop(open_client);
}

/// Whether attempts may be cancelled, and what the client does while the connection is being
/// established.
const CONNECTING_CASES: [(bool, ClientAction); 3] = [
    (true, ClientAction::Disconnects),
    (false, ClientAction::Disconnects),
    (true, ClientAction::Stays),
];

#[test]
fn disconnect_while_connecting_prevents_write_of_first_attempt() {
    std::thread::scope(|scope| {
        for (cancel, action) in CONNECTING_CASES {
            scope.spawn(move || {
                let (late_server, address) = LateServer::start();
                let hosts = [endpoint_entry("s-1", address, 1, "ready")];
                let discovery = FakeDiscovery::start(&hosts);
                let tag = format!("late-{cancel}-{action:?}");
                let node =
                    EdgeNode::start_with_edited_config(&tag, discovery.address, &hosts, |config| {
                        with_long_connect_timeout(config, cancel)
                    });
                let mut client = node.client();
                client.send(&request_text("a", "pay", "20000m"));
                wait_until_read(&node);
                // The case of a client that stays shows that the connection is established and that
                // the request is written.
                assert_written_only_if_client_stays(action, client, &node, late_server, &tag);
            });
        }
    });
}

/// The first attempt has failed, and the server of the retry accepts late.
#[test]
fn disconnect_while_connecting_prevents_write_of_retry() {
    std::thread::scope(|scope| {
        for (cancel, action) in CONNECTING_CASES {
            scope.spawn(move || {
                let (late_server, address) = LateServer::start();
                let servers = FakeServers::new();
                let first = servers.start("s-1", &[ServerBehavior::NeverRespond]);
                let hosts = [endpoint_entry("s-1", first, 1, "ready")];
                let discovery = FakeDiscovery::start(&hosts);
                let tag = format!("again-{cancel}-{action:?}");
                let node =
                    EdgeNode::start_with_edited_config(&tag, discovery.address, &hosts, |config| {
                        with_long_connect_timeout(config, cancel)
                    });
                let (_, mut watch) = discovery.next_watch();
                let mut client = node.client();
                client.send(&request_text("a", "read", "20000m"));
                let mut received = servers.next_request();
                let moved = [
                    endpoint_entry("s-1", first, 1, "draining"),
                    endpoint_entry("late", address, 1, "ready"),
                ];
                send_list(&mut watch, &endpoint_list(2, false, &moved));
                wait_until_read(&node);
                received
                    .stream
                    .write_all(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
                    .expect("the attempt is no longer in flight");
                // Long enough for the edge node to read the response.
                std::thread::sleep(Duration::from_millis(200));
                assert_written_only_if_client_stays(action, client, &node, late_server, &tag);
            });
        }
    });
}

/// A request and the close behind it arrive together, on a connection that is open or that is yet
/// to be accepted.
#[test]
fn request_that_arrives_with_close_starts_no_attempt() {
    let (servers, _discovery, node) = start_with_one_server("together", &[RESPONDS_OK]);
    let open: Vec<_> = BUFFERED_COUNTS.iter().map(|_| node.client()).collect();
    wait_until_read(&node);
    node.suspend();
    let new: Vec<_> = BUFFERED_COUNTS.iter().map(|_| node.client()).collect();
    for (number, mut client) in open.into_iter().chain(new).enumerate() {
        client.send(&request_text(&format!("a{number}"), "pay", "20000m"));
        client.send(
            &pipelined_requests(BUFFERED_COUNTS[number % BUFFERED_COUNTS.len()])
                .replace("Id: b", &format!("Id: b{number}-")),
        );
        client.close();
    }
    // By now the operating system has received all requests and closes.
    std::thread::sleep(CLOSE_DETECTION_TIME);
    node.resume();
    wait_until_read(&node);
    assert_eq!(
        node.client()
            .exchange(&request_text("stays", "pay", "20000m"))
            .status(),
        200
    );
    assert_eq!(
        servers.next_request().message.header("x-request-id"),
        "stays"
    );
    servers.assert_no_more_requests();
}

/// If the attempt may not be cancelled, its response would be mistaken for that of another request
/// with the same id.
#[test]
fn request_id_stays_in_use_while_attempt_of_disconnected_client_is_in_flight() {
    let servers = FakeServers::new();
    let behaviors = [ServerBehavior::NeverRespond, RESPONDS_OK];
    let hosts = [servers.start_returning_entry("s-1", &behaviors)];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with_edited_config("in-use", discovery.address, &hosts, |config| {
        with_long_connect_timeout(config, false)
    });
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let _in_flight = servers.next_request();
    disconnect(client, 0, &node);
    assert_eq!(
        node.client()
            .exchange(&request_text("a", "pay", "20000m"))
            .status(),
        400
    );
    assert_eq!(
        node.client()
            .exchange(&request_text("b", "pay", "20000m"))
            .status(),
        200
    );
}

/// Guards against a second execution of a request whose client has left and sends it again with the
/// same id. A request that may be repeated may come again.
#[test]
fn request_that_may_have_been_executed_is_not_executed_again_with_same_id() {
    let (servers, _discovery, node) = start_with_one_server(
        "again-id",
        &[
            ServerBehavior::NeverRespond,
            RESPONDS_OVERLOADED,
            RESPONDS_OK,
        ],
    );
    let mut client = node.client();
    client.send(&request_text("left", "pay", "20000m"));
    let received = servers.next_request();
    disconnect(client, 0, &node);
    assert!(is_closed_in_time(&received));
    wait_until_read(&node);
    let status_of = |id: &str, class: &str| {
        let request = request_text(id, class, "20000m");
        node.client().exchange(&request).status()
    };
    assert_eq!(status_of("left", "pay"), 400);
    assert_eq!(status_of("full", "pay"), 200, "the second attempt");
    assert_eq!(status_of("full", "pay"), 400, "executed and answered");
    assert_eq!(status_of("read", "read"), 200);
    assert_eq!(status_of("read", "read"), 200);
    let ids: Vec<_> = servers
        .unseen_requests()
        .iter()
        .map(|request| request.message.header("x-request-id").to_owned())
        .collect();
    assert_eq!(ids, ["full", "full", "read", "read"]);
}
