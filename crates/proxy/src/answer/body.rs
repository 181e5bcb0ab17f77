//! Reads the bodies of callers' requests.
//!
//! A body is buffered completely, as a request may be sent to a second target. Bodies within the operator's limit can together
//! exceed the memory of the process when many callers send large ones at once, so large bodies take their size from a budget,
//! before they are read.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use godwitroad_base::ClockSpan;
use godwitroad_forward::CallerLimits;
use tokio::time::timeout;

use super::caller::UnreadableRequest;

/// The size up to which a body is read whatever other callers send.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The time after which a caller should return whose body exceeds the budget; an upload takes about as long.
const RETRY_AFTER: ClockSpan = ClockSpan::from_ms(1_000);

/// The memory for the large bodies of all requests.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

/// A part of a [`BodyBudget`] that is in use until it is dropped.
#[derive(Debug, Default)]
pub(super) struct BodyShare {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBudget {
    /// Returns a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> BodyBudget {
        BodyBudget { limit, used: Rc::default() }
    }

    // Returns a share for a body of `bytes`, or `None` if the rest of the budget is too small. Small bodies need no share.
    fn take(&self, bytes: usize) -> Option<BodyShare> {
        if bytes <= SMALL_BODY_BYTES {
            return Some(BodyShare::default());
        }
        let used = self.used.get() + bytes;
        if used > self.limit {
            return None;
        }
        self.used.set(used);
        Some(BodyShare { used: self.used.clone(), bytes })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}

type Result<T> = std::result::Result<T, UnreadableRequest>;

/// Reads a body whose size is `declared`, or not known in advance. The share has to be kept as long as the body.
///
/// # Errors
///
/// Returns an error if the body exceeds the operator's limit or the budget, is late or breaks off.
pub(super) async fn read_body(
    mut body: web::Payload,
    declared: Option<usize>,
    limits: &CallerLimits,
    budget: &BodyBudget,
) -> Result<(Bytes, BodyShare)> {
    let too_large = || {
        let reason = format!("the body is larger than {} bytes", limits.body_bytes);
        UnreadableRequest::new(413, "body_too_large", reason)
    };
    if declared.is_some_and(|length| length > limits.body_bytes) {
        return Err(too_large());
    }
    // A body in chunks may become as large as the limit.
    let mut share = take_share(budget, declared.unwrap_or(0))?;
    let mut received = BytesMut::with_capacity(declared.unwrap_or(0).min(SMALL_BODY_BYTES));
    let read_timeout = Duration::from_millis(limits.idle_timeout.as_ms());
    loop {
        let Ok(chunk) = timeout(read_timeout, body.next()).await else {
            let reason = "the body was not received in time".to_string();
            return Err(UnreadableRequest::new(408, "body_timeout", reason));
        };
        match chunk {
            None => return Ok((received.freeze(), share)),
            Some(Ok(chunk)) if received.len() + chunk.len() <= limits.body_bytes => {
                if declared.is_none()
                    && received.len() + chunk.len() > SMALL_BODY_BYTES
                    && share.bytes == 0
                {
                    share = take_share(budget, limits.body_bytes)?;
                }
                received.extend_from_slice(&chunk);
            }
            Some(Ok(_)) => return Err(too_large()),
            Some(Err(error)) => {
                return Err(UnreadableRequest::new(400, "body_broken", error.to_string()));
            }
        }
    }
}

fn take_share(budget: &BodyBudget, bytes: usize) -> Result<BodyShare> {
    budget.take(bytes).ok_or_else(|| {
        let reason = format!("{bytes} bytes beside {} of {}", budget.used.get(), budget.limit);
        UnreadableRequest {
            retry_after: Some(RETRY_AFTER),
            ..UnreadableRequest::new(503, "bodies_over_budget", reason)
        }
    })
}
