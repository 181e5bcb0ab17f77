//! The results of concurrent store clients must be linearizable under every kind of fault of the service.

mod support;

use godwitroad_base::ClockTime;
use godwitroad_store::sim::SimFaults;
use support::{
    history::{ClientBug, run_history},
    register::is_linearizable,
};

/// The number of histories in each test, each with its own seed.
const SEEDS: u64 = 300;

fn faults(seed: u64) -> SimFaults {
    let from = ClockTime::from_ms(200 + seed % 700);
    let outages = if seed.is_multiple_of(3) {
        vec![(from, from + godwitroad_base::ClockSpan::from_ms(1_500))]
    } else {
        Vec::new()
    };
    SimFaults {
        lost_requests: 0.05,
        lost_answers: 0.2,
        late_requests: 0.03,
        slow_requests: 0.1,
        outages,
        ..SimFaults::default()
    }
}

fn violating_seeds(bug: ClientBug, ignores_expected_version: bool) -> Vec<u64> {
    (0..SEEDS)
        .filter(|seed| {
            let faults = SimFaults { ignores_expected_version, ..faults(*seed) };
            !is_linearizable(&run_history(*seed, faults, bug))
        })
        .collect()
}

/// Detects lost answers that are reported as a failure or as a success, and stale reads.
#[test]
fn histories_are_linearizable() {
    let violating = violating_seeds(ClientBug::None, false);
    assert!(violating.is_empty(), "histories of seeds {violating:?} are not linearizable");
}

/// The checker must reject the history of a client that reports a write with an unknown result as not done.
#[test]
fn checker_detects_unknown_reported_as_not_done() {
    assert!(!violating_seeds(ClientBug::UnknownAsNotDone, false).is_empty());
}

/// The checker must reject the history of a client that reports a conflict as a completed write.
#[test]
fn checker_detects_conflict_reported_as_written() {
    assert!(!violating_seeds(ClientBug::ConflictAsWritten, false).is_empty());
}

/// The checker must detect the lost updates of a service that ignores the expected version of a write.
#[test]
fn checker_detects_service_without_compare() {
    assert!(!violating_seeds(ClientBug::None, true).is_empty());
}
