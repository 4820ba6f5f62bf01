//! Addresses that a process before this one may still hold.

use anyhow::{Context, Result};
use std::fmt;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// For how long an address may be in use. Guards restarts: whoever held it has been told to end, and a new process
/// that ended for that would be started over again.
const WITHIN: Duration = Duration::from_secs(3);
/// Between tries.
const EVERY: Duration = Duration::from_millis(20);

/// Binds what `try_once` binds, as soon as the address is free; its error if that takes too long.
pub async fn when_free<T, F: Future<Output = io::Result<T>>>(
    what: impl fmt::Display, try_once: impl Fn() -> F,
) -> Result<T> {
    let begun = Instant::now();
    loop {
        match try_once().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < WITHIN => {
                tokio::time::sleep(EVERY).await;
            }
            bound => return bound.with_context(|| what.to_string()),
        }
    }
}
