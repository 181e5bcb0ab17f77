//! The list of experiments.

use anyhow::Result;

use crate::{fairness, index, report::BenchRow, routing};

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
    let entry = |name, about, run| BenchExperiment { name, about, run };
    vec![
        entry("fairness", "what one account's excess does to the others", fairness::run),
        entry("index", "time, memory and event rate of the index at full size", index::run),
        entry("routing", "hit rate and time to first token beside an oracle", routing::run),
    ]
}
