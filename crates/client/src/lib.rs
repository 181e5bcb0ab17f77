//! The operators' command-line client.
//!
//! Each command produces a [`CommandReport`] with an exit code, a text for people and JSON for programs; only the
//! binary prints. Tests can therefore run commands in process.

mod args;
mod command;
mod exit;
mod output;
mod router;
mod store;

pub use exit::ExitKind;
pub use output::{CommandReport, OutputStyle};

/// The environment variable with the base URL of the store.
pub const STORE_VARIABLE: &str = "GODWITROAD_STORE";

/// The environment variable with the routers' addresses for operators, separated by commas.
pub const ROUTERS_VARIABLE: &str = "GODWITROAD_ROUTERS";

/// Runs the command that `args` give, without the program's name, and returns its report and whether it is to be
/// printed as JSON.
pub async fn run(args: &[&str], style: OutputStyle) -> (CommandReport, bool) {
    match args::parse(args) {
        Ok(args) => (command::run(&args, style).await, args.json),
        Err(report) => (report, args.contains(&"--json")),
    }
}
