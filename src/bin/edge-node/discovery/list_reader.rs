//! Takes a watch apart as it comes in.

use crate::endpoint_list::{Host, List};

/// Most bytes of one list. Guards memory against one without end.
const LIST_MOST: usize = 4 << 20;

/// What came on a watch.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// An empty line: discovery is there and has nothing to tell.
    Life,
    /// A list that could be read.
    List(List),
    /// Something that could not, and the entries that could be picked out of it.
    Spoilt(Vec<Host>),
}

/// Takes a watch apart as it comes in.
#[derive(Default)]
pub struct Pieces {
    /// The object that is not whole yet, or the line that is none.
    held: Vec<u8>,
    /// How many brackets are open, and whether within a string.
    depth: usize,
    string: Option<InString>,
}

/// Where a reader stands within a string.
#[derive(Clone, Copy, PartialEq)]
enum InString {
    Plain,
    /// Right behind a backslash.
    Escaped,
}

impl Pieces {
    /// Whether an object has begun that is not whole.
    pub fn is_within(&self) -> bool {
        !self.held.is_empty()
    }

    /// What these bytes make whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for byte in bytes {
            pieces.extend(self.step(*byte));
            if self.held.len() > LIST_MOST {
                pieces.push(self.give_up());
            }
        }
        pieces
    }

    /// The object that was begun will not become whole: what can be picked out of it.
    pub fn give_up(&mut self) -> Piece {
        let Pieces { held, .. } = std::mem::take(self);
        Piece::Spoilt(picked(&held))
    }

    fn step(&mut self, byte: u8) -> Option<Piece> {
        if let Some(within) = self.string {
            self.held.push(byte);
            self.string = match (within, byte) {
                (InString::Plain, b'\\') => Some(InString::Escaped),
                (InString::Plain, b'"') => None,
                _ => Some(InString::Plain),
            };
            return None;
        }
        if self.depth == 0 {
            return self.between(byte);
        }
        self.held.push(byte);
        match byte {
            b'"' => self.string = Some(InString::Plain),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth > 0 {
            return None;
        }
        let whole = std::mem::take(&mut self.held);
        let list = serde_json::from_slice(&whole).ok();
        // Guards against a list of which nothing can be read, taken for one on which nobody is left.
        let list = list.filter(|list: &List| !list.hosts.spoilt || !list.hosts.read.is_empty());
        Some(list.map_or_else(|| Piece::Spoilt(picked(&whole)), Piece::List))
    }

    /// Outside any object: white space, or noise to the end of its line.
    fn between(&mut self, byte: u8) -> Option<Piece> {
        match byte {
            b'\n' if self.held.is_empty() => return Some(Piece::Life),
            b'\n' => return Some(self.give_up()),
            b'{' => {
                let noise = self.is_within().then(|| self.give_up());
                (self.depth, self.held) = (1, vec![byte]);
                return noise;
            }
            _ if byte.is_ascii_whitespace() && self.held.is_empty() => {}
            _ => self.held.push(byte),
        }
        None
    }
}

/// Entries that can be read in a text that as a whole can't.
fn picked(text: &[u8]) -> Vec<Host> {
    let (mut hosts, mut rest) = (Vec::new(), text);
    while let Some(place) = rest.iter().position(|byte| *byte == b'{') {
        let mut objects = serde_json::Deserializer::from_slice(&rest[place..]).into_iter();
        let read = match objects.next() {
            Some(Ok(host)) => {
                hosts.push(host);
                objects.byte_offset()
            }
            _ => 1,
        };
        rest = &rest[place + read..];
    }
    hosts
}

#[cfg(test)]
#[path = "../../../../tests/unit/list_reader.rs"]
mod tests;
