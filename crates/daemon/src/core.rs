//! The task that owns the decision state.
//!
//! Events of all adapters meet in one queue. The task applies them one by one and carries out the actions of each
//! event before it takes the next, so that an adapter sees actions in the order in which they were decided. It shares
//! its thread with the first group of attempts: a request then changes threads twice instead of four times on its way
//! to the first token.

mod callers;

use std::{
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use godwitroad_base::{ClockTime, ModelName, RegionName, RequestId, VmName};
use godwitroad_config::KeyHash;
use godwitroad_frontend::NodeClock;
use godwitroad_router::{
    AttemptReport, CallerReply, DispatchOrder, PeerEndpoint, PeerMessage, RequestArrival,
    RouterAction, RouterEvent, StateChange,
};
use godwitroad_store::{CallId, StoreRequest};
use serde_json::Value;
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        oneshot,
    },
    time::{MissedTickBehavior, interval},
};

use crate::{
    decision::{AdminQuery, DecisionState, PollTarget},
    intake::IntakeRequest,
};

use callers::{CallerSlot, CallerTable};

/// The time between two ticks (section 3 of the design page).
const TICK_MS: u64 = 10;

/// The ticks between two looks at the list of targets to poll.
const POLL_LIST_TICKS: u64 = 100;

/// What a caller's connection gets from the core.
#[derive(Debug)]
pub(crate) enum CallerItem {
    /// The request has an id.
    Accepted(RequestId),
    /// A part of the answer.
    Reply(CallerReply),
}

/// What the core takes.
pub(crate) enum CoreInput {
    /// A caller's request arrived.
    Arrive {
        arrival: RequestArrival,
        request: Arc<IntakeRequest>,
        caller: UnboundedSender<CallerItem>,
    },
    /// A caller's connection closed before its answer ended.
    Left { connection: u64 },
    /// Anything else that happened.
    Event(RouterEvent),
    /// An operator's question.
    Admin(AdminQuery, oneshot::Sender<Option<Value>>),
    /// A caller's question for the models.
    Models(Option<KeyHash>, oneshot::Sender<Option<Vec<ModelName>>>),
    /// The task must end.
    Shutdown,
}

/// What the core asks of the other adapters.
pub(crate) trait CorePorts: Send {
    fn dispatch(&mut self, order: DispatchOrder, request: Arc<IntakeRequest>);
    fn cancel(&mut self, id: RequestId, attempt: u32);
    fn pause(&mut self, id: RequestId, attempt: u32, paused: bool);
    fn peer(&mut self, to: VmName, message: PeerMessage);
    fn peers(&mut self, places: Vec<(PeerEndpoint, Option<RegionName>)>);
    fn store(&mut self, call: CallId, request: StoreRequest);
    fn poll(&mut self, targets: Vec<PollTarget>);
    fn notice(&mut self, notice: StateChange);
    fn exit(&mut self);
}

/// The way into the core, for all adapters.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    inputs: UnboundedSender<CoreInput>,
    unready: Arc<RwLock<Option<&'static str>>>,
    stopping: Arc<AtomicBool>,
}

impl CoreHandle {
    /// Returns a handle and the queue that [`run`] reads.
    pub(crate) fn new() -> (CoreHandle, UnboundedReceiver<CoreInput>) {
        let (inputs, queue) = unbounded_channel();
        let unready = Arc::new(RwLock::new(Some("starting")));
        (CoreHandle { inputs, unready, stopping: Arc::default() }, queue)
    }

    /// Hands over an input; returns `false` when the core has ended.
    pub(crate) fn send(&self, input: CoreInput) -> bool {
        self.inputs.send(input).is_ok()
    }

    pub(crate) fn event(&self, event: RouterEvent) -> bool {
        self.send(CoreInput::Event(event))
    }

    /// Makes the daemon report "not ready" from now on, before the state is told to stop.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns why the daemon isn't ready, or `None` when it is.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("the router is stopping");
        }
        *self.unready.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The core with its state.
pub(crate) struct CoreLoop {
    pub(crate) state: Box<dyn DecisionState>,
    pub(crate) ports: Box<dyn CorePorts>,
    pub(crate) clock: NodeClock,
    pub(crate) handle: CoreHandle,
}

/// Runs the core until it is told to end.
pub(crate) async fn run(core: CoreLoop, mut queue: UnboundedReceiver<CoreInput>) {
    let mut runner = CoreRunner {
        core,
        callers: CallerTable::default(),
        actions: Vec::new(),
        polled: Vec::new(),
        unready: Some("starting"),
    };
    let mut clock = interval(Duration::from_millis(TICK_MS));
    // After a pause of the process one tick stands for all that were missed.
    clock.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks = 0_u64;
    loop {
        tokio::select! {
            biased;
            _ = clock.tick() => {
                runner.apply(RouterEvent::Tick);
                ticks += 1;
                if ticks % POLL_LIST_TICKS == 1 {
                    runner.refresh();
                }
            }
            input = queue.recv() => match input {
                Some(CoreInput::Shutdown) | None => return,
                Some(input) => runner.take(input),
            }
        }
    }
}

struct CoreRunner {
    core: CoreLoop,
    callers: CallerTable,
    actions: Vec<RouterAction>,
    polled: Vec<PollTarget>,
    unready: Option<&'static str>,
}

impl CoreRunner {
    fn take(&mut self, input: CoreInput) {
        match input {
            CoreInput::Arrive { arrival, request, caller } => {
                let connection = arrival.connection;
                self.callers.wait(CallerSlot { connection, caller }, request);
                self.apply(RouterEvent::Request(arrival));
            }
            CoreInput::Left { connection } => {
                if let Some(id) = self.callers.left(connection, self.now()) {
                    self.apply(RouterEvent::CallerLeft { id });
                }
            }
            CoreInput::Event(event) => self.apply(event),
            CoreInput::Admin(query, answer) => {
                if query == AdminQuery::Status {
                    // The zones answer within milliseconds, for the operator's next question.
                    self.apply(RouterEvent::RequestProgress);
                }
                // The operator may have gone; nobody else wants the answer.
                let _ = answer.send(self.core.state.admin(&query));
            }
            CoreInput::Models(key, answer) => {
                let _ = answer.send(self.core.state.models(key.as_ref()));
            }
            CoreInput::Shutdown => {}
        }
    }

    fn now(&self) -> ClockTime {
        self.core.clock.now()
    }

    fn apply(&mut self, event: RouterEvent) {
        let now = self.now();
        let ended = match &event {
            RouterEvent::Attempt { id, report: AttemptReport::Ended, .. } => Some(*id),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.core.state.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        self.callers.settle(ended);
        let unready = self.core.state.readiness().err();
        if unready != self.unready {
            self.unready = unready;
            let shared = &self.core.handle.unready;
            *shared.write().unwrap_or_else(PoisonError::into_inner) = unready;
        }
    }

    fn carry_out(&mut self, action: RouterAction) {
        let ports = &mut self.core.ports;
        match action {
            RouterAction::Accepted { connection, id } => self.callers.accept(connection, id),
            RouterAction::Reply { id, reply } => self.callers.reply(id, reply),
            RouterAction::Dispatch(order) => match self.callers.request(order.id) {
                Some(request) => ports.dispatch(order, request),
                // The body is gone with its caller; nothing was sent.
                None => {
                    let report = AttemptReport::Failed { sent: false, rejected: false };
                    let (id, attempt) = (order.id, order.attempt);
                    self.core.handle.event(RouterEvent::Attempt { id, attempt, report });
                }
            },
            RouterAction::Cancel { id, attempt } => ports.cancel(id, attempt),
            RouterAction::Pause { id, attempt, paused } => ports.pause(id, attempt, paused),
            RouterAction::Peer { to, message } => ports.peer(to, message),
            RouterAction::Peers(places) => {
                let state = &self.core.state;
                let region = |place: &PeerEndpoint| state.region_of(place.zone.as_ref()?);
                let places = places.into_iter().map(|place| {
                    let region = region(&place);
                    (place, region)
                });
                ports.peers(places.collect());
            }
            // The state lists the target as one to read afresh.
            RouterAction::RequestSnapshot { .. } => {}
            RouterAction::Store { call, request } => ports.store(call, request),
            RouterAction::StateChanged(notice) => ports.notice(notice),
            RouterAction::Exit => ports.exit(),
        }
    }

    /// Passes on a changed list of targets to poll, and forgets requests that nobody waits for.
    fn refresh(&mut self) {
        let targets = self.core.state.poll_targets();
        if targets != self.polled {
            self.polled.clone_from(&targets);
            self.core.ports.poll(targets);
        }
        self.callers.sweep(self.now());
    }
}
