//! A simulated fleet in which targets leave, which they say in their entries, in their answers or in both, in any order, and
//! start again under their names, while routers fail and the store shows older entries.

use godwitroad_base::{SeededRandom, StoreEra};
use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, ForwardArrival, ForwardEvent, ForwardRequest, GossipMessage,
    NextStep, RefusalReason, RequestDigest, SendPlan, TargetRecord,
};

use super::{HOST, TestRouter, arrival, at, place, rules, settings, target};

const ZONES: [&str; 3] = ["a", "b", "c"];

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 14_000;
const ANSWER_MS: u64 = 60;
const HEARTBEAT_MS: u64 = 1_000;

/// The time in which all reachable routers must know that a target leaves.
const TOLD_ALL_MS: u64 = 1_000;

/// How old the copy is from which the store returns, and when targets have written their entries anew.
const COPY_AGE_MS: u64 = 3_000;
const REWRITE_MS: u64 = 1_500;

/// How many targets leave.
#[derive(Clone, Copy)]
pub(crate) enum LeavingShare {
    None,
    One,
    Most,
    All,
}

/// What a simulation plays.
#[derive(Clone, Copy)]
pub(crate) struct LeavingPlan {
    pub(crate) routers: usize,
    pub(crate) targets: usize,
    pub(crate) share: LeavingShare,
    /// Requests of all callers per second.
    pub(crate) demand: f64,
    pub(crate) loses_gossip: bool,
    pub(crate) late_gossip: bool,
    /// Whether a fifth of the routers lose the store after their first read.
    pub(crate) store_away: bool,
    pub(crate) store_copies: bool,
    /// Whether gossip of some routers doesn't get out, and that to others doesn't arrive.
    pub(crate) cuts: bool,
    pub(crate) kills: bool,
    pub(crate) suspends: bool,
}

impl Default for LeavingPlan {
    fn default() -> LeavingPlan {
        LeavingPlan {
            routers: 9,
            targets: 6,
            share: LeavingShare::Most,
            demand: 150.0,
            loses_gossip: false,
            late_gossip: false,
            store_away: false,
            store_copies: false,
            cuts: false,
            kills: false,
            suspends: false,
        }
    }
}

impl LeavingPlan {
    // Returns the number of zones with routers. Targets in others might get no requests for their distance.
    fn zones(&self) -> usize {
        ZONES.len().min(self.routers)
    }

    pub(crate) fn with_all_faults() -> LeavingPlan {
        LeavingPlan {
            loses_gossip: true,
            late_gossip: true,
            store_away: true,
            store_copies: true,
            cuts: true,
            kills: true,
            suspends: true,
            ..LeavingPlan::default()
        }
    }
}

/// What a target does, in the order of time except for the entry. All times are absent if it doesn't.
#[derive(Clone, Copy, Default)]
struct TargetLife {
    leaves: Option<u64>,
    /// When its entry says so.
    drains: Option<u64>,
    /// When its entry is gone, and is back as it was.
    gone: Option<u64>,
    back: Option<u64>,
    ends: Option<u64>,
    /// When it starts again under its name.
    restarts: Option<u64>,
}

struct RunningRequest {
    router: usize,
    request: ForwardRequest,
    plan: SendPlan,
    sent: u64,
}

pub(crate) struct LeavingFleet {
    plan: LeavingPlan,
    random: SeededRandom,
    lives: Vec<TargetLife>,
    routers: Vec<TestRouter>,
    starts: u64,
    era: u64,
    // What the store showed: the time, the target and its entry.
    log: Vec<(u64, usize, Option<TargetRecord>)>,
    read_to: Vec<usize>,
    rewritten_at: u64,
    suspended_until: Vec<u64>,
    drained_at: Vec<u64>,
    running: Vec<RunningRequest>,
    messages: Vec<(u64, usize, GossipMessage)>,
    requests: u64,
    // By target and router: whether an answer of its first run told the router since it started.
    told: Vec<Vec<bool>>,
    // By target: when the first router was told whose gossip gets out.
    first_told: Vec<Option<u64>>,
    late: Vec<String>,
    refused: Vec<String>,
    arrivals: Vec<Vec<u64>>,
}

impl TargetLife {
    fn new(random: &mut SeededRandom, leaves: bool) -> TargetLife {
        let mut life = TargetLife::default();
        if !leaves {
            // The entry of a sound target may be gone for a while, too.
            life.gone = random.chance(0.3).then(|| 2_000 + random.below(5_000));
            life.back = life.gone.map(|gone| gone + 500 + random.below(2_000));
            return life;
        }
        let leaves = 1_000 + random.below(4_000);
        let ends = leaves + 2_500 + random.below(4_000);
        life.leaves = Some(leaves);
        life.drains = random.chance(0.5).then(|| (leaves - 500) + random.below(3_000));
        life.gone = random.chance(0.6).then(|| leaves + random.below(4_000));
        life.back = life.gone.filter(|_| random.chance(0.3)).map(|gone| gone + random.below(2_000));
        life.ends = Some(ends);
        life.restarts = random.chance(0.5).then(|| ends + 300 + random.below(1_500));
        life
    }

    fn is_leaving(&self, now: u64, started_ms: u64) -> bool {
        started_ms == 1 && self.leaves.is_some_and(|leaves| now >= leaves)
    }

    // Returns the start of the run that is up.
    fn run(&self, now: u64) -> Option<u64> {
        match self {
            TargetLife { restarts: Some(restarts), .. } if now >= *restarts => Some(2),
            TargetLife { ends: Some(ends), .. } if now >= *ends => None,
            _ => Some(1),
        }
    }

    // Returns the state and the start that the target's entry shows; `None` if there is no entry.
    fn entry(&self, now: u64) -> Option<(bool, u64)> {
        let has_passed = |time: Option<u64>| time.is_some_and(|time| now >= time);
        if self.run(now) == Some(2) {
            return Some((false, 2));
        }
        let is_gone = has_passed(self.gone) && !has_passed(self.back);
        // An entry is listed for a while after its target has ended.
        let is_listed = !is_gone && self.ends.is_none_or(|ends| now < ends + 700);
        is_listed.then(|| (has_passed(self.drains), 1))
    }
}

fn name(number: usize) -> String {
    format!("plain-{number}")
}

fn record(number: usize, zones: usize, (draining, started_ms): (bool, u64)) -> TargetRecord {
    let zone = ZONES[number % zones];
    TargetRecord { draining, started_ms, ..target(&name(number), "plain", zone, number as u8) }
}

fn router_place(index: usize) -> godwitroad_forward::PeerPlace {
    place(&format!("vm-{index}"), ZONES[index % ZONES.len()], index as u8 + 1)
}

impl LeavingFleet {
    pub(crate) fn new(seed: u64, plan: LeavingPlan) -> LeavingFleet {
        let mut random = SeededRandom::new(seed);
        let zones = plan.zones();
        let chance = match plan.share {
            LeavingShare::None | LeavingShare::One => 0.0,
            LeavingShare::Most => 0.7,
            LeavingShare::All => 1.0,
        };
        let life = |number| {
            // At least one target stays unless all leave.
            let is_one = matches!(plan.share, LeavingShare::One) && number == 0;
            let stays = number == 1 && chance < 1.0;
            let leaves = is_one || !stays && random.chance(chance);
            TargetLife::new(&mut random, leaves)
        };
        let lives: Vec<TargetLife> = (0..plan.targets).map(life).collect();
        let mut fleet = LeavingFleet {
            plan,
            random,
            log: (0..plan.targets)
                .map(|number| (0, number, Some(record(number, zones, (false, 1)))))
                .collect(),
            lives,
            routers: Vec::new(),
            starts: 0,
            era: 1,
            read_to: vec![0; plan.routers],
            rewritten_at: 0,
            suspended_until: vec![0; plan.routers],
            drained_at: vec![0; plan.routers],
            running: Vec::new(),
            messages: Vec::new(),
            requests: 0,
            told: vec![vec![false; plan.routers]; plan.targets],
            first_told: vec![None; plan.targets],
            late: Vec::new(),
            refused: Vec::new(),
            arrivals: vec![Vec::new(); plan.targets],
        };
        fleet.routers = (0..plan.routers).map(|index| fleet.start(0, index)).collect();
        fleet
    }

    fn start(&mut self, now: u64, index: usize) -> TestRouter {
        self.starts += 1;
        let mut settings = settings("vm", 1);
        settings.place = router_place(index);
        settings.incarnation = self.starts;
        settings.seed = self.starts;
        let mut router = TestRouter::new(settings);
        for other in 0..self.plan.routers {
            router.handle(now, ForwardEvent::PeerListed(router_place(other)));
        }
        router.handle(now, ForwardEvent::Rules(std::sync::Arc::new(rules(1))));
        router.handle(now, ForwardEvent::StoreEra(StoreEra::new(self.era)));
        self.read_to[index] = 0;
        self.told.iter_mut().for_each(|told| told[index] = false);
        router
    }

    // Routers of which faults leave some alone, so that these must know everything in time.
    fn is_calm(&self, router: usize) -> bool {
        router.is_multiple_of(2) || !(self.plan.kills || self.plan.suspends)
    }

    fn is_cut_out(&self, router: usize) -> bool {
        self.plan.cuts && router % 5 == 1
    }

    fn is_cut_in(&self, router: usize) -> bool {
        self.plan.cuts && router % 5 == 2
    }

    fn has_store(&self, now: u64, router: usize) -> bool {
        !(self.plan.store_away && router % 5 == 4 && now > 500)
    }

    fn is_suspended(&self, now: u64, router: usize) -> bool {
        now < self.suspended_until[router]
    }

    fn write_entries(&mut self, now: u64) {
        for number in 0..self.plan.targets {
            let entry =
                self.lives[number].entry(now).map(|entry| record(number, self.plan.zones(), entry));
            let before = self.log.iter().rev().find(|(_, other, _)| *other == number);
            let is_heartbeat = now.is_multiple_of(HEARTBEAT_MS) && entry.is_some();
            let is_rewritten = now == self.rewritten_at && entry.is_some();
            if is_heartbeat || is_rewritten || before.is_none_or(|(_, _, before)| *before != entry)
            {
                self.log.push((now, number, entry));
            }
        }
        if self.plan.store_copies && now.is_multiple_of(4_000) {
            self.return_older_copy(now);
        }
    }

    fn return_older_copy(&mut self, now: u64) {
        self.era += 1;
        self.rewritten_at = now + REWRITE_MS;
        let copy: Vec<Option<TargetRecord>> = (0..self.plan.targets)
            .map(|number| {
                let is_in_copy = |(time, other, _): &&(u64, usize, Option<TargetRecord>)| {
                    *other == number && *time + COPY_AGE_MS <= now
                };
                self.log.iter().rev().find(is_in_copy).and_then(|(_, _, entry)| entry.clone())
            })
            .collect();
        for router in 0..self.plan.routers {
            if !self.has_store(now, router) {
                continue;
            }
            let state = &mut self.routers[router];
            state.handle(now, ForwardEvent::StoreEra(StoreEra::new(self.era)));
            copy.iter()
                .flatten()
                .for_each(|entry| state.handle(now, ForwardEvent::Target(entry.clone())));
            state.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
        }
    }

    fn read_store(&mut self, now: u64) {
        for router in 0..self.plan.routers {
            let is_late = !(now / STEP_MS + router as u64 * 7).is_multiple_of(30) && now > STEP_MS;
            if !self.has_store(now, router) || self.is_suspended(now, router) || is_late {
                continue;
            }
            let state = &mut self.routers[router];
            for (_, number, entry) in &self.log[self.read_to[router]..] {
                let event = entry.clone().map_or_else(
                    || ForwardEvent::TargetRemoved(name(*number).into()),
                    ForwardEvent::Target,
                );
                state.handle(now, event);
            }
            self.read_to[router] = self.log.len();
            state.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
        }
    }

    fn inject_faults(&mut self, now: u64) {
        for router in (0..self.plan.routers).filter(|router| router % 2 == 1) {
            if self.plan.kills && self.has_store(now, router) && self.random.chance(0.002) {
                self.running.retain(|running| running.router != router);
                self.routers[router] = self.start(now, router);
            }
            if self.plan.suspends && !self.is_suspended(now, router) && self.random.chance(0.002) {
                self.suspended_until[router] = now + 300 + self.random.below(3_000);
                self.told.iter_mut().for_each(|told| told[router] = false);
            }
        }
    }

    fn number_of(plan: &SendPlan) -> usize {
        let number = plan.target.as_str().rsplit('-').next().and_then(|number| number.parse().ok());
        number.expect("a target's name ends with its number")
    }

    fn run_targets(&mut self, now: u64) {
        let (done, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|running| {
                now >= running.sent + ANSWER_MS && !self.is_suspended(now, running.router)
            });
        self.running = running;
        for RunningRequest { router, mut request, plan, sent } in done {
            let number = LeavingFleet::number_of(&plan);
            let life = self.lives[number];
            let outcome = match (life.run(sent), life.run(sent + ANSWER_MS)) {
                (None, _) => AttemptOutcome::NotSent,
                (before, after) if before != after => {
                    AttemptOutcome::Lost { phase: AnswerPhase::Waiting }
                }
                (Some(run), _) => {
                    let is_leaving = life.is_leaving(sent + ANSWER_MS, run);
                    // A router that reads late may have sent the request to a run that was restarted meanwhile.
                    if is_leaving && run == plan.started_ms {
                        self.routers[router].state.record_leaving(at(now), &plan);
                        self.told[number][router] = true;
                        if self.is_calm(router) && !self.is_cut_out(router) {
                            self.first_told[number].get_or_insert(now);
                        }
                    }
                    match self.random.below(4) {
                        0 if is_leaving => AttemptOutcome::Rejected { mismatch: false },
                        1 if is_leaving => AttemptOutcome::Lost { phase: AnswerPhase::Beginning },
                        _ => AttemptOutcome::Complete { status: 200 },
                    }
                }
            };
            let state = &mut self.routers[router].state;
            if state.finish_attempt(at(now), &mut request, &plan, outcome) == NextStep::Again {
                self.place(now, router, request);
            }
        }
    }

    fn send_requests(&mut self, now: u64) {
        let mut left = self.plan.demand * STEP_MS as f64 / 1_000.0;
        while left > 0.0 {
            let router = self.random.below(self.plan.routers as u64) as usize;
            if self.random.chance(left.min(1.0)) && !self.is_suspended(now, router) {
                let state = &mut self.routers[router].state;
                self.requests += 1;
                let digest =
                    RequestDigest::new("GET", HOST, "/open/x", &self.requests.to_be_bytes());
                let arrival = ForwardArrival { digest, ..arrival("/open/x", None) };
                let request = state.admit(at(now), arrival);
                self.place(now, router, request.expect("an open route"));
            }
            left -= 1.0;
        }
    }

    fn place(&mut self, now: u64, router: usize, mut request: ForwardRequest) {
        let state = &mut self.routers[router].state;
        let plan = match state.choose_target(at(now), &mut request) {
            Ok(plan) => plan,
            Err(refusal) => return self.check_refusal(now, router, &request, refusal.reason),
        };
        let number = LeavingFleet::number_of(&plan);
        self.arrivals[number].push(now);
        let is_first_run = plan.started_ms == 1 && self.lives[number].run(now) == Some(1);
        if is_first_run && self.told[number][router] {
            self.late.push(format!("{now} ms: {} was told of {}", router, plan.target));
        }
        let is_reachable = self.is_calm(router) && !self.is_cut_in(router);
        let first_told = self.first_told[number].filter(|_| is_first_run && is_reachable);
        if first_told.is_some_and(|told| now > told + TOLD_ALL_MS) {
            self.late.push(format!(
                "{now} ms: {router} knows nothing of {} since {first_told:?}",
                plan.target
            ));
        }
        self.running.push(RunningRequest { router, request, plan, sent: now });
    }

    // A request may only be refused if the router lists no other target than those that leave.
    fn check_refusal(
        &mut self,
        now: u64,
        router: usize,
        request: &ForwardRequest,
        reason: RefusalReason,
    ) {
        let is_sound = |number: &usize| {
            let record = self.routers[router].state.target(&name(*number).as_str().into());
            let life = &self.lives[*number];
            record.is_some_and(|record| {
                life.run(now) == Some(record.started_ms)
                    && !life.is_leaving(now, record.started_ms)
                    && life.drains.is_none_or(|drains| now < drains || record.started_ms == 2)
                    && !request.tried.contains(&record.name)
            })
        };
        if request.tried.is_empty() && (0..self.plan.targets).any(|number| is_sound(&number)) {
            self.refused.push(format!("{now} ms: {reason:?} at {router}"));
        }
    }

    fn gossip(&mut self, now: u64) {
        for router in 0..self.plan.routers {
            // The routers' rounds begin at different times.
            if now < STEP_MS * router as u64 || self.is_suspended(now, router) {
                continue;
            }
            let Some(round) = self.routers[router].gossip_round(now) else { continue };
            let is_recipient = |to: &usize| round.recipients.contains(&router_place(*to).address);
            for to in (0..self.plan.routers).filter(is_recipient) {
                let is_lost = self.plan.loses_gossip && self.random.chance(0.2);
                if !is_lost && !self.is_cut_out(router) && !self.is_cut_in(to) {
                    let longest = if self.plan.late_gossip { 300 } else { 20 };
                    let delay = 1 + self.random.below(longest);
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
            let event = ForwardEvent::Gossip { message: Box::new(message), arrived_after };
            self.routers[to].handle(now, event);
        }
        for router in 0..self.plan.routers {
            if !self.is_suspended(now, router) {
                self.drained_at[router] = now;
            }
        }
    }

    pub(crate) fn run(&mut self) {
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            self.write_entries(now);
            self.read_store(now);
            self.inject_faults(now);
            self.run_targets(now);
            self.send_requests(now);
            self.gossip(now);
        }
    }

    /// Asserts that no request reached a target of whose leaving its router was told, and that all sound ones were used.
    pub(crate) fn assert_kept(&self, seed: u64) {
        assert!(
            self.late.is_empty(),
            "seed {seed}: {} late requests, {:?}",
            self.late.len(),
            self.late.first()
        );
        assert!(
            self.refused.is_empty(),
            "seed {seed}: {} refused, {:?}",
            self.refused.len(),
            self.refused.first()
        );
        for (number, life) in self.lives.iter().enumerate() {
            let sound_since = life.restarts.or(life.back).unwrap_or(0);
            let is_sound = life.run(LENGTH_MS) == Some(if life.restarts.is_some() { 2 } else { 1 })
                && (life.leaves.is_none() || life.restarts.is_some());
            let since = sound_since.max(LENGTH_MS / 2);
            if is_sound && LENGTH_MS - since >= 3_000 {
                let used = self.arrivals[number].iter().filter(|time| **time >= since).count();
                assert!(used > 0, "seed {seed}: {} is unused since {since} ms", name(number));
            }
        }
    }
}
