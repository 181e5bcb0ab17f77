//! The connection of one caller, from its request to the end of its answer.

use std::{
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use actix_web::{HttpResponse, HttpResponseBuilder};
use godwitroad_base::RequestId;
use godwitroad_router::{CallerError, CallerReply};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{CallerContext, error_response};
use crate::{
    event_loop::{CallerItem, LoopInput},
    telemetry::HopSpan,
};

/// The receiving end of an answer; dropping it before the end reports that the caller disconnected.
pub(super) struct CallerLink {
    context: Arc<CallerContext>,
    connection: u64,
    items: UnboundedReceiver<CallerItem>,
    id: Option<RequestId>,
    ended: bool,
    arrived: Instant,
    span: HopSpan,
}

impl CallerLink {
    pub(super) fn new(
        context: Arc<CallerContext>,
        connection: u64,
        items: UnboundedReceiver<CallerItem>,
        span: HopSpan,
    ) -> CallerLink {
        let arrived = Instant::now();
        CallerLink { context, connection, items, id: None, ended: false, arrived, span }
    }

    pub(super) fn context(&self) -> &CallerContext {
        &self.context
    }

    pub(super) fn id(&self) -> Option<RequestId> {
        self.id
    }

    /// Returns the next part of the answer, or `None` if the event loop dropped the connection.
    pub(super) async fn next(&mut self) -> Option<CallerReply> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    pub(super) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<CallerReply>> {
        loop {
            match self.items.poll_recv(context) {
                Poll::Ready(Some(CallerItem::Accepted(id))) => {
                    self.id = Some(id);
                    self.span.set_request_id(id);
                }
                Poll::Ready(Some(CallerItem::Reply(reply))) => {
                    self.record_reply(&reply);
                    return Poll::Ready(Some(reply));
                }
                Poll::Ready(None) => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Records the time from the arrival of the request to the first part of the answer.
    pub(super) fn record_first_part(&self) {
        self.context.telemetry.time("caller.first_part_us", self.arrived.elapsed());
    }

    /// Adds the request's id to a response.
    pub(super) fn insert_request_id(&self, response: &mut HttpResponseBuilder) {
        if let Some(id) = self.id {
            response.insert_header(("x-request-id", id.to_string()));
        }
    }

    pub(super) fn error_response(&self, error: &CallerError) -> HttpResponse {
        error_response(error, self.id)
    }

    fn record_reply(&mut self, reply: &CallerReply) {
        match reply {
            CallerReply::End => {
                self.ended = true;
                self.context.telemetry.count("caller.ended");
            }
            CallerReply::Failed(error) => {
                self.ended = true;
                self.context.telemetry.count_caller_error(error.kind);
                self.span.mark_failed();
            }
            CallerReply::Header { .. } | CallerReply::Data(_) | CallerReply::Event { .. } => {}
        }
    }
}

impl Drop for CallerLink {
    fn drop(&mut self) {
        if !self.ended {
            self.context.telemetry.count("caller.left");
            self.context.event_loop.send(LoopInput::Disconnected { connection: self.connection });
        }
    }
}
