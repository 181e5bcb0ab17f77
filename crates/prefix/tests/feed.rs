//! Guards against a feed that loses or repeats events when they come late, twice, out of order or with gaps.

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

/// Applies actions to the set of blocks that a reader believes to be cached, and counts gaps.
fn apply(cache: &mut BTreeSet<u128>, actions: &mut Vec<FeedAction>) -> (usize, bool) {
    let (mut gaps, mut asked) = (0, false);
    for action in actions.drain(..) {
        match action {
            FeedAction::Restarted(_) | FeedAction::Replace => cache.clear(),
            FeedAction::Gap => gaps += 1,
            FeedAction::RequestSnapshot => asked = true,
            FeedAction::Change(CacheChange::Cleared) => cache.clear(),
            FeedAction::Change(CacheChange::Stored { block, .. }) => drop(cache.insert(block.0)),
            FeedAction::Change(CacheChange::Evicted { block }) => drop(cache.remove(&block.0)),
        }
    }
    (gaps, asked)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn a_disturbed_feed_ends_with_the_engines_cache(seed: u64) {
        let mut random = SeededRandom::new(seed);
        let mut feed = EventFeed::new(FeedSettings::default());
        let (mut truth, mut believed) = (BTreeSet::new(), BTreeSet::new());
        let mut log: Vec<CacheChange> = Vec::new();
        let mut late: Vec<FeedBatch> = Vec::new();
        let mut actions = Vec::new();
        let mut now = 0;
        for _ in 0..200 {
            now += random.below(40);
            let first = log.len() as u64;
            for _ in 0..=random.below(3) {
                let block = u128::from(random.below(20)) + 1;
                let change = if truth.remove(&block) {
                    CacheChange::Evicted { block: BlockHash(block) }
                } else {
                    truth.insert(block);
                    stored(block)
                };
                log.push(change);
            }
            let fresh = batch(first, false, log[first as usize..].to_vec());
            match random.below(10) {
                0 => {}
                1 => late.push(fresh),
                2 => {
                    feed.receive(ClockTime::from_ms(now), fresh.clone(), &mut actions);
                    feed.receive(ClockTime::from_ms(now), fresh, &mut actions);
                }
                _ => feed.receive(ClockTime::from_ms(now), fresh, &mut actions),
            }
            if random.chance(0.3) && let Some(old) = late.pop() {
                feed.receive(ClockTime::from_ms(now), old, &mut actions);
            }
            feed.tick(ClockTime::from_ms(now), &mut actions);
            if apply(&mut believed, &mut actions).1 && random.chance(0.5) {
                let all = truth.iter().copied().map(stored).collect();
                feed.receive(ClockTime::from_ms(now), batch(log.len() as u64, true, all), &mut actions);
                apply(&mut believed, &mut actions);
            }
        }
        // The stream falls quiet after one more event; at most one gap and its snapshot remain.
        let last = log.len() as u64;
        truth.insert(99);
        feed.receive(ClockTime::from_ms(now), batch(last, false, vec![stored(99)]), &mut actions);
        for _ in 0..100 {
            now += 50;
            feed.tick(ClockTime::from_ms(now), &mut actions);
            if apply(&mut believed, &mut actions).1 {
                let all = truth.iter().copied().map(stored).collect();
                feed.receive(ClockTime::from_ms(now), batch(last + 1, true, all), &mut actions);
                apply(&mut believed, &mut actions);
            }
        }
        prop_assert_eq!(believed, truth, "seed {}", seed);
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
fn a_missing_event_marks_a_gap_and_asks_again_until_a_snapshot_comes() {
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
