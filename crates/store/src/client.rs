//! The state machine between the components of a router and the adapter that calls the store.
//!
//! Components submit operations under a tag. The client emits the calls of each operation, retries them within a call
//! budget, resolves lost answers, and returns one result for each operation.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

use crate::{
    breaker::{BreakerSettings, CircuitBreaker, with_jitter},
    budget::{BudgetSettings, CallBudget},
    counters::{CallKind, StoreCounters, reply_bytes, request_bytes},
    operation::{CallClass, OperationError, OperationReply, OperationSpec, Result, WatchUpdate},
    port::{CallId, StoreFailure, StoreKey, StoreOutcome, StoreRequest},
    task::{NextStep, StoreTask, TaskStep},
};

/// Settings of a [`StoreClient`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The rates and bursts of calls.
    pub budget: BudgetSettings,
    /// The thresholds of the circuit breaker.
    pub breaker: BreakerSettings,
    /// The time after which a call other than a watch counts as unanswered.
    pub call_timeout: ClockSpan,
    /// The time after which a watch counts as unanswered; it must be longer than the adapter's poll timeout.
    pub watch_timeout: ClockSpan,
    /// The mean back-off after the first failure; it doubles with each further failure.
    pub initial_backoff: ClockSpan,
    /// The upper limit of the mean back-off.
    pub max_backoff: ClockSpan,
    /// The largest number of operations, waiting or in flight.
    pub max_tasks: usize,
    /// The largest number of calls in flight, not counting polls of watches.
    pub max_calls: usize,
    /// The bound of the clock drift in parts per million, by which the client shortens the time that a lease is held.
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
            initial_backoff: ClockSpan::from_ms(20),
            max_backoff: ClockSpan::from_secs(2),
            max_tasks: 1_024,
            max_calls: 64,
            drift_ppm: 500,
            probe_key: StoreKey::from("config/head"),
        }
    }
}

/// An input of [`StoreClient::handle`].
#[derive(Clone, Debug)]
pub enum StoreEvent<T> {
    /// A component of the router submits an operation under its own tag.
    Submit {
        /// Identifies the operation in actions; an unfinished operation with the same tag is cancelled.
        tag: T,
        /// The operation with its class and timeout.
        spec: OperationSpec,
    },
    /// A component of the router no longer needs an operation; it ends without a result.
    Cancel {
        /// The tag under which the operation was submitted.
        tag: T,
    },
    /// The adapter finished a call.
    Outcome {
        /// The ID of the call in [`StoreAction::Call`].
        call: CallId,
        /// The service's reply, or the reason why there is none.
        outcome: StoreOutcome,
    },
    /// Checks timeouts and sends calls that are due.
    Tick,
}

/// An output of [`StoreClient::handle`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum StoreAction<T> {
    /// Call the store.
    Call {
        /// The ID of the call, to be returned in [`StoreEvent::Outcome`].
        call: CallId,
        /// The request to send.
        request: StoreRequest,
    },
    /// An operation ended.
    Done {
        /// The tag under which the operation was submitted.
        tag: T,
        /// The reply, or the reason why there is none.
        result: Result<OperationReply>,
    },
    /// A watch reports values or changes.
    Watched {
        /// The tag under which the watch was submitted.
        tag: T,
        /// The values or changes.
        update: WatchUpdate,
    },
    /// The circuit breaker closed (`true`) or opened (`false`).
    Reachable(bool),
}

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    // The serial number of the task; `None` for a probe of the circuit breaker.
    task: Option<u64>,
    kind: CallKind,
    sent: ClockTime,
    timeout_at: ClockTime,
}

/// The client state machine for the key-value service, whose operations have tags of type `T`.
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

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: ClockTime,
        event: StoreEvent<T>,
        actions: &mut Vec<StoreAction<T>>,
    ) {
        match event {
            StoreEvent::Submit { tag, spec } => self.submit(now, tag, spec, actions),
            StoreEvent::Cancel { tag } => self.cancel(&tag),
            StoreEvent::Outcome { call, outcome } => {
                self.handle_outcome(now, call, outcome, actions)
            }
            StoreEvent::Tick => self.handle_timeouts(now, actions),
        }
        self.send_due_calls(now, actions);
    }

    /// Returns the counters of calls and operations since the start.
    pub fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Returns whether the circuit breaker is closed.
    pub fn is_reachable(&self) -> bool {
        !self.breaker.is_open()
    }

    /// Returns when the most recently sent call that was answered was sent.
    pub fn last_contact(&self) -> Option<ClockTime> {
        self.last_contact
    }

    /// Returns the earliest time at which a tick can have an effect, or `None` if no operation or call is pending.
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

    // A call of a cancelled operation stays in `calls`, so that its answer still counts as contact with the service.
    fn cancel(&mut self, tag: &T) {
        if let Some(serial) = self.serials.remove(tag) {
            self.remove_task(serial);
        }
    }

    fn remove_task(&mut self, serial: u64) -> Option<StoreTask<T>> {
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
        if let Some(task) = self.remove_task(serial) {
            actions.push(StoreAction::Done { tag: task.tag, result });
        }
    }

    fn handle_outcome(
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
        self.count_outcome(record.kind, &outcome);
        let is_contact = matches!(outcome, Ok(_) | Err(StoreFailure::Rejected));
        if is_contact {
            self.last_contact = self.last_contact.max(Some(record.sent));
            if self.breaker.record_success() {
                actions.push(StoreAction::Reachable(true));
            }
        } else if record.task.is_none() {
            self.breaker.record_probe_failure(now, &mut self.random);
        } else if self.breaker.record_failure(now, &mut self.random) {
            self.handle_breaker_opened(actions);
        }
        let Some(serial) = record.task else { return };
        let Some(task) = self.tasks.get_mut(&serial) else { return };
        let may_have_applied = task.may_have_applied;
        let next = task.handle_outcome(record.sent, self.settings.drift_ppm, outcome);
        match next {
            NextStep::Done(result) => {
                self.counters.resolved_by_read += u64::from(may_have_applied && result.is_ok());
                self.finish(serial, result, actions);
            }
            NextStep::Report(entries, removed) => {
                let tag = task.tag.clone();
                let update = match removed {
                    None => WatchUpdate::Snapshot(entries),
                    Some(removed) => WatchUpdate::Changes { entries, removed },
                };
                actions.push(StoreAction::Watched { tag, update });
                self.requeue(now, serial, ClockSpan::ZERO);
            }
            NextStep::RetryNow => self.requeue(now, serial, ClockSpan::ZERO),
            NextStep::RetryAfterBackoff => {
                let doublings = task.failures.saturating_sub(1).min(16);
                let mean_delay =
                    ClockSpan::from_ms(self.settings.initial_backoff.as_ms() << doublings);
                let delay =
                    with_jitter(mean_delay.min(self.settings.max_backoff), &mut self.random);
                self.requeue(now, serial, delay);
            }
        }
    }

    fn requeue(&mut self, now: ClockTime, serial: u64, delay: ClockSpan) {
        if let Some(task) = self.tasks.get_mut(&serial) {
            task.not_before = now + delay;
            self.waiting.insert((task.spec.class, serial));
        }
    }

    // Claims that were never sent fail immediately when the breaker opens, so that their callers learn that the request
    // did not run without waiting for the end of the outage.
    fn handle_breaker_opened(&mut self, actions: &mut Vec<StoreAction<T>>) {
        self.counters.breaker_opened += 1;
        actions.push(StoreAction::Reachable(false));
        let claims: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(class, serial)| {
                *class == CallClass::Claim && !self.tasks[serial].may_have_applied
            })
            .map(|(_, serial)| *serial)
            .collect();
        for serial in claims {
            self.counters.refused += 1;
            self.finish(serial, Err(OperationError::NotDone), actions);
        }
    }

    fn handle_timeouts(&mut self, now: ClockTime, actions: &mut Vec<StoreAction<T>>) {
        let timed_out_calls: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, record)| record.timeout_at <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in timed_out_calls {
            self.counters.timed_out += 1;
            self.handle_outcome(now, call, Err(StoreFailure::Unknown), actions);
        }
        let expired: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.deadline.is_some_and(|deadline| deadline <= now))
            .map(|(serial, _)| *serial)
            .collect();
        for serial in expired {
            let task = &self.tasks[&serial];
            let is_in_flight = !self.waiting.contains(&(task.spec.class, serial));
            let may_have_applied = task.may_have_applied || (is_in_flight && task.is_write());
            let error = if may_have_applied {
                OperationError::Unknown
            } else {
                task.error_when_abandoned()
            };
            self.counters.expired += 1;
            self.finish(serial, Err(error), actions);
        }
    }

    fn send_due_calls(&mut self, now: ClockTime, actions: &mut Vec<StoreAction<T>>) {
        if self.breaker.begin_probe(now) {
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
        let mut free_calls = self.settings.max_calls.saturating_sub(self.open_calls());
        let mut is_exhausted = [false; 3];
        for (class, serial) in due {
            let task = &self.tasks[&serial];
            let is_poll = matches!(task.step, TaskStep::Poll(_));
            if is_exhausted[class as usize] || (free_calls == 0 && !is_poll) {
                continue;
            }
            if !self.budget.try_take(now, class) {
                is_exhausted[class as usize] = true;
                continue;
            }
            free_calls = free_calls.saturating_sub(usize::from(!is_poll));
            self.waiting.remove(&(class, serial));
            let request = task.request();
            self.send(now, Some(serial), request, actions);
        }
    }

    fn open_calls(&self) -> usize {
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

    fn count_outcome(&mut self, kind: CallKind, outcome: &StoreOutcome) {
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
