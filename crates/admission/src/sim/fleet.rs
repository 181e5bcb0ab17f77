//! The simulated routers and callers.

use std::{cmp::Reverse, collections::BinaryHeap};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

use super::{
    engine::{Engine, EngineEvent, EngineJob},
    load::{KindLoad, LoadProfile, LoadReport, ServedCounts},
    work::{GossipedWork, ZONES},
};
use crate::{AccountDemand, AdmissionControl, AdmissionRequest, AdmissionSettings, TargetEstimate};

/// The time between two gossip messages within a zone, and to a peer of another zone, in ms.
const GOSSIP_MS: f64 = 200.0;
const FAR_GOSSIP_MS: f64 = 600.0;

/// The factor by which decoding slows down reading, as routers estimate it.
const DECODING_FACTOR: f64 = 1.1;

/// The time constant of the accounts' demand as routers know it, in ms.
const DEMAND_SPAN_MS: f64 = 1_000.0;

/// How the routers decide.
#[derive(Clone, Copy, Debug)]
pub enum SimPolicy {
    /// Refuse above a multiple of the objective, without regard to priority and account.
    Fixed(f64),
    /// The admission stage at every router.
    Admission(AdmissionSettings),
    /// The admission stage at a single router that sees all requests and targets without delay or error.
    Central(AdmissionSettings),
}

#[derive(Clone, Debug)]
struct SimRequest {
    kind: usize,
    account: usize,
    is_counted: bool,
    // When the caller's attempt arrived, and when its time is over.
    arrived: f64,
    deadline: f64,
    router: usize,
    target: Option<usize>,
    first: Option<f64>,
    // When it was placed, with the estimated backlog and time without other work.
    placed: (f64, f64, f64),
    is_over: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Lose,
    Return,
    Gossip(usize),
    FarGossip,
    // A target's step ends; the number tells the step from one of before a loss.
    Step(usize, u64),
}

struct FleetSim<'a> {
    profile: &'a LoadProfile,
    policy: SimPolicy,
    now: f64,
    random: SeededRandom,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    details: Vec<Event>,
    engines: Vec<Engine>,
    steps: Vec<u64>,
    requests: Vec<SimRequest>,
    routers: Vec<AdmissionControl>,
    work: GossipedWork,
    speed_error: Vec<f64>,
    // The ratio of actual to estimated backlog that each router has learned from responses.
    ratios: Vec<f64>,
    demand: Vec<f64>,
    demand_at: f64,
    report: LoadReport,
}

/// Runs the load and returns what the callers got that arrived while capacity was short.
pub fn simulate(profile: &LoadProfile, policy: SimPolicy, seed: u64) -> LoadReport {
    let mut sim = FleetSim::new(profile, policy, seed);
    sim.schedule_load();
    while let Some(Reverse((at, _, index))) = sim.events.pop() {
        sim.now = at as f64 / 1_000.0;
        let event = sim.details[index];
        sim.handle(event);
    }
    sim.report
}

impl<'a> FleetSim<'a> {
    fn new(profile: &'a LoadProfile, policy: SimPolicy, seed: u64) -> FleetSim<'a> {
        let mut random = SeededRandom::new(seed);
        // Targets of one service differ in speed by up to 2.5 times.
        let engines: Vec<Engine> = (0..profile.targets)
            .map(|_| {
                let factor = 0.6 + 0.9 * random.fraction();
                Engine::new(profile.read_per_ms * factor, profile.slots, profile.memory)
            })
            .collect();
        let (routers, settings) = match policy {
            SimPolicy::Fixed(_) => (profile.routers, AdmissionSettings::default()),
            SimPolicy::Admission(settings) => (profile.routers, settings),
            SimPolicy::Central(settings) => (1, settings),
        };
        let is_central = matches!(policy, SimPolicy::Central(_));
        let error = |random: &mut SeededRandom| {
            if is_central { 1.0 } else { 0.85 + 0.3 * random.fraction() }
        };
        let speed_error = (0..profile.targets).map(|_| error(&mut random)).collect();
        FleetSim {
            profile,
            policy,
            now: 0.0,
            random,
            events: BinaryHeap::new(),
            details: Vec::new(),
            steps: vec![0; profile.targets],
            engines,
            requests: Vec::new(),
            routers: vec![AdmissionControl::new(settings); routers],
            work: GossipedWork::new(routers, profile.targets),
            speed_error,
            ratios: vec![1.0; routers],
            demand: vec![0.0; profile.accounts.len()],
            demand_at: 0.0,
            report: LoadReport {
                kinds: vec![ServedCounts::default(); profile.kinds.len()],
                accounts: vec![ServedCounts::default(); profile.accounts.len()],
                all: ServedCounts::default(),
            },
        }
    }

    fn at(&mut self, ms: f64, event: Event) {
        let index = self.details.len();
        self.details.push(event);
        self.events.push(Reverse(((ms.max(self.now) * 1_000.0) as u64, index as u64, index)));
    }

    fn schedule_load(&mut self) {
        let profile = self.profile;
        let total: f64 = profile.accounts.iter().sum();
        for kind in 0..profile.kinds.len() {
            for account in 0..profile.accounts.len() {
                let rate = profile.kinds[kind].per_second * profile.accounts[account] / total;
                self.schedule_arrivals(kind, account, rate / 1_000.0);
            }
        }
        let (begin, end) = profile.short_ms;
        self.at(begin, Event::Lose);
        self.at(end, Event::Return);
        let mut ms = 0.0;
        while ms < profile.length_ms {
            for zone in 0..ZONES {
                self.at(ms + GOSSIP_MS * zone as f64 / ZONES as f64, Event::Gossip(zone));
            }
            if ms % FAR_GOSSIP_MS < GOSSIP_MS {
                self.at(ms, Event::FarGossip);
            }
            ms += GOSSIP_MS;
        }
    }

    fn schedule_arrivals(&mut self, kind: usize, account: usize, per_ms: f64) {
        let profile = self.profile;
        let (begin, end) = profile.short_ms;
        let (bursting, factor) = &profile.bursting;
        let mut ms = 0.0;
        while ms < profile.length_ms {
            let is_short = (begin..end).contains(&ms);
            let rate =
                if is_short && bursting.contains(&account) { per_ms * factor } else { per_ms };
            ms += -(1.0 - self.random.fraction()).ln() / rate;
            let request = SimRequest {
                kind,
                account,
                is_counted: (begin..end).contains(&ms),
                arrived: ms,
                deadline: ms + profile.kinds[kind].limit_ms,
                router: 0,
                target: None,
                first: None,
                placed: (0.0, 0.0, 0.0),
                is_over: false,
            };
            self.requests.push(request);
            self.at(ms, Event::Arrive(self.requests.len() - 1));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Lose => self.lose_targets(),
            Event::Return => self.engines.iter_mut().for_each(|engine| engine.is_up = true),
            Event::Gossip(zone) => self.work.send_within(zone),
            Event::FarGossip => self.work.send_far(),
            Event::Step(target, step) if self.steps[target] == step => self.step(target),
            Event::Step(..) => {}
        }
    }

    fn arrive(&mut self, id: usize) {
        let router = self.random.below(self.routers.len() as u64) as usize;
        let request = &mut self.requests[id];
        request.router = router;
        request.arrived = self.now;
        let kind = &self.profile.kinds[request.kind];
        let passed = (self.now - self.demand_at) / DEMAND_SPAN_MS;
        self.demand.iter_mut().for_each(|demand| *demand *= (-passed).exp());
        self.demand_at = self.now;
        self.demand[request.account] +=
            f64::from(kind.input + kind.output) * 1_000.0 / DEMAND_SPAN_MS;
        self.decide(id);
    }

    fn is_central(&self) -> bool {
        matches!(self.policy, SimPolicy::Central(_))
    }

    // Returns unread tokens, requests and memory at a target as a router knows them.
    fn view(&self, router: usize, target: usize) -> [f64; 3] {
        if self.is_central() {
            let engine = &self.engines[target];
            let (running, waiting) = engine.load();
            let memory = engine.memory_tokens() as f64;
            return [engine.unread_tokens(), (running + waiting) as f64, memory];
        }
        self.work.known(router, target)
    }

    // Returns the target with the lowest estimated time to the first event among all, or among a few random ones of the
    // router's zone, with the estimate.
    fn best_target(&mut self, router: usize, kind: &KindLoad) -> Option<(usize, TargetEstimate)> {
        let is_near = |target: usize| target % ZONES == router % ZONES;
        let mut up: Vec<usize> =
            (0..self.engines.len()).filter(|target| self.engines[*target].is_up).collect();
        if !self.is_central() && self.profile.choices > 0 {
            up.retain(|target| is_near(*target));
        }
        let all = self.is_central() || self.profile.choices == 0;
        let choices = if all { up.len() } else { self.profile.choices.min(up.len()) };
        let mut best: Option<(f64, usize, TargetEstimate)> = None;
        for index in 0..choices {
            let other = index + self.random.below((up.len() - index) as u64) as usize;
            up.swap(index, other);
            let estimate = self.estimate(router, up[index], kind);
            let distance = if is_near(up[index]) || self.is_central() { 0.0 } else { 6.0 };
            let rank = (estimate.first_ms + distance) * (1.0 + 0.02 * self.random.fraction());
            if best.is_none_or(|(lowest, ..)| rank < lowest) {
                best = Some((rank, up[index], estimate));
            }
        }
        best.map(|(_, target, estimate)| (target, estimate))
    }

    fn estimate(&self, router: usize, target: usize, kind: &KindLoad) -> TargetEstimate {
        let [unread, _, used] = self.view(router, target);
        let speed = self.engines[target].read_per_ms * self.speed_error[target];
        let alone = f64::from(kind.input) / speed * DECODING_FACTOR + 10.0;
        let memory = used + f64::from(kind.input + kind.output);
        let over = (memory / self.profile.memory as f64 - 1.0).max(0.0) * 2_000.0;
        let backlog = unread / speed * DECODING_FACTOR + over;
        TargetEstimate { first_ms: alone + backlog * self.ratios[router], alone_ms: alone }
    }

    fn decide(&mut self, id: usize) {
        let request = self.requests[id].clone();
        if request.is_over || request.target.is_some() {
            return;
        }
        let kind = self.profile.kinds[request.kind];
        if let SimPolicy::Fixed(factor) = self.policy {
            return self.decide_by_factor(id, factor);
        }
        let admission = admission_request(id, &request, &kind);
        let (now, demands) = (clock(self.now), self.demands());
        let limit = self.routers[request.router].limit(now, &admission, &demands);
        let Some((target, estimate)) = self.best_target(request.router, &kind) else {
            return self.refuse(id, 400.0);
        };
        if limit.admits(&estimate) || self.has_free_slots() {
            let control = &mut self.routers[request.router];
            control.record_placed(now, &admission.service, kind.priority);
            return self.place(id, target, estimate);
        }
        let over_ms = estimate.backlog_ms() - limit.backlog_ms(&estimate);
        let control = &mut self.routers[request.router];
        let retry_after = control.refuse(now, &admission, over_ms, &mut self.random);
        self.refuse(id, retry_after.as_ms() as f64);
    }

    // Decides by the rule that knows neither priorities nor accounts.
    fn decide_by_factor(&mut self, id: usize, factor: f64) {
        let request = &self.requests[id];
        let kind = self.profile.kinds[request.kind];
        let limit = (kind.objective_ms * factor).min(request.deadline - self.now);
        match self.best_target(request.router, &kind) {
            Some((target, estimate)) if estimate.first_ms <= limit => {
                self.place(id, target, estimate);
            }
            Some((_, estimate)) => self.refuse(id, estimate.first_ms - limit / 2.0),
            None => self.refuse(id, 400.0),
        }
    }

    fn has_free_slots(&self) -> bool {
        let up = self.engines.iter().filter(|engine| engine.is_up);
        let (mut running, mut waiting, mut slots) = (0, 0, 0);
        for engine in up {
            let load = engine.load();
            running += load.0;
            waiting += load.1;
            slots += engine.slots;
        }
        running * 2 < slots && waiting == 0
    }

    fn demands(&self) -> Vec<AccountDemand> {
        let named = self.demand.iter().enumerate();
        named
            .map(|(index, demand)| AccountDemand {
                account: format!("account-{index}").as_str().into(),
                per_second: *demand,
            })
            .collect()
    }

    fn place(&mut self, id: usize, target: usize, estimate: TargetEstimate) {
        let request = &mut self.requests[id];
        request.placed = (self.now, estimate.backlog_ms(), estimate.alone_ms);
        request.target = Some(target);
        let kind = &self.profile.kinds[request.kind];
        let memory = kind.input + kind.output;
        let work = [f64::from(kind.input), 1.0, f64::from(memory)];
        self.work.add(request.router, target, work);
        let job = EngineJob {
            request: id,
            priority: kind.priority,
            unread: f64::from(kind.input),
            output: kind.output,
            memory: memory.into(),
            has_emitted: false,
        };
        let was_busy = self.engines[target].is_busy;
        self.engines[target].add(self.now, job);
        if !was_busy {
            self.schedule_step(target);
        }
    }

    fn schedule_step(&mut self, target: usize) {
        self.steps[target] += 1;
        if self.engines[target].is_busy {
            let (at, step) = (self.engines[target].next_ms, self.steps[target]);
            self.at(at, Event::Step(target, step));
        }
    }

    fn step(&mut self, target: usize) {
        let mut events = Vec::new();
        self.engines[target].end_step(self.now, &mut events);
        self.schedule_step(target);
        for event in events {
            match event {
                EngineEvent::First(id) => {
                    let request = &mut self.requests[id];
                    request.first = Some(self.now);
                    let input = f64::from(self.profile.kinds[request.kind].input);
                    self.work.add(request.router, target, [-input, 0.0, 0.0]);
                    self.learn(id);
                }
                EngineEvent::End(id) => {
                    self.remove_work(id, target);
                    self.finish(id, true);
                }
            }
        }
    }

    // Corrects the estimates by the time that a request took. Backlogs too small to tell are left out.
    fn learn(&mut self, id: usize) {
        let request = &self.requests[id];
        let (at, backlog, alone) = request.placed;
        let actual = (self.now - at - alone).max(0.0);
        let ratio = &mut self.ratios[request.router];
        if backlog.max(actual) > 50.0 {
            let observed = (actual / backlog.max(10.0)).clamp(0.25, 4.0);
            *ratio = (*ratio * (1.0 + 0.05 * observed.ln())).clamp(0.5, 4.0);
        }
    }

    fn remove_work(&mut self, id: usize, target: usize) {
        let request = &self.requests[id];
        let kind = &self.profile.kinds[request.kind];
        let memory = f64::from(kind.input + kind.output);
        self.work.add(request.router, target, [0.0, -1.0, -memory]);
    }

    fn lose_targets(&mut self) {
        let lost = (self.engines.len() as f64 * self.profile.lost_fraction) as usize;
        for target in 0..lost {
            self.steps[target] += 1;
            for id in self.engines[target].stop() {
                self.remove_work(id, target);
                if self.requests[id].first.is_some() {
                    self.finish(id, false);
                    continue;
                }
                let request = &mut self.requests[id];
                let input = f64::from(self.profile.kinds[request.kind].input);
                self.work.add(request.router, target, [-input, 0.0, 0.0]);
                request.target = None;
                self.decide(id);
            }
        }
    }

    fn refuse(&mut self, id: usize, retry_after: f64) {
        let request = &mut self.requests[id];
        if retry_after <= (request.deadline - self.now) / 3.0 && retry_after >= 1.0 {
            self.at(self.now + retry_after, Event::Arrive(id));
            return;
        }
        request.is_over = true;
        self.count(id, |counts| counts.refused += 1);
    }

    fn finish(&mut self, id: usize, is_complete: bool) {
        let request = &mut self.requests[id];
        request.is_over = true;
        let kind = self.profile.kinds[request.kind];
        let first = request.first.unwrap_or(f64::INFINITY) - request.arrived;
        let (is_in_time, is_served) = (first <= kind.objective_ms, self.now <= request.deadline);
        self.count(id, |counts| {
            if !is_complete || !is_served {
                counts.failed += 1;
            } else if is_in_time {
                counts.in_time += 1;
                counts.value += 1.0;
            } else {
                counts.late += 1;
                counts.value += kind.late_value;
            }
        });
    }

    fn count(&mut self, id: usize, add: impl Fn(&mut ServedCounts)) {
        let request = &self.requests[id];
        if !request.is_counted {
            return;
        }
        let (kind, account) = (request.kind, request.account);
        for counts in
            [&mut self.report.kinds[kind], &mut self.report.accounts[account], &mut self.report.all]
        {
            counts.requests += 1;
            add(counts);
        }
    }
}

fn clock(ms: f64) -> ClockTime {
    ClockTime::from_ms(ms as u64)
}

fn admission_request(id: usize, request: &SimRequest, kind: &KindLoad) -> AdmissionRequest {
    AdmissionRequest {
        service: "service".into(),
        account: Some(format!("account-{}", request.account).as_str().into()),
        priority: kind.priority,
        objective: ClockSpan::from_ms(kind.objective_ms as u64),
        arrived: clock(request.arrived),
        deadline: clock(request.deadline),
        // The attempts of one caller have different ids.
        draw: SeededRandom::new(id as u64 ^ request.arrived.to_bits()).next_u64(),
    }
}
