//! One router's whole decision state.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, RegionName, SeededRandom, ZoneName};
use godwitroad_config::ConfigDocument;
use godwitroad_stream::LogSettings;

use crate::{
    RouterAction, RouterEvent, StateNotice, admission::RateTable, placement::TargetTable,
    request::RequestTable, view::ConfigView,
};

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The process itself.
    pub node: NodeId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
    /// The seed of all random choices.
    pub seed: u64,
    /// The bounds of each stream's log.
    pub log: LogSettings,
    /// The time for which a stream waits for a caller who left before the engine's work is cancelled.
    pub return_grace: ClockSpan,
}

/// One router's whole decision state.
#[derive(Debug)]
pub struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) view: ConfigView,
    pub(crate) requests: RequestTable,
    pub(crate) rates: RateTable,
    pub(crate) targets: TargetTable,
    pub(crate) stopping: bool,
    exited: bool,
}

/// The context of one event: the time, and where actions go.
pub(crate) struct EventContext<'a> {
    pub(crate) now: ClockTime,
    pub(crate) actions: &'a mut Vec<RouterAction>,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings {
            node: NodeId::new("vm-1", 1),
            zone: "zone-a".into(),
            region: "region-a".into(),
            seed: 1,
            log: LogSettings::default(),
            return_grace: ClockSpan::from_secs(5),
        }
    }
}

impl RouterState {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RouterSettings) -> RouterState {
        let mut random = SeededRandom::new(settings.seed);
        RouterState {
            view: ConfigView::default(),
            requests: RequestTable::new(&settings.node),
            rates: RateTable::default(),
            targets: TargetTable::new(settings.zone.clone(), random.fork()),
            stopping: false,
            exited: false,
            settings,
        }
    }

    /// Returns whether the router can serve.
    pub fn is_ready(&self) -> bool {
        self.view.generation > 0 && !self.stopping
    }

    /// Returns the configuration in force and its generation.
    pub fn config(&self) -> (u64, &Arc<ConfigDocument>) {
        (self.view.generation, &self.view.document)
    }

    /// Returns the number of requests that are under way.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        let mut context = EventContext { now, actions };
        match event {
            RouterEvent::Request(arrival) => self.arrive(&mut context, arrival),
            RouterEvent::CallerLeft { id } => self.caller_left(&mut context, id),
            RouterEvent::CallerDrained { id, bytes } => {
                self.caller_drained(&mut context, id, bytes)
            }
            RouterEvent::Attempt { id, attempt, report } => {
                self.attempt_report(&mut context, id, attempt, report);
            }
            RouterEvent::Load { target, report } => self.targets.load(&target, report),
            RouterEvent::Configure { generation, document } => {
                self.configure(&mut context, generation, document);
            }
            RouterEvent::Stop => self.stop(&mut context),
            RouterEvent::Tick => self.tick(&mut context),
            RouterEvent::Cache { .. }
            | RouterEvent::Peer { .. }
            | RouterEvent::Store { .. }
            | RouterEvent::VmList(_) => {}
        }
        self.pump(&mut context);
        self.exit_when_idle(&mut context);
    }

    fn configure(
        &mut self,
        context: &mut EventContext<'_>,
        generation: u64,
        document: Arc<ConfigDocument>,
    ) {
        // An older generation can arrive late; a configuration in force never reverts.
        if generation <= self.view.generation {
            return;
        }
        let was_ready = self.is_ready();
        self.view = ConfigView::new(generation, document);
        self.targets.configure(&self.view);
        context.notice(StateNotice::ConfigInForce { generation });
        if !was_ready {
            context.notice(StateNotice::Readiness { ready: self.is_ready(), reason: "configured" });
        }
        self.end_withdrawn(context);
    }

    fn stop(&mut self, context: &mut EventContext<'_>) {
        if !self.stopping {
            self.stopping = true;
            context.notice(StateNotice::Readiness { ready: false, reason: "stopping" });
        }
    }

    fn tick(&mut self, context: &mut EventContext<'_>) {
        self.expire_queued(context);
        self.cancel_abandoned(context);
    }

    fn exit_when_idle(&mut self, context: &mut EventContext<'_>) {
        if self.stopping && self.requests.is_empty() && !self.exited {
            self.exited = true;
            context.actions.push(RouterAction::Exit);
        }
    }
}

impl EventContext<'_> {
    pub(crate) fn notice(&mut self, notice: StateNotice) {
        self.actions.push(RouterAction::Notice(notice));
    }
}
