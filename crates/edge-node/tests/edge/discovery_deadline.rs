//! A change has to be known 6 s after discovery had it, whatever failed in between. The drain grace
//! is so long here that a fraction of it exceeds the timeouts of the tests: only the upper bounds
//! of timeouts and backoffs bring the next attempt.

use super::request_sequence::RequestSequence;
use super::support::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

fn with_long_drain_grace(config: String) -> String {
    config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":600000000"#)
}

/// One server, a discovery that sends nothing by itself, and an edge node.
struct Setup {
    servers: FakeServers,
    /// The entry of the server.
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

    /// A list of one server that is new.
    fn list_with_new_server(&self) -> String {
        let address = self.servers.start("new", &[RESPONDS_OK]);
        endpoint_list(9, true, &[endpoint_entry("new", address, 2, "ready")])
    }

    /// Answers the next watch with a new server, and waits until requests are sent to it.
    fn next_watch_is_applied(&self) {
        let (_, mut watch) = self.discovery.next_watch();
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("open");
        send_list(&mut watch, &self.list_with_new_server());
        self.wait_for_new_server();
    }

    /// Sends requests until one arrives at the new server; from then on all do.
    fn wait_for_new_server(&self) {
        RequestSequence::new(&self.node, &self.servers).wait_until_received_by("new");
    }
}

/// Handles two watches in this way, each of which the edge node has to give up; the third one is
/// answered.
fn assert_given_up(tag: &str, handle: impl Fn(&mut TcpStream, &[String])) {
    let setup = Setup::start(tag);
    let mut open = Vec::new();
    for _ in 0..2 {
        let (_, mut watch) = setup.discovery.next_watch();
        handle(&mut watch, &setup.entries);
        open.push(watch);
    }
    setup.next_watch_is_applied();
}

#[test]
fn an_attempt_that_is_accepted_and_not_answered_is_given_up() {
    assert_given_up("t-silent", |_, _| {});
}

#[test]
fn an_answer_that_stops_in_its_head_is_given_up() {
    assert_given_up("t-head", |watch, _| {
        watch
            .write_all(&WATCH_RESPONSE_HEAD.as_bytes()[..30])
            .expect("open");
    });
}

#[test]
fn an_answer_without_a_list_is_given_up() {
    assert_given_up("t-empty", |watch, _| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("open");
    });
}

#[test]
fn a_list_that_stops_half_way_is_given_up() {
    assert_given_up("t-half", |watch, entries| {
        let text = endpoint_list(2, true, entries);
        let half = &text[..text.len() / 2];
        watch
            .write_all(format!("{WATCH_RESPONSE_HEAD}{:x}\r\n{half}\r\n", half.len()).as_bytes())
            .expect("open");
    });
}

/// Heartbeats on a watch that brings no list must not keep it.
#[test]
fn heartbeats_without_a_list_are_given_up() {
    assert_given_up("t-life", |watch, _| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("open");
        let mut watch = watch.try_clone().expect("a clone");
        std::thread::spawn(move || {
            // Ends with the edge node's side of the connection.
            while watch.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(std::time::Duration::from_millis(200));
            }
        });
    });
}

#[test]
fn a_watch_that_falls_silent_after_its_list_is_given_up() {
    assert_given_up("t-fallen", |watch, entries| {
        watch
            .write_all(WATCH_RESPONSE_HEAD.as_bytes())
            .expect("open");
        send_list(watch, &endpoint_list(2, true, entries));
    });
}

/// Rejected, closed and malformed by turns, so often that backoffs have grown to their longest.
#[test]
fn attempts_that_fail_in_every_way_are_made_again() {
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
            watch.write_all(response.as_bytes()).expect("open");
            watch.shutdown(Shutdown::Both).expect("open");
        }
    }
    setup.next_watch_is_applied();
}

/// SIGHUP, during an attempt that hangs and during a backoff, opens a watch at the address in the
/// file at once.
#[test]
fn sighup_during_an_attempt_or_a_backoff_reconnects_immediately() {
    let setup = Setup::start("t-hup");
    let (_, hanging) = setup.discovery.next_watch();
    let new = FakeDiscovery::silent();
    let (from, to) = (setup.discovery.address.to_string(), new.address.to_string());
    setup.node.reload(|text| text.replace(&from, &to));
    let (_, closed) = new.next_watch();
    // The attempt on the next signal gets it, or the one after the backoff if that is over first.
    new.set_list(setup.list_with_new_server());
    closed.shutdown(Shutdown::Both).expect("open");
    setup.node.reload(|text| text);
    setup.wait_for_new_server();
    drop(hanging);
}
