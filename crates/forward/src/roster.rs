//! The registered targets.
//!
//! Targets register themselves in the store under a lease. During an outage of the store, leases may expire although
//! their holders are healthy, so a target whose entry disappears right after an outage is kept for a short time. An
//! entry that disappears while the store answers means that the target is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use godwitroad_base::{
    BuildName, ClockSpan, ClockTime, ModelName, ServiceName, TargetName, ZoneName,
};

use crate::{
    leaving::{LeavingNotice, LeavingTable, RunKey},
    tag_of,
};

/// A target as registered in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// The name; a target may keep it across a restart.
    pub name: TargetName,
    /// The service whose requests the target runs.
    pub service: ServiceName,
    /// The address; another target may use it later.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The version of the target's software. Targets of several versions may serve side by side.
    pub build: BuildName,
    /// Whether the target accepts no new requests. The roster sets it for a run that is known to be leaving.
    pub draining: bool,
    /// The versions of the loaded models.
    pub versions: BTreeMap<ModelName, u64>,
    /// When the target started, in Unix milliseconds; it tells two runs under one name apart.
    pub started_ms: u64,
    /// How much longer the target was slow after its start when its entry was written, in milliseconds.
    pub cold_ms: u64,
}

/// How a target's entry changed, in terms of what the rest of the router must react to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// Nothing relevant changed.
    Same,
    /// The target is new, or it restarted and lost its cache.
    Started,
    /// The target serves another version of a model than before.
    Reloaded,
    /// The target has begun to drain.
    Draining,
    /// The target's entry is readable again, and nothing else changed.
    Restored,
}

#[derive(Clone, Debug)]
struct RosterEntry {
    // In an `Arc` because each request takes a list of the usable targets' records.
    record: Arc<TargetRecord>,
    expired_at: Option<ClockTime>,
    // Whether the entry in the store was replaced by one that can't be read.
    unreadable: bool,
}

/// The registered targets by name.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    entries: BTreeMap<TargetName, RosterEntry>,
    // The names of the targets in `entries` by their tags.
    tags: BTreeMap<u32, TargetName>,
    leaving: LeavingTable,
}

/// How long a target is kept if its entry expired during an outage of the store. According to the platform, healthy
/// targets register again within about two seconds after the store is back.
pub const EXPIRY_GRACE: ClockSpan = ClockSpan::from_ms(2_000);

impl TargetRecord {
    pub(crate) fn run_key(&self) -> RunKey {
        (tag_of(self.name.as_str()), self.started_ms)
    }
}

impl TargetRoster {
    /// Adds or replaces a target's entry and returns what changed.
    pub fn put(&mut self, mut record: TargetRecord) -> RosterChange {
        let name = record.name.clone();
        // A run that is leaving never takes requests again. An entry that says otherwise was written before it knew.
        record.draining |= self.leaving.contains(record.run_key());
        let entry = RosterEntry { record: Arc::new(record), expired_at: None, unreadable: false };
        let Some(before) = self.entries.insert(name.clone(), entry) else {
            self.tags.insert(tag_of(name.as_str()), name);
            return RosterChange::Started;
        };
        let was_unreadable = before.unreadable;
        let (before, after) = (&before.record, &self.entries[&name].record);
        if before.started_ms != after.started_ms || before.address != after.address {
            RosterChange::Started
        } else if before.versions != after.versions {
            RosterChange::Reloaded
        } else if !before.draining && after.draining {
            RosterChange::Draining
        } else if was_unreadable {
            RosterChange::Restored
        } else {
            RosterChange::Same
        }
    }

    /// Handles an unreadable entry in the place of a target's sound one. The target is listed again with its next sound
    /// entry; until then it is not, but what else is known about its run stays valid.
    ///
    /// Returns whether the target was listed.
    pub fn hide(&mut self, name: &TargetName) -> bool {
        let entry = self.entries.get_mut(name);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.unreadable, true))
    }

    /// Handles the removal of a target's entry; `outage` means that the store was unavailable shortly before.
    ///
    /// Returns the target if it was removed at once. After an outage it is kept for [`EXPIRY_GRACE`], unless it was
    /// draining.
    pub fn remove(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        outage: bool,
    ) -> Option<Arc<TargetRecord>> {
        match self.entries.get_mut(name) {
            Some(entry) if outage && !entry.record.draining && !entry.unreadable => {
                entry.expired_at.get_or_insert(now);
                None
            }
            _ => {
                self.tags.remove(&tag_of(name.as_str()));
                self.entries.remove(name).map(|entry| entry.record)
            }
        }
    }

    /// Removes the targets that didn't register again after an outage and returns them.
    pub fn expire(&mut self, now: ClockTime) -> Vec<Arc<TargetRecord>> {
        let is_expired = |entry: &RosterEntry| {
            entry.expired_at.is_some_and(|expired_at| now.since(expired_at) >= EXPIRY_GRACE)
        };
        let expired = self.entries.extract_if(.., |_, entry| is_expired(entry));
        let expired: Vec<_> = expired.map(|(_, entry)| entry.record).collect();
        for record in &expired {
            self.tags.remove(&tag_of(record.name.as_str()));
        }
        let listed: BTreeSet<RunKey> =
            self.iter().filter(|record| record.draining).map(|record| record.run_key()).collect();
        self.leaving.expire(now, |key| listed.contains(&key));
        expired
    }

    /// Records that a run of a target is leaving, whether it is listed or not; returns whether this wasn't known.
    pub(crate) fn record_leaving(&mut self, now: ClockTime, notice: &LeavingNotice) -> bool {
        let is_first = self.leaving.record(now, notice);
        if is_first {
            let mut records = self.entries.values_mut().map(|entry| &mut entry.record);
            if let Some(record) = records.find(|record| record.run_key() == notice.key()) {
                Arc::make_mut(record).draining = true;
            }
        }
        is_first
    }

    /// Returns the runs that are leaving, which peers are told of.
    pub(crate) fn leaving_runs(&mut self) -> &mut LeavingTable {
        &mut self.leaving
    }

    /// Returns whether peers should be told at once of a run that is leaving.
    pub(crate) fn has_leaving_news(&self) -> bool {
        self.leaving.has_news()
    }

    /// Returns a listed target by name.
    pub fn get(&self, name: &TargetName) -> Option<&TargetRecord> {
        let entry = self.entries.get(name).filter(|entry| !entry.unreadable);
        entry.map(|entry| &*entry.record)
    }

    /// Returns the target whose name has this tag.
    pub(crate) fn find_by_tag(&self, tag: u32) -> Option<&Arc<TargetRecord>> {
        let entry = self.entries.get(self.tags.get(&tag)?)?;
        (!entry.unreadable).then_some(&entry.record)
    }

    /// Returns all listed targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.entries.values().filter(|entry| !entry.unreadable).map(|entry| &entry.record)
    }

    /// Returns the number of listed targets.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns whether no target is listed.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Records the version of a model that a target serves, known from its answers or from a peer before the store
    /// shows it; returns whether the version is newer than the recorded one.
    pub fn update_version(&mut self, name: &TargetName, model: &ModelName, version: u64) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let known = entry.record.versions.get(model);
        let is_newer = known.is_none_or(|known| version > *known);
        if is_newer {
            Arc::make_mut(&mut entry.record).versions.insert(model.clone(), version);
        }
        is_newer
    }
}
