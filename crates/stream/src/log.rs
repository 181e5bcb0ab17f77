//! The event log of one streamed answer.
//!
//! The log numbers the events, keeps the newest of them for callers that reconnect, and keeps the complete text so
//! that another engine can continue it. It also counts the bytes that are pending on the caller's connection, which
//! decides when the router pauses reading from the engine.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    error::{Result, StreamError},
    origin::StreamOrigin,
};

/// The size limits of a stream log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The maximum size of the events that are kept for a caller that reconnects. The newest event is always kept.
    pub max_replay_bytes: u64,
    /// The number of pending bytes above which reading from the engine pauses.
    pub pause_threshold_bytes: u64,
    /// The number of pending bytes at or below which reading from the engine resumes.
    pub resume_threshold_bytes: u64,
}

/// One event as it is sent to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The position of the event in the stream, counted from one.
    pub number: u64,
    /// The data of the event.
    pub data: Arc<str>,
}

/// Consecutive tokens received from one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenBatch {
    /// The number of the attempt that produced the tokens.
    pub attempt: u32,
    /// What the engine of the attempt runs.
    pub origin: StreamOrigin,
    /// The position of the first token in the complete answer, counted from zero.
    pub first: u64,
    /// The number of tokens in the batch.
    pub count: u64,
    /// The data of the event that the caller receives for these tokens.
    pub data: Arc<str>,
    /// The text of the tokens, needed if another engine has to continue the answer.
    pub text: Arc<str>,
}

/// The result of adding a batch of tokens to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// The tokens are next in order and were added as this event.
    Accepted(StreamEvent),
    /// All of these tokens are already in the log.
    Repeated,
    /// The tokens belong to an earlier attempt, or the stream has already ended.
    Stale,
    /// The tokens come from an engine that can't continue the stream, so the attempt can no longer be used.
    Foreign,
    /// The batch doesn't start at the next expected token, so the attempt can no longer be used.
    Gap,
}

/// The text that another engine has to continue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeText {
    /// The number of tokens in the text.
    pub tokens: u64,
    /// The text of all tokens in the log.
    pub text: Arc<str>,
}

/// The event log of one streamed answer.
#[derive(Debug)]
pub struct StreamLog {
    settings: LogSettings,
    attempt: u32,
    /// What the engine runs that began the stream, and the attempt whose events state it.
    origin: Option<(StreamOrigin, u32)>,
    next_token: u64,
    text: String,
    events: VecDeque<StreamEvent>,
    event_bytes: u64,
    newest: u64,
    pending_bytes: u64,
    paused: bool,
    ended: bool,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            max_replay_bytes: 256 << 10,
            pause_threshold_bytes: 256 << 10,
            resume_threshold_bytes: 64 << 10,
        }
    }
}

impl StreamLog {
    /// Returns an empty log.
    pub fn new(settings: LogSettings) -> StreamLog {
        StreamLog {
            settings,
            attempt: 0,
            origin: None,
            next_token: 0,
            text: String::new(),
            events: VecDeque::new(),
            event_bytes: 0,
            newest: 0,
            pending_bytes: 0,
            paused: false,
            ended: false,
        }
    }

    /// Makes `attempt` the current attempt; tokens of earlier attempts are stale from now on.
    ///
    /// Returns the text that the attempt has to continue, or `None` if the log has no tokens yet.
    pub fn begin(&mut self, attempt: u32) -> Option<ResumeText> {
        self.attempt = attempt;
        (self.next_token > 0)
            .then(|| ResumeText { tokens: self.next_token, text: self.text.as_str().into() })
    }

    /// Adds a batch of tokens if it belongs to the current attempt and is next in order.
    pub fn accept(&mut self, batch: TokenBatch) -> TokenOutcome {
        if batch.attempt != self.attempt || self.ended {
            return TokenOutcome::Stale;
        }
        if !self.admits(&batch) {
            return TokenOutcome::Foreign;
        }
        let end = batch.first.saturating_add(batch.count);
        if end <= self.next_token && batch.count > 0 {
            return TokenOutcome::Repeated;
        }
        // A batch that overlaps the log only in part can't be split, because its data is opaque.
        if batch.first != self.next_token {
            return TokenOutcome::Gap;
        }
        if self.origin.as_ref().is_none_or(|(origin, _)| *origin != batch.origin) {
            self.origin = Some((batch.origin, batch.attempt));
        }
        self.next_token = end;
        self.text.push_str(&batch.text);
        TokenOutcome::Accepted(self.push(batch.data))
    }

    /// Returns whether the engine of a batch may write this stream.
    ///
    /// Within the attempt that began it, later events may state what the earlier ones left open.
    fn admits(&self, batch: &TokenBatch) -> bool {
        self.origin.as_ref().is_none_or(|(origin, attempt)| {
            *origin == batch.origin
                || *attempt == batch.attempt && origin.is_refined_by(&batch.origin)
        })
    }

    /// Returns what an engine must run to continue the stream, or `None` before the first event.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref().map(|(origin, _)| origin)
    }

    /// Ends the stream if `attempt` is the current attempt and the stream has not ended; returns whether it did.
    pub fn end(&mut self, attempt: u32) -> bool {
        let is_end = attempt == self.attempt && !self.ended;
        self.ended |= is_end;
        is_end
    }

    /// Returns whether the current attempt has ended the stream.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of tokens in the answer so far.
    pub fn tokens(&self) -> u64 {
        self.next_token
    }

    /// Returns the size of the kept events and of the answer's text in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.event_bytes + self.text.len() as u64
    }

    /// Returns the events after number `after`, for a caller that reconnects.
    ///
    /// # Errors
    ///
    /// Returns an error if some of these events are no longer in the log, or if event `after` was never sent.
    pub fn replay(&self, after: u64) -> Result<impl Iterator<Item = &StreamEvent>> {
        if after > self.newest {
            return Err(StreamError::EventsUnknown { after, newest: self.newest });
        }
        let oldest = self.newest + 1 - self.events.len() as u64;
        if after + 1 < oldest {
            return Err(StreamError::EventsDropped { after, oldest });
        }
        Ok(self.events.iter().skip((after + 1 - oldest) as usize))
    }

    /// Resets the number of pending bytes to zero, after the caller has reconnected.
    pub fn clear_pending(&mut self) {
        self.pending_bytes = 0;
    }

    /// Records that `bytes` were queued on the caller's connection.
    pub fn add_pending(&mut self, bytes: u64) {
        self.pending_bytes += bytes;
    }

    /// Records that `bytes` of the queued data were sent to the caller.
    pub fn remove_pending(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    /// Updates the pause state from the number of pending bytes.
    ///
    /// Returns `Some(true)` if reading from the engine has to pause, `Some(false)` if it has to resume, and `None` if
    /// nothing has changed since the last call. The two thresholds differ so that the state doesn't change with every
    /// event.
    pub fn take_pause_change(&mut self) -> Option<bool> {
        let should_pause = if self.paused {
            self.pending_bytes > self.settings.resume_threshold_bytes
        } else {
            self.pending_bytes > self.settings.pause_threshold_bytes
        };
        let changed = should_pause != self.paused;
        self.paused = should_pause;
        changed.then_some(should_pause)
    }

    /// Returns whether reading from the engine is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    fn push(&mut self, data: Arc<str>) -> StreamEvent {
        self.newest += 1;
        let event = StreamEvent { number: self.newest, data };
        self.event_bytes += event.data.len() as u64;
        self.events.push_back(event.clone());
        while self.event_bytes > self.settings.max_replay_bytes && self.events.len() > 1 {
            let dropped = self.events.pop_front();
            self.event_bytes -= dropped.map_or(0, |event| event.data.len() as u64);
        }
        event
    }
}
