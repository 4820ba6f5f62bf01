//! The edge node under test, as a process of its own.

use super::client::Client;
use super::configuration::{written, SETTINGS};
use super::fake_discovery::list;
use super::PATIENCE;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// An edge node that runs, with its peers' and its own datagrams' addresses.
pub(crate) struct Node {
    child: Child,
    pub(crate) address: SocketAddr,
    /// Where the peer's datagrams come in, and the node's.
    pub(crate) peer: UdpSocket,
    pub(crate) datagrams: SocketAddr,
    config: std::path::PathBuf,
    /// Its log after the first line.
    said: Receiver<String>,
}

const PROGRAM: &str = env!("CARGO_BIN_EXE_edge-node");

/// The program with these arguments, and without any variable of the platform's.
pub(crate) fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(arguments);
    without_variables(command)
}

/// The program under a limit on its descriptors that the machine enforces.
fn limited(sockets: usize) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &format!("ulimit -n {sockets} && exec \"$0\""), PROGRAM]);
    without_variables(command)
}

fn without_variables(mut command: Command) -> Command {
    for key in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(key);
    }
    command
}

/// Starts the program with a configuration; it may fail.
pub(crate) fn start(tag: &str, config: &str) -> (Child, std::path::PathBuf) {
    launch(program(&[]), tag, config)
}

fn launch(mut command: Command, tag: &str, config: &str) -> (Child, std::path::PathBuf) {
    let path = written(&format!("{tag}.json"), config);
    let child = command.env("LB_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("it starts");
    (child, path)
}

impl Node {
    pub(crate) fn start(tag: &str, discovery: SocketAddr, hosts: &[String]) -> Node {
        Node::with(tag, discovery, hosts, |config| config)
    }

    /// Starts one that may hold so many descriptors, by its configuration and by the machine.
    pub(crate) fn with_sockets(tag: &str, discovery: SocketAddr, hosts: &[String], sockets: usize) -> Node {
        let some = format!(r#""sockets":{sockets}"#);
        let change = |config: String| config.replace(r#""sockets":1024"#, &some);
        Node::run(limited(sockets), tag, discovery, hosts, change)
    }

    /// Starts one whose configuration is changed in its text.
    pub(crate) fn with(
        tag: &str, discovery: SocketAddr, hosts: &[String], change: impl FnOnce(String) -> String,
    ) -> Node {
        Node::run(program(&[]), tag, discovery, hosts, change)
    }

    fn run(
        command: Command, tag: &str, discovery: SocketAddr, hosts: &[String],
        change: impl FnOnce(String) -> String,
    ) -> Node {
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        // A port that was free a moment ago; another process would have to take it just now.
        let free = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let datagrams = free.expect("an address");
        let known = list(1, true, hosts);
        let peer_address = peer.local_addr().expect("an address");
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{datagrams}","peers":["{datagrams}","{peer_address}"],"known":{known},"settings":{SETTINGS}}}"#
        );
        let (child, config) = launch(command, tag, &change(config));
        Node::of(child, config, peer, datagrams)
    }

    /// Starts one under a configuration of people, told by the command line. It has no peers.
    pub(crate) fn of_people(tag: &str, config: &str) -> Node {
        let path = written(&format!("{tag}.toml"), config);
        let child =
            program(&["serve", "--config"]).arg(&path).stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let datagrams = peer.local_addr().expect("an address");
        Node::of(child.expect("it starts"), path, peer, datagrams)
    }

    /// One that was started just now, once it listens.
    fn of(mut child: Child, config: std::path::PathBuf, peer: UdpSocket, datagrams: SocketAddr) -> Node {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        // The line may be text or JSON.
        let words = line.split(|letter: char| !letter.is_ascii_digit() && !".:".contains(letter));
        let Some(address) = words.rev().find_map(|word| word.parse().ok()) else {
            // Guards against one that outlives its test.
            let _ = child.kill();
            panic!("it listens: {line}")
        };
        let (tell, said) = mpsc::channel();
        // Read to its end, whoever listens: a full pipe would stop the edge node.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| drop(tell.send(line))));
        Node { child, address, peer, datagrams, config, said }
    }

    pub(crate) fn client(&self) -> Client {
        Client::on(TcpStream::connect(self.address).expect("the edge node accepts"))
    }

    /// Waits until the edge node has logged these words; the line with them.
    pub(crate) fn says(&self, words: &str) -> String {
        loop {
            let line = self.said.recv_timeout(PATIENCE).expect("it says so");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// What it has logged after its first line and was not looked at, once it has ended.
    pub(crate) fn said(&self) -> Vec<String> {
        self.said.iter().collect()
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Has the machine hold the process where it is; what comes meanwhile comes in one moment.
    pub(crate) fn stop(&self) {
        self.signal("-STOP");
    }

    pub(crate) fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Puts another text in place of its configuration, then has it read again.
    pub(crate) fn reload(&self, change: impl FnOnce(String) -> String) {
        let text = self.configuration();
        let new = self.config.with_extension("new");
        std::fs::write(&new, change(text)).expect("the configuration is written");
        std::fs::rename(new, &self.config).expect("the configuration is replaced");
        self.signal("-HUP");
    }

    /// The text of its configuration.
    pub(crate) fn configuration(&self) -> String {
        std::fs::read_to_string(&self.config).expect("the configuration is there")
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// How many descriptors it holds.
    pub(crate) fn descriptors(&self) -> usize {
        let held = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        held.expect("it runs").count()
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    pub(crate) fn runs(&mut self) -> bool {
        self.child.try_wait().expect("its state is known").is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
