//! The slots of an engine and the queue of requests that wait for one.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_router::LoadReport;
use tokio::sync::oneshot;

/// The number of load samples that are kept for delayed load reports; no delay in use needs older ones.
const MAX_LOAD_SAMPLES: usize = 10_000;

/// The position of a request in the queue: its priority, where lower numbers run first, and its arrival number.
pub(crate) type QueuePosition = (u32, u64);

/// The slots, the queue and the load samples of an engine.
#[derive(Debug)]
pub(crate) struct SlotTable {
    slots: usize,
    running: usize,
    waiting: BTreeMap<QueuePosition, (u64, oneshot::Sender<()>)>,
    arrivals: u64,
    samples: std::collections::VecDeque<(ClockTime, LoadReport)>,
}

impl SlotTable {
    pub(crate) fn new(slots: usize) -> SlotTable {
        let samples = std::collections::VecDeque::new();
        SlotTable { slots, running: 0, waiting: BTreeMap::new(), arrivals: 0, samples }
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that occupy a slot.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Queues a request with `tokens` prompt tokens. Returns its position and a receiver that is signaled when it gets a
    /// slot.
    pub(crate) fn enqueue(
        &mut self,
        now: ClockTime,
        priority: u32,
        tokens: u64,
    ) -> (QueuePosition, oneshot::Receiver<()>) {
        self.arrivals += 1;
        let position = (priority, self.arrivals);
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(position, (tokens, sender));
        self.start_waiting(now);
        (position, receiver)
    }

    /// Removes a request from the queue or frees its slot.
    pub(crate) fn release(&mut self, now: ClockTime, position: QueuePosition) {
        if self.waiting.remove(&position).is_none() {
            self.running = self.running.saturating_sub(1);
        }
        self.start_waiting(now);
    }

    /// Returns the load report as of `lag` before `now`.
    pub(crate) fn report(&self, now: ClockTime, lag: ClockSpan, incarnation: u64) -> LoadReport {
        let reported = now - lag;
        let sample = self.samples.iter().rev().find(|(taken, _)| *taken <= reported);
        let report = sample.map_or(LoadReport::default(), |(_, report)| report.clone());
        LoadReport { incarnation, age_ms: lag.as_ms(), ..report }
    }

    fn start_waiting(&mut self, now: ClockTime) {
        while self.running < self.slots
            && let Some((_, (_, sender))) = self.waiting.pop_first()
        {
            // If the receiver is closed, the request's guard is about to call `release`, which frees the slot.
            let _ = sender.send(());
            self.running += 1;
        }
        let report = LoadReport {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            waiting_tokens: self.waiting.values().map(|(tokens, _)| tokens).sum(),
            ..LoadReport::default()
        };
        self.samples.push_back((now, report));
        if self.samples.len() > MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
    }
}
