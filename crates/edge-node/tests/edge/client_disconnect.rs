//! A client that closes its connection: no attempt, first or further, starts for it, whatever its
//! request waits for and whatever it has pipelined behind that request.

use super::support::*;
use super::with_one;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Counts of requests pipelined behind the first one: none, a few, and more than the edge node
/// reads ahead.
const PIPELINED_COUNTS: [usize; 3] = [0, 20, 200];

/// So many requests, one right behind the other.
fn pipelined_requests(count: usize) -> String {
    (0..count)
        .map(|number| request_text(&format!("b{number}"), "pay", "20000m"))
        .collect()
}

/// Time within which a close has to be noticed. Behind what the edge node reads ahead it is noticed
/// at once.
const CLOSE_NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// Closes a client's connection, with so many requests pipelined on it, and waits until the edge
/// node has noticed.
fn disconnect(client: Client, pipelined: usize, node: &EdgeNode) {
    client.close();
    if pipelined > PIPELINED_COUNTS[1] {
        std::thread::sleep(CLOSE_NOTICED_WITHIN);
    }
    wait_until_read(node);
}

/// Returns once the edge node has read what came on any connection before the call.
fn wait_until_read(node: &EdgeNode) {
    assert_eq!(
        node.client()
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
}

#[test]
fn a_disconnect_cancels_the_attempt_in_flight() {
    let (servers, _discovery, node) =
        with_one("gone", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
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

/// A client pipelines requests and disconnects: its attempt is cancelled, and none of the other
/// requests is begun.
fn disconnects_behind_pipelined_requests(tag: &str, count: usize) {
    let (servers, _discovery, node) = with_one(tag, &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let mut client = node.client();
    client.send(&request_text("a", "pay", "20000m"));
    let received = servers.next_request();
    client.send(&pipelined_requests(count));
    client.close();
    received
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT / 6))
        .expect("a time-out");
    let ends = received.stream.peek(&mut [0]);
    assert!(
        !ends.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
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
fn a_disconnect_behind_pipelined_requests_cancels_the_attempt_in_flight() {
    for count in PIPELINED_COUNTS {
        disconnects_behind_pipelined_requests(&format!("left-{count}"), count);
    }
}

/// In a large fleet a request waits for a lease from its customer's quota owner. Its client
/// disconnects meanwhile; then the lease is granted.
fn disconnects_during_a_lease_request(tag: &str, pipelined: usize) {
    let servers = FakeServers::new();
    let hosts = [servers.start_listed("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let large_fleet = |config: String| config.replace(r#""balancers":2"#, r#""balancers":300"#);
    let node = EdgeNode::start_with(tag, discovery.address, &hosts, large_fleet);
    // The peer, gateway 1, is the only gateway of the customer, and so its quota owner.
    let owned_by_peer = |id: &str| request_text(id, "pay", "20000m").replace("first=0", "first=1");
    let receive_lease_request = || {
        let mut message = [0; 2000];
        node.peer
            .recv_from(&mut message)
            .expect("a lease is requested");
        assert_eq!(message[..2], [4, 1], "a lease request");
        [message[2], message[3]]
    };
    let grant = |sequence: [u8; 2]| {
        let message = [4, 2, sequence[0], sequence[1], 0, 255, 0, 0, 0, 0];
        node.peer.send_to(&message, node.datagrams).expect("sent");
    };
    let mut leaving = node.client();
    leaving.send(&owned_by_peer("a"));
    let sequence = receive_lease_request();
    leaving.send(&pipelined_requests(pipelined));
    disconnect(leaving, pipelined, &node);
    grant(sequence);
    wait_until_read(&node);
    // Without a grant, a request of a plan without a hard limit is admitted by the local token
    // bucket within this.
    std::thread::sleep(Duration::from_millis(700));
    servers.assert_no_more_requests();
    let mut staying = node.client();
    staying.send(&owned_by_peer("b"));
    // Should the grant come late, the local token bucket admits the request.
    grant(receive_lease_request());
    assert_eq!(staying.read_response().expect("an answer").status(), 200);
    assert_eq!(servers.next_request().message.header("x-request-id"), "b");
    servers.assert_no_more_requests();
}

#[test]
fn no_attempt_starts_after_a_disconnect_during_a_lease_request() {
    for pipelined in PIPELINED_COUNTS {
        disconnects_during_a_lease_request(&format!("waits-{pipelined}"), pipelined);
    }
}

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";

/// As many attempts are in flight as the server may have; a further request is queued, and its
/// client disconnects.
#[test]
fn no_attempt_starts_after_a_disconnect_while_queued() {
    for pipelined in PIPELINED_COUNTS {
        let silent = [
            ServerBehavior::NeverRespond,
            ServerBehavior::NeverRespond,
            RESPONDS_OK,
        ];
        let (servers, _discovery, node) = with_one(&format!("queued-{pipelined}"), &silent);
        let mut staying = [node.client(), node.client()];
        let in_flight = ["a", "b"].iter().zip(&mut staying).map(|(id, client)| {
            client.send(&request_text(id, "pay", "20000m"));
            servers.next_request()
        });
        let in_flight: Vec<ReceivedRequest> = in_flight.collect();
        let mut leaving = node.client();
        leaving.send(&request_text("c", "pay", "20000m"));
        leaving.send(&pipelined_requests(pipelined));
        wait_until_read(&node);
        servers.assert_no_more_requests();
        disconnect(leaving, pipelined, &node);
        for (mut received, client) in in_flight.into_iter().zip(&mut staying) {
            received
                .stream
                .write_all(OK_RESPONSE)
                .expect("the attempt is still in flight");
            assert_eq!(client.read_response().expect("an answer").status(), 200);
        }
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

/// An attempt has failed and the request is queued for the next; its client disconnects.
#[test]
fn no_retry_starts_after_a_disconnect_while_queued() {
    let (servers, _discovery, node) = with_one(
        "again",
        &[
            ServerBehavior::NeverRespond,
            ServerBehavior::NeverRespond,
            RESPONDS_OK,
        ],
    );
    let mut staying = node.client();
    staying.send(&request_text("a", "pay", "20000m"));
    let mut first = servers.next_request();
    let mut leaving = node.client();
    leaving.send(&request_text("c", "read", "20000m"));
    let mut failed = servers.next_request();
    // Of a higher priority than the other, so it is first in the queue.
    let mut queued_first = node.client();
    queued_first.send(&request_text("d", "pay", "20000m"));
    wait_until_read(&node);
    servers.assert_no_more_requests();
    failed
        .stream
        .write_all(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
        .expect("the attempt is still in flight");
    wait_until_read(&node);
    disconnect(leaving, 0, &node);
    first
        .stream
        .write_all(OK_RESPONSE)
        .expect("the attempt is still in flight");
    for client in [&mut staying, &mut queued_first] {
        assert_eq!(client.read_response().expect("an answer").status(), 200);
    }
    assert_eq!(servers.next_request().message.header("x-request-id"), "d");
    assert_eq!(
        staying
            .exchange(&request_text("e", "pay", "20000m"))
            .status(),
        200
    );
    assert_eq!(servers.next_request().message.header("x-request-id"), "e");
    servers.assert_no_more_requests();
}

/// A server to which connections come up only once it accepts: until then its backlog is full.
struct LateServer {
    listener: TcpListener,
    _backlog_filler: TcpStream,
}

impl LateServer {
    fn start() -> (LateServer, SocketAddr) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        // A backlog of one connection.
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("there is room for one");
        (
            LateServer {
                listener,
                _backlog_filler: filler,
            },
            address,
        )
    }

    /// Accepts connections from now on: how many came up, and what was written on them.
    fn accept_all(self) -> Accepted {
        let mut accepted = Accepted {
            connections: 0,
            written: Vec::new(),
        };
        drop(self.listener.accept().expect("what filled the backlog"));
        self.listener.set_nonblocking(true).expect("a mode");
        // The operating system sends its connection request again after a second, then after two.
        for _ in 0..35 {
            std::thread::sleep(Duration::from_millis(100));
            let Ok((mut stream, _)) = self.listener.accept() else {
                continue;
            };
            accepted.connections += 1;
            stream.set_nonblocking(false).expect("a mode");
            stream
                .set_read_timeout(Some(Duration::from_millis(500)))
                .expect("a time-out");
            // It ends at the edge node's close, or at the time-out.
            let _ = stream.read_to_end(&mut accepted.written);
        }
        accepted
    }
}

/// What a late server received.
struct Accepted {
    connections: usize,
    written: Vec<u8>,
}

/// What a client does while a connection to the server comes up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAction {
    Stays,
    Disconnects,
}

/// Settings under which a connection may come up late, and attempts may be cancelled or not.
fn with_slow_connect(config: String, cancel: bool) -> String {
    let config = config.replace(
        r#""connectTimeoutUs":250000"#,
        r#""connectTimeoutUs":30000000"#,
    );
    config.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#))
}

/// The client stays or disconnects, then the server accepts: something is written to it only if the
/// client is still there.
fn assert_written_only_if_client_stays(
    action: ClientAction,
    client: Client,
    node: &EdgeNode,
    server: LateServer,
    tag: &str,
) {
    let staying = match action {
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
    drop(staying);
}

/// Whether attempts may be cancelled, and what the client does.
const CASES: [(bool, ClientAction); 3] = [
    (true, ClientAction::Disconnects),
    (false, ClientAction::Disconnects),
    (true, ClientAction::Stays),
];

#[test]
fn nothing_is_written_once_the_client_has_disconnected_while_connecting() {
    std::thread::scope(|scope| {
        for (cancel, action) in CASES {
            scope.spawn(move || {
                let (late_server, dial) = LateServer::start();
                let hosts = [endpoint_entry("s-1", dial, 1, "ready")];
                let discovery = FakeDiscovery::start(&hosts);
                let tag = format!("late-{cancel}-{action:?}");
                let node = EdgeNode::start_with(&tag, discovery.address, &hosts, |config| {
                    with_slow_connect(config, cancel)
                });
                let mut client = node.client();
                client.send(&request_text("a", "pay", "20000m"));
                wait_until_read(&node);
                // One that stays shows that the connection does come up, and what is written then.
                assert_written_only_if_client_stays(action, client, &node, late_server, &tag);
            });
        }
    });
}

/// The same for a retry: the first attempt has failed, and the next server accepts late.
#[test]
fn no_retry_is_written_once_the_client_has_disconnected_while_connecting() {
    std::thread::scope(|scope| {
        for (cancel, action) in CASES {
            scope.spawn(move || {
                let (late_server, dial) = LateServer::start();
                let servers = FakeServers::new();
                let first = servers.start("s-1", &[ServerBehavior::NeverRespond]);
                let hosts = [endpoint_entry("s-1", first, 1, "ready")];
                let discovery = FakeDiscovery::start(&hosts);
                let tag = format!("again-{cancel}-{action:?}");
                let node = EdgeNode::start_with(&tag, discovery.address, &hosts, |config| {
                    with_slow_connect(config, cancel)
                });
                let (_, mut watch) = discovery.next_watch();
                let mut client = node.client();
                client.send(&request_text("a", "read", "20000m"));
                let mut received = servers.next_request();
                let moved = [
                    endpoint_entry("s-1", first, 1, "draining"),
                    endpoint_entry("late", dial, 1, "ready"),
                ];
                send_list(&mut watch, &endpoint_list(2, false, &moved));
                wait_until_read(&node);
                received
                    .stream
                    .write_all(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
                    .expect("the attempt is in flight");
                // Long enough for the answer to be read.
                std::thread::sleep(Duration::from_millis(200));
                assert_written_only_if_client_stays(action, client, &node, late_server, &tag);
            });
        }
    });
}

/// A request and the close behind it arrive together, on a connection that is open or has yet to be
/// accepted.
#[test]
fn no_attempt_starts_for_a_request_that_arrives_together_with_the_close() {
    let (servers, _discovery, node) = with_one("together", &[RESPONDS_OK]);
    let open: Vec<_> = PIPELINED_COUNTS.iter().map(|_| node.client()).collect();
    wait_until_read(&node);
    node.suspend();
    let new: Vec<_> = PIPELINED_COUNTS.iter().map(|_| node.client()).collect();
    for (number, mut client) in open.into_iter().chain(new).enumerate() {
        client.send(&request_text(&format!("a{number}"), "pay", "20000m"));
        client.send(
            &pipelined_requests(PIPELINED_COUNTS[number % PIPELINED_COUNTS.len()])
                .replace("Id: b", &format!("Id: b{number}-")),
        );
        client.close();
    }
    // The operating system has received all of it.
    std::thread::sleep(CLOSE_NOTICED_WITHIN);
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

/// Where the attempt may not be cancelled, its answer would be taken for that of another request
/// under the same id.
#[test]
fn an_id_stays_in_use_while_the_attempt_of_a_disconnected_client_is_in_flight() {
    let servers = FakeServers::new();
    let behaviors = [ServerBehavior::NeverRespond, RESPONDS_OK];
    let hosts = [servers.start_listed("s-1", &behaviors)];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start_with("in-use", discovery.address, &hosts, |config| {
        with_slow_connect(config, false)
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
