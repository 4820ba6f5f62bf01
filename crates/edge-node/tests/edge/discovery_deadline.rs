//! Tests that the edge node learns of a change within 6 s after discovery does, whatever fails in
//! between. The drain grace is so long here that a fraction of it exceeds [`TEST_TIMEOUT`], so the
//! next attempt comes in time only because timeouts and backoffs have upper bounds.

use super::request_sequence::RequestSequence;
use super::support::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

fn with_long_drain_grace(config: String) -> String {
    config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":600000000"#)
}

/// One server, a discovery agent that sends nothing by itself, and an edge node.
struct Setup {
    servers: FakeServers,
    /// The endpoint list entry of the server.
    entries: Vec<String>,
    discovery: FakeDiscovery,
    node: EdgeNode,
}

impl Setup {
    fn start(tag: &str) -> Setup {
        let servers = FakeServers::new();
        let entries = vec![servers.start_returning_entry("s-1", &[RESPONDS_OK])];
        let discovery = FakeDiscovery::silent();
        let node = EdgeNode::start_with_edited_config(
            tag,
            discovery.address,
            &entries,
            with_long_drain_grace,
        );
        Setup {
            servers,
            entries,
            discovery,
            node,
        }
    }

    /// Starts a new server. Returns an endpoint list that contains only this server.
    fn list_with_new_server(&self) -> String {
        let address = self.servers.start("new", &[RESPONDS_OK]);
        endpoint_list(9, true, &[endpoint_entry("new", address, 2, "ready")])
    }

    /// Responds to the next watch with the list of a new server, and waits until requests are sent
    /// to that server.
    fn assert_next_watch_is_applied(&self) {
        let (_, mut watch) = self.discovery.next_watch();
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("watch is open");
        send_list(&mut watch, &self.list_with_new_server());
        self.wait_for_new_server();
    }

    /// Sends requests until one arrives at the new server. All further requests go there, too.
    fn wait_for_new_server(&self) {
        RequestSequence::new(&self.node, &self.servers).wait_until_received_by("new");
    }
}

/// Handles two watches with `handle` and expects the edge node to give up both. Responds to the
/// third watch with a list, which the edge node has to apply.
fn assert_watches_given_up(tag: &str, handle: impl Fn(&mut TcpStream, &[String])) {
    let setup = Setup::start(tag);
    let mut open_watches = Vec::new();
    for _ in 0..2 {
        let (_, mut watch) = setup.discovery.next_watch();
        handle(&mut watch, &setup.entries);
        open_watches.push(watch);
    }
    setup.assert_next_watch_is_applied();
}

#[test]
fn watch_without_response_is_given_up() {
    assert_watches_given_up("t-silent", |_, _| {});
}

#[test]
fn watch_with_incomplete_response_head_is_given_up() {
    assert_watches_given_up("t-head", |watch, _| {
        watch
            .write_all(&WATCH_RESPONSE_HEAD.as_bytes()[..30])
            .expect("watch is open");
    });
}

#[test]
fn watch_with_response_head_but_no_list_is_given_up() {
    assert_watches_given_up("t-empty", |watch, _| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("watch is open");
    });
}

#[test]
fn watch_with_incomplete_list_is_given_up() {
    assert_watches_given_up("t-half", |watch, entries| {
        let text = endpoint_list(2, true, entries);
        let half = &text[..text.len() / 2];
        watch
            .write_all(format!("{WATCH_RESPONSE_HEAD}{:x}\r\n{half}\r\n", half.len()).as_bytes())
            .expect("watch is open");
    });
}

/// Heartbeats must not keep a watch open that sends no list.
#[test]
fn watch_with_heartbeats_but_no_list_is_given_up() {
    assert_watches_given_up("t-life", |watch, _| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("watch is open");
        let mut watch = watch.try_clone().expect("socket is cloned");
        std::thread::spawn(move || {
            // Ends when the edge node closes the connection.
            while watch.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(std::time::Duration::from_millis(200));
            }
        });
    });
}

#[test]
fn watch_without_heartbeats_after_list_is_given_up() {
    assert_watches_given_up("t-fallen", |watch, entries| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("watch is open");
        send_list(watch, &endpoint_list(2, true, entries));
    });
}

/// Rejects, closes and garbles watches in turn until the backoff has reached its maximum.
#[test]
fn watch_is_reopened_after_repeated_failures_of_every_kind() {
    let setup = Setup::start("t-every");
    let malformed = endpoint_list(2, true, &setup.entries).replace("\"seq\"", "seq");
    for _ in 0..3 {
        for response in [
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 3600\r\n\r\n".to_owned(),
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "noise\r\n\r\n".to_owned(),
            String::new(),
            format!("{WATCH_RESPONSE_HEAD}{}", list_chunk(&malformed)),
        ] {
            let (_, mut watch) = setup.discovery.next_watch();
            watch.write_all(response.as_bytes()).expect("watch is open");
            watch.shutdown(Shutdown::Both).expect("watch is open");
        }
    }
    setup.assert_next_watch_is_applied();
}

/// SIGHUP during an attempt without response, and during a backoff, opens a watch at the configured
/// address immediately.
#[test]
fn sighup_during_attempt_or_backoff_reconnects_immediately() {
    let setup = Setup::start("t-hup");
    let (_, unanswered_watch) = setup.discovery.next_watch();
    let new_discovery = FakeDiscovery::silent();
    let (old_address, new_address) = (
        setup.discovery.address.to_string(),
        new_discovery.address.to_string(),
    );
    setup
        .node
        .reload(|text| text.replace(&old_address, &new_address));
    let (_, closed_watch) = new_discovery.next_watch();
    // The list is sent on the watch that the next SIGHUP opens, or on the one after the backoff if
    // the backoff ends first.
    new_discovery.set_list(setup.list_with_new_server());
    closed_watch
        .shutdown(Shutdown::Both)
        .expect("watch is open");
    setup.node.reload(|text| text);
    setup.wait_for_new_server();
    drop(unanswered_watch);
}
