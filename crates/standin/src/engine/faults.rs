//! Fault switches of an engine.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A fault of one answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// The answer is as it should be; it lets a queue of faults skip a request.
    None,
    /// The connection breaks.
    Die {
        /// The number of tokens that are sent before.
        after_tokens: u64,
    },
    /// No more tokens come, and the connection stays open.
    Stall {
        /// The number of tokens that are sent before.
        after_tokens: u64,
    },
    /// The answer ends in an orderly way without a final event.
    Truncate {
        /// The number of tokens that are sent before.
        after_tokens: u64,
    },
    /// The whole answer is sent twice.
    Twice,
    /// The events carry the id of another request.
    WrongId,
    /// The engine says that it took no part of the request.
    Refuse,
    /// The connection ends without an answer before the request runs.
    HangUp,
}

/// The faults of an engine; the default has none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Whether all connections end without an answer.
    pub down: bool,
    /// The faults of the next answers, one for each request.
    pub answers: VecDeque<AnswerFault>,
    /// The number of cache events that are lost from now on, which leaves a gap in the sequence numbers.
    pub lose_events: u32,
    /// The factor by which prefill and tokens are slower; zero and one mean none.
    pub slow_factor: u32,
}
