//! Compares the estimates with a small model of engines: batched decoding, prompts in chunks, different and changing
//! speeds, and a target that is silent for two seconds.

use std::collections::VecDeque;

use godwitroad_base::{ClockTime, SeededRandom, TargetName};
use godwitroad_cost::{CostModel, CostSettings, EngineSize, RequestSize, SentRequest, TargetWork};

const SLOTS: usize = 24;
const MEMORY: u64 = 90_000;
const CHUNK: u64 = 2_048;
const SECONDS: u64 = 24;

struct Job {
    sent: SentRequest,
    sent_at: f64,
    size: EngineSize,
    unread: u64,
    left: u64,
    has_begun: bool,
}

struct Engine {
    name: TargetName,
    speed: f64,
    pace: f64,
    busy_until: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    pending_prefill: u64,
}

impl Engine {
    fn memory(&self) -> u64 {
        self.running.iter().map(|job| job.size.input + job.size.output).sum()
    }

    fn work(&self) -> TargetWork {
        let waiting: u64 = self.waiting.iter().map(|job| job.size.input + job.size.output).sum();
        TargetWork {
            requests: (self.waiting.len() + self.running.len()) as u64,
            memory: self.memory() + waiting,
            pending_prefill: self.pending_prefill,
            slots: SLOTS as u32,
            memory_tokens: MEMORY,
            stride: 8,
        }
    }

    // Processes a chunk of a prompt and a token of each other request; returns the jobs whose first event has come.
    fn step(&mut self, model: &mut CostModel, pairs: &mut Vec<(f64, f64, f64)>) {
        while let Some(job) = self.waiting.front()
            && self.running.len() < SLOTS
            && self.memory() + job.size.input + job.size.output <= MEMORY
        {
            self.running.extend(self.waiting.pop_front());
        }
        let reading = self.running.iter_mut().find(|job| job.unread > 0);
        let chunk = reading.map_or(0, |job| {
            let chunk = job.unread.min(CHUNK);
            job.unread -= chunk;
            chunk
        });
        let step = 4.9 + 0.017 * self.running.len() as f64 + chunk as f64 / 43.0;
        self.busy_until += step * self.speed * self.pace;
        let now = ClockTime::from_ms(self.busy_until as u64);
        for job in self.running.iter_mut().filter(|job| job.unread == 0) {
            job.left = job.left.saturating_sub(1);
            if !std::mem::replace(&mut job.has_begun, true) {
                self.pending_prefill -= job.size.prefill;
                model.record_report(now, &self.name, self.pace);
                model.record_first_event(now, &self.name, &job.sent);
                let actual = self.busy_until - job.sent_at;
                pairs.push((job.sent_at, job.sent.estimate.first_ms, actual));
            }
        }
        self.running.retain(|job| job.left > 0);
    }
}

fn play(seed: u64) -> Vec<(f64, f64, f64)> {
    let mut random = SeededRandom::new(seed);
    let mut model = CostModel::new(CostSettings::default(), seed);
    let mut engines: Vec<Engine> = (0..6)
        .map(|number| Engine {
            name: format!("t-{number}").into(),
            speed: 0.8 + 0.24 * f64::from(number),
            pace: 1.0,
            busy_until: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            pending_prefill: 0,
        })
        .collect();
    let mut pairs = Vec::new();
    for ms in 0..SECONDS * 1_000 {
        for engine in &mut engines {
            if ms % 100 == 0 {
                engine.pace = 0.7 + 1.1 * random.fraction();
            }
            if ms == 10_000 && engine.name.as_str() == "t-2" {
                engine.busy_until = 12_000.0;
            }
            if engine.running.is_empty() && engine.waiting.is_empty() {
                engine.busy_until = engine.busy_until.max(ms as f64);
            }
            while engine.busy_until < ms as f64 {
                engine.step(&mut model, &mut pairs);
            }
        }
        // Capacity is short in three of six seconds.
        let rate = if ms / 3_000 % 2 == 1 { 0.075 } else { 0.030 };
        if random.chance(rate) {
            place(ms, &mut engines, &mut model, &mut random);
        }
    }
    pairs
}

fn place(ms: u64, engines: &mut [Engine], model: &mut CostModel, random: &mut SeededRandom) {
    let prefill = 200 + (3_000.0 * -(1.0 - random.fraction()).ln()) as u64;
    let size = EngineSize { input: prefill + 500, prefill, output: 20 + random.below(80) };
    let request = RequestSize { engine: Some(size), is_streaming: true };
    let now = ClockTime::from_ms(ms);
    let estimates =
        engines.iter().map(|engine| model.estimate(now, &engine.name, &engine.work(), &request));
    let best = estimates
        .enumerate()
        .min_by(|(_, left), (_, right)| left.first_ms.total_cmp(&right.first_ms));
    let Some((index, estimate)) = best.filter(|(_, best)| best.first_ms <= 1_600.0) else { return };
    let engine = &mut engines[index];
    let sent = model.record_waiting(now, &engine.name, estimate);
    engine.pending_prefill += prefill;
    let (unread, left) = (prefill, size.output);
    engine.waiting.push_back(Job {
        sent,
        sent_at: ms as f64,
        size,
        unread,
        left,
        has_begun: false,
    });
}

fn correlation(pairs: &[(f64, f64)]) -> f64 {
    let count = pairs.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| pairs.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|pair| pair.0), mean(|pair| pair.1));
    let sum = |term: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(term).sum::<f64>();
    let xy = sum(&|pair| (pair.0 - x) * (pair.1 - y));
    xy / (sum(&|pair| (pair.0 - x).powi(2)) * sum(&|pair| (pair.1 - y).powi(2))).sqrt()
}

// Guards against estimates that say little of the actual times when capacity is short.
#[test]
fn estimates_follow_the_actual_times_when_capacity_is_short() {
    for seed in 0..10 {
        let pairs = play(seed);
        let is_short = |sent_at: f64| (sent_at as u64) / 3_000 % 2 == 1;
        let short: Vec<(f64, f64)> = pairs
            .iter()
            .filter(|(sent_at, ..)| is_short(*sent_at))
            .map(|(_, estimate, actual)| (*estimate, *actual))
            .collect();
        let mut ratios: Vec<f64> =
            short.iter().map(|(estimate, actual)| actual / estimate).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        let mut actuals: Vec<f64> = short.iter().map(|pair| pair.1).collect();
        actuals.sort_by(f64::total_cmp);
        let correlation = correlation(&short);
        println!(
            "seed {seed}: {} requests, median actual {:.0} ms, ratio {median:.2}, correlation {correlation:.2}",
            short.len(),
            actuals[actuals.len() / 2],
        );
        assert!((1.0 / 1.5..1.5).contains(&median), "seed {seed}: {median}");
        assert!(correlation >= 0.7, "seed {seed}: {correlation}");
    }
}
