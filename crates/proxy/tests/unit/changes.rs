//! Tests of the answer with which a peer hands on changes of the store.

use actix_rt::System;
use godwitroad_base::{StoreEra, StoreRevision};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::{super::OpeningAnswer, *};

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(1), number)
}

fn piece(after: u64, upto: u64, body: &[u8]) -> ChangePiece {
    ChangePiece { after: revision(after), upto: revision(upto), body: body.into() }
}

fn read(mut bytes: &[u8]) -> Result<Vec<ChangePiece>> {
    let payload = System::new().block_on(answer::decode(&mut bytes, MAX_ENCODED_BYTES));
    decode(&payload?)
}

#[test]
fn changes_are_read_as_they_were_sent() {
    let pieces = vec![piece(3, 5, b"a"), piece(5, 1_000, &[7; 70_000]), piece(1_000, 1_001, b"")];
    assert_eq!(read(&encode(&pieces).expect("they fit")).expect("readable"), pieces);
}

#[test]
fn changes_that_are_too_large_are_neither_sent_nor_read() {
    let pieces = vec![piece(3, 5, &vec![0; MAX_ENCODED_BYTES])];
    assert!(encode(&pieces).is_none());
    let length = u32::try_from(MAX_ENCODED_BYTES + 1).unwrap().to_be_bytes();
    let answer = [&[OpeningAnswer::Connected.code()][..], &length, &[0; 64]].concat();
    assert!(matches!(read(&answer), Err(ChangesError::Answer(AnswerError::TooLarge(_)))));
}

#[test]
fn a_refusal_and_an_unknown_answer_bring_no_changes() {
    for code in [OpeningAnswer::Unknown.code(), OpeningAnswer::Malformed.code(), 99] {
        assert!(matches!(
            read(&[code, 0, 0, 0, 0]),
            Err(ChangesError::Answer(AnswerError::Refused(_)))
        ));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    #[test]
    fn altered_and_cut_answers_are_errors_or_readable(
        body in vec(any::<u8>(), 0..200),
        position in any::<prop::sample::Index>(),
        flipped in 1..=255_u8,
        length in any::<prop::sample::Index>(),
    ) {
        let sent = encode(&[piece(3, 5, &body)]).expect("it fits");
        let cut = &sent[..length.index(sent.len())];
        prop_assert!(read(cut).is_err());
        let mut altered = sent.clone();
        altered[position.index(sent.len())] ^= flipped;
        if let Ok(pieces) = read(&altered) {
            prop_assert!(pieces.iter().map(|piece| piece.body.len()).sum::<usize>() <= sent.len());
        }
    }
}
