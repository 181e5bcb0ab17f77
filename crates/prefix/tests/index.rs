//! Guards against entries that match although they are invalid, and against an index that differs from a reference
//! implementation.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockTime, Incarnation};
use godwitroad_prefix::{
    BLOCK_BYTES, BlockHash, CacheChange, ChainSalt, FeedAction, IndexSettings, PrefixChain,
    PrefixIndex, PrefixMatches, TargetId,
};
use proptest::{prelude::*, test_runner::RngSeed};

const TARGETS: u16 = 70;

#[derive(Clone, Debug)]
enum Step {
    Store(u16, u8),
    Evict(u16, u8),
    Dispatch(u16, u8),
    Gap(u16),
    Replace(u16),
    Restart(u16),
    Advance(u16),
    Sweep,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum EntryState {
    Confirmed,
    Unconfirmed,
    Provisional(u64),
}

/// A reference implementation with one map per target, in which each entry is changed individually.
#[derive(Default)]
struct ReferenceIndex {
    targets: BTreeMap<u16, BTreeMap<u8, EntryState>>,
    incarnations: BTreeMap<u16, u64>,
    now: u64,
}

impl ReferenceIndex {
    fn live(&self, target: u16, block: u8) -> Option<EntryState> {
        let state = *self.targets.get(&target)?.get(&block)?;
        // The index measures ages in units of 128 ms.
        let expired = |at: u64| ((self.now >> 7) - (at >> 7)) << 7 > 3_000;
        (!matches!(state, EntryState::Provisional(at) if expired(at))).then_some(state)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Store(target, block) => {
                self.targets.entry(target).or_default().insert(block, EntryState::Confirmed);
            }
            Step::Evict(target, block) => {
                let blocks = self.targets.entry(target).or_default();
                if !matches!(blocks.get(&block), Some(EntryState::Provisional(_))) {
                    blocks.remove(&block);
                }
            }
            Step::Dispatch(target, block) => {
                let now = self.now;
                if matches!(self.live(target, block), None | Some(EntryState::Provisional(_))) {
                    self.targets
                        .entry(target)
                        .or_default()
                        .insert(block, EntryState::Provisional(now));
                }
            }
            Step::Gap(target) => {
                for state in self.targets.entry(target).or_default().values_mut() {
                    if *state == EntryState::Confirmed {
                        *state = EntryState::Unconfirmed;
                    }
                }
            }
            Step::Replace(target) => {
                let blocks = self.targets.entry(target).or_default();
                blocks.retain(|_, state| matches!(state, EntryState::Provisional(_)));
            }
            Step::Restart(target) => {
                *self.incarnations.entry(target).or_insert(1) += 1;
                self.targets.remove(&target);
            }
            Step::Advance(ms) => self.now += u64::from(ms),
            Step::Sweep => {}
        }
    }

    fn depths(&self, target: u16, chain: &[u8]) -> (usize, usize) {
        let is_cached = |block: &&u8| self.live(target, **block).is_some();
        let is_confirmed = |block: &&u8| self.live(target, **block) == Some(EntryState::Confirmed);
        (chain.iter().take_while(is_cached).count(), chain.iter().take_while(is_confirmed).count())
    }
}

fn hash(block: u8) -> BlockHash {
    BlockHash(u128::from(block).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060))
}

fn apply(index: &mut PrefixIndex, reference: &ReferenceIndex, step: &Step) {
    let now = ClockTime::from_ms(reference.now);
    let target = TargetId;
    match *step {
        Step::Store(position, block) => {
            let change = CacheChange::Stored { block: hash(block), parent: None };
            index.apply(now, target(position), &FeedAction::Change(change));
        }
        Step::Evict(position, block) => {
            let change = CacheChange::Evicted { block: hash(block) };
            index.apply(now, target(position), &FeedAction::Change(change));
        }
        Step::Dispatch(position, block) => {
            index.record_dispatch(now, target(position), &[hash(block)])
        }
        Step::Gap(position) => index.apply(now, target(position), &FeedAction::Gap),
        Step::Replace(position) => index.apply(now, target(position), &FeedAction::Replace),
        Step::Restart(position) => {
            let incarnation = reference.incarnations.get(&position).copied().unwrap_or(1) + 1;
            let action = FeedAction::Restarted(Incarnation(incarnation));
            index.apply(now, target(position), &action);
        }
        Step::Advance(_) => {}
        Step::Sweep => index.sweep(now, 300),
    }
}

fn index_of(targets: u16, max_entries: usize) -> PrefixIndex {
    let mut index = PrefixIndex::new(IndexSettings { max_entries, ..Default::default() });
    for position in 0..targets {
        let id = index.add_target(&format!("worker-{position:03}").as_str().into());
        index.bind(id, Incarnation(1));
    }
    index
}

fn step() -> impl Strategy<Value = Step> {
    // Few targets, two of them in a second group, so that several steps concern the same entry.
    let target = prop_oneof![0..4u16, 66..68u16];
    let position = (target.clone(), 0..12u8);
    prop_oneof![
        6 => position.clone().prop_map(|(target, block)| Step::Store(target, block)),
        2 => position.clone().prop_map(|(target, block)| Step::Evict(target, block)),
        2 => position.prop_map(|(target, block)| Step::Dispatch(target, block)),
        2 => target.clone().prop_map(Step::Gap),
        1 => target.clone().prop_map(Step::Replace),
        1 => target.prop_map(Step::Restart),
        1 => (0..2_000u16).prop_map(Step::Advance),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    // Long sequences of steps exceed the number of distinct epochs.
    #[test]
    fn index_agrees_with_the_reference(steps in prop::collection::vec(step(), 1..700)) {
        let mut index = index_of(TARGETS, 2_000);
        let mut reference = ReferenceIndex::default();
        let mut matches = PrefixMatches::default();
        for (count, step) in steps.iter().enumerate() {
            apply(&mut index, &reference, step);
            reference.apply(step);
            if count % 16 == 0 || count + 1 == steps.len() {
                let blocks: Vec<u8> = (0..12).collect();
                let chain = PrefixChain::from_hashes(blocks.iter().copied().map(hash).collect());
                index.lookup(ClockTime::from_ms(reference.now), &chain, &mut matches);
                for target in 0..TARGETS {
                    let found = (matches.usable(TargetId(target)), matches.confirmed(TargetId(target)));
                    prop_assert_eq!(found, reference.depths(target, &blocks), "target {}", target);
                }
            }
        }
    }

    // A block stored for another account, model, adapter, version or incarnation never matches.
    #[test]
    fn entries_under_another_salt_or_incarnation_never_match(
        stored in prop::collection::vec((0..3usize, 0..2usize, 0..3usize, 0..3usize, 1..4u64, 0..3u8), 1..60),
        requested in (0..3usize, 0..2usize, 0..3usize, 0..3usize, 0..3u8),
    ) {
        let mut index = index_of(1, 4_096);
        let target = TargetId(0);
        let mut allowed = BTreeSet::new();
        let mut current = 1;
        for &(account, model, adapter, version, incarnation, text) in &stored {
            let salt = salt(account, model, adapter, version);
            let chain = PrefixChain::new(&salt, &[text; 2 * BLOCK_BYTES]);
            if index.bind(target, Incarnation(incarnation)) {
                if incarnation > current {
                    allowed.clear();
                    current = incarnation;
                }
                allowed.insert((account, model, adapter, version, text));
                index.record_dispatch(ClockTime::ZERO, target, &chain.hashes()[..1]);
                index.store(ClockTime::ZERO, target, chain.hashes()[1].short_hash());
            }
        }
        let (account, model, adapter, version, text) = requested;
        let chain = PrefixChain::new(&salt(account, model, adapter, version), &[text; 2 * BLOCK_BYTES]);
        let mut matches = PrefixMatches::default();
        index.lookup(ClockTime::ZERO, &chain, &mut matches);
        let expected = if allowed.contains(&requested) { 2 } else { 0 };
        prop_assert_eq!(matches.usable(target), expected);
    }

    #[test]
    fn a_full_index_keeps_to_its_limit(blocks in prop::collection::vec(any::<u64>(), 1..400)) {
        let mut index = index_of(3, 64);
        for (count, &block) in blocks.iter().enumerate() {
            index.store(ClockTime::from_ms(count as u64), TargetId((block % 3) as u16), block);
            prop_assert!(index.len() <= 64);
        }
        let last = *blocks.last().unwrap();
        let mut matches = PrefixMatches::default();
        index.lookup_hashes(ClockTime::from_ms(400), [last].into_iter(), &mut matches);
        prop_assert_eq!(matches.usable(TargetId((last % 3) as u16)), 1);
    }
}

fn salt(account: usize, model: usize, adapter: usize, version: usize) -> ChainSalt {
    // Some different salts have fields that concatenate to the same text, so that only the lengths in the salt text
    // distinguish them.
    ChainSalt {
        account: ["a", "ab", "abc"][account].into(),
        model: ["bc", "c"][model].into(),
        adapter: [None, Some(String::new()), Some("c".to_owned())][adapter].clone(),
        version: ["", "c", "1"][version].to_owned(),
    }
}

#[test]
fn an_engine_computes_the_same_chain_from_the_salt_text() {
    let salt = salt(1, 1, 2, 2);
    let prompt: Vec<u8> = (0..3 * BLOCK_BYTES + 5).map(|position| (position % 251) as u8).collect();
    let chain = PrefixChain::new(&salt, &prompt);
    assert_eq!(chain, PrefixChain::from_salt_text(&salt.cache_salt(), &prompt));
    assert_eq!(chain.len(), 3, "an incomplete last block isn't cached");
}

#[test]
fn entries_of_a_removed_target_never_match_its_successor() {
    let mut index = index_of(1, 64);
    index.store(ClockTime::ZERO, TargetId(0), 7);
    index.remove_target(&"worker-000".into());
    let id = index.add_target(&"worker-new".into());
    index.bind(id, Incarnation(1));
    let mut matches = PrefixMatches::default();
    index.lookup_hashes(ClockTime::ZERO, [7].into_iter(), &mut matches);
    assert_eq!((id, matches.usable(id)), (TargetId(0), 0));
}
