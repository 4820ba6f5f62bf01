//! Tests startup: 90 % of restarted processes must be ready within 10 s, whatever discovery does
//! and even if another process still uses their addresses.

use super::support::*;
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Time limit that the requirement sets for a process to become ready.
const READY_TIME_LIMIT: Duration = Duration::from_secs(10);
/// Number of processes that start at the same time.
const PROCESS_COUNT: usize = 4;

/// Starts a discovery agent that handles each connection with `handle` on a thread of its own.
/// Returns the agent's address.
fn start_discovery(
    handle: impl Fn(&mut std::net::TcpStream) + Clone + Send + 'static,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(&mut stream));
        }
    });
    address
}

/// Panics unless all processes are ready within the time limit. The drain grace is so long that a
/// wait for a fraction of it would exceed the limit.
fn assert_ready_in_time(tag: &str, discovery: std::net::SocketAddr) {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let with_long_drain_grace = |config: String| {
        config.replace(r#""drainGraceUs":20000000"#, r#""drainGraceUs":600000000"#)
    };
    let started_at = Instant::now();
    let start = |number| {
        EdgeNode::start_with_edited_config(
            &format!("{tag}-{number}"),
            discovery,
            &entries,
            with_long_drain_grace,
        )
    };
    let nodes: Vec<_> = (0..PROCESS_COUNT).map(start).collect();
    for node in &nodes {
        let mut client = node.client();
        client
            .stream
            .set_read_timeout(Some(READY_TIME_LIMIT))
            .expect("read timeout is set");
        assert_eq!(
            client
                .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                .status(),
            200,
            "{tag}"
        );
    }
    assert!(
        started_at.elapsed() < READY_TIME_LIMIT,
        "{tag}: {:?}",
        started_at.elapsed()
    );
}

#[test]
fn processes_are_ready_in_time_while_discovery_is_silent() {
    assert_ready_in_time(
        "s-silent",
        start_discovery(|_| std::thread::sleep(TEST_TIMEOUT)),
    );
}

#[test]
fn processes_are_ready_in_time_while_discovery_is_slow() {
    assert_ready_in_time(
        "s-slow",
        start_discovery(|stream| {
            // Sends a list byte by byte for longer than startup may take.
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
fn processes_are_ready_in_time_while_discovery_rejects_watches_or_is_down() {
    let rejection = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 3600\r\n\r\n";
    assert_ready_in_time(
        "s-busy",
        start_discovery(|stream| {
            let _ = HttpMessage::read(&mut std::io::BufReader::new(&*stream));
            let _ = stream.write_all(rejection);
        }),
    );
    let refusing = RefusingAddress::reserve();
    assert_ready_in_time("s-down", refusing.address);
}

/// A process that exits because its address is still in use would be counted as a crash, so it has
/// to wait for the address.
#[test]
fn process_waits_for_addresses_in_use() {
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let mut old_node = EdgeNode::start("s-before", discovery.address, &entries);
    let (listen_address, datagram_address) = (
        old_node.address.to_string(),
        old_node.datagram_address.to_string(),
    );
    let with_old_addresses = |config: String| {
        let peer_listen = config
            .split(r#""peer_listen":""#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let peer_listen = peer_listen.expect("peer_listen address").to_owned();
        config
            .replace(&peer_listen, &datagram_address)
            .replace("127.0.0.1:0", &listen_address)
    };
    std::thread::scope(|scope| {
        let new_node = scope.spawn(|| {
            EdgeNode::start_with_edited_config(
                "s-after",
                discovery.address,
                &entries,
                with_old_addresses,
            )
        });
        // By now the new process has found the addresses in use, or it will bind them only after
        // the old process has exited.
        std::thread::sleep(Duration::from_millis(300));
        old_node.terminate();
        assert!(old_node.wait().success());
        let new_node = new_node.join().expect("new process listens");
        assert_eq!(new_node.address.to_string(), listen_address);
        assert_eq!(
            new_node
                .client()
                .exchange(&request_text("a", "pay", "20000m"))
                .status(),
            200
        );
    });
}

/// If an address stays in use, the process exits within a bounded time, and the error names the
/// address.
#[test]
fn process_exits_with_error_if_address_stays_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    let servers = FakeServers::new();
    let entries = [servers.start_returning_entry("s-1", &[RESPONDS_OK])];
    let discovery = FakeDiscovery::start(&entries);
    let node = EdgeNode::start("s-free", discovery.address, &entries);
    let config = node
        .config_text()
        .replace("127.0.0.1:0", &address.to_string());
    drop(node);
    let (child, path) = spawn_edge_node("s-held", &config);
    let output = child.wait_with_output().expect("process exits");
    let _ = std::fs::remove_file(path);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && error.lines().count() == 1,
        "{error}"
    );
    assert!(error.contains(&format!("listen {address}")), "{error}");
}

#[test]
fn invalid_configuration_is_reported_in_one_line_at_startup() {
    for (number, config) in ["", "{}", "{\"name\":1}", "[]"].into_iter().enumerate() {
        let (child, path) = spawn_edge_node(&format!("config-{number}"), config);
        let output = child.wait_with_output().expect("process exits");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.lines().count() == 1,
            "{config}: {error}"
        );
    }
}
