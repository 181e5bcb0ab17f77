//! Guards against a bad version that gets more requests than its bounds allow, against a good one that is rolled back, and
//! against an order without an outcome.
//!
//! Histories of a fleet: routers are killed, cut off from each other and from the store, and the order leader dies.

mod support;

use godwitroad_forward::StatusKind;
use support::{
    histories,
    rollout_fleet::{DURATION_MS, FleetFaults, ORDER_MS, RolloutFleet, VersionKind},
};
use yare::parameterized;

/// The bounds of [`RolloutSettings`](godwitroad_forward::RolloutSettings), and the operator's clock tolerance.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5_000;
const MAX_SKEW_MS: u64 = 6_000;

const CALM: FleetFaults = FleetFaults {
    gossip_loss: 0.0,
    kills: 0.0,
    leader_kills: 0.0,
    partitions: 0.0,
    store_losses: 0.0,
    outages: 0.0,
};
const ROUGH: FleetFaults =
    FleetFaults { gossip_loss: 0.1, kills: 0.15, partitions: 0.15, store_losses: 0.15, ..CALM };
const LEADER_DIES: FleetFaults = FleetFaults { gossip_loss: 0.05, leader_kills: 0.2, ..CALM };
const OUTAGES: FleetFaults = FleetFaults { gossip_loss: 0.05, outages: 0.15, ..CALM };

fn check(seed: u64, routers: usize, kind: VersionKind, faults: FleetFaults) {
    let mut fleet = RolloutFleet::new(seed, routers, kind, faults);
    fleet.run();
    let counts = fleet.counts;
    let context = format!("seed {seed}, {routers} routers, {kind:?}, {faults:?}: {counts:?}");
    if kind.is_good() {
        assert!(counts.stops.is_empty(), "a good version was stopped: {context}");
    } else {
        let bound = SHARE * counts.requests as f64 + SLACK;
        assert!(counts.exposed as f64 <= bound, "exposed more than {bound}: {context}");
        if let Some(bad) = counts.bad_50th {
            let skew = if faults.outages > 0.0 { MAX_SKEW_MS } else { 0 };
            assert!(counts.last_exposed <= bad + ROLLBACK_MS + skew, "used too long: {context}");
        }
    }
    let expected = if kind.is_good() { StatusKind::Completed } else { StatusKind::RolledBack };
    // The status can't be written without the store, and an outage at the end leaves no time for the shift.
    if faults.outages == 0.0 {
        let (state, at) = counts.status.unwrap_or_else(|| panic!("no outcome: {context}"));
        assert_eq!(state, expected, "{context}");
        assert!(at <= ORDER_MS + DURATION_MS, "late: {context}");
    } else if !kind.is_good() {
        let state = counts.status.map(|(state, _)| state);
        assert_ne!(state, Some(StatusKind::Completed), "{context}");
    }
}

#[parameterized(
    good = { VersionKind::Good },
    faulty_as_before = { VersionKind::FaultyAsBefore },
    one_faulty_target = { VersionKind::OneFaultyTarget },
    bad = { VersionKind::Bad },
    bad_later = { VersionKind::BadLater(5_000) },
    bad_much_later = { VersionKind::BadLater(8_000) },
    bad_under_load = { VersionKind::BadUnderLoad },
    bad_on_one_route = { VersionKind::BadOnOneRoute },
    slow = { VersionKind::Slow },
)]
fn rollouts_keep_the_bounds_and_end_as_the_version_deserves(kind: VersionKind) {
    let plans = [(3, CALM), (6, ROUGH), (6, LEADER_DIES), (5, OUTAGES)];
    for seed in 0..histories().div_ceil(5) {
        for (routers, faults) in plans {
            check(seed, routers, kind, faults);
        }
    }
}
