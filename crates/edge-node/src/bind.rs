//! Binding of addresses that an earlier process may still hold.

use anyhow::{Context, Result};
use std::fmt;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// How long an address may stay in use. At a restart the earlier process has been asked to end and
/// holds its addresses a little longer; a new process that gave up would only be restarted.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to bind.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Binds by `bind_once`, which is retried while the address is in use.
///
/// Dropping the future between attempts leaves nothing bound.
///
/// # Errors
/// The last error of `bind_once`, with `description` as its context: any error other than an
/// address in use immediately, that one after [`RETRY_TIMEOUT`].
pub(crate) async fn with_retry<T, F: Future<Output = io::Result<T>>>(
    description: impl fmt::Display,
    bind_once: impl Fn() -> F,
) -> Result<T> {
    let started = Instant::now();
    loop {
        match bind_once().await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && started.elapsed() < RETRY_TIMEOUT =>
            {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result.with_context(|| description.to_string()),
        }
    }
}
