//! Guards against entries that match though they must not, and against an index that differs from a naive one.

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
    Note(u16, u8),
    Gap(u16),
    Replace(u16),
    Restart(u16),
    Pass(u16),
    Sweep,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Held {
    Confirmed,
    Unconfirmed,
    Noted(u64),
}

/// The reference: one map per target, changed entry by entry.
#[derive(Default)]
struct NaiveIndex {
    targets: BTreeMap<u16, BTreeMap<u8, Held>>,
    incarnations: BTreeMap<u16, u64>,
    now: u64,
}

impl NaiveIndex {
    fn live(&self, target: u16, piece: u8) -> Option<Held> {
        let held = *self.targets.get(&target)?.get(&piece)?;
        // The index keeps ages in units of 128 ms.
        let expired = |at: u64| ((self.now >> 7) - (at >> 7)) << 7 > 3_000;
        (!matches!(held, Held::Noted(at) if expired(at))).then_some(held)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Store(target, piece) => {
                self.targets.entry(target).or_default().insert(piece, Held::Confirmed);
            }
            Step::Evict(target, piece) => {
                let pieces = self.targets.entry(target).or_default();
                if !matches!(pieces.get(&piece), Some(Held::Noted(_))) {
                    pieces.remove(&piece);
                }
            }
            Step::Note(target, piece) => {
                let now = self.now;
                if matches!(self.live(target, piece), None | Some(Held::Noted(_))) {
                    self.targets.entry(target).or_default().insert(piece, Held::Noted(now));
                }
            }
            Step::Gap(target) => {
                for held in self.targets.entry(target).or_default().values_mut() {
                    if *held == Held::Confirmed {
                        *held = Held::Unconfirmed;
                    }
                }
            }
            Step::Replace(target) => {
                let pieces = self.targets.entry(target).or_default();
                pieces.retain(|_, held| matches!(held, Held::Noted(_)));
            }
            Step::Restart(target) => {
                *self.incarnations.entry(target).or_insert(1) += 1;
                self.targets.remove(&target);
            }
            Step::Pass(ms) => self.now += u64::from(ms),
            Step::Sweep => {}
        }
    }

    fn depths(&self, target: u16, chain: &[u8]) -> (usize, usize) {
        let held = |piece: &&u8| self.live(target, **piece).is_some();
        let firm = |piece: &&u8| self.live(target, **piece) == Some(Held::Confirmed);
        (chain.iter().take_while(held).count(), chain.iter().take_while(firm).count())
    }
}

fn hash(piece: u8) -> BlockHash {
    BlockHash(u128::from(piece).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060))
}

fn apply(index: &mut PrefixIndex, naive: &NaiveIndex, step: &Step) {
    let now = ClockTime::from_ms(naive.now);
    let target = TargetId;
    match *step {
        Step::Store(place, piece) => {
            let change = CacheChange::Stored { block: hash(piece), parent: None };
            index.apply(now, target(place), &FeedAction::Change(change));
        }
        Step::Evict(place, piece) => {
            let change = CacheChange::Evicted { block: hash(piece) };
            index.apply(now, target(place), &FeedAction::Change(change));
        }
        Step::Note(place, piece) => index.record_dispatch(now, target(place), &[hash(piece)]),
        Step::Gap(place) => index.apply(now, target(place), &FeedAction::Gap),
        Step::Replace(place) => index.apply(now, target(place), &FeedAction::Replace),
        Step::Restart(place) => {
            let incarnation = naive.incarnations.get(&place).copied().unwrap_or(1) + 1;
            let action = FeedAction::Restarted(Incarnation(incarnation));
            index.apply(now, target(place), &action);
        }
        Step::Pass(_) => {}
        Step::Sweep => index.sweep(now, 300),
    }
}

fn index_of(targets: u16, max_entries: usize) -> PrefixIndex {
    let mut index = PrefixIndex::new(IndexSettings { max_entries, ..Default::default() });
    for place in 0..targets {
        let id = index.add_target(&format!("worker-{place:03}").as_str().into());
        index.bind(id, Incarnation(1));
    }
    index
}

fn step() -> impl Strategy<Value = Step> {
    // Few targets, two of them in another group, so that steps meet.
    let target = prop_oneof![0..4u16, 66..68u16];
    let place = (target.clone(), 0..12u8);
    prop_oneof![
        6 => place.clone().prop_map(|(target, piece)| Step::Store(target, piece)),
        2 => place.clone().prop_map(|(target, piece)| Step::Evict(target, piece)),
        2 => place.prop_map(|(target, piece)| Step::Note(target, piece)),
        2 => target.clone().prop_map(Step::Gap),
        1 => target.clone().prop_map(Step::Replace),
        1 => target.prop_map(Step::Restart),
        1 => (0..2_000u16).prop_map(Step::Pass),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    // Long runs pass the point at which epoch numbers repeat.
    #[test]
    fn index_agrees_with_the_naive_one(steps in prop::collection::vec(step(), 1..700)) {
        let mut index = index_of(TARGETS, 2_000);
        let mut naive = NaiveIndex::default();
        let mut matches = PrefixMatches::default();
        for (count, step) in steps.iter().enumerate() {
            apply(&mut index, &naive, step);
            naive.apply(step);
            if count % 16 == 0 || count + 1 == steps.len() {
                let pieces: Vec<u8> = (0..12).collect();
                let chain = PrefixChain::from_hashes(pieces.iter().copied().map(hash).collect());
                index.lookup(ClockTime::from_ms(naive.now), &chain, &mut matches);
                for target in 0..TARGETS {
                    let found = (matches.usable(TargetId(target)), matches.confirmed(TargetId(target)));
                    prop_assert_eq!(found, naive.depths(target, &pieces), "target {}", target);
                }
            }
        }
    }

    // P1: whatever was stored for another account, model, adapter, version or incarnation never matches.
    #[test]
    fn entries_of_others_never_match(
        stored in prop::collection::vec((0..3usize, 0..2usize, 0..3usize, 0..3usize, 1..4u64, 0..3u8), 1..60),
        asked in (0..3usize, 0..2usize, 0..3usize, 0..3usize, 0..3u8),
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
        let (account, model, adapter, version, text) = asked;
        let chain = PrefixChain::new(&salt(account, model, adapter, version), &[text; 2 * BLOCK_BYTES]);
        let mut matches = PrefixMatches::default();
        index.lookup(ClockTime::ZERO, &chain, &mut matches);
        let expected = if allowed.contains(&asked) { 2 } else { 0 };
        prop_assert_eq!(matches.usable(target), expected);
    }

    #[test]
    fn a_full_index_stays_within_its_bound(pieces in prop::collection::vec(any::<u64>(), 1..400)) {
        let mut index = index_of(3, 64);
        for (count, &piece) in pieces.iter().enumerate() {
            index.store(ClockTime::from_ms(count as u64), TargetId((piece % 3) as u16), piece);
            prop_assert!(index.len() <= 64);
        }
        let last = *pieces.last().unwrap();
        let mut matches = PrefixMatches::default();
        index.lookup_short(ClockTime::from_ms(400), [last].into_iter(), &mut matches);
        prop_assert_eq!(matches.usable(TargetId((last % 3) as u16)), 1);
    }
}

fn salt(account: usize, model: usize, adapter: usize, version: usize) -> ChainSalt {
    // Texts that are equal when the fields are written one after another without their lengths.
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
    let prompt: Vec<u8> = (0..3 * BLOCK_BYTES + 5).map(|place| (place % 251) as u8).collect();
    let chain = PrefixChain::new(&salt, &prompt);
    assert_eq!(chain, PrefixChain::from_salt_text(&salt.cache_salt(), &prompt));
    assert_eq!(chain.len(), 3, "an incomplete last piece isn't cached");
}

#[test]
fn a_removed_target_leaves_nothing_to_its_successor() {
    let mut index = index_of(1, 64);
    index.store(ClockTime::ZERO, TargetId(0), 7);
    index.remove_target(&"worker-000".into());
    let id = index.add_target(&"worker-new".into());
    index.bind(id, Incarnation(1));
    let mut matches = PrefixMatches::default();
    index.lookup_short(ClockTime::ZERO, [7].into_iter(), &mut matches);
    assert_eq!((id, matches.usable(id)), (TargetId(0), 0));
}
