//! Not written yet.

use crate::Failure;

/// What the command is told.
#[derive(clap::Args, Debug)]
pub struct Args {}

/// Runs it.
///
/// # Errors
/// It is not written yet.
pub fn run(_: &Args) -> Result<(), Failure> {
    Err(Failure::Senseless("not written yet".to_owned()))
}
