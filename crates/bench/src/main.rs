//! The command-line tool that runs one experiment and prints its rows.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use argh::FromArgs;
use godwitroad_bench::{
    plot,
    registry::experiments,
    report::{BenchReport, BenchRow},
};

/// Measures the router beside its baselines.
#[derive(Debug, FromArgs)]
struct BenchArgs {
    /// the experiment to run, or `list`
    #[argh(positional)]
    name: String,
    /// the seed from which the run follows
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// write the rows that share a unit as bars to this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &BenchArgs) -> Result<()> {
    if args.name == "list" {
        for experiment in experiments() {
            println!("{:<10} {}", experiment.name, experiment.about);
        }
        return Ok(());
    }
    let experiment = experiments()
        .into_iter()
        .find(|experiment| experiment.name == args.name)
        .with_context(|| format!("no experiment is named `{}`; see `bench list`", args.name))?;
    let rows = (experiment.run)(args.seed)?;
    if let Some(path) = &args.plot {
        plot::draw(path, experiment.name, &rows)?;
    }
    if args.json {
        let report = BenchReport { experiment: experiment.name, seed: args.seed, rows };
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        rows.iter().for_each(print_row);
    }
    Ok(())
}

fn print_row(row: &BenchRow) {
    let met = match row.met {
        Some(true) => "met",
        Some(false) => "NOT MET",
        None => "",
    };
    let target = row.target.map(|target| target.to_string()).unwrap_or_default();
    println!(
        "{:<28} {:<14} {:<34} {:>14.4} {:<12} {target:>8} {met}",
        row.scenario, row.policy, row.measure, row.value, row.unit
    );
}
