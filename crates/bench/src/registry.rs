//! The list of experiments.

use anyhow::Result;

use crate::{
    capacity, config, fairness, idempotency, index, limits, overhead, report::BenchRow, restart,
    rollout, routing, streams,
};

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
        entry("capacity", "processor time and bytes of each event, at three sizes", capacity::run),
        entry("config", "time and cost of a change of the configuration", config::run),
        entry("fairness", "what one account's excess does to the others", fairness::run),
        entry("index", "decision time, bytes an entry and events a second", index::run),
        entry("limits", "over-admission and wrongful refusals", limits::run),
        entry("once", "store calls and doubled runs of claimed requests", idempotency::run),
        entry("overhead", "latency that the router adds to the first token", overhead::run),
        entry("restart", "time until restarted routers hold and serve", restart::run),
        entry("rollout", "time and lost capacity of a rollout of weights", rollout::run),
        entry("routing", "hit rate and time to first token beside an oracle", routing::run),
        entry(
            "streams",
            "tokens decoded again after an engine's death, memory of a stream",
            streams::run,
        ),
    ]
}
