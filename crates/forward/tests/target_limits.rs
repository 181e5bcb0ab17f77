//! Simulates targets that name a limit for the requests of all routers, while routers are killed, suspended or cut off from
//! each other and gossip is lost. No window may hold more requests than the operator's rule allows, and the limit must be
//! used while requests have to be refused for it.

mod support;

use godwitroad_base::SeededRandom;
use godwitroad_forward::{
    AttemptOutcome, ForwardEvent, ForwardRefusal, ForwardRequest, GossipMessage, LimitNotice,
    NextStep, RequestRate, SendPlan,
};
use support::{TestRouter, arrival, at, fleet_router, settings, target};
use yare::parameterized;

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 24_000;
const ANSWER_MS: u64 = 60;

/// When the targets name their limit, and when their need ends.
const NAMED_MS: u64 = 2_000;
const ENDED_MS: u64 = 16_000;

/// The operator's rule: the window, the time after the first answer with the limit from which windows count, and how long
/// before a request its router must have passed on such an answer. A router that was disturbed counts after `CONTACT_MS`.
const WINDOW_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;
const TOLD_MS: u64 = 500;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// The fraction of the limit that must be used while requests are refused.
const MIN_USE: f64 = 0.75;

/// What a simulation plays.
#[derive(Clone, Copy)]
struct FleetPlan {
    routers: usize,
    targets: usize,
    /// The targets that name a limit.
    limited: usize,
    per_second: f64,
    /// Requests of all callers per second.
    demand: f64,
    /// The fraction of the requests that the first router gets in addition to its share.
    skew: f64,
    kills: bool,
    cuts: bool,
    suspends: bool,
    loses_gossip: bool,
}

impl Default for FleetPlan {
    fn default() -> FleetPlan {
        FleetPlan {
            routers: 9,
            targets: 3,
            limited: 3,
            per_second: 2.3,
            demand: 60.0,
            skew: 0.2,
            kills: false,
            cuts: false,
            suspends: false,
            loses_gossip: false,
        }
    }
}

struct RunningRequest {
    router: usize,
    request: ForwardRequest,
    plan: SendPlan,
    target: usize,
    sent: u64,
}

struct LimitFleet {
    plan: FleetPlan,
    random: SeededRandom,
    routers: Vec<TestRouter>,
    starts: u64,
    is_cut: Vec<bool>,
    disturbed: Vec<u64>,
    suspended_until: Vec<u64>,
    drained_at: Vec<u64>,
    running: Vec<RunningRequest>,
    messages: Vec<(u64, usize, GossipMessage)>,
    requests: u64,
    // By target: when each router passed on the first answer with the limit.
    told: Vec<Vec<Option<u64>>>,
    // By target: when requests arrived, from which router, and whether that one counts for the rule.
    arrivals: Vec<Vec<(u64, bool)>>,
    refusals: Vec<(u64, ForwardRefusal)>,
}

impl LimitFleet {
    fn new(seed: u64, plan: FleetPlan) -> LimitFleet {
        let mut fleet = LimitFleet {
            plan,
            random: SeededRandom::new(seed),
            routers: Vec::new(),
            starts: 0,
            is_cut: vec![false; plan.routers],
            disturbed: vec![0; plan.routers],
            suspended_until: vec![0; plan.routers],
            drained_at: vec![0; plan.routers],
            running: Vec::new(),
            messages: Vec::new(),
            requests: 0,
            told: vec![vec![None; plan.routers]; plan.targets],
            arrivals: vec![Vec::new(); plan.targets],
            refusals: Vec::new(),
        };
        fleet.routers = (0..plan.routers).map(|index| fleet.start(0, index)).collect();
        fleet
    }

    fn start(&mut self, now: u64, index: usize) -> TestRouter {
        self.starts += 1;
        let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
        settings.incarnation = self.starts;
        settings.seed = self.starts;
        let target = |number| target(&format!("plain-{number}"), "plain", "a", 10 + number as u8);
        fleet_router(now, settings, self.plan.routers, (0..self.plan.targets).map(target))
    }

    fn is_suspended(&self, now: u64, router: usize) -> bool {
        now < self.suspended_until[router]
    }

    fn inject_faults(&mut self, now: u64) {
        for router in 0..self.plan.routers {
            if self.plan.kills && self.random.chance(0.001) {
                self.running.retain(|running| running.router != router);
                self.routers[router] = self.start(now, router);
                self.suspended_until[router] = now;
                self.disturbed[router] = now;
            }
            if self.plan.cuts && self.random.chance(0.001) {
                self.is_cut[router] = !self.is_cut[router];
                self.disturbed[router] = now;
            }
            if self.plan.suspends && !self.is_suspended(now, router) && self.random.chance(0.001) {
                let until = now + 300 + self.random.below(5_000);
                self.suspended_until[router] = until;
                self.disturbed[router] = until;
            }
            if !self.is_suspended(now, router) {
                let answered = ForwardEvent::StoreAnswered { read_from: at(now) };
                self.routers[router].handle(now, answered);
            }
        }
    }

    fn is_in_touch(&self, now: u64, router: usize) -> bool {
        let disturbed = self.disturbed[router];
        !self.is_cut[router] && (disturbed == 0 || now >= disturbed + CONTACT_MS)
    }

    fn notice(&self, now: u64, target: usize) -> LimitNotice {
        let is_limited = target < self.plan.limited && (NAMED_MS..ENDED_MS).contains(&now);
        let rate = RequestRate::from_per_second(self.plan.per_second).expect("a rate");
        if is_limited { LimitNotice::Named(rate) } else { LimitNotice::Absent }
    }

    fn run_targets(&mut self, now: u64) {
        let is_due = |running: &RunningRequest| now >= running.sent + ANSWER_MS;
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| is_due(running) && now >= self.suspended_until[running.router]);
        self.running = running;
        for RunningRequest { router, mut request, plan, target, sent } in done {
            let notice = self.notice(sent + ANSWER_MS, target);
            if notice != LimitNotice::Absent {
                self.told[target][router].get_or_insert(now);
            }
            let state = &mut self.routers[router].state;
            state.record_limit(at(now), &plan, at(sent), notice);
            let outcome = AttemptOutcome::Complete { status: 200 };
            let step = state.finish_attempt(at(now), &mut request, &plan, outcome);
            assert_eq!(step, NextStep::Deliver);
        }
    }

    fn send_requests(&mut self, now: u64) {
        let mut left = self.plan.demand * STEP_MS as f64 / 1_000.0;
        while left > 0.0 {
            if self.random.chance(left.min(1.0)) {
                self.send_request(now);
            }
            left -= 1.0;
        }
    }

    fn send_request(&mut self, now: u64) {
        self.requests += 1;
        let is_skewed = self.random.chance(self.plan.skew);
        let any = self.random.below(self.plan.routers as u64) as usize;
        let router = if is_skewed { 0 } else { any };
        if self.is_suspended(now, router) {
            return;
        }
        let state = &mut self.routers[router].state;
        let Ok(mut request) = state.admit(at(now), arrival("/any/x", Some("key-one"))) else {
            return;
        };
        let plan = match state.choose_target(at(now), &mut request) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.refusals.push((now, refusal));
                return;
            }
        };
        let number = plan.target.as_str().rsplit('-').next().and_then(|number| number.parse().ok());
        let target: usize = number.expect("a target's name ends with its number");
        let was_told = self.told[target][router].is_some_and(|told| now >= told + TOLD_MS);
        let counts = was_told && self.is_in_touch(now, router);
        self.arrivals[target].push((now, counts));
        self.running.push(RunningRequest { router, request, plan, target, sent: now });
    }

    fn gossip(&mut self, now: u64) {
        let routers = self.plan.routers;
        for router in 0..routers {
            // The routers' rounds begin at different times.
            if now < STEP_MS * router as u64 || self.is_suspended(now, router) {
                continue;
            }
            let Some(round) = self.routers[router].gossip_round(now) else { continue };
            for to in (0..routers).filter(|to| *to != router) {
                let is_lost = self.plan.loses_gossip && self.random.chance(0.2);
                if !self.is_cut[to] && !self.is_cut[router] && !is_lost {
                    let delay = 1 + self.random.below(20);
                    self.messages.push((now + delay, to, round.message.clone()));
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(time, to, _)| *time <= now && !self.is_suspended(now, *to));
        self.messages = later;
        for (_, to, message) in due {
            let arrived_after = at(self.drained_at[to]);
            self.routers[to]
                .handle(now, ForwardEvent::Gossip { message: Box::new(message), arrived_after });
        }
        for router in 0..routers {
            if !self.is_suspended(now, router) {
                self.drained_at[router] = now;
            }
        }
    }

    fn run(&mut self) {
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            self.inject_faults(now);
            self.run_targets(now);
            self.send_requests(now);
            self.gossip(now);
        }
    }

    // Returns the most requests that count for the rule in any window of the time in which a target names its limit.
    fn most_in_window(&self, target: usize) -> usize {
        let counted: Vec<u64> = self.arrivals[target]
            .iter()
            .filter(|(sent, counts)| *counts && *sent < ENDED_MS)
            .map(|(sent, _)| *sent)
            .collect();
        let ends = counted.iter().filter(|sent| **sent >= NAMED_MS + ANSWER_MS + CONTACT_MS);
        let in_window = |end: &u64| {
            counted.iter().filter(|sent| **sent <= *end && *sent + WINDOW_MS > *end).count()
        };
        ends.map(in_window).max().unwrap_or(0)
    }

    fn arrivals_in(&self, target: usize, from: u64, to: u64) -> usize {
        self.arrivals[target].iter().filter(|(sent, _)| (from..to).contains(sent)).count()
    }

    fn assert_within_limit(&self, seed: u64) {
        let per_second = self.plan.per_second;
        let allowed = OVERAGE * per_second * WINDOW_MS as f64 / 1_000.0 + SLACK;
        for target in 0..self.plan.limited {
            let most = self.most_in_window(target);
            assert!(
                most as f64 <= allowed,
                "seed {seed}: {most} of {allowed} in a window at {target}"
            );
        }
    }

    fn assert_limit_is_used(&self, seed: u64) {
        let (from, to) = (NAMED_MS + TOLD_MS, ENDED_MS);
        let limit = self.plan.per_second * (to - from) as f64 / 1_000.0;
        for target in 0..self.plan.limited {
            let used = self.arrivals_in(target, from, to);
            assert!(used as f64 >= limit * MIN_USE, "seed {seed}: {used} of {limit} at {target}");
        }
    }
}

#[parameterized(
    all_targets = { FleetPlan::default() },
    one_target = { FleetPlan { limited: 1, ..FleetPlan::default() } },
    below_one = { FleetPlan { per_second: 0.5, ..FleetPlan::default() } },
    one_router = { FleetPlan { routers: 1, demand: 30.0, ..FleetPlan::default() } },
    three_routers = { FleetPlan { routers: 3, per_second: 3.0, ..FleetPlan::default() } },
    many_routers = { FleetPlan { routers: 60, per_second: 1.1, demand: 200.0, ..FleetPlan::default() } },
    many_routers_few_limited = { FleetPlan { routers: 60, targets: 20, limited: 2, per_second: 1.1, demand: 400.0, ..FleetPlan::default() } },
    large_limit = { FleetPlan { per_second: 50.0, demand: 300.0, ..FleetPlan::default() } },
    very_large_limit = { FleetPlan { per_second: 200.0, demand: 900.0, ..FleetPlan::default() } },
)]
fn a_named_limit_holds_for_all_routers_together_and_is_used(plan: FleetPlan) {
    for seed in 0..support::histories() {
        let mut fleet = LimitFleet::new(seed, plan);
        fleet.run();
        fleet.assert_within_limit(seed);
        fleet.assert_limit_is_used(seed);
    }
}

#[parameterized(
    kills = { FleetPlan { kills: true, ..FleetPlan::default() } },
    cuts = { FleetPlan { cuts: true, ..FleetPlan::default() } },
    suspends = { FleetPlan { suspends: true, ..FleetPlan::default() } },
    lost_gossip = { FleetPlan { loses_gossip: true, ..FleetPlan::default() } },
    all = { FleetPlan { kills: true, cuts: true, suspends: true, loses_gossip: true, ..FleetPlan::default() } },
    small_limit = { FleetPlan { per_second: 0.8, kills: true, cuts: true, suspends: true, loses_gossip: true, ..FleetPlan::default() } },
    many_routers = { FleetPlan { routers: 40, demand: 150.0, kills: true, cuts: true, suspends: true, loses_gossip: true, ..FleetPlan::default() } },
)]
fn a_named_limit_holds_while_routers_fail(plan: FleetPlan) {
    for seed in 0..support::histories() {
        let mut fleet = LimitFleet::new(seed, plan);
        fleet.run();
        fleet.assert_within_limit(seed);
    }
}

#[test]
fn a_request_beyond_all_limits_is_refused_at_once_with_the_time_to_return() {
    let mut fleet = LimitFleet::new(1, FleetPlan::default());
    fleet.run();
    let limited = |(sent, _): &&(u64, ForwardRefusal)| (NAMED_MS..ENDED_MS).contains(sent);
    let refusals: Vec<_> = fleet.refusals.iter().filter(limited).collect();
    assert!(refusals.len() > 100, "only {} refusals", refusals.len());
    for (_, refusal) in &refusals {
        assert_eq!((refusal.reason.name(), refusal.reason.status()), ("targets_limited", 503));
        assert!(refusal.retry_after.is_some());
    }
}

#[test]
fn a_target_whose_need_has_ended_is_used_fully_again() {
    for seed in 0..support::histories() {
        let plan = FleetPlan { limited: 1, per_second: 1.1, ..FleetPlan::default() };
        let mut fleet = LimitFleet::new(seed, plan);
        fleet.run();
        let (from, to) = (ENDED_MS + 2_500, LENGTH_MS);
        let all: usize = (0..plan.targets).map(|target| fleet.arrivals_in(target, from, to)).sum();
        let own = fleet.arrivals_in(0, from, to);
        assert!(own * plan.targets * 2 >= all, "seed {seed}: {own} of {all} after the need");
    }
}

#[test]
fn an_answer_to_an_earlier_request_ends_no_limit() {
    let mut router = support::router(0);
    let mut request =
        router.state.admit(at(1), arrival("/any/x", Some("key-one"))).expect("the route is open");
    let plan = router.state.choose_target(at(1), &mut request).expect("a target");
    let rate = RequestRate::from_per_second(2.0).expect("a rate");
    router.state.record_limit(at(100), &plan, at(1), LimitNotice::Named(rate));
    router.state.record_limit(at(150), &plan, at(90), LimitNotice::Absent);
    router.state.record_limit(at(160), &plan, at(120), LimitNotice::Unreadable);
    assert_eq!(router.state.target_limit(&plan.target), Some(rate));
    router.state.record_limit(at(200), &plan, at(120), LimitNotice::Absent);
    assert_eq!(router.state.target_limit(&plan.target), None);
}
