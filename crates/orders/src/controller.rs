//! The controller of one service's rollout: acquires and renews the lease, and sends orders while it holds the lease.
//!
//! The lease is a record in the store that is written by compare-and-swap. The record holds no time; a candidate
//! replaces it after it has stayed unchanged for the length of the lease on the candidate's own clock.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, ServiceName, TargetName};
use godwitroad_store::{
    CallId, KeyVersion, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};

use crate::{
    record::LeaseRecord,
    rollout::{DesiredTarget, RolloutPlan, RolloutProgress, TargetOrder, TargetReport},
};

/// The largest difference in rate between a VM's clock and true time, in parts per million.
const CLOCK_DRIFT_PPM: u64 = 500;

/// Settings of a [`RolloutController`].
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// This process, as written to the lease record.
    pub node: NodeId,
    /// The service whose targets this controller updates; part of the lease's key.
    pub service: ServiceName,
    /// The length of the lease, counted from the start of the write that acquired or renewed it.
    pub lease: ClockSpan,
    /// How long an order may take to arrive at its target. The sender abandons it then, so that it can't arrive later.
    pub delivery_timeout: ClockSpan,
    /// The time between two reads of a lease record that another router holds.
    pub poll_interval: ClockSpan,
}

/// An input of a [`RolloutController`].
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// The weights that the configuration assigns to the service's targets.
    Configure(Vec<DesiredTarget>),
    /// Whether this router should acquire the lease when it is free.
    Candidate(bool),
    /// A call to the store ended.
    Store {
        /// The number from the [`RolloutAction::Store`] that started the call.
        call: CallId,
        /// The reply or the failure.
        outcome: StoreOutcome,
    },
    /// A target reported what it has loaded.
    Report {
        /// The target that sent the report.
        target: TargetName,
        /// The loaded and loading weights.
        report: TargetReport,
    },
    /// The outcome of an order is known, or can no longer become known.
    OrderAnswered {
        /// The target of the order.
        target: TargetName,
        /// The fencing number that the order carried.
        fence: u64,
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// Periodic call that drives renewals, reads and time-outs.
    Tick,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target accepted the order.
    Taken,
    /// The target refused the order because it has seen a newer fencing number.
    Fenced,
    /// The order definitely did not reach the target.
    NotSent,
    /// The order may have reached the target.
    Unknown,
}

/// An output of a [`RolloutController`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAction {
    /// Call the store and report the outcome by [`RolloutEvent::Store`].
    Store {
        /// The number of the call, unique in this controller.
        call: CallId,
        /// The request to send.
        request: StoreRequest,
    },
    /// Send an order, and abandon it if it has not arrived within `timeout`.
    Send {
        /// The target that receives the order.
        target: TargetName,
        /// The fencing number of the current lease.
        fence: u64,
        /// The weights to load.
        order: TargetOrder,
        /// The time within which the order must arrive.
        timeout: ClockSpan,
    },
    /// This router acquired (`true`) or lost (`false`) the lease.
    LeaseHeld(bool),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldLease {
    fence: u64,
    renewal: u64,
    version: KeyVersion,
    valid_until: ClockTime,
    // No order is sent earlier, as orders of the previous holder may still arrive until then.
    orders_from: ClockTime,
}

#[derive(Clone, Debug)]
struct ObservedRecord {
    record: Option<LeaseRecord>,
    version: KeyVersion,
    // When this router first read this version.
    since: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingCall {
    call: CallId,
    sent: ClockTime,
    write: Option<LeaseRecord>,
}

/// The state machine that acquires and renews a service's lease and sends orders under it.
#[derive(Debug)]
pub struct RolloutController {
    settings: ControllerSettings,
    candidate: bool,
    plan: RolloutPlan,
    held: Option<HeldLease>,
    observed: Option<ObservedRecord>,
    pending: Option<PendingCall>,
    // A write without a reply; a read shows whether it took effect.
    unconfirmed: Option<PendingCall>,
    next_call: u64,
    next_read: ClockTime,
}

impl Default for ControllerSettings {
    fn default() -> ControllerSettings {
        ControllerSettings {
            node: NodeId::new("vm-1", 1),
            service: "service".into(),
            lease: ClockSpan::from_secs(10),
            delivery_timeout: ClockSpan::from_secs(2),
            poll_interval: ClockSpan::from_secs(2),
        }
    }
}

impl RolloutController {
    /// Returns a controller without a lease, a plan or known reports.
    pub fn new(settings: ControllerSettings) -> RolloutController {
        RolloutController {
            settings,
            candidate: false,
            plan: RolloutPlan::default(),
            held: None,
            observed: None,
            pending: None,
            unconfirmed: None,
            next_call: 0,
            next_read: ClockTime::ZERO,
        }
    }

    /// Returns whether this router holds the lease at `now`.
    pub fn holds_lease(&self, now: ClockTime) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Returns the progress of the rollout according to the reports that this router received.
    pub fn progress(&self) -> RolloutProgress {
        self.plan.progress()
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: ClockTime,
        event: RolloutEvent,
        actions: &mut Vec<RolloutAction>,
    ) {
        // A process that was suspended must detect the expiry of its lease before it sends anything.
        self.release_expired(now, actions);
        match event {
            RolloutEvent::Configure(desired) => self.plan.configure(desired),
            RolloutEvent::Candidate(candidate) => self.candidate = candidate,
            RolloutEvent::Store { call, outcome } => {
                self.handle_store_outcome(now, call, outcome, actions)
            }
            RolloutEvent::Report { target, report } => self.plan.report(now, target, report),
            RolloutEvent::OrderAnswered { target, fence, outcome } => {
                self.handle_order_outcome(&target, fence, outcome, actions);
            }
            RolloutEvent::Tick => {}
        }
        self.call_store(now, actions);
        self.send_orders(now, actions);
    }

    fn release_expired(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.release(actions);
        }
    }

    fn release(&mut self, actions: &mut Vec<RolloutAction>) {
        if self.held.take().is_some() {
            self.plan.clear_reports();
            self.observed = None;
            self.next_read = ClockTime::ZERO;
            actions.push(RolloutAction::LeaseHeld(false));
        }
    }

    fn handle_order_outcome(
        &mut self,
        target: &TargetName,
        fence: u64,
        outcome: OrderOutcome,
        actions: &mut Vec<RolloutAction>,
    ) {
        if self.held.is_none_or(|held| held.fence != fence) {
            return;
        }
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Unknown => {}
            OrderOutcome::NotSent => self.plan.record_not_sent(target),
            OrderOutcome::Fenced => self.release(actions),
        }
    }

    fn send_orders(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        let Some(held) = self.held else { return };
        if now < held.orders_from {
            return;
        }
        let delivery_timeout = self.settings.delivery_timeout;
        // Without a fencing check at the target, an order that arrives after the lease expired could conflict with
        // those of the next holder.
        let is_covered = now + with_drift(delivery_timeout) < held.valid_until;
        for (entry, order) in self.plan.next(held.orders_from) {
            if !is_covered && !entry.checks_fencing {
                continue;
            }
            self.plan.record_sent(entry.target.clone(), &order, now + with_drift(delivery_timeout));
            actions.push(RolloutAction::Send {
                target: entry.target,
                fence: held.fence,
                order,
                timeout: delivery_timeout,
            });
        }
    }

    fn call_store(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if self.pending.is_some() {
            // A call without a reply must not block the controller forever.
            let is_overdue = self
                .pending
                .as_ref()
                .is_some_and(|pending| now >= pending.sent + self.settings.lease);
            if !is_overdue {
                return;
            }
            self.mark_unconfirmed();
        }
        if self.unconfirmed.is_some() {
            return self.read(now, actions);
        }
        match self.held {
            Some(held) if now >= self.renewal_time(&held) => self.renew(now, held, actions),
            Some(_) => {}
            None if self.candidate => self.acquire(now, actions),
            None => {}
        }
    }

    // A renewal is due after a third of the lease, which leaves time to repeat a write that failed.
    fn renewal_time(&self, held: &HeldLease) -> ClockTime {
        let third = self.settings.lease.as_ms() / 3;
        held.valid_until - ClockSpan::from_ms(2 * third)
    }

    fn renew(&mut self, now: ClockTime, held: HeldLease, actions: &mut Vec<RolloutAction>) {
        let record = LeaseRecord {
            holder: self.settings.node.clone(),
            fence: held.fence,
            renewal: held.renewal + 1,
        };
        self.write(now, record, held.version, actions);
    }

    fn acquire(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        let Some(observed) = &self.observed else { return self.read(now, actions) };
        let is_free =
            observed.record.is_none() || now >= observed.since + with_drift(self.settings.lease);
        if !is_free {
            return self.read(now, actions);
        }
        let fence = observed.record.as_ref().map_or(0, |record| record.fence) + 1;
        let record = LeaseRecord { holder: self.settings.node.clone(), fence, renewal: 0 };
        let version = observed.version;
        self.write(now, record, version, actions);
    }

    fn read(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if now < self.next_read {
            return;
        }
        self.next_read = now + self.settings.poll_interval;
        let key = self.key();
        self.call(now, None, StoreRequest::Get { key }, actions);
    }

    fn write(
        &mut self,
        now: ClockTime,
        record: LeaseRecord,
        expected: KeyVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        let value: Arc<[u8]> = record.encode().into();
        let request =
            StoreRequest::Put { key: self.key(), value, expected: Some(expected), lease: None };
        self.call(now, Some(record), request, actions);
    }

    fn call(
        &mut self,
        now: ClockTime,
        write: Option<LeaseRecord>,
        request: StoreRequest,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.pending = Some(PendingCall { call, sent: now, write });
        actions.push(RolloutAction::Store { call, request });
    }

    fn key(&self) -> StoreKey {
        StoreKey::new(format!("orders/{}", self.settings.service))
    }

    fn mark_unconfirmed(&mut self) {
        if let Some(pending) = self.pending.take()
            && pending.write.is_some()
        {
            self.unconfirmed = Some(pending);
            self.next_read = ClockTime::ZERO;
        }
    }

    fn handle_store_outcome(
        &mut self,
        now: ClockTime,
        call: CallId,
        outcome: StoreOutcome,
        actions: &mut Vec<RolloutAction>,
    ) {
        if self.pending.as_ref().is_none_or(|pending| pending.call != call) {
            return;
        }
        match outcome {
            Ok(StoreReply::Written(version)) => self.handle_written(now, version, actions),
            Ok(StoreReply::Conflict(entry)) => {
                self.pending = None;
                self.observe_record(now, entry, actions);
            }
            Ok(StoreReply::Value(entry)) => {
                self.pending = None;
                self.observe_record(now, entry, actions);
            }
            Ok(_) | Err(StoreFailure::Unknown) => self.mark_unconfirmed(),
            Err(StoreFailure::NotSent | StoreFailure::Rejected) => {
                self.pending = None;
                self.next_read = now + self.settings.poll_interval;
            }
        }
    }

    fn handle_written(
        &mut self,
        now: ClockTime,
        version: KeyVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(PendingCall { sent, write: Some(record), .. }) = self.pending.take() else {
            return;
        };
        self.apply_lease(now, sent, record, version, actions);
    }

    // The lease is counted from before the write was sent, because other routers may count it from the moment at which
    // the write took effect.
    fn apply_lease(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        record: LeaseRecord,
        version: KeyVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        let valid_until = sent + self.settings.lease;
        if now >= valid_until {
            self.observed = Some(ObservedRecord { record: Some(record), version, since: now });
            return self.release(actions);
        }
        let is_new_holder = self.held.is_none_or(|held| held.fence != record.fence);
        // Orders of the previous holder may still arrive within the delivery time-out.
        let orders_from = match self.held {
            Some(held) if !is_new_holder => held.orders_from,
            // The first holder of a service has no predecessor.
            _ if record.fence == 1 => now,
            _ => now + with_drift(self.settings.delivery_timeout),
        };
        let LeaseRecord { fence, renewal, .. } = record;
        self.held = Some(HeldLease { fence, renewal, version, valid_until, orders_from });
        self.observed = None;
        if is_new_holder {
            self.plan.clear_reports();
            actions.push(RolloutAction::LeaseHeld(true));
        }
    }

    fn observe_record(
        &mut self,
        now: ClockTime,
        entry: Option<StoreEntry>,
        actions: &mut Vec<RolloutAction>,
    ) {
        let version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        // An unreadable record is treated as held by an unknown node, so that it is replaced after it has stayed
        // unchanged for the length of the lease.
        let record = entry.as_ref().map(|entry| {
            LeaseRecord::decode(&entry.value).unwrap_or(LeaseRecord {
                holder: NodeId::new("", 0),
                fence: entry.version.0,
                renewal: 0,
            })
        });
        if let Some(pending) = self.unconfirmed.take()
            && let Some(written) = pending.write
            && record.as_ref() == Some(&written)
        {
            return self.apply_lease(now, pending.sent, written, version, actions);
        }
        if self.held.is_some_and(|held| held.version != version) {
            self.release(actions);
        }
        if self.held.is_none()
            && self.observed.as_ref().is_none_or(|observed| observed.version != version)
        {
            self.observed = Some(ObservedRecord { record, version, since: now });
        }
    }
}

// Adds the largest difference between two clocks over `span`, rounded up.
fn with_drift(span: ClockSpan) -> ClockSpan {
    ClockSpan::from_ms(span.as_ms() + (span.as_ms() * 2 * CLOCK_DRIFT_PPM).div_ceil(1_000_000))
}
