//! A client that closes its connection has gone: no attempt, first or further, begins for it, whatever its request
//! waits for and whatever it has sent behind it.

use super::support::*;
use super::with_one;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Requests behind the first one: few, and so many that they are more than the edge node reads ahead.
const BEHIND: [usize; 3] = [0, 20, 200];

/// So many requests, one right behind the other.
fn further(number: usize) -> String {
    (0..number).map(|number| request(&format!("b{number}"), "pay", "20000m")).collect()
}

/// The rule's own time for a close to show. What the edge node reads ahead shows at once.
const SHOWS_WITHIN: Duration = Duration::from_millis(100);

/// A client closes its connection, with so many requests behind its first one, and the edge node has seen it.
fn leave(client: Client, behind: usize, node: &Node) {
    client.leave();
    if behind > BEHIND[1] {
        std::thread::sleep(SHOWS_WITHIN);
    }
    round(node);
}

/// What came before this on any connection has been read once it is over.
fn round(node: &Node) {
    assert_eq!(node.client().ask("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
}

#[test]
fn a_client_that_goes_away_ends_its_attempt() {
    let (servers, _discovery, node) = with_one("gone", &[Does::IsSilent, SERVES]);
    let mut client = node.client();
    client.write(&request("a", "pay", "20000m"));
    let got = servers.next();
    client.leave();
    assert!(closed(&got));
    assert_eq!(node.client().ask(&request("b", "pay", "20000m")).status(), 200);
}

/// Clients that send much at once and go: nothing of it is worked on for them, and nothing more is begun.
fn leaves_behind_further_requests(tag: &str, number: usize) {
    let (servers, _discovery, node) = with_one(tag, &[Does::IsSilent, SERVES]);
    let mut client = node.client();
    client.write(&request("a", "pay", "20000m"));
    let got = servers.next();
    client.write(&further(number));
    client.leave();
    got.stream.set_read_timeout(Some(PATIENCE / 6)).expect("a time-out");
    let ends = got.stream.peek(&mut [0]);
    assert!(
        !ends.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock),
        "it is worked on still"
    );
    assert_eq!(node.client().ask(&request("c", "pay", "20000m")).status(), 200);
    assert_eq!(servers.next().message.header("x-request-id"), "c");
    servers.got_no_more();
}

#[test]
fn a_client_that_leaves_behind_further_requests_ends_its_attempt() {
    for number in BEHIND {
        leaves_behind_further_requests(&format!("left-{number}"), number);
    }
}

/// In a wide fleet a try waits for a word of its customer's home. Its client leaves meanwhile; then the word comes.
fn leaves_while_the_home_is_asked(tag: &str, behind: usize) {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let wide = |config: String| config.replace(r#""balancers":2"#, r#""balancers":300"#);
    let node = Node::with(tag, discovery.address, &hosts, wide);
    // The peer, gateway 1, is the only one of the customer's set.
    let of_peer = |id: &str| request(id, "pay", "20000m").replace("first=0", "first=1");
    let asked = || {
        let mut ask = [0; 2000];
        node.peer.recv_from(&mut ask).expect("the home is asked");
        assert_eq!(ask[..2], [4, 1], "an ask");
        [ask[2], ask[3]]
    };
    let grant = |serial: [u8; 2]| {
        let words = [4, 2, serial[0], serial[1], 0, 255, 0, 0, 0, 0];
        node.peer.send_to(&words, node.datagrams).expect("sent");
    };
    let mut leaves = node.client();
    leaves.write(&of_peer("a"));
    let serial = asked();
    leaves.write(&further(behind));
    leave(leaves, behind, &node);
    grant(serial);
    round(&node);
    // Without a word a try of a plan without a ceiling goes by its own store, within this.
    std::thread::sleep(std::time::Duration::from_millis(700));
    servers.got_no_more();
    let mut stays = node.client();
    stays.write(&of_peer("b"));
    // Should the word come late, its own store lets the try go.
    grant(asked());
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    assert_eq!(servers.next().message.header("x-request-id"), "b");
    servers.got_no_more();
}

#[test]
fn a_request_is_not_sent_on_once_its_client_has_left_while_it_waited() {
    for behind in BEHIND {
        leaves_while_the_home_is_asked(&format!("waits-{behind}"), behind);
    }
}

const RANKS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";

/// As many attempts are out as a server may have; a further request waits for a place, and its client leaves.
#[test]
fn a_request_is_not_sent_on_once_its_client_has_left_while_it_waited_for_a_place() {
    for behind in BEHIND {
        let silent = [Does::IsSilent, Does::IsSilent, SERVES];
        let (servers, _discovery, node) = with_one(&format!("place-{behind}"), &silent);
        let mut stay = [node.client(), node.client()];
        let out = ["a", "b"].iter().zip(&mut stay).map(|(id, client)| {
            client.write(&request(id, "pay", "20000m"));
            servers.next()
        });
        let out: Vec<Got> = out.collect();
        let mut leaves = node.client();
        leaves.write(&request("c", "pay", "20000m"));
        leaves.write(&further(behind));
        round(&node);
        servers.got_no_more();
        leave(leaves, behind, &node);
        for (mut got, client) in out.into_iter().zip(&mut stay) {
            got.stream.write_all(RANKS).expect("it is still out");
            assert_eq!(client.answer().expect("an answer").status(), 200);
        }
        assert_eq!(node.client().ask(&request("d", "pay", "20000m")).status(), 200);
        assert_eq!(servers.next().message.header("x-request-id"), "d");
        servers.got_no_more();
    }
}

/// An attempt has failed and the next waits for a place; its client leaves.
#[test]
fn a_request_is_not_sent_again_once_its_client_has_left_while_it_waited_for_a_place() {
    let (servers, _discovery, node) = with_one("again", &[Does::IsSilent, Does::IsSilent, SERVES]);
    let mut stays = node.client();
    stays.write(&request("a", "pay", "20000m"));
    let mut first = servers.next();
    let mut leaves = node.client();
    leaves.write(&request("c", "read", "20000m"));
    let mut failed = servers.next();
    // Worth more than the other, so it is first in the queue.
    let mut ahead = node.client();
    ahead.write(&request("d", "pay", "20000m"));
    round(&node);
    servers.got_no_more();
    failed.stream.write_all(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n").expect("it is still out");
    round(&node);
    leave(leaves, 0, &node);
    first.stream.write_all(RANKS).expect("it is still out");
    for client in [&mut stays, &mut ahead] {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    assert_eq!(servers.next().message.header("x-request-id"), "d");
    assert_eq!(stays.ask(&request("e", "pay", "20000m")).status(), 200);
    assert_eq!(servers.next().message.header("x-request-id"), "e");
    servers.got_no_more();
}

/// An app server whose connections come up only once it accepts: until then its queue is full.
struct Late {
    listener: TcpListener,
    _fills: TcpStream,
}

impl Late {
    fn start() -> (Late, SocketAddr) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        // Room for one.
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let fills = TcpStream::connect(address).expect("there is room for one");
        (Late { listener, _fills: fills }, address)
    }

    /// From now on connections come up: what is written on those that do, and whether any did.
    fn comes_up(self) -> (Vec<u8>, usize) {
        let (mut written, mut came) = (Vec::new(), 0);
        drop(self.listener.accept().expect("what filled the queue"));
        self.listener.set_nonblocking(true).expect("a mode");
        // The machine asks for a connection again after a second, then after two.
        for _ in 0..35 {
            std::thread::sleep(Duration::from_millis(100));
            let Ok((mut stream, _)) = self.listener.accept() else { continue };
            came += 1;
            stream.set_nonblocking(false).expect("a mode");
            stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a time-out");
            // It ends at the edge node's close, or at the time-out.
            let _ = stream.read_to_end(&mut written);
        }
        (written, came)
    }
}

/// Settings under which a connection may come up late, and attempts may be called off or not.
fn patient(config: String, cancel: bool) -> String {
    let config = config.replace(r#""connectTimeoutUs":250000"#, r#""connectTimeoutUs":30000000"#);
    config.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#))
}

/// The client stays or leaves, then the server comes up: what is written to it, and whether that is owed to a client that
/// is still there.
fn written_only_if_it(stays: bool, client: Client, node: &Node, late: Late, tag: &str) {
    let stayed = if stays {
        Some(client)
    } else {
        client.leave();
        None
    };
    round(node);
    let (written, came) = late.comes_up();
    assert_eq!((!written.is_empty(), came > 0 || !stays), (stays, true), "{tag}");
    drop(stayed);
}

#[test]
fn nothing_is_written_to_a_server_that_comes_up_once_the_client_has_left() {
    std::thread::scope(|scope| {
        for (cancel, stays) in [(true, false), (false, false), (true, true)] {
            scope.spawn(move || {
                let (late, dial) = Late::start();
                let hosts = [host("s-1", dial, 1, "ready")];
                let discovery = Discovery::start(&hosts);
                let tag = format!("late-{cancel}-{stays}");
                let node = Node::with(&tag, discovery.address, &hosts, |config| patient(config, cancel));
                let mut client = node.client();
                client.write(&request("a", "pay", "20000m"));
                round(&node);
                // One that stays shows that the connection does come up, and what is written then.
                written_only_if_it(stays, client, &node, late, &tag);
            });
        }
    });
}

/// The same for a further attempt: the first has failed, and the next server comes up late.
#[test]
fn nothing_is_sent_again_to_a_server_that_comes_up_once_the_client_has_left() {
    std::thread::scope(|scope| {
        for (cancel, stays) in [(true, false), (false, false), (true, true)] {
            scope.spawn(move || {
                let (late, dial) = Late::start();
                let servers = Servers::new();
                let first = servers.start("s-1", &[Does::IsSilent]);
                let hosts = [host("s-1", first, 1, "ready")];
                let discovery = Discovery::start(&hosts);
                let tag = format!("again-{cancel}-{stays}");
                let node = Node::with(&tag, discovery.address, &hosts, |config| patient(config, cancel));
                let (_, mut watch) = discovery.watch();
                let mut client = node.client();
                client.write(&request("a", "read", "20000m"));
                let mut got = servers.next();
                let moved = [host("s-1", first, 1, "draining"), host("late", dial, 1, "ready")];
                write_list(&mut watch, &list(2, false, &moved));
                round(&node);
                got.stream.write_all(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n").expect("it is out");
                // Long enough for the answer to be read.
                std::thread::sleep(Duration::from_millis(200));
                written_only_if_it(stays, client, &node, late, &tag);
            });
        }
    });
}

/// A request and the close behind it come in one moment, on a connection that is open or has yet to be accepted.
#[test]
fn nothing_is_sent_on_for_a_client_whose_request_and_close_come_together() {
    let (servers, _discovery, node) = with_one("together", &[SERVES]);
    let open: Vec<_> = BEHIND.iter().map(|_| node.client()).collect();
    round(&node);
    node.stop();
    let new: Vec<_> = BEHIND.iter().map(|_| node.client()).collect();
    for (number, mut client) in open.into_iter().chain(new).enumerate() {
        client.write(&request(&format!("a{number}"), "pay", "20000m"));
        client.write(&further(BEHIND[number % BEHIND.len()]).replace("Id: b", &format!("Id: b{number}-")));
        client.leave();
    }
    // The machine has all of it.
    std::thread::sleep(SHOWS_WITHIN);
    node.go_on();
    round(&node);
    assert_eq!(node.client().ask(&request("stays", "pay", "20000m")).status(), 200);
    assert_eq!(servers.next().message.header("x-request-id"), "stays");
    servers.got_no_more();
}
