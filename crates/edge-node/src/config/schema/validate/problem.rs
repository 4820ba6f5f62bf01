//! What can be wrong with an item of a configuration, in the words that operators read.

use thiserror::Error;

/// What is wrong with one item, or with one that is missing. Its text follows the item's path.
#[derive(Clone, Debug, PartialEq, Error)]
pub(super) enum Problem {
    #[error("stands twice")]
    Duplicate,
    #[error("no such key{}", nearest.map(|path| format!("; the nearest known name is {path}")).unwrap_or_default())]
    UnknownKey { nearest: Option<&'static str> },
    #[error("is missing")]
    Missing,
    #[error("one is needed at the least")]
    EmptyList,
    #[error("has to be a table")]
    NotTable,
    #[error("has to be a list of tables")]
    NotTableList,
    #[error("has to be a text that is not empty")]
    NotString,
    #[error("has to be a list of texts")]
    NotStringList,
    #[error("has to be an address with a port, as \"127.0.0.1:8443\"")]
    NotAddress,
    #[error("has to be a list of addresses with ports")]
    NotAddressList,
    #[error("has to be true or false")]
    NotBoolean,
    #[error("has to be a whole number")]
    NotInteger,
    #[error("has to be a number")]
    NotNumber,
    /// The range has no upper end.
    #[error("is {number}, and has to be {min} or more")]
    BelowMinimum { number: f64, min: f64 },
    #[error("is {number}, and has to be from {min} to {max}")]
    OutOfRange { number: f64, min: f64, max: f64 },
    #[error("has to be one of {}", choices.join(", "))]
    NotOneOf { choices: Vec<String> },
    #[error("there are only the numbers below {gateways}")]
    GatewayNumberOutOfRange { gateways: i128 },
    #[error("is missing, and needed with an idempotency key")]
    MissingScope,
    #[error("{name:?} stands twice")]
    DuplicateName { name: String },
    #[error("has {addresses} addresses for {gateways} edge nodes")]
    WrongAddressCount { addresses: usize, gateways: i128 },
}
