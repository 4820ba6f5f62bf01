//! Descriptors: clients may fill those that are theirs, with requests or without, and never those that the edge node
//! needs for discovery, loan servers and whoever asks whether it is ready.

use super::support::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Descriptors that the machine grants in these tests: the fewest that the program takes.
const SOCKETS: usize = 64;
/// Connections that idle clients hold, or open again as soon as they are shut.
const IDLE: usize = 100;
/// Bytes of a large body, which is taken where memory allows.
const LARGE: usize = 1_000_000;
/// Answers of that size that are more than the machine buffers on a connection.
const MANY: usize = 12;

/// Clients that asked once and stay, and some that never ask, do not shut out another.
#[test]
fn a_crowd_shuts_out_nobody() {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let node = Node::with_sockets("crowd", discovery.address, &hosts, 64);
    let mut crowd = Vec::new();
    for number in 0..60 {
        let mut client = node.client();
        client.stream.set_read_timeout(Some(PATIENCE / 3)).expect("a time-out");
        if number < SOCKETS / 2 {
            assert_eq!(client.ask(&request(&format!("r{number}"), "read", "20000m")).status(), 200);
        }
        crowd.push(client);
    }
}

/// More clients than descriptors: the surplus waits, and is served once there is room.
#[test]
fn the_edge_node_outlives_a_lack_of_descriptors() {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let node = Node::with_sockets("sockets", discovery.address, &hosts, 64);
    let idle: Vec<_> = (0..60).map(|_| node.client()).collect();
    let mut last = node.client();
    last.write(&request("a", "read", "20000m"));
    drop(idle);
    assert_eq!(last.answer().expect("an answer").status(), 200);
}

/// More clients than places come in one moment, each with a request: none is shut unread for the next.
#[test]
fn clients_that_come_and_ask_in_one_moment_are_all_answered() {
    let servers = Servers::new();
    let hosts = [host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let node = Node::with_sockets("moment", discovery.address, &hosts, SOCKETS);
    assert_eq!(node.client().ask(READY).status(), 200);
    node.stop();
    let come = |number: usize| {
        let mut client = node.client();
        client.write(&if number < SOCKETS / 2 {
            READY.to_owned()
        } else {
            request(&format!("r{number}"), "read", "20000m")
        });
        client
    };
    let clients: Vec<_> = (0..SOCKETS).map(come).collect();
    node.go_on();
    for mut client in clients {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
    }
}

/// How idle clients hold a connection: without a word, within a head, or after an answer.
const WAYS: [&str; 3] = ["", "GET /-/ready HTTP/1.1\r\nHos", READY];
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Idle clients that fill whatever is open to them, and come again when they are shut, until told to stop.
fn crowd(address: SocketAddr, stop: &AtomicBool) {
    let open = |number: usize| {
        let mut stream = TcpStream::connect(address).expect("the machine accepts");
        // It may have been shut by then.
        let _ = std::io::Write::write_all(&mut stream, WAYS[number % WAYS.len()].as_bytes());
        stream.set_nonblocking(true).expect("a mode");
        stream
    };
    let is_shut = |stream: &TcpStream| {
        let mut answer = [0; 1024];
        loop {
            match std::io::Read::read(&mut &*stream, &mut answer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    };
    let mut held: Vec<_> = (0..IDLE).map(open).collect();
    while !stop.load(Ordering::Relaxed) {
        for (number, stream) in held.iter_mut().enumerate() {
            if is_shut(stream) {
                *stream = open(number);
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Asks on a new connection; `None` if that was shut unread, which is allowed while descriptors are short.
fn ask_new(node: &Node, words: &str) -> Option<u16> {
    let mut client = node.client();
    std::io::Write::write_all(&mut client.stream, words.as_bytes()).ok()?;
    client.answer().map(|answer| answer.status())
}

/// Most connections that one who asks may need beside such a crowd.
const TRIES: usize = 50;

fn is_answered(node: &Node, words: impl Fn(usize) -> String) {
    let answer = (0..TRIES).find_map(|number| ask_new(node, &words(number)));
    assert_eq!(answer, Some(200));
}

#[test]
fn idle_clients_keep_neither_discovery_nor_servers_nor_readiness_from_their_descriptors() {
    let servers = Servers::new();
    let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = address.expect("an address");
    let old = host("old", servers.start("old", &[SERVES]), 1, "ready");
    let node = Node::with_sockets("filled", address, &[old], SOCKETS);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| crowd(node.address, &stop));
        // Ends the crowd also where this panics.
        let _stops = Stops(&stop);
        is_answered(&node, |_| READY.to_owned());
        is_answered(&node, |number| request(&format!("a{number}"), "read", "20000m"));
        assert_eq!(servers.next().server, "old");
        // So long that all have come and have been shut, and come again.
        std::thread::sleep(Duration::from_millis(500));
        let new: Vec<_> = (0..8)
            .map(|number| host(&format!("new-{number}"), servers.start("new", &[SERVES]), 1, "ready"))
            .collect();
        let discovery = Discovery::back(address, list(7, true, &new));
        discovery.watch();
        is_answered(&node, |_| READY.to_owned());
        let mut number = 0;
        while {
            number += 1;
            is_answered(&node, |again| request(&format!("b{number}-{again}"), "read", "20000m"));
            servers.next().server != "new"
        } {}
        is_answered(&node, |_| READY.to_owned());
    });
}

struct Stops<'a>(&'a AtomicBool);

impl Drop for Stops<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A client that reads slowly: the rest of its answer is kept back by the machine, far beyond what that buffers.
#[test]
fn a_connection_on_which_an_answer_is_still_written_is_not_shut_for_another() {
    let servers = Servers::new();
    let words = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n{}", "r".repeat(LARGE));
    let answers = Does::Answers(Box::leak(words.into_boxed_str()));
    let hosts = [host("s-1", servers.start("s-1", &[answers]), 1, "ready")];
    let discovery = Discovery::start(&hosts);
    let node = Node::with_sockets("slowly", discovery.address, &hosts, SOCKETS);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(1).expect("the least there is");
    socket.connect(&node.address.into()).expect("the edge node accepts");
    let mut slow = Client::on(socket.into());
    let many: String = (0..MANY).map(|number| request(&format!("r{number}"), "read", "20000m")).collect();
    slow.write(&many);
    servers.next();
    // Until the machine takes no more of what is written.
    std::thread::sleep(Duration::from_millis(500));
    // Others have asked later, and hold every place there is.
    let asks = |_| {
        let mut client = node.client();
        assert_eq!(client.ask(READY).status(), 200);
        client
    };
    let others: Vec<_> = (0..SOCKETS).map(asks).collect();
    for number in 0..MANY {
        let answer = slow.answer().map(|answer| (answer.status(), answer.body.len()));
        assert_eq!(answer, Some((200, LARGE)), "{number}");
    }
    drop(others);
}
