//! Tests of the answer with which a peer hands on its configuration.

use actix_rt::System;

use super::{super::OpeningAnswer, *};

fn read(mut bytes: &[u8]) -> answer::Result<Vec<u8>> {
    System::new().block_on(answer::decode(&mut bytes, MAX_DOCUMENT_BYTES))
}

#[test]
fn a_configuration_is_read_as_it_was_sent_or_not_at_all() {
    let document = vec![7; 70_000];
    let sent = encode(&document).expect("it fits");
    assert_eq!(read(&sent).expect("readable"), document);
    for length in [0, 1, 4, 5, sent.len() - 1] {
        assert!(matches!(read(&sent[..length]), Err(AnswerError::Connection(_))), "{length}");
    }
}

#[test]
fn a_configuration_that_is_too_large_is_neither_sent_nor_read() {
    assert!(encode(&vec![0; MAX_DOCUMENT_BYTES + 1]).is_none());
    let length = u32::try_from(MAX_DOCUMENT_BYTES + 1).unwrap().to_be_bytes();
    let answer = [&[OpeningAnswer::Connected.code()][..], &length, &[0; 64]].concat();
    assert!(matches!(read(&answer), Err(AnswerError::TooLarge(_))));
}

#[test]
fn a_peer_without_a_document_hands_on_nothing() {
    assert!(encode(&[]).is_none());
    for code in [OpeningAnswer::Unknown.code(), OpeningAnswer::Malformed.code(), 99] {
        assert!(matches!(read(&[code, 0, 0, 0, 0]), Err(AnswerError::Refused(_))));
    }
}
