//! The command line.

use crate::config::{Config, Faulty};
use crate::{schema, startup};
use anyhow::{Context, Result};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a command line gets that can't be understood, as shells and clap have it.
const USAGE: u8 = 2;

/// An edge node (a gateway): holds customers to their quotas before a shared fleet of servers.
#[derive(Parser)]
#[command(
    name = "edge-node",
    version,
    subcommand_required = false,
    after_help = "Without a command it serves under LB_CONFIG.\n\n\
        Exit codes: 0 done, or left in good order; 1 a bad configuration or no start; 2 a bad command line.",
    after_long_help = "Without a command it serves under LB_CONFIG.\n\n\
        Environment:\n  \
        LB_CONFIG     the configuration, TOML or the platform's JSON\n  \
        LB_NAME       overrules the configuration's name\n  \
        LB_LISTEN     overrules listen, where clients connect\n  \
        LB_DISCOVERY  overrules discovery, where its agent listens\n\n\
        Signals: SIGHUP reads the configuration again, SIGTERM ends in good order.\n\n\
        Exit codes:\n  \
        0  done, or left in good order\n  \
        1  a bad configuration, or it could not start\n  \
        2  a bad command line"
)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM.
    Serve {
        /// The configuration; without it LB_CONFIG names one.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Tell all that is wrong with a configuration, and start nothing.
    Check {
        /// The configuration, TOML or the platform's JSON.
        file: PathBuf,
    },
    /// Print every key of a configuration: unit, range and default.
    Keys,
    /// Print the version.
    Version,
    /// Print completions for a shell.
    Completions {
        /// For which shell.
        shell: Shell,
    },
    /// Print the manual page, in roff.
    Man,
}

/// Does what the command line says.
pub fn run() -> ExitCode {
    let line = match Line::try_parse() {
        Ok(line) => line,
        // Help and version come this way, too, and are no errors.
        Err(error) => error.exit(),
    };
    let done = match line.command {
        None if std::env::var_os("LB_CONFIG").is_none() => {
            let help = Line::command().render_help();
            eprint!("edge-node: no command, and LB_CONFIG is not set\n\n{help}");
            return USAGE.into();
        }
        None => serve(None),
        Some(Command::Serve { config }) => serve(config),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Keys) => print(schema::page().as_bytes()),
        Some(Command::Version) => print(Line::command().render_version().as_bytes()),
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "edge-node", &mut script);
            print(&script)
        }
        Some(Command::Man) => {
            let mut page = Vec::new();
            clap_mangen::Man::new(Line::command())
                .render(&mut page)
                .context("manual page")
                .and_then(|()| print(&page))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("edge-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(file: Option<PathBuf>) -> Result<()> {
    startup::run(Config::from_environment(file, |key| std::env::var(key).ok())?)
}

fn check(file: &Path) -> Result<()> {
    match Config::read(file) {
        Ok(_) => print(format!("{}: nothing is wrong\n", file.display()).as_bytes()),
        Err(error) => match error.downcast::<Faulty>() {
            Ok(faulty) => {
                for line in faulty.lines() {
                    eprintln!("{line}");
                }
                anyhow::bail!("{}: {} wrong", file.display(), faulty.faults.len())
            }
            Err(error) => Err(error),
        },
    }
}

/// Writes to standard output. Whoever has read enough may close it.
fn print(bytes: &[u8]) -> Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).context("standard output"),
        _ => Ok(()),
    }
}
