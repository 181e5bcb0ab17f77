//! Tests of the opening message and of the chunks in which a peer passes on a target's bytes.

use std::io::ErrorKind;

use actix_rt::System;
use godwitroad_base::{StoreEra, StoreRevision};
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof, proptest};
use tokio::io::{AsyncReadExt, repeat};
use yare::parameterized;

use super::{
    OpeningAnswer, OpeningError, RelayOpening, TargetOpening,
    stream::{LENGTH_BYTES, MAX_CHUNK_BYTES, RelayStream, write_chunk},
};

fn opening(request: &str) -> RelayOpening {
    RelayOpening::Target(TargetOpening {
        target: "i-7f3a".into(),
        started_ms: 1_782_000_000_000,
        request: request.into(),
    })
}

fn read_opening(mut bytes: &[u8]) -> Result<RelayOpening, OpeningError> {
    System::new().block_on(RelayOpening::read(&mut bytes))
}

// Returns what the router reads from these bytes of its peer, and how reading ended.
fn read_stream(bytes: &[u8]) -> (Vec<u8>, std::io::Result<usize>) {
    let mut read = Vec::new();
    let end = System::new().block_on(RelayStream::new(bytes).read_to_end(&mut read));
    (read, end)
}

fn chunks(parts: &[&[u8]]) -> Vec<u8> {
    let mut written = Vec::new();
    for part in parts {
        let mut chunk = [&[0; LENGTH_BYTES][..], part].concat();
        System::new().block_on(write_chunk(&mut written, &mut chunk)).expect("memory is writable");
    }
    written
}

#[test]
fn an_opening_is_read_as_it_was_written() {
    for opening in [opening("9c41"), RelayOpening::Store] {
        let bytes = opening.encode().expect("a short opening");
        assert_eq!(read_opening(&bytes).expect("a readable opening"), opening);
        for length in 0..bytes.len() {
            assert!(read_opening(&bytes[..length]).is_err(), "{length} of {} bytes", bytes.len());
        }
    }
    assert_eq!(opening(&"x".repeat(1_000)).encode(), None);
}

#[parameterized(
    another_kind = { &[5, 0, 1, 0] },
    config_with_more_than_a_version = { &[4, 0, 2, 1, 9] },
    changes_after_nothing = { &[3, 0, 1, 0] },
    changes_with_more_than_a_revision = { &[3, 0, 3, 1, 2, 9] },
    store_with_content = { &[2, 0, 1, 0] },
    too_large = { &[1, 255, 255, 0] },
    more_than_an_opening = { &[1, 0, 6, 1, 97, 5, 1, 98, 7] },
    no_text = { &[1, 0, 5, 1, 255, 5, 1, 98] },
    another_protocol = { b"GET /readyz HTTP/1.1\r\n\r\n" },
)]
fn an_unreadable_opening_is_refused(bytes: &[u8]) {
    let error = read_opening(bytes).expect_err("an unreadable opening");
    assert!(!matches!(error, OpeningError::Connection(_)), "{error}");
}

/// Guards against a peer that makes the reader take or reserve more than an opening needs.
#[parameterized(
    another_version = { &[5], 1 },
    changes = { &[3, 2, 0], 515 },
    config = { &[4, 2, 0], 515 },
    store = { &[2], 3 },
    largest_length = { &[1, 255, 255], 3 },
    one_byte_over = { &[1, 2, 1], 3 },
    longest = { &[1, 2, 0], 515 },
    endless_name = { &[1, 2, 0, 255, 255, 255, 255, 15], 515 },
)]
fn an_endless_opening_is_read_to_its_limit(start: &[u8], expected: u64) {
    let mut bytes = start.chain(repeat(0xff)).take(1 << 20);
    let result = System::new().block_on(RelayOpening::read(&mut bytes));
    let error = result.expect_err("no opening ends");
    assert!(!matches!(error, OpeningError::Connection(_)), "{error}");
    assert_eq!((1 << 20) - bytes.limit(), expected);
}

#[test]
fn an_opening_for_changes_is_read_as_it_was_sent() {
    let opening = RelayOpening::Changes(StoreRevision::new(StoreEra::new(3), u64::MAX));
    let bytes = opening.encode().expect("a short opening");
    assert_eq!(read_opening(&bytes).expect("it is readable"), opening);
}

#[test]
fn an_opening_for_a_configuration_is_read_as_it_was_sent() {
    let opening = RelayOpening::Config(u64::MAX);
    let bytes = opening.encode().expect("a short opening");
    assert_eq!(read_opening(&bytes).expect("it is readable"), opening);
}

#[test]
fn an_altered_opening_is_never_read_as_the_original() {
    let bytes = opening("9c41").encode().expect("a short opening");
    for (index, bit) in (0..bytes.len()).flat_map(|index| (0..8).map(move |bit| (index, bit))) {
        let mut altered = bytes.clone();
        altered[index] ^= 1 << bit;
        assert_ne!(read_opening(&altered).ok(), Some(opening("9c41")), "bit {bit} of byte {index}");
    }
}

#[test]
fn each_answer_to_an_opening_has_a_code_of_its_own() {
    for answer in OpeningAnswer::ALL {
        assert_eq!(OpeningAnswer::from_code(answer.code()), Some(answer));
    }
    assert_eq!(OpeningAnswer::from_code(200), None);
}

#[test]
fn bytes_of_a_target_end_only_at_the_mark_of_their_end() {
    let whole = chunks(&[b"HTTP/1.1 200 OK\r\n", b"\r\nbody", b""]);
    let (read, end) = read_stream(&whole);
    assert_eq!((read.as_slice(), end.ok()), (&b"HTTP/1.1 200 OK\r\n\r\nbody"[..], Some(23)));
    for length in 0..whole.len() {
        let (_, end) = read_stream(&whole[..length]);
        assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset), "{length}");
    }
    let large = u16::try_from(MAX_CHUNK_BYTES + 1).expect("two bytes").to_be_bytes();
    let (_, end) = read_stream(&large);
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::InvalidData));
}

proptest! {
    #[test]
    fn any_bytes_are_an_opening_or_an_error(
        version in prop_oneof![Just(1), Just(2), any::<u8>()],
        rest in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let bytes = [&[version][..], &rest].concat();
        if let Ok(opening) = read_opening(&bytes) {
            let encoded = opening.encode().expect("it was short enough to be read");
            assert_eq!(read_opening(&encoded).expect("a readable opening"), opening);
        }
    }

    #[test]
    fn any_bytes_of_a_peer_end_with_a_mark_or_an_error(
        parts in prop::collection::vec(
            (0..40_u16, prop::collection::vec(any::<u8>(), 0..40)),
            0..12,
        ),
    ) {
        // Lengths that are often right, so that later ones are read too.
        let framed = parts.iter().flat_map(|(length, part)| {
            [&length.to_be_bytes()[..], part].concat()
        });
        let bytes: Vec<u8> = framed.collect();
        let (read, end) = read_stream(&bytes);
        assert!(read.len() <= bytes.len());
        match end {
            Ok(length) => assert!(length + LENGTH_BYTES <= bytes.len(), "no mark of the end"),
            Err(error) => assert!(
                matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::InvalidData),
                "{error}"
            ),
        }
    }

    #[test]
    fn chunks_are_read_as_they_were_written(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8)
            .prop_map(|parts: Vec<Vec<u8>>| parts)
    ) {
        let mut all: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        all.push(b"");
        let (read, end) = read_stream(&chunks(&all));
        assert!(end.is_ok());
        assert_eq!(read, parts.concat());
    }
}
