//! The incremental reader of a watch: JSON objects, each on one line or many, with empty lines as
//! heartbeats between them. It takes bytes in whatever pieces they arrive, keeps what is incomplete
//! and passes over what can't be read.
//!
//! Neither a line codec nor `serde_json`'s stream of values serves here: an object may span lines,
//! and of a malformed one the entries that can be read have to be applied, as drains may be among
//! them.

use crate::endpoint_list::{EndpointEntry, EndpointList};

/// Longest list in bytes. It bounds the memory that a list without an end takes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// What has arrived on a watch.
#[derive(Debug, PartialEq)]
pub(super) enum WatchMessage {
    /// An empty line: discovery is alive and has no change to report.
    Heartbeat,
    /// A list that could be read.
    List(EndpointList),
    /// Something else, and the entries that could be read within it.
    Malformed(Vec<EndpointEntry>),
}

/// Splits the bytes of a watch into messages.
#[derive(Default)]
pub(super) struct ListReader {
    /// The object whose end has not arrived, or the line that is not one.
    buffer: Vec<u8>,
    /// How many brackets and braces are open outside strings.
    depth: usize,
    /// The state within a string; `None` outside of one.
    string: Option<StringState>,
}

/// The state of a reader within a JSON string.
#[derive(Clone, Copy, PartialEq)]
enum StringState {
    /// The next byte stands for itself, or ends the string.
    Plain,
    /// The last byte was a backslash.
    Escaped,
}

impl ListReader {
    /// Whether something has begun whose end has not arrived.
    pub(super) fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes these bytes in; returns the messages that they complete, in order.
    pub(super) fn read(&mut self, bytes: &[u8]) -> Vec<WatchMessage> {
        let mut messages = Vec::new();
        for byte in bytes {
            messages.extend(self.read_byte(*byte));
            if self.buffer.len() > MAX_LIST_BYTES {
                messages.push(self.discard_malformed());
            }
        }
        messages
    }

    /// Gives up the message that has begun and is not complete; returns the entries that can be
    /// read within it.
    pub(super) fn discard_partial(&mut self) -> Vec<EndpointEntry> {
        let reader = std::mem::take(self);
        readable_entries(&reader.buffer)
    }

    fn discard_malformed(&mut self) -> WatchMessage {
        WatchMessage::Malformed(self.discard_partial())
    }

    fn read_byte(&mut self, byte: u8) -> Option<WatchMessage> {
        if let Some(state) = self.string {
            self.buffer.push(byte);
            self.string = state.after(byte);
            return None;
        }
        if self.depth == 0 {
            return self.read_between_objects(byte);
        }
        self.read_within_object(byte)
    }

    /// Outside any object: white space, or noise up to the end of its line.
    fn read_between_objects(&mut self, byte: u8) -> Option<WatchMessage> {
        match byte {
            b'\n' if self.buffer.is_empty() => Some(WatchMessage::Heartbeat),
            b'\n' => Some(self.discard_malformed()),
            b'{' => {
                let noise = self.has_partial_message().then(|| self.discard_malformed());
                self.depth = 1;
                self.buffer.push(byte);
                noise
            }
            _ if byte.is_ascii_whitespace() && self.buffer.is_empty() => None,
            _ => {
                self.buffer.push(byte);
                None
            }
        }
    }

    /// Within an object and outside its strings.
    fn read_within_object(&mut self, byte: u8) -> Option<WatchMessage> {
        self.buffer.push(byte);
        match byte {
            b'"' => self.string = Some(StringState::Plain),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth > 0 {
            return None;
        }
        let object = std::mem::take(&mut self.buffer);
        Some(parse_object(&object))
    }
}

impl StringState {
    /// The state after the next byte; `None` if that ends the string.
    fn after(self, byte: u8) -> Option<StringState> {
        match (self, byte) {
            (StringState::Plain, b'\\') => Some(StringState::Escaped),
            (StringState::Plain, b'"') => None,
            _ => Some(StringState::Plain),
        }
    }
}

/// An object whose brackets are closed, as a message.
fn parse_object(object: &[u8]) -> WatchMessage {
    match serde_json::from_slice::<EndpointList>(object) {
        // A list that had entries and none that can be read would otherwise be taken for one
        // without servers.
        Ok(list) if !list.entries.has_malformed || !list.entries.readable.is_empty() => {
            WatchMessage::List(list)
        }
        _ => WatchMessage::Malformed(readable_entries(object)),
    }
}

/// The entries that can be read within a text that can't be read as a whole.
fn readable_entries(text: &[u8]) -> Vec<EndpointEntry> {
    let mut entries = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.iter().position(|byte| *byte == b'{') {
        let mut objects = serde_json::Deserializer::from_slice(&rest[start..]).into_iter();
        let length = match objects.next() {
            Some(Ok(entry)) => {
                entries.push(entry);
                objects.byte_offset()
            }
            // No entry begins here; the next one may begin within it.
            _ => 1,
        };
        rest = &rest[start + length..];
    }
    entries
}

#[cfg(test)]
#[path = "../../tests/unit/list_reader.rs"]
mod tests;
