//! The test binaries that cargo builds: listing and running their tests.

use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};

/// A test binary of a package in the workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestBinary {
    /// The path of the executable.
    pub executable: PathBuf,
    /// The absolute path of the source file that the executable is built from.
    pub source_file: PathBuf,
    /// The directory of the package, in which the binary runs, as with `cargo test`.
    pub package_directory: PathBuf,
}

/// The fields of cargo's message on a built target that identify a test binary.
#[derive(Deserialize)]
struct ArtifactMessage {
    executable: Option<PathBuf>,
    manifest_path: PathBuf,
    profile: ArtifactProfile,
    target: ArtifactTarget,
}

#[derive(Deserialize)]
struct ArtifactProfile {
    test: bool,
}

#[derive(Deserialize)]
struct ArtifactTarget {
    src_path: PathBuf,
}

impl TestBinary {
    /// Parses a line that cargo prints with `--message-format json`. Returns `None` if the line is
    /// not about a test binary.
    #[must_use]
    pub fn from_cargo_message(line: &str) -> Option<TestBinary> {
        let message: ArtifactMessage = serde_json::from_str(line).ok()?;
        if !message.profile.test {
            return None;
        }
        Some(TestBinary {
            executable: message.executable?,
            source_file: message.target.src_path,
            package_directory: message.manifest_path.parent()?.to_owned(),
        })
    }

    /// Returns the names of all tests in the binary, including ignored tests.
    ///
    /// # Errors
    /// Returns an error if the binary cannot be executed or fails.
    pub fn test_names(&self) -> io::Result<Vec<String>> {
        let output = self
            .command()
            .args(["--list", "--format", "terse"])
            .stderr(Stdio::inherit())
            .output()?;
        if !output.status.success() {
            let text = format!("{} --list: {}", self.executable.display(), output.status);
            return Err(io::Error::other(text));
        }
        let text = String::from_utf8_lossy(&output.stdout);
        let names = text.lines().filter_map(|line| line.strip_suffix(": test"));
        Ok(names.map(str::to_owned).collect())
    }

    /// Runs all tests in the binary except those with exactly these names. Returns the exit status
    /// of the binary.
    ///
    /// # Errors
    /// Returns an error if the binary cannot be executed.
    pub fn run_all_except(&self, names: &[&str]) -> io::Result<ExitStatus> {
        let mut command = self.command();
        if !names.is_empty() {
            command.arg("--exact");
        }
        for name in names {
            command.args(["--skip", name]);
        }
        command.status()
    }

    /// Returns the command that executes the binary as cargo does.
    fn command(&self) -> Command {
        let mut command = Command::new(&self.executable);
        command
            .current_dir(&self.package_directory)
            .env("CARGO_MANIFEST_DIR", &self.package_directory);
        command
    }

    /// Returns whether the binary is built from this source file. The path is relative to `root`,
    /// the root of the workspace.
    #[must_use]
    pub fn is_built_from(&self, source_file: &Path, root: &Path) -> bool {
        self.source_file == root.join(source_file)
    }
}
