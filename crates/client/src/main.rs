//! `godwitctl`, the command-line client for operators.

use std::{
    io::{self, IsTerminal, Write},
    process::ExitCode,
};

use godwitroad_client::{OutputStyle, run};

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let color = io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let (report, json) = run(&args, OutputStyle { color }).await;
    let written = if json {
        writeln!(io::stdout(), "{:#}", report.json)
    } else if report.exit.is_failure() {
        write!(io::stderr(), "{}", report.text)
    } else {
        write!(io::stdout(), "{}", report.text)
    };
    // If the report can't be written, for example to a closed pipe, a failed command still exits with its own code.
    match written {
        Err(_) if !report.exit.is_failure() => ExitCode::FAILURE,
        _ => ExitCode::from(report.exit.code()),
    }
}
