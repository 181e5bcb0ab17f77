//! Guards against a feed that loses or repeats events which arrive late, twice, out of order or with gaps.

use std::collections::BTreeSet;

use godwitroad_base::{ClockTime, Incarnation, SeededRandom};
use godwitroad_prefix::{BlockHash, CacheChange, EventFeed, FeedAction, FeedBatch, FeedSettings};
use proptest::{prelude::*, test_runner::RngSeed};

fn stored(block: u128) -> CacheChange {
    CacheChange::Stored { block: BlockHash(block), parent: None }
}

fn batch(first: u64, snapshot: bool, changes: Vec<CacheChange>) -> FeedBatch {
    FeedBatch { incarnation: Incarnation(1), first, snapshot, changes }
}

/// Applies actions to the set of blocks that a reader regards as cached, and returns the number of gaps and whether
/// a snapshot was requested.
fn apply(cache: &mut BTreeSet<u128>, actions: &mut Vec<FeedAction>) -> (usize, bool) {
    let (mut gaps, mut snapshot_requested) = (0, false);
    for action in actions.drain(..) {
        match action {
            FeedAction::Restarted(_) | FeedAction::Replace => cache.clear(),
            FeedAction::Gap => gaps += 1,
            FeedAction::RequestSnapshot => snapshot_requested = true,
            FeedAction::Change(CacheChange::Cleared) => cache.clear(),
            FeedAction::Change(CacheChange::Stored { block, .. }) => drop(cache.insert(block.0)),
            FeedAction::Change(CacheChange::Evicted { block }) => drop(cache.remove(&block.0)),
        }
    }
    (gaps, snapshot_requested)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn a_disturbed_feed_converges_to_the_engines_cache(seed: u64) {
        let mut random = SeededRandom::new(seed);
        let mut feed = EventFeed::new(FeedSettings::default());
        let (mut expected, mut cache) = (BTreeSet::new(), BTreeSet::new());
        let mut log: Vec<CacheChange> = Vec::new();
        let mut delayed: Vec<FeedBatch> = Vec::new();
        let mut actions = Vec::new();
        let mut now = 0;
        for _ in 0..200 {
            now += random.below(40);
            let first = log.len() as u64;
            for _ in 0..=random.below(3) {
                let block = u128::from(random.below(20)) + 1;
                let change = if expected.remove(&block) {
                    CacheChange::Evicted { block: BlockHash(block) }
                } else {
                    expected.insert(block);
                    stored(block)
                };
                log.push(change);
            }
            let current = batch(first, false, log[first as usize..].to_vec());
            match random.below(10) {
                0 => {}
                1 => delayed.push(current),
                2 => {
                    feed.receive(ClockTime::from_ms(now), current.clone(), &mut actions);
                    feed.receive(ClockTime::from_ms(now), current, &mut actions);
                }
                _ => feed.receive(ClockTime::from_ms(now), current, &mut actions),
            }
            if random.chance(0.3) && let Some(old) = delayed.pop() {
                feed.receive(ClockTime::from_ms(now), old, &mut actions);
            }
            feed.tick(ClockTime::from_ms(now), &mut actions);
            if apply(&mut cache, &mut actions).1 && random.chance(0.5) {
                let all = expected.iter().copied().map(stored).collect();
                feed.receive(ClockTime::from_ms(now), batch(log.len() as u64, true, all), &mut actions);
                apply(&mut cache, &mut actions);
            }
        }
        // The stream ends after one more event, so that at most one gap and its snapshot remain.
        let last = log.len() as u64;
        expected.insert(99);
        feed.receive(ClockTime::from_ms(now), batch(last, false, vec![stored(99)]), &mut actions);
        for _ in 0..100 {
            now += 50;
            feed.tick(ClockTime::from_ms(now), &mut actions);
            if apply(&mut cache, &mut actions).1 {
                let all = expected.iter().copied().map(stored).collect();
                feed.receive(ClockTime::from_ms(now), batch(last + 1, true, all), &mut actions);
                apply(&mut cache, &mut actions);
            }
        }
        prop_assert_eq!(cache, expected, "seed {}", seed);
    }
}

#[test]
fn an_event_of_an_earlier_incarnation_is_dropped() {
    let mut feed = EventFeed::new(FeedSettings::default());
    let mut actions = Vec::new();
    let newer = FeedBatch { incarnation: Incarnation(2), ..batch(0, false, vec![stored(1)]) };
    feed.receive(ClockTime::ZERO, newer, &mut actions);
    actions.clear();
    feed.receive(ClockTime::ZERO, batch(1, false, vec![stored(2)]), &mut actions);
    assert!(actions.is_empty() && feed.dropped() == 1);
}

#[test]
fn a_snapshot_from_before_applied_events_is_dropped() {
    let mut feed = EventFeed::new(FeedSettings::default());
    let mut actions = Vec::new();
    let evicted = CacheChange::Evicted { block: BlockHash(1) };
    feed.receive(ClockTime::ZERO, batch(0, false, vec![stored(1), evicted]), &mut actions);
    actions.clear();
    feed.receive(ClockTime::ZERO, batch(1, true, vec![stored(1)]), &mut actions);
    assert!(actions.is_empty());
}

#[test]
fn a_missing_event_is_a_gap_and_the_snapshot_request_is_repeated() {
    let mut feed = EventFeed::new(FeedSettings::default());
    let mut actions = Vec::new();
    feed.receive(ClockTime::ZERO, batch(0, false, vec![stored(1)]), &mut actions);
    feed.receive(ClockTime::ZERO, batch(2, false, vec![stored(3)]), &mut actions);
    actions.clear();
    feed.tick(ClockTime::from_ms(100), &mut actions);
    assert_eq!(
        actions,
        [FeedAction::Gap, FeedAction::RequestSnapshot, FeedAction::Change(stored(3))]
    );
    actions.clear();
    feed.tick(ClockTime::from_ms(1_100), &mut actions);
    assert_eq!(actions, [FeedAction::RequestSnapshot]);
}
