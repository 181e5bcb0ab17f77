//! The state machine that keeps a node at the latest generation of the configuration.
//!
//! It learns of new generations from status messages and from the store, downloads them, and offers the document
//! to the router, which accepts or refuses it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, VmName, ZoneName, rendezvous};
use godwitroad_store::{OperationId, OperationReply, OperationSpec, Result, WatchUpdate};

use crate::{
    contact::ContactRecord,
    fetch::{ConfigFetch, FetchSource, MissingData},
    head::{ChunkDigest, SyncHead, assemble},
    message::{SyncMessage, SyncStatus},
    progress::{ProgressResponses, ZoneProgress},
    settings::{SyncCounters, SyncSettings},
    startup::{ReadySource, StartupCheck},
};

/// The key of the rendezvous ranking that selects the watchers of a zone.
const WATCH_RANK_KEY: u64 = 0x636f_6e66_6967;

/// An input of [`ConfigSync::handle`].
#[derive(Clone, Debug)]
pub enum SyncEvent {
    /// The known members of each zone, including this node's VM.
    Rosters(BTreeMap<ZoneName, Vec<VmName>>),
    /// A heartbeat of a peer arrived with its status.
    Heartbeat {
        /// The peer that sent the heartbeat.
        from: VmName,
        /// The configuration that the peer had when it sent the heartbeat.
        status: SyncStatus,
    },
    /// A message of a peer arrived.
    Message {
        /// The peer that sent the message.
        from: VmName,
        /// A request, a response or an announcement.
        message: SyncMessage,
    },
    /// An operation on the store ended.
    Store {
        /// The ID of the operation in [`SyncAction::Submit`].
        op: OperationId,
        /// The store's reply, or the reason why there is none.
        result: Result<OperationReply>,
    },
    /// The watch of the head reports values or changes.
    Watched {
        /// The ID of the watch in [`SyncAction::Submit`].
        op: OperationId,
        /// The values or changes.
        update: WatchUpdate,
    },
    /// The router accepted the document of [`SyncAction::Install`], which is now in force.
    Accepted {
        /// The generation of the document.
        generation: u64,
    },
    /// The router refused the document of [`SyncAction::Install`] as invalid.
    Refused {
        /// The generation of the document.
        generation: u64,
    },
    /// Requests the progress of all zones for an operator; [`ConfigSync::progress`] returns the responses.
    RequestProgress,
    /// Checks timeouts and sends requests that are due.
    Tick,
}

/// An output of [`ConfigSync::handle`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum SyncAction {
    /// Submit an operation to the store client.
    Submit {
        /// The ID of the operation, to be returned in [`SyncEvent::Store`] and [`SyncEvent::Watched`].
        op: OperationId,
        /// The operation with its class and timeout.
        spec: OperationSpec,
    },
    /// Cancel an operation on the store.
    Cancel {
        /// The ID of the operation in [`SyncAction::Submit`].
        op: OperationId,
    },
    /// Send a message to a peer.
    Send {
        /// The peer that receives the message.
        to: VmName,
        /// The message to send.
        message: SyncMessage,
    },
    /// Validate the document and put it into force; answered by [`SyncEvent::Accepted`] or [`SyncEvent::Refused`].
    Install {
        /// The head of the generation.
        head: Arc<SyncHead>,
        /// The document, assembled from the chunks that the head lists.
        document: Arc<[u8]>,
    },
    /// The node is ready: the latest generation that it could find is in force.
    Ready {
        /// The evidence that the generation is the latest.
        source: ReadySource,
    },
}

/// A complete generation of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigCopy {
    pub(crate) head: Arc<SyncHead>,
    pub(crate) chunks: BTreeMap<ChunkDigest, Arc<[u8]>>,
    /// Whether any data came from outside the zone, as in [`ConfigFetch`].
    has_data_from_outside_zone: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerView {
    pub(crate) status: SyncStatus,
    pub(crate) received_at: ClockTime,
}

/// The state machine that distributes the configuration, for one node.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(crate) settings: SyncSettings,
    pub(crate) random: SeededRandom,
    pub(crate) counters: SyncCounters,
    pub(crate) zones: BTreeMap<ZoneName, Vec<VmName>>,
    // Derived from `zones` and kept up to date, because every tick and every message uses it.
    zone_by_vm: BTreeMap<VmName, ZoneName>,
    pub(crate) watchers: Vec<VmName>,
    pub(crate) peers: BTreeMap<VmName, PeerView>,
    pub(crate) in_force: Option<ConfigCopy>,
    /// The generation that was passed on for installation and is neither in force nor refused yet.
    pending_install: Option<ConfigCopy>,
    /// The last generation that the router refused to install; zero for none.
    pub(crate) refused: u64,
    pub(crate) fetch: Option<ConfigFetch>,
    pub(crate) startup: StartupCheck,
    pub(crate) ready: Option<ReadySource>,
    not_ready_reason: &'static str,
    pub(crate) contact: ContactRecord,
    pub(crate) progress_responses: ProgressResponses,
    /// A random number for status requests, which identifies the responses to this run of the node.
    pub(crate) nonce: u64,
    pub(crate) has_queried_zone: bool,
    pub(crate) started_at: ClockTime,
    pub(crate) watch: Option<OperationId>,
    pub(crate) head_read: Option<OperationId>,
    /// When the last read of the head was sent.
    pub(crate) head_read_at: Option<ClockTime>,
    next_anti_entropy_at: ClockTime,
    last_op: u64,
}

impl ConfigSync {
    /// Returns the state machine of a node that starts at `now` without a configuration.
    pub fn new(now: ClockTime, settings: SyncSettings, mut random: SeededRandom) -> ConfigSync {
        let nonce = random.next_u64();
        // A random first time and random intervals keep nodes that start together from querying at the same time.
        let next_anti_entropy_at =
            now + ClockSpan::from_ms(random.below(settings.anti_entropy_period.as_ms()));
        ConfigSync {
            settings,
            random,
            counters: SyncCounters::default(),
            zones: BTreeMap::new(),
            zone_by_vm: BTreeMap::new(),
            watchers: Vec::new(),
            peers: BTreeMap::new(),
            in_force: None,
            pending_install: None,
            refused: 0,
            fetch: None,
            startup: StartupCheck::new(),
            ready: None,
            not_ready_reason: "the store has not answered yet",
            contact: ContactRecord::default(),
            progress_responses: ProgressResponses::default(),
            nonce,
            has_queried_zone: false,
            started_at: now,
            watch: None,
            head_read: None,
            head_read_at: None,
            next_anti_entropy_at,
            last_op: 0,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: SyncEvent, actions: &mut Vec<SyncAction>) {
        match event {
            SyncEvent::Rosters(zones) => self.update_rosters(zones),
            SyncEvent::Heartbeat { from, status } => self.receive_status(now, &from, status),
            SyncEvent::Message { from, message } => {
                self.handle_message(now, from, message, actions)
            }
            SyncEvent::Store { op, result } => self.handle_store_result(now, op, result),
            SyncEvent::Watched { op, update } => self.handle_watch_update(now, op, update),
            SyncEvent::Accepted { generation } => self.handle_acceptance(now, generation, actions),
            SyncEvent::Refused { generation } => self.handle_refusal(generation),
            SyncEvent::RequestProgress => self.request_progress(now, actions),
            SyncEvent::Tick => self.tick(now, actions),
        }
        self.advance_fetch(now, actions);
        self.check_ready(now, actions);
    }

    /// Returns the generation in force, or zero if there is none.
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |copy| copy.head.generation)
    }

    /// Returns the head of the generation in force, or `None` if there is none.
    pub fn head(&self) -> Option<&Arc<SyncHead>> {
        self.in_force.as_ref().map(|copy| &copy.head)
    }

    /// Returns the evidence that the node had the latest generation when it became ready.
    ///
    /// # Errors
    ///
    /// Returns a description of what the node is waiting for, if it isn't ready.
    pub fn readiness(&self) -> std::result::Result<ReadySource, &'static str> {
        self.ready.ok_or(self.not_ready_reason)
    }

    /// Returns the age of the zone's latest contact with the store or another zone.
    pub fn contact_age(&self, now: ClockTime) -> ClockSpan {
        self.contact.zone_contact_age(now, self.started_at)
    }

    /// Returns the status to send in heartbeats.
    pub fn status(&self, now: ClockTime) -> SyncStatus {
        SyncStatus {
            generation: self.generation(),
            digest: self.in_force.as_ref().map(|copy| copy.head.digest),
            is_ready: self.ready.is_some(),
            store_contact_age: self.contact.own_store_contact.map(|at| now.since(at)),
            other_zone_contact_age: self.contact.own_other_zone_contact.map(|at| now.since(at)),
        }
    }

    /// Returns the progress of each zone that responded to the last [`SyncEvent::RequestProgress`], with the age of the
    /// response.
    ///
    /// A zone that isn't in the result hasn't responded, so its progress is unknown.
    pub fn progress(&self, now: ClockTime) -> BTreeMap<ZoneName, (ClockSpan, ZoneProgress)> {
        self.progress_responses.responses(now)
    }

    /// Returns the counters since the start of the node.
    pub fn counters(&self) -> &SyncCounters {
        &self.counters
    }

    /// Returns whether the node watches the head in the store for its zone.
    pub fn is_watcher(&self) -> bool {
        self.watch.is_some()
    }

    pub(crate) fn zone_of(&self, vm: &VmName) -> Option<&ZoneName> {
        self.zone_by_vm.get(vm)
    }

    pub(crate) fn is_in_own_zone(&self, vm: &VmName) -> bool {
        self.zone_of(vm) == Some(&self.settings.zone)
    }

    /// Returns the members of `zone` that watch the head, in the order of their rank.
    pub(crate) fn watchers_of(&self, zone: &ZoneName) -> Vec<VmName> {
        let Some(members) = self.zones.get(zone) else { return Vec::new() };
        let order = rendezvous::rank(WATCH_RANK_KEY, members);
        order.into_iter().take(self.settings.watchers).map(|index| members[index].clone()).collect()
    }

    pub(crate) fn next_op(&mut self) -> OperationId {
        self.last_op += 1;
        OperationId(self.last_op)
    }

    fn update_rosters(&mut self, zones: BTreeMap<ZoneName, Vec<VmName>>) {
        self.zones = zones;
        self.watchers = self.watchers_of(&self.settings.zone);
        let zone_entries = self.zones.iter().flat_map(|(zone, members)| {
            members.iter().map(|member| (member.clone(), zone.clone()))
        });
        self.zone_by_vm = zone_entries.collect();
        let members: BTreeSet<&VmName> = self.zones.values().flatten().collect();
        self.peers.retain(|peer, _| members.contains(peer));
        if self.ready.is_none() {
            let own_vm = &self.settings.vm;
            self.startup.add_peers(members.into_iter().filter(|peer| *peer != own_vm));
        }
    }

    /// Records the status of a peer, and starts to fetch its generation if that is later than this node's.
    pub(crate) fn receive_status(&mut self, now: ClockTime, from: &VmName, status: SyncStatus) {
        if self.is_in_own_zone(from) {
            self.contact.record_reported_contacts(now, &status);
        } else if self.zone_of(from).is_some() {
            self.contact.record_other_zone_contact(now);
        }
        let view = self.peers.entry(from.clone()).or_insert(PeerView { status, received_at: now });
        // A node's generation never decreases while it runs, but it may after a restart, so the last received status
        // replaces earlier ones although messages can be reordered. At worst, the node sends a request to a peer that
        // doesn't have the generation, and then tries another source.
        *view = PeerView { status, received_at: now };
        let own_generation = self.generation();
        if status.generation == own_generation && own_generation > 0 {
            let digest = self.in_force.as_ref().map(|copy| copy.head.digest);
            self.counters.conflicting_digests += u64::from(digest != status.digest);
        }
        self.request_generation(now, status.generation);
    }

    pub(crate) fn record_status_response(&mut self, peer: &VmName, status: &SyncStatus) {
        self.startup.record_status_response(peer, status.generation);
    }

    pub(crate) fn request_generation(&mut self, not_before: ClockTime, generation: u64) {
        let pending_generation =
            self.pending_install.as_ref().map_or(0, |copy| copy.head.generation);
        if generation <= self.generation().max(pending_generation) || generation == self.refused {
            return;
        }
        match &mut self.fetch {
            None => self.fetch = Some(ConfigFetch::new(generation, not_before)),
            Some(fetch) => {
                let is_latest = generation >= fetch.generation;
                fetch.raise_generation(generation);
                if is_latest {
                    fetch.not_before = fetch.not_before.min(not_before);
                }
            }
        }
    }

    pub(crate) fn receive_head(&mut self, not_before: ClockTime, head: Arc<SyncHead>) {
        if head.generation == self.refused {
            return;
        }
        self.request_generation(not_before, head.generation);
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.head.is_none() && head.generation >= fetch.generation {
            let empty = BTreeMap::new();
            let local_chunks = self.in_force.as_ref().map_or(&empty, |copy| &copy.chunks);
            fetch.receive_head(head, local_chunks);
        }
    }

    fn handle_acceptance(
        &mut self,
        now: ClockTime,
        generation: u64,
        actions: &mut Vec<SyncAction>,
    ) {
        let Some(copy) = self.pending_install.take_if(|copy| copy.head.generation == generation)
        else {
            return;
        };
        let must_announce = copy.has_data_from_outside_zone || self.watch.is_some();
        self.counters.installed += 1;
        self.in_force = Some(copy);
        if must_announce {
            let status = self.status(now);
            let members = self.zones.get(&self.settings.zone).cloned().unwrap_or_default();
            for to in members.into_iter().filter(|member| *member != self.settings.vm) {
                actions.push(SyncAction::Send { to, message: SyncMessage::Announce(status) });
            }
        }
    }

    fn handle_refusal(&mut self, generation: u64) {
        if self.pending_install.take_if(|copy| copy.head.generation == generation).is_some() {
            self.refused = generation;
            self.startup.handle_refusal(generation);
            self.counters.refused += 1;
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        self.update_watch(actions);
        self.read_head_if_due(now, actions);
        if self.ready.is_none() {
            self.query_zone_members(actions);
            for to in self.startup.due_queries(now, &self.settings) {
                actions.push(SyncAction::Send {
                    to,
                    message: SyncMessage::StatusRequest { nonce: self.nonce },
                });
            }
        }
        if self.next_anti_entropy_at <= now {
            let period = self.settings.anti_entropy_period.as_ms();
            self.next_anti_entropy_at =
                now + ClockSpan::from_ms(period / 2 + self.random.below(period));
            self.query_random_peers(actions);
        }
        self.time_out_peer(now);
    }

    // Completes the fetch if nothing is missing, otherwise requests the missing data from the next source.
    fn advance_fetch(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let own_generation = self.generation();
        self.fetch.take_if(|fetch| fetch.generation <= own_generation);
        let Some(fetch) = &self.fetch else { return };
        let missing_data = fetch.missing_data();
        if missing_data == MissingData::Nothing {
            self.complete_fetch(now, actions);
        } else if fetch.source == FetchSource::Idle && fetch.not_before <= now {
            self.request_missing_data(now, missing_data, actions);
        }
    }

    fn complete_fetch(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let Some(mut fetch) = self.fetch.take() else { return };
        let Some(head) = fetch.head.clone() else { return };
        match assemble(&head, &fetch.chunks) {
            Ok(document) => {
                let chunks = fetch.chunks;
                let has_data_from_outside_zone = fetch.has_data_from_outside_zone;
                self.pending_install =
                    Some(ConfigCopy { head: head.clone(), chunks, has_data_from_outside_zone });
                actions.push(SyncAction::Install { head, document });
            }
            Err(_) => {
                self.counters.corrupt += 1;
                fetch.head = None;
                fetch.chunks.clear();
                fetch.not_before = now + self.settings.peer_timeout;
                self.fetch = Some(fetch);
            }
        }
    }

    fn check_ready(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        if self.ready.is_some() {
            return;
        }
        let generation = self.generation();
        match self.startup.check(now, &self.settings, generation) {
            Ok(source) => {
                self.ready = Some(source);
                actions.push(SyncAction::Ready { source });
            }
            Err(reason) => self.not_ready_reason = reason,
        }
    }
}
