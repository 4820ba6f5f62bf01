//! Lists of app servers, as discovery writes them: JSON objects on one line or many, with signs of life between.
//! What can be read of one counts; the rest is passed over, and whoever reads is told that something was.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Most bytes of one list. Guards memory against one without end.
const LIST_MOST: usize = 4 << 20;

/// The list of app servers, or changes to it.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct List {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Hosts,
}

/// The entries that could be read, and whether there were others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosts {
    pub read: Vec<Host>,
    pub spoilt: bool,
}

impl<'de> Deserialize<'de> for Hosts {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Hosts, D::Error> {
        let raw: Vec<Box<RawValue>> = Deserialize::deserialize(source)?;
        let read: Vec<Host> = raw.iter().filter_map(|host| serde_json::from_str(host.get()).ok()).collect();
        let spoilt = read.len() < raw.len();
        Ok(Hosts { read, spoilt })
    }
}

/// An app server on the list. Its name and health must be told; of the rest, what can't be read is as if left out.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(try_from = "Written")]
pub struct Host {
    pub host: String,
    /// Where it listens; told of each that is ready.
    pub dial: Option<SocketAddr>,
    pub site: String,
    pub block: u64,
    pub health: Health,
    pub share: f64,
    pub born_ms: u64,
}

#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Ready,
    Draining,
    Gone,
}

/// An entry as it stands in the text.
#[derive(Deserialize)]
struct Written {
    host: String,
    health: Health,
    #[serde(default, deserialize_with = "lenient")]
    dial: Option<SocketAddr>,
    #[serde(default, deserialize_with = "lenient")]
    site: Option<String>,
    #[serde(default, deserialize_with = "lenient")]
    block: Option<u64>,
    #[serde(default, deserialize_with = "lenient")]
    share: Option<f64>,
    #[serde(default, deserialize_with = "lenient")]
    born_ms: Option<u64>,
}

impl TryFrom<Written> for Host {
    type Error = &'static str;

    fn try_from(written: Written) -> Result<Host, &'static str> {
        let Written { host, health, dial, site, block, share, born_ms } = written;
        // Guards drains: who leaves is believed with whatever else is wrong about it, who comes is not.
        if health == Health::Ready && dial.is_none() {
            return Err("a server that is ready has no address");
        }
        let share = share.filter(|share| *share > 0.0).unwrap_or(1.0);
        let (site, block, born_ms) = (site.unwrap_or_default(), block.unwrap_or(0), born_ms.unwrap_or(0));
        Ok(Host { host, dial, site, block, health, share, born_ms })
    }
}

/// A value that is left out, or can't be read, is none.
fn lenient<'de, D: Deserializer<'de>, T: DeserializeOwned>(source: D) -> Result<Option<T>, D::Error> {
    let value = serde_json::Value::deserialize(source)?;
    Ok(serde_json::from_value(value).ok())
}

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
mod tests {
    use super::*;

    const ENTRY: &str = r#"{"host":"s-1 {\"}","dial":"127.0.0.1:1","site":"a","health":"draining"}"#;

    fn host() -> Host {
        serde_json::from_str(ENTRY).expect("an entry")
    }

    fn list(hosts: &[&str]) -> String {
        format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, hosts.join(","))
    }

    fn whole(hosts: Vec<Host>, spoilt: bool) -> Piece {
        Piece::List(List { seq: 7, whole: true, hosts: Hosts { read: hosts, spoilt } })
    }

    #[test]
    fn a_list_may_stand_on_one_line_or_many_and_come_in_any_pieces() {
        let plain = list(&[ENTRY, ENTRY]);
        let value: serde_json::Value = serde_json::from_str(&plain).expect("it is JSON");
        let indented = serde_json::to_string_pretty(&value).expect("it is written");
        for text in [plain, indented] {
            let text = format!("{text}\n\r\n\n");
            for size in [1, 2, 3, 7, 64, text.len()] {
                let mut pieces = Pieces::default();
                let all: Vec<_> = text.as_bytes().chunks(size).flat_map(|part| pieces.feed(part)).collect();
                let life = [Piece::Life, Piece::Life, Piece::Life];
                assert_eq!(all[0], whole(vec![host(), host()], false), "by {size}");
                assert_eq!(all[1..], life, "by {size}");
                assert!(!pieces.is_within());
            }
        }
    }

    #[test]
    fn what_can_be_read_of_a_list_counts() {
        let no_health = ENTRY.replace("draining", "odd");
        let bad_rest = r#"{"host":"s-1 {\"}","dial":"nowhere","site":4,"block":-1,"share":"x","born_ms":[],"health":"draining"}"#;
        let ready = ENTRY.replace("draining", "ready").replace("127.0.0.1:1", "nowhere");
        let read = |text: &str| Pieces::default().feed(text.as_bytes());
        let leaves = Host { dial: None, site: String::new(), ..host() };
        assert_eq!(read(&list(&[&no_health, ENTRY])), [whole(vec![host()], true)]);
        assert_eq!(read(&list(&[bad_rest])), [whole(vec![leaves], false)]);
        assert_eq!(read(&list(&[&ready])), [Piece::Spoilt(vec![])], "nobody can be read: not an empty list");
        assert_eq!(read(&list(&[])), [whole(vec![], false)]);
    }

    #[test]
    fn out_of_a_spoilt_list_entries_are_picked() {
        let text = list(&[ENTRY, ENTRY]);
        let mut cut = Pieces::default();
        assert_eq!(cut.feed(&text.as_bytes()[..text.len() - 10]), []);
        assert!(cut.is_within());
        assert_eq!(cut.give_up(), Piece::Spoilt(vec![host()]));
        assert!(!cut.is_within());
        // Noise on a line of its own, then a good list.
        let after = format!("\u{1}noise]]}}\"\n{text}\n");
        let read = Pieces::default().feed(after.as_bytes());
        assert_eq!(read, [Piece::Spoilt(vec![]), whole(vec![host(), host()], false), Piece::Life]);
        let garbled = text.replace("\"seq\":7", "\"seq\":7%");
        assert_eq!(Pieces::default().feed(garbled.as_bytes()), [Piece::Spoilt(vec![host(), host()])]);
    }

    #[test]
    fn a_list_without_end_is_given_up_and_takes_little_memory() {
        let mut pieces = Pieces::default();
        let endless = format!("{{\"seq\":1,\"hosts\":[{}", format!("{ENTRY},").repeat(1000));
        let mut spoilt = 0;
        for _ in 0..LIST_MOST / endless.len() + 2 {
            spoilt += pieces.feed(endless.as_bytes()).len();
            assert!(pieces.held.len() <= LIST_MOST);
        }
        assert!(spoilt >= 1);
    }
}
