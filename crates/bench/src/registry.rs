//! The list of experiments.

use anyhow::Result;

use crate::report::BenchRow;

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
            name: "config",
            about: "time and cost of a change",
            run: crate::config::run,
        },
        BenchExperiment {
            name: "once",
            about: "claims of run-once requests",
            run: crate::once::run,
        },
    ]
}
