//! The command line: what it may hold, and which part of the program does it.

use crate::config::schema::markdown_table;
use crate::config::{Config, ConfigError, CONFIG_VARIABLE};
use crate::startup;
use anyhow::{bail, Context, Result};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The program's name.
const PROGRAM: &str = "edge-node";
/// The exit code for a command line that can't be understood, which is also that of shells and of
/// clap.
const EXIT_USAGE: u8 = 2;

/// An edge node (a gateway): holds customers to their quotas before a shared fleet of servers.
#[derive(Parser)]
#[command(
    name = PROGRAM,
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
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM.
    Serve {
        #[arg(
            short,
            long,
            value_name = "FILE",
            help = "The configuration; without it LB_CONFIG names one"
        )]
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

/// Parses the command line, does what it says, and returns the exit code of the process.
pub fn run() -> ExitCode {
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        // Help and version come as errors, too; `exit` prints them and ends with 0.
        Err(error) => error.exit(),
    };
    let result = match command_line.command {
        Some(command) => execute(command),
        None if std::env::var_os(CONFIG_VARIABLE).is_some() => serve(None),
        None => return usage_error(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Says on standard error what to give on the command line.
fn usage_error() -> ExitCode {
    let help = CommandLine::command().render_help();
    eprint!("{PROGRAM}: no command, and {CONFIG_VARIABLE} is not set\n\n{help}");
    EXIT_USAGE.into()
}

fn execute(command: Command) -> Result<()> {
    match command {
        Command::Serve { config } => serve(config),
        Command::Check { file } => check(&file),
        Command::Keys => print(markdown_table().as_bytes()),
        Command::Version => print(CommandLine::command().render_version().as_bytes()),
        Command::Completions { shell } => print_completions(shell),
        Command::Man => print_manual_page(),
    }
}

fn serve(file: Option<PathBuf>) -> Result<()> {
    let config = Config::from_environment(file, |name| std::env::var(name).ok())?;
    startup::run(config)
}

/// Prints all that is wrong with a configuration.
///
/// # Errors
/// Anything is wrong with it, or it can't be read.
fn check(file: &Path) -> Result<()> {
    match Config::read(file) {
        Ok(_) => print(format!("{}: nothing is wrong\n", file.display()).as_bytes()),
        Err(ConfigError::Invalid(invalid)) => {
            for line in invalid.lines() {
                eprintln!("{line}");
            }
            bail!("{}: {} wrong", file.display(), invalid.diagnostics.len())
        }
        Err(error) => Err(error.into()),
    }
}

fn print_completions(shell: Shell) -> Result<()> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut CommandLine::command(), PROGRAM, &mut script);
    print(&script)
}

fn print_manual_page() -> Result<()> {
    let mut page = Vec::new();
    clap_mangen::Man::new(CommandLine::command())
        .render(&mut page)
        .context("manual page")?;
    print(&page)
}

/// Writes to standard output. That its reader closes it early, as `head` does, is no error.
fn print(bytes: &[u8]) -> Result<()> {
    let mut output = std::io::stdout().lock();
    match output.write_all(bytes).and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(error).context("standard output")
        }
        _ => Ok(()),
    }
}
