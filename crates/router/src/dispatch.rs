//! Queues requests and dispatches them to targets.
//!
//! A request is dequeued when a slot is free. Its cached prefix is looked up only then, because caches change within
//! seconds and a request can be queued for longer.

use godwitroad_base::{ClockSpan, RequestId};
use godwitroad_lifecycle::{LifeStage, OfferedLife};
use godwitroad_prefix::{PrefixMatches, ShardAction, ShardEvent};
use godwitroad_queue::{Error as QueueError, FairQueue};

use crate::{
    CallerError, DispatchOrder, ErrorKind, PeerMessage, ResumePoint, RouterAction, RouterState,
    placement::PlacementRequest, state::EventContext,
};

/// The estimated size of a request without its prompt, in bytes.
const HEADER_BYTES: u64 = 512;

impl RouterState {
    /// Adds an admitted request, or one whose attempt failed, to the queue of its service.
    pub(crate) fn enqueue(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(LifeStage::Admitted(_)) = &entry.stage
            && let Some(LifeStage::Admitted(life)) = entry.stage.take()
        {
            entry.stage = Some(LifeStage::Queued(life.enqueue(context.now)));
        }
        let service = entry.facts.route.service.clone();
        // The service can be removed while the request waits for tokens or its claim, or runs.
        if self.view.service(&service).is_none() {
            return self.refuse_waiting(context, id, ErrorKind::TargetUnavailable, None);
        }
        let queued = entry.facts.queued(id);
        let weight = self.view.account(&queued.account).map_or(1, |account| account.weight);
        let settings = self.settings.queue;
        let queue = self.queues.entry(service).or_insert_with(|| FairQueue::new(settings));
        queue.set_weight(&queued.account, weight);
        if let Err(error) = queue.push(context.now, queued) {
            self.refuse_overloaded(context, id, error);
        }
    }

    /// Dispatches queued requests while slots are free.
    pub(crate) fn dispatch_queued(&mut self, context: &mut EventContext<'_>) {
        let names: Vec<_> = self.queues.keys().cloned().collect();
        for name in names {
            self.stalled = false;
            // A request without a target is requeued; dequeuing it again immediately would loop forever.
            while !self.stalled
                && let Some(id) = self.next_queued(context, &name)
            {
                self.look_up_prefix(context, id);
            }
        }
        for id in std::mem::take(&mut self.held_streams) {
            self.return_to_queue(context, id);
        }
    }

    fn next_queued(
        &mut self,
        context: &EventContext<'_>,
        name: &godwitroad_base::ServiceName,
    ) -> Option<RequestId> {
        let queue = self.queues.get_mut(name)?;
        if queue.is_empty() {
            return None;
        }
        let service = self.view.service(name)?;
        let mut slots = self.placement.free_slots(context.now, service);
        // Each request whose prefix is being looked up will use a slot.
        slots.free = slots.free.saturating_sub(self.pending_lookups.len() as u32);
        let queued = queue.pop(context.now, slots)?;
        let id = queued.id;
        if let Some(entry) = self.requests.get_mut(id) {
            entry.dequeued = Some(queued);
        }
        Some(id)
    }

    fn look_up_prefix(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        if entry.facts.chain.is_empty() {
            return self.dispatch_request(context, id, &PrefixMatches::default());
        }
        let chain = entry.facts.chain.clone();
        self.pending_lookups.insert(id.serial);
        let event = ShardEvent::Lookup { token: id.serial, chain };
        let actions = self.placement.handle_shard_event(context.now, event);
        self.handle_shard_actions(context, actions);
    }

    /// Handles the actions of this router's index shard.
    pub(crate) fn handle_shard_actions(
        &mut self,
        context: &mut EventContext<'_>,
        actions: Vec<ShardAction>,
    ) {
        for action in actions {
            match action {
                ShardAction::Send { to, message } => {
                    let message = PeerMessage::Index(message);
                    context.actions.push(RouterAction::Peer { to, message });
                }
                ShardAction::Found { token, matches, .. } => {
                    self.pending_lookups.remove(&token);
                    let id = self.requests.id_of(token);
                    self.dispatch_request(context, id, &matches);
                }
                ShardAction::RequestSnapshot(target) => {
                    context.actions.push(RouterAction::RequestSnapshot { target });
                }
                ShardAction::Ready => {}
                ShardAction::HandoffComplete => self.complete_index_handoff(context),
            }
        }
    }

    fn dispatch_request(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        matches: &PrefixMatches,
    ) {
        if let Some(kind) = self.withheld_because(context.now, id) {
            return self.refuse_waiting(context, id, kind, None);
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        let facts = &entry.facts;
        let Some(service) = self.view.service(&facts.route.service) else {
            return self.refuse_waiting(context, id, ErrorKind::TargetUnavailable, None);
        };
        let request = PlacementRequest {
            id,
            chain: &facts.chain,
            tokens: facts.prompt_tokens,
            bytes: facts.prompt.len() as u64 + HEADER_BYTES,
            failed_targets: &entry.failed_targets,
            stream: entry.stream_need(),
        };
        let placed =
            self.placement.reserve_target(context.now, &self.view, service, &request, matches);
        let Some(placed) = placed else {
            return self.requeue(context, id);
        };
        let Some(LifeStage::Queued(life)) = entry.stage.take() else { return };
        let repeat = facts.repeat();
        entry.stage = Some(LifeStage::Offered(OfferedLife::new(life, repeat)));
        let attempt = entry.attempts();
        let resume = entry.log.begin(attempt);
        let address = self.view.target(&placed.target).map(|config| config.address.clone());
        self.explain_log.record(id, attempt, context.now, &placed);
        context.actions.push(RouterAction::Dispatch(DispatchOrder {
            id,
            attempt,
            target: placed.target.clone(),
            address: address.unwrap_or_default(),
            cache_salt: entry.facts.cache_salt.clone(),
            priority: entry.facts.priority,
            deadline: entry.facts.deadline.since(context.now),
            resume: resume.map(|text| ResumePoint { tokens: text.tokens, text: text.text }),
        }));
        entry.placed = Some(placed);
    }

    // Another request used the free slot, or the last target became unusable during the lookup.
    fn requeue(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        if self.end_orphaned_stream(context, id) {
            return;
        }
        let is_stream = self.requests.get(id).is_some_and(|entry| entry.log.origin().is_some());
        if is_stream {
            // The free slots are of no use for this stream, but the requests behind it can use them.
            return self.held_streams.push(id);
        }
        self.stalled = true;
        self.return_to_queue(context, id);
    }

    fn return_to_queue(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        self.finish_dequeued(id, 0);
        self.enqueue(context, id);
    }

    /// Reports to the queue that a dequeued request has ended or is about to be requeued.
    pub(crate) fn finish_dequeued(&mut self, id: RequestId, used: u64) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(dequeued) = entry.dequeued.take() else { return };
        if let Some(queue) = self.queues.get_mut(&entry.facts.route.service) {
            queue.finish(&dequeued, used);
        }
    }

    /// Refuses queued requests that cannot be served before their deadline.
    pub(crate) fn expire_queued(&mut self, context: &mut EventContext<'_>) {
        let mut refusals = Vec::new();
        self.queues.values_mut().for_each(|queue| queue.tick(context.now, &mut refusals));
        for refusal in refusals {
            self.refuse_overloaded(context, refusal.id, refusal.reason);
        }
    }

    /// Refuses queued requests whose service is no longer configured, including those that are being looked up.
    pub(crate) fn refuse_unserved(&mut self, context: &mut EventContext<'_>) {
        let view = &self.view;
        let unserved = self.requests.select(|entry| {
            matches!(entry.stage, Some(LifeStage::Queued(_)))
                && view.service(&entry.facts.route.service).is_none()
        });
        for id in unserved {
            self.refuse_waiting(context, id, ErrorKind::TargetUnavailable, None);
        }
        self.queues.retain(|name, queue| !queue.is_empty() || self.view.service(name).is_some());
    }

    fn refuse_overloaded(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        error: QueueError,
    ) {
        let (QueueError::TooLate { retry_after } | QueueError::Full { retry_after }) = error;
        self.refuse_waiting(context, id, ErrorKind::Overloaded, Some(retry_after));
    }

    /// Refuses a waiting request; the outcome is "not run" only if certainly no attempt ran.
    pub(crate) fn refuse_waiting(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        kind: ErrorKind,
        retry_after: Option<ClockSpan>,
    ) {
        let Some(entry) = self.requests.get(id) else { return };
        let has_not_run = entry.stage.as_ref().is_some_and(LifeStage::has_not_run);
        let error = CallerError::after_attempts(kind, has_not_run);
        let error = retry_after.map_or(error.clone(), |span| error.retry_after(span));
        self.fail_request(context, id, error);
    }
}
