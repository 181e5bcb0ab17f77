//! The table of connections and the requests whose answers they wait for.

use std::{collections::HashMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, RequestId};
use godwitroad_router::CallerReply;
use tokio::sync::mpsc::UnboundedSender;

use super::CallerItem;
use crate::intake::CallerRequest;

/// How long the body of a request without a caller is kept.
///
/// It is far above the grace period for a caller to reconnect (5 s). A limit is needed because the router's state does
/// not report the end of such a request.
const ORPHAN_RETENTION: ClockSpan = ClockSpan::from_secs(60);

/// A connection that waits for an answer.
#[derive(Debug)]
pub(super) struct CallerConnection {
    pub(super) connection: u64,
    pub(super) items: UnboundedSender<CallerItem>,
}

#[derive(Debug)]
struct CallerEntry {
    /// The body and head, for further attempts.
    request: Option<Arc<CallerRequest>>,
    /// The connection that receives the answer.
    active: Option<CallerConnection>,
    /// The connection that a reconnecting caller replaces, kept until the reconnection is known to succeed.
    replaced: Option<CallerConnection>,
    /// When the last connection of the caller closed.
    disconnected_at: Option<ClockTime>,
}

/// All connections that wait for answers. The maps are never iterated where order could reach an action.
#[derive(Debug, Default)]
pub(super) struct CallerTable {
    /// Connections whose request has no id yet.
    waiting: HashMap<u64, (CallerConnection, Arc<CallerRequest>)>,
    /// The request of each connection that was accepted.
    connections: HashMap<u64, RequestId>,
    entries: HashMap<RequestId, CallerEntry>,
    /// The requests to which a caller reconnected during the current event.
    resumed: Vec<RequestId>,
}

impl CallerTable {
    /// Keeps a connection until its request has an id.
    pub(super) fn add_waiting(&mut self, caller: CallerConnection, request: Arc<CallerRequest>) {
        self.waiting.insert(caller.connection, (caller, request));
    }

    /// Binds a connection to the id of its request.
    pub(super) fn accept(&mut self, connection: u64, id: RequestId) {
        let Some((caller, request)) = self.waiting.remove(&connection) else { return };
        // A closed channel means that the caller has disconnected; its `Disconnected` input follows.
        let _ = caller.items.send(CallerItem::Accepted(id));
        self.connections.insert(connection, id);
        match self.entries.get_mut(&id) {
            Some(entry) => {
                entry.replaced = entry.active.replace(caller);
                self.resumed.push(id);
            }
            None => {
                let (request, active) = (Some(request), Some(caller));
                self.entries.insert(
                    id,
                    CallerEntry { request, active, replaced: None, disconnected_at: None },
                );
            }
        }
    }

    /// Sends a part of the answer to the caller.
    pub(super) fn reply(&mut self, id: RequestId, reply: CallerReply) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let is_last = matches!(reply, CallerReply::End | CallerReply::Failed(_));
        if let Some(caller) = &entry.active {
            let _ = caller.items.send(CallerItem::Reply(reply));
        }
        if !is_last {
            return;
        }
        if let Some(caller) = entry.active.take() {
            self.connections.remove(&caller.connection);
        }
        // A refused reconnection (for example, with another key) must not end the stream of the original caller.
        entry.active = entry.replaced.take();
        if entry.active.is_none() && !self.resumed.contains(&id) {
            self.entries.remove(&id);
        }
    }

    /// Returns the body and head of a request.
    pub(super) fn request(&self, id: RequestId) -> Option<Arc<CallerRequest>> {
        self.entries.get(&id)?.request.clone()
    }

    /// Removes a closed connection; returns its request if the connection was still the one that received the answer.
    pub(super) fn disconnect(&mut self, connection: u64, now: ClockTime) -> Option<RequestId> {
        self.waiting.remove(&connection);
        let id = self.connections.remove(&connection)?;
        let entry = self.entries.get_mut(&id)?;
        entry.active.take_if(|caller| caller.connection == connection)?;
        entry.disconnected_at = Some(now);
        Some(id)
    }

    /// Completes the handling of one event: makes reconnections final and removes an ended request without a caller.
    pub(super) fn finish_event(&mut self, ended: Option<RequestId>) {
        for id in self.resumed.drain(..) {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            if entry.active.is_some() {
                entry.disconnected_at = None;
            }
            if let Some(caller) = entry.replaced.take() {
                self.connections.remove(&caller.connection);
            }
        }
        if let Some(id) = ended
            && self.entries.get(&id).is_some_and(|entry| entry.active.is_none())
        {
            self.entries.remove(&id);
        }
    }

    /// Drops requests whose caller disconnected more than [`ORPHAN_RETENTION`] ago.
    pub(super) fn remove_orphans(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| {
            entry.disconnected_at.is_none_or(|time| time + ORPHAN_RETENTION > now)
        });
    }
}
