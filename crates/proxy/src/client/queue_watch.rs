//! Decides for how long a connection's bytes may stay unacknowledged, from what the system reports of its send queue.
//!
//! Linux applies the time limit to a full receive window too, even if the peer's machine acknowledges each probe of the
//! window. So while bytes wait for a full window, the limit is moved to a fixed time after the last acknowledgment. It isn't
//! lifted, as Linux sends the next probe at the limit at the latest; without one, the time between probes would double each
//! time, and a lost machine would be noticed late.
//!
//! The system counts from the first probe since the window last was wide open, which it doesn't report. The limit is therefore
//! set as if that was the first probe of all. A machine that is lost later would be noticed too late by it, so this is decided
//! here.

use godwitroad_base::{ClockSpan, ClockTime};

/// The time after the last byte sent for which the connection counts as in use.
const USE_TIME: ClockSpan = ClockSpan::from_ms(1_000);

/// The shortest time for which bytes or a probe stay unanswered before the connection is given up here. It is longer than any
/// round trip, and a sound machine may be unreachable for this long.
const UNANSWERED_TIME: ClockSpan = ClockSpan::from_ms(1_000);

/// The longest time limit. A process that reads nothing for this long has stopped working, though its machine answers.
const MAX_TIMEOUT: ClockSpan = ClockSpan::from_secs(600);

/// What the system reports of a connection's send queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct QueueState {
    /// Whether sent bytes are unacknowledged.
    pub(super) has_unacknowledged_bytes: bool,
    /// Whether a probe of the full window is unanswered.
    pub(super) has_unanswered_probe: bool,
    /// Whether the last bytes were sent again, or the full window was probed, without progress since.
    pub(super) is_retrying: bool,
    pub(super) since_acknowledgment: ClockSpan,
    pub(super) since_sent: ClockSpan,
}

/// The time limit of a connection, by the states of its send queue so far.
#[derive(Debug)]
pub(super) struct QueueWatch {
    // The time limit after the last acknowledgment.
    timeout: ClockSpan,
    last_look: ClockTime,
    unanswered_since: Option<ClockTime>,
    retransmitting_since: Option<ClockTime>,
    probing_since: Option<ClockTime>,
}

impl QueueWatch {
    /// Returns the watch of a connection that was opened at `now`.
    pub(super) fn new(timeout: ClockSpan, now: ClockTime) -> QueueWatch {
        QueueWatch {
            timeout,
            last_look: now,
            unanswered_since: None,
            retransmitting_since: None,
            probing_since: None,
        }
    }

    /// Returns whether the window was full before, so that the time limit must be in force soon after bytes are sent.
    pub(super) fn was_probing(&self) -> bool {
        self.probing_since.is_some()
    }

    /// Returns the time limit to set, or `None` if the other machine is lost.
    pub(super) fn timeout(&mut self, now: ClockTime, state: QueueState) -> Option<ClockSpan> {
        let acknowledged_ms = now.as_ms().saturating_sub(state.since_acknowledgment.as_ms());
        let acknowledged = ClockTime::from_ms(acknowledged_ms);
        let is_unanswered = self.is_unanswered(now, acknowledged, state);
        let answered =
            self.retry_start(now, state).map_or(ClockSpan::ZERO, |start| acknowledged.since(start));
        if answered == ClockSpan::ZERO {
            return Some(self.timeout);
        }
        let is_lost = is_unanswered && state.since_acknowledgment >= self.timeout;
        let timeout = ClockSpan::from_ms(self.timeout.as_ms() + answered.as_ms());
        (!is_lost).then_some(timeout.min(MAX_TIMEOUT))
    }

    fn is_unanswered(
        &mut self,
        now: ClockTime,
        acknowledged: ClockTime,
        state: QueueState,
    ) -> bool {
        let is_waiting = state.has_unacknowledged_bytes || state.has_unanswered_probe;
        self.unanswered_since =
            self.unanswered_since.filter(|since| is_waiting && acknowledged <= *since);
        if is_waiting {
            self.unanswered_since.get_or_insert(now);
        }
        self.unanswered_since.is_some_and(|since| now.since(since) >= UNANSWERED_TIME)
    }

    // Returns a time that isn't later than the one from which the system counts.
    fn retry_start(&mut self, now: ClockTime, state: QueueState) -> Option<ClockTime> {
        let last_look = std::mem::replace(&mut self.last_look, now);
        if state.is_retrying && state.has_unacknowledged_bytes {
            return Some(*self.retransmitting_since.get_or_insert(last_look));
        }
        self.retransmitting_since = None;
        if state.is_retrying {
            self.probing_since.get_or_insert(last_look);
        }
        let is_used =
            state.is_retrying || state.has_unacknowledged_bytes || state.since_sent < USE_TIME;
        self.probing_since.filter(|_| is_used)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/queue_watch.rs"]
mod tests;
