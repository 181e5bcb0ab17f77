//! Answers that are held until their callers have read them.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::{
    caller_activity::AnswerCover,
    caller_budget::{HeldPart, covers_waiting},
};

/// The bytes that the HTTP service gets at a time. It copies what it gets into its own buffer, which mustn't become as large as
/// the answer.
const PART_BYTES: usize = 16 << 10;

/// The body of an answer that was read to its end, with what it takes of the budget for callers.
pub(super) struct HeldAnswer {
    rest: Bytes,
    is_unframed: bool,
    // Freed before the connection counts what waits of the answer itself.
    _held: HeldPart,
    _cover: Option<AnswerCover>,
}

impl HeldAnswer {
    /// Returns the body of an answer to the request of the current task. `is_unframed` says that it has no declared length.
    pub(super) fn new(rest: Bytes, held: HeldPart, is_unframed: bool) -> HeldAnswer {
        let cover = covers_waiting(rest.len()).then(AnswerCover::begin);
        HeldAnswer { rest, is_unframed, _held: held, _cover: cover }
    }
}

impl MessageBody for HeldAnswer {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        if self.is_unframed { BodySize::Stream } else { BodySize::Sized(self.rest.len() as u64) }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}
