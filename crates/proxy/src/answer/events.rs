//! Splits a stream of server-sent events at event boundaries.
//!
//! A target may stop in the middle of an event. Only complete events are forwarded, so that another target can resume
//! after the last one.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Buffers the incomplete event at the end of a stream and records the id of the last complete event.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete, or `None` if there are none.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = find_last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the id of the last complete event that has one.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the incomplete event of a target that stopped.
    pub(super) fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the bytes after the last event boundary, at the end of a complete answer.
    pub(super) fn take_remaining(&mut self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.split().freeze())
    }
}

// Returns the position after the last empty line.
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
