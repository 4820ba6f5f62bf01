//! Messages over HTTP/1.1, as clients and servers of a run read them.

use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

const READ_BYTES: usize = 4096;

/// A message whose body length is given by `Content-Length`.
pub(super) struct Message {
    head: String,
    pub(super) body: Vec<u8>,
    /// When the first byte was read.
    pub(super) first_byte_at: Instant,
}

impl Message {
    /// Reads a message; returns `None` if the connection ends first.
    pub(super) async fn read(stream: &mut TcpStream) -> Option<Message> {
        let mut received = Vec::new();
        let mut first_byte_at = None;
        loop {
            if let Some(message) = parse(&received, first_byte_at) {
                return Some(message);
            }
            let mut buffer = [0; READ_BYTES];
            let length = stream.read(&mut buffer).await.unwrap_or(0);
            if length == 0 {
                return None;
            }
            first_byte_at.get_or_insert_with(Instant::now);
            received.extend_from_slice(&buffer[..length]);
        }
    }

    /// Returns the value of a header, whose name is in lower case; empty if it is absent.
    pub(super) fn header(&self, name: &str) -> &str {
        header(&self.head, name)
    }

    /// Returns the status of a response; 0 if it cannot be read.
    pub(super) fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn parse(received: &[u8], first_byte_at: Option<Instant>) -> Option<Message> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let length: usize = header(&head, "content-length").parse().unwrap_or(0);
    let body = received.get(end..end + length)?.to_vec();
    Some(Message {
        head,
        body,
        first_byte_at: first_byte_at?,
    })
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value.trim())
}

/// Writes a text in this many pieces, spread over `duration`.
pub(super) async fn write_slowly(
    stream: &mut TcpStream,
    text: &str,
    pieces: u32,
    duration: Duration,
) -> io::Result<()> {
    use tokio::io::AsyncWriteExt;
    let piece_bytes = text.len().div_ceil(pieces as usize);
    for (number, piece) in text.as_bytes().chunks(piece_bytes).enumerate() {
        if number > 0 {
            tokio::time::sleep(duration / pieces).await;
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}
