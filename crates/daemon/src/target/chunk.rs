//! The events of an engine's answer.

use std::{borrow::Cow, str::FromStr as _, sync::Arc};

use godwitroad_base::RequestId;
use godwitroad_router::AttemptReport;
use serde::Deserialize;

/// The fields that an attempt reads; the complete event is forwarded to the caller unchanged.
#[derive(Debug, Deserialize)]
struct EngineChunk<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    #[serde(default)]
    token_index: Option<u64>,
    #[serde(borrow, default)]
    choices: Vec<ChunkChoice<'a>>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice<'a> {
    #[serde(borrow, default)]
    delta: Option<ChunkDelta<'a>>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct ChunkDelta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Why an event cannot be part of the attempt's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChunkError {
    /// The data is not an engine's JSON.
    Malformed,
    /// The event belongs to another request.
    OtherRequest,
}

/// Tracks the token positions of an answer.
#[derive(Debug)]
pub(super) struct ChunkReader {
    request: RequestId,
    next_token: u64,
}

impl ChunkReader {
    /// Returns a reader for an answer that starts at token `next_token`.
    pub(super) fn new(request: RequestId, next_token: u64) -> ChunkReader {
        ChunkReader { request, next_token }
    }

    /// Parses an event's data.
    pub(super) fn read(&mut self, data: &str) -> Result<AttemptReport, ChunkError> {
        let chunk: EngineChunk<'_> =
            serde_json::from_str(data).map_err(|_| ChunkError::Malformed)?;
        if self.is_other_request(&chunk) {
            return Err(ChunkError::OtherRequest);
        }
        let text = chunk.choices.first().and_then(|choice| match &choice.delta {
            Some(delta) => delta.content.as_deref(),
            None => choice.text.as_deref(),
        });
        let text = text.unwrap_or("");
        // An event without text (a role, a finish reason, usage) has no token position.
        let count = u64::from(!text.is_empty());
        let first = match chunk.token_index {
            Some(index) if count > 0 => index,
            _ => self.next_token,
        };
        self.next_token = first.saturating_add(count);
        Ok(AttemptReport::Tokens { first, count, data: Arc::from(data), text: Arc::from(text) })
    }

    /// Engines that include the request id in their events reveal an answer to another request by it.
    fn is_other_request(&self, chunk: &EngineChunk<'_>) -> bool {
        let id = chunk.id.as_deref().unwrap_or("");
        let id = id.rsplit_once('-').map_or(id, |(_, id)| id);
        RequestId::from_str(id).is_ok_and(|id| id != self.request)
    }
}
