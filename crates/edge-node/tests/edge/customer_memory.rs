//! Tests that the state of customers stays below the memory limit, however many names clients use.

use super::body_memory::{assert_below_memory_limit, start_with_descriptors, READINESS_REQUEST};
use super::support::*;
use std::io::{Read, Write};
use std::thread;

/// Number of customers, whose state took more than the memory limit before it was limited.
const CUSTOMERS: usize = 70_000;
const DESCRIPTORS: usize = 256;

/// Returns a request of a customer that is answered at once, because its time has passed.
fn request_of_customer(customer: usize) -> String {
    request_text(&format!("c{customer}"), "read", "1u")
        .replace("00000000b4d65521", &format!("{customer:016x}"))
}

/// Guards against a client that sends requests under ever new names at full speed, each of which
/// adds an account that is kept for a minute.
#[test]
fn requests_of_ever_new_customers_stay_below_memory_limit() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let node = start_with_descriptors("names", &discovery, &entries, DESCRIPTORS);
    let served = node
        .client()
        .exchange(&request_text("known-1", "read", "20000m"));
    assert_eq!(served.status(), 200);
    let mut client = node.client();
    let mut writer = client.stream.try_clone().expect("socket is cloned");
    let answers = thread::spawn(move || {
        let mut answers = vec![0; 64 * 1024];
        while client
            .stream
            .read(&mut answers)
            .is_ok_and(|length| length > 0)
        {}
    });
    for customer in 0..CUSTOMERS {
        let request = request_of_customer(customer);
        writer
            .write_all(request.as_bytes())
            .expect("connection is open");
    }
    writer
        .shutdown(std::net::Shutdown::Write)
        .expect("connection is open");
    answers.join().expect("the answers are read");
    assert_eq!(node.client().exchange(READINESS_REQUEST).status(), 200);
    assert_below_memory_limit(&node, "many customers");
    let served = node
        .client()
        .exchange(&request_text("known-2", "read", "20000m"));
    assert_eq!(served.status(), 200);
}
