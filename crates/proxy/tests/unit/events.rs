//! Tests that complete events are forwarded and incomplete ones are buffered.

use yare::parameterized;

use super::{EventSplitter, MAX_EVENT_BYTES, UnfitEvent, check_first_event};

fn pushed(splitter: &mut EventSplitter, bytes: &[u8]) -> Option<Vec<u8>> {
    splitter.push(bytes).expect("an event of usual size").map(|events| events.to_vec())
}

#[test]
fn bytes_that_complete_no_event_are_not_buffered_without_bound() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 16 * 1024];
    let pushes = (0..).take_while(|_| splitter.push(&chunk) == Ok(None)).count();
    assert_eq!(pushes, MAX_EVENT_BYTES / chunk.len());
    assert_eq!(splitter.push(&chunk), Err(UnfitEvent::TooLarge));
}

#[test]
fn an_end_that_arrives_byte_by_byte_is_found() {
    let mut splitter = EventSplitter::default();
    let text = b"id: 3\r\ndata: a\r\n\r\n";
    let found: Vec<Vec<u8>> =
        text.iter().filter_map(|byte| pushed(&mut splitter, &[*byte])).collect();
    assert_eq!((found, splitter.last_id()), (vec![text.to_vec()], Some(3)));
}

#[test]
fn incomplete_events_are_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), Ok(None));
    assert_eq!(pushed(&mut splitter, b"\nid: 2\nda"), Some(b"id: 1\ndata: a\n\n".to_vec()));
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.take_partial().as_deref(), Some(&b"id: 2\nda"[..]));
    assert_eq!(pushed(&mut splitter, b"id: 2\ndata: b\n\n"), Some(b"id: 2\ndata: b\n\n".to_vec()));
    assert_eq!(splitter.last_id(), Some(2));
    assert_eq!(splitter.take_remaining(), None);
}

#[test]
fn the_last_of_several_ids_is_recorded() {
    let mut splitter = EventSplitter::default();
    let events = b"id: 7\r\ndata: a\r\n\r\nx-version: 3\r\nid: 9\r\ndata: b\r\n\r\nid: 10";
    assert_eq!(pushed(&mut splitter, events).map(|events| events.len()), Some(events.len() - 6));
    assert_eq!(splitter.last_id(), Some(9));
    assert_eq!(splitter.take_remaining().as_deref(), Some(&b"id: 10"[..]));
}

#[parameterized(
    nothing = { "", false },
    empty_lines = { "\n\r\n", false },
    comment = { ": alive\n", false },
    unterminated_comment = { ": ali", true },
    unterminated_line = { "id: 3", true },
    terminated_line = { "id: 3\n", true },
    comment_and_line = { ": alive\r\ndata: x\r\n", true },
)]
fn an_end_inside_an_event_is_told_from_an_end_between_events(rest: &str, inside: bool) {
    let mut splitter = EventSplitter::default();
    pushed(&mut splitter, b"id: 2\ndata: a\n\n");
    assert_eq!(splitter.push(rest.as_bytes()).map(|_| splitter.is_inside_event()), Ok(inside));
}

#[parameterized(
    lf = { "id: 4\ndata: a\n\n" },
    crlf = { "id: 4\r\ndata: a\r\n\r\n" },
    cr = { "id: 4\rdata: a\r\r" },
    mixed = { "id: 4\ndata: a\n\r\n" },
)]
fn events_end_with_an_empty_line_of_any_kind(event: &str) {
    let mut splitter = EventSplitter::default();
    assert_eq!(pushed(&mut splitter, event.as_bytes()), Some(event.into()));
    assert_eq!((splitter.last_id(), splitter.is_inside_event()), (Some(4), false));
}

#[parameterized(
    next = { b"id: 3\ndata: a\n\n", Some(true) },
    later = { b"id: 7\r\ndata: a\r\n\r\n", Some(true) },
    after_a_comment = { b": a\n\nretry: 9\n\nid:3\rdata: a\r\r", Some(true) },
    same = { b"id: 2\ndata: a\n\nid: 3\ndata: b\n\n", Some(false) },
    earlier = { b"id: 1\ndata: a\n\n", Some(false) },
    without_an_id = { b"data: a\n\nid: 3\ndata: b\n\n", Some(false) },
    with_another_id = { b"id: x\ndata: a\n\n", Some(false) },
    inside_an_event = { b"ta: a\n\nid: 3\ndata: b\n\n", Some(false) },
    incomplete = { b"id: 3\ndata: a\n", None },
    comment = { b": a\n\n", None },
)]
fn only_an_event_after_the_last_one_goes_on(bytes: &[u8], goes_on: Option<bool>) {
    assert_eq!(check_first_event(bytes, Some(2)), goes_on);
    // The splitter decides the same, however the bytes are split.
    let mut splitter = EventSplitter::default();
    splitter.begin(Some(2));
    let is_refused = bytes.iter().any(|byte| splitter.push(&[*byte]).is_err());
    assert_eq!(is_refused, goes_on == Some(false));
    assert_eq!(splitter.last_id().is_some(), goes_on == Some(true));
}
