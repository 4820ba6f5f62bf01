//! The bodies of requests and responses.

mod buffer;
mod collect;

pub(crate) use collect::{collect, CollectError};
