//! Libraries that are preloaded into the edge node and let system calls fail in ways that the
//! operating system documents.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Directory of the sources of the libraries.
const SOURCES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/support");

/// A library for `LD_PRELOAD`, whose file is removed when it is dropped.
pub(crate) struct PreloadedLibrary {
    path: PathBuf,
}

impl PreloadedLibrary {
    /// Builds the library that lets each call of `recv`, `send` and `writev` transfer few bytes.
    pub(crate) fn short_transfers() -> PreloadedLibrary {
        PreloadedLibrary::build("preload_short_transfers")
    }

    /// Builds the library that lets every second call of `accept4` fail.
    pub(crate) fn failing_accept() -> PreloadedLibrary {
        PreloadedLibrary::build("preload_failing_accept")
    }

    /// Builds a library with the C compiler. Each library is built by one test only.
    fn build(source: &str) -> PreloadedLibrary {
        let name = format!("edge-node-{}-{source}.so", std::process::id());
        let path = std::env::temp_dir().join(name);
        let status = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .arg(&path)
            .arg(format!("{SOURCES}/{source}.c"))
            .arg("-ldl")
            .status();
        assert!(status.expect("C compiler runs").success());
        PreloadedLibrary { path }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for PreloadedLibrary {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
