//! Splits a stream into whole events.
//!
//! A target may stop in the middle of an event. Only whole events are passed on, so that another target can go on
//! after the last one.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Bytes of a stream that don't yet make up whole events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the whole events up to now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = find_last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the id of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops the beginning of an event whose target stopped.
    pub(super) fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns what is left at the end of a complete answer.
    pub(super) fn take_remaining(&mut self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.split().freeze())
    }
}

// The position after the last empty line.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let plain = memmem::rfind(buffer, b"\n\n").map(|at| at + 2);
    let crlf = memmem::rfind(buffer, b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

fn find_last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

#[cfg(test)]
#[path = "../../tests/unit/events.rs"]
mod tests;
