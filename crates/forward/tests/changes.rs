//! Checks what a log of the store's answers hands on against the full list of changes.

use godwitroad_base::{StoreEra, StoreRevision};
use godwitroad_forward::{ChangeLog, ChangePiece, MAX_CHANGES_BYTES};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use yare::parameterized;

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(1), number)
}

// Returns the answer that contains the changes in a range, each as one byte.
fn piece(after: u64, upto: u64) -> ChangePiece {
    let body: Vec<u8> = (after + 1..=upto).map(|number| number as u8).collect();
    ChangePiece { after: revision(after), upto: revision(upto), body: body.into() }
}

fn quiet(after: u64, upto: u64) -> ChangePiece {
    ChangePiece { body: Vec::new().into(), ..piece(after, upto) }
}

#[parameterized(
    all = { &[piece(5, 8), piece(8, 9)], 5, Some(2) },
    the_last = { &[piece(5, 8), piece(8, 9)], 8, Some(1) },
    from_inside_one = { &[piece(5, 8), piece(8, 9)], 6, Some(2) },
    nothing_newer = { &[piece(5, 8)], 8, None },
    too_old = { &[piece(5, 8)], 4, None },
    a_gap = { &[piece(5, 8), piece(9, 10)], 5, None },
    after_a_gap = { &[piece(5, 8), piece(9, 10)], 9, Some(1) },
    quiet_between = { &[piece(5, 8), quiet(8, 20), piece(20, 21)], 5, Some(2) },
    overlapping = { &[piece(5, 8), piece(6, 10)], 5, Some(2) },
    known_already = { &[piece(5, 8), piece(5, 8)], 5, Some(1) },
    quiet_at_first = { &[quiet(5, 8), piece(8, 9)], 5, Some(2) },
    empty = { &[], 0, None },
)]
fn a_log_hands_on_all_changes_or_none(pieces: &[ChangePiece], after: u64, expected: Option<usize>) {
    let mut log = ChangeLog::default();
    pieces.iter().for_each(|piece| log.record(piece.clone()));
    assert_eq!(log.since(revision(after)).map(|pieces| pieces.len()), expected);
}

#[test]
fn changes_of_another_era_are_not_mixed() {
    let in_era = |era, number| StoreRevision::new(StoreEra::new(era), number);
    let mut log = ChangeLog::default();
    log.record(piece(5, 8));
    let next = ChangePiece { after: in_era(2, 3), upto: in_era(2, 4), body: vec![4].into() };
    log.record(next.clone());
    assert_eq!(log.since(in_era(2, 3)), Some(vec![next]));
    assert_eq!(log.since(revision(5)), None);
    assert_eq!(log.since(revision(9)), None);
}

#[test]
fn a_log_is_bounded() {
    let mut log = ChangeLog::default();
    for number in 0..4 {
        let body = vec![0; MAX_CHANGES_BYTES / 2];
        log.record(ChangePiece { body: body.into(), ..piece(number, number + 1) });
    }
    assert_eq!(log.since(revision(1)), None);
    assert_eq!(log.since(revision(2)).map(|pieces| pieces.len()), Some(2));
    (4..1_000).for_each(|number| log.record(piece(number, number + 1)));
    assert!(log.since(revision(999)).is_some());
    assert_eq!(log.since(revision(500)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    // Answers as a router gets them: after a failure it may ask again from an earlier revision, or lose its place.
    #[test]
    fn what_is_handed_on_lacks_no_change(steps in vec((0..4_u64, 1..5_u64, 0..10_u8), 1..60), from in 0..200_u64) {
        let mut log = ChangeLog::default();
        let mut last = 0_u64;
        for (back, forward, kind) in steps {
            let after = if kind == 0 { last + 2 } else { last.saturating_sub(back) };
            last = last.max(after + forward);
            log.record(if kind == 1 { quiet(last, last + 1) } else { piece(after, after + forward) });
            last += u64::from(kind == 1);
        }
        if let Some(pieces) = log.since(revision(from)) {
            prop_assert!(pieces[0].after <= revision(from));
            for pair in pieces.windows(2) {
                prop_assert!(pair[1].after <= pair[0].upto, "a gap in {pieces:?}");
            }
            prop_assert!(pieces[pieces.len() - 1].upto > revision(from));
        }
    }
}
