//! The `index` experiment: time, memory and event rate of the index at full size.
//!
//! The index holds 3.6 M entries of 320 workers. Some chains are held by many workers, most by one. The times are
//! of this machine; everything else follows from the seed.

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

/// The workers of a zone at full size.
pub const WORKERS: usize = 320;

/// The entries of one router's part of the index at full size.
pub const ENTRIES: usize = 3_600_000;

/// The pieces of a chain.
const CHAIN: usize = 12;

/// The leading pieces that chains of one family share.
const SHARED: usize = 4;

const DECISIONS: usize = 20_000;
const EVENTS: usize = 4_000_000;

/// A full index with everything that a decision needs.
#[derive(Debug)]
pub struct FullIndex {
    /// The index.
    pub index: PrefixIndex,
    /// Chains that are in the index at one worker or more.
    pub chains: Vec<PrefixChain>,
    places: Vec<TargetCandidate>,
    load: LoadView,
    health: TargetHealth,
    hot: HotPrefixes,
    link: LinkMeter,
    choice: TargetChoice,
    matches: PrefixMatches,
    random: SeededRandom,
}

impl FullIndex {
    /// Returns an index with `entries` entries over [`WORKERS`] workers.
    pub fn new(seed: u64, entries: usize) -> FullIndex {
        let mut random = SeededRandom::new(seed);
        let settings = IndexSettings { max_entries: entries, ..Default::default() };
        let mut index = PrefixIndex::new(settings);
        let mut load = LoadView::new(LoadSettings::default());
        let now = ClockTime::from_ms(1_000);
        for worker in 0..WORKERS {
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
        let place = |worker: usize| TargetCandidate {
            target: TargetId(worker as u16),
            distance: Distance::Zone,
        };
        FullIndex {
            index,
            chains,
            places: (0..WORKERS).map(place).collect(),
            load,
            health: TargetHealth::new(HealthSettings::default()),
            hot: HotPrefixes::new(HotSettings::default()),
            link: LinkMeter::new(now, LinkSettings::default()),
            choice: TargetChoice::new(ChoiceSettings::default()),
            matches: PrefixMatches::default(),
            random,
        }
    }

    /// Makes one whole decision for a chain and returns the worker.
    pub fn decide(&mut self, chain: usize) -> Option<TargetId> {
        let now = ClockTime::from_ms(1_010);
        let chain = &self.chains[chain];
        self.index.lookup(now, chain, &mut self.matches);
        let request = ChoiceRequest {
            first: chain.first().map(|piece| piece.short_hash()),
            blocks: chain.len(),
            tokens: chain.len() as u64 * 2_000 + 300,
            bytes: 100_000,
            routers: 16,
            excluded: &[],
        };
        let view = ChoiceView {
            candidates: &self.places,
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

/// Fills the index: a tenth of the chains are held by 16 workers, one in a hundred by 256, the others by one.
fn fill(index: &mut PrefixIndex, entries: usize, random: &mut SeededRandom) -> Vec<PrefixChain> {
    let mut chains = Vec::new();
    let mut shared = [0; SHARED];
    let now = ClockTime::from_ms(900);
    while index.len() < entries {
        if chains.len() % 8 == 0 {
            shared = std::array::from_fn(|_| random.next_u64());
        }
        let pieces: Vec<BlockHash> = (0..CHAIN)
            .map(|place| shared.get(place).copied().unwrap_or_else(|| random.next_u64()))
            .map(|piece| BlockHash(piece.into()))
            .collect();
        let holders = match chains.len() % 100 {
            0 => 256,
            1..=10 => 16,
            _ => 1,
        };
        let first = random.below(WORKERS as u64) as usize;
        for holder in 0..holders {
            let target = TargetId(((first + holder) % WORKERS) as u16);
            for piece in &pieces {
                if index.len() < entries {
                    index.store(now, target, piece.short_hash());
                }
            }
        }
        chains.push(PrefixChain::from_hashes(pieces));
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
    let mut full = FullIndex::new(seed, ENTRIES);
    let per_entry = full.index.bytes() as f64 / full.index.len() as f64;
    let mut rows = vec![
        row("entries", "entries", full.index.len() as f64),
        row("memory per entry", "bytes", per_entry).at_most(24.0),
    ];
    let (mut times, digest) = decide_many(&mut full, seed);
    times.sort_unstable();
    let quantile = |share: f64| times[(times.len() as f64 * share) as usize] as f64 / 1e3;
    rows.push(row("digest of the decisions", "number", digest));
    rows.push(row("decision p50", "us (machine)", quantile(0.5)));
    rows.push(row("decision p99", "us (machine)", quantile(0.99)).at_most(50.0));
    rows.push(row("hashes of a prompt of 100 KB", "us (machine)", hash_time()));
    let (applied, rate) = apply_events(&mut full, seed);
    rows.push(row("events applied", "events", applied));
    rows.push(row("event rate on one core", "events/s (machine)", rate).at_least(500_000.0));
    Ok(rows)
}

fn decide_many(full: &mut FullIndex, seed: u64) -> (Vec<u64>, f64) {
    let mut random = SeededRandom::new(seed ^ 1);
    let mut digest = 0u64;
    let count = full.chains.len() as u64;
    let times = (0..DECISIONS)
        .map(|_| {
            let chain = random.below(count) as usize;
            let start = Instant::now();
            let chosen = full.decide(chain);
            let time = start.elapsed().as_nanos() as u64;
            let chosen = chosen.map_or(u64::MAX, |target| target.0.into());
            digest = digest.wrapping_mul(0x0100_0000_01b3).wrapping_add(chosen);
            time
        })
        .collect();
    // A float holds 53 bits exactly.
    (times, (digest >> 11) as f64)
}

fn hash_time() -> f64 {
    let salt = ChainSalt {
        account: "account".into(),
        model: "model".into(),
        adapter: None,
        version: "1".to_owned(),
    };
    let prompt = vec![7; CHAIN * BLOCK_BYTES + 100];
    let start = Instant::now();
    let chains = (0..1_000).map(|_| PrefixChain::new(&salt, &prompt).len()).sum::<usize>();
    let time = start.elapsed().as_nanos() as f64 / 1e6;
    if chains == 1_000 * CHAIN { time } else { f64::NAN }
}

/// Applies batches of stored and evicted pieces through each worker's feed to the full index.
fn apply_events(full: &mut FullIndex, seed: u64) -> (f64, f64) {
    let mut random = SeededRandom::new(seed ^ 2);
    let batch_events = 64;
    let rounds = EVENTS / batch_events;
    let mut feeds: Vec<EventFeed> =
        (0..WORKERS).map(|_| EventFeed::new(FeedSettings::default())).collect();
    let mut sent = vec![0u64; WORKERS];
    let mut batches = Vec::with_capacity(rounds);
    for _ in 0..rounds {
        let worker = random.below(WORKERS as u64) as usize;
        let stored: Vec<BlockHash> = (0..batch_events / 2)
            .map(|_| BlockHash(u128::from(random.next_u64()) << 64 | u128::from(random.next_u64())))
            .collect();
        let parent = |place: usize| place.checked_sub(1).map(|place| stored[place]);
        let mut changes: Vec<CacheChange> = stored
            .iter()
            .enumerate()
            .map(|(place, &piece)| CacheChange::Stored { block: piece, parent: parent(place) })
            .collect();
        changes.extend(stored.iter().map(|&piece| CacheChange::Evicted { block: piece }));
        let first = sent[worker];
        sent[worker] += changes.len() as u64;
        let batch = FeedBatch { incarnation: Incarnation(1), first, snapshot: false, changes };
        batches.push((worker, batch));
    }
    let mut actions: Vec<FeedAction> = Vec::new();
    let mut applied = 0u64;
    let start = Instant::now();
    for (place, (worker, batch)) in batches.into_iter().enumerate() {
        let now = ClockTime::from_ms(1_100 + place as u64 / 100);
        feeds[worker].receive(now, batch, &mut actions);
        for action in actions.drain(..) {
            applied += u64::from(matches!(action, FeedAction::Change(_)));
            full.index.apply(now, TargetId(worker as u16), &action);
        }
    }
    (applied as f64, applied as f64 / start.elapsed().as_secs_f64())
}
