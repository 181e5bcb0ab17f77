//! Who may order, and until when.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, ServiceName, TargetName};
use godwitroad_store::{
    CallId, KeyVersion, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};

use crate::{
    record::LeaseRecord,
    rollout::{DesiredTarget, RolloutPlan, RolloutProgress, TargetOrder, TargetReport},
};

/// The parts per million by which two clocks may run apart.
const CLOCK_DRIFT_PPM: u64 = 500;

/// The settings of an [`RolloutController`].
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The process itself.
    pub node: NodeId,
    /// The service.
    pub service: ServiceName,
    /// The length of the lease.
    pub lease: ClockSpan,
    /// The time within which an order has arrived or never will.
    pub delivery: ClockSpan,
    /// The time between two reads of another holder's record.
    pub poll: ClockSpan,
}

/// What an [`RolloutController`] is told.
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// What the configuration wants of the service's targets.
    Configure(Vec<DesiredTarget>),
    /// Whether this router should hold the lease when nobody else does.
    Candidate(bool),
    /// A call to the store ended.
    Store {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// A target reported what it has loaded.
    Report {
        /// The target.
        target: TargetName,
        /// The report.
        report: TargetReport,
    },
    /// An order ended.
    OrderAnswered {
        /// The target.
        target: TargetName,
        /// The fencing number that the order carried.
        fence: u64,
        /// What came of it.
        outcome: OrderOutcome,
    },
    /// Time passed.
    Tick,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target took the order.
    Taken,
    /// The target knows a newer fencing number.
    Fenced,
    /// The order certainly did not reach the target.
    NotSent,
    /// The order may have reached the target.
    Unknown,
}

/// What an [`RolloutController`] asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAction {
    /// Call the store.
    Store {
        /// The call.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Send an order, and give up when it has not arrived within the time.
    Send {
        /// The target.
        target: TargetName,
        /// The fencing number.
        fence: u64,
        /// The order.
        order: TargetOrder,
        /// The time within which the order must arrive.
        within: ClockSpan,
    },
    /// The router began or ceased to hold the lease.
    LeaseHeld(bool),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldLease {
    fence: u64,
    renewal: u64,
    version: KeyVersion,
    valid_until: ClockTime,
    orders_from: ClockTime,
}

#[derive(Clone, Debug)]
struct SeenRecord {
    record: Option<LeaseRecord>,
    version: KeyVersion,
    since: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingCall {
    call: CallId,
    sent: ClockTime,
    write: Option<LeaseRecord>,
}

/// The state machine that acquires, keeps and uses a service's lease.
#[derive(Debug)]
pub struct RolloutController {
    settings: ControllerSettings,
    candidate: bool,
    plan: RolloutPlan,
    held: Option<HeldLease>,
    seen: Option<SeenRecord>,
    pending: Option<PendingCall>,
    // A write whose answer was lost; a read shows whether it took effect.
    unsettled: Option<PendingCall>,
    next_call: u64,
    next_read: ClockTime,
}

impl Default for ControllerSettings {
    fn default() -> ControllerSettings {
        ControllerSettings {
            node: NodeId::new("vm-1", 1),
            service: "service".into(),
            lease: ClockSpan::from_secs(10),
            delivery: ClockSpan::from_secs(2),
            poll: ClockSpan::from_secs(2),
        }
    }
}

impl RolloutController {
    /// Returns a machine that holds nothing.
    pub fn new(settings: ControllerSettings) -> RolloutController {
        RolloutController {
            settings,
            candidate: false,
            plan: RolloutPlan::default(),
            held: None,
            seen: None,
            pending: None,
            unsettled: None,
            next_call: 0,
            next_read: ClockTime::ZERO,
        }
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_holding(&self, now: ClockTime) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Returns how far the rollout is, as far as this router knows.
    pub fn progress(&self) -> RolloutProgress {
        self.plan.progress()
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: ClockTime,
        event: RolloutEvent,
        actions: &mut Vec<RolloutAction>,
    ) {
        // A process that was paused must notice the end of its lease before it does anything else.
        self.drop_expired(now, actions);
        match event {
            RolloutEvent::Configure(desired) => self.plan.configure(desired),
            RolloutEvent::Candidate(candidate) => self.candidate = candidate,
            RolloutEvent::Store { call, outcome } => self.store_answer(now, call, outcome, actions),
            RolloutEvent::Report { target, report } => self.plan.report(now, target, report),
            RolloutEvent::OrderAnswered { target, fence, outcome } => {
                self.order_answer(&target, fence, outcome, actions);
            }
            RolloutEvent::Tick => {}
        }
        self.call_store(now, actions);
        self.send_orders(now, actions);
    }

    fn drop_expired(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.release(actions);
        }
    }

    fn release(&mut self, actions: &mut Vec<RolloutAction>) {
        if self.held.take().is_some() {
            self.plan.forget();
            self.seen = None;
            self.next_read = ClockTime::ZERO;
            actions.push(RolloutAction::LeaseHeld(false));
        }
    }

    fn order_answer(
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
            OrderOutcome::NotSent => self.plan.not_sent(target),
            OrderOutcome::Fenced => self.release(actions),
        }
    }

    fn send_orders(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        let Some(held) = self.held else { return };
        if now < held.orders_from {
            return;
        }
        let delivery = self.settings.delivery;
        let covered = now + with_drift(delivery) < held.valid_until;
        for (entry, order) in self.plan.next(held.orders_from) {
            if !covered && !entry.checks_fencing {
                continue;
            }
            self.plan.ordered(entry.target.clone(), &order, now + with_drift(delivery));
            actions.push(RolloutAction::Send {
                target: entry.target,
                fence: held.fence,
                order,
                within: delivery,
            });
        }
    }

    fn call_store(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if self.pending.is_some() {
            // An answer that never comes must not stop the machine.
            let overdue = self
                .pending
                .as_ref()
                .is_some_and(|pending| now >= pending.sent + self.settings.lease);
            if !overdue {
                return;
            }
            self.unsettle();
        }
        if self.unsettled.is_some() {
            return self.read(now, actions);
        }
        match self.held {
            Some(held) if now >= self.renew_at(&held) => self.renew(now, held, actions),
            Some(_) => {}
            None if self.candidate => self.acquire(now, actions),
            None => {}
        }
    }

    fn renew_at(&self, held: &HeldLease) -> ClockTime {
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
        let Some(seen) = &self.seen else { return self.read(now, actions) };
        let free = seen.record.is_none() || now >= seen.since + with_drift(self.settings.lease);
        if !free {
            return self.read(now, actions);
        }
        let fence = seen.record.as_ref().map_or(0, |record| record.fence) + 1;
        let record = LeaseRecord { holder: self.settings.node.clone(), fence, renewal: 0 };
        let version = seen.version;
        self.write(now, record, version, actions);
    }

    fn read(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        if now < self.next_read {
            return;
        }
        self.next_read = now + self.settings.poll;
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

    fn unsettle(&mut self) {
        if let Some(pending) = self.pending.take()
            && pending.write.is_some()
        {
            self.unsettled = Some(pending);
            self.next_read = ClockTime::ZERO;
        }
    }

    fn store_answer(
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
            Ok(StoreReply::Written(version)) => self.written(now, version, actions),
            Ok(StoreReply::Conflict(entry)) => {
                self.pending = None;
                self.observe(now, entry, actions);
            }
            Ok(StoreReply::Value(entry)) => {
                self.pending = None;
                self.observe(now, entry, actions);
            }
            Ok(_) | Err(StoreFailure::Unknown) => self.unsettle(),
            Err(StoreFailure::NotSent | StoreFailure::Rejected) => {
                self.pending = None;
                self.next_read = now + self.settings.poll;
            }
        }
    }

    fn written(&mut self, now: ClockTime, version: KeyVersion, actions: &mut Vec<RolloutAction>) {
        let Some(PendingCall { sent, write: Some(record), .. }) = self.pending.take() else {
            return;
        };
        self.hold(now, sent, record, version, actions);
    }

    // The lease counts from before the write was sent, as others may count from when it took effect.
    fn hold(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        record: LeaseRecord,
        version: KeyVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        let valid_until = sent + self.settings.lease;
        if now >= valid_until {
            self.seen = Some(SeenRecord { record: Some(record), version, since: now });
            return self.release(actions);
        }
        let fresh = self.held.is_none_or(|held| held.fence != record.fence);
        // Orders of the holder before may still be under way for the time of their delivery.
        let orders_from = match self.held {
            Some(held) if !fresh => held.orders_from,
            // The first holder of a service has nobody before it.
            _ if record.fence == 1 => now,
            _ => now + with_drift(self.settings.delivery),
        };
        let LeaseRecord { fence, renewal, .. } = record;
        self.held = Some(HeldLease { fence, renewal, version, valid_until, orders_from });
        self.seen = None;
        if fresh {
            self.plan.forget();
            actions.push(RolloutAction::LeaseHeld(true));
        }
    }

    fn observe(
        &mut self,
        now: ClockTime,
        entry: Option<StoreEntry>,
        actions: &mut Vec<RolloutAction>,
    ) {
        let version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        // A record that can't be read is replaced once it has stayed unchanged for a lease.
        let record = entry.as_ref().map(|entry| {
            LeaseRecord::decode(&entry.value).unwrap_or(LeaseRecord {
                holder: NodeId::new("", 0),
                fence: entry.version.0,
                renewal: 0,
            })
        });
        if let Some(pending) = self.unsettled.take()
            && let Some(written) = pending.write
            && record.as_ref() == Some(&written)
        {
            return self.hold(now, pending.sent, written, version, actions);
        }
        if self.held.is_some_and(|held| held.version != version) {
            self.release(actions);
        }
        if self.held.is_none() && self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(SeenRecord { record, version, since: now });
        }
    }
}

fn with_drift(span: ClockSpan) -> ClockSpan {
    ClockSpan::from_ms(span.as_ms() + (span.as_ms() * 2 * CLOCK_DRIFT_PPM).div_ceil(1_000_000))
}
