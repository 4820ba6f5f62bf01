//! A preloaded library that makes reads and writes on sockets short.

use std::path::PathBuf;
use std::process::Command;

const SOURCE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/support/short_transfers.c"
);

/// Builds the library with the C compiler and returns its path. `tag` is part of the file name and
/// must be unique within the test target.
pub(crate) fn build_short_transfer_library(tag: &str) -> PathBuf {
    let name = format!("short-transfers-{}-{tag}.so", std::process::id());
    let path = std::env::temp_dir().join(name);
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
        .arg(&path)
        .arg(SOURCE)
        .arg("-ldl")
        .status();
    assert!(status.expect("C compiler runs").success());
    path
}
