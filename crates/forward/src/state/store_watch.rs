//! Who follows the store, and when the others read it.
//!
//! Every change of the store wakes every router that waits for changes, and each answer is a call that the platform
//! counts. A few routers therefore follow the store with waiting calls: the first of each availability zone by name, so
//! that a zone that is cut off goes on, and the owner of the orders. Their notes tell the others how far they know the
//! store. The others read it when they are told of a change: at once if it bears on what may be sent where, and after a
//! while if it doesn't. A router that gets no young proof from any peer follows the store itself.

use godwitroad_base::{ClockSpan, ClockTime};

use super::{ForwardAction, ForwardState};
use crate::GossipMessage;

/// Routers that follow the store in a fleet of one zone, so that the loss of one delays no news.
const SINGLE_ZONE_WATCHERS: usize = 2;

/// The age of its last answer from which a router no longer follows for others: its wait, and a slow store's answer.
const WATCHER_MAX_ANSWER_AGE: ClockSpan = ClockSpan::from_ms(1_800);

/// The age of the proof from which a router follows the store itself: a follower's wait, two notes and their delay.
const SELF_WATCH_PROOF_AGE: ClockSpan = ClockSpan::from_ms(2_200);

/// The time after which changes are read that bear on nothing urgent.
const NON_URGENT_READ_DELAY: ClockSpan = ClockSpan::from_ms(3_000);

/// What to do next to follow the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStep {
    /// Wait for changes.
    Watch(ClockSpan),
    /// Read the changes that are there.
    Read,
    /// Wait for news from the peers.
    Idle,
}

/// How far this router knows the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreProgress {
    // The revision of the last change that was read.
    last_revision: u64,
    // The same for changes that the others should read at once.
    last_urgent_revision: u64,
    // Whether such a change was among those just read.
    has_urgent: bool,
    last_answer: Option<ClockTime>,
}

impl StoreProgress {
    /// Notes that one of the changes just read is urgent.
    pub(super) fn record_urgent(&mut self) {
        self.has_urgent = true;
    }

    pub(super) fn record_answer(&mut self, now: ClockTime) {
        self.last_answer = Some(now);
    }

    pub(super) fn revisions(&self) -> (u64, u64) {
        (self.last_revision, self.last_urgent_revision)
    }
}

impl ForwardState {
    /// Returns what to do next to follow the store, whose changes are read up to the revision `after`.
    pub fn next_store_step(&self, now: ClockTime, after: u64) -> StoreStep {
        if self.is_watcher(now) || self.proof_age(now).is_none_or(|age| age >= SELF_WATCH_PROOF_AGE)
        {
            return StoreStep::Watch(self.watch_wait(now));
        }
        let newest_revision = |revision: fn(&GossipMessage) -> u64| {
            self.peers.reachable(now).map(|(message, _)| revision(message)).max().unwrap_or(0)
                > after
        };
        let is_due = || {
            self.store_progress.last_answer.is_none_or(|at| now.since(at) >= NON_URGENT_READ_DELAY)
        };
        if newest_revision(|message| message.urgent_revision)
            || is_due() && newest_revision(|message| message.revision)
        {
            StoreStep::Read
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

    /// Returns whether no other router that follows the store comes before this one.
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

    /// Returns whether this router follows the store for the others.
    fn is_watcher(&self, now: ClockTime) -> bool {
        if self.stopping_since.is_some() {
            return false;
        }
        if self.term.is_held(now) {
            return true;
        }
        let own = &self.settings.place.zone;
        if self.watchers_ahead(now).all(|message| message.place.zone != *own) {
            return true;
        }
        // The first of other zones stand in for the first of this one.
        let mut reachable = self.peers.reachable(now);
        let is_only_zone =
            reachable.all(|(message, _)| !message.watches_store || message.place.zone == *own);
        is_only_zone && self.watchers_ahead(now).count() < SINGLE_ZONE_WATCHERS
    }

    /// Returns whether the peers can rely on this router to follow the store.
    pub(super) fn watches_reliably(&self, now: ClockTime) -> bool {
        let is_young = |at| now.since(at) < WATCHER_MAX_ANSWER_AGE;
        self.is_watcher(now) && self.store_progress.last_answer.is_some_and(is_young)
    }

    /// Takes the revision of the last change among those just read.
    pub(super) fn store_changed(
        &mut self,
        now: ClockTime,
        revision: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.store_progress.last_revision = self.store_progress.last_revision.max(revision);
        if std::mem::take(&mut self.store_progress.has_urgent)
            && revision > self.store_progress.last_urgent_revision
        {
            self.store_progress.last_urgent_revision = revision;
            if self.is_watcher(now) {
                actions.push(ForwardAction::SendGossip);
            }
        }
    }
}
