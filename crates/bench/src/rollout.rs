//! How long a rollout of weights takes, and how much capacity it costs.
//!
//! Targets are small fakes: a load takes [`LOAD_MS`] while at most two load at once, and longer in proportion
//! beyond that, as the weight store is rate-limited. A target that loads serves nothing.

use std::collections::BTreeMap;

use anyhow::Result;
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, TargetName};
use godwitroad_orders::{
    ControllerSettings, DesiredTarget, OrderOutcome, RolloutAction, RolloutController,
    RolloutEvent, TargetOrder, TargetReport, WeightVersion,
};
use godwitroad_store::{KeyVersion, StoreReply, StoreRequest};

use crate::report::BenchRow;

/// The time of one load while at most two load at once.
const LOAD_MS: f64 = 800.0;

/// The loads that the weight store bears without slowing down.
const FAST_LOADS: f64 = 2.0;

/// The time between two reports of a target.
const REPORT_MS: u64 = 200;

/// The time after which a rollout counts as stuck.
const LIMIT_MS: u64 = 3_600_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadPolicy {
    Product,
    OneAtATime,
    AllAtOnce,
}

#[derive(Clone, Debug, Default)]
struct FakeTarget {
    left_ms: Option<f64>,
    loaded: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct RolloutCost {
    duration_ms: f64,
    lost_ms: f64,
    least_serving: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error when a rollout doesn't end.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for targets in [3, 9, 27] {
        for policy in [LoadPolicy::Product, LoadPolicy::OneAtATime, LoadPolicy::AllAtOnce] {
            let cost = simulate(seed, targets, policy)?;
            rows.extend(rows_of(targets, policy, cost));
        }
    }
    Ok(rows)
}

fn rows_of(targets: usize, policy: LoadPolicy, cost: RolloutCost) -> [BenchRow; 3] {
    let scenario = format!("{targets} targets");
    let name = match policy {
        LoadPolicy::Product => "product",
        LoadPolicy::OneAtATime => "one at a time",
        LoadPolicy::AllAtOnce => "all at once",
    };
    let row = |measure: &str, unit, value| BenchRow::new(&*scenario, name, measure, unit, value);
    [
        row("rollout time", "ms", cost.duration_ms),
        row("capacity lost", "target ms", cost.lost_ms),
        row("least share of targets serving", "ratio", cost.least_serving / targets as f64),
    ]
}

fn simulate(seed: u64, count: usize, policy: LoadPolicy) -> Result<RolloutCost> {
    let mut random = SeededRandom::new(seed);
    let mut targets: BTreeMap<TargetName, FakeTarget> = (0..count)
        .map(|index| (TargetName::new(format!("worker-{index:02}")), FakeTarget::default()))
        .collect();
    let mut holder = product_holder(&targets);
    let mut cost = RolloutCost { least_serving: count as f64, ..RolloutCost::default() };
    let offset = random.below(REPORT_MS);
    for now in 0..LIMIT_MS {
        match policy {
            LoadPolicy::Product => drive_product(&mut holder, now, offset, &mut targets),
            LoadPolicy::OneAtATime => start_loads(&mut targets, 1),
            LoadPolicy::AllAtOnce => start_loads(&mut targets, count),
        }
        advance_loads(&mut targets, &mut cost);
        if targets.values().all(|target| target.loaded) {
            cost.duration_ms = now as f64;
            return Ok(cost);
        }
    }
    anyhow::bail!("the rollout over {count} targets did not end within {LIMIT_MS} ms")
}

fn product_holder(targets: &BTreeMap<TargetName, FakeTarget>) -> RolloutController {
    let mut holder = RolloutController::new(ControllerSettings::default());
    let desired = targets.keys().map(|name| DesiredTarget {
        target: name.clone(),
        checks_fencing: true,
        weights: vec![weights()],
    });
    let desired = RolloutEvent::Configure(desired.collect());
    holder.handle(ClockTime::ZERO, desired, &mut Vec::new());
    holder
}

fn weights() -> WeightVersion {
    WeightVersion { model: "model".into(), version: "v2".into(), adapter: None }
}

fn drive_product(
    holder: &mut RolloutController,
    now: u64,
    offset: u64,
    targets: &mut BTreeMap<TargetName, FakeTarget>,
) {
    let time = ClockTime::from_ms(now);
    let mut actions = Vec::new();
    holder.handle(time, RolloutEvent::Candidate(true), &mut actions);
    if now % REPORT_MS == offset {
        for (name, target) in targets.iter() {
            let report = report_of(target);
            let event = RolloutEvent::Report { target: name.clone(), report };
            holder.handle(time, event, &mut actions);
        }
    }
    while let Some(action) = actions.pop() {
        let event = carry_out(action, now, targets);
        if let Some(event) = event {
            holder.handle(time, event, &mut actions);
        }
    }
}

fn report_of(target: &FakeTarget) -> TargetReport {
    let when = |flag: bool| if flag { vec![weights()] } else { Vec::new() };
    TargetReport {
        loaded: when(target.loaded),
        loading: when(target.left_ms.is_some()),
        age: ClockSpan::ZERO,
    }
}

fn carry_out(
    action: RolloutAction,
    now: u64,
    targets: &mut BTreeMap<TargetName, FakeTarget>,
) -> Option<RolloutEvent> {
    match action {
        RolloutAction::Store { call, request } => {
            let reply = match request {
                StoreRequest::Get { .. } => StoreReply::Value(None),
                _ => StoreReply::Written(KeyVersion(now + 1)),
            };
            Some(RolloutEvent::Store { call, outcome: Ok(reply) })
        }
        RolloutAction::Send { target, fence, order: TargetOrder::Load(_), .. } => {
            if let Some(state) = targets.get_mut(&target) {
                state.left_ms = Some(LOAD_MS);
            }
            Some(RolloutEvent::OrderAnswered { target, fence, outcome: OrderOutcome::Taken })
        }
        RolloutAction::LeaseHeld(_) => None,
    }
}

fn start_loads(targets: &mut BTreeMap<TargetName, FakeTarget>, most: usize) {
    let busy = targets.values().filter(|target| target.left_ms.is_some()).count();
    let idle = targets.values_mut().filter(|target| !target.loaded && target.left_ms.is_none());
    for target in idle.take(most.saturating_sub(busy)) {
        target.left_ms = Some(LOAD_MS);
    }
}

fn advance_loads(targets: &mut BTreeMap<TargetName, FakeTarget>, cost: &mut RolloutCost) {
    let loading = targets.values().filter(|target| target.left_ms.is_some()).count() as f64;
    let speed = (FAST_LOADS / loading.max(FAST_LOADS)).min(1.0);
    cost.lost_ms += loading;
    cost.least_serving = cost.least_serving.min(targets.len() as f64 - loading);
    for target in targets.values_mut() {
        if let Some(left) = target.left_ms {
            let left = left - speed;
            target.loaded = left <= 0.0;
            target.left_ms = (left > 0.0).then_some(left);
        }
    }
}
