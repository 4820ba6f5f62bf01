//! Endpoint lists in the JSON format of discovery and of configurations. Unreadable entries are
//! left out of a list, and the list records whether there were any.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A snapshot of all servers, or a delta.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Sequence number of the list, which increases within one watch.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Whether the list contains every server. Otherwise it is a delta, which contains only the
    /// servers that have changed.
    #[serde(rename = "whole", default)]
    pub is_snapshot: bool,
    /// The entries of the list, one per server.
    #[serde(rename = "hosts", default)]
    pub entries: EndpointEntries,
}

/// The readable entries of a list, and whether the list also had unreadable ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntries {
    /// The readable entries, in the order of the list.
    pub readable: Vec<EndpointEntry>,
    /// Whether at least one entry could not be read.
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

/// A server in an endpoint list. Its name and health must be readable; any other unreadable value
/// is treated as absent.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(try_from = "EntryDocument")]
pub struct EndpointEntry {
    /// Name of the server, the same at every edge node.
    pub name: String,
    /// Address on which the server listens; always present if the server is ready.
    pub address: Option<SocketAddr>,
    /// Name of the server's zone; empty if discovery gives none.
    pub zone: String,
    /// Number of the server's cell; 0 if discovery gives none.
    pub cell: u64,
    /// Whether the server accepts requests.
    pub health: EndpointHealth,
    /// Share of the load relative to other servers, greater than 0; 1 if discovery gives none.
    pub weight: f64,
    /// Start time of the server, as Unix time in milliseconds; 0 if unknown.
    pub started_at_ms: u64,
}

/// Whether a server accepts requests.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointHealth {
    /// The server accepts requests.
    Ready,
    /// The server completes the requests that it has and must not be sent new ones.
    Draining,
    /// The server no longer exists.
    Gone,
}

/// An entry with the field names of discovery's JSON format.
#[derive(Deserialize)]
struct EntryDocument {
    host: String,
    health: EndpointHealth,
    #[serde(default, deserialize_with = "none_if_malformed")]
    dial: Option<SocketAddr>,
    #[serde(default, deserialize_with = "none_if_malformed")]
    site: Option<String>,
    #[serde(default, deserialize_with = "none_if_malformed")]
    block: Option<u64>,
    #[serde(default, deserialize_with = "none_if_malformed")]
    share: Option<f64>,
    #[serde(default, deserialize_with = "none_if_malformed")]
    born_ms: Option<u64>,
}

/// Why an entry is left out of its list.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("a ready server must have an address")]
    ReadyWithoutAddress,
}

impl TryFrom<EntryDocument> for EndpointEntry {
    type Error = EntryError;

    fn try_from(document: EntryDocument) -> Result<EndpointEntry, EntryError> {
        // If the edge node ignored that a server is draining, it would still send requests to the
        // server. An entry whose server is draining or gone is therefore valid whatever else is
        // wrong with it. Only the entry of a ready server needs an address.
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

/// Deserializes a value; returns `None` if it is malformed.
fn none_if_malformed<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    source: D,
) -> Result<Option<T>, D::Error> {
    let value = serde_json::Value::deserialize(source)?;
    Ok(serde_json::from_value(value).ok())
}
