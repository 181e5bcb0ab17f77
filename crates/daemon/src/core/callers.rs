//! Which connection waits for which request.

use std::{collections::HashMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, RequestId};
use godwitroad_router::CallerReply;
use tokio::sync::mpsc::UnboundedSender;

use super::CallerItem;
use crate::intake::IntakeRequest;

/// The time after which the body of a request without a caller is dropped.
///
/// It is far above the grace for a returning caller (5 s); the facade doesn't report the end of such a request.
const ORPHAN_LIMIT: ClockSpan = ClockSpan::from_secs(60);

/// A connection that waits for an answer.
#[derive(Debug)]
pub(super) struct CallerSlot {
    pub(super) connection: u64,
    pub(super) caller: UnboundedSender<CallerItem>,
}

#[derive(Debug)]
struct CallerEntry {
    request: Option<Arc<IntakeRequest>>,
    slot: Option<CallerSlot>,
    /// The slot that a returning caller replaces, until it is certain that the return succeeds.
    replaced: Option<CallerSlot>,
    left: Option<ClockTime>,
}

/// All connections that wait for answers. The maps are never iterated where order could reach an action.
#[derive(Debug, Default)]
pub(super) struct CallerTable {
    waiting: HashMap<u64, (CallerSlot, Arc<IntakeRequest>)>,
    connections: HashMap<u64, RequestId>,
    entries: HashMap<RequestId, CallerEntry>,
    returned: Vec<RequestId>,
}

impl CallerTable {
    /// Keeps a connection until its request has an id.
    pub(super) fn wait(&mut self, slot: CallerSlot, request: Arc<IntakeRequest>) {
        self.waiting.insert(slot.connection, (slot, request));
    }

    /// Binds a connection to the id of its request.
    pub(super) fn accept(&mut self, connection: u64, id: RequestId) {
        let Some((slot, request)) = self.waiting.remove(&connection) else { return };
        // A closed channel means that the caller has left; its `Left` input is on the way.
        let _ = slot.caller.send(CallerItem::Accepted(id));
        self.connections.insert(connection, id);
        match self.entries.get_mut(&id) {
            Some(entry) => {
                entry.replaced = entry.slot.replace(slot);
                self.returned.push(id);
            }
            None => {
                let (request, slot) = (Some(request), Some(slot));
                self.entries.insert(id, CallerEntry { request, slot, replaced: None, left: None });
            }
        }
    }

    /// Gives a part of the answer to the caller.
    pub(super) fn reply(&mut self, id: RequestId, reply: CallerReply) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let ends = matches!(reply, CallerReply::End | CallerReply::Failed(_));
        if let Some(slot) = &entry.slot {
            let _ = slot.caller.send(CallerItem::Reply(reply));
        }
        if !ends {
            return;
        }
        if let Some(slot) = entry.slot.take() {
            self.connections.remove(&slot.connection);
        }
        // A refused return (for instance with another key) must not end the stream of the caller who holds it.
        entry.slot = entry.replaced.take();
        if entry.slot.is_none() && !self.returned.contains(&id) {
            self.entries.remove(&id);
        }
    }

    /// Returns the body and head of a request.
    pub(super) fn request(&self, id: RequestId) -> Option<Arc<IntakeRequest>> {
        self.entries.get(&id)?.request.clone()
    }

    /// Takes note of a closed connection; returns its request if the connection still stood for it.
    pub(super) fn left(&mut self, connection: u64, now: ClockTime) -> Option<RequestId> {
        self.waiting.remove(&connection);
        let id = self.connections.remove(&connection)?;
        let entry = self.entries.get_mut(&id)?;
        entry.slot.take_if(|slot| slot.connection == connection)?;
        entry.left = Some(now);
        Some(id)
    }

    /// Ends the handling of one event: returns of callers are final, and an ended request without a caller goes.
    pub(super) fn settle(&mut self, ended: Option<RequestId>) {
        for id in self.returned.drain(..) {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            if entry.slot.is_some() {
                entry.left = None;
            }
            if let Some(slot) = entry.replaced.take() {
                self.connections.remove(&slot.connection);
            }
        }
        if let Some(id) = ended
            && self.entries.get(&id).is_some_and(|entry| entry.slot.is_none())
        {
            self.entries.remove(&id);
        }
    }

    /// Drops the bodies of requests whose caller left long ago.
    pub(super) fn sweep(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| entry.left.is_none_or(|left| left + ORPHAN_LIMIT > now));
    }
}
