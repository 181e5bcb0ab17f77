//! The `fairness` experiment: what one account's excess does to the others.
//!
//! Five accounts send requests through several routers to a few workers. In the second run one account sends five
//! times its rate. The product queues fairly in each router; the baseline takes requests in the order of arrival.

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
const SLOTS: u32 = 24;
const RUN_MS: u64 = 1_800_000;
const WARM_MS: u64 = 60_000;

/// The account that sends five times its rate, and the factor.
const GREEDY: usize = 1;
const EXCESS: f64 = 5.0;

/// The time within which a request must be taken.
const DEADLINE_MS: u64 = 10_000;

/// A firm's traffic: requests per second per account, weights, and the tokens per request.
#[derive(Clone, Copy, Debug)]
struct FairShape {
    name: &'static str,
    rates: [f64; 5],
    weights: [u32; 5],
    tokens: u64,
    /// The milliseconds that a slot is busy per thousand tokens.
    ms_per_1000: u64,
}

const SHAPES: [FairShape; 2] = [
    FairShape {
        name: "hanbit",
        rates: [12.0, 9.0, 4.5, 3.0, 1.5],
        weights: [8, 6, 3, 2, 1],
        tokens: 3_000,
        ms_per_1000: 500,
    },
    FairShape {
        name: "cascade",
        rates: [14.0, 12.0, 8.0, 4.0, 2.0],
        weights: [7, 6, 4, 2, 1],
        tokens: 2_000,
        ms_per_1000: 550,
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
struct FairWorld<'a> {
    shape: &'a FairShape,
    kind: QueueKind,
    names: Vec<AccountName>,
    arrivals: &'a [FairArrival],
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<FairEvent>,
    routers: Vec<FairRouter>,
    /// The requests that run or wait at each worker.
    busy: Vec<u32>,
    lines: Vec<VecDeque<(usize, usize)>>,
    taken: BTreeMap<u64, QueuedRequest>,
    waits: Vec<Vec<u64>>,
    refused: Vec<u64>,
    now: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; the signature is that of all experiments.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for shape in &SHAPES {
        for (kind, policy) in [(QueueKind::Product, "product"), (QueueKind::Fifo, "fifo")] {
            let usual = simulate(shape, kind, &arrivals(shape, seed, 1.0));
            let excess = simulate(shape, kind, &arrivals(shape, seed, EXCESS));
            push_rows(shape, policy, &usual, &excess, &mut rows);
        }
    }
    Ok(rows)
}

fn push_rows(
    shape: &FairShape,
    policy: &str,
    usual: &(Vec<Vec<u64>>, Vec<u64>),
    excess: &(Vec<Vec<u64>>, Vec<u64>),
    rows: &mut Vec<BenchRow>,
) {
    let usual_name = format!("{}/usual", shape.name);
    let excess_name = format!("{}/one account at 5x", shape.name);
    for (name, run) in [(&usual_name, usual), (&excess_name, excess)] {
        let worst = "p99 of the worst-served other account";
        rows.push(BenchRow::new(name, policy, worst, "ms", worst_p99(&run.0)));
        let greedy = quantile(&sorted_us(&run.0[GREEDY]), 0.99);
        rows.push(BenchRow::new(name, policy, "p99 of the large account", "ms", greedy));
        let others = (0..5).filter(|&account| account != GREEDY);
        let refused: u64 = others.map(|account| run.1[account]).sum();
        rows.push(BenchRow::new(name, policy, "refused, others", "requests", refused as f64));
        let refused = run.1[GREEDY] as f64;
        rows.push(BenchRow::new(name, policy, "refused, large account", "requests", refused));
    }
    let ratio = worst_p99(&excess.0) / worst_p99(&usual.0);
    let row = BenchRow::new(excess_name, policy, "p99 relative to the usual run", "ratio", ratio);
    rows.push(if policy == "product" { row.at_most(1.1) } else { row });
}

fn sorted_us(waits: &[u64]) -> Vec<u64> {
    let mut sorted: Vec<u64> = waits.iter().map(|wait| wait * 1_000).collect();
    sorted.sort_unstable();
    sorted
}

fn worst_p99(waits: &[Vec<u64>]) -> f64 {
    let others = waits.iter().enumerate().filter(|(account, _)| *account != GREEDY);
    others.map(|(_, waits)| quantile(&sorted_us(waits), 0.99)).fold(0.0, f64::max)
}

fn arrivals(shape: &FairShape, seed: u64, excess: f64) -> Vec<FairArrival> {
    let mut all = Vec::new();
    for (account, rate) in shape.rates.iter().enumerate() {
        // Each account has its own sequence, so that the others send the same in both runs.
        let mut random = SeededRandom::new(seed.wrapping_mul(31).wrapping_add(account as u64));
        let rate = if account == GREEDY { rate * excess } else { *rate };
        let mut at = 0.0;
        while at < RUN_MS as f64 {
            at += -(1.0 - random.fraction()).ln() / rate * 1e3;
            let tokens = shape.tokens / 2 + random.below(shape.tokens);
            let router = random.below(ROUTERS as u64) as usize;
            all.push(FairArrival { at: at as u64, account, router, tokens });
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.account));
    all
}

fn simulate(
    shape: &FairShape,
    kind: QueueKind,
    arrivals: &[FairArrival],
) -> (Vec<Vec<u64>>, Vec<u64>) {
    let names: Vec<AccountName> =
        (0..5).map(|account| format!("account-{account}").into()).collect();
    let router = || {
        let mut queue = FairQueue::new(QueueSettings::default());
        for (name, weight) in names.iter().zip(shape.weights) {
            queue.set_weight(name, weight);
        }
        let mut slots = SlotTable::new(SlotSettings { overlap: 1.0, ..Default::default() });
        slots.set_routers(ROUTERS);
        (0..WORKERS).for_each(|worker| slots.set_slots(worker, SLOTS));
        FairRouter { queue, fifo: VecDeque::new(), slots }
    };
    let mut world = FairWorld {
        shape,
        kind,
        arrivals,
        heap: BinaryHeap::new(),
        events: Vec::new(),
        routers: (0..ROUTERS).map(|_| router()).collect(),
        busy: vec![0; WORKERS],
        lines: vec![VecDeque::new(); WORKERS],
        taken: BTreeMap::new(),
        waits: vec![Vec::new(); 5],
        refused: vec![0; 5],
        now: 0,
        names,
    };
    for (place, arrival) in arrivals.iter().enumerate() {
        world.push(arrival.at, FairEvent::Arrive(place));
    }
    world.push(0, FairEvent::Tick);
    world.run();
    (world.waits, world.refused)
}

impl FairWorld<'_> {
    fn push(&mut self, at: u64, event: FairEvent) {
        self.heap.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, place))) = self.heap.pop() {
            if at > RUN_MS + 2 * DEADLINE_MS {
                break;
            }
            self.now = at;
            match self.events[place] {
                FairEvent::Arrive(request) => self.arrive(request),
                FairEvent::Done { router, worker, request } => self.done(router, worker, request),
                FairEvent::Tick => self.tick(),
            }
        }
    }

    fn arrive(&mut self, place: usize) {
        let arrival = &self.arrivals[place];
        let now = ClockTime::from_ms(self.now);
        let request = QueuedRequest {
            id: RequestId { node: 0, serial: place as u64 },
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
        self.serve(router);
    }

    fn serve(&mut self, router: usize) {
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
            let place = request.id.serial as usize;
            let account = self.arrivals[place].account;
            if self.kind == QueueKind::Fifo && request.deadline < now {
                self.refused[account] += 1;
                continue;
            }
            let freest = (0..WORKERS).max_by_key(|&worker| (state.slots.free(worker), worker));
            let worker = freest.unwrap_or(0);
            state.slots.take(worker);
            if self.arrivals[place].at >= WARM_MS {
                // The first token follows the wait by the prompt's own time.
                let prompt = request.tokens * self.shape.ms_per_1000 / 10_000;
                self.waits[account].push(self.now - self.arrivals[place].at + prompt);
            }
            self.taken.insert(request.id.serial, request);
            self.start(router, worker, place);
        }
    }

    fn start(&mut self, router: usize, worker: usize, request: usize) {
        if self.busy[worker] >= SLOTS {
            return self.lines[worker].push_back((router, request));
        }
        self.busy[worker] += 1;
        let span = self.arrivals[request].tokens * self.shape.ms_per_1000 / 1_000;
        self.push(self.now + span, FairEvent::Done { router, worker, request });
    }

    fn done(&mut self, router: usize, worker: usize, request: usize) {
        self.busy[worker] -= 1;
        if let Some((router, request)) = self.lines[worker].pop_front() {
            self.start(router, worker, request);
        }
        let state = &mut self.routers[router];
        state.slots.release(worker);
        if let Some(taken) = self.taken.remove(&(request as u64))
            && self.kind == QueueKind::Product
        {
            state.queue.finish(&taken, taken.tokens);
        }
        self.serve(router);
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
            self.serve(router);
        }
    }
}
