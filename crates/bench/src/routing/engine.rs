//! A simulated model engine.
//!
//! Prompts are computed one at a time; each request then occupies a slot while its answer is generated. Computed
//! blocks enter a cache with a fixed capacity, which evicts the least recently used block. Every change of the cache
//! is an event with a sequence number.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_balance::TargetReport;
use godwitroad_base::Incarnation;
use godwitroad_prefix::{BlockHash, CacheChange, FeedBatch};

use super::load::BLOCK_TOKENS;

/// The speed at which an engine computes prompts, in tokens per second.
pub(super) const PREFILL_RATE: f64 = 20_000.0;

/// The fixed time added to the computation of every prompt, in microseconds.
const STEP_US: u64 = 5_000;

/// The time per generated token, in microseconds.
const TOKEN_US: u64 = 20_000;

/// The number of recent cache events that an engine retains for readers.
const EVENT_BUFFER: usize = 4_096;

/// A request that is queued or computed at an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineJob {
    pub(super) request: usize,
    pub(super) attempt: u32,
    /// The prompt tokens to compute, estimated from the cache and the queue when the request arrived.
    expected_tokens: u64,
}

#[derive(Clone, Debug)]
struct CachedBlock {
    /// The engine's `use_counter` at the last use of the block.
    last_use: u64,
    parent: Option<BlockHash>,
}

/// The result of the computation of one prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ComputedPrompt {
    pub(super) attempt: u32,
    /// The leading blocks that were cached when the computation began.
    pub(super) hit_blocks: usize,
}

/// An engine with its queue, its slots and its cache.
#[derive(Clone, Debug)]
pub(super) struct SimEngine {
    pub(super) incarnation: Incarnation,
    capacity_blocks: usize,
    slots: usize,
    cache: BTreeMap<BlockHash, CachedBlock>,
    /// The cached blocks by their last use; the first one is evicted next.
    eviction_order: BTreeMap<u64, BlockHash>,
    /// Increases with every use of a block.
    use_counter: u64,
    queue: VecDeque<EngineJob>,
    /// The request whose prompt is computed, its cached leading blocks, and the time of completion in microseconds.
    current: Option<(EngineJob, usize, u64)>,
    /// The occupied slots.
    running: usize,
    /// The last cache events, at most [`EVENT_BUFFER`].
    events: VecDeque<CacheChange>,
    /// The sequence number of the first event in `events`.
    first_event: u64,
    /// The sequence number of the first event that hasn't been published.
    published: u64,
}

impl SimEngine {
    pub(super) fn new(capacity_blocks: usize, slots: usize) -> SimEngine {
        SimEngine {
            incarnation: Incarnation(1),
            capacity_blocks,
            slots,
            cache: BTreeMap::new(),
            eviction_order: BTreeMap::new(),
            use_counter: 0,
            queue: VecDeque::new(),
            current: None,
            running: 0,
            events: VecDeque::new(),
            first_event: 0,
            published: 0,
        }
    }

    /// Adds a request to the queue; `prompt_of` returns the blocks and the tail tokens of a request.
    pub(super) fn enqueue(
        &mut self,
        request: usize,
        attempt: u32,
        prompt_of: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) {
        let (blocks, tail_tokens) = prompt_of(request);
        let cached = self.cached_prefix_with_queue(&blocks, prompt_of);
        let expected_tokens = (blocks.len() - cached) as u64 * BLOCK_TOKENS + tail_tokens;
        self.queue.push_back(EngineJob { request, attempt, expected_tokens });
    }

    /// Starts the next prompt if the engine is free, and returns the time in microseconds at which it completes.
    pub(super) fn start(
        &mut self,
        now_us: u64,
        prompt_of: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) -> Option<u64> {
        if self.current.is_some() || self.running >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        let (blocks, tail_tokens) = prompt_of(job.request);
        let hit_blocks = self.cached_prefix(&blocks);
        // The last block is touched first, so that blocks are evicted before their parents.
        for block in blocks[..hit_blocks].iter().rev() {
            self.touch(*block);
        }
        let missing_tokens = (blocks.len() - hit_blocks) as u64 * BLOCK_TOKENS + tail_tokens;
        let done_us = now_us + STEP_US + (missing_tokens as f64 * 1e6 / PREFILL_RATE) as u64;
        self.running += 1;
        self.current = Some((job, hit_blocks, done_us));
        Some(done_us)
    }

    /// Completes the current prompt, and returns its result with the time at which its answer ends.
    pub(super) fn finish_prompt(
        &mut self,
        now_us: u64,
        answer_tokens: u64,
        blocks: &[BlockHash],
    ) -> Option<(ComputedPrompt, u64)> {
        let (job, hit_blocks, _) = self.current.take()?;
        for position in (hit_blocks..blocks.len()).rev() {
            let parent = position.checked_sub(1).map(|parent| blocks[parent]);
            self.insert(blocks[position], parent);
        }
        for block in blocks[..hit_blocks].iter().rev() {
            self.touch(*block);
        }
        self.evict_excess();
        let computed = ComputedPrompt { attempt: job.attempt, hit_blocks };
        Some((computed, now_us + answer_tokens * TOKEN_US))
    }

    /// Returns the request whose prompt is being computed.
    pub(super) fn current_request(&self) -> Option<usize> {
        self.current.as_ref().map(|(job, _, _)| job.request)
    }

    pub(super) fn finish_answer(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Restarts the engine with an empty cache and returns the requests whose prompts were queued or being computed.
    pub(super) fn crash(&mut self) -> Vec<EngineJob> {
        self.incarnation.0 += 1;
        let current = self.current.take().map(|(job, _, _)| job);
        let aborted = current.into_iter().chain(self.queue.drain(..)).collect();
        self.cache.clear();
        self.eviction_order.clear();
        self.events.clear();
        self.first_event = 0;
        self.published = 0;
        self.running = 0;
        aborted
    }

    /// Returns the number of leading blocks that are cached.
    pub(super) fn cached_prefix(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|block| self.cache.contains_key(block)).count()
    }

    /// Returns the number of leading blocks that will be cached once all queued prompts are computed.
    pub(super) fn cached_prefix_with_queue(
        &self,
        blocks: &[BlockHash],
        prompt_of: &dyn Fn(usize) -> (Vec<BlockHash>, u64),
    ) -> usize {
        let current = self.current.iter().map(|(job, _, _)| job);
        let queued = current.chain(&self.queue).map(|job| {
            let (other_blocks, _) = prompt_of(job.request);
            blocks.iter().zip(&other_blocks).take_while(|(mine, theirs)| mine == theirs).count()
        });
        queued.max().unwrap_or(0).max(self.cached_prefix(blocks))
    }

    /// Returns the prompt tokens left to compute, including the remainder of the current prompt.
    pub(super) fn waiting_tokens(&self, now_us: u64) -> u64 {
        let current = self.current.as_ref().map_or(0, |(_, _, done_us)| {
            (done_us.saturating_sub(now_us) as f64 * PREFILL_RATE / 1e6) as u64
        });
        let step = (STEP_US as f64 * PREFILL_RATE / 1e6) as u64;
        current + self.queue.iter().map(|job| job.expected_tokens + step).sum::<u64>()
    }

    pub(super) fn report(&self, now_us: u64) -> TargetReport {
        TargetReport {
            running: self.running as u32,
            waiting: self.queue.len() as u32,
            waiting_tokens: self.waiting_tokens(now_us),
            ..Default::default()
        }
    }

    /// Returns the retained events since the last call, or `None` if there are none.
    pub(super) fn take_events(&mut self) -> Option<FeedBatch> {
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

    /// Returns the complete cache as a snapshot.
    pub(super) fn snapshot(&self) -> FeedBatch {
        let changes = self
            .cache
            .iter()
            .map(|(&block, cached)| CacheChange::Stored { block, parent: cached.parent })
            .collect();
        let first = self.first_event + self.events.len() as u64;
        FeedBatch { incarnation: self.incarnation, first, snapshot: true, changes }
    }

    fn touch(&mut self, block: BlockHash) {
        self.use_counter += 1;
        if let Some(cached) = self.cache.get_mut(&block) {
            self.eviction_order.remove(&cached.last_use);
            cached.last_use = self.use_counter;
            self.eviction_order.insert(self.use_counter, block);
        }
    }

    fn insert(&mut self, block: BlockHash, parent: Option<BlockHash>) {
        if self.cache.contains_key(&block) {
            return self.touch(block);
        }
        self.use_counter += 1;
        self.cache.insert(block, CachedBlock { last_use: self.use_counter, parent });
        self.eviction_order.insert(self.use_counter, block);
        self.record_event(CacheChange::Stored { block, parent });
    }

    fn evict_excess(&mut self) {
        while self.cache.len() > self.capacity_blocks {
            let Some((_, block)) = self.eviction_order.pop_first() else { return };
            self.cache.remove(&block);
            self.record_event(CacheChange::Evicted { block });
        }
    }

    fn record_event(&mut self, change: CacheChange) {
        self.events.push_back(change);
        if self.events.len() > EVENT_BUFFER {
            self.events.pop_front();
            self.first_event += 1;
        }
    }
}
