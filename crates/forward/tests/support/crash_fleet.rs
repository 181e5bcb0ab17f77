//! A simulated fleet in which parts of prompts, or requests that come again, crash every target that begins to answer them,
//! while targets also crash by themselves, alone or many at once, routers are killed or cut off from each other, and gossip is
//! lost.

use godwitroad_base::SeededRandom;
use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, ForwardArrival, ForwardEvent, ForwardRequest, GossipMessage,
    NextStep, PromptPart, RefusalReason, RequestDigest, SendPlan,
};

use super::{HOST, TestRouter, arrival, at, fleet_router, settings, target};

const ROUTERS: usize = 6;
/// Targets of the model service, which come first, and of the plain one.
const TARGETS: usize = 9;
const PLAIN_TARGETS: usize = 3;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 30_000;

/// The operator's bounds: the time after the fifth crash, or the third one of a request that comes again, from which at most
/// three more such requests may reach targets, and the time for which a router must have been undisturbed for its requests to count.
pub(crate) const CONTACT_MS: u64 = 3_000;
pub(crate) const MAX_LATER_ARRIVALS: usize = 3;

/// The time that a target needs for its first event, and for the whole answer.
const FIRST_EVENT_MS: u64 = 40;
const ANSWER_MS: u64 = 200;
const DOWN_MS: u64 = 2_000;

/// What a simulation injects.
#[derive(Clone, Copy, Default)]
pub(crate) struct FaultPlan {
    /// The number of parts of prompts that crash targets.
    pub(crate) deadly: usize,
    /// The number of requests to the plain service that crash targets and come again.
    pub(crate) repeated: usize,
    /// Whether those may run once only.
    pub(crate) once: bool,
    /// Requests of each of these causes per second.
    pub(crate) per_second: f64,
    pub(crate) crashes: bool,
    pub(crate) mass_crashes: bool,
    pub(crate) kills: bool,
    pub(crate) cuts: bool,
    pub(crate) suspends: bool,
    pub(crate) loses_gossip: bool,
}

/// Why a request crashes its target.
#[derive(Clone, Copy, PartialEq)]
enum CrashCause {
    Part(usize),
    Repeated { number: usize, is_again: bool },
}

struct RunningRequest {
    router: usize,
    request: ForwardRequest,
    plan: SendPlan,
    target: usize,
    sent: u64,
    cause: Option<CrashCause>,
}

pub(crate) struct Fleet {
    random: SeededRandom,
    plan: FaultPlan,
    routers: Vec<TestRouter>,
    partitions: Vec<usize>,
    // When each router was last started, cut off, healed or resumed.
    disturbed: Vec<u64>,
    suspended_until: Vec<u64>,
    // When each router last found no message waiting.
    drained_at: Vec<u64>,
    // Outcomes that wait for a suspended router.
    waiting: Vec<(RunningRequest, AttemptOutcome)>,
    starts: u64,
    down_until: Vec<u64>,
    running: Vec<RunningRequest>,
    messages: Vec<(u64, usize, GossipMessage)>,
    requests: u64,
    // By deadly part, then by repeated request: when targets crashed, and when requests reached targets from undisturbed
    // routers.
    pub(crate) crashes: Vec<Vec<u64>>,
    arrivals: Vec<Vec<u64>>,
    /// Sound requests of undisturbed routers: when each was sent, and whether it was withheld.
    pub(crate) sound: Vec<(u64, bool)>,
    /// The same for sound requests to the plain service.
    pub(crate) sound_plain: Vec<(u64, bool)>,
}

pub(crate) fn start(starts: &mut u64, now: u64, index: usize) -> TestRouter {
    *starts += 1;
    let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
    settings.incarnation = *starts;
    settings.seed = *starts;
    let model = |number| target(&format!("model-{number}"), "models", "a", 10 + number as u8);
    let plain = |number| target(&format!("plain-{number}"), "plain", "a", 10 + number as u8);
    let targets = (0..TARGETS).map(model);
    let plain_targets = (TARGETS..TARGETS + PLAIN_TARGETS).map(plain);
    fleet_router(now, settings, ROUTERS, targets.chain(plain_targets))
}

impl Fleet {
    pub(crate) fn new(seed: u64, plan: FaultPlan) -> Fleet {
        let mut starts = 0;
        Fleet {
            random: SeededRandom::new(seed),
            plan,
            routers: (0..ROUTERS).map(|index| start(&mut starts, 0, index)).collect(),
            partitions: vec![0; ROUTERS],
            disturbed: vec![0; ROUTERS],
            suspended_until: vec![0; ROUTERS],
            drained_at: vec![0; ROUTERS],
            waiting: Vec::new(),
            starts,
            down_until: vec![0; TARGETS + PLAIN_TARGETS],
            running: Vec::new(),
            messages: Vec::new(),
            requests: 0,
            crashes: vec![Vec::new(); plan.deadly + plan.repeated],
            arrivals: vec![Vec::new(); plan.deadly + plan.repeated],
            sound: Vec::new(),
            sound_plain: Vec::new(),
        }
    }

    fn is_in_touch(&self, now: u64, router: usize) -> bool {
        self.partitions[router] == 0 && now >= self.disturbed[router] + CONTACT_MS
    }

    fn inject_faults(&mut self, now: u64) {
        if self.plan.crashes && self.random.chance(0.01) {
            let target = self.random.below(TARGETS as u64) as usize;
            self.crash(now, target);
        }
        if self.plan.mass_crashes && self.random.chance(0.003) {
            let first = self.random.below(TARGETS as u64) as usize;
            (first..TARGETS).for_each(|target| self.crash(now, target));
        }
        if self.plan.repeated > 0 && self.plan.crashes && self.random.chance(0.003) {
            let target = TARGETS + self.random.below(PLAIN_TARGETS as u64) as usize;
            self.crash(now, target);
        }
        for router in 0..ROUTERS {
            if self.plan.kills && self.random.chance(0.001) {
                self.running.retain(|running| running.router != router);
                self.waiting.retain(|(running, _)| running.router != router);
                self.suspended_until[router] = now;
                self.routers[router] = start(&mut self.starts, now, router);
                self.disturbed[router] = now;
            }
            if self.plan.cuts && self.random.chance(0.001) {
                self.partitions[router] = 1 - self.partitions[router];
                self.disturbed[router] = now;
            }
            if self.plan.suspends && !self.is_suspended(now, router) && self.random.chance(0.001) {
                let until = now + 300 + self.random.below(8_000);
                self.suspended_until[router] = until;
                self.disturbed[router] = until;
            }
            if !self.is_suspended(now, router) {
                let answered = ForwardEvent::StoreAnswered { read_from: at(now) };
                self.routers[router].handle(now, answered);
            }
        }
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(running, _)| !self.is_suspended(now, running.router));
        self.waiting = waiting;
        for (running, outcome) in due {
            self.finish(now, running, outcome);
        }
    }

    fn is_suspended(&self, now: u64, router: usize) -> bool {
        now < self.suspended_until[router]
    }

    fn crash(&mut self, now: u64, target: usize) {
        self.down_until[target] = now + DOWN_MS;
        let (lost, kept) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &RunningRequest| running.target == target);
        self.running = kept;
        for running in lost {
            let phase = match now - running.sent {
                _ if target >= TARGETS => AnswerPhase::Waiting,
                0..FIRST_EVENT_MS => AnswerPhase::Waiting,
                FIRST_EVENT_MS..60 => AnswerPhase::Beginning,
                _ => AnswerPhase::Continuing,
            };
            self.finish(now, running, AttemptOutcome::Lost { phase });
        }
    }

    fn finish(&mut self, now: u64, mut running: RunningRequest, outcome: AttemptOutcome) {
        if self.is_suspended(now, running.router) {
            self.waiting.push((running, outcome));
            return;
        }
        let state = &mut self.routers[running.router].state;
        let step = state.finish_attempt(at(now), &mut running.request, &running.plan, outcome);
        match (step, running.cause) {
            (NextStep::Again, cause) => {
                self.send(now, running.router, running.request, cause);
            }
            // Callers try a repeatable request once more after a failure.
            (NextStep::End(_), Some(CrashCause::Repeated { number, is_again: false }))
                if !self.plan.once =>
            {
                self.send_repeated(now, number, true);
            }
            _ => {}
        }
    }

    fn send(
        &mut self,
        now: u64,
        router: usize,
        mut request: ForwardRequest,
        cause: Option<CrashCause>,
    ) -> Option<RefusalReason> {
        let plan = match self.routers[router].state.choose_target(at(now), &mut request) {
            Ok(plan) => plan,
            Err(refusal) => return Some(refusal.reason),
        };
        let number = plan.target.as_str().rsplit('-').next().and_then(|number| number.parse().ok());
        let target: usize = number.expect("a target's name ends with its number");
        let running = RunningRequest { router, request, plan, target, sent: now, cause };
        if now < self.down_until[target] {
            self.finish(now, running, AttemptOutcome::NotSent);
            return None;
        }
        if let Some(cause) = cause.filter(|_| self.is_in_touch(now, router)) {
            let index = self.index_of(cause);
            self.arrivals[index].push(now);
        }
        self.running.push(running);
        None
    }

    fn index_of(&self, cause: CrashCause) -> usize {
        match cause {
            CrashCause::Part(part) => part,
            CrashCause::Repeated { number, .. } => self.plan.deadly + number,
        }
    }

    fn send_requests(&mut self, now: u64) {
        for part in 0..self.plan.deadly {
            if self.random.chance(self.plan.per_second * STEP_MS as f64 / 1_000.0) {
                self.send_request(now, Some(part));
            }
        }
        if self.random.chance(0.6) {
            self.send_request(now, None);
        }
        for number in 0..self.plan.repeated {
            if self.random.chance(self.plan.per_second * STEP_MS as f64 / 1_000.0) {
                self.send_repeated(now, number, false);
            }
        }
        if self.plan.repeated > 0 && self.random.chance(0.4) {
            self.send_sound_plain(now);
        }
    }

    // Sends a request that crashes its target and differs from sound ones in its body alone.
    fn send_repeated(&mut self, now: u64, number: usize, is_again: bool) {
        let body = format!("deadly-{number}");
        let cause = CrashCause::Repeated { number, is_again };
        self.send_plain(now, "popular-0", &body, Some(cause));
    }

    // Half of the sound requests are among a few that come again and again.
    fn send_sound_plain(&mut self, now: u64) {
        self.requests += 1;
        let number = self.requests;
        let name = match self.random.chance(0.5) {
            true => format!("popular-{}", self.random.below(5)),
            false => format!("own-{number}"),
        };
        self.send_plain(now, &name, "sound", None);
    }

    fn send_plain(&mut self, now: u64, name: &str, body: &str, cause: Option<CrashCause>) {
        let path = if self.plan.once { "/once/x" } else { "/any/x" };
        let target = format!("{path}?{name}");
        let arrival = ForwardArrival {
            digest: RequestDigest::new("POST", HOST, &target, body.as_bytes()),
            ..arrival(path, Some("key-one"))
        };
        let router = self.random.below(ROUTERS as u64) as usize;
        if self.is_suspended(now, router) {
            return;
        }
        let Ok(request) = self.routers[router].state.admit(at(now), arrival) else { return };
        let refusal = self.send(now, router, request, cause);
        if cause.is_none() && self.is_in_touch(now, router) {
            let is_withheld = refusal.is_some_and(|reason| reason.name() == "request_withheld");
            self.sound_plain.push((now, is_withheld));
        }
    }

    fn send_request(&mut self, now: u64, deadly: Option<usize>) {
        self.requests += 1;
        let part = |id: String| PromptPart { id, tokens: 500 };
        let session = part(format!("session-{}", self.random.below(40)));
        let own = part(format!("own-{}", self.requests));
        let mut prompt = vec![part("root".into()), session];
        prompt.extend(deadly.map(|number| part(format!("deadly-{number}"))));
        prompt.push(own);
        let arrival = ForwardArrival {
            model: Some("m".into()),
            prompt,
            tokens: Some((2_000, 10)),
            digest: RequestDigest::new("POST", HOST, "/stream/x", &self.requests.to_le_bytes()),
            ..arrival("/stream/x", Some("key-one"))
        };
        let router = self.random.below(ROUTERS as u64) as usize;
        if self.is_suspended(now, router) {
            return;
        }
        let Ok(request) = self.routers[router].state.admit(at(now), arrival) else { return };
        let refusal = self.send(now, router, request, deadly.map(CrashCause::Part));
        if deadly.is_none() && self.is_in_touch(now, router) {
            self.sound.push((now, refusal == Some(RefusalReason::PromptWithheld)));
        }
    }

    fn run_targets(&mut self, now: u64) {
        let began: Vec<(usize, CrashCause)> = self
            .running
            .iter()
            .filter(|running| now - running.sent == FIRST_EVENT_MS)
            .filter_map(|running| Some((running.target, running.cause?)))
            .collect();
        for (target, cause) in began {
            if now >= self.down_until[target] {
                let index = self.index_of(cause);
                self.crashes[index].push(now);
                self.crash(now, target);
            }
        }
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &RunningRequest| now - running.sent >= ANSWER_MS);
        self.running = running;
        for running in done {
            self.finish(now, running, AttemptOutcome::Complete { status: 200 });
        }
    }

    fn gossip(&mut self, now: u64) {
        for router in 0..ROUTERS {
            // The routers' rounds begin at different times.
            if now < STEP_MS * router as u64 || self.is_suspended(now, router) {
                continue;
            }
            let Some(round) = self.routers[router].gossip_round(now) else { continue };
            for to in (0..ROUTERS).filter(|to| *to != router) {
                let is_lost = self.plan.loses_gossip && self.random.chance(0.2);
                if self.partitions[to] == self.partitions[router] && !is_lost {
                    let delay = 1 + self.random.below(20);
                    self.messages.push((now + delay, to, round.message.clone()));
                }
            }
        }
        // Messages to a suspended router wait in its socket.
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(time, to, _)| *time <= now && !self.is_suspended(now, *to));
        self.messages = later;
        for (_, to, message) in due {
            let arrived_after = at(self.drained_at[to]);
            self.routers[to]
                .handle(now, ForwardEvent::Gossip { message: Box::new(message), arrived_after });
        }
        for router in 0..ROUTERS {
            if !self.is_suspended(now, router) {
                self.drained_at[router] = now;
            }
        }
    }

    pub(crate) fn run(&mut self) {
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            self.inject_faults(now);
            self.run_targets(now);
            self.send_requests(now);
            self.gossip(now);
        }
    }

    /// Returns when the fleet must know a deadly part or a repeated request.
    pub(crate) fn known_from(&self, cause: usize) -> u64 {
        let bound = if cause < self.plan.deadly { 5 } else { 3 };
        let last = self.crashes[cause].iter().take(bound).next_back();
        last.expect("the cause has crashed targets") + CONTACT_MS
    }

    pub(crate) fn later_arrivals(&self, cause: usize) -> usize {
        let known_from = self.known_from(cause);
        self.arrivals[cause].iter().filter(|sent| **sent > known_from).count()
    }
}
