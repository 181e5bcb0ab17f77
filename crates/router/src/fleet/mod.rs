//! The components of a router that depend on the store and on other routers.
//!
//! Each component is a state machine of its own. This module routes the actions of one to the others as events, and
//! returns everything that concerns requests as a [`FleetOutcome`], so that the components are independent of requests.

mod settings;
mod store_calls;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use godwitroad_base::{ClockSpan, ClockTime, NodeId, RequestId, SeededRandom, VmName, ZoneName};
use godwitroad_idempotency::{ClaimAction, ClaimDecision, ClaimEvent, ClaimTable};
use godwitroad_limits::{OwnershipView, RateAction, RateEvent, RateNode};
use godwitroad_member::{MemberAction, MemberEvent, MemberMessage, MemberReport, MemberTable};
use godwitroad_store::{CallId, StoreAction, StoreEvent, StoreOutcome};
use godwitroad_sync::{ConfigSync, SyncAction, SyncEvent, SyncHead};

pub use settings::FleetSettings;
pub(crate) use store_calls::{CallOwner, StoreCalls, StoreTag};

use crate::{PeerEndpoint, PeerMessage, RouterAction, RouterSettings, StateChange};

/// The components of a router that depend on the store and on other routers.
#[derive(Debug)]
pub(crate) struct FleetComponents {
    pub(crate) store: StoreCalls,
    pub(crate) member: MemberTable,
    pub(crate) sync: ConfigSync,
    pub(crate) claims: ClaimTable,
    pub(crate) rates: RateNode,
    // Addresses from the platform's VM list, for peers that are in no known roster.
    listed_addresses: BTreeMap<VmName, String>,
    endpoints: Vec<PeerEndpoint>,
    announced_zones: BTreeMap<ZoneName, Vec<VmName>>,
}

/// An event for one of the components.
#[derive(Debug)]
pub(crate) enum FleetEvent {
    Store { call: CallId, outcome: StoreOutcome },
    Client(StoreEvent<StoreTag>),
    Member(MemberEvent),
    Sync(SyncEvent),
    Claims(ClaimEvent),
    Rates(RateEvent),
}

/// An action for the parts of the router outside these components.
#[derive(Debug)]
pub(crate) enum FleetOutcome {
    Action(RouterAction),
    Install { head: Arc<SyncHead>, document: Arc<[u8]> },
    Decision { id: RequestId, decision: ClaimDecision },
    Admitted { ticket: u64 },
    Refused { ticket: u64, retry_after: ClockSpan },
    RatesHandoffComplete,
    Members { members: Vec<VmName>, remote: BTreeMap<ZoneName, Vec<VmName>> },
    Report(MemberReport),
}

impl FleetComponents {
    pub(crate) fn new(
        now: ClockTime,
        router: &RouterSettings,
        fleet: &FleetSettings,
        random: &mut SeededRandom,
    ) -> FleetComponents {
        FleetComponents {
            store: StoreCalls::new(fleet.store.clone(), random.fork()),
            member: MemberTable::new(fleet.member_settings(router), now, random.fork()),
            sync: ConfigSync::new(now, fleet.sync_settings(router), random.fork()),
            claims: ClaimTable::new(fleet.claim_settings(router)),
            rates: RateNode::new(fleet.rate_settings(router), now, random.fork()),
            listed_addresses: BTreeMap::new(),
            endpoints: Vec::new(),
            announced_zones: BTreeMap::new(),
        }
    }

    /// Processes an event and all events that it causes in other components.
    pub(crate) fn process(&mut self, now: ClockTime, event: FleetEvent) -> Vec<FleetOutcome> {
        let mut outcomes = Vec::new();
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            self.process_one(now, event, &mut queue, &mut outcomes);
        }
        outcomes
    }

    /// Sends a tick to all components and announces changed rosters.
    pub(crate) fn tick(&mut self, now: ClockTime) -> Vec<FleetOutcome> {
        let mut outcomes = self.process(now, FleetEvent::Member(MemberEvent::Tick));
        outcomes.extend(self.announce_rosters(now));
        let events = [
            FleetEvent::Client(StoreEvent::Tick),
            FleetEvent::Sync(SyncEvent::Tick),
            FleetEvent::Claims(ClaimEvent::Tick),
            FleetEvent::Rates(RateEvent::Tick),
        ];
        for event in events {
            outcomes.extend(self.process(now, event));
        }
        outcomes
    }

    /// Handles a message from another router.
    pub(crate) fn handle_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: PeerMessage,
    ) -> Vec<FleetOutcome> {
        match message {
            PeerMessage::Heartbeat { heartbeat, status } => {
                let vm = from.vm.clone();
                let message = MemberMessage::Heartbeat(heartbeat);
                let event = MemberEvent::Peer { from, message };
                let mut outcomes = self.process(now, FleetEvent::Member(event));
                let event = SyncEvent::Heartbeat { from: vm, status };
                outcomes.extend(self.process(now, FleetEvent::Sync(event)));
                outcomes
            }
            PeerMessage::Member(message) => {
                self.process(now, FleetEvent::Member(MemberEvent::Peer { from, message }))
            }
            PeerMessage::Sync(message) => {
                self.process(now, FleetEvent::Sync(SyncEvent::Message { from: from.vm, message }))
            }
            PeerMessage::Claim(message) => {
                self.process(now, FleetEvent::Claims(ClaimEvent::Peer { from: from.vm, message }))
            }
            PeerMessage::Rates(message) => {
                self.process(now, FleetEvent::Rates(RateEvent::Peer { from, message }))
            }
            // `RouterState` handles these messages itself.
            PeerMessage::Index(_)
            | PeerMessage::Load(_)
            | PeerMessage::Quarantine(_)
            | PeerMessage::Repeats(_) => Vec::new(),
        }
    }

    /// Sets the addresses from the platform's VM list.
    pub(crate) fn set_listed_addresses(&mut self, addresses: BTreeMap<VmName, String>) {
        self.listed_addresses = addresses;
    }

    /// Returns the members of the zones whose roster is known.
    pub(crate) fn zones(&self) -> BTreeMap<ZoneName, Vec<VmName>> {
        let own_roster = self.member.roster().map(|roster| (self.member.zone(), roster));
        let rosters = self.member.remote_rosters().iter().chain(own_roster);
        rosters
            .map(|(zone, roster)| {
                let members = roster.members.iter().map(|member| member.vm.clone());
                (zone.clone(), members.collect())
            })
            .collect()
    }

    fn process_one(
        &mut self,
        now: ClockTime,
        event: FleetEvent,
        queue: &mut VecDeque<FleetEvent>,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        match event {
            FleetEvent::Store { call, outcome } => match self.store.resolve(call) {
                Some((CallOwner::Client, _)) => {
                    queue.push_back(FleetEvent::Client(StoreEvent::Outcome { call, outcome }));
                }
                Some((CallOwner::Member, call)) => {
                    let event = MemberEvent::Store { call, outcome };
                    queue.push_back(FleetEvent::Member(event));
                }
                Some((CallOwner::Rates, call)) => {
                    queue.push_back(FleetEvent::Rates(RateEvent::Store { call, outcome }));
                }
                None => {}
            },
            FleetEvent::Client(event) => self.handle_client_event(now, event, queue, outcomes),
            FleetEvent::Member(event) => self.handle_member_event(now, event, queue, outcomes),
            FleetEvent::Sync(event) => self.handle_sync_event(now, event, queue, outcomes),
            FleetEvent::Claims(event) => self.handle_claim_event(now, event, queue, outcomes),
            FleetEvent::Rates(event) => self.handle_rate_event(now, event, outcomes),
        }
    }

    fn handle_client_event(
        &mut self,
        now: ClockTime,
        event: StoreEvent<StoreTag>,
        queue: &mut VecDeque<FleetEvent>,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        for action in self.store.handle(now, event) {
            match action {
                StoreAction::Call { call, request } => {
                    outcomes.push(FleetOutcome::Action(RouterAction::Store { call, request }));
                }
                StoreAction::Done { tag: StoreTag::Sync(op), result } => {
                    queue.push_back(FleetEvent::Sync(SyncEvent::Store { op, result }));
                }
                StoreAction::Done { tag: StoreTag::Claims(op), result } => {
                    queue.push_back(FleetEvent::Claims(ClaimEvent::Store { op, result }));
                }
                StoreAction::Watched { tag: StoreTag::Sync(op), update } => {
                    queue.push_back(FleetEvent::Sync(SyncEvent::Watched { op, update }));
                }
                // The claim table starts no watch.
                StoreAction::Watched { tag: StoreTag::Claims(_), .. } => {}
                StoreAction::Reachable(reachable) => {
                    let change = StateChange::StoreReachable { reachable };
                    outcomes.push(FleetOutcome::Action(RouterAction::StateChanged(change)));
                }
            }
        }
    }

    fn handle_member_event(
        &mut self,
        now: ClockTime,
        event: MemberEvent,
        queue: &mut VecDeque<FleetEvent>,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        let is_vm_list = matches!(event, MemberEvent::VmList(_));
        let mut actions = Vec::new();
        self.member.handle(now, event, &mut actions);
        if is_vm_list {
            let dead_zones = self.member.dead_zones(now);
            queue.push_back(FleetEvent::Rates(RateEvent::DeadZones(dead_zones)));
        }
        for action in actions {
            match action {
                MemberAction::Send { to, message, .. } => {
                    let message = match message {
                        MemberMessage::Heartbeat(heartbeat) => {
                            PeerMessage::Heartbeat { heartbeat, status: self.sync.status(now) }
                        }
                        other => PeerMessage::Member(other),
                    };
                    outcomes.push(FleetOutcome::Action(RouterAction::Peer { to, message }));
                }
                MemberAction::Store { call, request } => {
                    let call = self.store.register_direct_call(CallOwner::Member, call);
                    outcomes.push(FleetOutcome::Action(RouterAction::Store { call, request }));
                }
                MemberAction::Report(report) => {
                    match report {
                        MemberReport::HandoffRequired => {
                            queue.push_back(FleetEvent::Rates(RateEvent::Handoff));
                        }
                        MemberReport::Left => {}
                        _ => {
                            let view = OwnershipView::from_members(&self.member);
                            queue.push_back(FleetEvent::Rates(RateEvent::View(view)));
                        }
                    }
                    outcomes.push(FleetOutcome::Report(report));
                }
            }
        }
    }

    fn handle_rate_event(
        &mut self,
        now: ClockTime,
        event: RateEvent,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        let mut actions = Vec::new();
        // The term is updated first: after a pause of the process, the ownership of shards may have expired.
        let term = RateEvent::Term(self.member.term_end(now));
        self.rates.handle(now, term, &mut actions);
        self.rates.handle(now, event, &mut actions);
        for action in actions {
            outcomes.push(match action {
                RateAction::Send { to, message } => {
                    let message = PeerMessage::Rates(message);
                    FleetOutcome::Action(RouterAction::Peer { to, message })
                }
                RateAction::Store { call, request } => {
                    let call = self.store.register_direct_call(CallOwner::Rates, call);
                    FleetOutcome::Action(RouterAction::Store { call, request })
                }
                RateAction::Admitted { ticket, .. } => FleetOutcome::Admitted { ticket },
                RateAction::Refused { ticket, retry_after } => {
                    FleetOutcome::Refused { ticket, retry_after }
                }
                RateAction::HandoffComplete => FleetOutcome::RatesHandoffComplete,
            });
        }
    }

    fn handle_sync_event(
        &mut self,
        now: ClockTime,
        event: SyncEvent,
        queue: &mut VecDeque<FleetEvent>,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        let mut actions = Vec::new();
        self.sync.handle(now, event, &mut actions);
        for action in actions {
            match action {
                SyncAction::Submit { op, spec } => {
                    let event = StoreEvent::Submit { tag: StoreTag::Sync(op), spec };
                    queue.push_back(FleetEvent::Client(event));
                }
                SyncAction::Cancel { op } => {
                    let event = StoreEvent::Cancel { tag: StoreTag::Sync(op) };
                    queue.push_back(FleetEvent::Client(event));
                }
                SyncAction::Send { to, message } => {
                    let message = PeerMessage::Sync(message);
                    outcomes.push(FleetOutcome::Action(RouterAction::Peer { to, message }));
                }
                SyncAction::Install { head, document } => {
                    outcomes.push(FleetOutcome::Install { head, document });
                }
                // `RouterState` checks the readiness after each event.
                SyncAction::Ready { .. } => {}
            }
        }
    }

    fn handle_claim_event(
        &mut self,
        now: ClockTime,
        event: ClaimEvent,
        queue: &mut VecDeque<FleetEvent>,
        outcomes: &mut Vec<FleetOutcome>,
    ) {
        let mut actions = Vec::new();
        self.claims.handle(now, event, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Decision { id, decision } => {
                    outcomes.push(FleetOutcome::Decision { id, decision });
                }
                // Only lookups return a state, and routers start none: callers query a claim by retrying the request.
                ClaimAction::State { .. } => {}
                ClaimAction::Send { to, message } => {
                    let message = PeerMessage::Claim(message);
                    outcomes.push(FleetOutcome::Action(RouterAction::Peer { to, message }));
                }
                ClaimAction::Submit { op, order } => {
                    let event = StoreEvent::Submit { tag: StoreTag::Claims(op), spec: order };
                    queue.push_back(FleetEvent::Client(event));
                }
            }
        }
    }

    // Announces the peers to the components and the adapters if they have changed.
    fn announce_rosters(&mut self, now: ClockTime) -> Vec<FleetOutcome> {
        let endpoints = self.known_endpoints();
        let zones = self.zones();
        // The endpoints exclude this router, but the components must also learn of its own entry into a roster.
        if endpoints == self.endpoints && zones == self.announced_zones {
            return Vec::new();
        }
        self.endpoints = endpoints.clone();
        self.announced_zones = zones.clone();
        let members = zones.get(self.member.zone()).cloned().unwrap_or_default();
        let live = self.live_nodes();
        let mut outcomes = vec![FleetOutcome::Action(RouterAction::Peers(endpoints))];
        let remote = zones.iter().filter(|(zone, _)| *zone != self.member.zone());
        let remote = remote.map(|(zone, members)| (zone.clone(), members.clone())).collect();
        outcomes.push(FleetOutcome::Members { members, remote });
        // Each claim shard has a single owner in the fleet. With one owner per zone, all zones would write the same
        // shard and most writes would fail with conflicts.
        let members = zones.values().flatten().cloned().collect();
        outcomes.extend(self.process(now, FleetEvent::Sync(SyncEvent::Rosters(zones))));
        let event = ClaimEvent::Rosters { members, live };
        outcomes.extend(self.process(now, FleetEvent::Claims(event)));
        outcomes
    }

    fn live_nodes(&self) -> Vec<NodeId> {
        let rosters = self.member.remote_rosters().values().chain(self.member.roster());
        rosters.flat_map(|roster| &roster.members).map(|member| member.node()).collect()
    }

    fn known_endpoints(&self) -> Vec<PeerEndpoint> {
        let own_roster = self.member.roster().map(|roster| (self.member.zone(), roster));
        let rosters = self.member.remote_rosters().iter().chain(own_roster);
        let mut endpoints: BTreeMap<VmName, PeerEndpoint> = BTreeMap::new();
        for (vm, address) in &self.listed_addresses {
            let (vm, address) = (vm.clone(), address.clone());
            endpoints
                .insert(vm.clone(), PeerEndpoint { vm, address, zone: None, incarnation: None });
        }
        for (zone, roster) in rosters {
            for member in &roster.members {
                let endpoint = PeerEndpoint {
                    vm: member.vm.clone(),
                    address: member.address.clone(),
                    zone: Some(zone.clone()),
                    incarnation: Some(member.incarnation),
                };
                endpoints.insert(member.vm.clone(), endpoint);
            }
        }
        endpoints.remove(&self.member.node().vm);
        endpoints.into_values().collect()
    }
}
