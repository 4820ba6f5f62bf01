//! The edge node under test, which runs as a separate process.

use super::client::Client;
use super::configuration::{write_config_file, PlatformConfig};
use super::fake_discovery::endpoint_list;
use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-node");
/// Environment variables with which the platform names the configuration file and overrides its
/// values.
const PLATFORM_VARIABLES: [&str; 4] = ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"];

/// Returns a command that runs the program with these arguments and without the platform's
/// environment variables.
pub(crate) fn edge_node_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments);
    remove_platform_variables(command)
}

/// Returns a command that runs the program with a limit on file descriptors that the operating
/// system enforces.
fn command_with_descriptor_limit(descriptors: usize) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args([
        "-c",
        &format!("ulimit -n {descriptors} && exec \"$0\""),
        PROGRAM,
    ]);
    remove_platform_variables(command)
}

fn remove_platform_variables(mut command: Command) -> Command {
    for name in PLATFORM_VARIABLES {
        command.env_remove(name);
    }
    command
}

/// Starts the program with a configuration in the JSON format of the platform. Returns the process,
/// which may exit with an error, and the path of the configuration file.
pub(crate) fn spawn_edge_node(tag: &str, config: &str) -> (Child, PathBuf) {
    spawn_with_config(edge_node_command(&[]), tag, config)
}

fn spawn_with_config(mut command: Command, tag: &str, config: &str) -> (Child, PathBuf) {
    let path = write_config_file(&format!("{tag}.json"), config);
    let child = command
        .env("LB_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("edge node starts");
    (child, path)
}

/// A running edge node. Dropping it kills the process and removes its configuration file.
pub(crate) struct EdgeNode {
    child: Child,
    /// Address on which the edge node listens for clients.
    pub(crate) address: SocketAddr,
    /// Socket with which the test acts as the edge node's only peer. An edge node that was started
    /// by [`EdgeNode::start_with_toml`] does not know this peer.
    pub(crate) peer_socket: UdpSocket,
    /// Address on which the edge node receives datagrams from peers; unused by an edge node that
    /// was started by [`EdgeNode::start_with_toml`].
    pub(crate) datagram_address: SocketAddr,
    config_path: PathBuf,
    /// Lines of the log after the first line, which contains `address`.
    log: Receiver<String>,
}

impl EdgeNode {
    /// Starts an edge node whose configuration contains this discovery address and an endpoint list
    /// with these entries. `tag` is part of the name of the configuration file and must be unique
    /// within the test target.
    pub(crate) fn start(tag: &str, discovery: SocketAddr, entries: &[String]) -> EdgeNode {
        EdgeNode::start_with_edited_config(tag, discovery, entries, |config| config)
    }

    /// Starts an edge node whose number of file descriptors is limited both by its configuration
    /// and by the operating system.
    pub(crate) fn start_with_descriptor_limit(
        tag: &str,
        discovery: SocketAddr,
        entries: &[String],
        descriptors: usize,
    ) -> EdgeNode {
        let limited_sockets = format!(r#""sockets":{descriptors}"#);
        let edit = |config: String| config.replace(r#""sockets":1024"#, &limited_sockets);
        EdgeNode::run(
            command_with_descriptor_limit(descriptors),
            tag,
            discovery,
            entries,
            edit,
        )
    }

    /// Starts an edge node into which the dynamic linker loads this library first.
    pub(crate) fn start_with_preloaded_library(
        tag: &str,
        discovery: SocketAddr,
        entries: &[String],
        library: &Path,
    ) -> EdgeNode {
        let mut command = edge_node_command(&[]);
        command.env("LD_PRELOAD", library);
        EdgeNode::run(command, tag, discovery, entries, |config| config)
    }

    /// Starts an edge node with the configuration text that `edit` returns. The argument of `edit`
    /// is the text that [`EdgeNode::start`] uses.
    pub(crate) fn start_with_edited_config(
        tag: &str,
        discovery: SocketAddr,
        entries: &[String],
        edit: impl FnOnce(String) -> String,
    ) -> EdgeNode {
        EdgeNode::run(edge_node_command(&[]), tag, discovery, entries, edit)
    }

    fn run(
        command: Command,
        tag: &str,
        discovery: SocketAddr,
        entries: &[String],
        edit: impl FnOnce(String) -> String,
    ) -> EdgeNode {
        let peer_socket = UdpSocket::bind("127.0.0.1:0").expect("free port");
        peer_socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout is set");
        // The socket is closed here, which frees the port for the edge node. Another process may
        // bind the port before the edge node does.
        let free_address = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let datagram_address = free_address.expect("local address");
        let config = PlatformConfig {
            discovery,
            node_datagram_address: datagram_address,
            peer_datagram_address: peer_socket.local_addr().expect("local address"),
            known_list: &endpoint_list(1, true, entries),
        };
        let (child, config_path) = spawn_with_config(command, tag, &edit(config.text()));
        EdgeNode::wait_until_listening(child, config_path, peer_socket, datagram_address)
    }

    /// Starts an edge node with a TOML configuration, whose path is passed on the command line.
    pub(crate) fn start_with_toml(tag: &str, config: &str) -> EdgeNode {
        let path = write_config_file(&format!("{tag}.toml"), config);
        let mut command = edge_node_command(&["serve", "--config"]);
        let child = command
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let peer_socket = UdpSocket::bind("127.0.0.1:0").expect("free port");
        let datagram_address = peer_socket.local_addr().expect("local address");
        EdgeNode::wait_until_listening(
            child.expect("edge node starts"),
            path,
            peer_socket,
            datagram_address,
        )
    }

    /// Waits for the first line of the log, which contains the address on which the process listens
    /// for clients.
    fn wait_until_listening(
        mut child: Child,
        config_path: PathBuf,
        peer_socket: UdpSocket,
        datagram_address: SocketAddr,
    ) -> EdgeNode {
        let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("log line");
        let Some(address) = last_address(&line) else {
            // Otherwise the process would outlive its test.
            let _ = child.kill();
            panic!("first log line must contain an address: {line}")
        };
        EdgeNode {
            child,
            address,
            peer_socket,
            datagram_address,
            config_path,
            log: forward_log(log),
        }
    }

    /// Connects a new client to the edge node.
    pub(crate) fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).expect("edge node accepts the connection"))
    }

    /// Waits until the edge node logs a line that contains this text. Returns the line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let line = self
                .log
                .recv_timeout(deadline.saturating_duration_since(Instant::now()))
                .expect("edge node logs the text");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the edge node has exited. Returns the log lines that
    /// [`wait_for_log`](Self::wait_for_log) has not consumed.
    pub(crate) fn remaining_log(&self) -> Vec<String> {
        self.log.iter().collect()
    }

    /// Sends SIGTERM to the process.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process. When it is resumed, all data that arrived in the meantime is available
    /// at once.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Continues the process after [`suspend`](Self::suspend).
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file with the text that `edit` returns for the current text, then
    /// sends SIGHUP.
    pub(crate) fn reload(&self, edit: impl FnOnce(String) -> String) {
        let text = self.config_text();
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, edit(text)).expect("configuration is written");
        std::fs::rename(new_path, &self.config_path).expect("configuration is replaced");
        self.signal("-HUP");
    }

    /// Returns the text of the configuration file.
    pub(crate) fn config_text(&self) -> String {
        std::fs::read_to_string(&self.config_path).expect("configuration is readable")
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(
            kill.expect("kill command runs").success(),
            "signal {name} was not sent"
        );
    }

    /// Returns the number of open file descriptors of the process.
    pub(crate) fn open_descriptors(&self) -> usize {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        descriptors.expect("process is running").count()
    }

    /// Returns the highest resident memory that the process has had so far, in KiB.
    pub(crate) fn peak_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("process is running");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|value| value.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse().ok())
            .expect("status contains the peak memory")
    }

    /// Waits until the process has exited. Returns its exit status.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("process exits")
    }

    /// Returns whether the process is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("process status").is_none()
    }
}

impl Drop for EdgeNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Returns the last address in a log line, which may be in text or JSON format.
fn last_address(line: &str) -> Option<SocketAddr> {
    let parts =
        line.split(|character: char| !character.is_ascii_digit() && !".:".contains(character));
    parts.rev().find_map(|part| part.parse().ok())
}

/// Starts a thread that reads the log to its end, even if the test takes no lines: a full pipe
/// would block the edge node. Returns the receiver of the lines.
fn forward_log(log: BufReader<ChildStderr>) -> Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            // The receiver no longer exists if the test has ended.
            let _ = sender.send(line);
        }
    });
    lines
}
