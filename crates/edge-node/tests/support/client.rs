//! Clients of the edge node under test.

use super::http::HttpMessage;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};

/// A client with one connection to the edge node.
pub(crate) struct Client {
    /// The client's side of the connection.
    pub(crate) stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Creates a client on an open connection.
    pub(crate) fn new(stream: TcpStream) -> Client {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout is set");
        let reader = BufReader::new(stream.try_clone().expect("socket is cloned"));
        Client { stream, reader }
    }

    /// Sends a text unchanged.
    pub(crate) fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("connection is open");
    }

    /// Waits for the next response; returns `None` if the connection ends first.
    pub(crate) fn read_response(&mut self) -> Option<HttpMessage> {
        HttpMessage::read(&mut self.reader)
    }

    /// Sends a request and waits for its response.
    pub(crate) fn exchange(&mut self, request: &str) -> HttpMessage {
        self.send(request);
        self.read_response().expect("complete response")
    }

    /// Closes the connection immediately. Dropping the client is not enough: a process that another
    /// test starts at the same time may inherit a copy of the socket, which keeps the connection
    /// open.
    pub(crate) fn close(self) {
        self.stream
            .shutdown(Shutdown::Both)
            .expect("connection is open");
    }

    /// Waits until the edge node closes the connection. Panics if any further data arrives.
    pub(crate) fn assert_closed(&mut self) {
        let mut rest = Vec::new();
        let read = self.reader.read_to_end(&mut rest);
        assert!(
            read.is_ok() && rest.is_empty(),
            "{read:?}: {:?}",
            String::from_utf8_lossy(&rest)
        );
    }
}

/// Returns the text of a request of a class, with the method of that class. `deadline` is the value
/// of the `X-Deadline` header.
pub(crate) fn request_text(id: &str, class: &str, deadline: &str) -> String {
    let (method, more_headers) = match class {
        "read" => ("GET", ""),
        "submit" => ("POST", "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "POST" { "time" } else { "" };
    format!(
        "{method} /{class}/00000000b4d65521?game=7 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: {deadline}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         {more_headers}\r\n{body}"
    )
}

/// Returns the text of a request without a body, with a class and a plan of the example
/// configuration.
pub(crate) fn example_read_request(id: &str, deadline: &str) -> String {
    request_text(id, "balance-read", deadline)
        .replace("POST", "GET")
        .replace("Tier: p", "Tier: premier")
        .replace("Content-Length: 4\r\n\r\ntime", "\r\n")
}
