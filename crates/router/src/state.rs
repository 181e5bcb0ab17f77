//! One router's whole decision state.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{
    ClockSpan, ClockTime, NodeId, RegionName, SeededRandom, ServiceName, ZoneName,
};
use godwitroad_config::{ConfigDocument, check, parse};
use godwitroad_limits::{RateEvent, RateTable};
use godwitroad_member::{MemberEvent, MemberReport};
use godwitroad_prefix::ShardEvent;
use godwitroad_queue::{FairQueue, QueueSettings};
use godwitroad_stream::LogSettings;
use godwitroad_sync::SyncEvent;

use crate::{
    FleetSettings, PeerMessage, PlacementSettings, RouterAction, RouterEvent, StateChange,
    VmListing, VmState,
    admission::LocalRates,
    explain::ExplainLog,
    fleet::{FleetEvent, FleetOutcome, FleetParts},
    placement::{MAX_FAR_ZONES, RequestPlacement},
    request::RequestTable,
    stop::{HandOver, StopPhase},
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
    /// The settings of the queues.
    pub queue: QueueSettings,
    /// The settings of the placement of requests.
    pub place: PlacementSettings,
    /// The time between two messages to the peers on the load of targets.
    pub news_period: ClockSpan,
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
    pub(crate) rates: LocalRates,
    pub(crate) placement: RequestPlacement,
    pub(crate) queues: BTreeMap<ServiceName, FairQueue>,
    /// The requests whose cached prefix is being looked up.
    pub(crate) looking: BTreeSet<u64>,
    /// Whether a request that left a queue has found no target.
    pub(crate) stalled: bool,
    pub(crate) explained: ExplainLog,
    pub(crate) hand_over: HandOver,
    news_at: ClockTime,
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
            queue: QueueSettings::default(),
            place: PlacementSettings::default(),
            news_period: ClockSpan::from_ms(100),
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
            rates: LocalRates::default(),
            placement: RequestPlacement::new(
                now,
                settings.node.vm.clone(),
                settings.zone.clone(),
                settings.region.clone(),
                &settings.place,
                random.fork(),
            ),
            queues: BTreeMap::new(),
            looking: BTreeSet::new(),
            stalled: false,
            explained: ExplainLog::default(),
            hand_over: HandOver::default(),
            news_at: now,
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
            if !self.placement.is_part_ready() {
                return Err("the prefix index is being read from the peers");
            }
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
            RouterEvent::Load { target, report } => {
                self.placement.take_load(now, &target, report);
            }
            RouterEvent::Cache { target, batch } => {
                let actions = self.placement.take_cache(now, target, batch);
                self.take_part(&mut context, actions);
            }
            RouterEvent::Peer { from, message } => self.hear(&mut context, from, message),
            RouterEvent::Store { call, outcome } => {
                self.run_fleet(&mut context, FleetEvent::Store { call, outcome });
            }
            RouterEvent::VmList(list) => self.take_list(&mut context, list),
            RouterEvent::Configure { generation, document } => {
                self.configure(&mut context, generation, document);
            }
            RouterEvent::RequestProgress => {
                self.run_fleet(&mut context, FleetEvent::Sync(SyncEvent::RequestProgress));
            }
            RouterEvent::Stop => self.begin_stop(),
            RouterEvent::Tick => self.tick(&mut context),
        }
        self.pump(&mut context);
        if self.placement.has_urgent_news() {
            self.tell_news(&mut context);
        }
        self.advance_stop(&mut context);
        self.note_readiness(&mut context);
    }

    fn hear(&mut self, context: &mut EventContext<'_>, from: NodeId, message: PeerMessage) {
        match message {
            PeerMessage::Index(message) => {
                let actions = self.placement.hear(context.now, from.vm, message);
                self.take_part(context, actions);
            }
            PeerMessage::Load(news) => self.placement.take_news(context.now, news),
            message => {
                if let Some(fleet) = &mut self.fleet {
                    let outcomes = fleet.hear(context.now, from, message);
                    self.take_outcomes(context, outcomes);
                }
            }
        }
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
                FleetOutcome::Decision { id, decision } => self.take_verdict(context, id, decision),
                FleetOutcome::Report(report) => self.take_report(context, report),
                FleetOutcome::Admitted { ticket } => {
                    let id = self.requests.id_of(ticket);
                    self.admit(context, id);
                }
                FleetOutcome::Refused { ticket, retry_after } => {
                    let id = self.requests.id_of(ticket);
                    self.refuse_rate(context, id, retry_after);
                }
                FleetOutcome::RatesHandedOver => self.rates_handed_over(context),
                FleetOutcome::Members { members, far } => {
                    let actions = self.placement.set_members(context.now, &self.view, members, far);
                    self.take_part(context, actions);
                    self.placement.configure(context.now, &self.view);
                }
            }
        }
    }

    fn install(&mut self, context: &mut EventContext<'_>, generation: u64, document: &[u8]) {
        let document = parse(document).ok().filter(|document| check(document).is_empty());
        let event = match document {
            Some(document) => {
                self.configure(context, generation, Arc::new(document));
                SyncEvent::Accepted { generation }
            }
            None => SyncEvent::Refused { generation },
        };
        self.run_fleet(context, FleetEvent::Sync(event));
    }

    fn take_report(&mut self, context: &mut EventContext<'_>, report: MemberReport) {
        match report {
            MemberReport::RosterChanged { epoch } => {
                let members = self.fleet.as_ref().and_then(|fleet| fleet.member.roster());
                let members = members.map_or(0, |roster| roster.members.len());
                context.notice(StateChange::RosterEpoch { epoch, members });
            }
            MemberReport::HandoffRequired => self.hand_over_index(context),
            MemberReport::Left => self.stop = StopPhase::Left,
            MemberReport::TermStarted { .. }
            | MemberReport::TermEnded
            | MemberReport::RemoteRostersChanged
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
        self.placement.configure(context.now, &self.view);
        let table = RateTable::from_document(generation, &self.view.document);
        self.run_fleet(context, FleetEvent::Rates(RateEvent::Configure(Arc::new(table))));
        context.notice(StateChange::ConfigInForce { generation });
        self.end_withdrawn(context);
    }

    fn tick(&mut self, context: &mut EventContext<'_>) {
        if let Some(fleet) = &mut self.fleet {
            let outcomes = fleet.tick(context.now);
            self.take_outcomes(context, outcomes);
        }
        let actions = self.placement.part(context.now, ShardEvent::Tick);
        self.take_part(context, actions);
        self.expire_queued(context);
        self.cancel_abandoned(context);
        if context.now.since(self.news_at) >= self.settings.news_period {
            self.news_at = context.now;
            self.tell_news(context);
        }
    }

    fn tell_news(&mut self, context: &mut EventContext<'_>) {
        let Some(fleet) = &self.fleet else { return };
        let Some(news) = self.placement.give_news(context.now) else { return };
        let own = &self.settings.node.vm;
        let zones = fleet.zones();
        // In a large fleet only the own zone hears: the bytes grow with the square of the listeners.
        let all = zones.len() <= MAX_FAR_ZONES;
        let listeners = zones.iter().filter(|(zone, _)| all || **zone == self.settings.zone);
        let listeners = listeners.flat_map(|(_, members)| members).filter(|vm| *vm != own);
        for to in listeners {
            let message = PeerMessage::Load(news.clone());
            context.actions.push(RouterAction::Peer { to: to.clone(), message });
        }
    }

    fn note_readiness(&mut self, context: &mut EventContext<'_>) {
        let readiness = self.readiness();
        if readiness.is_ok() != self.was_ready {
            self.was_ready = readiness.is_ok();
            let reason = readiness.err().unwrap_or("the newest configuration is in force");
            context.notice(StateChange::Readiness { ready: self.was_ready, reason });
        }
    }
}

impl EventContext<'_> {
    pub(crate) fn notice(&mut self, notice: StateChange) {
        self.actions.push(RouterAction::StateChanged(notice));
    }
}
