//! The events of an engine's answer.

use std::{borrow::Cow, str::FromStr as _, sync::Arc};

use godwitroad_base::{BuildName, RequestId};
use godwitroad_router::{AttemptReport, MAX_BUILD_BYTES, StreamOrigin};
use serde::Deserialize;

/// The fields that an attempt reads; the complete event is forwarded to the caller unchanged.
#[derive(Debug, Deserialize)]
struct EngineChunk<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    build: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    version: Option<Cow<'a, str>>,
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
    /// What the engine has stated in the events so far.
    origin: StreamOrigin,
    next_token: u64,
}

impl ChunkReader {
    /// Returns a reader for an answer that starts at token `next_token`.
    pub(super) fn new(request: RequestId, next_token: u64) -> ChunkReader {
        ChunkReader { request, origin: StreamOrigin::default(), next_token }
    }

    /// Parses an event's data.
    pub(super) fn read(&mut self, data: &str) -> Result<AttemptReport, ChunkError> {
        let chunk: EngineChunk<'_> =
            serde_json::from_str(data).map_err(|_| ChunkError::Malformed)?;
        if self.is_other_request(&chunk) {
            return Err(ChunkError::OtherRequest);
        }
        self.read_origin(&chunk)?;
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
        Ok(AttemptReport::Tokens {
            origin: self.origin.clone(),
            first,
            count,
            data: Arc::from(data),
            text: Arc::from(text),
        })
    }

    fn read_origin(&mut self, chunk: &EngineChunk<'_>) -> Result<(), ChunkError> {
        let StreamOrigin { build, weights } = &mut self.origin;
        if let Some(name) = chunk.build.as_deref() {
            if name.len() > MAX_BUILD_BYTES {
                return Err(ChunkError::Malformed);
            }
            // The names of an answer rarely change; they are shared by its events.
            if build.as_ref().map(BuildName::as_str) != Some(name) {
                *build = Some(name.into());
            }
        }
        if let Some(version) = chunk.version.as_deref()
            && weights.as_deref() != Some(version)
        {
            *weights = Some(version.into());
        }
        Ok(())
    }

    /// Engines that include the request id in their events reveal an answer to another request by it.
    fn is_other_request(&self, chunk: &EngineChunk<'_>) -> bool {
        let id = chunk.id.as_deref().unwrap_or("");
        let id = id.rsplit_once('-').map_or(id, |(_, id)| id);
        RequestId::from_str(id).is_ok_and(|id| id != self.request)
    }
}
