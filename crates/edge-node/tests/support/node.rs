//! The edge node under test, as a process of its own.

use super::client::Client;
use super::configuration::{write_config_file, PlatformConfig};
use super::fake_discovery::endpoint_list;
use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-node");
/// Variables by which the platform overrides configurations.
const PLATFORM_VARIABLES: [&str; 4] = ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"];

/// The program with these arguments, and without any variable of the platform.
pub(crate) fn edge_node_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments);
    without_platform_variables(command)
}

/// The program under a limit on its descriptors that the machine enforces.
fn command_with_descriptor_limit(descriptors: usize) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args([
        "-c",
        &format!("ulimit -n {descriptors} && exec \"$0\""),
        PROGRAM,
    ]);
    without_platform_variables(command)
}

fn without_platform_variables(mut command: Command) -> Command {
    for name in PLATFORM_VARIABLES {
        command.env_remove(name);
    }
    command
}

/// Starts the program with a configuration in the form of the platform; it may fail. Returns the
/// process and the path of the configuration.
pub(crate) fn spawn_edge_node(tag: &str, config: &str) -> (Child, PathBuf) {
    spawn_with_config(edge_node_command(&[]), tag, config)
}

fn spawn_with_config(mut command: Command, tag: &str, config: &str) -> (Child, PathBuf) {
    let path = write_config_file(&format!("{tag}.json"), config);
    let child = command
        .env("LB_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    (child, path)
}

/// An edge node that runs. Dropping it kills the process and removes its configuration.
pub(crate) struct EdgeNode {
    child: Child,
    /// Where it listens for clients.
    pub(crate) address: SocketAddr,
    /// The socket of its only peer, which the test plays.
    pub(crate) peer_socket: UdpSocket,
    /// The address of its own datagrams.
    pub(crate) datagram_address: SocketAddr,
    config: PathBuf,
    /// Its log after the first line.
    log: Receiver<String>,
}

impl EdgeNode {
    /// Starts one that knows these servers and follows this discovery.
    pub(crate) fn start(tag: &str, discovery: SocketAddr, entries: &[String]) -> EdgeNode {
        EdgeNode::start_with_edited_config(tag, discovery, entries, |config| config)
    }

    /// Starts one that may have this many descriptors, by its configuration and by a limit of the
    /// machine.
    pub(crate) fn start_with_descriptor_limit(
        tag: &str,
        discovery: SocketAddr,
        entries: &[String],
        descriptors: usize,
    ) -> EdgeNode {
        let limited = format!(r#""sockets":{descriptors}"#);
        let edit = |config: String| config.replace(r#""sockets":1024"#, &limited);
        EdgeNode::run(
            command_with_descriptor_limit(descriptors),
            tag,
            discovery,
            entries,
            edit,
        )
    }

    /// Starts one after an edit of the text of its configuration.
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
        let peer_socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer_socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        // The port is free when its socket is closed here; another process could only take it in
        // the meantime.
        let free = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let datagram_address = free.expect("an address");
        let config = PlatformConfig {
            discovery,
            node_datagram_address: datagram_address,
            peer_datagram_address: peer_socket.local_addr().expect("an address"),
            known_list: &endpoint_list(1, true, entries),
        };
        let (child, config) = spawn_with_config(command, tag, &edit(config.text()));
        EdgeNode::wait_until_listening(child, config, peer_socket, datagram_address)
    }

    /// Starts one with a configuration in TOML, named on the command line. It has no peers.
    pub(crate) fn start_with_toml(tag: &str, config: &str) -> EdgeNode {
        let path = write_config_file(&format!("{tag}.toml"), config);
        let mut command = edge_node_command(&["serve", "--config"]);
        let child = command
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let peer_socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let datagram_address = peer_socket.local_addr().expect("an address");
        EdgeNode::wait_until_listening(
            child.expect("it starts"),
            path,
            peer_socket,
            datagram_address,
        )
    }

    /// Waits until a process says in the first line of its log where it listens.
    fn wait_until_listening(
        mut child: Child,
        config: PathBuf,
        peer_socket: UdpSocket,
        datagram_address: SocketAddr,
    ) -> EdgeNode {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let Some(address) = address_in(&line) else {
            // A process that goes on running would outlive its test.
            let _ = child.kill();
            panic!("it listens: {line}")
        };
        EdgeNode {
            child,
            address,
            peer_socket,
            datagram_address,
            config,
            log: follow_log(log),
        }
    }

    /// A new client with a connection of its own.
    pub(crate) fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).expect("the edge node accepts"))
    }

    /// Waits until the edge node logs a line with this text; returns the line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).expect("it says so");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the edge node has ended; returns the lines of its log that the test has not
    /// taken.
    pub(crate) fn remaining_log(&self) -> Vec<String> {
        self.log.iter().collect()
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process; what arrives meanwhile is there all at once when it is resumed.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Edits the text of the configuration, then sends SIGHUP.
    pub(crate) fn reload(&self, edit: impl FnOnce(String) -> String) {
        let text = self.config_text();
        let new = self.config.with_extension("new");
        std::fs::write(&new, edit(text)).expect("the configuration is written");
        std::fs::rename(new, &self.config).expect("the configuration is replaced");
        self.signal("-HUP");
    }

    /// The text of the configuration.
    pub(crate) fn config_text(&self) -> String {
        std::fs::read_to_string(&self.config).expect("the configuration is there")
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// How many descriptors the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        descriptors.expect("it runs").count()
    }

    /// Waits until the process has ended.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Whether the process still runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state is known").is_none()
    }
}

impl Drop for EdgeNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The last address in a line of the log, which may be text or JSON.
fn address_in(line: &str) -> Option<SocketAddr> {
    let words = line.split(|letter: char| !letter.is_ascii_digit() && !".:".contains(letter));
    words.rev().find_map(|word| word.parse().ok())
}

/// Reads a log to its end on a thread of its own, whether or not the test takes the lines: a full
/// pipe would stop the edge node.
fn follow_log(log: BufReader<ChildStderr>) -> Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            // The test may have ended.
            let _ = sender.send(line);
        }
    });
    lines
}
