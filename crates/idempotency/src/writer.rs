//! The writer of one shard on one node. It runs one store operation at a time and batches the entries that arrive
//! in the meantime.

use godwitroad_base::ClockTime;
use godwitroad_store::{
    CallClass, KeyVersion, OperationError, OperationId, OperationReply, OperationSpec, Result,
    StoreEntry, StoreOperation,
};

use crate::{
    merge::ClaimReply,
    plan::{PlanStep, ShardPlan, UnusedLease, WritePlan},
    queue::{AnsweredEntry, QueuedEntry},
    record::{SliceValue, shard_prefix, slice_key},
    settings::{ClaimCounters, ClaimSettings},
    view::ShardView,
};

/// The maximum number of entries in the queue of one shard; further claims are refused as "not run".
const MAX_QUEUED_ENTRIES: usize = 4_096;

#[derive(Clone, Debug)]
enum InFlightOperation {
    Load,
    Fetch(u64),
    Renew(u64),
    Grant,
    Write(Box<WritePlan>),
}

#[derive(Clone, Debug)]
pub(crate) struct ShardWriter {
    shard: u8,
    view: Option<ShardView>,
    unused_lease: Option<UnusedLease>,
    queue: Vec<QueuedEntry>,
    in_flight: Option<(OperationId, ClockTime, InFlightOperation)>,
    retry_at: ClockTime,
    used_at: ClockTime,
}

/// The store operations and replies that a writer produced.
#[derive(Debug, Default)]
pub(crate) struct WriterOutput {
    pub(crate) operations: Vec<(OperationId, OperationSpec)>,
    pub(crate) answers: Vec<AnsweredEntry>,
}

pub(crate) struct WriterContext<'a> {
    pub(crate) now: ClockTime,
    pub(crate) settings: &'a ClaimSettings,
    pub(crate) counters: &'a mut ClaimCounters,
    pub(crate) last_op: &'a mut u64,
    pub(crate) output: WriterOutput,
}

impl ShardWriter {
    pub(crate) fn new(shard: u8) -> ShardWriter {
        ShardWriter {
            shard,
            view: None,
            unused_lease: None,
            queue: Vec::new(),
            in_flight: None,
            retry_at: ClockTime::ZERO,
            used_at: ClockTime::ZERO,
        }
    }

    pub(crate) fn enqueue(&mut self, queued: QueuedEntry, context: &mut WriterContext<'_>) {
        self.used_at = context.now;
        let is_in_write = match &self.in_flight {
            Some((_, _, InFlightOperation::Write(plan))) => {
                plan.answers.iter().any(|answer| answer.queued.is_duplicate_of(&queued))
            }
            _ => false,
        };
        if is_in_write || self.queue.iter().any(|other| other.is_duplicate_of(&queued)) {
            return;
        }
        if self.queue.len() >= MAX_QUEUED_ENTRIES {
            let reply = ClaimReply::Unavailable;
            context.output.answers.push(AnsweredEntry { queued, reply });
            return;
        }
        self.queue.push(queued);
    }

    pub(crate) fn has_op(&self, op: OperationId) -> bool {
        self.in_flight.as_ref().is_some_and(|(pending, _, _)| *pending == op)
    }

    /// Executes plan steps until the next one has to wait for the store or for a deadline.
    pub(crate) fn advance(&mut self, context: &mut WriterContext<'_>) {
        self.refuse_overdue(context);
        while self.in_flight.is_none() && !self.queue.is_empty() && self.retry_at <= context.now {
            let Some(view) = &mut self.view else {
                self.start_operation(context, InFlightOperation::Load);
                return;
            };
            let mut plan = ShardPlan {
                now: context.now,
                settings: context.settings,
                view,
                unused_lease: self.unused_lease,
                queue: &self.queue,
            };
            match plan.step() {
                PlanStep::Wait => return,
                PlanStep::Load => self.start_operation(context, InFlightOperation::Load),
                PlanStep::Fetch(number) => {
                    self.start_operation(context, InFlightOperation::Fetch(number))
                }
                PlanStep::Renew(number) => {
                    self.start_operation(context, InFlightOperation::Renew(number))
                }
                PlanStep::Grant => self.start_operation(context, InFlightOperation::Grant),
                PlanStep::Answer(answers, remaining) => {
                    context.output.answers.extend(answers);
                    self.queue = remaining;
                }
                PlanStep::Write(mut plan) => {
                    self.queue = std::mem::take(&mut plan.remaining);
                    self.start_operation(context, InFlightOperation::Write(plan));
                }
            }
        }
        let is_idle = context.now.since(self.used_at) >= context.settings.view_idle_timeout;
        if is_idle && self.in_flight.is_none() {
            self.view = None;
        }
    }

    // The requests of overdue claims have been refused; writing such claims would only require their release.
    fn refuse_overdue(&mut self, context: &mut WriterContext<'_>) {
        let (now, wait) = (context.now, context.settings.claim_timeout);
        let answers = &mut context.output.answers;
        self.queue.retain(|queued| {
            let is_overdue = queued.is_urgent() && now.since(queued.entry.at) >= wait;
            if is_overdue {
                let reply = ClaimReply::Unavailable;
                answers.push(AnsweredEntry { queued: queued.clone(), reply });
            }
            !is_overdue
        });
    }

    fn start_operation(&mut self, context: &mut WriterContext<'_>, in_flight: InFlightOperation) {
        let operation = match &in_flight {
            InFlightOperation::Load => StoreOperation::List { prefix: shard_prefix(self.shard) },
            InFlightOperation::Fetch(number) => {
                StoreOperation::Get { key: slice_key(self.shard, *number) }
            }
            InFlightOperation::Renew(number) => {
                let copy = self.view.as_ref().and_then(|view| view.slices.get(number));
                match copy.and_then(|copy| copy.value.as_ref()) {
                    Some(value) => StoreOperation::KeepAlive { lease: value.lease },
                    None => StoreOperation::List { prefix: shard_prefix(self.shard) },
                }
            }
            InFlightOperation::Grant => {
                StoreOperation::Grant { ttl: context.settings.slice_lease() }
            }
            InFlightOperation::Write(plan) => {
                context.counters.writes += 1;
                StoreOperation::Cas {
                    key: slice_key(self.shard, plan.number),
                    value: plan.value.encode(),
                    expected: plan.expected,
                    lease: Some(plan.value.lease),
                    change_detector: None,
                }
            }
        };
        *context.last_op += 1;
        let op = OperationId(*context.last_op);
        let wait = context.settings.store_timeout.as_ms();
        context.output.operations.push((op, OperationSpec::new(CallClass::Claim, operation, wait)));
        self.in_flight = Some((op, context.now, in_flight));
    }

    /// Handles the result of the operation in flight.
    pub(crate) fn handle_result(
        &mut self,
        context: &mut WriterContext<'_>,
        result: Result<OperationReply>,
    ) {
        let Some((_, sent, in_flight)) = self.in_flight.take() else { return };
        match (in_flight, result) {
            (InFlightOperation::Load, Ok(OperationReply::Entries { entries, .. })) => {
                self.handle_listing(context, sent, &entries);
            }
            (InFlightOperation::Fetch(number), Ok(OperationReply::Value(entry))) => {
                self.handle_entry(context, sent, number, entry);
            }
            (InFlightOperation::Renew(number), Ok(OperationReply::Lease { until, .. })) => {
                let copy = self.view.as_mut().and_then(|view| view.slices.get_mut(&number));
                if let Some(copy) = copy {
                    copy.lease_until = Some(until);
                }
            }
            (InFlightOperation::Grant, Ok(OperationReply::Lease { lease, until })) => {
                self.unused_lease = Some(UnusedLease { lease, until });
            }
            (InFlightOperation::Write(plan), Ok(OperationReply::Written { version, .. })) => {
                self.handle_written(context, sent, *plan, version);
            }
            (InFlightOperation::Write(plan), Ok(OperationReply::Conflict(entry))) => {
                context.counters.conflicts += 1;
                let number = plan.number;
                self.requeue(*plan);
                self.handle_entry(context, sent, number, entry);
            }
            (InFlightOperation::Write(plan), Ok(_)) => {
                self.requeue(*plan);
                self.unused_lease = None;
                self.view = None;
            }
            (_, Ok(_)) => self.view = None,
            (in_flight, Err(error)) => self.handle_failure(context, in_flight, error),
        }
    }

    fn requeue(&mut self, plan: WritePlan) {
        let mut queue: Vec<QueuedEntry> =
            plan.answers.into_iter().map(|answer| answer.queued).collect();
        queue.append(&mut self.queue);
        self.queue = queue;
    }

    fn handle_listing(
        &mut self,
        context: &mut WriterContext<'_>,
        sent: ClockTime,
        entries: &[StoreEntry],
    ) {
        match ShardView::new(sent, entries) {
            Ok(mut view) => {
                view.unload_slices(context.settings.max_loaded_slices);
                self.view = Some(view);
            }
            // A slice that can't be decoded may hold any key: all claims of the shard are refused until it is repaired.
            Err(_) => {
                context.counters.corrupt += 1;
                self.handle_failure(context, InFlightOperation::Load, OperationError::Rejected);
            }
        }
    }

    fn handle_entry(
        &mut self,
        context: &mut WriterContext<'_>,
        sent: ClockTime,
        number: u64,
        entry: Option<StoreEntry>,
    ) {
        let Some(view) = &mut self.view else { return };
        let Some(entry) = entry else {
            // The slice has expired. The copies of the other slices may be as old.
            self.view = None;
            return;
        };
        match SliceValue::decode(&entry.value) {
            Ok(value) => {
                view.put(number, entry.version, value, sent);
                view.unload_slices(context.settings.max_loaded_slices);
            }
            Err(_) => {
                context.counters.corrupt += 1;
                self.handle_failure(context, InFlightOperation::Load, OperationError::Rejected);
            }
        }
    }

    fn handle_written(
        &mut self,
        context: &mut WriterContext<'_>,
        sent: ClockTime,
        plan: WritePlan,
        version: KeyVersion,
    ) {
        context.counters.batched += plan.answers.len() as u64;
        if let Some(view) = &mut self.view {
            let lease = plan.value.lease;
            view.put(plan.number, version, plan.value, sent);
            if let Some(unused_lease) =
                self.unused_lease.take_if(|unused_lease| unused_lease.lease == lease)
            {
                context.counters.slices += 1;
                if let Some(copy) = view.slices.get_mut(&plan.number) {
                    copy.lease_until = Some(unused_lease.until);
                }
            }
            view.unload_slices(context.settings.max_loaded_slices);
        }
        context.output.answers.extend(plan.answers);
    }

    // Claims and lookups are answered immediately; final states and releases are retried after a delay. A write without
    // a reply may still take effect, which makes the view of the shard unreliable.
    fn handle_failure(
        &mut self,
        context: &mut WriterContext<'_>,
        in_flight: InFlightOperation,
        error: OperationError,
    ) {
        if let InFlightOperation::Write(plan) = in_flight {
            self.requeue(*plan);
        }
        if error != OperationError::NotDone {
            self.view = None;
        }
        self.retry_at = context.now + context.settings.retry_delay;
        let answers = &mut context.output.answers;
        self.queue.retain(|queued| {
            if queued.is_urgent() {
                let reply = ClaimReply::Unavailable;
                answers.push(AnsweredEntry { queued: queued.clone(), reply });
            }
            !queued.is_urgent()
        });
    }

    pub(crate) fn next_deadline(&self, settings: &ClaimSettings) -> Option<ClockTime> {
        let due = self.queue.iter().map(|queued| queued.due_at(settings)).min();
        due.filter(|_| self.in_flight.is_none()).map(|due| due.max(self.retry_at))
    }
}
