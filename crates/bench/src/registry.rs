//! The list of experiments.

use anyhow::Result;

use crate::{report::BenchRow, routing};

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
    vec![BenchExperiment {
        name: "routing",
        about: "hit rate and time to first token beside baselines and an oracle",
        run: routing::run,
    }]
}
