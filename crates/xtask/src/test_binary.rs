//! The test binaries that cargo builds, and the tests in each.

use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};

/// A test binary of a package of the workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestBinary {
    /// The file to execute.
    pub executable: PathBuf,
    /// The source file of the binary.
    pub source_file: PathBuf,
    /// The package's folder, in which cargo runs its tests.
    pub package_folder: PathBuf,
}

/// The part of cargo's message on a built target that is needed here.
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
    /// Reads a line that cargo prints with `--message-format json`. `None` where it is about
    /// anything but a test binary.
    #[must_use]
    pub fn from_cargo_message(line: &str) -> Option<TestBinary> {
        let message: ArtifactMessage = serde_json::from_str(line).ok()?;
        if !message.profile.test {
            return None;
        }
        Some(TestBinary {
            executable: message.executable?,
            source_file: message.target.src_path,
            package_folder: message.manifest_path.parent()?.to_owned(),
        })
    }

    /// The names of all its tests, ignored ones too.
    ///
    /// # Errors
    /// It can't be executed, or fails.
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

    /// Runs all its tests but those with exactly these names.
    ///
    /// # Errors
    /// It can't be executed.
    pub fn run_without(&self, names: &[&str]) -> io::Result<ExitStatus> {
        let mut command = self.command();
        if !names.is_empty() {
            command.arg("--exact");
        }
        for name in names {
            command.args(["--skip", name]);
        }
        command.status()
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.executable);
        command
            .current_dir(&self.package_folder)
            .env("CARGO_MANIFEST_DIR", &self.package_folder);
        command
    }

    /// Whether it is built from this source file, given from the root of the workspace.
    #[must_use]
    pub fn is_built_from(&self, source_file: &Path, root: &Path) -> bool {
        self.source_file == root.join(source_file)
    }
}
