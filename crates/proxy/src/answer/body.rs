//! Reads the bodies of callers' requests.
//!
//! A body is buffered completely, as a request may be sent to a second target. Bodies within the operator's limit can together
//! exceed the memory of the process when many callers send them at once, so each takes its buffer from the budget for callers.
//! A large body takes all that it may become before it is read: bodies that took parts as they grew could together use up the
//! budget with none of them complete.

use std::{future::poll_fn, time::Duration};

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use godwitroad_base::ClockSpan;
use godwitroad_forward::CallerLimits;
use tokio::time::timeout;

use super::caller::UnreadableRequest;
use crate::{
    caller_activity::{end_request_body, read_more},
    caller_budget::{CallerBudget, HeldKind, HeldPart},
};

/// The size up to which a body doesn't count against the limit for large bodies.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The first size of the buffer for a body of unknown length.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// The time after which a caller should return whose body exceeds the budget; an upload takes about as long.
const RETRY_AFTER: ClockSpan = ClockSpan::from_ms(1_000);

type Result<T> = std::result::Result<T, UnreadableRequest>;

/// Reads a body whose size is `declared`, or not known in advance. The part of the budget has to be kept as long as the body.
///
/// # Errors
///
/// Returns an error if the body exceeds the operator's limit or the budget, is late or breaks off.
pub(super) async fn read_body(
    mut body: web::Payload,
    declared: Option<usize>,
    limits: &CallerLimits,
    budget: &CallerBudget,
) -> Result<(Bytes, Option<HeldPart>)> {
    let too_large = || {
        let reason = format!("the body is larger than {} bytes", limits.body_bytes);
        UnreadableRequest::new(413, "body_too_large", reason)
    };
    if declared.is_some_and(|length| length > limits.body_bytes) {
        return Err(too_large());
    }
    let mut buffer = BodyBuffer { received: BytesMut::new(), part: None };
    if let Some(length) = declared {
        buffer.reserve(length, budget).await?;
    }
    let read_timeout = Duration::from_millis(limits.idle_timeout.as_ms());
    loop {
        let Ok(chunk) = timeout(read_timeout, next_chunk(&mut body)).await else {
            let reason = "the body was not received in time".to_string();
            return Err(UnreadableRequest::new(408, "body_timeout", reason));
        };
        match chunk {
            None => {
                end_request_body();
                return Ok((buffer.received.freeze(), buffer.part));
            }
            Some(Ok(chunk)) if buffer.received.len() + chunk.len() <= limits.body_bytes => {
                buffer.grow(chunk.len(), limits, budget).await?;
                buffer.received.extend_from_slice(&chunk);
            }
            Some(Ok(_)) => return Err(too_large()),
            Some(Err(error)) => {
                return Err(UnreadableRequest::new(400, "body_broken", error.to_string()));
            }
        }
    }
}

// Returns the next bytes of a body, and has the connection read more when there are none.
async fn next_chunk(
    body: &mut web::Payload,
) -> Option<std::result::Result<Bytes, actix_web::error::PayloadError>> {
    poll_fn(|context| {
        let next = body.poll_next_unpin(context);
        if next.is_pending() {
            read_more();
        }
        next
    })
    .await
}

// What was received of a body, with the part of the budget that its buffer takes.
struct BodyBuffer {
    received: BytesMut,
    part: Option<HeldPart>,
}

impl BodyBuffer {
    // Makes room for further bytes. A small buffer doubles. A large one has the size of the largest body at once: pages that
    // aren't written take no memory, while copies into ever larger buffers do.
    async fn grow(
        &mut self,
        more: usize,
        limits: &CallerLimits,
        budget: &CallerBudget,
    ) -> Result<()> {
        let length = self.received.len() + more;
        if length <= self.received.capacity() {
            return Ok(());
        }
        let small = length.next_power_of_two().max(FIRST_BUFFER_BYTES);
        let size = if small <= SMALL_BODY_BYTES { small } else { limits.body_bytes };
        self.reserve(size, budget).await
    }

    // Replaces the buffer by one of `size` bytes.
    async fn reserve(&mut self, size: usize, budget: &CallerBudget) -> Result<()> {
        let kind = if size > SMALL_BODY_BYTES { HeldKind::Body } else { HeldKind::Other };
        self.part = None;
        let Some(part) = budget.take(kind, size).await else {
            budget.report_refusal("bodies_over_budget");
            let reason = format!("{size} bytes beside {}", budget.describe());
            return Err(UnreadableRequest {
                retry_after: Some(RETRY_AFTER),
                ..UnreadableRequest::new(503, "bodies_over_budget", reason)
            });
        };
        self.part = Some(part);
        let mut larger = BytesMut::with_capacity(size);
        larger.extend_from_slice(&self.received);
        self.received = larger;
        Ok(())
    }
}
