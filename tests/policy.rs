//! The decisions of the library, by concern: each module is named as the one of `src/policy` that it tests.

mod common;
#[path = "policy/lease.rs"]
mod lease;
#[path = "policy/quota.rs"]
mod quota;
