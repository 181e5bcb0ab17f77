//! The `index` experiment: decision time, memory and event rate of the prefix index at full size.
//!
//! The index has 3.6 M entries of 320 workers. Some chains are cached by many workers, most by one. The times depend on
//! the machine; all other values depend on the seed alone.

use std::time::Instant;

use anyhow::Result;
use godwitroad_balance::{
    ChoiceRequest, ChoiceSettings, ChoiceView, Distance, HealthSettings, HotPrefixes, HotSettings,
    LinkMeter, LinkSettings, LoadSettings, LoadView, TargetCandidate, TargetChoice, TargetHealth,
    TargetReport,
};
use godwitroad_base::{ClockSpan, ClockTime, Incarnation, SeededRandom, TargetName};
use godwitroad_prefix::{
    BLOCK_BYTES, BlockHash, CacheChange, ChainSalt, EventFeed, FeedAction, FeedBatch, FeedSettings,
    IndexSettings, PrefixChain, PrefixIndex, PrefixMatches, TargetId,
};

use crate::report::BenchRow;

/// The number of workers of a zone at full size.
pub const WORKER_COUNT: usize = 320;

/// The number of entries in one router's index shard at full size.
pub const ENTRY_COUNT: usize = 3_600_000;

/// The number of blocks of a chain.
const CHAIN_BLOCKS: usize = 12;

/// The number of leading blocks that each group of eight chains shares.
const SHARED_BLOCKS: usize = 4;

/// The number of timed decisions.
const DECISION_COUNT: usize = 20_000;

/// The number of cache events that are applied.
const EVENT_COUNT: usize = 4_000_000;

/// An index at full size, with the other state that a routing decision reads.
#[derive(Debug)]
pub struct FullIndex {
    /// The prefix index of one router.
    pub index: PrefixIndex,
    /// The chains that the index was filled with; each is cached by at least one worker.
    pub chains: Vec<PrefixChain>,
    candidates: Vec<TargetCandidate>,
    load: LoadView,
    health: TargetHealth,
    hot: HotPrefixes,
    link: LinkMeter,
    choice: TargetChoice,
    matches: PrefixMatches,
    random: SeededRandom,
}

impl FullIndex {
    /// Returns an index with `entries` entries over [`WORKER_COUNT`] workers.
    pub fn new(seed: u64, entries: usize) -> FullIndex {
        let mut random = SeededRandom::new(seed);
        let settings = IndexSettings { max_entries: entries, ..Default::default() };
        let mut index = PrefixIndex::new(settings);
        let mut load = LoadView::new(LoadSettings::default());
        let now = ClockTime::from_ms(1_000);
        for worker in 0..WORKER_COUNT {
            let name: TargetName = format!("worker-{worker:03}").into();
            let target = index.add_target(&name);
            index.bind(target, Incarnation(1));
            load.set_slots(target, 32);
            let report = TargetReport {
                running: random.below(24) as u32,
                waiting_tokens: random.below(20_000),
                ..Default::default()
            };
            load.record_report(now, target, report);
            for _ in 0..8 {
                load.record_dispatch(now + ClockSpan::from_ms(1), target, 500, None);
            }
        }
        let chains = fill(&mut index, entries, &mut random);
        let candidate = |worker: usize| TargetCandidate {
            target: TargetId(worker as u16),
            distance: Distance::Zone,
        };
        FullIndex {
            index,
            chains,
            candidates: (0..WORKER_COUNT).map(candidate).collect(),
            load,
            health: TargetHealth::new(HealthSettings::default()),
            hot: HotPrefixes::new(HotSettings::default()),
            link: LinkMeter::new(now, LinkSettings::default()),
            choice: TargetChoice::new(ChoiceSettings::default()),
            matches: PrefixMatches::default(),
            random,
        }
    }

    /// Looks up the chain with the given position in `chains` and returns the chosen worker.
    pub fn decide(&mut self, chain: usize) -> Option<TargetId> {
        let now = ClockTime::from_ms(1_010);
        let chain = &self.chains[chain];
        self.index.lookup(now, chain, &mut self.matches);
        let request = ChoiceRequest {
            first: chain.first().map(|block| block.short_hash()),
            blocks: chain.len(),
            tokens: chain.len() as u64 * 2_000 + 300,
            bytes: 100_000,
            routers: 16,
            excluded: &[],
        };
        let view = ChoiceView {
            candidates: &self.candidates,
            matches: &self.matches,
            load: &self.load,
            health: &self.health,
            hot: &self.hot,
            link: &self.link,
        };
        let chosen = self.choice.choose(now, &request, &view, &mut self.random)?;
        Some(chosen.target)
    }
}

/// Fills the index. A tenth of the chains are cached by 16 workers, one in a hundred by 256, and the others by one.
fn fill(index: &mut PrefixIndex, entries: usize, random: &mut SeededRandom) -> Vec<PrefixChain> {
    let mut chains = Vec::new();
    let mut shared = [0; SHARED_BLOCKS];
    let now = ClockTime::from_ms(900);
    while index.len() < entries {
        if chains.len() % 8 == 0 {
            shared = std::array::from_fn(|_| random.next_u64());
        }
        let blocks: Vec<BlockHash> = (0..CHAIN_BLOCKS)
            .map(|position| shared.get(position).copied().unwrap_or_else(|| random.next_u64()))
            .map(|block| BlockHash(block.into()))
            .collect();
        let worker_count = match chains.len() % 100 {
            0 => 256,
            1..=10 => 16,
            _ => 1,
        };
        let first = random.below(WORKER_COUNT as u64) as usize;
        for offset in 0..worker_count {
            let target = TargetId(((first + offset) % WORKER_COUNT) as u16);
            for block in &blocks {
                if index.len() < entries {
                    index.store(now, target, block.short_hash());
                }
            }
        }
        chains.push(PrefixChain::from_hashes(blocks));
    }
    chains
}

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; the signature is that of all experiments.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let scenario = "320 workers, 3.6 M entries";
    let row = |measure: &str, unit, value| BenchRow::new(scenario, "product", measure, unit, value);
    let mut full_index = FullIndex::new(seed, ENTRY_COUNT);
    let bytes_per_entry = full_index.index.bytes() as f64 / full_index.index.len() as f64;
    let mut rows = vec![
        row("entries", "entries", full_index.index.len() as f64),
        row("memory per entry", "bytes", bytes_per_entry).at_most(24.0),
    ];
    let (mut times, digest) = time_decisions(&mut full_index, seed);
    times.sort_unstable();
    let quantile = |share: f64| times[(times.len() as f64 * share) as usize] as f64 / 1e3;
    rows.push(row("digest of the decisions", "number", digest));
    rows.push(row("decision p50", "us (machine)", quantile(0.5)));
    rows.push(row("decision p99", "us (machine)", quantile(0.99)).at_most(50.0));
    rows.push(row("hashes of a prompt of 100 KB", "us (machine)", time_prompt_hash()));
    let (applied, rate) = apply_events(&mut full_index, seed);
    rows.push(row("events applied", "events", applied));
    rows.push(row("event rate on one core", "events/s (machine)", rate).at_least(500_000.0));
    Ok(rows)
}

/// Returns the time of each decision in nanoseconds, and a digest of the chosen workers.
fn time_decisions(full_index: &mut FullIndex, seed: u64) -> (Vec<u64>, f64) {
    let mut random = SeededRandom::new(seed ^ 1);
    let mut digest = 0u64;
    let count = full_index.chains.len() as u64;
    let times = (0..DECISION_COUNT)
        .map(|_| {
            let chain = random.below(count) as usize;
            let start = Instant::now();
            let chosen = full_index.decide(chain);
            let time = start.elapsed().as_nanos() as u64;
            let chosen = chosen.map_or(u64::MAX, |target| target.0.into());
            digest = digest.wrapping_mul(0x0100_0000_01b3).wrapping_add(chosen);
            time
        })
        .collect();
    // An `f64` represents integers of up to 53 bits exactly.
    (times, (digest >> 11) as f64)
}

/// Returns the mean time to hash a prompt into a chain, in microseconds.
fn time_prompt_hash() -> f64 {
    let salt = ChainSalt {
        account: "account".into(),
        model: "model".into(),
        adapter: None,
        version: "1".to_owned(),
    };
    let prompt = vec![7; CHAIN_BLOCKS * BLOCK_BYTES + 100];
    let start = Instant::now();
    let chains = (0..1_000).map(|_| PrefixChain::new(&salt, &prompt).len()).sum::<usize>();
    let time = start.elapsed().as_nanos() as f64 / 1e6;
    if chains == 1_000 * CHAIN_BLOCKS { time } else { f64::NAN }
}

/// Applies batches of stored and evicted blocks to the index through the feed of each worker, and returns the number of
/// applied events and their rate per second.
fn apply_events(full_index: &mut FullIndex, seed: u64) -> (f64, f64) {
    let mut random = SeededRandom::new(seed ^ 2);
    let batch_events = 64;
    let rounds = EVENT_COUNT / batch_events;
    let mut feeds: Vec<EventFeed> =
        (0..WORKER_COUNT).map(|_| EventFeed::new(FeedSettings::default())).collect();
    let mut sent = vec![0u64; WORKER_COUNT];
    let mut batches = Vec::with_capacity(rounds);
    for _ in 0..rounds {
        let worker = random.below(WORKER_COUNT as u64) as usize;
        let stored: Vec<BlockHash> = (0..batch_events / 2)
            .map(|_| BlockHash(u128::from(random.next_u64()) << 64 | u128::from(random.next_u64())))
            .collect();
        let parent = |position: usize| position.checked_sub(1).map(|position| stored[position]);
        let mut changes: Vec<CacheChange> = stored
            .iter()
            .enumerate()
            .map(|(position, &block)| CacheChange::Stored { block, parent: parent(position) })
            .collect();
        changes.extend(stored.iter().map(|&block| CacheChange::Evicted { block }));
        let first = sent[worker];
        sent[worker] += changes.len() as u64;
        let batch = FeedBatch { incarnation: Incarnation(1), first, snapshot: false, changes };
        batches.push((worker, batch));
    }
    let mut actions: Vec<FeedAction> = Vec::new();
    let mut applied = 0u64;
    let start = Instant::now();
    for (position, (worker, batch)) in batches.into_iter().enumerate() {
        let now = ClockTime::from_ms(1_100 + position as u64 / 100);
        feeds[worker].receive(now, batch, &mut actions);
        for action in actions.drain(..) {
            applied += u64::from(matches!(action, FeedAction::Change(_)));
            full_index.index.apply(now, TargetId(worker as u16), &action);
        }
    }
    (applied as f64, applied as f64 / start.elapsed().as_secs_f64())
}
