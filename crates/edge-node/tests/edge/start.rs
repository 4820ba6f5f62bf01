//! Start-up: nine in ten restarted processes have to be ready within 10 s, whatever discovery does
//! and whichever process still holds their addresses.

use super::support::*;
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The requirement's own time limit.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Processes that start at the same time.
const PROCESSES: usize = 4;

/// A discovery agent that handles each connection in this way, on a thread of its own.
fn discovery(
    does: impl Fn(&mut std::net::TcpStream) + Clone + Send + 'static,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let does = does.clone();
            std::thread::spawn(move || does(&mut stream));
        }
    });
    address
}

/// All processes have to be ready within the limit. The drain grace is so long that a fraction of
/// it would exceed it.
fn assert_ready_in_time(tag: &str, discovery: std::net::SocketAddr) {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let long = |config: String| {
        config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":600000000"#)
    };
    let begun = Instant::now();
    let start = |number| {
        EdgeNode::start_with_edited_config(&format!("{tag}-{number}"), discovery, &hosts, long)
    };
    let nodes: Vec<_> = (0..PROCESSES).map(start).collect();
    for node in &nodes {
        let mut client = node.client();
        client
            .stream
            .set_read_timeout(Some(READY_WITHIN))
            .expect("a time-out");
        assert_eq!(
            client
                .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                .status(),
            200,
            "{tag}"
        );
    }
    assert!(
        begun.elapsed() < READY_WITHIN,
        "{tag}: {:?}",
        begun.elapsed()
    );
}

#[test]
fn processes_are_ready_in_time_while_discovery_is_silent() {
    assert_ready_in_time("s-silent", discovery(|_| std::thread::sleep(TEST_TIMEOUT)));
}

#[test]
fn processes_are_ready_in_time_while_discovery_is_slow() {
    assert_ready_in_time(
        "s-slow",
        discovery(|stream| {
            // A list that arrives byte by byte for longer than any start may take.
            let _ = stream.write_all(WATCH_RESPONSE_HEAD.as_bytes());
            let text = endpoint_list(2, true, &[]);
            for byte in text.bytes() {
                let _ = stream.write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
                std::thread::sleep(TEST_TIMEOUT / 60);
            }
        }),
    );
}

#[test]
fn processes_are_ready_in_time_while_discovery_refuses() {
    let busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 3600\r\n\r\n";
    assert_ready_in_time(
        "s-busy",
        discovery(|stream| {
            let _ = HttpMessage::read(&mut std::io::BufReader::new(&*stream));
            let _ = stream.write_all(busy);
        }),
    );
    let nobody = RefusingAddress::reserve();
    assert_ready_in_time("s-down", nobody.address);
}

/// A process that ended because its address is still in use would count as a crash, so it waits for
/// the address.
#[test]
fn a_process_waits_for_addresses_in_use() {
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let mut before = EdgeNode::start("s-before", discovery.address, &hosts);
    let (listen, datagrams) = (
        before.address.to_string(),
        before.datagram_address.to_string(),
    );
    let taken = |config: String| {
        let own = config
            .split(r#""peer_listen":""#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let own = own.expect("an address").to_owned();
        config
            .replace(&own, &datagrams)
            .replace("127.0.0.1:0", &listen)
    };
    std::thread::scope(|scope| {
        let after = scope.spawn(|| {
            EdgeNode::start_with_edited_config("s-after", discovery.address, &hosts, taken)
        });
        // By now the new process has found the addresses in use, or it binds them only after the
        // old one has ended.
        std::thread::sleep(Duration::from_millis(300));
        before.terminate();
        assert!(before.wait().success());
        let after = after.join().expect("it listens");
        assert_eq!(after.address.to_string(), listen);
        assert_eq!(
            after
                .client()
                .exchange(&request_text("a", "pay", "20000m"))
                .status(),
            200
        );
    });
}

/// An address that stays in use ends the process in bounded time, and the error names it.
#[test]
fn an_address_that_stays_in_use_ends_the_process_with_an_error() {
    let holds = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = holds.local_addr().expect("an address");
    let servers = FakeServers::new();
    let hosts = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&hosts);
    let free = EdgeNode::start("s-free", discovery.address, &hosts);
    let config = free
        .config_text()
        .replace("127.0.0.1:0", &address.to_string());
    drop(free);
    let (child, path) = spawn_edge_node("s-held", &config);
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && error.lines().count() == 1,
        "{error}"
    );
    assert!(error.contains(&format!("listen {address}")), "{error}");
}

#[test]
fn an_invalid_configuration_ends_the_start_with_one_plain_line() {
    for (number, config) in ["", "{}", "{\"name\":1}", "[]"].into_iter().enumerate() {
        let (child, path) = spawn_edge_node(&format!("config-{number}"), config);
        let output = child.wait_with_output().expect("it ends");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.lines().count() == 1,
            "{config}: {error}"
        );
    }
}
