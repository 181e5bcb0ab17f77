//! The results of concurrent store clients must be those of one register, whatever the service loses.

mod support;

use godwitroad_base::ClockTime;
use godwitroad_store::sim::SimFaults;
use support::{
    history::{ClientFault, run},
    register::is_linearizable,
};

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

fn count_broken(fault: ClientFault, ignores_expected_version: bool) -> Vec<u64> {
    (0..SEEDS)
        .filter(|seed| {
            let faults = SimFaults { ignores_expected_version, ..faults(*seed) };
            !is_linearizable(&run(*seed, faults, fault))
        })
        .collect()
}

/// Guards against a lost answer that is taken for a failure or for a success, and against stale reads.
#[test]
fn histories_are_linearizable() {
    let broken = count_broken(ClientFault::None, false);
    assert!(broken.is_empty(), "histories of seeds {broken:?} have no order that explains them");
}

/// Guards against a checker that accepts everything.
#[test]
fn checker_notices_unknown_taken_for_not_done() {
    assert!(!count_broken(ClientFault::UnknownAsNotDone, false).is_empty());
}

/// Guards against a checker that accepts everything.
#[test]
fn checker_notices_conflict_taken_for_written() {
    assert!(!count_broken(ClientFault::ConflictAsWritten, false).is_empty());
}

/// Guards against a checker that doesn't see lost updates.
#[test]
fn checker_notices_service_without_compare() {
    assert!(!count_broken(ClientFault::None, true).is_empty());
}
