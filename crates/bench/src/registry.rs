//! The registry of the experiments that the command-line tool can run.

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
    /// A one-line description, printed by `bench list`.
    pub about: &'static str,
    /// Runs the experiment with the seed of its random numbers and returns the measured rows.
    pub run: fn(seed: u64) -> Result<Vec<BenchRow>>,
}

/// Returns all experiments, sorted by name.
pub fn experiments() -> Vec<BenchExperiment> {
    let entry = |name, about, run| BenchExperiment { name, about, run };
    vec![
        entry("capacity", "processor time and bytes of each event, at three sizes", capacity::run),
        entry("config", "time and cost of a configuration change", config::run),
        entry(
            "fairness",
            "effect of the excess traffic of one account on the others",
            fairness::run,
        ),
        entry("index", "decision time, bytes per entry and events per second", index::run),
        entry("limits", "over-admission and wrongful refusals", limits::run),
        entry("once", "store calls and duplicate runs of claimed requests", idempotency::run),
        entry("overhead", "latency that the router adds to the first token", overhead::run),
        entry("restart", "time until restarted routers are ready and serve requests", restart::run),
        entry("rollout", "duration and lost capacity of a weight rollout", rollout::run),
        entry("routing", "hit rate and time to first token compared with an oracle", routing::run),
        entry(
            "streams",
            "tokens decoded again after an engine crash, memory of a stream",
            streams::run,
        ),
    ]
}
