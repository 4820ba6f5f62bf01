//! The bodies of requests and responses, and the memory that they hold.
//!
//! A body is read into a [`BodyBuffer`], which grows with what has arrived. Its bytes count against
//! a [`BodyBudget`] until the last reference to them is dropped.

mod budget;
mod buffer;
mod error;
mod read;

pub(crate) use budget::BodyBudget;
pub(crate) use buffer::BodyBuffer;
pub(crate) use error::BodyError;
pub(crate) use read::{discard, read};
