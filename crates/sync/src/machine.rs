//! The state machine that keeps one node's configuration the newest to be had.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, VmName, ZoneName, rendezvous};
use godwitroad_store::{OperationId, OperationReply, OperationSpec, Result, WatchUpdate};

use crate::{
    contact::ContactRecord,
    fetch::{ConfigFetch, FetchNeed, FetchSource},
    head::{ChunkDigest, SyncHead, assemble},
    message::{SyncMessage, SyncStatus},
    progress::{ProgressAnswers, ZoneProgress},
    settings::{SyncCounters, SyncSettings},
    startup::{ReadySource, StartupCheck},
};

/// The key of the ranking that chooses the watchers of a zone.
const WATCH_RANK_KEY: u64 = 0x636f_6e66_6967;

/// An event that [`ConfigSync::handle`] takes.
#[derive(Clone, Debug)]
pub enum SyncEvent {
    /// The members of each zone as far as they are known, the own VM included.
    Rosters(BTreeMap<ZoneName, Vec<VmName>>),
    /// A peer's heartbeat carried its status.
    Heartbeat {
        /// The sender.
        from: VmName,
        /// The status.
        status: SyncStatus,
    },
    /// A peer sent a message.
    Message {
        /// The sender.
        from: VmName,
        /// The message.
        message: SyncMessage,
    },
    /// An operation on the store ended.
    Store {
        /// The operation.
        op: OperationId,
        /// The result.
        result: Result<OperationReply>,
    },
    /// The watch on the head reports.
    Watched {
        /// The operation.
        op: OperationId,
        /// The report.
        update: WatchUpdate,
    },
    /// The router took the document of [`SyncAction::Install`] into use.
    Accepted {
        /// The generation.
        generation: u64,
    },
    /// The router refused the document of [`SyncAction::Install`] as a whole.
    Refused {
        /// The generation.
        generation: u64,
    },
    /// An operator asks where the configuration is in force; see [`ConfigSync::progress`].
    RequestProgress,
    /// Time passed.
    Tick,
}

/// An action that [`ConfigSync::handle`] asks for.
#[derive(Clone, Debug)]
pub enum SyncAction {
    /// Submit an operation to the store client.
    Submit {
        /// The operation's number.
        op: OperationId,
        /// The operation.
        spec: OperationSpec,
    },
    /// Cancel an operation.
    Cancel {
        /// The operation's number.
        op: OperationId,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: SyncMessage,
    },
    /// Check the document and take it into use; answered by [`SyncEvent::Accepted`] or [`SyncEvent::Refused`].
    Install {
        /// The head.
        head: Arc<SyncHead>,
        /// The document.
        document: Arc<[u8]>,
    },
    /// The node has the newest generation to be had.
    Ready {
        /// What proves it.
        source: ReadySource,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct HeldConfig {
    pub(crate) head: Arc<SyncHead>,
    pub(crate) chunks: BTreeMap<ChunkDigest, Arc<[u8]>>,
    is_first_hand: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerView {
    pub(crate) status: SyncStatus,
    pub(crate) heard: ClockTime,
}

/// The state machine that distributes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    pub(crate) settings: SyncSettings,
    pub(crate) random: SeededRandom,
    pub(crate) counters: SyncCounters,
    pub(crate) zones: BTreeMap<ZoneName, Vec<VmName>>,
    // Derived from `zones`, because every tick and every message asks for them.
    zone_by_vm: BTreeMap<VmName, ZoneName>,
    pub(crate) watchers: Vec<VmName>,
    pub(crate) peers: BTreeMap<VmName, PeerView>,
    pub(crate) force: Option<HeldConfig>,
    offered: Option<HeldConfig>,
    pub(crate) refused: u64,
    pub(crate) fetch: Option<ConfigFetch>,
    pub(crate) startup: StartupCheck,
    pub(crate) ready: Option<ReadySource>,
    reason: &'static str,
    pub(crate) contact: ContactRecord,
    pub(crate) progress_answers: ProgressAnswers,
    pub(crate) nonce: u64,
    pub(crate) has_greeted: bool,
    pub(crate) start: ClockTime,
    pub(crate) watch: Option<OperationId>,
    pub(crate) head_read: Option<OperationId>,
    pub(crate) head_read_at: Option<ClockTime>,
    entropy_at: ClockTime,
    last_op: u64,
}

impl ConfigSync {
    /// Returns the machine of a node that starts at `now` and holds no configuration.
    pub fn new(now: ClockTime, settings: SyncSettings, mut random: SeededRandom) -> ConfigSync {
        let nonce = random.next_u64();
        let entropy_at = now + ClockSpan::from_ms(random.below(settings.entropy_period.as_ms()));
        ConfigSync {
            settings,
            random,
            counters: SyncCounters::default(),
            zones: BTreeMap::new(),
            zone_by_vm: BTreeMap::new(),
            watchers: Vec::new(),
            peers: BTreeMap::new(),
            force: None,
            offered: None,
            refused: 0,
            fetch: None,
            startup: StartupCheck::new(),
            ready: None,
            reason: "the store has not answered yet",
            contact: ContactRecord::default(),
            progress_answers: ProgressAnswers::default(),
            nonce,
            has_greeted: false,
            start: now,
            watch: None,
            head_read: None,
            head_read_at: None,
            entropy_at,
            last_op: 0,
        }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: SyncEvent, actions: &mut Vec<SyncAction>) {
        match event {
            SyncEvent::Rosters(zones) => self.take_rosters(zones),
            SyncEvent::Heartbeat { from, status } => self.hear(now, &from, status),
            SyncEvent::Message { from, message } => self.take_message(now, from, message, actions),
            SyncEvent::Store { op, result } => self.take_result(now, op, result),
            SyncEvent::Watched { op, update } => self.take_watch(now, op, update),
            SyncEvent::Accepted { generation } => self.accept(now, generation, actions),
            SyncEvent::Refused { generation } => self.refuse(generation),
            SyncEvent::RequestProgress => self.ask_progress(now, actions),
            SyncEvent::Tick => self.tick(now, actions),
        }
        self.advance(now, actions);
        self.check_ready(now, actions);
    }

    /// Returns the generation in force; zero before the first.
    pub fn generation(&self) -> u64 {
        self.force.as_ref().map_or(0, |held| held.head.generation)
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Arc<SyncHead>> {
        self.force.as_ref().map(|held| &held.head)
    }

    /// Returns what proved that the node had the newest generation to be had, or the reason for which it isn't ready.
    ///
    /// # Errors
    ///
    /// Returns the reason while the node isn't ready.
    pub fn readiness(&self) -> std::result::Result<ReadySource, &'static str> {
        self.ready.ok_or(self.reason)
    }

    /// Returns the age of the zone's newest contact with the store or another zone.
    pub fn contact_age(&self, now: ClockTime) -> ClockSpan {
        self.contact.age(now, self.start)
    }

    /// Returns the status that heartbeats carry.
    pub fn status(&self, now: ClockTime) -> SyncStatus {
        SyncStatus {
            generation: self.generation(),
            digest: self.force.as_ref().map(|held| held.head.digest),
            is_ready: self.ready.is_some(),
            store_contact_age: self.contact.store.map(|at| now.since(at)),
            other_zone_contact_age: self.contact.outside.map(|at| now.since(at)),
        }
    }

    /// Returns the progress of the zones that answered the last [`SyncEvent::AskProgress`], with the answers' ages.
    ///
    /// A zone that is missing hasn't answered: nothing is known of it.
    pub fn progress(&self, now: ClockTime) -> BTreeMap<ZoneName, (ClockSpan, ZoneProgress)> {
        self.progress_answers.answers(now)
    }

    /// Returns the counters.
    pub fn counters(&self) -> &SyncCounters {
        &self.counters
    }

    /// Returns whether the node watches the head for its zone.
    pub fn is_watcher(&self) -> bool {
        self.watch.is_some()
    }

    pub(crate) fn zone_of(&self, vm: &VmName) -> Option<&ZoneName> {
        self.zone_by_vm.get(vm)
    }

    pub(crate) fn is_neighbour(&self, vm: &VmName) -> bool {
        self.zone_of(vm) == Some(&self.settings.zone)
    }

    /// Returns the members of `zone` that watch the head, the first one first.
    pub(crate) fn watchers_of(&self, zone: &ZoneName) -> Vec<VmName> {
        let Some(members) = self.zones.get(zone) else { return Vec::new() };
        let order = rendezvous::rank(WATCH_RANK_KEY, members);
        order.into_iter().take(self.settings.watchers).map(|index| members[index].clone()).collect()
    }

    pub(crate) fn next_op(&mut self) -> OperationId {
        self.last_op += 1;
        OperationId(self.last_op)
    }

    fn take_rosters(&mut self, zones: BTreeMap<ZoneName, Vec<VmName>>) {
        self.zones = zones;
        self.watchers = self.watchers_of(&self.settings.zone);
        let pairs = self.zones.iter().flat_map(|(zone, members)| {
            members.iter().map(|member| (member.clone(), zone.clone()))
        });
        self.zone_by_vm = pairs.collect();
        let members: BTreeSet<&VmName> = self.zones.values().flatten().collect();
        self.peers.retain(|peer, _| members.contains(peer));
        if self.ready.is_none() {
            let own = &self.settings.vm;
            self.startup.know(members.into_iter().filter(|peer| *peer != own));
        }
    }

    /// Takes a peer's status: a generation above the own one is wanted from now on.
    pub(crate) fn hear(&mut self, now: ClockTime, from: &VmName, status: SyncStatus) {
        if self.is_neighbour(from) {
            self.contact.hear(now, &status);
        } else if self.zone_of(from).is_some() {
            self.contact.reach_outside(now);
        }
        let view = self.peers.entry(from.clone()).or_insert(PeerView { status, heard: now });
        // Messages can be reordered, and a node's generation never falls while it runs. After a restart it may, so
        // that the newest statement counts for progress; a fetch from a peer that has less just goes elsewhere.
        *view = PeerView { status, heard: now };
        let own = self.generation();
        if status.generation == own && own > 0 {
            let digest = self.force.as_ref().map(|held| held.head.digest);
            self.counters.forked += u64::from(digest != status.digest);
        }
        self.want(now, status.generation);
    }

    pub(crate) fn answer(&mut self, peer: &VmName, status: &SyncStatus) {
        self.startup.answer(peer, status.generation);
    }

    pub(crate) fn want(&mut self, not_before: ClockTime, generation: u64) {
        let offered = self.offered.as_ref().map_or(0, |held| held.head.generation);
        if generation <= self.generation().max(offered) || generation == self.refused {
            return;
        }
        match &mut self.fetch {
            None => self.fetch = Some(ConfigFetch::new(generation, not_before)),
            Some(fetch) => {
                let is_newest = generation >= fetch.generation;
                fetch.raise(generation);
                if is_newest {
                    fetch.not_before = fetch.not_before.min(not_before);
                }
            }
        }
    }

    pub(crate) fn take_head(&mut self, not_before: ClockTime, head: Arc<SyncHead>) {
        if head.generation == self.refused {
            return;
        }
        self.want(not_before, head.generation);
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.head.is_none() && head.generation >= fetch.generation {
            let empty = BTreeMap::new();
            let held = self.force.as_ref().map_or(&empty, |held| &held.chunks);
            fetch.take_head(head, held);
        }
    }

    fn accept(&mut self, now: ClockTime, generation: u64, actions: &mut Vec<SyncAction>) {
        let Some(held) = self.offered.take_if(|held| held.head.generation == generation) else {
            return;
        };
        let is_announcer = held.is_first_hand || self.watch.is_some();
        self.counters.installed += 1;
        self.force = Some(held);
        if is_announcer {
            let status = self.status(now);
            let members = self.zones.get(&self.settings.zone).cloned().unwrap_or_default();
            for to in members.into_iter().filter(|member| *member != self.settings.vm) {
                actions.push(SyncAction::Send { to, message: SyncMessage::Announce(status) });
            }
        }
    }

    fn refuse(&mut self, generation: u64) {
        if self.offered.take_if(|held| held.head.generation == generation).is_some() {
            self.refused = generation;
            self.startup.refuse(generation);
            self.counters.refused += 1;
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        self.do_watch_duty(actions);
        self.read_head(now, actions);
        if self.ready.is_none() {
            self.greet_neighbours(actions);
            for to in self.startup.ask(now, &self.settings) {
                actions.push(SyncAction::Send {
                    to,
                    message: SyncMessage::Query { nonce: self.nonce },
                });
            }
        }
        if self.entropy_at <= now {
            let period = self.settings.entropy_period.as_ms();
            self.entropy_at = now + ClockSpan::from_ms(period / 2 + self.random.below(period));
            self.ask_random_peers(actions);
        }
        self.time_out_peer(now);
    }

    // Moves the fetch on: completes it, or asks the next source for what is missing.
    fn advance(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let own = self.generation();
        self.fetch.take_if(|fetch| fetch.generation <= own);
        let Some(fetch) = &self.fetch else { return };
        let need = fetch.need();
        if need == FetchNeed::Nothing {
            self.complete(now, actions);
        } else if fetch.source == FetchSource::Idle && fetch.not_before <= now {
            self.ask_source(now, need, actions);
        }
    }

    fn complete(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let Some(mut fetch) = self.fetch.take() else { return };
        let Some(head) = fetch.head.clone() else { return };
        match assemble(&head, &fetch.parts) {
            Ok(document) => {
                let chunks = fetch.parts;
                let is_first_hand = fetch.is_first_hand;
                self.offered = Some(HeldConfig { head: head.clone(), chunks, is_first_hand });
                actions.push(SyncAction::Install { head, document });
            }
            Err(_) => {
                self.counters.corrupt += 1;
                fetch.head = None;
                fetch.parts.clear();
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
            Err(reason) => self.reason = reason,
        }
    }
}
