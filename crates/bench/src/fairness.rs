//! The `fairness` experiment: how the excess traffic of one account affects the other accounts.
//!
//! Five accounts send requests through several routers to a few workers. In the second run, one account sends five
//! times its usual rate. The product uses a fair queue in each router; the baseline uses a first-in, first-out queue.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use anyhow::Result;
use godwitroad_base::{AccountName, ClockSpan, ClockTime, RequestId, SeededRandom};
use godwitroad_queue::{
    FairQueue, FreeSlots, QueuePriority, QueueRefusal, QueueSettings, QueuedRequest, SlotSettings,
    SlotTable,
};

use crate::{report::BenchRow, routing::result::quantile};

const ROUTERS: usize = 4;
const WORKERS: usize = 4;
/// The number of requests that a worker runs at the same time.
const SLOTS: u32 = 24;
/// The time during which requests arrive.
const RUN_MS: u64 = 1_800_000;
/// The time before which arrivals are not measured.
const WARM_UP_MS: u64 = 60_000;

/// The index of the account that exceeds its rate in the second run.
const LARGE_ACCOUNT: usize = 1;

/// The factor by which the large account exceeds its rate.
const EXCESS_FACTOR: f64 = 5.0;

/// The time after its arrival within which a request must be dispatched.
const DEADLINE_MS: u64 = 10_000;

/// The traffic of the five accounts and the speed of the workers.
#[derive(Clone, Copy, Debug)]
struct TrafficProfile {
    name: &'static str,
    /// The requests per second of each account.
    rates: [f64; 5],
    weights: [u32; 5],
    /// The mean tokens of a request.
    tokens: u64,
    /// The time for which a slot is busy, in milliseconds per thousand tokens.
    ms_per_1000_tokens: u64,
}

const PROFILES: [TrafficProfile; 2] = [
    TrafficProfile {
        name: "hanbit",
        rates: [12.0, 9.0, 4.5, 3.0, 1.5],
        weights: [8, 6, 3, 2, 1],
        tokens: 3_000,
        ms_per_1000_tokens: 500,
    },
    TrafficProfile {
        name: "cascade",
        rates: [14.0, 12.0, 8.0, 4.0, 2.0],
        weights: [7, 6, 4, 2, 1],
        tokens: 2_000,
        ms_per_1000_tokens: 550,
    },
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueueKind {
    Product,
    Fifo,
}

#[derive(Clone, Debug)]
struct FairArrival {
    at: u64,
    account: usize,
    router: usize,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
enum FairEvent {
    Arrive(usize),
    Done { router: usize, worker: usize, request: usize },
    Tick,
}

#[derive(Debug)]
struct FairRouter {
    queue: FairQueue,
    fifo: VecDeque<QueuedRequest>,
    slots: SlotTable,
}

#[derive(Debug)]
struct FairSimulation<'a> {
    profile: &'a TrafficProfile,
    kind: QueueKind,
    names: Vec<AccountName>,
    arrivals: &'a [FairArrival],
    event_queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<FairEvent>,
    routers: Vec<FairRouter>,
    /// The number of running requests of each worker.
    busy: Vec<u32>,
    /// The requests that wait at each worker for a slot, with their routers.
    worker_queues: Vec<VecDeque<(usize, usize)>>,
    /// The dispatched requests by their index in `arrivals`.
    dispatched: BTreeMap<u64, QueuedRequest>,
    /// The times to first token of each account, in milliseconds.
    first_token_ms: Vec<Vec<u64>>,
    refused: Vec<u64>,
    now: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; all experiments share this signature.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for profile in &PROFILES {
        for (kind, policy) in [(QueueKind::Product, "product"), (QueueKind::Fifo, "fifo")] {
            let usual = simulate(profile, kind, &arrivals(profile, seed, 1.0));
            let excess = simulate(profile, kind, &arrivals(profile, seed, EXCESS_FACTOR));
            push_rows(profile, policy, &usual, &excess, &mut rows);
        }
    }
    Ok(rows)
}

fn push_rows(
    profile: &TrafficProfile,
    policy: &str,
    usual: &(Vec<Vec<u64>>, Vec<u64>),
    excess: &(Vec<Vec<u64>>, Vec<u64>),
    rows: &mut Vec<BenchRow>,
) {
    let usual_name = format!("{}/usual", profile.name);
    let excess_name = format!("{}/one account at 5x", profile.name);
    for (name, run) in [(&usual_name, usual), (&excess_name, excess)] {
        let worst = "p99 of the worst-served other account";
        rows.push(BenchRow::new(name, policy, worst, "ms", worst_p99(&run.0)));
        let large_p99 = quantile(&sorted_micros(&run.0[LARGE_ACCOUNT]), 0.99);
        rows.push(BenchRow::new(name, policy, "p99 of the large account", "ms", large_p99));
        let others = (0..5).filter(|&account| account != LARGE_ACCOUNT);
        let refused: u64 = others.map(|account| run.1[account]).sum();
        rows.push(BenchRow::new(name, policy, "refused, others", "requests", refused as f64));
        let refused = run.1[LARGE_ACCOUNT] as f64;
        rows.push(BenchRow::new(name, policy, "refused, large account", "requests", refused));
    }
    let ratio = worst_p99(&excess.0) / worst_p99(&usual.0);
    let row = BenchRow::new(excess_name, policy, "p99 relative to the usual run", "ratio", ratio);
    rows.push(if policy == "product" { row.at_most(1.1) } else { row });
}

fn sorted_micros(first_token_ms: &[u64]) -> Vec<u64> {
    let mut sorted: Vec<u64> = first_token_ms.iter().map(|ms| ms * 1_000).collect();
    sorted.sort_unstable();
    sorted
}

fn worst_p99(first_token_ms: &[Vec<u64>]) -> f64 {
    let others = first_token_ms.iter().enumerate().filter(|(account, _)| *account != LARGE_ACCOUNT);
    others
        .map(|(_, first_token_ms)| quantile(&sorted_micros(first_token_ms), 0.99))
        .fold(0.0, f64::max)
}

fn arrivals(profile: &TrafficProfile, seed: u64, excess: f64) -> Vec<FairArrival> {
    let mut all = Vec::new();
    for (account, rate) in profile.rates.iter().enumerate() {
        // Each account has its own random sequence, so that the other accounts send the same requests in both runs.
        let mut random = SeededRandom::new(seed.wrapping_mul(31).wrapping_add(account as u64));
        let rate = if account == LARGE_ACCOUNT { rate * excess } else { *rate };
        let mut at = 0.0;
        while at < RUN_MS as f64 {
            at += -(1.0 - random.fraction()).ln() / rate * 1e3;
            let tokens = profile.tokens / 2 + random.below(profile.tokens);
            let router = random.below(ROUTERS as u64) as usize;
            all.push(FairArrival { at: at as u64, account, router, tokens });
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.account));
    all
}

fn simulate(
    profile: &TrafficProfile,
    kind: QueueKind,
    arrivals: &[FairArrival],
) -> (Vec<Vec<u64>>, Vec<u64>) {
    let names: Vec<AccountName> =
        (0..5).map(|account| format!("account-{account}").into()).collect();
    let router = || {
        let mut queue = FairQueue::new(QueueSettings::default());
        for (name, weight) in names.iter().zip(profile.weights) {
            queue.set_weight(name, weight);
        }
        let mut slots = SlotTable::new(SlotSettings { overlap: 1.0, ..Default::default() });
        slots.set_routers(ROUTERS);
        (0..WORKERS).for_each(|worker| slots.set_slots(worker, SLOTS));
        FairRouter { queue, fifo: VecDeque::new(), slots }
    };
    let mut simulation = FairSimulation {
        profile,
        kind,
        arrivals,
        event_queue: BinaryHeap::new(),
        events: Vec::new(),
        routers: (0..ROUTERS).map(|_| router()).collect(),
        busy: vec![0; WORKERS],
        worker_queues: vec![VecDeque::new(); WORKERS],
        dispatched: BTreeMap::new(),
        first_token_ms: vec![Vec::new(); 5],
        refused: vec![0; 5],
        now: 0,
        names,
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        simulation.push(arrival.at, FairEvent::Arrive(index));
    }
    simulation.push(0, FairEvent::Tick);
    simulation.run();
    (simulation.first_token_ms, simulation.refused)
}

impl FairSimulation<'_> {
    fn push(&mut self, at: u64, event: FairEvent) {
        self.event_queue.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, index))) = self.event_queue.pop() {
            if at > RUN_MS + 2 * DEADLINE_MS {
                break;
            }
            self.now = at;
            match self.events[index] {
                FairEvent::Arrive(request) => self.handle_arrival(request),
                FairEvent::Done { router, worker, request } => self.finish(router, worker, request),
                FairEvent::Tick => self.tick(),
            }
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let now = ClockTime::from_ms(self.now);
        let request = QueuedRequest {
            id: RequestId { node: 0, serial: index as u64 },
            account: self.names[arrival.account].clone(),
            priority: QueuePriority::Interactive,
            tokens: arrival.tokens,
            deadline: now + ClockSpan::from_ms(DEADLINE_MS),
        };
        let (router, account) = (arrival.router, arrival.account);
        match self.kind {
            QueueKind::Product => {
                if self.routers[router].queue.push(now, request).is_err() {
                    self.refused[account] += 1;
                }
            }
            QueueKind::Fifo => self.routers[router].fifo.push_back(request),
        }
        self.dispatch(router);
    }

    fn dispatch(&mut self, router: usize) {
        let now = ClockTime::from_ms(self.now);
        loop {
            let state = &mut self.routers[router];
            let (free, total) = state.slots.totals(|_| true);
            if free == 0 {
                return;
            }
            let next = match self.kind {
                QueueKind::Product => state.queue.pop(now, FreeSlots { free, total }),
                QueueKind::Fifo => state.fifo.pop_front(),
            };
            let Some(request) = next else { return };
            let index = request.id.serial as usize;
            let account = self.arrivals[index].account;
            if self.kind == QueueKind::Fifo && request.deadline < now {
                self.refused[account] += 1;
                continue;
            }
            let freest_worker =
                (0..WORKERS).max_by_key(|&worker| (state.slots.free(worker), worker));
            let worker = freest_worker.unwrap_or(0);
            state.slots.take(worker);
            if self.arrivals[index].at >= WARM_UP_MS {
                // The time to first token adds the prompt's processing time, a tenth of the service time.
                let prompt = request.tokens * self.profile.ms_per_1000_tokens / 10_000;
                self.first_token_ms[account].push(self.now - self.arrivals[index].at + prompt);
            }
            self.dispatched.insert(request.id.serial, request);
            self.start(router, worker, index);
        }
    }

    fn start(&mut self, router: usize, worker: usize, request: usize) {
        if self.busy[worker] >= SLOTS {
            return self.worker_queues[worker].push_back((router, request));
        }
        self.busy[worker] += 1;
        let service_ms = self.arrivals[request].tokens * self.profile.ms_per_1000_tokens / 1_000;
        self.push(self.now + service_ms, FairEvent::Done { router, worker, request });
    }

    fn finish(&mut self, router: usize, worker: usize, request: usize) {
        self.busy[worker] -= 1;
        if let Some((router, request)) = self.worker_queues[worker].pop_front() {
            self.start(router, worker, request);
        }
        let state = &mut self.routers[router];
        state.slots.release(worker);
        if let Some(taken) = self.dispatched.remove(&(request as u64))
            && self.kind == QueueKind::Product
        {
            state.queue.finish(&taken, taken.tokens);
        }
        self.dispatch(router);
    }

    fn tick(&mut self) {
        let now = ClockTime::from_ms(self.now);
        self.push(self.now + 50, FairEvent::Tick);
        for router in 0..ROUTERS {
            let mut refusals: Vec<QueueRefusal> = Vec::new();
            self.routers[router].queue.tick(now, &mut refusals);
            for refusal in refusals {
                let account = self.arrivals[refusal.id.serial as usize].account;
                self.refused[account] += 1;
            }
            self.dispatch(router);
        }
    }
}
