//! Lists of app servers, as discovery writes them: JSON objects on one line or many, with signs of life between.
//! What can be read of one counts; the rest is passed over, and whoever reads is told that something was.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

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
