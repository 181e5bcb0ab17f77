//! The state machine between the parts of a router and the adapter that calls the store.
//!
//! Parts submit operations under a tag; the client emits calls, repeats and settles them within a budget, and gives
//! back one result for each operation.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

use crate::{
    breaker::{BreakerSettings, CircuitBreaker, jitter},
    budget::{BudgetSettings, CallBudget},
    counters::{CallKind, StoreCounters, reply_bytes, request_bytes},
    operation::{CallClass, OperationError, OperationReply, OperationSpec, Result, WatchUpdate},
    port::{CallId, StoreFailure, StoreKey, StoreOutcome, StoreRequest},
    task::{StoreTask, TaskNext, TaskStep},
};

/// Settings of a store client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The call budget.
    pub budget: BudgetSettings,
    /// The circuit breaker.
    pub breaker: BreakerSettings,
    /// The time after which a call other than a watch counts as unanswered.
    pub call_timeout: ClockSpan,
    /// The time after which a watch counts as unanswered; longer than the adapter's poll time.
    pub watch_timeout: ClockSpan,
    /// The mean back-off after the first failure; it doubles with each further one.
    pub backoff: ClockSpan,
    /// The longest mean back-off.
    pub backoff_max: ClockSpan,
    /// The largest number of operations that wait or run.
    pub max_tasks: usize,
    /// The largest number of calls under way, without watches.
    pub max_calls: usize,
    /// The drift bound of the own clock in parts per million, by which leases are shortened.
    pub drift_ppm: u64,
    /// The key that a probe reads.
    pub probe_key: StoreKey,
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings {
            budget: BudgetSettings::default(),
            breaker: BreakerSettings::default(),
            call_timeout: ClockSpan::from_ms(1_000),
            watch_timeout: ClockSpan::from_secs(15),
            backoff: ClockSpan::from_ms(20),
            backoff_max: ClockSpan::from_secs(2),
            max_tasks: 1_024,
            max_calls: 64,
            drift_ppm: 500,
            probe_key: StoreKey::from("config/head"),
        }
    }
}

/// An event that [`StoreClient::handle`] takes.
#[derive(Clone, Debug)]
pub enum StoreEvent<T> {
    /// A part of the router submits an operation under its own tag.
    Submit {
        /// The tag, unique among the operations that run.
        tag: T,
        /// The operation.
        spec: OperationSpec,
    },
    /// A part of the router doesn't need an operation any more; it ends without a result.
    Cancel {
        /// The tag.
        tag: T,
    },
    /// A call ended.
    Outcome {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// Time passed.
    Tick,
}

/// An action that [`StoreClient::handle`] asks for.
#[derive(Clone, Debug)]
pub enum StoreAction<T> {
    /// Call the store.
    Call {
        /// The call, echoed in the outcome.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// An operation ended.
    Done {
        /// The tag.
        tag: T,
        /// The result.
        result: Result<OperationReply>,
    },
    /// A watch reports.
    Watched {
        /// The tag.
        tag: T,
        /// The report.
        update: WatchUpdate,
    },
    /// The circuit breaker closed or opened.
    Reachable(bool),
}

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    // A probe belongs to no task.
    task: Option<u64>,
    kind: CallKind,
    sent: ClockTime,
    timeout_at: ClockTime,
}

/// The client state machine for the key-value service.
#[derive(Clone, Debug)]
pub struct StoreClient<T> {
    settings: ClientSettings,
    random: SeededRandom,
    budget: CallBudget,
    breaker: CircuitBreaker,
    counters: StoreCounters,
    tasks: BTreeMap<u64, StoreTask<T>>,
    serials: BTreeMap<T, u64>,
    waiting: BTreeSet<(CallClass, u64)>,
    calls: BTreeMap<CallId, CallRecord>,
    last_serial: u64,
    last_call: u64,
    last_contact: Option<ClockTime>,
}

impl<T: Clone + Ord> StoreClient<T> {
    /// Returns a client that has sent nothing yet.
    pub fn new(settings: ClientSettings, random: SeededRandom) -> StoreClient<T> {
        StoreClient {
            budget: CallBudget::new(settings.budget),
            breaker: CircuitBreaker::new(settings.breaker),
            settings,
            random,
            counters: StoreCounters::default(),
            tasks: BTreeMap::new(),
            serials: BTreeMap::new(),
            waiting: BTreeSet::new(),
            calls: BTreeMap::new(),
            last_serial: 0,
            last_call: 0,
            last_contact: None,
        }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: ClockTime,
        event: StoreEvent<T>,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        match event {
            StoreEvent::Submit { tag, spec } => self.submit(now, tag, spec, actions),
            StoreEvent::Cancel { tag } => self.cancel(&tag),
            StoreEvent::Outcome { call, outcome } => self.take_outcome(now, call, outcome, actions),
            StoreEvent::Tick => self.expire(now, actions),
        }
        self.pump(now, actions);
    }

    /// Returns the counters.
    pub fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Returns whether the circuit breaker is closed.
    pub fn is_reachable(&self) -> bool {
        !self.breaker.is_open()
    }

    /// Returns when the newest answered call was sent.
    pub fn last_contact(&self) -> Option<ClockTime> {
        self.last_contact
    }

    /// Returns the next time at which a tick changes something, or `None` when nothing waits.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let calls = self.calls.values().map(|call| call.timeout_at);
        let tasks = self.tasks.values().filter_map(|task| task.deadline);
        let waiting = self.waiting.iter().map(|(_, serial)| self.tasks[serial].not_before);
        calls.chain(tasks).chain(waiting).min()
    }

    fn submit(
        &mut self,
        now: ClockTime,
        tag: T,
        spec: OperationSpec,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        let fails_fast = self.breaker.is_open() && spec.class == CallClass::Claim;
        if fails_fast || self.tasks.len() >= self.settings.max_tasks {
            self.counters.refused += 1;
            actions.push(StoreAction::Done { tag, result: Err(OperationError::NotDone) });
            return;
        }
        self.cancel(&tag);
        self.last_serial += 1;
        self.waiting.insert((spec.class, self.last_serial));
        self.serials.insert(tag.clone(), self.last_serial);
        self.tasks.insert(self.last_serial, StoreTask::new(now, tag, spec));
    }

    // A call of a cancelled operation stays in `calls`, so that its answer still counts as contact.
    fn cancel(&mut self, tag: &T) {
        if let Some(serial) = self.serials.remove(tag) {
            self.drop_task(serial);
        }
    }

    fn drop_task(&mut self, serial: u64) -> Option<StoreTask<T>> {
        let task = self.tasks.remove(&serial)?;
        self.waiting.remove(&(task.spec.class, serial));
        self.serials.remove(&task.tag);
        Some(task)
    }

    fn finish(
        &mut self,
        serial: u64,
        result: Result<OperationReply>,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        if let Some(task) = self.drop_task(serial) {
            actions.push(StoreAction::Done { tag: task.tag, result });
        }
    }

    fn take_outcome(
        &mut self,
        now: ClockTime,
        call: CallId,
        outcome: StoreOutcome,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        let Some(record) = self.calls.remove(&call) else {
            self.counters.late_answers += 1;
            return;
        };
        self.count(record.kind, &outcome);
        let is_contact = matches!(outcome, Ok(_) | Err(StoreFailure::Rejected));
        if is_contact {
            self.last_contact = self.last_contact.max(Some(record.sent));
            if self.breaker.succeed() {
                actions.push(StoreAction::Reachable(true));
            }
        } else if record.task.is_none() {
            self.breaker.fail_probe(now, &mut self.random);
        } else if self.breaker.fail(now, &mut self.random) {
            self.open(actions);
        }
        let Some(serial) = record.task else { return };
        let Some(task) = self.tasks.get_mut(&serial) else { return };
        let was_exposed = task.is_exposed;
        let next = task.settle(record.sent, self.settings.drift_ppm, outcome);
        match next {
            TaskNext::Done(result) => {
                self.counters.settled += u64::from(was_exposed && result.is_ok());
                self.finish(serial, result, actions);
            }
            TaskNext::Report(entries, removed) => {
                let tag = task.tag.clone();
                let update = match removed {
                    None => WatchUpdate::Snapshot(entries),
                    Some(removed) => WatchUpdate::Changes { entries, removed },
                };
                actions.push(StoreAction::Watched { tag, update });
                self.queue(now, serial, ClockSpan::ZERO);
            }
            TaskNext::Again => self.queue(now, serial, ClockSpan::ZERO),
            TaskNext::Later => {
                let doublings = task.failures.saturating_sub(1).min(16);
                let mean = ClockSpan::from_ms(self.settings.backoff.as_ms() << doublings);
                let span = jitter(mean.min(self.settings.backoff_max), &mut self.random);
                self.queue(now, serial, span);
            }
        }
    }

    fn queue(&mut self, now: ClockTime, serial: u64, span: ClockSpan) {
        if let Some(task) = self.tasks.get_mut(&serial) {
            task.not_before = now + span;
            self.waiting.insert((task.spec.class, serial));
        }
    }

    // Claims that were never sent end at once when the breaker opens: their callers are told "not run" without
    // waiting for the outage to end.
    fn open(&mut self, actions: &mut Vec<StoreAction<T>>) {
        self.counters.breaker_opened += 1;
        actions.push(StoreAction::Reachable(false));
        let claims: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(class, serial)| *class == CallClass::Claim && !self.tasks[serial].is_exposed)
            .map(|(_, serial)| *serial)
            .collect();
        for serial in claims {
            self.counters.refused += 1;
            self.finish(serial, Err(OperationError::NotDone), actions);
        }
    }

    fn expire(&mut self, now: ClockTime, actions: &mut Vec<StoreAction<T>>) {
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, record)| record.timeout_at <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            self.counters.timed_out += 1;
            self.take_outcome(now, call, Err(StoreFailure::Unknown), actions);
        }
        let over: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.deadline.is_some_and(|deadline| deadline <= now))
            .map(|(serial, _)| *serial)
            .collect();
        for serial in over {
            let task = &self.tasks[&serial];
            let is_flying = !self.waiting.contains(&(task.spec.class, serial));
            let is_exposed = task.is_exposed || (is_flying && task.is_write());
            let error = if is_exposed { OperationError::Unknown } else { task.surrender() };
            self.counters.expired += 1;
            self.finish(serial, Err(error), actions);
        }
    }

    fn pump(&mut self, now: ClockTime, actions: &mut Vec<StoreAction<T>>) {
        if self.breaker.take_probe(now) {
            self.counters.probes += 1;
            let key = self.settings.probe_key.clone();
            self.send(now, None, StoreRequest::Get { key }, actions);
        }
        if self.breaker.is_open() {
            return;
        }
        let due: Vec<(CallClass, u64)> = self
            .waiting
            .iter()
            .filter(|(_, serial)| self.tasks[serial].not_before <= now)
            .copied()
            .collect();
        let mut room = self.settings.max_calls.saturating_sub(self.busy_calls());
        let mut is_empty = [false; 3];
        for (class, serial) in due {
            let task = &self.tasks[&serial];
            let is_poll = matches!(task.step, TaskStep::Poll(_));
            if is_empty[class as usize] || (room == 0 && !is_poll) {
                continue;
            }
            if !self.budget.take(now, class) {
                is_empty[class as usize] = true;
                continue;
            }
            room = room.saturating_sub(usize::from(!is_poll));
            self.waiting.remove(&(class, serial));
            let request = task.request();
            self.send(now, Some(serial), request, actions);
        }
    }

    fn busy_calls(&self) -> usize {
        self.calls.values().filter(|record| record.kind != CallKind::Watch).count()
    }

    fn send(
        &mut self,
        now: ClockTime,
        task: Option<u64>,
        request: StoreRequest,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        let kind = CallKind::from_request(&request);
        let timeout = match kind {
            CallKind::Watch => self.settings.watch_timeout,
            _ => self.settings.call_timeout,
        };
        let counters = self.counters.kind_mut(kind);
        counters.sent += 1;
        counters.bytes_sent += request_bytes(&request);
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.calls.insert(call, CallRecord { task, kind, sent: now, timeout_at: now + timeout });
        actions.push(StoreAction::Call { call, request });
    }

    fn count(&mut self, kind: CallKind, outcome: &StoreOutcome) {
        let counters = self.counters.kind_mut(kind);
        match outcome {
            Ok(reply) => {
                counters.answered += 1;
                counters.bytes_received += reply_bytes(reply);
            }
            Err(StoreFailure::NotSent) => counters.not_sent += 1,
            Err(StoreFailure::Unknown) => counters.unknown += 1,
            Err(StoreFailure::Rejected) => counters.rejected += 1,
        }
    }
}
