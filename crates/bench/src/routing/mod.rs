//! The `routing` experiment: where requests go, beside baselines and an omniscient router.
//!
//! Several routers choose at once, each with its own view: cache events that come late and with gaps, load reports
//! that lag, and messages from the other routers. The fakes of engines are small; only what routing depends on is
//! modelled.

mod engine;
mod load;
mod node;
pub(crate) mod result;
mod world;

use anyhow::Result;

use self::{
    load::{CASCADE, FirmShape, HANBIT, WorkRequest, generate},
    node::PolicyKind,
    result::{RunFigures, RunResult},
    world::{FaultPlan, World},
};
use crate::report::BenchRow;

/// The length of a scenario, in seconds.
const RUN_SECONDS: u64 = 240;

/// The time at which caches are warm and counting starts, in microseconds.
const WARM_US: u64 = 30_000_000;

/// The time of a shift of hot prefixes or of a mass restart, in microseconds.
const FAULT_US: u64 = 120_000_000;

/// The time after a fault for which its own figures are taken, in microseconds.
const FAULT_SPAN_US: u64 = 30_000_000;

/// A workload with faults.
#[derive(Clone, Debug)]
struct RoutingScenario {
    name: &'static str,
    plan: FaultPlan,
    shift: Option<u64>,
    /// The part of the run that counts.
    counted: (u64, u64),
    hit_target: f64,
    /// Whether the targets for the time to first token apply.
    has_wait_targets: bool,
}

fn scenarios(workers: usize) -> Vec<RoutingScenario> {
    let plan = FaultPlan { lost: 0.03, twice: 0.03, ..Default::default() };
    let whole = (WARM_US, RUN_SECONDS * 1_000_000);
    let after = (FAULT_US, FAULT_US + FAULT_SPAN_US);
    let crashes = (0..4).map(|turn| (60_000_000 + turn * 40_000_000, turn as usize * 2 % workers));
    vec![
        RoutingScenario {
            name: "late-events-gaps",
            plan: plan.clone(),
            shift: None,
            counted: whole,
            hit_target: 0.95,
            has_wait_targets: true,
        },
        RoutingScenario {
            name: "shift",
            plan: plan.clone(),
            shift: Some(FAULT_US),
            counted: after,
            hit_target: 0.90,
            has_wait_targets: false,
        },
        RoutingScenario {
            name: "mass-restart",
            plan: FaultPlan { mass_restart: Some(FAULT_US), ..plan.clone() },
            shift: None,
            counted: after,
            hit_target: 0.90,
            has_wait_targets: false,
        },
        RoutingScenario {
            name: "crashes",
            plan: FaultPlan { crashes: crashes.collect(), ..plan },
            shift: None,
            counted: whole,
            hit_target: 0.90,
            has_wait_targets: false,
        },
    ]
}

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; the signature is that of all experiments.
///
/// # Panics
///
/// Panics when the simulation itself does.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    // Each scenario follows from the seed alone, so that threads change the time of a run and nothing else.
    let parts: Vec<Vec<BenchRow>> = std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for firm in [&HANBIT, &CASCADE] {
            let workers = firm.zones.iter().map(|(_, workers)| workers).sum();
            for scenario in scenarios(workers) {
                runs.push(scope.spawn(move || run_scenario(firm, &scenario, seed)));
            }
        }
        runs.into_iter().map(|run| run.join().expect("a scenario panicked")).collect()
    });
    Ok(parts.into_iter().flatten().collect())
}

fn run_scenario(firm: &FirmShape, scenario: &RoutingScenario, seed: u64) -> Vec<BenchRow> {
    let mut rows = Vec::new();
    let requests = generate(firm, seed, RUN_SECONDS, scenario.shift);
    let runs: Vec<(PolicyKind, RunResult, RunFigures)> = PolicyKind::ALL
        .into_iter()
        .map(|policy| {
            let result = World::new(firm, &requests, &scenario.plan, policy, seed).run();
            let figures = figures(&result, &requests, scenario.counted);
            (policy, result, figures)
        })
        .collect();
    let name = format!("{}/{}", firm.name, scenario.name);
    for (policy, result, figures) in &runs {
        let mut row = |measure: &str, unit: &'static str, value: f64| {
            rows.push(BenchRow::new(&name, policy.name(), measure, unit, value));
        };
        row("prefix hit rate", "ratio", figures.hit_rate);
        row("time to first token p50", "ms", figures.p50_ms);
        row("time to first token p99", "ms", figures.p99_ms);
        row("wasted recomputation", "ratio", figures.wasted);
        row("bytes across the link", "bytes", result.link_bytes as f64);
        row("retries", "requests", result.retries as f64);
        row("unanswered", "requests", figures.unanswered as f64);
    }
    let of = |wanted: PolicyKind| {
        let found = runs.iter().find(|(policy, _, _)| *policy == wanted);
        found.map(|(_, _, figures)| *figures).unwrap_or_default()
    };
    push_targets(&name, scenario, &of, &mut rows);
    rows
}

fn push_targets(
    name: &str,
    scenario: &RoutingScenario,
    of: &impl Fn(PolicyKind) -> RunFigures,
    rows: &mut Vec<BenchRow>,
) {
    let product = of(PolicyKind::Product);
    // For each measure the better of the two omniscient routers is the reference.
    let (oracle, greedy) = (of(PolicyKind::Oracle), of(PolicyKind::OracleGreedy));
    let best_hit = oracle.hit_rate.max(greedy.hit_rate);
    let best_p99 = oracle.p99_ms.min(greedy.p99_ms);
    let row = |measure: &str, value: f64| BenchRow::new(name, "product", measure, "ratio", value);
    let hit = product.hit_rate / best_hit;
    rows.push(row("hit rate relative to the oracle", hit).at_least(scenario.hit_target));
    let ratios = [
        ("p99 relative to the oracle", best_p99, 1.15),
        ("p99 relative to round robin", of(PolicyKind::RoundRobin).p99_ms, 0.5),
        ("p99 relative to least-loaded", of(PolicyKind::LeastLoaded).p99_ms, 1.0),
    ];
    for (measure, base, target) in ratios {
        let row = row(measure, product.p99_ms / base);
        rows.push(if scenario.has_wait_targets { row.at_most(target) } else { row });
    }
}

fn figures(result: &RunResult, requests: &[WorkRequest], counted: (u64, u64)) -> RunFigures {
    result.figures(
        |place| (counted.0..counted.1).contains(&requests[place].at_us),
        |place| requests[place].chain.len(),
        |place| requests[place].tokens(),
    )
}
