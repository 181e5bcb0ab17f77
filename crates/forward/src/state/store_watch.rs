//! Selects the routers that watch the store, and tells the others when to read it.
//!
//! Every change of the store ends the watch call of every router that watches it, and the platform counts calls. Only a
//! few routers therefore watch the store: the first of each availability zone by name, so that a zone keeps working
//! when it is cut off, and the holder of the order lease. Their gossip messages contain the revision up to which they
//! have read. The other routers read the changes when a peer knows a newer revision: at once if the change affects which
//! requests may be sent to which target, otherwise after `NON_URGENT_READ_DELAY`. They read them from a peer that has
//! them, and from the store only if no peer hands them on. A router that receives no recent freshness proof from any
//! peer watches the store itself.

use godwitroad_base::{ClockSpan, ClockTime, StoreRevision};

use super::{ForwardAction, ForwardState, RelayPeer, gossip_schedule::UrgentScope};
use crate::{ChangePiece, GossipMessage};

/// The number of routers that watch the store in a fleet of one zone, so that the loss of one delays no changes.
const SINGLE_ZONE_WATCHERS: usize = 2;

/// The age of a watcher's last answer from which its peers must not rely on it: the wait of a watch call and the answer
/// of a slow store.
const WATCHER_MAX_ANSWER_AGE: ClockSpan = ClockSpan::from_ms(1_800);

/// The age of the freshness proof from which a router watches the store itself: the wait of a watch call, two gossip
/// messages and their delay.
const SELF_WATCH_PROOF_AGE: ClockSpan = ClockSpan::from_ms(2_200);

/// The time since the last read after which a router also reads changes that are not urgent.
const NON_URGENT_READ_DELAY: ClockSpan = ClockSpan::from_ms(3_000);

/// The delay after an answer of the store with changes, for each router of the fleet, so that changes in quick succession
/// need only one call. Every change wakes every watcher, so the delay grows with the fleet.
const BATCH_DELAY_PER_MEMBER: ClockSpan = ClockSpan::from_ms(20);

/// The same delay for a router that isn't the first watcher of the store. It reads changes only after that one.
const SECONDARY_BATCH_DELAY_PER_MEMBER: ClockSpan = ClockSpan::from_ms(80);

/// The longest delay after an answer of the store with changes.
const MAX_BATCH_DELAY: ClockSpan = ClockSpan::from_ms(1_000);

/// The longest delay after changes were read from a peer, which takes no call to the store.
const MAX_PEER_BATCH_DELAY: ClockSpan = ClockSpan::from_ms(400);

/// The longest pause before changes are read from peers, for each reachable peer of the zone.
const CATCH_UP_PAUSE_PER_PEER: ClockSpan = ClockSpan::from_ms(16);

/// The longest such pause in a large zone.
const MAX_CATCH_UP_PAUSE: ClockSpan = ClockSpan::from_ms(800);

/// What a router should do next to learn of changes in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStep {
    /// Send a watch call that waits up to this long for changes.
    Watch(ClockSpan),
    /// Read the store without waiting, as a request needs to know its present state.
    Read,
    /// Read the changes that peers know of, from one of them or from the store.
    CatchUp,
    /// Make no call until gossip reports changes.
    Idle,
}

/// How far this router has read the store's changes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreProgress {
    // The revision of the last change that was read, or the default before the first.
    last_revision: StoreRevision,
    // The revision of the last change that the other routers should read at once.
    last_urgent_revision: StoreRevision,
    // Whether such a change is among those being read.
    has_urgent: bool,
    // When the store last answered.
    last_answer: Option<ClockTime>,
    // When changes were last read from a peer.
    last_catch_up: Option<ClockTime>,
    // When the newest read started whose answer shows the store as it was then, and not an older copy.
    viewed_from: Option<ClockTime>,
    // Whether a request waits for a newer one.
    is_view_wanted: bool,
}

impl StoreProgress {
    /// Records that one of the changes being read is urgent.
    pub(super) fn record_urgent(&mut self) {
        self.has_urgent = true;
    }

    pub(super) fn record_answer(&mut self, now: ClockTime) {
        self.last_answer = Some(now);
    }

    /// Records a read that started at `read_from` and shows the store as it was then.
    pub(super) fn record_view(&mut self, read_from: ClockTime) {
        self.viewed_from = self.viewed_from.max(Some(read_from));
        self.is_view_wanted = false;
    }

    /// Returns when the newest such read started.
    pub(super) fn viewed_from(&self) -> Option<ClockTime> {
        self.viewed_from
    }

    /// Makes the next step a read.
    pub(super) fn want_view(&mut self) {
        self.is_view_wanted = true;
    }

    pub(super) fn revisions(&self) -> (StoreRevision, StoreRevision) {
        (self.last_revision, self.last_urgent_revision)
    }
}

impl ForwardState {
    /// Returns what to do next to learn of changes after the revision `after`, up to which they have been read.
    pub fn next_store_step(&self, now: ClockTime, after: StoreRevision) -> StoreStep {
        if self.store_progress.is_view_wanted {
            return StoreStep::Read;
        }
        if self.is_watcher(now) || self.proof_age(now).is_none_or(|age| age >= SELF_WATCH_PROOF_AGE)
        {
            return StoreStep::Watch(self.watch_wait(now));
        }
        let peers_know_newer = |revision: fn(&GossipMessage) -> StoreRevision| {
            self.peers.reachable(now).any(|(message, _)| revision(message) > after)
        };
        let is_due = || {
            let progress = &self.store_progress;
            let last_read = progress.last_answer.max(progress.last_catch_up);
            last_read.is_none_or(|at| now.since(at) >= NON_URGENT_READ_DELAY)
        };
        if peers_know_newer(|message| message.urgent_revision)
            || is_due() && peers_know_newer(|message| message.revision)
        {
            StoreStep::CatchUp
        } else {
            StoreStep::Idle
        }
    }

    fn watch_wait(&self, now: ClockTime) -> ClockSpan {
        let contact = &self.settings.contact;
        let needs_proof = self.rules.as_ref().is_some_and(|rules| rules.needs_keys());
        if needs_proof && contact.strict && self.is_first_watcher(now) {
            contact.first_wait.min(contact.wait)
        } else {
            contact.wait
        }
    }

    /// Returns whether no other watcher of the store comes before this router by name.
    pub fn is_first_watcher(&self, now: ClockTime) -> bool {
        self.watchers_ahead(now).next().is_none()
    }

    fn watchers_ahead(&self, now: ClockTime) -> impl Iterator<Item = &GossipMessage> {
        let own = &self.settings.place.vm;
        let reachable = self.peers.reachable(now).map(|(message, _)| message);
        reachable.filter(move |message| {
            message.watches_store && !message.stopping && message.place.vm < *own
        })
    }

    /// Returns whether this router should watch the store for the others.
    fn is_watcher(&self, now: ClockTime) -> bool {
        if self.stop.is_stopping() {
            return false;
        }
        if self.term.is_leader(now) {
            return true;
        }
        let own = &self.settings.place.zone;
        if self.watchers_ahead(now).all(|message| message.place.zone != *own) {
            return true;
        }
        // In a fleet of several zones, the watchers of other zones replace a lost one; a single zone needs two.
        let mut reachable = self.peers.reachable(now);
        let is_only_zone =
            reachable.all(|(message, _)| !message.watches_store || message.place.zone == *own);
        is_only_zone && self.watchers_ahead(now).count() < SINGLE_ZONE_WATCHERS
    }

    /// Returns whether the peers can rely on this router for changes of the store.
    pub(super) fn watches_reliably(&self, now: ClockTime) -> bool {
        let is_young = |at| now.since(at) < WATCHER_MAX_ANSWER_AGE;
        self.is_watcher(now) && self.store_progress.last_answer.is_some_and(is_young)
    }

    /// Returns peers from which the changes after a revision may be read, in the order in which to ask them. Those that
    /// have the newest urgent change come first: while changes come all the time, the others are behind, too.
    pub fn change_peers(&mut self, now: ClockTime, after: StoreRevision) -> Vec<RelayPeer> {
        let key = self.random.next_u64();
        let has_newer = |message: &GossipMessage| {
            message.shares_changes && !message.stopping && message.revision > after
        };
        let urgent = self.peers.reachable(now).map(|(message, _)| message.urgent_revision).max();
        // Watchers have a change first, and are needed for the next one.
        let penalty = |message: &GossipMessage| {
            2 * u8::from(Some(message.revision) < urgent) + u8::from(message.watches_store)
        };
        self.nearest_peers(now, key, has_newer, penalty)
    }

    /// Returns how long to wait before changes are read from peers. All routers of a zone hear of a change at once, when
    /// only the zone's watcher has it; those that wait read it from others.
    pub fn catch_up_pause(&mut self, now: ClockTime) -> ClockSpan {
        self.zone_pause(now, CATCH_UP_PAUSE_PER_PEER, MAX_CATCH_UP_PAUSE)
    }

    /// Returns a random pause, so that the routers of a zone, which all hear of something at once, don't act at once. It is
    /// at most `per_peer` for each reachable peer of the zone, and `longest` in a large one.
    pub(super) fn zone_pause(
        &mut self,
        now: ClockTime,
        per_peer: ClockSpan,
        longest: ClockSpan,
    ) -> ClockSpan {
        let zone = &self.settings.place.zone;
        let near = self.peers.reachable(now).filter(|(message, _)| message.place.zone == *zone);
        let span_ms = (near.count() as u64 * per_peer.as_ms()).min(longest.as_ms());
        ClockSpan::from_ms(self.random.below(span_ms + 1))
    }

    /// Returns how long to wait after an answer of the store with changes before the next call.
    pub fn batch_delay(&self, now: ClockTime) -> ClockSpan {
        let per_member = if self.is_first_watcher(now) {
            BATCH_DELAY_PER_MEMBER
        } else {
            SECONDARY_BATCH_DELAY_PER_MEMBER
        };
        self.delay_for_members(per_member).min(MAX_BATCH_DELAY)
    }

    /// Returns how long to wait after changes were read from a peer before more are read. Another change may come right
    /// after them, and mustn't wait for long.
    pub fn peer_batch_delay(&self) -> ClockSpan {
        self.delay_for_members(SECONDARY_BATCH_DELAY_PER_MEMBER).min(MAX_PEER_BATCH_DELAY)
    }

    fn delay_for_members(&self, per_member: ClockSpan) -> ClockSpan {
        ClockSpan::from_ms(self.member_count() as u64 * per_member.as_ms())
    }

    /// Keeps an answer of the store for peers.
    pub fn record_changes(&mut self, piece: ChangePiece) {
        self.changes.record(piece);
    }

    /// Returns the changes after a revision for a peer, or `None` if they aren't all known.
    pub fn changes_since(&self, after: StoreRevision) -> Option<Vec<ChangePiece>> {
        self.changes.since(after)
    }

    /// Records that changes were read from a peer. They prove nothing about the store's present state.
    pub fn record_catch_up(&mut self, now: ClockTime) {
        self.store_progress.last_catch_up = Some(now);
    }

    /// Records the revision of the last change that was read.
    pub(super) fn store_changed(
        &mut self,
        now: ClockTime,
        revision: StoreRevision,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.store_progress.last_revision = self.store_progress.last_revision.max(revision);
        if std::mem::take(&mut self.store_progress.has_urgent)
            && revision > self.store_progress.last_urgent_revision
        {
            self.store_progress.last_urgent_revision = revision;
            if self.is_watcher(now) {
                self.request_gossip(UrgentScope::Zone, actions);
            }
        }
    }
}
