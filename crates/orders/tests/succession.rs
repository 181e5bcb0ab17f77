//! Guards against an order that takes effect after an order of a newer lease holder, against more than two loads at
//! once, and against a rollout that doesn't complete.
//!
//! In the simulation, routers are suspended, their clocks drift, store calls fail or lose their replies, and orders
//! and reports are delayed.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, SeededRandom, TargetName};
use godwitroad_orders::{
    ControllerSettings, DesiredTarget, OrderOutcome, RolloutAction, RolloutController,
    RolloutEvent, TargetOrder, TargetReport, WeightVersion,
};
use godwitroad_store::{
    CallId, KeyVersion, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};
use yare::parameterized;

const CONTROLLERS: usize = 3;
const LOAD_MS: u64 = 800;
const STEP_MS: u64 = 20;

/// The faults that a simulation injects, and the delays of orders.
#[derive(Clone, Copy)]
struct FaultPlan {
    pauses: bool,
    store_faults: bool,
    delivery_ms: u64,
    network_ms: u64,
}

const FAULTS: FaultPlan =
    FaultPlan { pauses: true, store_faults: true, delivery_ms: 2_000, network_ms: 2_000 };

struct SimTarget {
    checks_fencing: bool,
    newest_fence: u64,
    loaded: Vec<WeightVersion>,
    loading: Option<(WeightVersion, u64)>,
}

enum Message {
    Store { controller: usize, call: CallId, request: StoreRequest },
    Answer { controller: usize, call: CallId, outcome: StoreOutcome },
    Order { controller: usize, target: TargetName, fence: u64, order: TargetOrder },
    OrderAnswered { controller: usize, target: TargetName, fence: u64, outcome: OrderOutcome },
    Report { controller: usize, target: TargetName, report: TargetReport, taken_at: u64 },
}

struct Simulation {
    random: SeededRandom,
    plan: FaultPlan,
    has_faults: bool,
    now: u64,
    controllers: Vec<RolloutController>,
    clock_drifts_ppm: Vec<i64>,
    paused_until: Vec<u64>,
    entry: Option<StoreEntry>,
    version: u64,
    store_down_until: u64,
    messages: Vec<(u64, Message)>,
    targets: BTreeMap<TargetName, SimTarget>,
    violations: Vec<String>,
}

fn weights() -> WeightVersion {
    WeightVersion { model: "seal".into(), version: "v2".into(), adapter: None }
}

impl Simulation {
    fn new(seed: u64, plan: FaultPlan, targets: usize, checks_fencing: bool) -> Simulation {
        let mut random = SeededRandom::new(seed);
        let names = (0..targets).map(|index| TargetName::new(format!("worker-{index}")));
        let target =
            || SimTarget { checks_fencing, newest_fence: 0, loaded: Vec::new(), loading: None };
        let targets: BTreeMap<TargetName, SimTarget> = names.map(|name| (name, target())).collect();
        let controller = |index: usize| {
            let mut controller = RolloutController::new(ControllerSettings {
                node: NodeId::new(format!("vm-{index}"), 1),
                delivery_timeout: ClockSpan::from_ms(plan.delivery_ms),
                lease: ClockSpan::from_ms(6_000),
                ..ControllerSettings::default()
            });
            let desired = targets.keys().map(|name| DesiredTarget {
                target: name.clone(),
                checks_fencing,
                weights: vec![weights()],
            });
            let desired = RolloutEvent::Configure(desired.collect());
            controller.handle(ClockTime::ZERO, desired, &mut Vec::new());
            controller.handle(ClockTime::ZERO, RolloutEvent::Candidate(true), &mut Vec::new());
            controller
        };
        Simulation {
            clock_drifts_ppm: (0..CONTROLLERS).map(|_| random.below(1_001) as i64 - 500).collect(),
            random,
            plan,
            has_faults: true,
            now: 0,
            controllers: (0..CONTROLLERS).map(controller).collect(),
            paused_until: vec![0; CONTROLLERS],
            entry: None,
            version: 0,
            store_down_until: 0,
            messages: Vec::new(),
            targets,
            violations: Vec::new(),
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.inject_faults();
            self.finish_loads();
            self.deliver();
            for controller in 0..CONTROLLERS {
                self.send_reports(controller);
                self.drive(controller, RolloutEvent::Tick);
            }
        }
    }

    fn inject_faults(&mut self) {
        if !self.has_faults {
            return;
        }
        if self.plan.pauses && self.random.chance(0.002) {
            let controller = self.random.below(CONTROLLERS as u64) as usize;
            self.paused_until[controller] = self.now + self.random.below(20_000);
        }
        if self.plan.store_faults && self.random.chance(0.001) {
            self.store_down_until = self.now + self.random.below(15_000);
        }
    }

    fn finish_loads(&mut self) {
        for target in self.targets.values_mut() {
            if let Some((weights, until)) = target.loading.take() {
                if until <= self.now {
                    target.loaded.push(weights);
                } else {
                    target.loading = Some((weights, until));
                }
            }
        }
        let loads = self.targets.values().filter(|target| target.loading.is_some()).count();
        if loads > 2 {
            self.violations.push(format!("{loads} loads at once at {} ms", self.now));
        }
    }

    fn send_reports(&mut self, controller: usize) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        for name in names {
            let target = &self.targets[&name];
            let report = TargetReport {
                loaded: target.loaded.clone(),
                loading: target.loading.iter().map(|(weights, _)| weights.clone()).collect(),
                age: ClockSpan::ZERO,
            };
            let taken_at = self.now;
            self.post(300, Message::Report { controller, target: name, report, taken_at });
        }
    }

    fn post(&mut self, delay: u64, message: Message) {
        let at = self.now + self.random.below(delay.max(1));
        self.messages.push((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let paused = self.paused_until.clone();
        let is_blocked = |message: &Message| match message {
            Message::Store { .. } | Message::Order { .. } => false,
            Message::Answer { controller, .. }
            | Message::OrderAnswered { controller, .. }
            | Message::Report { controller, .. } => paused[*controller] > now,
        };
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, message)| *at <= now && !is_blocked(message));
        self.messages = later;
        for (_, message) in due {
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Store { controller, call, request } => {
                self.serve_store(controller, call, request)
            }
            Message::Answer { controller, call, outcome } => {
                self.drive(controller, RolloutEvent::Store { call, outcome });
            }
            Message::Order { controller, target, fence, order } => {
                let outcome = self.apply(&target, fence, order);
                self.post(100, Message::OrderAnswered { controller, target, fence, outcome });
            }
            Message::OrderAnswered { controller, target, fence, outcome } => {
                self.drive(controller, RolloutEvent::OrderAnswered { target, fence, outcome });
            }
            Message::Report { controller, target, report, taken_at } => {
                let age = ClockSpan::from_ms(self.now - taken_at);
                self.drive(
                    controller,
                    RolloutEvent::Report { target, report: TargetReport { age, ..report } },
                );
            }
        }
    }

    fn apply(&mut self, name: &TargetName, fence: u64, order: TargetOrder) -> OrderOutcome {
        let target = self.targets.get_mut(name).expect("orders go to known targets");
        if fence < target.newest_fence {
            if target.checks_fencing {
                return OrderOutcome::Fenced;
            }
            let newest = target.newest_fence;
            self.violations.push(format!("{name} accepted fence {fence} after {newest}"));
        }
        target.newest_fence = target.newest_fence.max(fence);
        let TargetOrder::Load(weights) = order;
        target.loading = Some((weights, self.now + LOAD_MS));
        OrderOutcome::Taken
    }

    fn serve_store(&mut self, controller: usize, call: CallId, request: StoreRequest) {
        let is_down = self.now < self.store_down_until;
        let is_lost = self.has_faults && self.plan.store_faults && self.random.chance(0.1);
        if is_down {
            let failure = Err(StoreFailure::Unknown);
            return self.post(200, Message::Answer { controller, call, outcome: failure });
        }
        let reply = self.apply_request(request);
        let outcome = if is_lost { Err(StoreFailure::Unknown) } else { Ok(reply) };
        self.post(200, Message::Answer { controller, call, outcome });
    }

    fn apply_request(&mut self, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get { .. } => StoreReply::Value(self.entry.clone()),
            StoreRequest::Put { key, value, expected, .. } => {
                let current = self.entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
                if expected != Some(current) {
                    return StoreReply::Conflict(self.entry.clone());
                }
                self.version += 1;
                let version = KeyVersion(self.version);
                self.entry = Some(StoreEntry { key: StoreKey::new(key.as_str()), version, value });
                StoreReply::Written(version)
            }
            other => panic!("unexpected call {other:?}"),
        }
    }

    fn drive(&mut self, controller: usize, event: RolloutEvent) {
        if self.paused_until[controller] > self.now {
            return;
        }
        let own_ms =
            self.now as i64 + self.now as i64 * self.clock_drifts_ppm[controller] / 1_000_000;
        let mut actions = Vec::new();
        self.controllers[controller].handle(ClockTime::from_ms(own_ms as u64), event, &mut actions);
        for action in actions {
            match action {
                RolloutAction::Store { call, request } => {
                    self.post(200, Message::Store { controller, call, request });
                }
                RolloutAction::Send { target, fence, order, .. } => {
                    let network = self.plan.network_ms;
                    self.post(network, Message::Order { controller, target, fence, order });
                }
                RolloutAction::LeaseHeld(_) => {}
            }
        }
    }

    fn is_done(&self) -> bool {
        self.targets.values().all(|target| target.loaded.contains(&weights()))
    }
}

#[parameterized(
    nine_with_fencing = { 9, true },
    nine_without_fencing = { 9, false },
    three_without_fencing = { 3, false },
)]
fn rollout_completes_despite_pauses_outages_and_lost_replies(targets: usize, checks_fencing: bool) {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed, FAULTS, targets, checks_fencing);
        simulation.run(60_000);
        simulation.has_faults = false;
        simulation.run(120_000);
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        assert!(simulation.is_done(), "seed {seed}: the rollout is not complete");
    }
}

#[test]
fn checker_detects_an_underestimated_delivery_time() {
    let wrong = FaultPlan { delivery_ms: 1, network_ms: 12_000, ..FAULTS };
    let found = (0..60).any(|seed| {
        let mut simulation = Simulation::new(seed, wrong, 9, false);
        simulation.run(60_000);
        simulation.violations.iter().any(|violation| violation.contains("accepted fence"))
    });
    assert!(found, "no seed showed an outdated order that was accepted");
}

#[test]
fn same_seed_gives_the_same_history() {
    let run = || {
        let mut simulation = Simulation::new(5, FAULTS, 9, true);
        simulation.run(30_000);
        format!("{:?} {:?}", simulation.entry, simulation.controllers)
    };
    assert_eq!(run(), run());
}
