//! What discovery has counts as told 6 s later, whatever failed in between. The grace for drains is so long here that
//! a part of it outlasts the tests' patience: nothing but the bounds themselves brings the next call.

use super::support::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

fn of_a_long_grace(config: String) -> String {
    config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":600000000"#)
}

/// One app server, a discovery that says nothing by itself, and an edge node.
fn follower(tag: &str) -> (Servers, Vec<String>, Discovery, Node) {
    let servers = Servers::new();
    let hosts = vec![host("s-1", servers.start("s-1", &[SERVES]), 1, "ready")];
    let discovery = Discovery::mute();
    let node = Node::with(tag, discovery.address, &hosts, of_a_long_grace);
    (servers, hosts, discovery, node)
}

/// The edge node is told of a server on this watch, and knows it.
fn is_told(servers: &Servers, node: &Node, mut watch: TcpStream) {
    watch.write_all(WATCH.as_bytes()).expect("open");
    write_list(&mut watch, &with_new(servers));
    knows_new(servers, node);
}

/// A list of one server that is new.
fn with_new(servers: &Servers) -> String {
    list(9, true, &[host("new", servers.start("new", &[SERVES]), 2, "ready")])
}

fn knows_new(servers: &Servers, node: &Node) {
    let mut client = node.client();
    let mut number = 0;
    let mut next = || {
        number += 1;
        assert_eq!(client.ask(&request(&format!("r{number}"), "read", "20000m")).status(), 200);
        servers.next().server
    };
    while next() != "new" {}
}

/// Plays what happens on two calls, each of which the edge node has to give up; the third one is answered.
fn given_up(tag: &str, plays: impl Fn(&mut TcpStream, &[String])) {
    let (servers, hosts, discovery, node) = follower(tag);
    let mut held = Vec::new();
    for _ in 0..2 {
        let (_, mut watch) = discovery.watch();
        plays(&mut watch, &hosts);
        held.push(watch);
    }
    is_told(&servers, &node, discovery.watch().1);
}

#[test]
fn a_call_that_is_accepted_and_silent_is_given_up() {
    given_up("t-silent", |_, _| {});
}

#[test]
fn an_answer_that_stops_in_its_head_is_given_up() {
    given_up("t-head", |watch, _| watch.write_all(&WATCH.as_bytes()[..30]).expect("open"));
}

#[test]
fn an_answer_without_a_list_is_given_up() {
    given_up("t-empty", |watch, _| watch.write_all(WATCH.as_bytes()).expect("open"));
}

#[test]
fn a_list_that_stops_half_way_is_given_up() {
    given_up("t-half", |watch, hosts| {
        let text = list(2, true, hosts);
        let half = &text[..text.len() / 2];
        watch.write_all(format!("{WATCH}{:x}\r\n{half}\r\n", half.len()).as_bytes()).expect("open");
    });
}

/// Danger: signs of life on a watch that tells nothing.
#[test]
fn signs_of_life_without_a_list_are_given_up() {
    given_up("t-life", |watch, _| {
        watch.write_all(WATCH.as_bytes()).expect("open");
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
    given_up("t-fallen", |watch, hosts| {
        watch.write_all(WATCH.as_bytes()).expect("open");
        write_list(watch, &list(2, true, hosts));
    });
}

/// Refused, broken off and spoilt by turns, so often that pauses have grown to their longest.
#[test]
fn calls_that_fail_in_every_way_are_made_again() {
    let (servers, hosts, discovery, node) = follower("t-every");
    let spoilt = list(2, true, &hosts).replace("\"seq\"", "seq");
    for _ in 0..3 {
        for words in [
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 3600\r\n\r\n".to_owned(),
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "noise\r\n\r\n".to_owned(),
            String::new(),
            format!("{WATCH}{}", line(&spoilt)),
        ] {
            let (_, mut watch) = discovery.watch();
            watch.write_all(words.as_bytes()).expect("open");
            watch.shutdown(Shutdown::Both).expect("open");
        }
    }
    is_told(&servers, &node, discovery.watch().1);
}

/// SIGHUP, in the middle of a call that hangs and in a pause, goes to the address in the file at once.
#[test]
fn sighup_in_the_midst_of_a_call_or_a_pause_calls_at_once() {
    let (servers, _hosts, old, node) = follower("t-hup");
    let (_, hangs) = old.watch();
    let new = Discovery::mute();
    let (from, to) = (old.address.to_string(), new.address.to_string());
    node.reload(|text| text.replace(&from, &to));
    let (_, refused) = new.watch();
    // The call on the next signal is told, or the one after the pause if that is over first.
    new.holds(with_new(&servers));
    refused.shutdown(Shutdown::Both).expect("open");
    node.reload(|text| text);
    knows_new(&servers, &node);
    drop(hangs);
}
