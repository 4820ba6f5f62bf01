//! Fake servers: each follows the behaviors that the test sets, and hands the received requests to
//! the test.

use super::fake_discovery::endpoint_entry;
use super::http::HttpMessage;
use super::pieces::Pieces;
use super::TEST_TIMEOUT;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// How a server handles a request.
#[derive(Clone, Debug)]
pub(crate) enum ServerBehavior {
    /// Sends this response and keeps the connection open.
    Respond(&'static str),
    /// Sends this response in pieces and keeps the connection open.
    RespondInPieces(&'static str, Pieces),
    /// Sends this text, which may be an incomplete response or empty, and closes the connection.
    RespondAndClose(&'static str),
    /// Sends nothing and keeps the connection open.
    NeverRespond,
}

/// Responds with status 200 and a body.
pub(crate) const RESPONDS_OK: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks");
/// Responds with status 500, after which the request may have been executed.
pub(crate) const RESPONDS_ERROR: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
/// Responds with status 503 and a header which states that the request was not executed.
pub(crate) const RESPONDS_OVERLOADED: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

/// A request that a server has received completely.
pub(crate) struct ReceivedRequest {
    pub(crate) server: String,
    /// The request with its headers and body.
    pub(crate) message: HttpMessage,
    /// Number of the connection at this server, from 0.
    pub(crate) connection: usize,
    /// Whether no earlier attempt of the request was still open.
    pub(crate) is_only_open_attempt: bool,
    /// The connection on which the request arrived.
    pub(crate) stream: TcpStream,
}

/// The behaviors for the next requests, one per request; the last one is used for all further
/// requests.
pub(crate) type SharedBehaviors = Arc<Mutex<Vec<ServerBehavior>>>;

/// An attempt to which the server never responds.
struct UnansweredAttempt {
    request_id: String,
    stream: TcpStream,
}

type UnansweredAttempts = Arc<Mutex<Vec<UnansweredAttempt>>>;

/// A group of servers whose received requests go to the test through one queue.
pub(crate) struct FakeServers {
    requests: Receiver<ReceivedRequest>,
    request_sender: Sender<ReceivedRequest>,
    unanswered: UnansweredAttempts,
}

impl FakeServers {
    /// Creates a group without servers.
    pub(crate) fn new() -> FakeServers {
        let (request_sender, requests) = mpsc::channel();
        FakeServers {
            requests,
            request_sender,
            unanswered: Arc::default(),
        }
    }

    /// Starts a server with its own behaviors. Returns the server's address.
    pub(crate) fn start(&self, name: &str, behaviors: &[ServerBehavior]) -> SocketAddr {
        self.start_with_shared_behaviors(name, &Arc::new(Mutex::new(behaviors.to_vec())))
    }

    /// Starts a server with its own behaviors. Returns an endpoint list entry that reports the
    /// server as ready.
    pub(crate) fn start_returning_entry(&self, name: &str, behaviors: &[ServerBehavior]) -> String {
        endpoint_entry(name, self.start(name, behaviors), 1, "ready")
    }

    /// Starts a server that takes its behaviors from a sequence shared with other servers. Returns
    /// the server's address.
    pub(crate) fn start_with_shared_behaviors(
        &self,
        name: &str,
        behaviors: &SharedBehaviors,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("local address");
        self.serve(listener, name, behaviors);
        address
    }

    /// Starts a server on a listener. It takes its behaviors from a sequence shared with other
    /// servers.
    pub(crate) fn serve(&self, listener: TcpListener, name: &str, behaviors: &SharedBehaviors) {
        let server = FakeServer {
            name: name.to_owned(),
            behaviors: Arc::clone(behaviors),
            request_sender: self.request_sender.clone(),
            unanswered: Arc::clone(&self.unanswered),
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(connection, stream));
            }
        });
    }

    /// Waits for the next request. Panics if an earlier attempt of the request is still open.
    pub(crate) fn next_request(&self) -> ReceivedRequest {
        let request = self
            .requests
            .recv_timeout(TEST_TIMEOUT)
            .expect("request arrives at a server");
        assert!(
            request.is_only_open_attempt,
            "two attempts of a request must not be open at once"
        );
        request
    }

    /// Takes and returns all received requests that the test has not yet taken.
    pub(crate) fn unseen_requests(&self) -> Vec<ReceivedRequest> {
        self.requests.try_iter().collect()
    }

    /// Panics if a request has arrived that the test has not yet taken.
    pub(crate) fn assert_no_more_requests(&self) {
        assert!(self.requests.try_recv().is_err(), "unexpected request");
    }
}

/// A server of a group. Each of its connections is served by a clone on a thread of its own.
#[derive(Clone)]
struct FakeServer {
    name: String,
    behaviors: SharedBehaviors,
    request_sender: Sender<ReceivedRequest>,
    unanswered: UnansweredAttempts,
}

impl FakeServer {
    /// Serves a connection until either side closes it.
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("socket is cloned"));
        while let Some(message) = HttpMessage::read(&mut reader) {
            let behavior = self.next_behavior();
            let is_only_open_attempt = self.register_attempt(&message, &behavior, &stream);
            let request = ReceivedRequest {
                server: self.name.clone(),
                message,
                connection,
                is_only_open_attempt,
                stream: stream.try_clone().expect("socket is cloned"),
            };
            // The receiver no longer exists if the test has ended.
            let _ = self.request_sender.send(request);
            respond(&behavior, &mut stream);
        }
    }

    fn next_behavior(&self) -> ServerBehavior {
        let mut behaviors = self.behaviors.lock().expect("mutex is not poisoned");
        if behaviors.len() > 1 {
            behaviors.remove(0)
        } else {
            behaviors[0].clone()
        }
    }

    /// Returns whether no earlier attempt of the request is still open. Records the attempt if the
    /// server will never respond to it, so that later attempts can be checked against it.
    fn register_attempt(
        &self,
        message: &HttpMessage,
        behavior: &ServerBehavior,
        stream: &TcpStream,
    ) -> bool {
        let request_id = message.header("x-request-id").to_owned();
        let mut unanswered = self.unanswered.lock().expect("mutex is not poisoned");
        let mut earlier = unanswered
            .iter()
            .filter(|attempt| attempt.request_id == request_id);
        let is_only_open_attempt = earlier.all(|attempt| is_closed_now(&attempt.stream));
        if matches!(behavior, ServerBehavior::NeverRespond) {
            let stream = stream.try_clone().expect("socket is cloned");
            unanswered.push(UnansweredAttempt { request_id, stream });
        }
        is_only_open_attempt
    }
}

/// Executes a behavior on a connection. Ignores errors, as the edge node may have closed the
/// connection.
fn respond(behavior: &ServerBehavior, stream: &mut TcpStream) {
    match behavior {
        ServerBehavior::Respond(response) => {
            let _ = stream.write_all(response.as_bytes());
        }
        ServerBehavior::RespondInPieces(response, pieces) => {
            let _ = pieces.write(stream, response.as_bytes());
        }
        ServerBehavior::RespondAndClose(response) => {
            let _ = stream.write_all(response.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
        }
        ServerBehavior::NeverRespond => {}
    }
}

/// Waits for the edge node to close the connection of a request. Returns false if it sends further
/// data or keeps the connection open for [`TEST_TIMEOUT`].
pub(crate) fn is_closed_in_time(request: &ReceivedRequest) -> bool {
    request
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout is set");
    matches!(request.stream.peek(&mut [0]), Ok(0) | Err(_))
}

/// Returns whether the edge node has closed the connection, without waiting.
fn is_closed_now(stream: &TcpStream) -> bool {
    stream
        .set_nonblocking(true)
        .expect("non-blocking mode is set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("blocking mode is set");
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
