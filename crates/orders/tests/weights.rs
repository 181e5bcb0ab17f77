//! Histories of named weights: owners are killed, suspended and lose the store, orders are answered late or not at all
//! and carried out seconds later. No two owners' orders may meet within the quiet time, no target may go back to older
//! weights, and every rollout ends.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ModelName, SeededRandom, TargetName};
use godwitroad_orders::{
    OrderTerm, TermAction, TermAnswer, TermSettings, WeightAction, WeightAnswer, WeightOrder,
    WeightPlan, WeightReport, WeightSettings, WeightTarget,
};
use yare::parameterized;

const OWNERS: usize = 3;
const TARGETS: usize = 9;
const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 60_000;
const QUIET_MS: u64 = 3_000;
const LOAD_MS: u64 = 760;

/// What a history is allowed to do wrong.
#[derive(Clone, Copy)]
struct FaultPlan {
    kills: bool,
    pauses: bool,
    store: bool,
    late_orders: bool,
}

struct Owner {
    term: OrderTerm,
    plan: WeightPlan,
    started: u64,
    paused_until: u64,
    cut_until: u64,
}

#[derive(Default)]
struct Target {
    version: u64,
    accepted: u64,
    loading: Option<(u64, u64)>,
    // Whether the order was carried out late; no owner can know of it.
    late: bool,
}

enum Mail {
    Term(usize, u64, TermAction),
    TermAnswer(usize, u64, TermAnswer),
    FetchReport(usize, u64, TargetName),
    Report(usize, u64, TargetName, Option<WeightReport>),
    Order(usize, u64, WeightOrder),
    Ordered(usize, u64, TargetName, WeightAnswer),
}

struct World {
    random: SeededRandom,
    faults: FaultPlan,
    now: u64,
    owners: Vec<Owner>,
    targets: BTreeMap<TargetName, Target>,
    mail: Vec<(u64, Mail)>,
    // The owner's entry: who, its lease's end, its revision.
    entry: Option<(usize, u64, u64)>,
    marked: bool,
    revision: u64,
    named: u64,
    last_order: Option<(usize, u64)>,
    violations: Vec<String>,
}

fn model() -> ModelName {
    "m".into()
}

fn settings(index: usize) -> TermSettings {
    let quiet = ClockSpan::from_ms(QUIET_MS + 300);
    TermSettings { vm: format!("vm-{index}").as_str().into(), quiet, ..TermSettings::default() }
}

impl World {
    fn new(seed: u64, faults: FaultPlan) -> World {
        let target = |index| {
            (format!("t{index}").as_str().into(), Target { version: 1, ..Target::default() })
        };
        let mut world = World {
            random: SeededRandom::new(seed),
            faults,
            now: 0,
            owners: Vec::new(),
            targets: (0..TARGETS).map(target).collect(),
            mail: Vec::new(),
            entry: None,
            marked: false,
            revision: 10,
            named: 1,
            last_order: None,
            violations: Vec::new(),
        };
        world.owners = (0..OWNERS).map(|index| world.start(index)).collect();
        world
    }

    fn time(&self) -> ClockTime {
        ClockTime::from_ms(self.now)
    }

    fn start(&self, index: usize) -> Owner {
        let mut term = OrderTerm::new(settings(index));
        let owner = self.entry.map(|(owner, ..)| format!("vm-{owner}").as_str().into());
        term.observe_leader(self.time(), owner);
        term.observe_activity(self.marked);
        let mut plan = WeightPlan::new(WeightSettings::default());
        plan.announce_version(model(), self.named);
        Owner { term, plan, started: self.now, paused_until: 0, cut_until: 0 }
    }

    fn tell_all(&mut self) {
        let owner = self.entry.map(|(owner, ..)| format!("vm-{owner}").as_str().into());
        let now = self.time();
        for index in 0..OWNERS {
            if self.now >= self.owners[index].cut_until {
                self.owners[index].term.observe_leader(now, owner.clone());
                self.owners[index].term.observe_activity(self.marked);
            }
        }
    }

    fn step(&mut self, calm: bool) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(7_000) && self.now < LENGTH_MS - 20_000 {
            self.named += 1;
            for owner in &mut self.owners {
                owner.plan.announce_version(model(), self.named);
            }
        }
        if self.entry.is_some_and(|(_, until, _)| self.now >= until) {
            self.entry = None;
        }
        // The watch tells the routers in touch a moment later.
        self.tell_all();
        for index in 0..OWNERS {
            if !calm {
                self.disturb(index);
            }
        }
        self.finish_loads();
        self.deliver(calm);
        for index in 0..OWNERS {
            if self.now >= self.owners[index].paused_until {
                self.drive(index);
            }
        }
    }

    fn disturb(&mut self, index: usize) {
        let draw = self.random.fraction();
        let length = 500 + self.random.below(6_000);
        if self.faults.kills && draw < 0.002 {
            self.owners[index] = self.start(index);
        } else if self.faults.pauses && draw < 0.004 {
            self.owners[index].paused_until = self.now + length;
        } else if self.faults.store && draw < 0.006 {
            self.owners[index].cut_until = self.now + length;
        }
    }

    fn drive(&mut self, index: usize) {
        let now = self.time();
        let targets = self.view();
        let owner = &mut self.owners[index];
        let started = owner.started;
        let has_work = owner.plan.has_work(&targets);
        if let Some(action) = owner.term.next(now, index, has_work) {
            let delay = 2 + self.random.below(8);
            self.mail.push((self.now + delay, Mail::Term(index, started, action)));
        }
        let owner = &mut self.owners[index];
        if owner.term.fence(now).is_none() {
            owner.plan.abandon();
            return;
        }
        for action in owner.plan.next(now, &targets) {
            if let WeightAction::FetchReport { target } = action {
                let delay = 1 + self.random.below(10);
                self.mail.push((self.now + delay, Mail::FetchReport(index, started, target)));
            }
        }
    }

    fn view(&self) -> Vec<WeightTarget> {
        let target = |(name, target): (&TargetName, &Target)| WeightTarget {
            name: name.clone(),
            zone: "a".into(),
            versions: BTreeMap::from([(model(), target.version)]),
            work: 0,
        };
        self.targets.iter().map(target).collect()
    }

    fn finish_loads(&mut self) {
        let in_time =
            self.targets.values().filter(|target| target.loading.is_some() && !target.late);
        let loading = in_time.count();
        if loading > WeightSettings::default().loads_at_once {
            self.violations.push(format!("{loading} targets load at {}", self.now));
        }
        for (name, target) in &mut self.targets {
            if let Some((version, until)) = target.loading
                && self.now >= until
            {
                if version < target.version {
                    self.violations.push(format!("{name} goes back to {version}"));
                }
                target.version = version;
                target.loading = None;
            }
        }
    }

    fn deliver(&mut self, calm: bool) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|(time, _)| *time <= self.now);
        self.mail = later;
        for (_, mail) in due {
            match mail {
                Mail::Term(index, run, action) => self.call_store(index, run, &action, calm),
                Mail::TermAnswer(index, run, answer) => {
                    if self.is_running(index, run) {
                        let now = self.time();
                        self.owners[index].term.answer(now, answer);
                    } else if self.owners[index].started == run {
                        let until = self.owners[index].paused_until;
                        self.mail.push((until, Mail::TermAnswer(index, run, answer)));
                    }
                }
                Mail::FetchReport(index, run, target) => {
                    let state = &self.targets[&target];
                    let report = WeightReport {
                        versions: BTreeMap::from([(model(), state.version)]),
                        busy: state.loading.is_some(),
                        accepted: state.accepted,
                    };
                    let answer = Mail::Report(index, run, target, Some(report));
                    self.mail.push((self.now + 5, answer));
                }
                Mail::Report(index, run, target, report) => {
                    self.take_report(index, run, &target, report.as_ref(), calm);
                }
                Mail::Order(index, run, order) => self.order(index, run, &order),
                Mail::Ordered(index, run, target, answer) => {
                    if self.is_running(index, run) {
                        let now = self.time();
                        self.owners[index].plan.answer(now, &target, answer);
                    }
                }
            }
        }
    }

    fn is_running(&self, index: usize, run: u64) -> bool {
        self.owners[index].started == run && self.now >= self.owners[index].paused_until
    }

    fn take_report(
        &mut self,
        index: usize,
        run: u64,
        target: &TargetName,
        report: Option<&WeightReport>,
        calm: bool,
    ) {
        if !self.is_running(index, run) {
            return;
        }
        let now = self.time();
        let owner = &mut self.owners[index];
        let Some(order) = owner.plan.report(now, target, report) else { return };
        if owner.term.fence(now).is_none() {
            return;
        }
        owner.term.record_order(now);
        // The order leaves at once; what the targets see counts from here.
        if let Some((last, at)) = self.last_order
            && last != index
            && self.now < at + QUIET_MS
        {
            self.violations.push(format!(
                "owner {index} orders {} ms after owner {last} at {}",
                self.now - at,
                self.now
            ));
        }
        self.last_order = Some((index, self.now));
        let lost = self.faults.late_orders && !calm && self.random.chance(0.3);
        if lost {
            let late = self.now + 2_000 + self.random.below(10_000);
            self.mail.push((late, Mail::Order(usize::MAX, run, order.clone())));
            let answer = Mail::Ordered(index, run, order.target, WeightAnswer::Lost);
            self.mail.push((self.now + 500, answer));
        } else {
            self.mail.push((self.now + 5, Mail::Order(index, run, order)));
        }
    }

    fn order(&mut self, index: usize, run: u64, order: &WeightOrder) {
        let target = self.targets.get_mut(&order.target).expect("targets stay");
        let answer = if target.loading.is_some() || target.accepted != order.expected {
            WeightAnswer::Conflict
        } else {
            target.accepted += 1;
            target.loading = Some((order.version, self.now + LOAD_MS));
            target.late = index == usize::MAX;
            WeightAnswer::Taken
        };
        if index != usize::MAX {
            let answer = Mail::Ordered(index, run, order.target.clone(), answer);
            self.mail.push((self.now + 5, answer));
        }
    }

    fn call_store(&mut self, index: usize, run: u64, action: &TermAction, calm: bool) {
        let sent = ClockTime::from_ms(self.now.saturating_sub(10));
        let lease = settings(index).lease.as_ms();
        let cut = self.now < self.owners[index].cut_until;
        let answer = if cut {
            TermAnswer::Lost
        } else {
            match action {
                TermAction::Acquire if self.entry.is_none() => {
                    self.revision += 1;
                    self.entry = Some((index, self.now + lease, self.revision));
                    TermAnswer::Acquired {
                        lease: self.revision,
                        fence: self.revision,
                        granted: sent,
                    }
                }
                TermAction::Renew { lease: held } if self.holds(index, *held) => {
                    if let Some(entry) = &mut self.entry {
                        entry.1 = self.now + lease;
                    }
                    TermAnswer::Renewed { from: sent }
                }
                TermAction::Mark { fence, active } if self.holds(index, *fence) => {
                    self.marked = *active;
                    TermAnswer::Marked { active: *active }
                }
                _ => TermAnswer::Refused,
            }
        };
        let lost = self.faults.store && !calm && self.random.chance(0.05);
        let answer = if lost { TermAnswer::Lost } else { answer };
        let delay = if answer == TermAnswer::Lost { 900 } else { 4 };
        self.mail.push((self.now + delay, Mail::TermAnswer(index, run, answer)));
    }

    fn holds(&self, index: usize, revision: u64) -> bool {
        self.entry.is_some_and(|(owner, _, held)| owner == index && held == revision)
    }
}

#[parameterized(
    calm = { FaultPlan { kills: false, pauses: false, store: false, late_orders: false } },
    kills = { FaultPlan { kills: true, pauses: false, store: false, late_orders: false } },
    pauses = { FaultPlan { kills: false, pauses: true, store: false, late_orders: false } },
    store = { FaultPlan { kills: false, pauses: false, store: true, late_orders: false } },
    late_orders = { FaultPlan { kills: false, pauses: false, store: false, late_orders: true } },
    all = { FaultPlan { kills: true, pauses: true, store: true, late_orders: true } },
)]
fn rollouts_end_and_owners_keep_apart(faults: FaultPlan) {
    for seed in 0..150 {
        let mut world = World::new(seed, faults);
        while world.now < LENGTH_MS {
            // The end is calm, so that the last rollout can finish.
            let calm = world.now > LENGTH_MS - 25_000;
            world.step(calm);
        }
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let behind: Vec<_> =
            world.targets.iter().filter(|(_, target)| target.version < world.named).collect();
        assert!(behind.is_empty(), "seed {seed}: {} targets are behind", behind.len());
    }
}

#[test]
fn a_calm_rollout_of_nine_targets_takes_a_few_seconds() {
    let calm = FaultPlan { kills: false, pauses: false, store: false, late_orders: false };
    let mut world = World::new(1, calm);
    while world.now < 7_000 {
        world.step(true);
    }
    let named_at = world.now;
    while world.targets.values().any(|target| target.version < world.named) {
        world.step(true);
        assert!(
            world.now < named_at + 6_000,
            "the rollout isn't done after {} ms",
            world.now - named_at
        );
    }
}
