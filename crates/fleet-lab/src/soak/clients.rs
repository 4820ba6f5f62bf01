//! Clients, each with one connection that it keeps for as long as the edge node does.

use super::http::{write_slowly, Message};
use super::records::{Ending, Records, DEADLINE};
use crate::world::{random_stream, Rng};
use rand::Rng as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// First part of the seed's random stream for clients; each client has a part of its own.
const FIRST_CLIENT_STREAM: u64 = 1000;
/// Time that a client waits for an answer: longer than an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3800);
/// Probability that a client rests for about as long as the edge node keeps idle connections.
const LONG_REST_PROBABILITY: f64 = 0.25;
/// Probability that a client rests between connecting and its first request.
const REST_BEFORE_FIRST_PROBABILITY: f64 = 0.1;
const SLOW_WRITE_PROBABILITY: f64 = 0.4;
/// Probability that a client closes its connection before the answer.
const LEAVE_PROBABILITY: f64 = 0.04;
/// Pieces in which a request is written slowly.
const PIECES: u32 = 3;
/// Pause before a client connects again after it could not.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Length of the part of a head that some idle clients send.
const PARTIAL_HEAD_BYTES: usize = 40;

/// A client that sends requests.
pub(super) struct Client {
    number: usize,
    address: SocketAddr,
    records: Rc<Records>,
    rng: Rng,
    sent: usize,
}

impl Client {
    pub(super) fn new(
        number: usize,
        seed: u64,
        address: SocketAddr,
        records: Rc<Records>,
    ) -> Client {
        Client {
            number,
            address,
            records,
            rng: random_stream(seed, FIRST_CLIENT_STREAM + number as u64),
            sent: 0,
        }
    }

    /// Sends requests until the task is aborted.
    pub(super) async fn run(mut self) {
        loop {
            match TcpStream::connect(self.address).await {
                Ok(stream) => self.use_connection(stream).await,
                Err(_) => sleep(RECONNECT_PAUSE).await,
            }
        }
    }

    /// Sends requests on a connection until it ends.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        // The connection also works without the option.
        let _ = stream.set_nodelay(true);
        let mut is_first = true;
        loop {
            // Most clients connect when they have a request.
            if !is_first || self.rng.random_bool(REST_BEFORE_FIRST_PROBABILITY) {
                sleep(self.draw_rest()).await;
            }
            is_first = false;
            let id = format!("c{}-{}", self.number, self.sent);
            self.sent += 1;
            if !self.exchange(&mut stream, &id).await {
                return;
            }
        }
    }

    fn draw_rest(&mut self) -> Duration {
        let millis = if self.rng.random_bool(LONG_REST_PROBABILITY) {
            self.rng.random_range(1800..2300)
        } else {
            self.rng.random_range(5..200)
        };
        Duration::from_millis(millis)
    }

    /// Sends a request and records how it ends. Returns whether the connection stays open.
    async fn exchange(&mut self, stream: &mut TcpStream, id: &str) -> bool {
        let is_safe = self.rng.random_bool(0.6);
        let request = request_text(id, is_safe);
        self.records.request_begins(id, is_safe);
        let write_time = if self.rng.random_bool(SLOW_WRITE_PROBABILITY) {
            Duration::from_millis(self.rng.random_range(50..450))
        } else {
            Duration::ZERO
        };
        let written = write_slowly(stream, &request, PIECES, write_time).await;
        if written.is_err() {
            self.records.request_ended(id, Ending::ConnectionEnded);
            return false;
        }
        self.records.request_written(id);
        if self.rng.random_bool(LEAVE_PROBABILITY) {
            sleep(Duration::from_millis(self.rng.random_range(0..100))).await;
            self.records.request_ended(id, Ending::ClientLeft);
            return false;
        }
        self.receive_answer(stream, id).await
    }

    async fn receive_answer(&self, stream: &mut TcpStream, id: &str) -> bool {
        let answer = timeout(ANSWER_TIMEOUT, Message::read(stream)).await;
        let ending = match &answer {
            Err(_) => Ending::NoAnswer,
            Ok(None) => Ending::ConnectionEnded,
            Ok(Some(answer)) if answer.status() == 200 && answer.body != id.as_bytes() => {
                Ending::Foreign
            }
            Ok(Some(answer)) => Ending::Answered(answer.status()),
        };
        self.records.request_ended(id, ending);
        let keeps_alive = |answer: &Message| answer.header("connection") != "close";
        matches!(answer, Ok(Some(answer)) if keeps_alive(&answer))
    }
}

/// Holds a connection on which nothing, or only a part of a head, is sent, and opens it again when
/// it is closed.
pub(super) async fn run_idle(number: usize, address: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            if number.is_multiple_of(3) {
                let part = &request_text("idle", true)[..PARTIAL_HEAD_BYTES];
                let _ = stream.write_all(part.as_bytes()).await;
            }
            while Message::read(&mut stream).await.is_some() {}
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

fn request_text(id: &str, is_safe: bool) -> String {
    let (method, class, body) = if is_safe {
        ("GET", "read", "")
    } else {
        ("POST", "pay", "Content-Length: 4\r\n\r\ntime")
    };
    let end = if is_safe { "\r\n" } else { "" };
    format!(
        "{method} /{class}/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: {}m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n{end}{body}",
        DEADLINE.as_millis()
    )
}
