//! The command line: its arguments, and the execution of its subcommands.

use crate::config::schema::markdown_table;
use crate::config::{Config, ConfigError, CONFIG_VARIABLE};
use crate::startup;
use anyhow::{bail, Context, Result};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Name of the program in help texts, completions and error messages.
const PROGRAM: &str = "edge-node";
/// Exit code for an invalid command line; shells and clap use the same code.
const EXIT_USAGE: u8 = 2;

/// Edge node (gateway): enforces customer quotas in front of a shared fleet of servers.
#[derive(Parser)]
#[command(
    name = PROGRAM,
    version,
    subcommand_required = false,
    after_help = "Without a command, serves with the configuration that LB_CONFIG names.\n\n\
        Exit codes: 0 success or graceful shutdown; 1 configuration or startup error; 2 invalid command line.",
    after_long_help = "Without a command, serves with the configuration that LB_CONFIG names.\n\n\
        Environment:\n  \
        LB_CONFIG     path of the configuration file, TOML or the platform's JSON\n  \
        LB_NAME       overrides the key `name` of the configuration\n  \
        LB_LISTEN     overrides the key `listen`, the address that clients connect to\n  \
        LB_DISCOVERY  overrides the key `discovery`, the address of the discovery agent\n\n\
        Signals: SIGHUP reloads the configuration, SIGTERM shuts down gracefully.\n\n\
        Exit codes:\n  \
        0  success or graceful shutdown\n  \
        1  configuration or startup error\n  \
        2  invalid command line"
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
            help = "Configuration file; if omitted, the file that LB_CONFIG names"
        )]
        config: Option<PathBuf>,
    },
    /// Report all errors in a configuration file without starting the edge node.
    Check {
        /// Configuration file, TOML or the platform's JSON.
        file: PathBuf,
    },
    /// Print every configuration key with its unit, range and default.
    Keys,
    /// Print the version.
    Version,
    /// Print a completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
    /// Print the manual page in roff format.
    Man,
}

/// Parses the command line, executes its command, and returns the exit code of the process.
pub fn run() -> ExitCode {
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        // Clap returns help and version as errors, too; `exit` prints them and exits with 0.
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

/// Prints the help to standard error, for a command line without a command.
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

fn serve(path: Option<PathBuf>) -> Result<()> {
    let config = Config::from_environment(path, |name| std::env::var(name).ok())?;
    startup::run(config)
}

/// Prints every error in a configuration file to standard error, or one line to standard output if
/// the file has no error.
///
/// # Errors
/// Returns an error if the file cannot be read or contains at least one error.
fn check(path: &Path) -> Result<()> {
    match Config::read(path) {
        Ok(_) => print(format!("{}: nothing is wrong\n", path.display()).as_bytes()),
        Err(ConfigError::Invalid(invalid)) => {
            for line in invalid.lines() {
                eprintln!("{line}");
            }
            bail!(
                "{}: errors found: {}",
                path.display(),
                invalid.diagnostics.len()
            )
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
        .context("cannot render the manual page")?;
    print(&page)
}

/// Writes to standard output. A reader that closes the pipe early, such as `head`, is not an error.
fn print(bytes: &[u8]) -> Result<()> {
    let mut output = std::io::stdout().lock();
    match output.write_all(bytes).and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(error).context("cannot write to standard output")
        }
        _ => Ok(()),
    }
}
