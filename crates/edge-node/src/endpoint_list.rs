//! Lists of servers in the form in which discovery and configurations write them. What can be
//! read of a list counts: entries that can't be read are left out, and the list says that there
//! were some.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The servers, or changes to them.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list, which grows within one watch.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The list names every server there is; otherwise it names those that have changed.
    #[serde(rename = "whole", default)]
    pub is_snapshot: bool,
    /// The servers that it names.
    #[serde(rename = "hosts", default)]
    pub entries: EndpointEntries,
}

/// The entries of a list that could be read, and whether there were others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntries {
    /// Those that could be read, in their order.
    pub readable: Vec<EndpointEntry>,
    /// At least one entry could not be read.
    pub has_malformed: bool,
}

impl<'de> Deserialize<'de> for EndpointEntries {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<EndpointEntries, D::Error> {
        let raw: Vec<Box<RawValue>> = Deserialize::deserialize(source)?;
        let parsed = raw
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.get()).ok());
        let readable: Vec<EndpointEntry> = parsed.collect();
        let has_malformed = readable.len() < raw.len();
        Ok(EndpointEntries {
            readable,
            has_malformed,
        })
    }
}

/// A server on a list. Its name and health have to be readable; any other value that is not is
/// taken as absent.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(try_from = "EntryDocument")]
pub struct EndpointEntry {
    /// The name of the server, the same at every edge node.
    pub name: String,
    /// Where the server listens; present for each that is ready.
    pub address: Option<SocketAddr>,
    /// The name of its zone; empty if there is none.
    pub zone: String,
    /// The number of its cell.
    pub cell: u64,
    /// Whether it takes requests.
    pub health: EndpointHealth,
    /// Its share of the load relative to the other servers, above 0.
    pub weight: f64,
    /// When it was started, Unix time in ms; 0 if that is not known.
    pub started_at_ms: u64,
}

/// Whether a server takes requests.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointHealth {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has ended.
    Gone,
}

/// An entry under the names of discovery.
#[derive(Deserialize)]
struct EntryDocument {
    host: String,
    health: EndpointHealth,
    #[serde(default, deserialize_with = "absent_if_malformed")]
    dial: Option<SocketAddr>,
    #[serde(default, deserialize_with = "absent_if_malformed")]
    site: Option<String>,
    #[serde(default, deserialize_with = "absent_if_malformed")]
    block: Option<u64>,
    #[serde(default, deserialize_with = "absent_if_malformed")]
    share: Option<f64>,
    #[serde(default, deserialize_with = "absent_if_malformed")]
    born_ms: Option<u64>,
}

/// Why an entry is left out of its list.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("a server that is ready has no address")]
    ReadyWithoutAddress,
}

impl TryFrom<EntryDocument> for EndpointEntry {
    type Error = EntryError;

    fn try_from(document: EntryDocument) -> Result<EndpointEntry, EntryError> {
        // A drain that is overlooked sends requests to a server that leaves. So an entry that takes
        // a server away counts whatever else is wrong with it; only one that brings a server needs
        // an address.
        if document.health == EndpointHealth::Ready && document.dial.is_none() {
            return Err(EntryError::ReadyWithoutAddress);
        }
        Ok(EndpointEntry {
            name: document.host,
            address: document.dial,
            zone: document.site.unwrap_or_default(),
            cell: document.block.unwrap_or(0),
            health: document.health,
            weight: document.share.filter(|share| *share > 0.0).unwrap_or(1.0),
            started_at_ms: document.born_ms.unwrap_or(0),
        })
    }
}

/// Reads a value; one that can't be read is taken as absent.
fn absent_if_malformed<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    source: D,
) -> Result<Option<T>, D::Error> {
    let value = serde_json::Value::deserialize(source)?;
    Ok(serde_json::from_value(value).ok())
}
