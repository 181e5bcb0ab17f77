//! The `routing` experiment: the product's choice of targets beside baselines and a router with exact knowledge.
//!
//! Several routers choose targets concurrently. Each has its own view, which is built from delayed and incomplete
//! cache events, delayed load reports and messages from the other routers. The simulated engines model only what
//! routing depends on.

mod engine;
mod load;
mod node;
mod peers;
pub(crate) mod result;
mod simulation;

use anyhow::Result;

use self::{
    load::{CASCADE, FirmProfile, HANBIT, WorkRequest, generate},
    node::PolicyKind,
    result::{RunFigures, RunResult},
    simulation::{FaultPlan, RoutingSimulation},
};
use crate::report::BenchRow;

/// The duration of a scenario, in seconds.
const RUN_SECONDS: u64 = 240;

/// The time at which the warm-up of the caches ends and the measurement starts, in microseconds.
const WARM_UP_END_US: u64 = 30_000_000;

/// The time at which other prefixes become popular or a mass restart begins, in microseconds.
const FAULT_AT_US: u64 = 120_000_000;

/// The time after such a fault during which its effects are measured, in microseconds.
const FAULT_WINDOW_US: u64 = 30_000_000;

/// A workload with faults.
#[derive(Clone, Debug)]
struct RoutingScenario {
    name: &'static str,
    plan: FaultPlan,
    /// The time at which other templates become popular, in microseconds.
    shift_us: Option<u64>,
    /// The start and the end of the measured arrivals, in microseconds.
    measured_us: (u64, u64),
    /// The lower bound of the hit rate relative to the oracle.
    min_hit_ratio: f64,
    /// Whether the bounds for the time to first token apply.
    has_latency_bounds: bool,
}

fn scenarios(workers: usize) -> Vec<RoutingScenario> {
    let plan = FaultPlan { loss_chance: 0.03, duplicate_chance: 0.03, ..Default::default() };
    let full_run = (WARM_UP_END_US, RUN_SECONDS * 1_000_000);
    let after_fault = (FAULT_AT_US, FAULT_AT_US + FAULT_WINDOW_US);
    let crashes =
        (0..4).map(|number| (60_000_000 + number * 40_000_000, number as usize * 2 % workers));
    vec![
        RoutingScenario {
            name: "late-events-gaps",
            plan: plan.clone(),
            shift_us: None,
            measured_us: full_run,
            min_hit_ratio: 0.95,
            has_latency_bounds: true,
        },
        RoutingScenario {
            name: "shift",
            plan: plan.clone(),
            shift_us: Some(FAULT_AT_US),
            measured_us: after_fault,
            min_hit_ratio: 0.90,
            has_latency_bounds: false,
        },
        RoutingScenario {
            name: "mass-restart",
            plan: FaultPlan { mass_restart: Some(FAULT_AT_US), ..plan.clone() },
            shift_us: None,
            measured_us: after_fault,
            min_hit_ratio: 0.90,
            has_latency_bounds: false,
        },
        RoutingScenario {
            name: "crashes",
            plan: FaultPlan { crashes: crashes.collect(), ..plan },
            shift_us: None,
            measured_us: full_run,
            min_hit_ratio: 0.90,
            has_latency_bounds: false,
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
/// Panics if the simulation of a scenario panics.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    // Each scenario depends on the seed alone, so that running them on threads changes only the duration.
    let scenario_rows: Vec<Vec<BenchRow>> = std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for firm in [&HANBIT, &CASCADE] {
            let workers = firm.zones.iter().map(|(_, workers)| workers).sum();
            for scenario in scenarios(workers) {
                runs.push(scope.spawn(move || run_scenario(firm, &scenario, seed)));
            }
        }
        runs.into_iter().map(|run| run.join().expect("a scenario panicked")).collect()
    });
    Ok(scenario_rows.into_iter().flatten().collect())
}

fn run_scenario(firm: &FirmProfile, scenario: &RoutingScenario, seed: u64) -> Vec<BenchRow> {
    let mut rows = Vec::new();
    let requests = generate(firm, seed, RUN_SECONDS, scenario.shift_us);
    let runs: Vec<(PolicyKind, RunResult, RunFigures)> = PolicyKind::ALL
        .into_iter()
        .map(|policy| {
            let result =
                RoutingSimulation::new(firm, &requests, &scenario.plan, policy, seed).run();
            let figures = figures(&result, &requests, scenario.measured_us);
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
        row("wasted recomputation", "ratio", figures.wasted_share);
        row("bytes across the link", "bytes", result.link_bytes as f64);
        row("retries", "requests", result.retries as f64);
        row("unanswered", "requests", figures.unanswered as f64);
    }
    let figures_of = |searched: PolicyKind| {
        let found = runs.iter().find(|(policy, _, _)| *policy == searched);
        found.map(|(_, _, figures)| *figures).unwrap_or_default()
    };
    push_comparison_rows(&name, scenario, &figures_of, &mut rows);
    rows
}

/// Adds the rows that relate the product to the other policies, with the stated bounds.
fn push_comparison_rows(
    name: &str,
    scenario: &RoutingScenario,
    figures_of: &impl Fn(PolicyKind) -> RunFigures,
    rows: &mut Vec<BenchRow>,
) {
    let product = figures_of(PolicyKind::Product);
    // The reference for each measure is the better one of the two oracle policies.
    let (oracle, greedy) = (figures_of(PolicyKind::Oracle), figures_of(PolicyKind::OracleGreedy));
    let best_hit = oracle.hit_rate.max(greedy.hit_rate);
    let best_p99 = oracle.p99_ms.min(greedy.p99_ms);
    let row = |measure: &str, value: f64| BenchRow::new(name, "product", measure, "ratio", value);
    let hit = product.hit_rate / best_hit;
    rows.push(row("hit rate relative to the oracle", hit).at_least(scenario.min_hit_ratio));
    let ratios = [
        ("p99 relative to the oracle", best_p99, 1.15),
        ("p99 relative to round robin", figures_of(PolicyKind::RoundRobin).p99_ms, 0.5),
        ("p99 relative to least-loaded", figures_of(PolicyKind::LeastLoaded).p99_ms, 1.0),
    ];
    for (measure, base, target) in ratios {
        let row = row(measure, product.p99_ms / base);
        rows.push(if scenario.has_latency_bounds { row.at_most(target) } else { row });
    }
}

fn figures(result: &RunResult, requests: &[WorkRequest], measured_us: (u64, u64)) -> RunFigures {
    result.figures(
        |index| (measured_us.0..measured_us.1).contains(&requests[index].at_us),
        |index| requests[index].chain.len(),
        |index| requests[index].tokens(),
    )
}
