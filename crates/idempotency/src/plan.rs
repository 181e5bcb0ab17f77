//! Decides the next step of a shard's writer: read, renew a lease, or write one slice.
//!
//! The decision depends only on the view and the queue, so that all rules that prevent a key from being claimed twice
//! are in one place.

use std::collections::BTreeMap;

use godwitroad_base::ClockTime;
use godwitroad_store::{KeyVersion, LeaseId};

use crate::{
    merge::{ClaimOperation, ClaimReply, MergeChange, merge},
    queue::{AnsweredEntry, QueuedEntry},
    record::{ClaimState, SliceValue},
    settings::ClaimSettings,
    view::{ClaimLocation, ShardView},
};

/// A lease that was granted for a slice that is still to be created.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnusedLease {
    pub(crate) lease: LeaseId,
    pub(crate) until: ClockTime,
}

#[derive(Clone, Debug)]
pub(crate) struct WritePlan {
    pub(crate) number: u64,
    pub(crate) expected: KeyVersion,
    pub(crate) value: SliceValue,
    pub(crate) answers: Vec<AnsweredEntry>,
    /// The queued entries that the write doesn't include.
    pub(crate) remaining: Vec<QueuedEntry>,
}

#[derive(Clone, Debug)]
pub(crate) enum PlanStep {
    /// No operation is due.
    Wait,
    /// All slices of the shard must be listed.
    Load,
    /// The slice of this number must be read.
    Fetch(u64),
    /// The lease of this slice must be renewed before claims are added.
    Renew(u64),
    /// A lease must be granted for the next slice.
    Grant,
    /// The first entries are answered without a write; the others remain queued.
    Answer(Vec<AnsweredEntry>, Vec<QueuedEntry>),
    /// A slice must be written.
    Write(Box<WritePlan>),
}

pub(crate) struct ShardPlan<'a> {
    pub(crate) now: ClockTime,
    pub(crate) settings: &'a ClaimSettings,
    pub(crate) view: &'a mut ShardView,
    pub(crate) unused_lease: Option<UnusedLease>,
    pub(crate) queue: &'a [QueuedEntry],
}

impl ShardPlan<'_> {
    /// Returns the next step of the writer.
    pub(crate) fn step(&mut self) -> PlanStep {
        let mut locations = Vec::with_capacity(self.queue.len());
        for queued in self.queue {
            let location = self.view.locate(self.now, queued.entry.hash);
            if let ClaimLocation::Unloaded(number) = location {
                return PlanStep::Fetch(number);
            }
            if let Some(step) = self.refresh(queued, &location) {
                return step;
            }
            locations.push(location);
        }
        let is_unchanged: Vec<bool> = self
            .queue
            .iter()
            .zip(&locations)
            .map(|(queued, location)| is_unchanged(queued, location))
            .collect();
        if is_unchanged.contains(&true) {
            return self.answer(&locations, &is_unchanged);
        }
        let due = self.queue.iter().map(|queued| queued.due_at(self.settings)).min();
        if due.is_none_or(|due| due > self.now) {
            return PlanStep::Wait;
        }
        let is_new = |(queued, location): (&QueuedEntry, &ClaimLocation)| {
            *location == ClaimLocation::Absent
                && matches!(queued.entry.work, ClaimOperation::Claim { .. })
        };
        if self.queue.iter().zip(&locations).any(is_new) {
            return self.add_claims(&locations);
        }
        match locations.first() {
            Some(ClaimLocation::Found(number, _)) => self.write(*number, &locations, false),
            _ => PlanStep::Wait,
        }
    }

    // A cached slice may be older than the entry, and another writer may have changed the slice since. A reply that
    // depends on an open claim or on the absence of a claim therefore requires a copy that is at least as new as the
    // entry. New claims need no such read: their compare-and-swap proves that the copy of the last slice was current.
    fn refresh(&self, queued: &QueuedEntry, location: &ClaimLocation) -> Option<PlanStep> {
        let at = queued.entry.at;
        match location {
            ClaimLocation::Found(number, record) => {
                let (change, reply) = merge(Some(record), &queued.entry);
                // Since the read, an open claim may have been released and the key claimed by the entry's own request.
                let is_open = record.state == ClaimState::Claimed && reply != ClaimReply::Granted;
                let is_stale = self.view.slices.get(number).is_none_or(|copy| copy.read_at < at);
                (change == MergeChange::Keep && is_open && is_stale)
                    .then_some(PlanStep::Fetch(*number))
            }
            ClaimLocation::Absent if !matches!(queued.entry.work, ClaimOperation::Claim { .. }) => {
                let is_stale_view = self.view.loaded_at < at;
                match self.view.last() {
                    Some((number, copy)) if copy.read_at < at => Some(PlanStep::Fetch(number)),
                    Some((_, copy)) if !is_sealed(copy.value.as_ref()) => None,
                    _ => is_stale_view.then_some(PlanStep::Load),
                }
            }
            _ => None,
        }
    }

    fn answer(&self, locations: &[ClaimLocation], is_unchanged: &[bool]) -> PlanStep {
        let mut answers = Vec::new();
        let mut remaining = Vec::new();
        for ((queued, location), is_unchanged) in self.queue.iter().zip(locations).zip(is_unchanged)
        {
            if *is_unchanged {
                let (_, reply) = merge(record_in(location), &queued.entry);
                answers.push(AnsweredEntry { queued: queued.clone(), reply });
            } else {
                remaining.push(queued.clone());
            }
        }
        PlanStep::Answer(answers, remaining)
    }

    fn add_claims(&self, locations: &[ClaimLocation]) -> PlanStep {
        let last = self
            .view
            .last()
            .and_then(|(number, copy)| copy.value.as_ref().map(|value| (number, copy, value)));
        let Some((number, copy, value)) = last else { return self.create(1, locations) };
        let is_full = value.records.len() >= self.settings.max_slice_records;
        // This write adds no claim: it seals the slice.
        if is_full && !value.is_sealed {
            return self.write(number, locations, false);
        }
        // A claim lasts as long as its slice's lease, which must therefore cover the retention from now on. Before
        // another slice is created, the lease also guarantees that the last slice doesn't expire in the meantime:
        // another writer would then find an empty shard and start again at slice one.
        if !self.covers_retention(copy.lease_until) {
            return PlanStep::Renew(number);
        }
        if value.is_sealed {
            return self.create(number + 1, locations);
        }
        self.write(number, locations, true)
    }

    fn covers_retention(&self, until: Option<ClockTime>) -> bool {
        let needed = self.now + self.settings.retention + self.settings.store_timeout;
        until.is_some_and(|until| until >= needed)
    }

    // The view must be recent. Otherwise a slice that was created and has expired since the view was read would be
    // created a second time, while its successors accept claims.
    fn create(&self, number: u64, locations: &[ClaimLocation]) -> PlanStep {
        if self.now.since(self.view.loaded_at) > self.settings.max_view_age {
            return PlanStep::Load;
        }
        match self.unused_lease {
            Some(unused_lease) if self.covers_retention(Some(unused_lease.until)) => {
                let records = BTreeMap::new();
                let base = SliceValue { lease: unused_lease.lease, is_sealed: false, records };
                self.build(number, KeyVersion(0), base, locations, true)
            }
            _ => PlanStep::Grant,
        }
    }

    fn write(&self, number: u64, locations: &[ClaimLocation], accepts_claims: bool) -> PlanStep {
        let copy = self.view.slices.get(&number);
        let Some((copy, value)) = copy.and_then(|copy| Some((copy, copy.value.clone()?))) else {
            return PlanStep::Fetch(number);
        };
        self.build(number, copy.version, value, locations, accepts_claims)
    }

    fn build(
        &self,
        number: u64,
        expected: KeyVersion,
        mut value: SliceValue,
        locations: &[ClaimLocation],
        accepts_claims: bool,
    ) -> PlanStep {
        let mut answers = Vec::new();
        let mut remaining = Vec::new();
        for (queued, location) in self.queue.iter().zip(locations) {
            let hash = queued.entry.hash;
            let record = value.records.get(&hash);
            let is_in_slice = match location {
                ClaimLocation::Found(found, _) => *found == number,
                _ => accepts_claims,
            };
            let has_room =
                record.is_some() || value.records.len() < self.settings.max_slice_records;
            if !is_in_slice || !has_room {
                remaining.push(queued.clone());
                continue;
            }
            let (change, reply) = merge(record, &queued.entry);
            match change {
                MergeChange::Keep => {}
                MergeChange::Put(record) => drop(value.records.insert(hash, record)),
                MergeChange::Remove => drop(value.records.remove(&hash)),
            }
            answers.push(AnsweredEntry { queued: queued.clone(), reply });
        }
        let first_seen = self.view.slices.get(&number).map_or(self.now, |copy| copy.first_seen);
        let is_span_over = self.now.since(first_seen) >= self.settings.slice_span();
        let is_last = self.view.last().is_none_or(|(last, _)| last <= number);
        let is_full = value.records.len() >= self.settings.max_slice_records;
        value.is_sealed |= is_last && (is_span_over || is_full);
        PlanStep::Write(Box::new(WritePlan { number, expected, value, answers, remaining }))
    }
}

fn is_sealed(value: Option<&SliceValue>) -> bool {
    value.is_none_or(|value| value.is_sealed)
}

fn record_in(location: &ClaimLocation) -> Option<&crate::record::ClaimRecord> {
    match location {
        ClaimLocation::Found(_, record) => Some(record),
        _ => None,
    }
}

fn is_unchanged(queued: &QueuedEntry, location: &ClaimLocation) -> bool {
    merge(record_in(location), &queued.entry).0 == MergeChange::Keep
}
