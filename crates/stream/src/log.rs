//! The log of one stream.

use std::{collections::VecDeque, sync::Arc};

use crate::error::{Result, StreamError};

/// The bounds of a stream's log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The bytes of events that are kept for a caller who returns.
    pub replay_bytes: u64,
    /// The bytes that may wait for the caller before the engine is not read further.
    pub pause_bytes: u64,
    /// The bytes below which the engine is read again.
    pub continue_bytes: u64,
}

/// One event as the caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The position in the stream, counted from one.
    pub number: u64,
    /// The data.
    pub data: Arc<str>,
}

/// Tokens from one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenBatch {
    /// The attempt.
    pub attempt: u32,
    /// The position of the first token in the whole answer, counted from zero.
    pub first: u64,
    /// The number of tokens.
    pub count: u64,
    /// The event's data for the caller.
    pub data: Arc<str>,
    /// The text of the tokens, from which another engine goes on.
    pub text: Arc<str>,
}

/// What became of a batch of tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenOutcome {
    /// The tokens are next in order; the caller gets this event.
    Accepted(StreamEvent),
    /// The caller has these tokens already.
    Repeated,
    /// The tokens belong to an earlier attempt or came after the end.
    Stale,
    /// Tokens are missing before these, so the attempt can't be used any more.
    Gap,
}

/// The text with which another engine goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeText {
    /// The number of tokens in the text.
    pub tokens: u64,
    /// The text.
    pub text: Arc<str>,
}

/// The log of one stream.
#[derive(Debug)]
pub struct StreamLog {
    settings: LogSettings,
    attempt: u32,
    next_token: u64,
    text: String,
    events: VecDeque<StreamEvent>,
    memory_bytes: u64,
    newest: u64,
    waiting_bytes: u64,
    paused: bool,
    ended: bool,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { replay_bytes: 256 << 10, pause_bytes: 256 << 10, continue_bytes: 64 << 10 }
    }
}

impl StreamLog {
    /// Returns an empty log.
    pub fn new(settings: LogSettings) -> StreamLog {
        StreamLog {
            settings,
            attempt: 0,
            next_token: 0,
            text: String::new(),
            events: VecDeque::new(),
            memory_bytes: 0,
            newest: 0,
            waiting_bytes: 0,
            paused: false,
            ended: false,
        }
    }

    /// Makes `attempt` the current one; tokens of earlier attempts are stale from now on.
    ///
    /// Returns the text from which the attempt goes on, or `None` when nothing was sent so far.
    pub fn begin(&mut self, attempt: u32) -> Option<ResumeText> {
        self.attempt = attempt;
        (self.next_token > 0)
            .then(|| ResumeText { tokens: self.next_token, text: self.text.as_str().into() })
    }

    /// Takes tokens of an attempt.
    pub fn accept(&mut self, batch: TokenBatch) -> TokenOutcome {
        if batch.attempt != self.attempt || self.ended {
            return TokenOutcome::Stale;
        }
        let end = batch.first.saturating_add(batch.count);
        if end <= self.next_token && batch.count > 0 {
            return TokenOutcome::Repeated;
        }
        // A batch that only partly repeats can't be cut, as its data is opaque.
        if batch.first != self.next_token {
            return TokenOutcome::Gap;
        }
        self.next_token = end;
        self.text.push_str(&batch.text);
        TokenOutcome::Accepted(self.push(batch.data))
    }

    /// Ends the stream if `attempt` is the current one; returns whether it did.
    pub fn end(&mut self, attempt: u32) -> bool {
        let ends = attempt == self.attempt && !self.ended;
        self.ended |= ends;
        ends
    }

    /// Returns whether the stream has its explicit end.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of tokens that the caller was given.
    pub fn tokens(&self) -> u64 {
        self.next_token
    }

    /// Returns the bytes of memory that the log holds.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes + self.text.len() as u64
    }

    /// Returns the events after number `after`, for a caller who returns.
    ///
    /// # Errors
    ///
    /// Returns an error when the events are no longer held, or when `after` was never sent.
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

    /// Starts to count afresh what waits for the caller, after the caller has returned on a new connection.
    pub fn clear_pending(&mut self) {
        self.waiting_bytes = 0;
    }

    /// Records that `bytes` were given to the caller's connection and wait there.
    pub fn add_pending(&mut self, bytes: u64) {
        self.waiting_bytes += bytes;
    }

    /// Records that `bytes` have left for the caller.
    pub fn remove_pending(&mut self, bytes: u64) {
        self.waiting_bytes = self.waiting_bytes.saturating_sub(bytes);
    }

    /// Returns whether reading the engine has to stop or go on, when that has changed since the last call.
    pub fn take_pause_change(&mut self) -> Option<bool> {
        let wanted = if self.paused {
            self.waiting_bytes > self.settings.continue_bytes
        } else {
            self.waiting_bytes > self.settings.pause_bytes
        };
        let changed = wanted != self.paused;
        self.paused = wanted;
        changed.then_some(wanted)
    }

    fn push(&mut self, data: Arc<str>) -> StreamEvent {
        self.newest += 1;
        let event = StreamEvent { number: self.newest, data };
        self.memory_bytes += event.data.len() as u64;
        self.events.push_back(event.clone());
        while self.memory_bytes > self.settings.replay_bytes && self.events.len() > 1 {
            let dropped = self.events.pop_front();
            self.memory_bytes -= dropped.map_or(0, |event| event.data.len() as u64);
        }
        event
    }
}
