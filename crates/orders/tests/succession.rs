//! Guards against an order of an old holder that takes effect after a newer holder began, against more than two
//! loads at once, and against a rollout that stops half-way.

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

const HOLDERS: usize = 3;
const LOAD_MS: u64 = 800;
const STEP_MS: u64 = 20;

/// What a history is allowed to do wrong.
#[derive(Clone, Copy)]
struct FaultPlan {
    pauses: bool,
    store_faults: bool,
    delivery_ms: u64,
    network_ms: u64,
}

const FAULTS: FaultPlan =
    FaultPlan { pauses: true, store_faults: true, delivery_ms: 2_000, network_ms: 2_000 };

struct FakeTarget {
    checks: bool,
    newest_fence: u64,
    loaded: Vec<WeightVersion>,
    loading: Option<(WeightVersion, u64)>,
}

enum Mail {
    Store { holder: usize, call: CallId, request: StoreRequest },
    Answer { holder: usize, call: CallId, outcome: StoreOutcome },
    Order { holder: usize, target: TargetName, fence: u64, order: TargetOrder },
    OrderAnswered { holder: usize, target: TargetName, fence: u64, outcome: OrderOutcome },
    Report { holder: usize, target: TargetName, report: TargetReport, taken: u64 },
}

struct World {
    random: SeededRandom,
    plan: FaultPlan,
    faulty: bool,
    now: u64,
    holders: Vec<RolloutController>,
    rates_ppm: Vec<i64>,
    paused_until: Vec<u64>,
    entry: Option<StoreEntry>,
    version: u64,
    store_down_until: u64,
    mail: Vec<(u64, Mail)>,
    targets: BTreeMap<TargetName, FakeTarget>,
    violations: Vec<String>,
}

fn weights() -> WeightVersion {
    WeightVersion { model: "seal".into(), version: "v2".into(), adapter: None }
}

impl World {
    fn new(seed: u64, plan: FaultPlan, targets: usize, checks: bool) -> World {
        let mut random = SeededRandom::new(seed);
        let names = (0..targets).map(|index| TargetName::new(format!("worker-{index}")));
        let target = || FakeTarget { checks, newest_fence: 0, loaded: Vec::new(), loading: None };
        let targets: BTreeMap<TargetName, FakeTarget> =
            names.map(|name| (name, target())).collect();
        let holder = |index: usize| {
            let mut holder = RolloutController::new(ControllerSettings {
                node: NodeId::new(format!("vm-{index}"), 1),
                delivery: ClockSpan::from_ms(plan.delivery_ms),
                lease: ClockSpan::from_ms(6_000),
                ..ControllerSettings::default()
            });
            let desired = targets.keys().map(|name| DesiredTarget {
                target: name.clone(),
                checks_fencing: checks,
                weights: vec![weights()],
            });
            let desired = RolloutEvent::Configure(desired.collect());
            holder.handle(ClockTime::ZERO, desired, &mut Vec::new());
            holder.handle(ClockTime::ZERO, RolloutEvent::Candidate(true), &mut Vec::new());
            holder
        };
        World {
            rates_ppm: (0..HOLDERS).map(|_| random.below(1_001) as i64 - 500).collect(),
            random,
            plan,
            faulty: true,
            now: 0,
            holders: (0..HOLDERS).map(holder).collect(),
            paused_until: vec![0; HOLDERS],
            entry: None,
            version: 0,
            store_down_until: 0,
            mail: Vec::new(),
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
            for holder in 0..HOLDERS {
                self.send_reports(holder);
                self.tell(holder, RolloutEvent::Tick);
            }
        }
    }

    fn inject_faults(&mut self) {
        if !self.faulty {
            return;
        }
        if self.plan.pauses && self.random.chance(0.002) {
            let holder = self.random.below(HOLDERS as u64) as usize;
            self.paused_until[holder] = self.now + self.random.below(20_000);
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

    fn send_reports(&mut self, holder: usize) {
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
            let taken = self.now;
            self.post(300, Mail::Report { holder, target: name, report, taken });
        }
    }

    fn post(&mut self, delay: u64, mail: Mail) {
        let at = self.now + self.random.below(delay.max(1));
        self.mail.push((at, mail));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let paused = self.paused_until.clone();
        let waits = |mail: &Mail| match mail {
            Mail::Store { .. } | Mail::Order { .. } => false,
            Mail::Answer { holder, .. }
            | Mail::OrderAnswered { holder, .. }
            | Mail::Report { holder, .. } => paused[*holder] > now,
        };
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, mail)| *at <= now && !waits(mail));
        self.mail = later;
        for (_, mail) in due {
            self.open(mail);
        }
    }

    fn open(&mut self, mail: Mail) {
        match mail {
            Mail::Store { holder, call, request } => self.serve_store(holder, call, request),
            Mail::Answer { holder, call, outcome } => {
                self.tell(holder, RolloutEvent::Store { call, outcome });
            }
            Mail::Order { holder, target, fence, order } => {
                let outcome = self.apply(&target, fence, order);
                self.post(100, Mail::OrderAnswered { holder, target, fence, outcome });
            }
            Mail::OrderAnswered { holder, target, fence, outcome } => {
                self.tell(holder, RolloutEvent::OrderAnswered { target, fence, outcome });
            }
            Mail::Report { holder, target, report, taken } => {
                let age = ClockSpan::from_ms(self.now - taken);
                self.tell(
                    holder,
                    RolloutEvent::Report { target, report: TargetReport { age, ..report } },
                );
            }
        }
    }

    fn apply(&mut self, name: &TargetName, fence: u64, order: TargetOrder) -> OrderOutcome {
        let target = self.targets.get_mut(name).expect("orders go to known targets");
        if fence < target.newest_fence {
            if target.checks {
                return OrderOutcome::Fenced;
            }
            let newest = target.newest_fence;
            self.violations.push(format!("{name} obeyed fence {fence} after {newest}"));
        }
        target.newest_fence = target.newest_fence.max(fence);
        let TargetOrder::Load(weights) = order;
        target.loading = Some((weights, self.now + LOAD_MS));
        OrderOutcome::Taken
    }

    fn serve_store(&mut self, holder: usize, call: CallId, request: StoreRequest) {
        let down = self.now < self.store_down_until;
        let lost = self.faulty && self.plan.store_faults && self.random.chance(0.1);
        if down {
            let failure = Err(StoreFailure::Unknown);
            return self.post(200, Mail::Answer { holder, call, outcome: failure });
        }
        let reply = self.answer(request);
        let outcome = if lost { Err(StoreFailure::Unknown) } else { Ok(reply) };
        self.post(200, Mail::Answer { holder, call, outcome });
    }

    fn answer(&mut self, request: StoreRequest) -> StoreReply {
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

    fn tell(&mut self, holder: usize, event: RolloutEvent) {
        if self.paused_until[holder] > self.now {
            return;
        }
        let own = self.now as i64 + self.now as i64 * self.rates_ppm[holder] / 1_000_000;
        let mut actions = Vec::new();
        self.holders[holder].handle(ClockTime::from_ms(own as u64), event, &mut actions);
        for action in actions {
            match action {
                RolloutAction::Store { call, request } => {
                    self.post(200, Mail::Store { holder, call, request });
                }
                RolloutAction::Send { target, fence, order, .. } => {
                    let network = self.plan.network_ms;
                    self.post(network, Mail::Order { holder, target, fence, order });
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
    nine_that_check = { 9, true },
    nine_that_do_not = { 9, false },
    three_that_do_not = { 3, false },
)]
fn rollout_survives_pauses_outages_and_lost_answers(targets: usize, checks: bool) {
    for seed in 0..60 {
        let mut world = World::new(seed, FAULTS, targets, checks);
        world.run(60_000);
        world.faulty = false;
        world.run(120_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.is_done(), "seed {seed}: the rollout is not complete");
    }
}

#[test]
fn checker_finds_a_holder_that_underestimates_delivery() {
    let wrong = FaultPlan { delivery_ms: 1, network_ms: 12_000, ..FAULTS };
    let found = (0..60).any(|seed| {
        let mut world = World::new(seed, wrong, 9, false);
        world.run(60_000);
        world.violations.iter().any(|violation| violation.contains("obeyed"))
    });
    assert!(found, "no seed showed an old order that was obeyed");
}

#[test]
fn same_seed_gives_the_same_history() {
    let run = || {
        let mut world = World::new(5, FAULTS, 9, true);
        world.run(30_000);
        format!("{:?} {:?}", world.entry, world.holders)
    };
    assert_eq!(run(), run());
}
