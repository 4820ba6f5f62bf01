//! Messages of HTTP/1.1, as both ends of a connection read them.

use std::collections::HashMap;
use std::io::BufRead;

/// A message of HTTP/1.1 with a body of known length.
#[derive(Clone, Debug)]
pub(crate) struct HttpMessage {
    /// The request line or the status line.
    pub(crate) start_line: String,
    /// The headers by their names in lower case.
    pub(crate) headers: HashMap<String, String>,
    /// The body; empty if there is none.
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// Reads one message; `None` at the end of the connection, or where the message is cut off.
    pub(crate) fn read(stream: &mut impl BufRead) -> Option<HttpMessage> {
        let start_line = read_line(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = read_line(stream)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(HttpMessage {
            start_line,
            headers,
            body,
        })
    }

    /// The value of a header, by its name in lower case; empty if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response.
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status")
    }
}

/// A line without its end; `None` at the end of the connection.
fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    stream
        .read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    Some(line.trim_end().to_owned())
}
