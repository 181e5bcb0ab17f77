//! The `once` experiment: the cost of claims of run-once requests, and their guarantees under faults.
//!
//! The product is compared with a baseline of one store write for each claim, and with a baseline that keeps claims in
//! the memory of an owner and a second VM.

mod in_memory;
mod write_per_claim;

use anyhow::{Result, ensure};
use godwitroad_idempotency::{
    ClaimCounters, HistoryReport,
    sim::{FleetSettings, run_history},
};

use crate::report::BenchRow;

/// The number of simulated histories with faults.
const HISTORY_COUNT: u64 = 10_000;

/// A workload of claimed requests, which runs without faults.
pub(crate) struct ClaimLoad {
    name: &'static str,
    zones: usize,
    vms_per_zone: usize,
    remote_zones: usize,
    claims_per_second: usize,
    seconds: usize,
}

// The present size has 50 requests/s, of which a fifth is claimed; the full size has 5,800 requests/s, of which 5% are
// claimed.
const LOADS: [ClaimLoad; 2] = [
    ClaimLoad {
        name: "9 nodes, 10 claims/s",
        zones: 3,
        vms_per_zone: 3,
        remote_zones: 1,
        claims_per_second: 10,
        seconds: 60,
    },
    ClaimLoad {
        name: "336 nodes, 290 claims/s",
        zones: 21,
        vms_per_zone: 16,
        remote_zones: 18,
        claims_per_second: 290,
        seconds: 20,
    },
];

/// The cost of a policy under a load.
pub(crate) struct ClaimCost {
    /// The latency that each claim added, in virtual milliseconds.
    pub(crate) latencies: Vec<u64>,
    pub(crate) claims: u64,
    /// The calls to the store, reads and writes.
    pub(crate) calls: u64,
    pub(crate) writes: u64,
    /// The bytes from and to the store.
    pub(crate) bytes: u64,
    /// The requests that were refused because no claim was made.
    pub(crate) refused: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a request has no outcome at the end of a history.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for load in &LOADS {
        let report = run_history(seed, load.settings());
        ensure!(report.undecided == 0, "{}: requests without an outcome", load.name);
        cost_rows(load, "product", product_cost(report), &mut rows);
        let fleet = FleetSettings { has_fleet_owners: true, ..load.settings() };
        cost_rows(load, "fleet_owner", product_cost(run_history(seed, fleet)), &mut rows);
        cost_rows(
            load,
            "write_per_claim",
            write_per_claim::measure(seed, &load.settings()),
            &mut rows,
        );
        cost_rows(load, "in_memory", in_memory::measure(seed, &load.settings()), &mut rows);
    }
    let mut product_report = HistoryReport::default();
    let mut counters = ClaimCounters::default();
    let mut in_memory_report = in_memory::InMemoryReport::default();
    for index in 0..HISTORY_COUNT {
        let history = seed.wrapping_mul(1_000_003).wrapping_add(index);
        let report = run_history(history, FleetSettings::with_random_faults(history));
        ensure!(report.undecided == 0, "history {history}: requests without an outcome");
        if !report.violations.is_empty() {
            eprintln!("history {history}: {:?}", report.violations);
        }
        product_report.duplicate_runs += report.duplicate_runs;
        product_report.false_not_run += report.false_not_run;
        product_report.wrong_answers += report.wrong_answers;
        product_report.executed += report.executed;
        product_report.crashes += report.crashes;
        counters.add(&report.counters);
        in_memory_report
            .add(&in_memory::run_history(history, &FleetSettings::with_random_faults(history)));
    }
    history_rows(&product_report, &counters, &in_memory_report, &mut rows);
    Ok(rows)
}

impl ClaimLoad {
    fn settings(&self) -> FleetSettings {
        FleetSettings {
            zones: self.zones,
            vms_per_zone: self.vms_per_zone,
            remote_zones: self.remote_zones,
            duration_ms: self.seconds as u64 * 1_000,
            requests: self.claims_per_second * self.seconds,
            keys: 0,
            retries: 0,
            rejected_runs: 0.0,
            ..FleetSettings::default()
        }
    }
}

fn product_cost(report: HistoryReport) -> ClaimCost {
    ClaimCost {
        claims: report.counters.claims,
        calls: report.store_calls,
        writes: report.counters.writes,
        bytes: report.store_bytes,
        refused: report.counters.not_run,
        latencies: report.latencies,
    }
}

fn cost_rows(load: &ClaimLoad, policy: &str, mut cost: ClaimCost, rows: &mut Vec<BenchRow>) {
    cost.latencies.sort_unstable();
    let quantile = |share: f64| {
        let index = (cost.latencies.len().saturating_sub(1) as f64 * share) as usize;
        cost.latencies.get(index).copied().unwrap_or(0) as f64
    };
    let claims = cost.claims.max(1) as f64;
    let values = [
        ("added latency, median", "virtual ms", quantile(0.5)),
        ("added latency, p99", "virtual ms", quantile(0.99)),
        ("store calls per claimed request", "calls", cost.calls as f64 / claims),
        ("store calls per second", "calls/s", cost.calls as f64 / load.seconds as f64),
        ("store writes per second", "calls/s", cost.writes as f64 / load.seconds as f64),
        ("store bytes per claimed request", "bytes", cost.bytes as f64 / claims),
        ("requests refused as not run", "count", cost.refused as f64),
    ];
    rows.extend(
        values.map(|(measure, unit, value)| BenchRow::new(load.name, policy, measure, unit, value)),
    );
}

fn history_rows(
    product_report: &HistoryReport,
    counters: &ClaimCounters,
    in_memory_report: &in_memory::InMemoryReport,
    rows: &mut Vec<BenchRow>,
) {
    let scenario = "10,000 faulty histories";
    let row = |policy, measure, value: u64| {
        BenchRow::new(scenario, policy, measure, "count", value as f64)
    };
    rows.extend([
        row("product", "doubled runs", product_report.duplicate_runs).at_most(0.0),
        row("product", "false not-run refusals", product_report.false_not_run).at_most(0.0),
        row("product", "wrong answers", product_report.wrong_answers).at_most(0.0),
        row("product", "requests that ran", product_report.executed),
        row("product", "processes that ended", product_report.crashes),
        row("product", "claims asked for", counters.claims),
        row("product", "refused as not run", counters.not_run),
        row("product", "refused as pending", counters.pending),
        row("product", "refused as unknown", counters.unknown),
        row("product", "answered again", counters.replayed),
        row("product", "write conflicts", counters.conflicts),
        row("in_memory", "doubled runs", in_memory_report.duplicate_runs),
        row("in_memory", "requests that ran", in_memory_report.executed),
    ]);
}
