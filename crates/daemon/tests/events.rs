//! The parser of server-sent events.

use godwitroad_daemon::target::{SseError, SseParser};
use proptest::prelude::*;

type Events = Vec<(String, String)>;

fn parse<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Result<Events, SseError> {
    let mut parser = SseParser::new();
    let mut events = Vec::new();
    for part in parts {
        parser.push(part, |event| events.push((event.kind.to_string(), event.data.to_string())))?;
    }
    Ok(events)
}

const STREAM: &str = "\u{feff}data: ä\r\ndata:b\r\n\r\n: comment\nid: 3\nevent: error\ndata: {\"x\": 1}\n\nretry: 4\r\rdata\n\ndata: 𝄞\r\r\ndata: cut";

/// Guards against results that depend on where the network splits a stream.
#[test]
fn a_stream_split_at_any_byte_is_parsed_the_same() {
    let bytes = STREAM.as_bytes();
    let event = |kind: &str, data: &str| (kind.to_string(), data.to_string());
    let expected =
        vec![event("", "ä\nb"), event("error", "{\"x\": 1}"), event("", ""), event("", "𝄞")];
    assert_eq!(parse([bytes]).unwrap(), expected);
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let parts = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(parse(parts).unwrap(), expected, "cut at {first} and {second}");
        }
    }
    assert_eq!(parse(bytes.chunks(1)).unwrap(), expected);
}

/// Guards against an endless event that exhausts memory, in one line or in many.
#[test]
fn an_endless_event_is_refused() {
    let line = [b'x'; 4_096];
    assert_eq!(parse(std::iter::repeat_n(&line[..], 1_000)), Err(SseError::TooLarge));
    let lines = b"data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n";
    assert_eq!(parse(std::iter::repeat_n(&lines[..], 100_000)), Err(SseError::TooLarge));
    let empty = b"data:\n";
    assert_eq!(parse(std::iter::repeat_n(&empty[..], 2_000_000)), Err(SseError::TooLarge));
}

proptest! {
    /// Guards against input that causes a panic or is parsed differently when split.
    #[test]
    fn any_bytes_are_parsed_the_same_when_split(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b':'), Just(b'd'), Just(b' '), any::<u8>()], 0..200), size in 1..9_usize) {
        prop_assert_eq!(parse([&bytes[..]]), parse(bytes.chunks(size)));
    }

    /// Guards against data that changes when it is written and parsed again.
    #[test]
    fn written_events_are_parsed_back(texts in prop::collection::vec("[^\r\n\u{feff}]{0,30}", 0..10)) {
        let stream: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let read: Vec<String> = parse([stream.as_bytes()]).unwrap().into_iter().map(|event| event.1).collect();
        prop_assert_eq!(read, texts);
    }
}
