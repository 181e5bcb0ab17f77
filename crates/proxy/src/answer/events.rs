//! Splits a stream of server-sent events at event boundaries.
//!
//! A target may stop in the middle of an event. Only complete events are forwarded, so that another target can resume
//! after the last one. Ids increase, so that one that doesn't is no continuation.

use std::iter;

use bytes::{Bytes, BytesMut};
use godwitroad_forward::AnswerPhase;
use memchr::{memchr2, memmem};

/// The limit of an incomplete event, in bytes. Beyond it, the bytes of a target are no events, and buffering them would
/// take memory without bound.
pub(super) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a target's bytes are no part of the stream.
#[derive(Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum UnfitEvent {
    /// More than [`MAX_EVENT_BYTES`] complete no event.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event doesn't come after the last one that the caller has received.
    #[error("the first event doesn't come after the last one received")]
    NoContinuation,
}

/// A `Result` with an [`UnfitEvent`].
type Result<T> = std::result::Result<T, UnfitEvent>;

/// Buffers the incomplete event at the end of a stream and records the id of the last complete event.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
    // The id after which the current target has to go on, until its first event.
    resume: Option<u64>,
    // Whether the last complete event has no id.
    is_unnumbered: bool,
    // How often the current target's bytes have completed events.
    completions: u64,
}

impl EventSplitter {
    /// Begins the part of a target, which has to go on after the event `resume`.
    pub(super) fn begin(&mut self, resume: Option<u64>) {
        self.resume = resume;
    }

    /// Adds bytes and returns the events that are now complete, or `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event at the end exceeds [`MAX_EVENT_BYTES`], or if the events don't go on where they
    /// should.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        // An event can end only in the new bytes or across their start.
        let searched = self.buffer.len().saturating_sub(EVENT_END_BYTES - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.buffer[searched..]) else {
            let is_too_large = self.buffer.len() > MAX_EVENT_BYTES;
            return if is_too_large { Err(UnfitEvent::TooLarge) } else { Ok(None) };
        };
        let events = self.buffer.split_to(searched + end).freeze();
        if let Some(resume) = self.resume
            && let Some(first) = event_ids(&events).next()
        {
            if first.is_none_or(|id| id <= resume) {
                return Err(UnfitEvent::NoContinuation);
            }
            self.resume = None;
        }
        self.completions += 1;
        if let Some(last) = event_ids(&events).last() {
            self.is_unnumbered = last.is_none();
        }
        self.last_id = event_ids(&events).flatten().last().or(self.last_id);
        Ok(Some(events))
    }

    /// Returns the id of the last complete event that has one.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether another target can be told where to go on.
    pub(super) fn is_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Returns whether the current target has to go on with a stream of which the caller has received events in this answer, and
    /// hasn't yet.
    pub(super) fn awaits_continuation(&self) -> bool {
        self.resume.is_some() && self.last_id.is_some()
    }

    /// Returns the number of bytes after the last event boundary.
    pub(super) fn remaining_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the current target has sent a complete event.
    pub(super) fn has_event(&self) -> bool {
        self.completions > 0
    }

    /// Returns whether the last bytes were the first after the beginning of the current target's answer.
    pub(super) fn has_just_gone_on(&self) -> bool {
        self.completions == 2
    }

    /// Returns how far the answer of the current target has come. Its first bytes with complete events are still its
    /// beginning.
    pub(super) fn phase(&self) -> AnswerPhase {
        if self.completions > 1 { AnswerPhase::Continuing } else { AnswerPhase::Beginning }
    }

    /// Takes the incomplete event of a target that stopped. The next bytes are those of another target.
    pub(super) fn take_partial(&mut self) -> Option<Bytes> {
        self.completions = 0;
        // Before its first event, a target that has to go on may have sent anything.
        let is_partial = self.resume.take().is_none() && self.is_inside_event();
        self.take_remaining().filter(|_| is_partial)
    }

    /// Returns whether the bytes after the last event boundary belong to an incomplete event. Empty lines and comments are
    /// no part of an event.
    pub(super) fn is_inside_event(&self) -> bool {
        let mut lines = self.buffer[..].split(|byte| matches!(byte, b'\n' | b'\r'));
        let unterminated = lines.next_back().unwrap_or_default();
        !unterminated.is_empty() || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// Returns the bytes after the last event boundary, at the end of a complete answer.
    pub(super) fn take_remaining(&mut self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.split().freeze())
    }
}

/// The byte sequences that end an event: an empty line after a line that ends with CR, LF or CRLF.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// The length of the longest byte sequence that ends an event.
const EVENT_END_BYTES: usize = 3;

/// Returns whether the first bytes of a stream contain a complete event, and if they do, whether it comes after the event
/// `resume`.
pub(super) fn check_first_event(bytes: &[u8], resume: Option<u64>) -> Option<bool> {
    let end = end_of_events(bytes)?;
    let Some(resume) = resume else { return Some(true) };
    let first = event_ids(&bytes[..end]).next()?;
    Some(first.is_some_and(|id| id > resume))
}

// Returns the position after the last empty line.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let ends = EVENT_ENDS.iter().map(|end| memmem::rfind(buffer, end).map(|at| at + end.len()));
    ends.max().flatten()
}

// Returns the id of each event, as far as it has one. Blocks without a field that reaches the caller's program are no events.
fn event_ids(events: &[u8]) -> impl Iterator<Item = Option<u64>> {
    let mut id = None;
    let mut has_field = false;
    lines(events).filter_map(move |line| {
        if line.is_empty() {
            return std::mem::take(&mut has_field).then(|| id.take());
        }
        if let Some(text) = line.strip_prefix(b"id:") {
            id = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse().ok());
        }
        has_field |= !line.starts_with(b":") && !line.starts_with(b"retry:");
        None
    })
}

// Returns the complete lines, which end with CR, LF or CRLF.
fn lines(mut rest: &[u8]) -> impl Iterator<Item = &[u8]> {
    iter::from_fn(move || {
        let end = memchr2(b'\n', b'\r', rest)?;
        let (line, after) = (&rest[..end], &rest[end..]);
        rest = after.strip_prefix(b"\r\n").unwrap_or(&after[1..]);
        Some(line)
    })
}

#[cfg(test)]
#[path = "../../tests/unit/events.rs"]
mod tests;
