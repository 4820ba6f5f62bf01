//! HTTP/1.1 messages, as fake servers and clients read them.

use std::collections::HashMap;
use std::io::BufRead;

/// An HTTP/1.1 message whose body length is given by `Content-Length`.
#[derive(Clone, Debug)]
pub(crate) struct HttpMessage {
    /// The request line or status line, without the line end.
    pub(crate) start_line: String,
    /// The header values by lower-case header name.
    pub(crate) headers: HashMap<String, String>,
    /// The body; empty if the message has none.
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// Reads one message; returns `None` if the connection ends before the message is complete.
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
            .map_or(0, |length| length.parse().expect("valid Content-Length"));
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(HttpMessage {
            start_line,
            headers,
            body,
        })
    }

    /// Returns the value of a header; empty if the header is absent. `name` must be in lower case.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code of a response. Panics if this is a request.
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("valid status line")
    }
}

/// Reads a line and returns it without trailing white space; `None` at the end of the connection.
fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    stream
        .read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    Some(line.trim_end().to_owned())
}
