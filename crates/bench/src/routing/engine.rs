//! A small fake of a model engine.
//!
//! Prompts are computed one after another; each then holds a slot while its answer is generated. Computed pieces
//! enter a small cache that evicts the least recently used one. Every change is an event with a number.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_balance::TargetReport;
use godwitroad_base::Incarnation;
use godwitroad_prefix::{BlockHash, CacheChange, FeedBatch};

use super::load::PIECE_TOKENS;

/// The prompt tokens that an engine computes per second.
pub(super) const PREFILL_RATE: f64 = 20_000.0;

/// The fixed cost of a step, in microseconds.
const STEP_US: u64 = 5_000;

/// The time per generated token, in microseconds.
const TOKEN_US: u64 = 20_000;

/// The events that an engine keeps for readers.
const EVENT_BUFFER: usize = 4_096;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineJob {
    pub(super) request: usize,
    pub(super) attempt: u32,
    /// The missing tokens as estimated from the cache and the queue at arrival.
    expected: u64,
}

#[derive(Clone, Debug)]
struct CachedPiece {
    stamp: u64,
    parent: Option<BlockHash>,
}

/// What an engine computed of one prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ComputedPrompt {
    pub(super) attempt: u32,
    pub(super) hit: usize,
}

#[derive(Clone, Debug)]
pub(super) struct FakeEngine {
    pub(super) incarnation: Incarnation,
    capacity: usize,
    slots: usize,
    cache: BTreeMap<BlockHash, CachedPiece>,
    order: BTreeMap<u64, BlockHash>,
    clock: u64,
    queue: VecDeque<EngineJob>,
    current: Option<(EngineJob, usize, u64)>,
    running: usize,
    events: VecDeque<CacheChange>,
    first_event: u64,
    published: u64,
}

impl FakeEngine {
    pub(super) fn new(capacity: usize, slots: usize) -> FakeEngine {
        FakeEngine {
            incarnation: Incarnation(1),
            capacity,
            slots,
            cache: BTreeMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            queue: VecDeque::new(),
            current: None,
            running: 0,
            events: VecDeque::new(),
            first_event: 0,
            published: 0,
        }
    }

    /// Takes a request.
    pub(super) fn arrive(
        &mut self,
        request: usize,
        attempt: u32,
        chains: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) {
        let (pieces, tail) = chains(request);
        let held = self.depth_with_queue(&pieces, chains);
        let expected = (pieces.len() - held) as u64 * PIECE_TOKENS + tail;
        self.queue.push_back(EngineJob { request, attempt, expected });
    }

    /// Starts the next prompt if it can, and returns the time at which it is computed.
    pub(super) fn start(
        &mut self,
        now_us: u64,
        chains: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) -> Option<u64> {
        if self.current.is_some() || self.running >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        let (pieces, tail) = chains(job.request);
        let hit = self.depth(&pieces);
        // The leaf is touched first, so that eviction takes leaves before their parents.
        for piece in pieces[..hit].iter().rev() {
            self.touch(*piece);
        }
        let missing = (pieces.len() - hit) as u64 * PIECE_TOKENS + tail;
        let done = now_us + STEP_US + (missing as f64 * 1e6 / PREFILL_RATE) as u64;
        self.running += 1;
        self.current = Some((job, hit, done));
        Some(done)
    }

    /// Ends the prompt that is computed, and returns it with the time at which its answer ends.
    pub(super) fn finish_prompt(
        &mut self,
        now_us: u64,
        answer_tokens: u64,
        pieces: &[BlockHash],
    ) -> Option<(ComputedPrompt, u64)> {
        let (job, hit, _) = self.current.take()?;
        for place in (hit..pieces.len()).rev() {
            let parent = place.checked_sub(1).map(|parent| pieces[parent]);
            self.insert(pieces[place], parent);
        }
        for piece in pieces[..hit].iter().rev() {
            self.touch(*piece);
        }
        self.shrink();
        let computed = ComputedPrompt { attempt: job.attempt, hit };
        Some((computed, now_us + answer_tokens * TOKEN_US))
    }

    /// The request that is computed now.
    pub(super) fn current_request(&self) -> Option<usize> {
        self.current.as_ref().map(|(job, _, _)| job.request)
    }

    pub(super) fn finish_answer(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Restarts the engine and returns the requests that were lost with it.
    pub(super) fn crash(&mut self) -> Vec<EngineJob> {
        self.incarnation.0 += 1;
        let current = self.current.take().map(|(job, _, _)| job);
        let lost = current.into_iter().chain(self.queue.drain(..)).collect();
        self.cache.clear();
        self.order.clear();
        self.events.clear();
        self.first_event = 0;
        self.published = 0;
        self.running = 0;
        lost
    }

    /// Returns the leading pieces that are cached.
    pub(super) fn depth(&self, pieces: &[BlockHash]) -> usize {
        pieces.iter().take_while(|piece| self.cache.contains_key(piece)).count()
    }

    /// Returns the leading pieces that will be cached once everything queued is computed.
    pub(super) fn depth_with_queue(
        &self,
        pieces: &[BlockHash],
        chains: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) -> usize {
        let current = self.current.iter().map(|(job, _, _)| job);
        let queued = current.chain(&self.queue).map(|job| {
            let (other, _) = chains(job.request);
            pieces.iter().zip(&other).take_while(|(mine, theirs)| mine == theirs).count()
        });
        queued.max().unwrap_or(0).max(self.depth(pieces))
    }

    /// Returns the prompt tokens that wait, including the rest of the prompt that is computed.
    pub(super) fn waiting_tokens(&self, now_us: u64) -> u64 {
        let current = self.current.as_ref().map_or(0, |(_, _, done)| {
            (done.saturating_sub(now_us) as f64 * PREFILL_RATE / 1e6) as u64
        });
        let step = (STEP_US as f64 * PREFILL_RATE / 1e6) as u64;
        current + self.queue.iter().map(|job| job.expected + step).sum::<u64>()
    }

    pub(super) fn report(&self, now_us: u64) -> TargetReport {
        TargetReport {
            running: self.running as u32,
            waiting: self.queue.len() as u32,
            waiting_tokens: self.waiting_tokens(now_us),
            ..Default::default()
        }
    }

    /// Returns the events since the last call.
    pub(super) fn publish(&mut self) -> Option<FeedBatch> {
        let end = self.first_event + self.events.len() as u64;
        let first = self.published.max(self.first_event);
        self.published = end;
        let changes: Vec<CacheChange> =
            self.events.iter().skip((first - self.first_event) as usize).copied().collect();
        (!changes.is_empty()).then_some(FeedBatch {
            incarnation: self.incarnation,
            first,
            snapshot: false,
            changes,
        })
    }

    /// Returns the whole cache.
    pub(super) fn snapshot(&self) -> FeedBatch {
        let changes = self
            .cache
            .iter()
            .map(|(&piece, cached)| CacheChange::Stored { block: piece, parent: cached.parent })
            .collect();
        let first = self.first_event + self.events.len() as u64;
        FeedBatch { incarnation: self.incarnation, first, snapshot: true, changes }
    }

    fn touch(&mut self, piece: BlockHash) {
        self.clock += 1;
        if let Some(cached) = self.cache.get_mut(&piece) {
            self.order.remove(&cached.stamp);
            cached.stamp = self.clock;
            self.order.insert(self.clock, piece);
        }
    }

    fn insert(&mut self, piece: BlockHash, parent: Option<BlockHash>) {
        if self.cache.contains_key(&piece) {
            return self.touch(piece);
        }
        self.clock += 1;
        self.cache.insert(piece, CachedPiece { stamp: self.clock, parent });
        self.order.insert(self.clock, piece);
        self.log(CacheChange::Stored { block: piece, parent });
    }

    fn shrink(&mut self) {
        while self.cache.len() > self.capacity {
            let Some((_, piece)) = self.order.pop_first() else { return };
            self.cache.remove(&piece);
            self.log(CacheChange::Evicted { block: piece });
        }
    }

    fn log(&mut self, change: CacheChange) {
        self.events.push_back(change);
        if self.events.len() > EVENT_BUFFER {
            self.events.pop_front();
            self.first_event += 1;
        }
    }
}
