//! When versions of a model's weights became the desired ones, as far as a router knows.

use godwitroad_base::{ClockSpan, ClockTime};

/// What a router knows of the time at which a version was announced.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AgeKnowledge {
    /// This router saw the announcement, so that its age is exact.
    Seen,
    /// A peer or the store tells how old the announcement is at least.
    AtLeast,
    /// The announcement may be much older than it counts, because it was already in the first listing of the store.
    Unknown,
}

/// The announcement of a version.
#[derive(Clone, Copy, Debug)]
struct WeightAnnouncement {
    version: u64,
    // When this router learned of the announcement.
    seen_at: ClockTime,
    // The announcement's age at `seen_at`. It is kept separately because a time before the start of the process has no
    // `ClockTime`.
    prior_age: ClockSpan,
    knowledge: AgeKnowledge,
}

/// The announcements of a model's versions, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncementList {
    entries: Vec<WeightAnnouncement>,
}

/// Limit of stored announcements. Weights that are older than all of them have long been outdated.
const MAX_ANNOUNCEMENTS: usize = 32;

/// Limit of announcements in each gossip message.
const MAX_GOSSIPED: usize = 8;

impl WeightAnnouncement {
    fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(self.seen_at) + self.prior_age
    }
}

impl AnnouncementList {
    /// Records a version that is newer than all known ones. `is_time_unknown` is true if it may have been announced long
    /// before.
    pub(crate) fn push(&mut self, now: ClockTime, version: u64, is_time_unknown: bool) {
        if self.entries.len() >= MAX_ANNOUNCEMENTS {
            self.entries.remove(0);
        }
        let knowledge = if is_time_unknown { AgeKnowledge::Unknown } else { AgeKnowledge::Seen };
        let prior_age = ClockSpan::ZERO;
        self.entries.push(WeightAnnouncement { version, seen_at: now, prior_age, knowledge });
    }

    /// Returns the newest version and the time for which it is known to have been announced.
    pub(crate) fn newest(&self, now: ClockTime) -> Option<(u64, ClockSpan)> {
        self.entries.last().map(|entry| (entry.version, entry.age(now)))
    }

    /// Returns the versions and ages that peers need to tell how long ago any weights were replaced: those announced less
    /// than `span` ago, and the newest of the older ones, which replaced all weights before it.
    pub(crate) fn gossiped(
        &self,
        now: ClockTime,
        span: ClockSpan,
    ) -> impl Iterator<Item = (u64, ClockSpan)> {
        let known: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.knowledge != AgeKnowledge::Unknown)
            .map(|entry| (entry.version, entry.age(now)))
            .collect();
        let first = known.iter().rposition(|(_, age)| *age >= span).unwrap_or(0);
        // The store shows the newest version to every router, so that the oldest ones matter most.
        known.into_iter().skip(first).take(MAX_GOSSIPED)
    }

    /// Applies the age of a version that a peer reports. The peer may know it better, as it was already running or was not
    /// cut off at that time.
    pub(crate) fn receive(&mut self, now: ClockTime, version: u64, age: ClockSpan) {
        self.merge(now, version, age);
    }

    /// Applies the record of a version in the store, which tells whether it was announced less than `span` ago.
    pub(crate) fn apply_record(
        &mut self,
        now: ClockTime,
        version: u64,
        is_recent: bool,
        span: ClockSpan,
    ) {
        self.merge(now, version, if is_recent { ClockSpan::ZERO } else { span });
    }

    /// Handles that a version no longer counts as recent, so that its age is at least `span`.
    pub(crate) fn end_recent(&mut self, now: ClockTime, version: u64, span: ClockSpan) {
        // A store that returns from an older copy may have lost the entry with its lease.
        let is_estimate = |entry: &WeightAnnouncement| {
            entry.version == version && entry.knowledge != AgeKnowledge::Seen
        };
        if self.entries.iter().any(is_estimate) {
            self.merge(now, version, span);
        }
    }

    fn merge(&mut self, now: ClockTime, version: u64, age: ClockSpan) {
        let knowledge = AgeKnowledge::AtLeast;
        let received = WeightAnnouncement { version, seen_at: now, prior_age: age, knowledge };
        match self.entries.binary_search_by_key(&version, |entry| entry.version) {
            Ok(at) => {
                let known = &mut self.entries[at];
                known.knowledge = known.knowledge.min(knowledge);
                if age > known.age(now) {
                    (known.seen_at, known.prior_age) = (now, age);
                }
            }
            // A version that was replaced before this router started still gives the age of older weights.
            Err(at) if at < self.entries.len() && self.entries.len() < MAX_ANNOUNCEMENTS => {
                self.entries.insert(at, received);
            }
            Err(_) => {}
        }
    }

    /// Returns the time since weights of a version were replaced, or `None` if no newer version is known. If that time is
    /// unknown and `is_rollout_begun` tells that targets serve the newer version, it counts as `span`.
    pub(crate) fn replaced_for(
        &self,
        now: ClockTime,
        serves: u64,
        span: ClockSpan,
        is_rollout_begun: impl Fn(u64) -> bool,
    ) -> Option<ClockSpan> {
        // The oldest announcement that replaced them counts, not the newest.
        let entry = self.entries.iter().find(|entry| entry.version > serves)?;
        // If another target already serves this version, it was announced some time ago.
        if entry.knowledge == AgeKnowledge::Unknown && is_rollout_begun(entry.version) {
            return Some(span);
        }
        Some(entry.age(now))
    }
}
