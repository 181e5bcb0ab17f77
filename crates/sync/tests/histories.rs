//! Simulated histories of a fleet with random faults: no node returns to an earlier generation, and every accepted
//! change comes into force on all nodes.

use godwitroad_sync::sim::{FleetSettings, HistoryReport, InjectedBug, run_history};
use yare::parameterized;

const SEEDS: u64 = 120;

fn run(seed: u64, injected_bug: InjectedBug) -> HistoryReport {
    run_history(seed, FleetSettings { injected_bug, ..FleetSettings::with_random_faults(seed) })
}

/// Detects a node whose generation decreases, a node that is ready too early or never, a change that is lost or never
/// comes into force, a wrong result for an operator, and a zone that doesn't notice that it is partitioned.
#[test]
fn no_violation_under_random_faults() {
    let mut accepted = 0;
    let mut conflicts = 0;
    for seed in 0..SEEDS {
        let report = run(seed, InjectedBug::None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        accepted += report.accepted;
        conflicts += report.conflicts;
    }
    assert!(
        accepted > SEEDS && conflicts > 0,
        "{accepted} accepted changes and {conflicts} conflicts"
    );
}

/// The checker must detect each injected bug.
#[parameterized(
    unconditional_writes = { InjectedBug::UnconditionalWrites, "operators of two changes" },
    ready_with_first_document = { InjectedBug::ReadyWithFirstDocument, "was available" },
    state_rollback = { InjectedBug::StateRollback, "went from" },
    false_contact_age = { InjectedBug::FalseContactAge, "was partitioned" },
)]
fn checker_detects(injected_bug: InjectedBug, text: &str) {
    // Many restarts and partitions make it likely that a node is ready too early.
    let is_detected = |seed| {
        let settings = FleetSettings::with_random_faults(seed);
        let report = run_history(
            seed,
            FleetSettings { injected_bug, partitions: 3, restarts: 6, ..settings },
        );
        report.violations.iter().any(|line| line.contains(text))
    };
    assert!((0..SEEDS).any(is_detected));
}

/// A history must depend on its seed alone.
#[test]
fn same_seed_gives_the_same_history() {
    let [first, second] = [3, 3].map(|seed| run(seed, InjectedBug::None));
    assert_eq!(first.in_force_ms, second.in_force_ms);
    assert_eq!(first.link_bytes, second.link_bytes);
}
