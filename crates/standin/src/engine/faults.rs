//! Faults that can be injected into an engine.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A fault that affects one answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// No fault; it makes a queue of faults skip a request.
    None,
    /// The connection closes in the middle of the answer.
    Die {
        /// The number of tokens that are sent before the fault.
        after_tokens: u64,
    },
    /// The engine stops sending tokens and keeps the connection open.
    Stall {
        /// The number of tokens that are sent before the fault.
        after_tokens: u64,
    },
    /// The response body ends regularly, but without the final event.
    Truncate {
        /// The number of tokens that are sent before the fault.
        after_tokens: u64,
    },
    /// The complete answer is sent twice.
    Twice,
    /// The events carry the id of another request.
    WrongId,
    /// The engine rejects the request and states that it did not run it.
    Refuse,
    /// The connection closes without an answer before the request runs.
    HangUp,
}

/// The active faults of an engine; the default has none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Whether the engine closes all connections without an answer.
    pub down: bool,
    /// The faults of the next answers; each request takes one.
    pub answers: VecDeque<AnswerFault>,
    /// The number of upcoming cache events that are lost, which leaves a gap in the sequence numbers.
    pub lose_events: u32,
    /// The factor by which prefill and token generation are slowed down; zero and one have no effect.
    pub slow_factor: u32,
}
