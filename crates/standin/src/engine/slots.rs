//! The slots of an engine and the queue in front of them.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_router::LoadReport;
use tokio::sync::oneshot;

/// The samples kept for lagging reports; older ones can't be asked for with the lags in use.
const SAMPLE_LIMIT: usize = 10_000;

/// The position of a request in the queue: lower priorities first, then in the order of arrival.
pub(crate) type QueuePlace = (u32, u64);

/// Slots, queue and load samples of an engine.
#[derive(Debug)]
pub(crate) struct SlotTable {
    slots: usize,
    running: usize,
    waiting: BTreeMap<QueuePlace, (u64, oneshot::Sender<()>)>,
    arrivals: u64,
    samples: std::collections::VecDeque<(ClockTime, LoadReport)>,
}

impl SlotTable {
    pub(crate) fn new(slots: usize) -> SlotTable {
        let samples = std::collections::VecDeque::new();
        SlotTable { slots, running: 0, waiting: BTreeMap::new(), arrivals: 0, samples }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Queues a request of `tokens` prompt tokens and returns its place and the signal that it has a slot.
    pub(crate) fn join(
        &mut self,
        now: ClockTime,
        priority: u32,
        tokens: u64,
    ) -> (QueuePlace, oneshot::Receiver<()>) {
        self.arrivals += 1;
        let place = (priority, self.arrivals);
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(place, (tokens, sender));
        self.fill(now);
        (place, receiver)
    }

    /// Takes a request out, whether it waits or runs.
    pub(crate) fn leave(&mut self, now: ClockTime, place: QueuePlace) {
        if self.waiting.remove(&place).is_none() {
            self.running = self.running.saturating_sub(1);
        }
        self.fill(now);
    }

    /// Returns the load as it was `lag` ago.
    pub(crate) fn report(&self, now: ClockTime, lag: ClockSpan, incarnation: u64) -> LoadReport {
        let reported = now - lag;
        let sample = self.samples.iter().rev().find(|(taken, _)| *taken <= reported);
        let report = sample.map_or(LoadReport::default(), |(_, report)| *report);
        LoadReport { incarnation, age_ms: lag.as_ms(), ..report }
    }

    fn fill(&mut self, now: ClockTime) {
        while self.running < self.slots
            && let Some((_, (_, sender))) = self.waiting.pop_first()
        {
            // A closed receiver belongs to a request whose guard is about to call `leave`, which frees the slot.
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
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
    }
}
