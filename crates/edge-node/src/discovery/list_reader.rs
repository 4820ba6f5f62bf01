//! An incremental parser for the body of a watch: JSON objects, each on one or more lines, with
//! empty lines between them as heartbeats. Bytes may arrive in chunks of any size. An incomplete
//! object is buffered, and unreadable text is skipped.
//!
//! Neither a line codec nor `serde_json`'s stream deserializer can be used: an object may span
//! lines, and the readable entries of a malformed object must be applied, because a draining
//! server may be among them.

use crate::endpoint_list::{EndpointEntry, EndpointList};

/// Maximum length of a list in bytes, which bounds the memory that a list without an end can use.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// A message that was read from a watch.
#[derive(Debug, PartialEq)]
pub(super) enum WatchMessage {
    /// An empty line, which discovery sends while it has no change to report.
    Heartbeat,
    /// A list that is empty or has at least one readable entry.
    List(EndpointList),
    /// Text that is neither a heartbeat nor such a list, reduced to the readable entries in it.
    Malformed(Vec<EndpointEntry>),
}

/// A parser that splits the bytes of a watch into messages.
#[derive(Default)]
pub(super) struct ListReader {
    /// An incomplete object, or an incomplete line outside any object.
    buffer: Vec<u8>,
    /// Number of brackets and braces that are open, not counting those within strings.
    depth: usize,
    /// The state within a string; `None` outside strings.
    string_state: Option<StringState>,
}

/// The state of the parser within a JSON string.
#[derive(Clone, Copy, PartialEq)]
enum StringState {
    /// The next byte is not escaped and may end the string.
    Unescaped,
    /// The previous byte was an escaping backslash.
    Escaped,
}

impl ListReader {
    /// Returns the length of a message that has begun and whose end has not arrived, in bytes.
    pub(super) fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the readable entries within such a message.
    pub(super) fn partial_entries(&self) -> Vec<EndpointEntry> {
        readable_entries(&self.buffer)
    }

    /// Parses the next bytes of the watch. Returns the messages that they complete, in order.
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

    /// Discards an incomplete message, and returns the readable entries within it.
    fn discard_malformed(&mut self) -> WatchMessage {
        let reader = std::mem::take(self);
        WatchMessage::Malformed(reader.partial_entries())
    }

    fn read_byte(&mut self, byte: u8) -> Option<WatchMessage> {
        if let Some(state) = self.string_state {
            self.buffer.push(byte);
            self.string_state = state.after(byte);
            return None;
        }
        if self.depth == 0 {
            return self.read_between_objects(byte);
        }
        self.read_within_object(byte)
    }

    /// Reads a byte outside any object: white space, or part of unreadable text, which lasts until
    /// the end of the line or the start of an object.
    fn read_between_objects(&mut self, byte: u8) -> Option<WatchMessage> {
        match byte {
            b'\n' if self.buffer.is_empty() => Some(WatchMessage::Heartbeat),
            b'\n' => Some(self.discard_malformed()),
            b'{' => {
                let malformed = (!self.buffer.is_empty()).then(|| self.discard_malformed());
                self.depth = 1;
                self.buffer.push(byte);
                malformed
            }
            _ if byte.is_ascii_whitespace() && self.buffer.is_empty() => None,
            _ => {
                self.buffer.push(byte);
                None
            }
        }
    }

    /// Reads a byte within an object and outside strings.
    fn read_within_object(&mut self, byte: u8) -> Option<WatchMessage> {
        self.buffer.push(byte);
        match byte {
            b'"' => self.string_state = Some(StringState::Unescaped),
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
    /// Returns the state after the next byte; `None` if that byte ends the string.
    fn after(self, byte: u8) -> Option<StringState> {
        match (self, byte) {
            (StringState::Unescaped, b'\\') => Some(StringState::Escaped),
            (StringState::Unescaped, b'"') => None,
            _ => Some(StringState::Unescaped),
        }
    }
}

/// Parses an object whose brackets are balanced.
fn parse_object(object: &[u8]) -> WatchMessage {
    match serde_json::from_slice::<EndpointList>(object) {
        // A list of which no entry is readable is malformed. As a snapshot it would otherwise
        // remove all servers.
        Ok(list) if !list.entries.has_malformed || !list.entries.readable.is_empty() => {
            WatchMessage::List(list)
        }
        _ => WatchMessage::Malformed(readable_entries(object)),
    }
}

/// Returns the readable entries within a text that is not a valid list.
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
            // No entry begins at this brace, but one may begin at a later brace within the object.
            _ => 1,
        };
        rest = &rest[start + length..];
    }
    entries
}

#[cfg(test)]
#[path = "../../tests/unit/list_reader.rs"]
mod tests;
