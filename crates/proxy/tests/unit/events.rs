//! Tests that complete events are forwarded and incomplete ones are buffered.

use super::EventSplitter;

#[test]
fn incomplete_events_are_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), None);
    assert_eq!(splitter.push(b"\nid: 2\nda").as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n").as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(2));
    assert_eq!(splitter.take_remaining(), None);
}

#[test]
fn the_last_of_several_ids_is_recorded() {
    let mut splitter = EventSplitter::default();
    let events = b"id: 7\r\ndata: a\r\n\r\nx-version: 3\r\nid: 9\r\ndata: b\r\n\r\nid: 10";
    assert_eq!(splitter.push(events).map(|events| events.len()), Some(events.len() - 6));
    assert_eq!(splitter.last_id(), Some(9));
    assert_eq!(splitter.take_remaining().as_deref(), Some(&b"id: 10"[..]));
}
