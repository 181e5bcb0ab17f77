//! The `restart` experiment: the time until restarted routers hold their rate-limit buckets again, and the requests
//! that are refused in that time.
//!
//! In the cold start, all processes start after the complete fleet has been down, so that no peer can hand off a bucket
//! and every bucket starts empty.

use std::sync::Arc;

use anyhow::Result;
use godwitroad_base::{AccountName, SeededRandom};
use godwitroad_config::RateConfig;
use godwitroad_limits::RateTable;

use crate::{
    fleet::{FaultKind, FleetArrival, FleetFault, FleetResult, FleetSim, FleetSpec, RequestEnd},
    report::BenchRow,
};

/// The duration of a run.
const DURATION_MS: u64 = 60_000;

/// The time at which the routers stop.
const STOP_AT_MS: u64 = 30_000;

/// The number of VMs in the fleet, each with one router.
const VM_COUNT: u64 = 9;

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; the signature is that of all experiments.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let fault = |from, until, kind| FleetFault { from, until, kind };
    let (from, until) = (STOP_AT_MS, STOP_AT_MS + 2_000);
    let cases = [
        (
            "planned stop of one router",
            "product",
            vec![fault(from, until, FaultKind::PlannedStop(0))],
        ),
        ("restart of one router", "product", vec![fault(from, until, FaultKind::Restart(0))]),
        ("restart of a zone", "product", vec![fault(from, until, FaultKind::RestartZone(0))]),
        ("restart of all", "product", vec![fault(from, until, FaultKind::RestartAll)]),
        (
            "restart of all, store down 10 s",
            "product",
            vec![
                fault(from, until, FaultKind::RestartAll),
                fault(from, from + 10_000, FaultKind::StoreDown),
            ],
        ),
        ("first start of all", "cold start", Vec::new()),
    ];
    let mut rows = Vec::new();
    for (scenario, policy, faults) in cases {
        let is_cold_start = faults.is_empty();
        let start = if is_cold_start { 0 } else { STOP_AT_MS };
        let arrivals = arrivals(seed, if is_cold_start { 0 } else { 15_000 });
        let spec = FleetSpec {
            seed,
            table: table(),
            arrivals: arrivals.clone(),
            faults,
            length: DURATION_MS,
            ..FleetSpec::default()
        };
        let result = FleetSim::new(spec).run();
        rows.extend(result_rows(scenario, policy, start, &arrivals, &result));
    }
    Ok(rows)
}

fn result_rows(
    scenario: &str,
    policy: &str,
    start: u64,
    arrivals: &[FleetArrival],
    result: &FleetResult,
) -> Vec<BenchRow> {
    let row = |measure, unit, value| BenchRow::new(scenario, policy, measure, unit, value);
    let ready = result.ready.iter().filter(|(_, begun, _)| *begun >= start);
    let ready_delays: Vec<u64> = ready.map(|(_, begun, ready_at)| ready_at - begun).collect();
    let window = start..start + 20_000;
    let in_window =
        || arrivals.iter().zip(&result.ends).filter(|(arrival, _)| window.contains(&arrival.at));
    let refused = in_window().filter(|(_, end)| !matches!(end, RequestEnd::Admitted(_))).count();
    let last_refusal = in_window().filter(|(_, end)| matches!(end, RequestEnd::Refused(_)));
    let last_refusal = last_refusal.map(|(arrival, _)| arrival.at - start).max().unwrap_or(0);
    let excess = result.violations.excess.values().copied().max().unwrap_or(0);
    vec![
        row("routers ready again", "routers", ready_delays.len() as f64),
        row(
            "slowest start until ready",
            "virtual ms",
            ready_delays.iter().max().copied().unwrap_or(0) as f64,
        ),
        row("requests in 20 s", "requests", in_window().count() as f64),
        row("requests not admitted in 20 s", "requests", refused as f64),
        row("last refusal after the stop", "virtual ms", last_refusal as f64),
        row("over-admission, worst window", "tokens", excess as f64).at_most(0.0),
    ]
}

fn table() -> Arc<RateTable> {
    let accounts = (0..5).map(|index| {
        let limit = RateConfig { tokens_per_second: 6_000, burst_tokens: 24_000 };
        (AccountName::new(format!("account-{index}")), limit)
    });
    let zones = ["zone-a", "zone-b", "zone-c"].map(Into::into).to_vec();
    Arc::new(RateTable { generation: 1, zones, accounts: accounts.collect() })
}

/// Returns the requests of all accounts, which start at `start` and go to random VMs.
fn arrivals(seed: u64, start: u64) -> Vec<FleetArrival> {
    let mut random = SeededRandom::new(seed ^ 0x2e57);
    let mut arrivals = Vec::new();
    for account in table().accounts.keys() {
        let mut at = start;
        while at < DURATION_MS - 2_000 {
            at += 1 + random.below(300);
            let (vm, tokens) = (random.below(VM_COUNT) as usize, 200 + random.below(600));
            arrivals.push(FleetArrival { at, vm, account: account.clone(), tokens });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
