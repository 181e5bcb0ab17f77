//! The event loop: the task that owns the decision state.
//!
//! Events of all adapters arrive in one queue. The loop applies them one at a time and performs all actions of an event
//! before it takes the next one, so adapters see actions in the order in which they were decided. The loop shares its
//! thread with the first group of attempts, which reduces the thread switches of a request before its first token from
//! four to two.

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
    intake::CallerRequest,
};

use callers::{CallerConnection, CallerTable};

/// The interval between two ticks (section 3 of the design page).
const TICK_INTERVAL_MS: u64 = 10;

/// The number of ticks between two runs of [`EventLoop::run_housekeeping`].
const HOUSEKEEPING_TICKS: u64 = 100;

/// What the event loop sends to a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerItem {
    /// The request was accepted under this id.
    Accepted(RequestId),
    /// A part of the answer.
    Reply(CallerReply),
}

/// The inputs of the event loop.
pub(crate) enum LoopInput {
    /// A complete request of a caller.
    RequestArrived {
        arrival: RequestArrival,
        request: Arc<CallerRequest>,
        caller: UnboundedSender<CallerItem>,
    },
    /// A caller's connection closed before its answer ended.
    Disconnected { connection: u64 },
    /// Any other event of an adapter.
    Event(RouterEvent),
    /// An operator's query; the answer goes to the sender.
    Admin(AdminQuery, oneshot::Sender<Option<Value>>),
    /// A request for the models that a key may use.
    Models(Option<KeyHash>, oneshot::Sender<Option<Vec<ModelName>>>),
    /// Ends the loop.
    Shutdown,
}

/// Performs the decision state's actions that concern adapters other than the callers'.
pub(crate) trait ActionSink: Send {
    fn dispatch(&mut self, order: DispatchOrder, request: Arc<CallerRequest>);
    fn cancel(&mut self, id: RequestId, attempt: u32);
    fn pause(&mut self, id: RequestId, attempt: u32, paused: bool);
    fn send_to_peer(&mut self, to: VmName, message: PeerMessage);
    fn set_peers(&mut self, endpoints: Vec<(PeerEndpoint, Option<RegionName>)>);
    fn call_store(&mut self, call: CallId, request: StoreRequest);
    fn set_polled(&mut self, targets: Vec<PollTarget>);
    fn report_change(&mut self, change: StateChange);
    fn signal_drained(&mut self);
}

/// Gives all adapters access to the event loop.
#[derive(Clone)]
pub(crate) struct EventLoopHandle {
    inputs: UnboundedSender<LoopInput>,
    unready: Arc<RwLock<Option<&'static str>>>,
    stopping: Arc<AtomicBool>,
}

impl EventLoopHandle {
    /// Returns a handle and the queue that [`run`] reads from.
    pub(crate) fn new() -> (EventLoopHandle, UnboundedReceiver<LoopInput>) {
        let (inputs, queue) = unbounded_channel();
        let unready = Arc::new(RwLock::new(Some("starting")));
        (EventLoopHandle { inputs, unready, stopping: Arc::default() }, queue)
    }

    /// Queues an input; returns `false` if the event loop has ended.
    pub(crate) fn send(&self, input: LoopInput) -> bool {
        self.inputs.send(input).is_ok()
    }

    pub(crate) fn send_event(&self, event: RouterEvent) -> bool {
        self.send(LoopInput::Event(event))
    }

    /// Makes the readiness probe fail from now on, before the decision state receives the stop event.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns why the router is not ready, or `None` if it is.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("the router is stopping");
        }
        *self.unready.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the event loop is started with.
pub(crate) struct EventLoopContext {
    pub(crate) state: Box<dyn DecisionState>,
    pub(crate) sink: Box<dyn ActionSink>,
    pub(crate) clock: NodeClock,
    pub(crate) handle: EventLoopHandle,
}

/// Runs the event loop until [`LoopInput::Shutdown`].
pub(crate) async fn run(context: EventLoopContext, mut queue: UnboundedReceiver<LoopInput>) {
    let mut event_loop = EventLoop {
        context,
        callers: CallerTable::default(),
        actions: Vec::new(),
        polled: Vec::new(),
        unready: Some("starting"),
    };
    let mut clock = interval(Duration::from_millis(TICK_INTERVAL_MS));
    // After a pause of the process, one tick replaces all missed ones.
    clock.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks = 0_u64;
    loop {
        tokio::select! {
            biased;
            _ = clock.tick() => {
                event_loop.apply(RouterEvent::Tick);
                ticks += 1;
                if ticks % HOUSEKEEPING_TICKS == 1 {
                    event_loop.run_housekeeping();
                }
            }
            input = queue.recv() => match input {
                Some(LoopInput::Shutdown) | None => return,
                Some(input) => event_loop.handle_input(input),
            }
        }
    }
}

struct EventLoop {
    context: EventLoopContext,
    callers: CallerTable,
    actions: Vec<RouterAction>,
    polled: Vec<PollTarget>,
    unready: Option<&'static str>,
}

impl EventLoop {
    fn handle_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::RequestArrived { arrival, request, caller } => {
                let connection = arrival.connection;
                self.callers.add_waiting(CallerConnection { connection, items: caller }, request);
                self.apply(RouterEvent::Request(arrival));
            }
            LoopInput::Disconnected { connection } => {
                if let Some(id) = self.callers.disconnect(connection, self.now()) {
                    self.apply(RouterEvent::CallerLeft { id });
                }
            }
            LoopInput::Event(event) => self.apply(event),
            LoopInput::Admin(query, answer) => {
                if query == AdminQuery::Status {
                    // Request fresh progress from the zones. Their answers arrive within milliseconds and are
                    // part of the answer to the operator's next query.
                    self.apply(RouterEvent::RequestProgress);
                }
                // The operator may have disconnected; the answer is then not needed.
                let _ = answer.send(self.context.state.admin(&query));
            }
            LoopInput::Models(key, answer) => {
                let _ = answer.send(self.context.state.models(key.as_ref()));
            }
            LoopInput::Shutdown => {}
        }
    }

    fn now(&self) -> ClockTime {
        self.context.clock.now()
    }

    fn apply(&mut self, event: RouterEvent) {
        let now = self.now();
        let ended = match &event {
            RouterEvent::Attempt { id, report: AttemptReport::Ended, .. } => Some(*id),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.context.state.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        // The end of an attempt that was given up doesn't end its request.
        let ended = ended.filter(|id| !self.context.state.has_request(*id));
        self.callers.finish_event(ended);
        let unready = self.context.state.readiness().err();
        if unready != self.unready {
            self.unready = unready;
            let shared = &self.context.handle.unready;
            *shared.write().unwrap_or_else(PoisonError::into_inner) = unready;
        }
    }

    fn perform(&mut self, action: RouterAction) {
        let sink = &mut self.context.sink;
        match action {
            RouterAction::Accepted { connection, id } => self.callers.accept(connection, id),
            RouterAction::Reply { id, reply } => self.callers.reply(id, reply),
            RouterAction::Dispatch(order) => match self.callers.request(order.id) {
                Some(request) => sink.dispatch(order, request),
                // The body was dropped with the caller's entry, so nothing was sent.
                None => {
                    let report = AttemptReport::Failed { sent: false, rejected: false };
                    let (id, attempt) = (order.id, order.attempt);
                    self.context.handle.send_event(RouterEvent::Attempt { id, attempt, report });
                }
            },
            RouterAction::Cancel { id, attempt } => sink.cancel(id, attempt),
            RouterAction::Pause { id, attempt, paused } => sink.pause(id, attempt, paused),
            RouterAction::Peer { to, message } => sink.send_to_peer(to, message),
            RouterAction::Peers(endpoints) => {
                let state = &self.context.state;
                let region = |endpoint: &PeerEndpoint| state.region_of(endpoint.zone.as_ref()?);
                let endpoints = endpoints.into_iter().map(|endpoint| {
                    let region = region(&endpoint);
                    (endpoint, region)
                });
                sink.set_peers(endpoints.collect());
            }
            // The target appears in `poll_targets` with a higher `resync_count`.
            RouterAction::RequestSnapshot { .. } => {}
            RouterAction::Store { call, request } => sink.call_store(call, request),
            RouterAction::StateChanged(change) => sink.report_change(change),
            RouterAction::Exit => sink.signal_drained(),
        }
    }

    /// Publishes the list of polled targets if it changed, and drops the bodies of orphaned requests.
    fn run_housekeeping(&mut self) {
        let targets = self.context.state.poll_targets();
        if targets != self.polled {
            self.polled.clone_from(&targets);
            self.context.sink.set_polled(targets);
        }
        self.callers.remove_orphans(self.now());
    }
}
