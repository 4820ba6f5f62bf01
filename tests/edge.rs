//! The edge node over loopback sockets. Each test covers one way in which clients, servers, peers or discovery can fail;
//! none asserts on speed.

#[path = "edge/client_disconnect.rs"]
mod client_disconnect;
#[path = "edge/descriptors.rs"]
mod descriptors;
#[path = "edge/discovery_deadline.rs"]
mod discovery_deadline;
#[path = "edge/shutdown.rs"]
mod shutdown;
#[path = "edge/start.rs"]
mod start;
mod support;
#[path = "edge/unexpected_response.rs"]
mod unexpected_response;
#[path = "edge/watch.rs"]
mod watch;

use std::io::Write;
use std::time::Instant;
use support::*;

/// An edge node with one server, which behaves in this way.
fn with_one(tag: &str, does: &[ServerBehavior]) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let hosts = [endpoint_entry("s-1", servers.start("s-1", does), 1, "ready")];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start(tag, discovery.address, &hosts);
    (servers, discovery, node)
}

/// An edge node with two servers. The first attempt gets one answer, all others get another.
fn with_two(
    tag: &str, blocks: [u32; 2], first: ServerBehavior, then: ServerBehavior,
) -> (FakeServers, FakeDiscovery, EdgeNode) {
    let servers = FakeServers::new();
    let turns = SharedBehaviors::new(vec![first, then].into());
    let number = |(block, name): (u32, &str)| {
        endpoint_entry(name, servers.start_sharing(name, &turns), block, "ready")
    };
    let hosts: Vec<_> = blocks.into_iter().zip(["s-1", "s-2"]).map(number).collect();
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start(tag, discovery.address, &hosts);
    (servers, discovery, node)
}

#[test]
fn requests_are_forwarded_unchanged_and_answered_over_pooled_connections() {
    let (servers, _discovery, node) = with_one("plain", &[RESPONDS_OK]);
    let mut client = node.client();
    assert_eq!(client.exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    for (number, class) in ["read", "submit", "pay"].into_iter().enumerate() {
        let answer = client.exchange(&request_text(class, class, "20000m"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
        let got = servers.next_request();
        let method = if class == "read" { "GET" } else { "POST" };
        let start = format!("{method} /{class}/00000000b4d65521?game=7 HTTP/1.1");
        assert_eq!(got.message.start, start);
        assert_eq!(got.message.header("x-request-id"), class);
        assert!(got.message.header("x-deadline").ends_with('m'));
        assert_eq!(got.message.body, if class == "read" { &b""[..] } else { b"time" });
        let key = if class == "submit" { "5c0f6e1a" } else { "" };
        assert_eq!(got.message.header("idempotency-key"), key);
        assert_eq!(got.connection, 0, "request {number} opened a connection of its own");
        // A connection is not used again right after an answer.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    servers.assert_no_more_requests();
}

#[test]
fn invalid_requests_are_answered_4xx_and_affect_no_other() {
    let (servers, _discovery, mut node) = with_one("bad", &[RESPONDS_OK]);
    let good = request_text("a", "read", "20000m");
    let cases = [
        ("X-Class: read", "X-Class: write", "400"),
        ("X-Class: read\r\n", "", "400"),
        ("/read/", "/pay/", "400"),
        ("00000000b4d65521", "b4d65521", "400"),
        ("00000000b4d65521", "ffffffffffffffff", "400"),
        ("X-Tier: p", "X-Tier: q", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 20", "400"),
        ("X-Deadline: 20000m", "X-Deadline: NaNm", "400"),
        ("X-Deadline: 20000m\r\n", "", "400"),
        ("X-Request-Id: a\r\n", "", "400"),
        ("units=1", "units=-1", "400"),
        ("X-Call-Terms", "X-Terms", "400"),
        ("GET", "POST", "400"),
        ("HTTP/1.1", "SMTP", "400"),
        ("00000000b4d65521", "+0000000b4d65521", "400"),
        ("X-Class: read", "X-Class: read\r\nX-Class: submit", "400"),
        ("X-Tier: p", "X-Tier: p\r\nX-Tier: p", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 30001m", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 1e3m", "400"),
        ("units=1", "units=2", "400"),
        ("units=1", "units=0", "400"),
        ("units=1", "units", "400"),
        ("units=1", "units=1,units=1", "400"),
        ("spread=1", "spread=3", "400"),
        ("spread=1", "spread=-1", "400"),
        ("first=0", "first=2", "400"),
        // Request smuggling: with a length and an encoding, one of them may hide a request in the other's body.
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 4\r\nTransfer-Encoding: chunked", "411"),
        ("X-Tier: p", "X-Tier: p\r\nTransfer-Encoding: chunked\r\nContent-Length: 4", "411"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 4\r\nContent-Length: 5", "400"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: -4", "400"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 4", "400"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 60000000", "413"),
    ];
    for (from, to, status) in cases {
        let mut client = node.client();
        let answer = client.exchange(&good.replacen(from, to, 1));
        assert_eq!(answer.status().to_string(), status, "{to}");
        client.assert_closed();
    }
    let keyless = request_text("b", "submit", "20000m").replace("Idempotency-Key", "Some-Key");
    assert_eq!(node.client().exchange(&keyless).status(), 400);
    let large =
        request_text("c", "pay", "20000m").replace("Length: 4\r\n\r\ntime", "Length: 60000000\r\n\r\n");
    let mut client = node.client();
    client.send(&large);
    // The edge node may answer, and close, before it has read the whole body.
    let _ = client.stream.write_all(&vec![b'x'; 65537]);
    assert_eq!(client.read_response().expect("an answer").status(), 413);
    assert!(node.is_running());
    servers.assert_no_more_requests();
    assert_eq!(node.client().exchange(&good).status(), 200);
}

#[test]
fn an_invalid_configuration_ends_the_start_with_one_plain_line() {
    for (number, config) in ["", "{}", "{\"name\":1}", "[]"].into_iter().enumerate() {
        let (child, path) = spawn_edge_node(&format!("config-{number}"), config);
        let output = child.wait_with_output().expect("it ends");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && error.lines().count() == 1, "{config}: {error}");
    }
}

#[test]
fn a_request_id_in_use_is_rejected() {
    let (servers, _discovery, node) = with_one("twice", &[ServerBehavior::NeverRespond]);
    let mut first = node.client();
    first.send(&request_text("same", "pay", "20000m"));
    let got = servers.next_request();
    assert_eq!(node.client().exchange(&request_text("same", "pay", "20000m")).status(), 400);
    drop(first);
    assert!(is_closed_in_time(&got));
    servers.assert_no_more_requests();
}

/// A request that was not executed may be retried whatever its class; one that may have been executed is retried only
/// if its class allows it.
#[test]
fn a_request_that_may_have_been_executed_is_retried_only_if_its_class_allows_it() {
    let reset = ServerBehavior::RespondAndClose("");
    let cut = ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nran");
    let cases = [
        ("full", RESPONDS_OVERLOADED, "pay", 200, 2),
        ("full-keyed", RESPONDS_OVERLOADED, "submit", 200, 2),
        ("reset-safe", reset.clone(), "read", 200, 2),
        ("reset-unsafe", reset.clone(), "pay", 502, 1),
        ("cut-safe", cut.clone(), "read", 200, 2),
        ("cut-unsafe", cut, "pay", 502, 1),
        ("unframed-unsafe", ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\n\r\nran"), "pay", 502, 1),
        ("error-safe", RESPONDS_ERROR, "read", 200, 2),
        ("error-unsafe", RESPONDS_ERROR, "pay", 502, 1),
        ("reset-keyed", reset, "submit", 200, 2),
    ];
    for (tag, first, class, status, attempts) in cases {
        // Both servers are in one cell, so that a request with an idempotency key may go to either.
        let (servers, _discovery, node) = with_two(tag, [1, 1], first, RESPONDS_OK);
        let answer = node.client().exchange(&request_text(tag, class, "20000m"));
        assert_eq!(answer.status(), status, "{tag}");
        for _ in 0..attempts {
            servers.next_request();
        }
        servers.assert_no_more_requests();
    }
}

/// A malformed answer fails the attempt, which may have been executed, and its connection is closed.
#[test]
fn malformed_answers_are_not_forwarded() {
    let cases = [
        ("noise", "\u{1}\u{2}noise\r\n\r\n"),
        ("status", "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nranks"),
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nranks"),
        ("lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nranks"),
        ("huge", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nranks"),
        ("chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nranks"),
        ("unframed", "HTTP/1.1 200 OK\r\n\r\nranks"),
        ("switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: noise\r\n\r\n"),
    ];
    for (tag, words) in cases {
        let (servers, _discovery, node) = with_one(tag, &[ServerBehavior::Respond(words), RESPONDS_OK]);
        let mut client = node.client();
        assert_eq!(client.exchange(&request_text("a", "pay", "20000m")).status(), 502, "{tag}");
        assert!(is_closed_in_time(&servers.next_request()), "{tag}");
        let answer = client.exchange(&request_text("b", "pay", "20000m"));
        assert_eq!((answer.status(), servers.next_request().connection), (200, 1), "{tag}");
    }
}

/// Informational responses before an answer, and a load report that can't be parsed, are ignored.
#[test]
fn informational_responses_and_malformed_load_reports_are_ignored() {
    let ahead =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: \
                 inflight=x,,=\r\nContent-Length: 5\r\n\r\nranks";
    let (servers, _discovery, node) = with_one("ahead", &[ServerBehavior::Respond(ahead)]);
    let answer = node.client().exchange(&request_text("a", "pay", "20000m"));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    servers.next_request();
}

/// Large bodies are accepted in both directions while the memory budget allows.
#[test]
fn large_bodies_are_accepted_in_both_directions() {
    let words = format!("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{}", "r".repeat(400_000));
    let (servers, _discovery, node) =
        with_one("large", &[ServerBehavior::Respond(Box::leak(words.into_boxed_str()))]);
    let mut client = node.client();
    let large = format!("Length: 300000\r\n\r\n{}", "t".repeat(300_000));
    for id in ["a", "b"] {
        let answer =
            client.exchange(&request_text(id, "pay", "20000m").replace("Length: 4\r\n\r\ntime", &large));
        assert_eq!((answer.status(), answer.body.len()), (200, 400_000));
        assert_eq!(servers.next_request().message.body.len(), 300_000);
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_in_its_own_cell() {
    let (servers, _discovery, node) =
        with_two("cell", [1, 2], ServerBehavior::RespondAndClose(""), RESPONDS_OK);
    let answer = node.client().exchange(&request_text("a", "submit", "20000m"));
    let (first, second) = (servers.next_request(), servers.next_request());
    assert_eq!((answer.status(), first.server), (200, second.server));
    servers.assert_no_more_requests();
}

#[test]
fn a_refused_connection_proves_that_nothing_was_executed() {
    let servers = FakeServers::new();
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let dead = gone.expect("an address");
    let dial = servers.start("s-2", &[RESPONDS_OK]);
    let hosts = [endpoint_entry("s-1", dead, 1, "ready"), endpoint_entry("s-2", dial, 2, "ready")];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start("refused", discovery.address, &hosts);
    let mut client = node.client();
    for number in 0..6 {
        assert_eq!(client.exchange(&request_text(&format!("r{number}"), "pay", "20000m")).status(), 200);
    }
}

#[test]
fn a_server_that_never_answers_fails_the_request_by_its_deadline() {
    let (servers, _discovery, node) = with_one("silent", &[ServerBehavior::NeverRespond]);
    let begun = Instant::now();
    let answer = node.client().exchange(&request_text("a", "pay", "700m"));
    assert_eq!(answer.status(), 502, "a non-idempotent request that may have been executed is not rejected");
    assert!(begun.elapsed().as_millis() < 20_000, "the deadline is enforced");
    assert!(is_closed_in_time(&servers.next_request()), "the attempt is given up");
    servers.assert_no_more_requests();
}

/// A stalled attempt is cancelled and its connection closed before the next attempt is written.
#[test]
fn two_attempts_of_a_request_are_never_in_flight_at_once() {
    let (servers, _discovery, node) = with_two("stalled", [1, 1], ServerBehavior::NeverRespond, RESPONDS_OK);
    for (number, class) in ["read", "submit"].into_iter().enumerate() {
        assert_eq!(node.client().exchange(&request_text(class, class, "20000m")).status(), 200);
        servers.next_request();
        // Whether the first attempt had ended shows when the second arrives.
        if number == 0 {
            assert!(servers.next_request().alone);
        }
    }
}

/// A connection that the server closed while it was idle is not used again: the request would end in a reset.
#[test]
fn an_idle_connection_that_the_server_closed_is_not_used_again() {
    let (servers, _discovery, node) = with_one("idle", &[RESPONDS_OK]);
    let mut client = node.client();
    assert_eq!(client.exchange(&request_text("a", "pay", "20000m")).status(), 200);
    let got = servers.next_request();
    got.stream.shutdown(std::net::Shutdown::Both).expect("it is open");
    // The edge node closes its side as soon as it sees the close.
    assert!(is_closed_in_time(&got));
    let answer = client.exchange(&request_text("b", "pay", "20000m"));
    assert_eq!((answer.status(), servers.next_request().connection), (200, 1));
}

#[test]
fn endpoint_lists_are_applied_in_order_and_a_broken_watch_is_reopened() {
    let servers = FakeServers::new();
    let one = servers.start("s-1", &[RESPONDS_OK]);
    let two = servers.start("s-2", &[RESPONDS_OK]);
    let three = servers.start("s-3", &[RESPONDS_OK]);
    let hosts = [endpoint_entry("s-1", one, 1, "ready")];
    let discovery = FakeDiscovery::start(&hosts);
    let node = EdgeNode::start("list", discovery.address, &hosts);
    let mut client = node.client();
    let mut number = 0;
    let mut until = |name: &str| {
        // Once a change is visible, it has to last.
        let mut held = 0;
        while held < 10 {
            number += 1;
            assert_eq!(client.exchange(&request_text(&format!("r{number}"), "read", "20000m")).status(), 200);
            let server = servers.next_request().server;
            assert!(held == 0 || server == name, "{server} after {name}");
            held += u32::from(server == name);
        }
    };
    until("s-1");
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    // A change: one server drains, another is added.
    let changed = [endpoint_entry("s-1", one, 1, "draining"), endpoint_entry("s-2", two, 2, "ready")];
    send_list(&mut watch, &endpoint_list(2, false, &changed));
    until("s-2");
    // The watch breaks within a line; the last list stays in use, and the next watch begins with a snapshot.
    discovery.set_list(endpoint_list(2, true, &changed));
    watch.write_all(b"14\r\n{\"seq\":3,").expect("open");
    watch.shutdown(std::net::Shutdown::Both).expect("open");
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    until("s-2");
    // An outdated change is ignored; a server that is missing from a snapshot is gone.
    send_list(
        &mut watch,
        &endpoint_list(
            1,
            false,
            &[endpoint_entry("s-2", two, 2, "gone"), endpoint_entry("s-1", one, 1, "ready")],
        ),
    );
    send_list(&mut watch, &endpoint_list(4, true, &[endpoint_entry("s-3", three, 3, "ready")]));
    until("s-3");
    // The server's address changes.
    let moved = servers.start("s-3 moved", &[RESPONDS_OK]);
    send_list(&mut watch, &endpoint_list(5, false, &[endpoint_entry("s-3", moved, 3, "ready")]));
    until("s-3 moved");
}

/// SIGHUP ends a process that has no handler for it. The new discovery numbers its lists from the start again, and the
/// last list stays in use until the new discovery has sent one.
#[test]
fn sighup_changes_to_the_discovery_address_in_the_file() {
    let (servers, old, mut node) = with_one("reload", &[RESPONDS_OK]);
    let (asked, mut before) = old.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    let serves = |client: &mut Client, id: &str| {
        assert_eq!(client.exchange(&request_text(id, "read", "20000m")).status(), 200);
        servers.next_request().server
    };
    let mut client = node.client();
    // An invalid configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    // Waits for each reload: a signal that is handled late would read the next file, and change the address twice.
    node.wait_for_log("the old configuration stays");
    assert_eq!(serves(&mut client, "a"), "s-1");
    node.reload(|text| format!("{{{text}"));
    node.wait_for_log("reloaded");
    let new = FakeDiscovery::silent();
    let (from, to) = (old.address.to_string(), new.address.to_string());
    node.reload(|text| text.replace(&from, &to));
    let (asked, mut watch) = new.next_watch();
    assert!(asked.contains("watch=1") && !asked.contains("from"), "{asked}");
    // The old watch is closed at once.
    let mut rest = Vec::new();
    before.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    std::io::Read::read_to_end(&mut before, &mut rest).expect("the old watch ends");
    assert_eq!(serves(&mut client, "b"), "s-1");
    let two = servers.start("s-2", &[RESPONDS_OK]);
    watch.write_all(WATCH_RESPONSE_HEAD.as_bytes()).expect("open");
    send_list(&mut watch, &endpoint_list(1, true, &[endpoint_entry("s-2", two, 2, "ready")]));
    let mut number = 0;
    while serves(&mut client, &format!("c{number}")) != "s-2" {
        number += 1;
    }
    node.terminate();
    // A reload during the shutdown is harmless.
    node.reload(|text| text);
    assert!(node.wait().success());
}

#[test]
fn peers_get_datagrams_and_malformed_ones_are_ignored() {
    let (_servers, _discovery, mut node) = with_one("peers", &[RESPONDS_OK]);
    let mut client = node.client();
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    for noise in [&[0xff; 1400][..], &[], &[4], &[4, 0, 1], &[4, 1, 0, 0, 9, 9], &[3, 0, 1], &[7; 256]] {
        node.peer.send_to(noise, node.datagrams).expect("sent");
        stranger.send_to(noise, node.datagrams).expect("sent");
    }
    for number in 0..3 {
        assert_eq!(client.exchange(&request_text(&format!("r{number}"), "read", "20000m")).status(), 200);
        let mut buffer = [0; 2000];
        let (length, from) = node.peer.recv_from(&mut buffer).expect("the peer is told");
        assert!(length <= 256 && from == node.datagrams);
    }
    assert!(node.is_running());
}

/// Each of three hundred peers is identified by its address alone, and an answer goes to the peer that asked.
#[test]
fn peers_are_identified_by_address_and_strangers_are_ignored() {
    let socket = || std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (last, stranger) = (socket(), socket());
    last.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stranger.set_nonblocking(true).expect("it does not wait");
    let address = last.local_addr().expect("an address");
    // Peers 2 to 298 have addresses where nobody listens.
    let nobody = (2..299).map(|number| format!(r#""127.1.{}.{}:9","#, number / 250, 1 + number % 250));
    let peers = nobody.collect::<String>() + &format!(r#""{address}"],"known""#);
    let many = |config: String| {
        config.replace(r#""balancers":2"#, r#""balancers":300"#).replace(r#"],"known""#, &format!(",{peers}"))
    };
    let servers = FakeServers::new();
    let hosts = [endpoint_entry("s-1", servers.start("s-1", &[RESPONDS_OK]), 1, "ready")];
    let node = EdgeNode::start_with("senders", FakeDiscovery::start(&hosts).address, &hosts, many);
    // A lease request for a customer whose only gateway is the node: version, kind, sequence, customer, plan, owner, first
    // gateway, gateway count, units, none requested on lease, none returned, and no health report.
    let ask = |serial: u8| {
        [[4, 1, serial, 0].as_slice(), &[9, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 16, 0], &[0; 6], &[0; 2]].concat()
    };
    let mut answer = [0; 2000];
    for (serial, asker) in [(2, &node.peer), (3, &last)] {
        stranger.send_to(&ask(1), node.datagrams).expect("sent");
        asker.send_to(&ask(serial), node.datagrams).expect("sent");
        asker.recv_from(&mut answer).expect("the asker is answered");
        assert_eq!(answer[..5], [4, 2, serial, 0, 0], "granted");
        // The stranger's request was received before the one that has been answered.
        assert!(stranger.recv_from(&mut answer).is_err(), "nobody answers a stranger");
    }
}

#[test]
fn a_customer_over_its_quota_is_rejected_at_once() {
    let (servers, _discovery, node) = with_one("quota", &[RESPONDS_OK]);
    let mut client = node.client();
    let tiny = |id: &str| request_text(id, "read", "25000m").replace("X-Tier: p", "X-Tier: tiny");
    assert_eq!(client.exchange(&tiny("a")).status(), 200);
    servers.next_request();
    let begun = Instant::now();
    let mut refused = client.exchange(&tiny("b"));
    for number in 0..3 {
        refused = client.exchange(&tiny(&format!("c{number}")));
    }
    assert_eq!(refused.status(), 503);
    let advice: f64 = refused.header("retry-after").parse().expect("seconds");
    assert!(advice > 0.0 && advice < 60.0, "{advice}");
    assert!(begun.elapsed().as_secs() < 20, "a rejection does not wait for the deadline");
}

#[test]
fn sigterm_completes_the_requests_that_were_accepted() {
    let (servers, _discovery, mut node) = with_one("term", &[ServerBehavior::NeverRespond, RESPONDS_OK]);
    let (mut held, mut idle) = (node.client(), node.client());
    assert_eq!(idle.exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    held.send(&request_text("a", "read", "20000m"));
    let got = servers.next_request();
    node.terminate();
    // New connections are still accepted for a while, and closed after their answer.
    let late = loop {
        let answer = node.client().exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!((late.status(), late.header("connection")), (503, "close"));
    let answer = idle.exchange(&request_text("b", "read", "20000m"));
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    idle.assert_closed();
    let mut stream = got.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still in flight");
    let answer = held.read_response().expect("an accepted request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(node.wait().success());
}

/// The connection of a client that sends nothing, or stops within a request, is closed.
#[test]
fn connections_of_silent_clients_are_closed() {
    let (servers, _discovery, node) = with_one("silence", &[RESPONDS_OK]);
    let whole = request_text("a", "submit", "20000m");
    let (half_head, half_body) = (&whole[..60], &whole[..whole.len() - 2]);
    for words in ["", half_head, half_body] {
        let mut client = node.client();
        client.stream.set_read_timeout(Some(TEST_TIMEOUT / 3)).expect("a time-out");
        client.send(words);
        if let Some(answer) = client.read_response() {
            assert_eq!(answer.status(), 400);
        }
        client.assert_closed();
    }
    servers.assert_no_more_requests();
}
