//! Simulated histories of a fleet with random faults: no key runs twice, and no refused request runs.

use godwitroad_idempotency::{
    HistoryReport,
    sim::{FleetSettings, InjectedBug, run_history},
};
use yare::parameterized;

const SEEDS: u64 = 400;

fn run(seed: u64, injected_bug: InjectedBug) -> HistoryReport {
    run_history(seed, FleetSettings { injected_bug, ..FleetSettings::with_random_faults(seed) })
}

/// Guards against duplicate runs, refused requests that run, wrong answers and requests without a decision.
#[test]
fn random_faults_cause_no_violation() {
    let mut executed = 0;
    for seed in 0..SEEDS {
        let report = run(seed, InjectedBug::None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert_eq!(report.undecided, 0, "seed {seed}: requests without a decision");
        executed += report.executed;
    }
    assert!(executed > SEEDS, "only {executed} requests ran, too few to test anything");
}

/// Guards against a checker that misses violations, by injecting a bug for each kind.
#[parameterized(
    duplicate_runs = { InjectedBug::BlindWrites, |report| report.duplicate_runs },
    run_after_refusal = { InjectedBug::RunAfterRefusal, |report| report.false_not_run },
    truncated_answers = { InjectedBug::TruncatedAnswers, |report| report.wrong_answers },
)]
fn checker_detects(injected_bug: InjectedBug, count: fn(&HistoryReport) -> u64) {
    let violations: u64 = (0..SEEDS).map(|seed| count(&run(seed, injected_bug))).sum();
    assert!(violations > 0);
}

/// Guards against a history that depends on anything other than its seed.
#[test]
fn same_seed_gives_the_same_history() {
    let [first, second] = [11, 11].map(|seed| run(seed, InjectedBug::None));
    assert_eq!(first.latencies, second.latencies);
    assert_eq!(first.counters, second.counters);
    assert_eq!(first.store_bytes, second.store_bytes);
}
