//! Seeded histories of a faulty fleet: no key runs twice, and no refusal as "not run" is false.

use godwitroad_idempotency::{
    HistoryReport,
    sim::{FleetSettings, WrongVariant, run_history},
};
use yare::parameterized;

const SEEDS: u64 = 400;

fn run(seed: u64, wrong: WrongVariant) -> HistoryReport {
    run_history(seed, FleetSettings { wrong, ..FleetSettings::with_random_faults(seed) })
}

/// Guards against double runs, false refusals, crossed answers and requests that are never decided.
#[test]
fn faulty_histories_keep_the_promises() {
    let mut executed = 0;
    for seed in 0..SEEDS {
        let report = run(seed, WrongVariant::None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert_eq!(report.undecided, 0, "seed {seed}: requests without a verdict");
        executed += report.executed;
    }
    assert!(executed > SEEDS, "only {executed} requests ran: the histories show nothing");
}

/// Guards against a judge that accepts everything.
#[parameterized(
    double_runs = { WrongVariant::BlindWrites, |report| report.duplicate_runs },
    late_runs = { WrongVariant::LateRuns, |report| report.false_not_run },
    cut_answers = { WrongVariant::CutAnswers, |report| report.wrong_answers },
)]
fn judge_notices(wrong: WrongVariant, count: fn(&HistoryReport) -> u64) {
    let breaches: u64 = (0..SEEDS).map(|seed| count(&run(seed, wrong))).sum();
    assert!(breaches > 0);
}

/// Guards against a history that depends on anything but its seed.
#[test]
fn same_seed_gives_the_same_history() {
    let [first, second] = [11, 11].map(|seed| run(seed, WrongVariant::None));
    assert_eq!(first.latencies, second.latencies);
    assert_eq!(first.counters, second.counters);
    assert_eq!(first.store_bytes, second.store_bytes);
}
