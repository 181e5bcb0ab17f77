//! `godwitctl`, the command-line client for operators.
//!
//! Each command produces a [`CommandReport`] with an exit code, text for people and JSON for programs. Only the binary
//! prints it, so tests can run commands in process.

mod args;
mod command;
mod exit;
mod output;
mod router;
mod store;

pub use exit::ExitKind;
pub use output::{CommandReport, OutputStyle};

/// The environment variable that holds the base URL of the store.
pub const STORE_VARIABLE: &str = "GODWITROAD_STORE";

/// The environment variable that holds the operator addresses of the routers, separated by commas.
pub const ROUTERS_VARIABLE: &str = "GODWITROAD_ROUTERS";

/// Runs a command and returns its report and whether the report is to be printed as JSON.
///
/// `args` is the command line without the program's name.
pub async fn run(args: &[&str], style: OutputStyle) -> (CommandReport, bool) {
    match args::parse(args) {
        Ok(args) => (command::run(&args, style).await, args.json),
        Err(report) => (report, args.contains(&"--json")),
    }
}
