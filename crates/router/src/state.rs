//! The router's state machine: dispatches events to the subsystems and collects their actions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{
    ClockSpan, ClockTime, NodeId, RegionName, RequestId, SeededRandom, ServiceName, ZoneName,
};
use godwitroad_config::{ConfigDocument, check, parse};
use godwitroad_limits::{RateEvent, RateTable};
use godwitroad_member::{MemberEvent, MemberReport};
use godwitroad_prefix::ShardEvent;
use godwitroad_quarantine::QuarantineSettings;
use godwitroad_queue::{FairQueue, QueueSettings};
use godwitroad_stream::LogSettings;
use godwitroad_sync::SyncEvent;

use crate::{
    FleetSettings, PeerMessage, PlacementSettings, RouterAction, RouterEvent, StateChange,
    VmListing, VmState,
    admission::LocalRates,
    explain::ExplainLog,
    fleet::{FleetComponents, FleetEvent, FleetOutcome},
    placement::{MAX_BROADCAST_ZONES, RequestPlacement},
    quarantine::SharedQuarantine,
    request::RequestTable,
    stop::{HandoffProgress, StopPhase},
    view::ConfigView,
};

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The VM and the incarnation of this process.
    pub node: NodeId,
    /// The availability zone in which the VM runs.
    pub zone: ZoneName,
    /// The region to which the zone belongs.
    pub region: RegionName,
    /// The seed from which all random numbers are derived.
    pub seed: u64,
    /// The limits of each stream's log of events.
    pub log: LogSettings,
    /// The time for which a caller that disconnected can resume its stream before the attempt is cancelled.
    pub reconnect_grace: ClockSpan,
    /// The maximum time that a planned stop waits for the handoff to the successors before the process exits.
    pub leave_timeout: ClockSpan,
    /// The settings of the request queue of each service.
    pub queue: QueueSettings,
    /// The settings of the placement of requests.
    pub placement: PlacementSettings,
    /// The interval between two load updates to the peers.
    pub load_update_period: ClockSpan,
    /// The settings of the components that need the store and the peers; `None` for a standalone router, which is
    /// configured by [`RouterEvent::Configure`].
    pub fleet: Option<FleetSettings>,
}

/// The complete decision state of one router.
#[derive(Debug)]
pub struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) view: ConfigView,
    pub(crate) requests: RequestTable,
    pub(crate) rates: LocalRates,
    pub(crate) placement: RequestPlacement,
    /// Of blocks of prompts, and of whole requests that come again.
    pub(crate) quarantine: SharedQuarantine,
    pub(crate) repeats: SharedQuarantine,
    pub(crate) queues: BTreeMap<ServiceName, FairQueue>,
    /// The serials of the requests whose cached prefix is being looked up.
    pub(crate) pending_lookups: BTreeSet<u64>,
    /// Whether a dequeued request found no target, which stops the dispatch loop of its queue.
    pub(crate) stalled: bool,
    /// The streams for which no free slot was of use, until all queues were tried.
    pub(crate) held_streams: Vec<RequestId>,
    pub(crate) explain_log: ExplainLog,
    pub(crate) handoff: HandoffProgress,
    last_load_update: ClockTime,
    pub(crate) fleet: Option<FleetComponents>,
    pub(crate) stop: StopPhase,
    /// When all requests must have been answered, in a planned stop.
    pub(crate) answer_by: Option<ClockTime>,
    was_ready: bool,
}

/// The context of one event: its time and the list that collects the resulting actions.
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
            reconnect_grace: ClockSpan::from_secs(5),
            leave_timeout: ClockSpan::from_secs(5),
            queue: QueueSettings::default(),
            placement: PlacementSettings::default(),
            load_update_period: ClockSpan::from_ms(100),
            fleet: None,
        }
    }
}

impl RouterState {
    /// Returns the state of a router process that starts at `now`.
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
                &settings.placement,
                random.fork(),
            ),
            quarantine: SharedQuarantine::new(now, QuarantineSettings::default()),
            repeats: SharedQuarantine::new(now, QuarantineSettings::for_requests()),
            queues: BTreeMap::new(),
            pending_lookups: BTreeSet::new(),
            stalled: false,
            held_streams: Vec::new(),
            explain_log: ExplainLog::default(),
            handoff: HandoffProgress::default(),
            last_load_update: now,
            fleet: fleet.map(|fleet| FleetComponents::new(now, &settings, fleet, &mut random)),
            stop: StopPhase::Running,
            answer_by: None,
            was_ready: false,
            settings,
        }
    }

    /// Returns whether the router accepts requests.
    pub fn is_ready(&self) -> bool {
        self.readiness().is_ok()
    }

    /// Checks whether the router accepts requests.
    ///
    /// # Errors
    ///
    /// Returns the reason if it does not.
    pub fn readiness(&self) -> std::result::Result<(), &'static str> {
        if self.stop != StopPhase::Running {
            return Err("the router is stopping");
        }
        if let Some(fleet) = &self.fleet {
            fleet.sync.readiness()?;
            if !self.placement.is_index_ready() {
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

    /// Returns the number of requests that have not ended.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request has not ended.
    pub fn has_request(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some()
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        let mut context = EventContext { now, actions };
        match event {
            RouterEvent::Request(arrival) => self.handle_arrival(&mut context, arrival),
            RouterEvent::CallerLeft { id } => self.handle_disconnect(&mut context, id),
            RouterEvent::CallerDrained { id, bytes } => {
                self.handle_drained_bytes(&mut context, id, bytes)
            }
            RouterEvent::Attempt { id, attempt, report } => {
                self.handle_attempt_report(&mut context, id, attempt, report);
            }
            RouterEvent::Load { target, report } => {
                self.placement.record_polled_load(now, &target, report);
            }
            RouterEvent::Cache { target, batch } => {
                let actions = self.placement.handle_cache_batch(now, target, batch);
                self.handle_shard_actions(&mut context, actions);
            }
            RouterEvent::Peer { from, message } => self.handle_message(&mut context, from, message),
            RouterEvent::Store { call, outcome } => {
                self.handle_fleet_event(&mut context, FleetEvent::Store { call, outcome });
            }
            RouterEvent::VmList(vms) => self.handle_vm_list(&mut context, vms),
            RouterEvent::Configure { generation, document } => {
                self.configure(&mut context, generation, document);
            }
            RouterEvent::RequestProgress => {
                self.handle_fleet_event(&mut context, FleetEvent::Sync(SyncEvent::RequestProgress));
            }
            RouterEvent::PrepareStop { limit } => self.prepare_stop(context.now, limit),
            RouterEvent::Stop => self.begin_stop(),
            RouterEvent::Tick => self.tick(&mut context),
        }
        self.dispatch_queued(&mut context);
        if self.placement.has_urgent_dispatch() {
            self.broadcast_load_update(&mut context);
        }
        self.announce_quarantine(&mut context);
        self.advance_stop(&mut context);
        self.report_readiness_change(&mut context);
    }

    fn handle_message(
        &mut self,
        context: &mut EventContext<'_>,
        from: NodeId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Index(message) => {
                let actions = self.placement.handle_index_message(context.now, from.vm, message);
                self.handle_shard_actions(context, actions);
            }
            PeerMessage::Load(update) => self.placement.apply_load_update(context.now, update),
            PeerMessage::Quarantine(notes) => {
                self.quarantine.receive(context, &notes);
            }
            PeerMessage::Repeats(notes) => self.repeats.receive(context, &notes),
            message => {
                if let Some(fleet) = &mut self.fleet {
                    let outcomes = fleet.handle_message(context.now, from, message);
                    self.handle_fleet_outcomes(context, outcomes);
                }
            }
        }
    }

    /// Passes an event to the fleet components, if the router has them, and handles the outcomes.
    pub(crate) fn handle_fleet_event(&mut self, context: &mut EventContext<'_>, event: FleetEvent) {
        if let Some(fleet) = &mut self.fleet {
            let outcomes = fleet.process(context.now, event);
            self.handle_fleet_outcomes(context, outcomes);
        }
    }

    fn handle_fleet_outcomes(
        &mut self,
        context: &mut EventContext<'_>,
        outcomes: Vec<FleetOutcome>,
    ) {
        for outcome in outcomes {
            match outcome {
                FleetOutcome::Action(action) => context.actions.push(action),
                FleetOutcome::Install { head, document } => {
                    self.install(context, head.generation, &document);
                }
                FleetOutcome::Decision { id, decision } => {
                    self.handle_claim_decision(context, id, decision)
                }
                FleetOutcome::Report(report) => self.handle_member_report(context, report),
                FleetOutcome::Admitted { ticket } => {
                    let id = self.requests.id_of(ticket);
                    self.admit(context, id);
                }
                FleetOutcome::Refused { ticket, retry_after } => {
                    let id = self.requests.id_of(ticket);
                    self.refuse_rate(context, id, retry_after);
                }
                FleetOutcome::RatesHandoffComplete => self.complete_rates_handoff(context),
                FleetOutcome::Members { members, remote } => {
                    let actions =
                        self.placement.set_members(context.now, &self.view, members, remote);
                    self.handle_shard_actions(context, actions);
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
        self.handle_fleet_event(context, FleetEvent::Sync(event));
    }

    fn handle_member_report(&mut self, context: &mut EventContext<'_>, report: MemberReport) {
        match report {
            MemberReport::RosterChanged { epoch } => {
                let members = self.fleet.as_ref().and_then(|fleet| fleet.member.roster());
                let members = members.map_or(0, |roster| roster.members.len());
                context.report_change(StateChange::RosterEpoch { epoch, members });
            }
            MemberReport::HandoffRequired => self.start_index_handoff(context),
            MemberReport::Left => self.stop = StopPhase::Left,
            MemberReport::TermStarted { .. }
            | MemberReport::TermEnded
            | MemberReport::RemoteRostersChanged
            | MemberReport::Settled { .. } => {}
        }
    }

    fn handle_vm_list(&mut self, context: &mut EventContext<'_>, vms: Vec<VmListing>) {
        let Some(fleet) = &mut self.fleet else { return };
        let addresses =
            vms.iter().filter_map(|listing| Some((listing.vm.clone(), listing.address.clone()?)));
        fleet.set_listed_addresses(addresses.collect());
        let listings = vms.into_iter().map(|listing| godwitroad_member::VmListing {
            vm: listing.vm,
            state: match listing.state {
                VmState::Live => godwitroad_member::VmState::Live,
                VmState::Leaving => godwitroad_member::VmState::Leaving,
            },
        });
        let event = MemberEvent::VmList(listings.collect());
        self.handle_fleet_event(context, FleetEvent::Member(event));
    }

    fn configure(
        &mut self,
        context: &mut EventContext<'_>,
        generation: u64,
        document: Arc<ConfigDocument>,
    ) {
        // Generations can arrive out of order; the router never reverts to an older one.
        if generation <= self.view.generation {
            return;
        }
        self.view = ConfigView::new(generation, document);
        self.placement.configure(context.now, &self.view);
        let table = RateTable::from_document(generation, &self.view.document);
        self.handle_fleet_event(context, FleetEvent::Rates(RateEvent::Configure(Arc::new(table))));
        context.report_change(StateChange::ConfigInForce { generation });
        self.end_withdrawn_requests(context);
        self.refuse_unserved(context);
    }

    fn tick(&mut self, context: &mut EventContext<'_>) {
        if let Some(fleet) = &mut self.fleet {
            let outcomes = fleet.tick(context.now);
            self.handle_fleet_outcomes(context, outcomes);
        }
        let actions = self.placement.handle_shard_event(context.now, ShardEvent::Tick);
        self.handle_shard_actions(context, actions);
        self.expire_queued(context);
        self.cancel_abandoned_requests(context);
        self.end_silent_requests(context);
        self.answer_open_requests(context);
        if context.now.since(self.last_load_update) >= self.settings.load_update_period {
            self.last_load_update = context.now;
            self.broadcast_load_update(context);
        }
    }

    fn broadcast_load_update(&mut self, context: &mut EventContext<'_>) {
        let Some(fleet) = &self.fleet else { return };
        let Some(update) = self.placement.take_load_update(context.now) else { return };
        let own_vm = &self.settings.node.vm;
        let zones = fleet.zones();
        // Traffic grows with the square of the number of recipients: in a large fleet, only the own zone gets updates.
        let reaches_all_zones = zones.len() <= MAX_BROADCAST_ZONES;
        let recipients =
            zones.iter().filter(|(zone, _)| reaches_all_zones || **zone == self.settings.zone);
        let recipients = recipients.flat_map(|(_, members)| members).filter(|vm| *vm != own_vm);
        for to in recipients {
            let message = PeerMessage::Load(update.clone());
            context.actions.push(RouterAction::Peer { to: to.clone(), message });
        }
    }

    fn report_readiness_change(&mut self, context: &mut EventContext<'_>) {
        let readiness = self.readiness();
        if readiness.is_ok() != self.was_ready {
            self.was_ready = readiness.is_ok();
            let reason = readiness.err().unwrap_or("the newest configuration is in force");
            context.report_change(StateChange::Readiness { ready: self.was_ready, reason });
        }
    }
}

impl EventContext<'_> {
    pub(crate) fn report_change(&mut self, change: StateChange) {
        self.actions.push(RouterAction::StateChanged(change));
    }
}
