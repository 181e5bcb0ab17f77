//! The event loop of the simulation.

use std::{cmp::Reverse, collections::BinaryHeap};

use godwitroad_balance::{Distance, TargetCandidate, TargetReport};
use godwitroad_base::{ClockSpan, ClockTime, Incarnation, SeededRandom, TargetName, VmName};
use godwitroad_prefix::{BlockHash, FeedBatch, PrefixMatches, ShardEvent, TargetId};

use super::{
    engine::FakeEngine,
    load::{FirmShape, PIECE_TOKENS, WorkRequest},
    node::{NodeMessage, PolicyKind, RouterNode, prefix_hash},
    result::RunResult,
    zone::PUBLISH_US,
};

/// The slots of a worker.
const SLOTS: usize = 32;

const REPORT_US: u64 = 250_000;
const DOWN_US: u64 = 500_000;

/// The faults of one scenario.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultPlan {
    /// The chance that a batch of cache events is lost.
    pub(super) lost: f64,
    /// The chance that a batch arrives twice.
    pub(super) twice: f64,
    /// Engines that crash, with the time.
    pub(super) crashes: Vec<(u64, usize)>,
    /// The start of a restart of all routers.
    pub(super) mass_restart: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    Arrive(usize),
    AtEngine { engine: usize, request: usize, attempt: u32 },
    Computed { engine: usize, incarnation: Incarnation },
    Answered { engine: usize, incarnation: Incarnation, request: usize },
    Failed { request: usize, engine: usize },
    Publish(usize),
    Report(usize),
    Cache { router: usize, engine: usize, batch: FeedBatch },
    Snapshot { router: usize, engine: usize },
    Load { router: usize, engine: usize, taken: u64, report: TargetReport },
    Peer { from: usize, to: usize, message: NodeMessage },
    Members,
    Tick,
    Crash(usize),
    RouterDown(usize),
    RouterUp(usize),
}

#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub(super) router: usize,
    pub(super) attempt: u32,
    pub(super) excluded: Vec<TargetId>,
    /// The most leading pieces that any worker of the region held at dispatch.
    pub(super) best: usize,
    pub(super) network_us: u64,
}

/// One run of one policy.
#[derive(Debug)]
pub(super) struct World<'a> {
    pub(super) firm: &'a FirmShape,
    pub(super) requests: &'a [WorkRequest],
    pub(super) plan: &'a FaultPlan,
    pub(super) policy: PolicyKind,
    pub(super) random: SeededRandom,
    pub(super) now: u64,
    pub(super) heap: BinaryHeap<Reverse<(u64, usize)>>,
    pub(super) events: Vec<Option<SimEvent>>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) down_until: Vec<u64>,
    pub(super) engine_zones: Vec<usize>,
    pub(super) router_zones: Vec<usize>,
    pub(super) names: Vec<TargetName>,
    pub(super) vms: Vec<VmName>,
    pub(super) nodes: Vec<Option<RouterNode>>,
    pub(super) states: Vec<RequestState>,
    pub(super) result: RunResult,
    pub(super) end: u64,
}

pub(super) fn region(zone: usize) -> usize {
    usize::from(zone == 2)
}

impl<'a> World<'a> {
    pub(super) fn new(
        firm: &'a FirmShape,
        requests: &'a [WorkRequest],
        plan: &'a FaultPlan,
        policy: PolicyKind,
        seed: u64,
    ) -> World<'a> {
        let spread = |counts: [usize; 3]| -> Vec<usize> {
            counts.into_iter().enumerate().flat_map(|(zone, count)| vec![zone; count]).collect()
        };
        let router_zones = spread(firm.zones.map(|(routers, _)| routers));
        let engine_zones = spread(firm.zones.map(|(_, workers)| workers));
        let names = (0..engine_zones.len()).map(|place| format!("worker-{place:02}").into());
        let vms: Vec<VmName> =
            (0..router_zones.len()).map(|place| format!("vm-{place}").into()).collect();
        let mut world = World {
            firm,
            requests,
            plan,
            policy,
            random: SeededRandom::new(seed ^ 0x5eed),
            now: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            engines: vec![FakeEngine::new(firm.cache, SLOTS); engine_zones.len()],
            down_until: vec![0; engine_zones.len()],
            names: names.collect(),
            nodes: vec![None; vms.len()],
            vms,
            engine_zones,
            router_zones,
            states: vec![RequestState::default(); requests.len()],
            result: RunResult::new(requests.len()),
            end: requests.last().map_or(0, |request| request.at_us) + 30_000_000,
        };
        for router in 0..world.vms.len() {
            world.start_router(router);
        }
        world.set_members();
        world.plan_events();
        world
    }

    pub(super) fn run(mut self) -> RunResult {
        while let Some(Reverse((at, place))) = self.heap.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events[place].take() {
                self.handle(event);
            }
        }
        self.result
    }

    fn plan_events(&mut self) {
        for (place, request) in self.requests.iter().enumerate() {
            self.push(request.at_us, SimEvent::Arrive(place));
        }
        for engine in 0..self.engines.len() {
            self.push(PUBLISH_US * engine as u64 / 16, SimEvent::Publish(engine));
            self.push(REPORT_US * engine as u64 / 16, SimEvent::Report(engine));
        }
        for &(at, engine) in &self.plan.crashes {
            self.push(at, SimEvent::Crash(engine));
        }
        for router in 0..self.vms.len() {
            if let Some(at) = self.plan.mass_restart {
                let down = at + 300_000 * router as u64;
                self.push(down, SimEvent::RouterDown(router));
                self.push(down + 200_000, SimEvent::Members);
                self.push(down + 1_000_000, SimEvent::RouterUp(router));
                self.push(down + 1_200_000, SimEvent::Members);
            }
        }
        self.push(0, SimEvent::Tick);
    }

    pub(super) fn push(&mut self, at: u64, event: SimEvent) {
        self.heap.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub(super) fn clock(&self) -> ClockTime {
        ClockTime::from_ms(self.now / 1_000)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(request),
            SimEvent::AtEngine { engine, request, attempt } => {
                self.reach_engine(engine, request, attempt);
            }
            SimEvent::Computed { engine, incarnation } => self.computed(engine, incarnation),
            SimEvent::Answered { engine, incarnation, request } => {
                self.answered(engine, incarnation, request);
            }
            SimEvent::Failed { request, engine } => self.failed(request, engine),
            SimEvent::Publish(engine) => self.publish(engine),
            SimEvent::Report(engine) => self.report(engine),
            SimEvent::Cache { router, engine, batch } => {
                let target = self.names[engine].clone();
                self.tell_part(router, ShardEvent::Cache { target, batch });
            }
            SimEvent::Snapshot { router, engine } => {
                let batch = self.engines[engine].snapshot();
                self.push(self.now + 2_000, SimEvent::Cache { router, engine, batch });
            }
            SimEvent::Load { router, engine, taken, report } => {
                let age = ClockSpan::from_ms((self.now - taken) / 1_000);
                let now = self.clock();
                if let Some(node) = &mut self.nodes[router] {
                    node.take_report(now, TargetId(engine as u16), TargetReport { age, ..report });
                }
            }
            SimEvent::Peer { from, to, message } => self.deliver(from, to, message),
            SimEvent::Members => self.set_members(),
            SimEvent::Tick => self.tick(),
            SimEvent::Crash(engine) => self.crash(engine),
            SimEvent::RouterDown(router) => self.nodes[router] = None,
            SimEvent::RouterUp(router) => self.start_router(router),
        }
    }

    pub(super) fn arrive(&mut self, request: usize) {
        let work = &self.requests[request];
        let wanted = usize::from(work.is_remote);
        let is_open = |router: &usize| {
            let node = &self.nodes[*router];
            node.as_ref().is_some_and(|node| node.is_ready)
        };
        let all: Vec<usize> = (0..self.vms.len()).filter(is_open).collect();
        let near = all.iter().filter(|&&router| region(self.router_zones[router]) == wanted);
        let mut open: Vec<usize> = near.copied().collect();
        if open.is_empty() {
            open = all;
        }
        if open.is_empty() {
            // No router is ready: the load balancer tries again.
            return self.push(self.now + 50_000, SimEvent::Arrive(request));
        }
        let router = open[(work.draw % open.len() as u64) as usize];
        self.states[request].router = router;
        self.route(request);
    }

    fn route(&mut self, request: usize) {
        let router = self.states[request].router;
        if self.policy == PolicyKind::Product {
            let chain = self.requests[request].chain.clone();
            let token = request as u64;
            return self.tell_part(router, ShardEvent::Lookup { token, chain });
        }
        let places = self.places(router);
        let now = self.clock();
        let work = &self.requests[request];
        let excluded = &self.states[request].excluded;
        let usable: Vec<TargetCandidate> =
            places.iter().filter(|place| !excluded.contains(&place.target)).copied().collect();
        let exact = self.policy.is_oracle().then(|| self.exact(request));
        let routers = self.vms.len();
        let Some(node) = &mut self.nodes[router] else { return self.arrive(request) };
        let target = match (self.policy, exact) {
            (_, Some((matches, reports, up))) => {
                node.set_exact(now, &reports);
                let usable: Vec<TargetCandidate> =
                    usable.into_iter().filter(|place| up[place.target.index()]).collect();
                node.choose(now, work, &usable, &matches, routers, &[])
            }
            (PolicyKind::LeastLoaded, _) => node.least_loaded(now, work, &usable, request),
            (PolicyKind::PrefixHash, _) => prefix_hash(work, &usable),
            _ => node.round_robin(&usable),
        };
        self.dispatch(request, target);
    }

    /// Returns what only an omniscient router knows: every cache, every queue and which workers are up.
    fn exact(&self, request: usize) -> (PrefixMatches, Vec<TargetReport>, Vec<bool>) {
        let mut matches = PrefixMatches::default();
        matches.reset(self.engines.len());
        let pieces = self.requests[request].chain.hashes();
        for (place, engine) in self.engines.iter().enumerate() {
            let depth = engine.depth_with_queue(pieces, &|other| facts(self.requests, other));
            matches.set(TargetId(place as u16), depth, depth);
        }
        let reports = self.engines.iter().map(|engine| engine.report(self.now)).collect();
        (matches, reports, self.down_until.iter().map(|&until| until <= self.now).collect())
    }

    pub(super) fn places(&self, router: usize) -> Vec<TargetCandidate> {
        let zone = self.router_zones[router];
        let place = |(engine, &other): (usize, &usize)| TargetCandidate {
            target: TargetId(engine as u16),
            distance: if other == zone {
                Distance::Zone
            } else if region(other) == region(zone) {
                Distance::Region
            } else {
                Distance::Remote
            },
        };
        self.engine_zones.iter().enumerate().map(place).collect()
    }

    pub(super) fn dispatch(&mut self, request: usize, target: Option<TargetId>) {
        let Some(target) = target else {
            // Every worker failed this request once: all are tried again a little later.
            self.states[request].excluded.clear();
            return self.push(self.now + 100_000, SimEvent::Arrive(request));
        };
        let engine = target.index();
        let router = self.states[request].router;
        let work = &self.requests[request];
        let zones = (self.router_zones[router], self.engine_zones[engine]);
        let distance = if zones.0 == zones.1 {
            0
        } else {
            1 + usize::from(region(zones.0) != region(zones.1))
        };
        let now = self.clock();
        if distance == 2 {
            self.result.link_bytes += work.bytes();
            if let Some(node) = &mut self.nodes[router] {
                node.link.take(now, work.bytes());
            }
        }
        let home = region(zones.0);
        let held = (0..self.engines.len()).filter(|&at| region(self.engine_zones[at]) == home);
        let pieces = work.chain.hashes();
        let best = held.map(|at| self.engines[at].depth(pieces)).max().unwrap_or(0);
        let transfer = if distance == 2 { work.bytes() / 3 } else { 0 };
        let network_us = self.firm.network_us[distance] + transfer;
        let state = &mut self.states[request];
        state.attempt += 1;
        state.best = best;
        state.network_us = network_us;
        let attempt = state.attempt;
        if self.policy.is_oracle() {
            // The oracle's own dispatches are visible at once; the way there is added to the first token.
            return self.reach_engine(engine, request, attempt);
        }
        self.push(self.now + network_us, SimEvent::AtEngine { engine, request, attempt });
    }

    fn reach_engine(&mut self, engine: usize, request: usize, attempt: u32) {
        if self.down_until[engine] > self.now {
            return self.push(self.now + 1_000, SimEvent::Failed { request, engine });
        }
        let requests = self.requests;
        self.engines[engine].arrive(request, attempt, &|other| facts(requests, other));
        self.start_engine(engine);
    }

    fn start_engine(&mut self, engine: usize) {
        let requests = self.requests;
        let incarnation = self.engines[engine].incarnation;
        if let Some(done) = self.engines[engine].start(self.now, &|other| facts(requests, other)) {
            self.push(done, SimEvent::Computed { engine, incarnation });
        }
    }

    fn computed(&mut self, engine: usize, incarnation: Incarnation) {
        let worker = &mut self.engines[engine];
        if worker.incarnation != incarnation {
            return;
        }
        let Some(request) = worker.current_request() else { return };
        let work = &self.requests[request];
        let Some((computed, answered)) =
            worker.finish_prompt(self.now, work.answer, work.chain.hashes())
        else {
            return;
        };
        let state = &self.states[request];
        if computed.attempt == state.attempt {
            let extra = if self.policy.is_oracle() { 2 } else { 1 };
            let wait = self.now + extra * state.network_us - work.at_us;
            let wasted = state.best.saturating_sub(computed.hit) as u64 * PIECE_TOKENS;
            self.result.note(request, wait, computed.hit, wasted);
        }
        self.push(answered, SimEvent::Answered { engine, incarnation, request });
        self.start_engine(engine);
    }

    fn answered(&mut self, engine: usize, incarnation: Incarnation, request: usize) {
        if self.engines[engine].incarnation == incarnation {
            self.engines[engine].finish_answer();
            self.start_engine(engine);
        }
        let now = self.clock();
        let span = ClockSpan::from_ms(1_000);
        if let Some(node) = &mut self.nodes[self.states[request].router] {
            node.load.record_end(now, TargetId(engine as u16), request as u64, span);
            node.health.record_success(now, TargetId(engine as u16));
        }
    }

    fn failed(&mut self, request: usize, engine: usize) {
        let now = self.clock();
        self.result.retries += 1;
        let state = &mut self.states[request];
        state.excluded.push(TargetId(engine as u16));
        if let Some(node) = &mut self.nodes[state.router] {
            node.health.record_failure(now, TargetId(engine as u16));
            return self.route(request);
        }
        self.arrive(request);
    }

    fn crash(&mut self, engine: usize) {
        self.down_until[engine] = self.now + DOWN_US;
        for job in self.engines[engine].crash() {
            let event = SimEvent::Failed { request: job.request, engine };
            self.push(self.now + 2_000, event);
        }
    }

    fn report(&mut self, engine: usize) {
        self.push(self.now + REPORT_US, SimEvent::Report(engine));
        let report = self.engines[engine].report(self.now);
        for router in 0..self.vms.len() {
            let at = self.now + 50_000 + self.random.below(200_000);
            self.push(at, SimEvent::Load { router, engine, taken: self.now, report });
        }
    }
}

fn facts(requests: &[WorkRequest], request: usize) -> (Vec<BlockHash>, u64) {
    let work = &requests[request];
    (work.chain.hashes().to_vec(), work.tail)
}
