//! The work of one shard at one node: one operation on the store at a time, while further work gathers.

use godwitroad_base::ClockTime;
use godwitroad_store::{
    CallClass, KeyVersion, OperationError, OperationId, OperationReply, OperationSpec, Result,
    StoreEntry, StoreOperation,
};

use crate::{
    merge::ClaimReply,
    plan::{PlanStep, ShardPlan, SpareLease, WritePlan},
    record::{SliceValue, shard_prefix, slice_key},
    settings::{ClaimCounters, ClaimSettings},
    view::ShardView,
    waiters::{ClaimAnswer, ClaimWaiter},
};

/// The largest number of pieces of work that wait at one shard; further claims are refused as "not run".
const WAITING_LIMIT: usize = 4_096;

#[derive(Clone, Debug)]
enum WriterFlight {
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
    spare: Option<SpareLease>,
    waiting: Vec<ClaimWaiter>,
    flight: Option<(OperationId, ClockTime, WriterFlight)>,
    not_before: ClockTime,
    used_at: ClockTime,
}

/// What a shard's work leads to.
#[derive(Debug, Default)]
pub(crate) struct WriterOutput {
    pub(crate) orders: Vec<(OperationId, OperationSpec)>,
    pub(crate) answers: Vec<ClaimAnswer>,
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
            spare: None,
            waiting: Vec::new(),
            flight: None,
            not_before: ClockTime::ZERO,
            used_at: ClockTime::ZERO,
        }
    }

    pub(crate) fn push(&mut self, waiter: ClaimWaiter, context: &mut WriterContext<'_>) {
        self.used_at = context.now;
        let is_covered = match &self.flight {
            Some((_, _, WriterFlight::Write(plan))) => {
                plan.answers.iter().any(|answer| answer.waiter.is_same(&waiter))
            }
            _ => false,
        };
        if is_covered || self.waiting.iter().any(|other| other.is_same(&waiter)) {
            return;
        }
        if self.waiting.len() >= WAITING_LIMIT {
            let reply = ClaimReply::Unavailable;
            context.output.answers.push(ClaimAnswer { waiter, reply });
            return;
        }
        self.waiting.push(waiter);
    }

    pub(crate) fn has_op(&self, op: OperationId) -> bool {
        self.flight.as_ref().is_some_and(|(flying, _, _)| *flying == op)
    }

    /// Moves the work on until it waits for the store or for time.
    pub(crate) fn advance(&mut self, context: &mut WriterContext<'_>) {
        self.drop_late(context);
        while self.flight.is_none() && !self.waiting.is_empty() && self.not_before <= context.now {
            let Some(view) = &mut self.view else {
                self.order(context, WriterFlight::Load);
                return;
            };
            let mut plan = ShardPlan {
                now: context.now,
                settings: context.settings,
                view,
                spare: self.spare,
                waiting: &self.waiting,
            };
            match plan.step() {
                PlanStep::Wait => return,
                PlanStep::Load => self.order(context, WriterFlight::Load),
                PlanStep::Fetch(number) => self.order(context, WriterFlight::Fetch(number)),
                PlanStep::Renew(number) => self.order(context, WriterFlight::Renew(number)),
                PlanStep::Grant => self.order(context, WriterFlight::Grant),
                PlanStep::Answer(answers, rest) => {
                    context.output.answers.extend(answers);
                    self.waiting = rest;
                }
                PlanStep::Write(mut plan) => {
                    self.waiting = std::mem::take(&mut plan.rest);
                    self.order(context, WriterFlight::Write(plan));
                }
            }
        }
        let is_idle = context.now.since(self.used_at) >= context.settings.view_idle;
        if is_idle && self.flight.is_none() {
            self.view = None;
        }
    }

    // A claim whose caller has been refused meanwhile would only have to be released again.
    fn drop_late(&mut self, context: &mut WriterContext<'_>) {
        let (now, wait) = (context.now, context.settings.claim_wait);
        let answers = &mut context.output.answers;
        self.waiting.retain(|waiter| {
            let is_late = waiter.is_urgent() && now.since(waiter.entry.at) >= wait;
            if is_late {
                let reply = ClaimReply::Unavailable;
                answers.push(ClaimAnswer { waiter: waiter.clone(), reply });
            }
            !is_late
        });
    }

    fn order(&mut self, context: &mut WriterContext<'_>, flight: WriterFlight) {
        let operation = match &flight {
            WriterFlight::Load => StoreOperation::List { prefix: shard_prefix(self.shard) },
            WriterFlight::Fetch(number) => {
                StoreOperation::Get { key: slice_key(self.shard, *number) }
            }
            WriterFlight::Renew(number) => {
                let copy = self.view.as_ref().and_then(|view| view.slices.get(number));
                match copy.and_then(|copy| copy.value.as_ref()) {
                    Some(value) => StoreOperation::KeepAlive { lease: value.lease },
                    None => StoreOperation::List { prefix: shard_prefix(self.shard) },
                }
            }
            WriterFlight::Grant => StoreOperation::Grant { ttl: context.settings.lease() },
            WriterFlight::Write(plan) => {
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
        let wait = context.settings.store_wait.as_ms();
        context.output.orders.push((op, OperationSpec::new(CallClass::Claim, operation, wait)));
        self.flight = Some((op, context.now, flight));
    }

    /// Takes the result of the operation under way.
    pub(crate) fn take(&mut self, context: &mut WriterContext<'_>, result: Result<OperationReply>) {
        let Some((_, sent, flight)) = self.flight.take() else { return };
        match (flight, result) {
            (WriterFlight::Load, Ok(OperationReply::Entries { entries, .. })) => {
                self.take_load(context, sent, &entries);
            }
            (WriterFlight::Fetch(number), Ok(OperationReply::Value(entry))) => {
                self.take_entry(context, sent, number, entry);
            }
            (WriterFlight::Renew(number), Ok(OperationReply::Lease { until, .. })) => {
                let copy = self.view.as_mut().and_then(|view| view.slices.get_mut(&number));
                if let Some(copy) = copy {
                    copy.until = Some(until);
                }
            }
            (WriterFlight::Grant, Ok(OperationReply::Lease { lease, until })) => {
                self.spare = Some(SpareLease { lease, until });
            }
            (WriterFlight::Write(plan), Ok(OperationReply::Written { version, .. })) => {
                self.take_written(context, sent, *plan, version);
            }
            (WriterFlight::Write(plan), Ok(OperationReply::Conflict(entry))) => {
                context.counters.conflicts += 1;
                let number = plan.number;
                self.put_back(*plan);
                self.take_entry(context, sent, number, entry);
            }
            (WriterFlight::Write(plan), Ok(_)) => {
                self.put_back(*plan);
                self.spare = None;
                self.view = None;
            }
            (_, Ok(_)) => self.view = None,
            (flight, Err(error)) => self.fail(context, flight, error),
        }
    }

    fn put_back(&mut self, plan: WritePlan) {
        let mut waiting: Vec<ClaimWaiter> =
            plan.answers.into_iter().map(|answer| answer.waiter).collect();
        waiting.append(&mut self.waiting);
        self.waiting = waiting;
    }

    fn take_load(
        &mut self,
        context: &mut WriterContext<'_>,
        sent: ClockTime,
        entries: &[StoreEntry],
    ) {
        match ShardView::new(sent, entries) {
            Ok(mut view) => {
                view.shrink(context.settings.loaded_slices);
                self.view = Some(view);
            }
            // A slice that can't be read may hold any key: every claim of the shard is refused until it is repaired.
            Err(_) => {
                context.counters.corrupt += 1;
                self.fail(context, WriterFlight::Load, OperationError::Rejected);
            }
        }
    }

    fn take_entry(
        &mut self,
        context: &mut WriterContext<'_>,
        sent: ClockTime,
        number: u64,
        entry: Option<StoreEntry>,
    ) {
        let Some(view) = &mut self.view else { return };
        let Some(entry) = entry else {
            // The slice has expired. What is known of the others may be as old.
            self.view = None;
            return;
        };
        match SliceValue::decode(&entry.value) {
            Ok(value) => {
                view.put(number, entry.version, value, sent);
                view.shrink(context.settings.loaded_slices);
            }
            Err(_) => {
                context.counters.corrupt += 1;
                self.fail(context, WriterFlight::Load, OperationError::Rejected);
            }
        }
    }

    fn take_written(
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
            if let Some(spare) = self.spare.take_if(|spare| spare.lease == lease) {
                context.counters.slices += 1;
                if let Some(copy) = view.slices.get_mut(&plan.number) {
                    copy.until = Some(spare.until);
                }
            }
            view.shrink(context.settings.loaded_slices);
        }
        context.output.answers.extend(plan.answers);
    }

    // Nobody who waits for a reply is kept waiting; ends and releases are tried again after a pause. A write without
    // an answer may still take effect, so that nothing known of the shard can be relied on.
    fn fail(
        &mut self,
        context: &mut WriterContext<'_>,
        flight: WriterFlight,
        error: OperationError,
    ) {
        if let WriterFlight::Write(plan) = flight {
            self.put_back(*plan);
        }
        if error != OperationError::NotDone {
            self.view = None;
        }
        self.not_before = context.now + context.settings.retry;
        let answers = &mut context.output.answers;
        self.waiting.retain(|waiter| {
            if waiter.is_urgent() {
                let reply = ClaimReply::Unavailable;
                answers.push(ClaimAnswer { waiter: waiter.clone(), reply });
            }
            !waiter.is_urgent()
        });
    }

    pub(crate) fn next_deadline(&self, settings: &ClaimSettings) -> Option<ClockTime> {
        let due = self.waiting.iter().map(|waiter| waiter.due_at(settings)).min();
        due.filter(|_| self.flight.is_none()).map(|due| due.max(self.not_before))
    }
}
