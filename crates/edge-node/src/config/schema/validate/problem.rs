//! Problems of single items of a configuration, with the messages that operators read.

use thiserror::Error;

/// A problem of an item, or of a missing item. Its message is displayed after the path of the item.
#[derive(Clone, Debug, PartialEq, Error)]
pub(super) enum Problem {
    #[error("duplicate key")]
    Duplicate,
    #[error("unknown key{}", nearest.map(|path| format!("; did you mean {path}?")).unwrap_or_default())]
    UnknownKey { nearest: Option<&'static str> },
    #[error("is missing")]
    Missing,
    #[error("at least one is required")]
    EmptyList,
    #[error("must be a table")]
    NotTable,
    #[error("must be a list of tables")]
    NotTableList,
    #[error("must be a non-empty string")]
    NotString,
    #[error("must be a list of strings")]
    NotStringList,
    #[error("must be an IP address with a port, such as \"127.0.0.1:8443\"")]
    NotAddress,
    #[error("must be a list of IP addresses with ports")]
    NotAddressList,
    #[error("must be true or false")]
    NotBoolean,
    #[error("must be an integer")]
    NotInteger,
    #[error("must be a number")]
    NotNumber,
    /// The number is outside a range that counts as one without an upper bound.
    #[error("is {number}, but must be at least {min}")]
    BelowMinimum { number: f64, min: f64 },
    #[error("is {number}, but must be from {min} to {max}")]
    OutOfRange { number: f64, min: f64, max: f64 },
    #[error("must be one of {}", choices.join(", "))]
    NotOneOf { choices: Vec<String> },
    #[error("must be less than {gateways}, the number of edge nodes")]
    GatewayNumberOutOfRange { gateways: i128 },
    #[error("is missing, but required with an idempotency key")]
    MissingScope,
    #[error("duplicate name {name:?}")]
    DuplicateName { name: String },
    #[error("has {addresses} addresses for {gateways} edge nodes")]
    WrongAddressCount { addresses: usize, gateways: i128 },
}
