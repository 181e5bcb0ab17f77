//! A simulated fleet whose targets reject requests or want none for a time, beside a chooser that knows them all.

use godwitroad_base::{ClockSpan, SeededRandom};
use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, BrittleNotice, DeferralNotice, ForwardEvent, ForwardRequest,
    GossipMessage, NextStep, RejectionBound, RetryBounds, SendPlan, TargetRecord,
};

use super::{TestRouter, arrival, at, fleet_router, settings, target};

const STEP_MS: u64 = 10;
pub(crate) const LENGTH_MS: u64 = 20_000;
const REJECT_MS: u64 = 10;
const SLOTS: usize = 6;

/// How long a restarted router gets no requests. The load balancer asks for readiness once a second.
const READY_MS: u64 = 500;

/// When targets begin and cease to turn requests away, unless they flap.
const TURNS_MS: std::ops::Range<u64> = 1_000..15_000;

/// The operator's rule: at most this many requests of a router from this time after a rejection on.
const TOLD_MS: u64 = 500;
pub(crate) const MAX_IN_DEFERRAL: usize = 2;

/// When targets say that they are brittle, how much later they can fall over, and how much later than the sign their room
/// shrinks.
pub(crate) const BRITTLE_MS: std::ops::Range<u64> = 1_000..17_000;
pub(crate) const CONTACT_MS: u64 = 3_000;
const SHRINK_MS: u64 = 4_000;

/// How long a target that fell over is gone.
const DOWN_MS: u64 = 2_000;

/// What a simulation plays.
#[derive(Clone, Copy)]
pub(crate) struct TurnPlan {
    pub(crate) routers: usize,
    pub(crate) targets: usize,
    /// The targets that reject requests.
    pub(crate) rejecting: usize,
    /// The targets that also name a time, after those that don't.
    pub(crate) deferring: usize,
    pub(crate) deferral_ms: u64,
    /// Whether they change between this and taking requests.
    pub(crate) flaps: bool,
    /// How many rejections a second the targets bear while they say so.
    pub(crate) brittle: Option<u32>,
    /// How many requests a target takes at a time, and when its room has changed.
    pub(crate) room: usize,
    pub(crate) later_room: usize,
    /// How long a target runs a request.
    pub(crate) answer_ms: u64,
    /// Requests of all callers per second.
    pub(crate) demand: f64,
    /// When requests begin to count for the served share. Each rejecting target has to reject a request of some router
    /// before the routers can know it.
    pub(crate) counted_from_ms: u64,
    pub(crate) kills: bool,
    pub(crate) suspends: bool,
    /// Whether the messages of single routers get lost for a time.
    pub(crate) cuts: bool,
    pub(crate) loses_gossip: bool,
}

impl TurnPlan {
    /// A plan in which neither targets nor routers fail.
    pub(crate) const CALM: TurnPlan = TurnPlan {
        routers: 9,
        targets: 3,
        rejecting: 0,
        deferring: 0,
        deferral_ms: 2_000,
        flaps: false,
        brittle: None,
        room: 2 * SLOTS,
        later_room: 2 * SLOTS,
        answer_ms: 30,
        demand: 170.0,
        counted_from_ms: 0,
        kills: false,
        suspends: false,
        cuts: false,
        loses_gossip: false,
    };
}

impl Default for TurnPlan {
    fn default() -> TurnPlan {
        TurnPlan::CALM
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Accepted,
    Rejected,
    Deferred,
    /// The target is gone.
    Gone,
    /// The target fell over before it answered.
    Lost,
}

struct SentAttempt {
    router: usize,
    request: ForwardRequest,
    plan: SendPlan,
    verdict: Verdict,
    sent: u64,
    due: u64,
}

/// A rejection with a time: its target and router, and when the router got it.
type Rejection = (usize, usize, u64);

pub(crate) struct TurnFleet {
    plan: TurnPlan,
    random: SeededRandom,
    routers: Vec<TestRouter>,
    starts: u64,
    cut_until: Vec<u64>,
    suspended_until: Vec<u64>,
    drained_at: Vec<u64>,
    // When each router was restarted, which excuses it from the rule.
    restarts: Vec<Vec<u64>>,
    is_turning: Vec<bool>,
    // By target: when it rejected requests, when it fell over, until when it is gone, and the time of its last start.
    turned_away: Vec<Vec<u64>>,
    pub(crate) falls: Vec<(u64, usize)>,
    down_until: Vec<u64>,
    started_ms: Vec<u64>,
    // The sum of the requests that ran, and of the room, in the steps in which brittle targets may fall.
    used: usize,
    usable: usize,
    attempts: Vec<SentAttempt>,
    messages: Vec<(u64, usize, GossipMessage)>,
    // The ends of the requests that each target would run for a chooser that knows all of them.
    ideal: Vec<Vec<u64>>,
    rejections: Vec<Rejection>,
    // When each target last told each router that it takes requests again.
    deferring_until: Vec<Vec<u64>>,
    // When each router's requests reached each target.
    arrivals: Vec<Vec<Vec<u64>>>,
    pub(crate) refusals: Vec<(u64, godwitroad_forward::ForwardRefusal)>,
    pub(crate) requests: usize,
    pub(crate) repeated: usize,
    pub(crate) served: usize,
    pub(crate) servable: usize,
}

impl TurnFleet {
    pub(crate) fn new(seed: u64, plan: TurnPlan) -> TurnFleet {
        let mut fleet = TurnFleet {
            plan,
            random: SeededRandom::new(seed),
            routers: Vec::new(),
            starts: 0,
            cut_until: vec![0; plan.routers],
            suspended_until: vec![0; plan.routers],
            drained_at: vec![0; plan.routers],
            restarts: vec![Vec::new(); plan.routers],
            is_turning: vec![false; plan.targets],
            turned_away: vec![Vec::new(); plan.targets],
            falls: Vec::new(),
            down_until: vec![0; plan.targets],
            started_ms: vec![1; plan.targets],
            used: 0,
            usable: 0,
            attempts: Vec::new(),
            messages: Vec::new(),
            ideal: vec![Vec::new(); plan.targets],
            rejections: Vec::new(),
            deferring_until: vec![vec![0; plan.routers]; plan.targets],
            arrivals: vec![vec![Vec::new(); plan.routers]; plan.targets],
            refusals: Vec::new(),
            requests: 0,
            repeated: 0,
            served: 0,
            servable: 0,
        };
        fleet.routers = (0..plan.routers).map(|index| fleet.start(0, index)).collect();
        fleet
    }

    fn start(&mut self, now: u64, index: usize) -> TestRouter {
        self.starts += 1;
        let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
        settings.incarnation = self.starts;
        settings.seed = self.starts + self.random.below(1 << 40);
        settings.retries = RetryBounds { share: 0.2, reserve: 56.0 };
        let records = (0..self.plan.targets).map(|number| self.record(number));
        fleet_router(now, settings, self.plan.routers, records)
    }

    fn record(&self, number: usize) -> TargetRecord {
        let started_ms = self.started_ms[number];
        let record = target(&format!("plain-{number}"), "plain", "a", 10 + number as u8);
        TargetRecord { started_ms, ..record }
    }

    pub(crate) fn run(&mut self) {
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            self.inject_faults(now);
            self.turn_targets(now);
            self.run_brittle_targets(now);
            self.end_attempts(now);
            self.send_requests(now);
            self.gossip(now);
        }
    }

    fn is_suspended(&self, now: u64, router: usize) -> bool {
        now < self.suspended_until[router]
    }

    fn inject_faults(&mut self, now: u64) {
        for router in 0..self.plan.routers {
            if self.plan.kills && self.random.chance(0.0005) {
                self.attempts.retain(|attempt| attempt.router != router);
                self.routers[router] = self.start(now, router);
                self.suspended_until[router] = now;
                self.restarts[router].push(now);
                self.deferring_until.iter_mut().for_each(|until| until[router] = 0);
            }
            if self.plan.suspends && !self.is_suspended(now, router) && self.random.chance(0.0005) {
                let until = now + 300 + self.random.below(3_000);
                self.suspended_until[router] = until;
            }
            if self.plan.cuts && now >= self.cut_until[router] && self.random.chance(0.001) {
                self.cut_until[router] = now + 500 + self.random.below(4_000);
            }
            if !self.is_suspended(now, router) {
                let answered = ForwardEvent::StoreAnswered { read_from: at(now) };
                self.routers[router].handle(now, answered);
            }
        }
    }

    fn turn_targets(&mut self, now: u64) {
        for target in 0..self.plan.rejecting + self.plan.deferring {
            if !self.plan.flaps {
                self.is_turning[target] = TURNS_MS.contains(&now);
            } else if self.random.chance(STEP_MS as f64 / 1_500.0) {
                self.is_turning[target] = !self.is_turning[target];
            }
        }
    }

    fn is_brittle(&self, now: u64) -> bool {
        self.plan.brittle.is_some() && BRITTLE_MS.contains(&now)
    }

    fn room(&self, now: u64) -> usize {
        let has_changed = self.is_brittle(now) && now >= BRITTLE_MS.start + SHRINK_MS;
        if has_changed { self.plan.later_room } else { self.plan.room }
    }

    fn running(&self, target: usize) -> usize {
        let runs = |attempt: &&SentAttempt| {
            attempt.verdict == Verdict::Accepted && number_of(&attempt.plan) == target
        };
        self.attempts.iter().filter(runs).count()
    }

    // Lets targets that fell over start again, and counts the use of the others.
    fn run_brittle_targets(&mut self, now: u64) {
        for target in 0..self.plan.targets {
            if self.down_until[target] == now {
                self.started_ms[target] = now;
                let record = self.record(target);
                for router in &mut self.routers {
                    router.handle(now, ForwardEvent::Target(record.clone()));
                }
            }
            if self.is_brittle(now) && now >= BRITTLE_MS.start + CONTACT_MS {
                let room = self.room(now);
                self.used += self.running(target).min(room);
                self.usable += room;
            }
        }
    }

    // Makes a brittle target fall over if it has rejected too many requests in a second.
    fn count_rejection(&mut self, now: u64, target: usize) {
        self.turned_away[target].push(now);
        let since_start =
            self.turned_away[target].iter().filter(|at| **at >= self.started_ms[target]);
        let recent = since_start.filter(|at| **at + 1_000 > now).count();
        let is_fragile = self.is_brittle(now) && now >= BRITTLE_MS.start + CONTACT_MS;
        let falls = self.plan.brittle.is_some_and(|bound| recent > bound as usize);
        if !is_fragile || !falls {
            return;
        }
        self.falls.push((now, target));
        self.down_until[target] = now + DOWN_MS;
        for attempt in &mut self.attempts {
            if number_of(&attempt.plan) == target {
                attempt.verdict = Verdict::Lost;
                attempt.due = now + STEP_MS;
            }
        }
    }

    /// Returns the part of the brittle targets' room that was used while they could fall.
    pub(crate) fn used_share(&self) -> f64 {
        self.used as f64 / self.usable as f64
    }

    /// Returns the most rejections of a target in a second while it could fall.
    pub(crate) fn most_rejections(&self) -> usize {
        let in_second = |times: &Vec<u64>, end: u64| {
            times.iter().filter(|at| **at <= end && **at + 1_000 > end).count()
        };
        let fragile = BRITTLE_MS.start + CONTACT_MS..BRITTLE_MS.end;
        let most = |times: &Vec<u64>| {
            let ends = times.iter().filter(|at| fragile.contains(at));
            ends.map(|end| in_second(times, *end)).max().unwrap_or(0)
        };
        self.turned_away.iter().map(most).max().unwrap_or(0)
    }

    fn verdict(&self, now: u64, target: usize) -> Verdict {
        if now < self.down_until[target] {
            return Verdict::Gone;
        }
        match self.is_turning[target] {
            true if target < self.plan.rejecting => Verdict::Rejected,
            true => Verdict::Deferred,
            false if self.running(target) >= self.room(now) => Verdict::Rejected,
            false => Verdict::Accepted,
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
        let router = self.random.below(self.plan.routers as u64) as usize;
        let starts = &self.restarts[router];
        let is_starting = starts.last().is_some_and(|restart| now < restart + READY_MS);
        if self.is_suspended(now, router) || is_starting {
            return;
        }
        let admitted =
            self.routers[router].state.admit(at(now), arrival("/any/x", Some("key-one")));
        let request = admitted.expect("the route is open and the account has no limit");
        self.requests += 1;
        self.run_ideally(now, router);
        self.send_attempt(now, router, request);
    }

    // A target that told a router when it wants requests again can't be used before, although it may accept them.
    fn run_ideally(&mut self, now: u64, router: usize) {
        self.ideal.iter_mut().for_each(|ends| ends.retain(|end| *end > now));
        let mut open = (0..self.plan.targets).filter(|target| {
            !self.is_turning[*target] && now >= self.deferring_until[*target][router]
        });
        if let Some(target) = open.find(|target| self.ideal[*target].len() < SLOTS) {
            self.ideal[target].push(now + self.plan.answer_ms);
            self.servable += usize::from(now >= self.plan.counted_from_ms);
        }
    }

    fn send_attempt(&mut self, now: u64, router: usize, mut request: ForwardRequest) {
        let is_repeated = !request.tried.is_empty();
        match self.routers[router].state.choose_target(at(now), &mut request) {
            Ok(plan) => {
                let target = number_of(&plan);
                self.repeated += usize::from(is_repeated);
                self.arrivals[target][router].push(now);
                let verdict = self.verdict(now, target);
                let is_accepted = verdict == Verdict::Accepted;
                let due = now + if is_accepted { self.plan.answer_ms } else { REJECT_MS };
                self.attempts.push(SentAttempt { router, request, plan, verdict, sent: now, due });
                if verdict == Verdict::Rejected {
                    self.count_rejection(now, target);
                }
            }
            Err(refusal) => self.refusals.push((now, refusal)),
        }
    }

    fn brittle_notice(&self, now: u64) -> BrittleNotice {
        let bound = self.plan.brittle.filter(|_| self.is_brittle(now)).map(f64::from);
        let bound = bound.and_then(RejectionBound::from_per_second);
        bound.map_or(BrittleNotice::Absent, BrittleNotice::Named)
    }

    fn end_attempts(&mut self, now: u64) {
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt| now >= attempt.due && now >= self.suspended_until[attempt.router]);
        self.attempts = running;
        for SentAttempt { router, mut request, mut plan, verdict, sent, .. } in done {
            let brittle = self.brittle_notice(now);
            let state = &mut self.routers[router].state;
            if !matches!(verdict, Verdict::Gone | Verdict::Lost) {
                let is_rejection = verdict != Verdict::Accepted;
                state.record_brittle(at(now), &plan, at(sent), brittle, is_rejection);
            }
            let outcome = match verdict {
                Verdict::Accepted => {
                    state.record_answer_start(at(now), &mut plan, None);
                    AttemptOutcome::Complete { status: 200 }
                }
                Verdict::Rejected | Verdict::Deferred => {
                    AttemptOutcome::Rejected { mismatch: false }
                }
                Verdict::Gone => AttemptOutcome::NotSent,
                Verdict::Lost => AttemptOutcome::Lost { phase: AnswerPhase::Waiting },
            };
            if verdict == Verdict::Deferred {
                let span = ClockSpan::from_ms(self.plan.deferral_ms);
                let notice = DeferralNotice::Wanted { span, is_capped: false };
                state.record_deferral(at(now), &plan, notice);
                self.rejections.push((number_of(&plan), router, now));
                self.deferring_until[number_of(&plan)][router] = now + self.plan.deferral_ms;
            }
            match state.finish_attempt(at(now), &mut request, &plan, outcome) {
                NextStep::Deliver => {
                    let counts = request.arrived >= at(self.plan.counted_from_ms);
                    self.served += usize::from(counts);
                }
                NextStep::Again => self.send_attempt(now, router, request),
                NextStep::End(refusal) => self.refusals.push((now, refusal)),
            }
        }
    }

    fn gossip(&mut self, now: u64) {
        for router in 0..self.plan.routers {
            // The routers' rounds begin at different times.
            if now < STEP_MS * router as u64 || self.is_suspended(now, router) {
                continue;
            }
            let Some(round) = self.routers[router].gossip_round(now) else { continue };
            for to in (0..self.plan.routers).filter(|to| *to != router) {
                let is_lost = self.plan.loses_gossip && self.random.chance(0.2);
                if now >= self.cut_until[router] && !is_lost {
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
            let message = Box::new(message);
            self.routers[to].handle(now, ForwardEvent::Gossip { message, arrived_after });
        }
        for router in 0..self.plan.routers {
            if !self.is_suspended(now, router) {
                self.drained_at[router] = now;
            }
        }
    }

    /// Returns the most requests of a router that reached a target while it wanted none, by the operator's rule.
    pub(crate) fn most_in_deferral(&self) -> usize {
        let counts = self.rejections.iter().map(|(target, router, rejected)| {
            let deferral = rejected + TOLD_MS..rejected + self.plan.deferral_ms;
            let mut restarts = self.restarts[*router].iter();
            let is_excused = restarts.any(|at| (*rejected..deferral.end).contains(at));
            let arrivals = self.arrivals[*target][*router].iter();
            let count = arrivals.filter(|arrival| deferral.contains(arrival)).count();
            if is_excused { 0 } else { count }
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the requests that reached a target from `from` until `to`.
    pub(crate) fn arrivals_in(&self, target: usize, from: u64, to: u64) -> usize {
        let of_router =
            |times: &Vec<u64>| times.iter().filter(|time| (from..to).contains(*time)).count();
        self.arrivals[target].iter().map(of_router).sum()
    }

    /// Returns the served requests as a share of those that a chooser which knows all targets would have served.
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.servable as f64
    }
}

fn number_of(plan: &SendPlan) -> usize {
    let number = plan.target.as_str().rsplit('-').next().and_then(|number| number.parse().ok());
    number.expect("a target's name ends with its number")
}
