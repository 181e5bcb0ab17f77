//! One router's whole decision state.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, RegionName, SeededRandom, ZoneName};
use godwitroad_config::ConfigDocument;
use godwitroad_member::{MemberEvent, MemberReport};
use godwitroad_stream::LogSettings;
use godwitroad_sync::SyncEvent;

use crate::{
    FleetSettings, RouterAction, RouterEvent, StateNotice, VmListing, VmState,
    admission::RateTable,
    fleet::{FleetEvent, FleetOutcome, FleetParts},
    placement::TargetTable,
    request::RequestTable,
    stop::StopPhase,
    view::ConfigView,
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
    /// The time that a planned stop waits for the successors before the process exits all the same.
    pub leave_wait: ClockSpan,
    /// The settings of the parts that need the store; `None` for a router that runs alone, with a configuration
    /// from [`RouterEvent::Configure`].
    pub fleet: Option<FleetSettings>,
}

/// One router's whole decision state.
#[derive(Debug)]
pub struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) view: ConfigView,
    pub(crate) requests: RequestTable,
    pub(crate) rates: RateTable,
    pub(crate) targets: TargetTable,
    pub(crate) fleet: Option<FleetParts>,
    pub(crate) stop: StopPhase,
    was_ready: bool,
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
            leave_wait: ClockSpan::from_secs(5),
            fleet: None,
        }
    }
}

impl RouterState {
    /// Returns the state of a router that starts at `now`.
    pub fn new(now: ClockTime, settings: RouterSettings) -> RouterState {
        let mut random = SeededRandom::new(settings.seed);
        let fleet = settings.fleet.as_ref();
        RouterState {
            view: ConfigView::default(),
            requests: RequestTable::new(&settings.node),
            rates: RateTable::default(),
            targets: TargetTable::new(settings.zone.clone(), random.fork()),
            fleet: fleet.map(|fleet| FleetParts::new(now, &settings, fleet, &mut random)),
            stop: StopPhase::Running,
            was_ready: false,
            settings,
        }
    }

    /// Returns whether the router can serve.
    pub fn is_ready(&self) -> bool {
        self.readiness().is_ok()
    }

    /// Returns whether the router can serve.
    ///
    /// # Errors
    ///
    /// Returns the reason while it can't.
    pub fn readiness(&self) -> std::result::Result<(), &'static str> {
        if self.stop != StopPhase::Running {
            return Err("the router is stopping");
        }
        if let Some(fleet) = &self.fleet {
            fleet.sync.readiness()?;
        }
        if self.view.generation == 0 {
            return Err("no configuration is in force");
        }
        Ok(())
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
            RouterEvent::Cache { .. } => {}
            RouterEvent::Peer { from, message } => {
                if let Some(fleet) = &mut self.fleet {
                    let outcomes = fleet.hear(now, from, message);
                    self.take_outcomes(&mut context, outcomes);
                }
            }
            RouterEvent::Store { call, outcome } => {
                self.run_fleet(&mut context, FleetEvent::Store { call, outcome });
            }
            RouterEvent::VmList(list) => self.take_list(&mut context, list),
            RouterEvent::Configure { generation, document } => {
                self.configure(&mut context, generation, document);
            }
            RouterEvent::Stop => self.begin_stop(&mut context),
            RouterEvent::Tick => self.tick(&mut context),
        }
        self.pump(&mut context);
        self.advance_stop(&mut context);
        self.note_readiness(&mut context);
    }

    /// Gives an event to the parts that need the store, and takes what they ask for.
    pub(crate) fn run_fleet(&mut self, context: &mut EventContext<'_>, event: FleetEvent) {
        if let Some(fleet) = &mut self.fleet {
            let outcomes = fleet.run(context.now, event);
            self.take_outcomes(context, outcomes);
        }
    }

    fn take_outcomes(&mut self, context: &mut EventContext<'_>, outcomes: Vec<FleetOutcome>) {
        for outcome in outcomes {
            match outcome {
                FleetOutcome::Act(action) => context.actions.push(action),
                FleetOutcome::Install { head, document } => {
                    self.install(context, head.generation, &document);
                }
                FleetOutcome::Ready => {}
                FleetOutcome::Verdict { id, verdict } => self.take_verdict(context, id, verdict),
                FleetOutcome::Report(report) => self.take_report(context, report),
            }
        }
    }

    fn install(&mut self, context: &mut EventContext<'_>, generation: u64, document: &[u8]) {
        let event = match serde_json::from_slice::<ConfigDocument>(document) {
            Ok(document) => {
                self.configure(context, generation, Arc::new(document));
                SyncEvent::Accepted { generation }
            }
            Err(_) => SyncEvent::Refused { generation },
        };
        self.run_fleet(context, FleetEvent::Sync(event));
    }

    fn take_report(&mut self, context: &mut EventContext<'_>, report: MemberReport) {
        match report {
            MemberReport::RosterChanged { epoch } => {
                let members = self.fleet.as_ref().and_then(|fleet| fleet.member.roster());
                let members = members.map_or(0, |roster| roster.members.len());
                context.notice(StateNotice::RosterEpoch { epoch, members });
            }
            MemberReport::HandOver => self.hand_over(context),
            MemberReport::Left => self.stop = StopPhase::Left,
            MemberReport::TermStarted { .. }
            | MemberReport::TermEnded
            | MemberReport::Settled { .. } => {}
        }
    }

    fn take_list(&mut self, context: &mut EventContext<'_>, list: Vec<VmListing>) {
        let Some(fleet) = &mut self.fleet else { return };
        let known = list.iter().filter_map(|line| Some((line.vm.clone(), line.address.clone()?)));
        fleet.list(known.collect());
        let lines = list.into_iter().map(|line| godwitroad_member::VmListing {
            vm: line.vm,
            state: match line.state {
                VmState::Live => godwitroad_member::VmState::Live,
                VmState::Leaving => godwitroad_member::VmState::Leaving,
            },
        });
        let event = MemberEvent::VmList(lines.collect());
        self.run_fleet(context, FleetEvent::Member(event));
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
        self.view = ConfigView::new(generation, document);
        self.targets.configure(&self.view);
        context.notice(StateNotice::ConfigInForce { generation });
        self.end_withdrawn(context);
    }

    fn tick(&mut self, context: &mut EventContext<'_>) {
        if let Some(fleet) = &mut self.fleet {
            let outcomes = fleet.tick(context.now);
            self.take_outcomes(context, outcomes);
        }
        self.expire_queued(context);
        self.cancel_abandoned(context);
    }

    fn note_readiness(&mut self, context: &mut EventContext<'_>) {
        let readiness = self.readiness();
        if readiness.is_ok() != self.was_ready {
            self.was_ready = readiness.is_ok();
            let reason = readiness.err().unwrap_or("the newest configuration is in force");
            context.notice(StateNotice::Readiness { ready: self.was_ready, reason });
        }
    }
}

impl EventContext<'_> {
    pub(crate) fn notice(&mut self, notice: StateNotice) {
        self.actions.push(RouterAction::Notice(notice));
    }
}
