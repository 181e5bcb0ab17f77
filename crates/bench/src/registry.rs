//! The list of experiments.

use anyhow::Result;

use crate::{limits, report::BenchRow, restart};

/// An experiment that `bench` can run.
#[derive(Clone, Copy, Debug)]
pub struct BenchExperiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What the experiment shows, in one line.
    pub about: &'static str,
    /// Runs the experiment from a seed.
    pub run: fn(seed: u64) -> Result<Vec<BenchRow>>,
}

/// Returns all experiments in the order of their names.
pub fn experiments() -> Vec<BenchExperiment> {
    vec![
        BenchExperiment {
            name: "limits",
            about: "over-admission and wrongful refusals",
            run: limits::run,
        },
        BenchExperiment {
            name: "restart",
            about: "time until restarted routers hold and serve",
            run: restart::run,
        },
    ]
}
