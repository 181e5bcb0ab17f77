//! The shared core of a proxy process: the decision state, and the execution of the actions that it returns.
//!
//! Everything runs on one thread, so the state needs no lock. A handler borrows it for one step and never holds the
//! borrow across an `await`.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_rt::spawn;
use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_forward::{
    AttemptOutcome, ForwardAction, ForwardArrival, ForwardEvent, ForwardRefusal, ForwardRequest,
    ForwardState, NextStep, RefusalReason, SendPlan,
};
use godwitroad_frontend::NodeClock;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep_until},
};

use crate::{
    caller_activity::OpenCount,
    caller_budget::{CallerBounds, CallerBudget},
    client::TargetClient,
    order_lease, orders,
    platform::PlatformAdapter,
    settings::ProxySettings,
    telemetry::{LimitedLog, NodeLog, NodeMetrics},
};

/// A router's decision state and the clients, signals and settings that its tasks share.
#[derive(Debug)]
pub(crate) struct ProxyCore<P> {
    pub(crate) platform: P,
    pub(crate) settings: RefCell<ProxySettings>,
    pub(crate) client: TargetClient,
    pub(crate) log: NodeLog,
    pub(crate) metrics: Rc<NodeMetrics>,
    /// Wakes the gossip sender before its next regular round.
    pub(crate) send_gossip: Notify,
    /// Wakes the store task from an idle pause.
    pub(crate) check_store: Notify,
    /// Wakes the task that reads configurations from peers.
    pub(crate) read_config: Notify,
    /// Wakes the task that maintains this router's entry, because the store has returned from an older copy.
    pub(crate) write_entry: Notify,
    /// The requests of callers that have begun to arrive and whose answers aren't complete.
    pub(crate) open_requests: OpenCount,
    /// The budget for what callers make the process hold.
    pub(crate) caller_budget: CallerBudget,
    /// The budget for the connections of operators and their tools.
    pub(crate) operator_budget: CallerBudget,
    /// The connections to targets that are relayed for other routers.
    pub(crate) open_relays: Cell<usize>,
    /// Set to `true` to make callers' connections close as soon as they are idle.
    pub(crate) closing: watch::Sender<bool>,
    /// Set to `true` when open requests must be answered, as the process is about to end.
    pub(crate) answer_due: watch::Sender<bool>,
    clock: NodeClock,
    state: RefCell<ForwardState>,
}

/// The reference to the core that each task holds.
pub(crate) type SharedCore<P> = Rc<ProxyCore<P>>;

impl<P: PlatformAdapter> ProxyCore<P> {
    /// Returns the core of a router that has no configuration, targets or peers yet.
    pub(crate) fn new(platform: P, settings: ProxySettings, log: NodeLog) -> SharedCore<P> {
        let clock = NodeClock::start();
        let state = ForwardState::new(settings.forward.clone());
        let metrics = Rc::new(NodeMetrics::default());
        let budget = |bounds, prefix: &'static str| {
            let (reporter, log) = (metrics.clone(), LimitedLog::new(log.clone()));
            CallerBudget::new(bounds, move |name, detail| {
                reporter.count(&format!("{prefix}.{name}"), 1);
                log.warn(name, &format!("of={prefix} {detail}"));
            })
        };
        let caller_budget = budget(settings.caller_bounds, "callers");
        let operator_budget = budget(CallerBounds::for_operators(), "operators");
        Rc::new(ProxyCore {
            platform,
            settings: RefCell::new(settings),
            client: TargetClient::default(),
            log,
            metrics,
            send_gossip: Notify::new(),
            check_store: Notify::new(),
            read_config: Notify::new(),
            write_entry: Notify::new(),
            open_requests: OpenCount::default(),
            caller_budget,
            operator_budget,
            open_relays: Cell::new(0),
            closing: watch::Sender::new(false),
            answer_due: watch::Sender::new(false),
            clock,
            state: RefCell::new(state),
        })
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Runs a closure on the decision state without changing it.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&ForwardState) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Runs a closure that may change the decision state. It must not call back into the core.
    pub(crate) fn update<T>(&self, step: impl FnOnce(&mut ForwardState) -> T) -> T {
        step(&mut self.state.borrow_mut())
    }

    /// Passes an event to the decision state and executes the resulting actions.
    pub(crate) fn handle(self: &Rc<Self>, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.state.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                ForwardAction::Term(action) => {
                    spawn(order_lease::call(self.clone(), action));
                }
                ForwardAction::RecordWeights { fence, record, recent_for } => {
                    spawn(order_lease::record_weights(self.clone(), fence, record, recent_for));
                }
                ForwardAction::RecordRollout { fence, step } => {
                    spawn(order_lease::record_rollout(self.clone(), fence, step));
                }
                ForwardAction::Weight { action, fence } => {
                    spawn(orders::execute(self.clone(), action, fence));
                }
                ForwardAction::SendGossip => self.send_gossip.notify_one(),
                ForwardAction::CheckStore => self.check_store.notify_one(),
                ForwardAction::ReadConfig => self.read_config.notify_one(),
                ForwardAction::CloseRelays => self.client.close_relayed(),
                ForwardAction::Notice(event, detail) => {
                    self.metrics.count(event, 1);
                    self.log.event(event, &detail);
                }
                ForwardAction::Measure(name, value) => self.metrics.record(name, value),
            }
        }
    }

    /// Wakes the gossip sender if the peers should learn of a change at once.
    pub(crate) fn send_urgent_gossip(&self) {
        if self.read(|state| state.has_urgent_gossip()) {
            self.send_gossip.notify_one();
        }
    }

    /// Checks a new request against the configuration and the account's allowance.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer the caller with.
    pub(crate) fn admit(
        &self,
        arrival: ForwardArrival,
    ) -> std::result::Result<ForwardRequest, ForwardRefusal> {
        let (admitted, has_urgent_gossip) =
            self.update(|state| (state.admit(self.now(), arrival), state.has_urgent_gossip()));
        if has_urgent_gossip {
            self.send_gossip.notify_one();
        }
        admitted
    }

    /// Chooses a target for the next attempt and logs the choice with its inputs.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no target can take the request.
    pub(crate) fn choose_target(
        &self,
        request: &mut ForwardRequest,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let now = self.now();
        let (plan, version, proof, has_urgent_gossip, limit, room) = self.update(|state| {
            let version = state.config_version();
            let proof = state.proof_age(now).map(ClockSpan::as_ms);
            let plan = state.choose_target(now, request);
            let limit = plan.as_ref().ok().and_then(|plan| {
                Some((
                    state.target_limit(&plan.target)?.per_second(),
                    state.limit_level(&plan.target)?,
                ))
            });
            let room = plan.as_ref().ok().and_then(|plan| state.brittle_room(&plan.target));
            (plan, version, proof, state.has_urgent_gossip(), limit, room)
        });
        if has_urgent_gossip {
            self.send_gossip.notify_one();
        }
        let plan = plan.inspect_err(|refusal| {
            if refusal.reason == RefusalReason::Overloaded {
                self.metrics.count(&format!("admission.refused.{}", request.priority()), 1);
            }
        })?;
        let estimate = plan.sent.map(|sent| sent.estimate);
        let shared = request.arrival.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let detail = format!(
            "route={} account={} repeat_key={} config_version={version} proof_age_ms={proof:?} resumes={} target={} build={} address={} offer={} \
             wait_estimate_ms={} pace={} pause_estimate_ms={} prompt={:?} shared={} shared_tokens={} salt={} held={} held_anywhere={} read={} fetch={:?} keep={:?} weights={:?} \
             limit={:?} room={room:?} trial={} time_left_ms={}",
            request.route.name,
            plan.account.as_ref().map_or("-", |account| account.as_str()),
            request.repeat_key(),
            request.arrival.resumes.as_deref().unwrap_or("-"),
            plan.target,
            plan.build,
            plan.address,
            request.tried.len(),
            plan.wait_ms,
            estimate.map_or("-".to_string(), |estimate| format!("{:.2}", estimate.pace)),
            estimate.map_or("-".to_string(), |estimate| format!("{:.0}", estimate.pause_ms)),
            request.arrival.tokens,
            shared.last().map_or("-", |part| part.id.as_str()),
            shared.iter().map(|part| part.tokens).sum::<u64>(),
            plan.salt.as_deref().unwrap_or("-"),
            plan.cached_tokens,
            plan.cached_anywhere,
            plan.prefill_tokens,
            plan.fetch_from,
            plan.save_to,
            plan.version,
            limit,
            plan.is_trial,
            plan.time_left.as_ms(),
        );
        self.log.request("request_placed", &request.arrival.id, &detail);
        Ok(plan)
    }

    /// Records the end of an attempt, logs it and returns the next step for the request.
    pub(crate) fn finish_attempt(
        &self,
        request: &mut ForwardRequest,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) -> NextStep {
        let now = self.now();
        let (step, has_urgent_gossip) = self.update(|state| {
            let step = state.finish_attempt(now, request, plan, outcome);
            (step, state.has_urgent_gossip())
        });
        if has_urgent_gossip {
            self.send_gossip.notify_one();
        }
        self.metrics.count(outcome_name(outcome), 1);
        let detail = format!(
            "target={} outcome={outcome:?} next={step:?} attempt={} elapsed_ms={}",
            plan.target,
            request.attempts,
            now.since(request.arrived).as_ms(),
        );
        self.log.request("attempt_ended", &request.arrival.id, &detail);
        step
    }

    /// Returns the instant that is `span` from now.
    pub(crate) fn deadline(&self, span: ClockSpan) -> Instant {
        Instant::now() + Duration::from_millis(span.as_ms())
    }

    /// Returns whether the process received the signal to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.read(|state| state.stop_phase().is_stopping())
    }

    /// Waits for `span`.
    pub(crate) async fn sleep(&self, span: ClockSpan) {
        sleep_until(self.deadline(span)).await;
    }
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Complete { .. } => "attempts.complete",
        AttemptOutcome::Rejected { .. } => "attempts.rejected",
        AttemptOutcome::NotSent => "attempts.not_sent",
        AttemptOutcome::Lost { .. } | AttemptOutcome::Failed => "attempts.failed",
        AttemptOutcome::Silent => "attempts.silent",
        AttemptOutcome::Outdated => "attempts.outdated",
        AttemptOutcome::Relocated => "attempts.relocated",
        AttemptOutcome::Superseded => "attempts.superseded",
        AttemptOutcome::CallerLeft => "attempts.caller_left",
        AttemptOutcome::TimeOver => "attempts.time_over",
    }
}
