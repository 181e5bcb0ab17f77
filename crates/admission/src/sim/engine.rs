//! A simulated model target: it reads prompts in chunks between the steps in which running requests emit a token.

use std::collections::VecDeque;

/// Prompt tokens that are read between two steps.
const CHUNK_TOKENS: f64 = 2_048.0;

/// The time of a step without requests, and for each request in it, in ms.
const STEP_MS: f64 = 4.9;
const STEP_REQUEST_MS: f64 = 0.017;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineJob {
    pub(super) request: usize,
    pub(super) priority: u8,
    pub(super) unread: f64,
    pub(super) output: u32,
    pub(super) memory: u64,
    /// Whether it has emitted a token.
    pub(super) has_emitted: bool,
}

/// What happened to a request in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EngineEvent {
    First(usize),
    End(usize),
}

/// A simulated target.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) read_per_ms: f64,
    pub(super) slots: usize,
    pub(super) memory: u64,
    pub(super) is_up: bool,
    // When the step in progress ends, and whether there is one.
    pub(super) next_ms: f64,
    pub(super) is_busy: bool,
    running: VecDeque<EngineJob>,
    waiting: VecDeque<EngineJob>,
}

impl Engine {
    pub(super) fn new(read_per_ms: f64, slots: usize, memory: u64) -> Engine {
        Engine {
            read_per_ms,
            slots,
            memory,
            is_up: true,
            next_ms: 0.0,
            is_busy: false,
            running: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the numbers of running and waiting requests, as targets report them.
    pub(super) fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    pub(super) fn unread_tokens(&self) -> f64 {
        self.running.iter().chain(&self.waiting).map(|job| job.unread).sum()
    }

    pub(super) fn memory_tokens(&self) -> u64 {
        self.running.iter().chain(&self.waiting).map(|job| job.memory).sum()
    }

    /// Adds a request; the more urgent of the waiting ones come first.
    pub(super) fn add(&mut self, now: f64, job: EngineJob) {
        let index = self.waiting.partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(index, job);
        if !self.is_busy {
            self.begin_step(now);
        }
    }

    /// Removes all requests, as the target is lost.
    pub(super) fn stop(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.is_busy = false;
        self.running.drain(..).chain(self.waiting.drain(..)).map(|job| job.request).collect()
    }

    /// Ends the step in progress and begins the next one.
    pub(super) fn end_step(&mut self, now: f64, events: &mut Vec<EngineEvent>) {
        for job in &mut self.running {
            if job.unread > 0.0 {
                continue;
            }
            if !std::mem::replace(&mut job.has_emitted, true) {
                events.push(EngineEvent::First(job.request));
            }
            job.output -= 1;
            if job.output == 0 {
                events.push(EngineEvent::End(job.request));
            }
        }
        self.running.retain(|job| job.output > 0);
        self.begin_step(now);
    }

    fn begin_step(&mut self, now: f64) {
        let mut used: u64 = self.running.iter().map(|job| job.memory).sum();
        while let Some(job) = self.waiting.front()
            && self.running.len() < self.slots
            && (used + job.memory <= self.memory || self.running.is_empty())
        {
            used += job.memory;
            self.running.extend(self.waiting.pop_front());
        }
        self.is_busy = !self.running.is_empty();
        let (mut room, mut decoding) = (CHUNK_TOKENS, 0);
        for job in &mut self.running {
            if job.unread <= 0.0 {
                decoding += 1;
            } else if room > 0.0 {
                let read = job.unread.min(room);
                job.unread -= read;
                room -= read;
            }
        }
        let read_ms = (CHUNK_TOKENS - room) / self.read_per_ms;
        let step_ms = STEP_MS + STEP_REQUEST_MS * f64::from(decoding);
        self.next_ms = now + read_ms + step_ms;
    }
}
