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
const FOLLOWERS: usize = 2;

/// The age of its last answer from which a router no longer follows for others: its wait, and a slow store's answer.
const FOLLOW_AGE: ClockSpan = ClockSpan::from_ms(1_800);

/// The age of the proof from which a router follows the store itself: a follower's wait, two notes and their delay.
const LONELY_AGE: ClockSpan = ClockSpan::from_ms(2_200);

/// The time after which changes are read that bear on nothing urgent.
const CALM_READ: ClockSpan = ClockSpan::from_ms(3_000);

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
pub(super) struct StoreKnowledge {
    // The revision of the last change that was read.
    changed: u64,
    // The same for changes that the others should read at once.
    urgent: u64,
    // Whether such a change was among those just read.
    has_urgent: bool,
    answered: Option<ClockTime>,
}

impl StoreKnowledge {
    /// Notes that one of the changes just read is urgent.
    pub(super) fn note_urgent(&mut self) {
        self.has_urgent = true;
    }

    pub(super) fn note_answer(&mut self, now: ClockTime) {
        self.answered = Some(now);
    }

    pub(super) fn told(&self) -> (u64, u64) {
        (self.changed, self.urgent)
    }
}

impl ForwardState {
    /// Returns what to do next to follow the store, whose changes are read up to the revision `after`.
    pub fn next_store_step(&self, now: ClockTime, after: u64) -> StoreStep {
        if self.is_follower(now) || self.proof_age(now).is_none_or(|age| age >= LONELY_AGE) {
            return StoreStep::Watch(self.watch_wait(now));
        }
        let told = |revision: fn(&GossipMessage) -> u64| {
            self.peers.heard(now).map(|(note, _)| revision(note)).max().unwrap_or(0) > after
        };
        let is_due = || self.knowledge.answered.is_none_or(|at| now.since(at) >= CALM_READ);
        if told(|note| note.urgent_revision) || is_due() && told(|note| note.revision) {
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
        self.followers_ahead(now).next().is_none()
    }

    fn followers_ahead(&self, now: ClockTime) -> impl Iterator<Item = &GossipMessage> {
        let own = &self.settings.place.vm;
        let heard = self.peers.heard(now).map(|(note, _)| note);
        heard.filter(move |note| note.follows && !note.stopping && note.place.vm < *own)
    }

    /// Returns whether this router follows the store for the others.
    fn is_follower(&self, now: ClockTime) -> bool {
        if self.stopping.is_some() {
            return false;
        }
        if self.term.is_leader(now) {
            return true;
        }
        let own = &self.settings.place.zone;
        if self.followers_ahead(now).all(|note| note.place.zone != *own) {
            return true;
        }
        // The first of other zones stand in for the first of this one.
        let mut heard = self.peers.heard(now);
        let is_only_zone = heard.all(|(note, _)| !note.follows || note.place.zone == *own);
        is_only_zone && self.followers_ahead(now).count() < FOLLOWERS
    }

    /// Returns whether the peers can rely on this router to follow the store.
    pub(super) fn follows(&self, now: ClockTime) -> bool {
        let is_young = |at| now.since(at) < FOLLOW_AGE;
        self.is_follower(now) && self.knowledge.answered.is_some_and(is_young)
    }

    /// Takes the revision of the last change among those just read.
    pub(super) fn store_changed(
        &mut self,
        now: ClockTime,
        revision: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.knowledge.changed = self.knowledge.changed.max(revision);
        if std::mem::take(&mut self.knowledge.has_urgent) && revision > self.knowledge.urgent {
            self.knowledge.urgent = revision;
            if self.is_follower(now) {
                actions.push(ForwardAction::SendGossip);
            }
        }
    }
}
