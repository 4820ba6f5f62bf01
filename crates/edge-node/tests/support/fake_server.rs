//! Stand-ins for servers: each behaves as its test says and reports the requests that arrive.

use super::fake_discovery::endpoint_entry;
use super::http::HttpMessage;
use super::TEST_TIMEOUT;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum ServerBehavior {
    /// Sends this response and keeps the connection open.
    Respond(&'static str),
    /// Sends this, which may be part of a response or nothing, and closes the connection.
    RespondAndClose(&'static str),
    /// Sends nothing and keeps the connection open.
    NeverRespond,
}

/// Responds with status 200 and a body.
pub(crate) const RESPONDS_OK: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks");
/// Responds with status 500: the request may have been executed.
pub(crate) const RESPONDS_ERROR: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
/// Responds with status 503 and says that the request was not executed.
pub(crate) const RESPONDS_OVERLOADED: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

/// A whole request that has arrived at a server.
pub(crate) struct ReceivedRequest {
    /// The name of the server.
    pub(crate) server: String,
    /// The request.
    pub(crate) message: HttpMessage,
    /// The number of its connection at this server, from 0.
    pub(crate) connection: usize,
    /// No earlier attempt of the request was still open.
    pub(crate) is_only_open_attempt: bool,
    /// The connection on which it arrived.
    pub(crate) stream: TcpStream,
}

/// The behaviors for the next requests, one each; the last stays in force.
pub(crate) type SharedBehaviors = Arc<Mutex<Vec<ServerBehavior>>>;

/// An attempt to which its server never responds.
struct UnansweredAttempt {
    request_id: String,
    stream: TcpStream,
}

type UnansweredAttempts = Arc<Mutex<Vec<UnansweredAttempt>>>;

/// A group of servers, whose requests arrive at the test in one queue.
pub(crate) struct FakeServers {
    requests: Receiver<ReceivedRequest>,
    report: Sender<ReceivedRequest>,
    unanswered: UnansweredAttempts,
}

impl FakeServers {
    /// A group without servers.
    pub(crate) fn new() -> FakeServers {
        let (report, requests) = mpsc::channel();
        FakeServers {
            requests,
            report,
            unanswered: Arc::default(),
        }
    }

    /// Starts a server with behaviors of its own; returns its address.
    pub(crate) fn start(&self, name: &str, behaviors: &[ServerBehavior]) -> SocketAddr {
        self.start_with_shared_behaviors(name, &Arc::new(Mutex::new(behaviors.to_vec())))
    }

    /// Starts a server with behaviors of its own; returns its entry of an endpoint list, by which
    /// it is ready.
    pub(crate) fn start_returning_entry(&self, name: &str, behaviors: &[ServerBehavior]) -> String {
        endpoint_entry(name, self.start(name, behaviors), 1, "ready")
    }

    /// Starts a server that takes its behaviors from a sequence shared with others; returns its
    /// address.
    pub(crate) fn start_with_shared_behaviors(
        &self,
        name: &str,
        behaviors: &SharedBehaviors,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = FakeServer {
            name: name.to_owned(),
            behaviors: Arc::clone(behaviors),
            report: self.report.clone(),
            unanswered: Arc::clone(&self.unanswered),
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(connection, stream));
            }
        });
        address
    }

    /// Waits for the next request. Fails if an earlier attempt of it is still open.
    pub(crate) fn next_request(&self) -> ReceivedRequest {
        let request = self
            .requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request arrives at a server");
        assert!(
            request.is_only_open_attempt,
            "two attempts of a request are open at once"
        );
        request
    }

    /// All requests that have arrived and that the test has not taken.
    pub(crate) fn unseen_requests(&self) -> Vec<ReceivedRequest> {
        self.requests.try_iter().collect()
    }

    /// Fails if a request has arrived that the test has not taken.
    pub(crate) fn assert_no_more_requests(&self) {
        assert!(self.requests.try_recv().is_err(), "one attempt too many");
    }
}

#[derive(Clone)]
struct FakeServer {
    name: String,
    behaviors: SharedBehaviors,
    report: Sender<ReceivedRequest>,
    unanswered: UnansweredAttempts,
}

impl FakeServer {
    /// Serves a connection until either side closes it.
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(message) = HttpMessage::read(&mut reader) {
            let behavior = self.next_behavior();
            let is_only_open_attempt = self.register_attempt(&message, &behavior, &stream);
            let request = ReceivedRequest {
                server: self.name.clone(),
                message,
                connection,
                is_only_open_attempt,
                stream: stream.try_clone().expect("a clone"),
            };
            // The test may have ended.
            let _ = self.report.send(request);
            respond(&behavior, &mut stream);
        }
    }

    fn next_behavior(&self) -> ServerBehavior {
        let mut behaviors = self.behaviors.lock().expect("no panic");
        if behaviors.len() > 1 {
            behaviors.remove(0)
        } else {
            behaviors[0].clone()
        }
    }

    /// Whether no earlier attempt of the request is still open. One that will not be answered is
    /// kept for the same question about later ones.
    fn register_attempt(
        &self,
        message: &HttpMessage,
        behavior: &ServerBehavior,
        stream: &TcpStream,
    ) -> bool {
        let request_id = message.header("x-request-id").to_owned();
        let mut unanswered = self.unanswered.lock().expect("no panic");
        let mut earlier = unanswered
            .iter()
            .filter(|attempt| attempt.request_id == request_id);
        let is_only_open_attempt = earlier.all(|attempt| is_closed_now(&attempt.stream));
        if matches!(behavior, ServerBehavior::NeverRespond) {
            let stream = stream.try_clone().expect("a clone");
            unanswered.push(UnansweredAttempt { request_id, stream });
        }
        is_only_open_attempt
    }
}

/// The edge node may have closed the connection, so errors are ignored.
fn respond(behavior: &ServerBehavior, stream: &mut TcpStream) {
    match behavior {
        ServerBehavior::Respond(response) => {
            let _ = stream.write_all(response.as_bytes());
        }
        ServerBehavior::RespondAndClose(response) => {
            let _ = stream.write_all(response.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
        }
        ServerBehavior::NeverRespond => {}
    }
}

/// Waits for the edge node to close the connection of a request; false if it sends more or keeps it
/// open.
pub(crate) fn is_closed_in_time(request: &ReceivedRequest) -> bool {
    request
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    matches!(request.stream.peek(&mut [0]), Ok(0) | Err(_))
}

fn is_closed_now(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a mode");
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
