//! The time that load reports take: those of an engine and those that peers pass on.

use anyhow::Result;
use godwitroad_base::NodeId;
use godwitroad_prefix::TargetTag;
use godwitroad_router::{LoadReport, LoadUpdate, PeerMessage, RouterEvent, RouterState};

use super::{
    fit::{fit_rows, least_us},
    sample::{START, document, lone_router, target_name},
};
use crate::report::BenchRow;

/// The targets in one message: 6,700 targets over 330 readers.
pub(super) const REPORTS: usize = 20;

const MESSAGES: usize = 200;

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let points: Vec<(f64, f64)> = [340, 1_700, 4_000]
        .iter()
        .map(|&targets| {
            let prepare = || lone_router(seed, document(1, targets));
            (targets as f64, least_us(prepare, take_messages) / MESSAGES as f64)
        })
        .collect();
    let (scenario, unit) = ("load message of 20 reports", "us (machine)");
    let mut rows = fit_rows(scenario, "time of one message", "targets", unit, &points);
    let points: Vec<(f64, f64)> = [1_000, 2_000, 4_000]
        .iter()
        .map(|&count| {
            let prepare = || lone_router(seed, document(1, 4_000));
            (f64::from(count), least_us(prepare, |state| take_reports(state, count)))
        })
        .collect();
    rows.extend(fit_rows("load polled at 20 targets", "time", "reports", unit, &points));
    Ok(rows)
}

fn take_messages(state: &mut RouterState) {
    let mut actions = Vec::new();
    for _ in 0..MESSAGES {
        let message = PeerMessage::Load(news());
        let from = NodeId::new("vm-2", 1);
        state.handle(START, RouterEvent::Peer { from, message }, &mut actions);
        actions.clear();
    }
}

fn take_reports(state: &mut RouterState, count: u32) {
    let mut actions = Vec::new();
    for number in 0..count as usize {
        let target = target_name(number % REPORTS).into();
        state.handle(START, RouterEvent::Load { target, report: report(number) }, &mut actions);
        actions.clear();
    }
}

/// Returns a message with the reports of [`REPORTS`] targets.
pub(super) fn news() -> LoadUpdate {
    let line = |number| (TargetTag::of(&target_name(number)), report(number));
    LoadUpdate { reports: (0..REPORTS).map(line).collect(), dispatches: Vec::new() }
}

fn report(number: usize) -> LoadReport {
    LoadReport {
        incarnation: 1_764_816_000_000,
        running: 17,
        waiting: 3,
        waiting_tokens: 6_000 + number as u64,
        age_ms: 40,
    }
}
