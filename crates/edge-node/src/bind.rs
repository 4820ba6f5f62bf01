//! Retries binding of addresses that the previous process may still hold during a restart.

use anyhow::{Context, Result};
use std::fmt;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time to wait for an address that is in use. During a restart, the previous process holds
/// its addresses until it has shut down; a new process that gave up would only be restarted.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two calls of `bind_once`.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `bind_once` until it succeeds, retrying only while the address is in use.
///
/// The future may be dropped during the pause between two calls; nothing is bound then.
///
/// # Errors
/// Returns the last error of `bind_once` with `description` as its context. "Address in use" is
/// returned after [`RETRY_TIMEOUT`], any other error immediately.
pub(crate) async fn with_retry<T, F: Future<Output = io::Result<T>>>(
    description: impl fmt::Display,
    bind_once: impl Fn() -> F,
) -> Result<T> {
    let started_at = Instant::now();
    loop {
        match bind_once().await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && started_at.elapsed() < RETRY_TIMEOUT =>
            {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result.with_context(|| description.to_string()),
        }
    }
}
