//! Seeded histories of a faulty fleet: no node goes back, and every accepted change comes into force everywhere.

use godwitroad_sync::sim::{FleetSettings, HistoryReport, WrongVariant, run_history};
use yare::parameterized;

const SEEDS: u64 = 120;

fn run(seed: u64, wrong: WrongVariant) -> HistoryReport {
    run_history(seed, FleetSettings { wrong, ..FleetSettings::faulty(seed) })
}

/// Guards against a generation that falls, a node that is ready too early or never, a change that is lost or never
/// arrives, an operator who is told the wrong result, and a zone that doesn't notice that it is cut off.
#[test]
fn faulty_histories_keep_the_promises() {
    let mut accepted = 0;
    let mut conflicts = 0;
    for seed in 0..SEEDS {
        let report = run(seed, WrongVariant::None);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        accepted += report.accepted;
        conflicts += report.conflicts;
    }
    assert!(accepted > SEEDS && conflicts > 0, "{accepted} changes and {conflicts} races");
}

/// Guards against a judge that accepts everything.
#[parameterized(
    lost_update = { WrongVariant::BlindWrites, "two operators" },
    early_start = { WrongVariant::ServeAtOnce, "was to be had" },
    going_back = { WrongVariant::GoBack, "went from" },
    false_contact = { WrongVariant::FalseContact, "was cut off" },
)]
fn judge_notices(wrong: WrongVariant, text: &str) {
    // Many restarts in zones that are cut off give an early start the chance to show.
    let is_noticed = |seed| {
        let faulty = FleetSettings::faulty(seed);
        let report = run_history(seed, FleetSettings { wrong, cuts: 3, restarts: 6, ..faulty });
        report.violations.iter().any(|line| line.contains(text))
    };
    assert!((0..SEEDS).any(is_noticed));
}

/// Guards against a history that depends on anything but its seed.
#[test]
fn same_seed_gives_the_same_history() {
    let [first, second] = [3, 3].map(|seed| run(seed, WrongVariant::None));
    assert_eq!(first.in_force_ms, second.in_force_ms);
    assert_eq!(first.link_bytes, second.link_bytes);
}
