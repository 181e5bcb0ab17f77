//! The `rollout` experiment: the duration of a rollout of weights and the serving capacity that it costs.
//!
//! The targets are simulated. A load takes [`LOAD_MS`] while at most two targets load concurrently; with more it takes
//! longer in proportion, because the weight store is rate-limited. A target serves no requests while it loads.

use std::collections::BTreeMap;

use anyhow::Result;
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, TargetName};
use godwitroad_orders::{
    ControllerSettings, DesiredTarget, OrderOutcome, RolloutAction, RolloutController,
    RolloutEvent, TargetOrder, TargetReport, WeightVersion,
};
use godwitroad_store::{KeyVersion, StoreReply, StoreRequest};

use crate::report::BenchRow;

/// The duration of a load while at most two targets load concurrently.
const LOAD_MS: f64 = 800.0;

/// The number of concurrent loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: f64 = 2.0;

/// The interval between two reports of a target.
const REPORT_MS: u64 = 200;

/// The time after which a rollout is considered stuck.
const TIMEOUT_MS: u64 = 3_600_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadPolicy {
    Product,
    OneAtATime,
    AllAtOnce,
}

/// A target that loads the new weights.
#[derive(Clone, Debug, Default)]
struct SimTarget {
    /// The remaining time of the present load at full speed.
    remaining_ms: Option<f64>,
    loaded: bool,
}

/// The duration of a rollout and its effect on the serving capacity.
#[derive(Clone, Copy, Debug, Default)]
struct RolloutCost {
    duration_ms: f64,
    /// The sum over all targets of the time in which they didn't serve.
    lost_target_ms: f64,
    /// The smallest number of targets that served at the same time.
    min_serving: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a rollout doesn't end within an hour of simulated time.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for targets in [3, 9, 27] {
        for policy in [LoadPolicy::Product, LoadPolicy::OneAtATime, LoadPolicy::AllAtOnce] {
            let cost = simulate(seed, targets, policy)?;
            rows.extend(cost_rows(targets, policy, cost));
        }
    }
    Ok(rows)
}

fn cost_rows(targets: usize, policy: LoadPolicy, cost: RolloutCost) -> [BenchRow; 3] {
    let scenario = format!("{targets} targets");
    let name = match policy {
        LoadPolicy::Product => "product",
        LoadPolicy::OneAtATime => "one at a time",
        LoadPolicy::AllAtOnce => "all at once",
    };
    let row = |measure: &str, unit, value| BenchRow::new(&*scenario, name, measure, unit, value);
    [
        row("rollout time", "ms", cost.duration_ms),
        row("capacity lost", "target ms", cost.lost_target_ms),
        row("least share of targets serving", "ratio", cost.min_serving / targets as f64),
    ]
}

fn simulate(seed: u64, count: usize, policy: LoadPolicy) -> Result<RolloutCost> {
    let mut random = SeededRandom::new(seed);
    let mut targets: BTreeMap<TargetName, SimTarget> = (0..count)
        .map(|index| (TargetName::new(format!("worker-{index:02}")), SimTarget::default()))
        .collect();
    let mut controller = product_controller(&targets);
    let mut cost = RolloutCost { min_serving: count as f64, ..RolloutCost::default() };
    let offset = random.below(REPORT_MS);
    for now in 0..TIMEOUT_MS {
        match policy {
            LoadPolicy::Product => step_product(&mut controller, now, offset, &mut targets),
            LoadPolicy::OneAtATime => start_loads(&mut targets, 1),
            LoadPolicy::AllAtOnce => start_loads(&mut targets, count),
        }
        advance_loads(&mut targets, &mut cost);
        if targets.values().all(|target| target.loaded) {
            cost.duration_ms = now as f64;
            return Ok(cost);
        }
    }
    anyhow::bail!("the rollout over {count} targets did not end within {TIMEOUT_MS} ms")
}

fn product_controller(targets: &BTreeMap<TargetName, SimTarget>) -> RolloutController {
    let mut controller = RolloutController::new(ControllerSettings::default());
    let desired = targets.keys().map(|name| DesiredTarget {
        target: name.clone(),
        checks_fencing: true,
        weights: vec![weights()],
    });
    let desired = RolloutEvent::Configure(desired.collect());
    controller.handle(ClockTime::ZERO, desired, &mut Vec::new());
    controller
}

fn weights() -> WeightVersion {
    WeightVersion { model: "model".into(), version: "v2".into(), adapter: None }
}

/// Runs the product's controller at the time `now`, in milliseconds, and carries out its store calls and orders.
fn step_product(
    controller: &mut RolloutController,
    now: u64,
    offset: u64,
    targets: &mut BTreeMap<TargetName, SimTarget>,
) {
    let time = ClockTime::from_ms(now);
    let mut actions = Vec::new();
    controller.handle(time, RolloutEvent::Candidate(true), &mut actions);
    if now % REPORT_MS == offset {
        for (name, target) in targets.iter() {
            let report = report_of(target);
            let event = RolloutEvent::Report { target: name.clone(), report };
            controller.handle(time, event, &mut actions);
        }
    }
    while let Some(action) = actions.pop() {
        let event = apply_action(action, now, targets);
        if let Some(event) = event {
            controller.handle(time, event, &mut actions);
        }
    }
}

fn report_of(target: &SimTarget) -> TargetReport {
    let weights_if = |flag: bool| if flag { vec![weights()] } else { Vec::new() };
    TargetReport {
        loaded: weights_if(target.loaded),
        loading: weights_if(target.remaining_ms.is_some()),
        age: ClockSpan::ZERO,
    }
}

fn apply_action(
    action: RolloutAction,
    now: u64,
    targets: &mut BTreeMap<TargetName, SimTarget>,
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
                state.remaining_ms = Some(LOAD_MS);
            }
            Some(RolloutEvent::OrderAnswered { target, fence, outcome: OrderOutcome::Taken })
        }
        RolloutAction::LeaseHeld(_) => None,
    }
}

/// Starts loads until `max_loading` targets load concurrently.
fn start_loads(targets: &mut BTreeMap<TargetName, SimTarget>, max_loading: usize) {
    let busy = targets.values().filter(|target| target.remaining_ms.is_some()).count();
    let idle =
        targets.values_mut().filter(|target| !target.loaded && target.remaining_ms.is_none());
    for target in idle.take(max_loading.saturating_sub(busy)) {
        target.remaining_ms = Some(LOAD_MS);
    }
}

/// Advances all loads by one millisecond and adds to the cost.
fn advance_loads(targets: &mut BTreeMap<TargetName, SimTarget>, cost: &mut RolloutCost) {
    let loading = targets.values().filter(|target| target.remaining_ms.is_some()).count() as f64;
    let speed = (FULL_SPEED_LOADS / loading.max(FULL_SPEED_LOADS)).min(1.0);
    cost.lost_target_ms += loading;
    cost.min_serving = cost.min_serving.min(targets.len() as f64 - loading);
    for target in targets.values_mut() {
        if let Some(remaining) = target.remaining_ms {
            let remaining = remaining - speed;
            target.loaded = remaining <= 0.0;
            target.remaining_ms = (remaining > 0.0).then_some(remaining);
        }
    }
}
