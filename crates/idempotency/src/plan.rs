//! What a shard's owner does next: read, renew a lease, or write one slice.
//!
//! The plan is a function of the view and the waiting work, so that the rules that keep a key from being claimed
//! twice stand in one place.

use std::collections::BTreeMap;

use godwitroad_base::ClockTime;
use godwitroad_store::{KeyVersion, LeaseId};

use crate::{
    merge::{ClaimReply, ClaimWork, MergeChange, merge},
    record::{ClaimState, SliceValue},
    settings::ClaimSettings,
    view::{ClaimPlace, ShardView},
    waiters::{ClaimAnswer, ClaimWaiter},
};

/// A lease that was granted for a slice that doesn't exist yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareLease {
    pub(crate) lease: LeaseId,
    pub(crate) until: ClockTime,
}

#[derive(Clone, Debug)]
pub(crate) struct WritePlan {
    pub(crate) number: u64,
    pub(crate) expected: KeyVersion,
    pub(crate) value: SliceValue,
    pub(crate) answers: Vec<ClaimAnswer>,
    /// The waiters that the write doesn't cover.
    pub(crate) rest: Vec<ClaimWaiter>,
}

#[derive(Clone, Debug)]
pub(crate) enum PlanStep {
    /// Nothing has to be written now.
    Wait,
    /// The whole shard must be listed.
    Load,
    /// A slice must be read.
    Fetch(u64),
    /// The lease of a slice must be renewed before the slice takes more claims.
    Renew(u64),
    /// A lease is needed for the next slice.
    Grant,
    /// Some work needs no write.
    Answer(Vec<ClaimAnswer>, Vec<ClaimWaiter>),
    /// A slice is written.
    Write(Box<WritePlan>),
}

pub(crate) struct ShardPlan<'a> {
    pub(crate) now: ClockTime,
    pub(crate) settings: &'a ClaimSettings,
    pub(crate) view: &'a mut ShardView,
    pub(crate) spare: Option<SpareLease>,
    pub(crate) waiting: &'a [ClaimWaiter],
}

impl ShardPlan<'_> {
    /// Returns the next step.
    pub(crate) fn step(&mut self) -> PlanStep {
        let mut places = Vec::with_capacity(self.waiting.len());
        for waiter in self.waiting {
            let place = self.view.locate(self.now, waiter.entry.hash);
            if let ClaimPlace::Unread(number) = place {
                return PlanStep::Fetch(number);
            }
            if let Some(step) = self.refresh(waiter, &place) {
                return step;
            }
            places.push(place);
        }
        let is_kept: Vec<bool> = self
            .waiting
            .iter()
            .zip(&places)
            .map(|(waiter, place)| is_kept(waiter, place))
            .collect();
        if is_kept.contains(&true) {
            return self.answer(&places, &is_kept);
        }
        let due = self.waiting.iter().map(|waiter| waiter.due_at(self.settings)).min();
        if due.is_none_or(|due| due > self.now) {
            return PlanStep::Wait;
        }
        let is_new = |(waiter, place): (&ClaimWaiter, &ClaimPlace)| {
            *place == ClaimPlace::Absent && matches!(waiter.entry.work, ClaimWork::Claim { .. })
        };
        if self.waiting.iter().zip(&places).any(is_new) {
            return self.add_claims(&places);
        }
        match places.first() {
            Some(ClaimPlace::Found(number, _)) => self.write(*number, &places, false),
            _ => PlanStep::Wait,
        }
    }

    // A copy may be older than the work, and another writer may have changed the slice. An answer that follows from
    // an open claim or from its absence is given only from a copy that is at least as new as the work. New claims
    // need no such read, because their CAS proves that the copy of the last slice was the newest.
    fn refresh(&self, waiter: &ClaimWaiter, place: &ClaimPlace) -> Option<PlanStep> {
        let at = waiter.entry.at;
        match place {
            ClaimPlace::Found(number, record) => {
                let (change, reply) = merge(Some(record), &waiter.entry);
                // An open claim can have been released and the key claimed by the request that is asked about.
                let is_open = record.state == ClaimState::Claimed && reply != ClaimReply::Granted;
                let is_old = self.view.slices.get(number).is_none_or(|copy| copy.read_at < at);
                (change == MergeChange::Keep && is_open && is_old)
                    .then_some(PlanStep::Fetch(*number))
            }
            ClaimPlace::Absent if !matches!(waiter.entry.work, ClaimWork::Claim { .. }) => {
                let is_old_view = self.view.loaded_at < at;
                match self.view.last() {
                    Some((number, copy)) if copy.read_at < at => Some(PlanStep::Fetch(number)),
                    Some((_, copy)) if !is_sealed(copy.value.as_ref()) => None,
                    _ => is_old_view.then_some(PlanStep::Load),
                }
            }
            _ => None,
        }
    }

    fn answer(&self, places: &[ClaimPlace], is_kept: &[bool]) -> PlanStep {
        let mut answers = Vec::new();
        let mut rest = Vec::new();
        for ((waiter, place), is_kept) in self.waiting.iter().zip(places).zip(is_kept) {
            if *is_kept {
                let (_, reply) = merge(record_at(place), &waiter.entry);
                answers.push(ClaimAnswer { waiter: waiter.clone(), reply });
            } else {
                rest.push(waiter.clone());
            }
        }
        PlanStep::Answer(answers, rest)
    }

    fn add_claims(&self, places: &[ClaimPlace]) -> PlanStep {
        let last = self
            .view
            .last()
            .and_then(|(number, copy)| copy.value.as_ref().map(|value| (number, copy, value)));
        let Some((number, copy, value)) = last else { return self.create(1, places) };
        let is_full = value.records.len() >= self.settings.slice_records;
        if is_full && !value.is_sealed {
            return self.write(number, places, false);
        }
        // A claim lasts at least as long as the lease of its slice does from now on. Before a further slice is
        // created, the lease also makes sure that the last slice doesn't vanish meanwhile: another writer would then
        // see an empty shard and begin again at slice one.
        if !self.lasts(copy.until) {
            return PlanStep::Renew(number);
        }
        if value.is_sealed {
            return self.create(number + 1, places);
        }
        self.write(number, places, true)
    }

    fn lasts(&self, until: Option<ClockTime>) -> bool {
        let needed = self.now + self.settings.retention + self.settings.store_wait;
        until.is_some_and(|until| until >= needed)
    }

    // The view must be recent: a slice that was created and has expired since the view was read would be created
    // again while its own successors take claims.
    fn create(&self, number: u64, places: &[ClaimPlace]) -> PlanStep {
        if self.now.since(self.view.loaded_at) > self.settings.view_age {
            return PlanStep::Load;
        }
        match self.spare {
            Some(spare) if self.lasts(Some(spare.until)) => {
                let records = BTreeMap::new();
                let base = SliceValue { lease: spare.lease, is_sealed: false, records };
                self.build(number, KeyVersion(0), base, places, true)
            }
            _ => PlanStep::Grant,
        }
    }

    fn write(&self, number: u64, places: &[ClaimPlace], takes_new: bool) -> PlanStep {
        let copy = self.view.slices.get(&number);
        let Some((copy, value)) = copy.and_then(|copy| Some((copy, copy.value.clone()?))) else {
            return PlanStep::Fetch(number);
        };
        self.build(number, copy.version, value, places, takes_new)
    }

    fn build(
        &self,
        number: u64,
        expected: KeyVersion,
        mut value: SliceValue,
        places: &[ClaimPlace],
        takes_new: bool,
    ) -> PlanStep {
        let mut answers = Vec::new();
        let mut rest = Vec::new();
        for (waiter, place) in self.waiting.iter().zip(places) {
            let hash = waiter.entry.hash;
            let record = value.records.get(&hash);
            let is_here = match place {
                ClaimPlace::Found(found, _) => *found == number,
                _ => takes_new,
            };
            let is_room = record.is_some() || value.records.len() < self.settings.slice_records;
            if !is_here || !is_room {
                rest.push(waiter.clone());
                continue;
            }
            let (change, reply) = merge(record, &waiter.entry);
            match change {
                MergeChange::Keep => {}
                MergeChange::Put(record) => drop(value.records.insert(hash, record)),
                MergeChange::Remove => drop(value.records.remove(&hash)),
            }
            answers.push(ClaimAnswer { waiter: waiter.clone(), reply });
        }
        let first_seen = self.view.slices.get(&number).map_or(self.now, |copy| copy.first_seen);
        let is_aged = self.now.since(first_seen) >= self.settings.span();
        let is_last = self.view.last().is_none_or(|(last, _)| last <= number);
        let is_full = value.records.len() >= self.settings.slice_records;
        value.is_sealed |= is_last && (is_aged || is_full);
        PlanStep::Write(Box::new(WritePlan { number, expected, value, answers, rest }))
    }
}

fn is_sealed(value: Option<&SliceValue>) -> bool {
    value.is_none_or(|value| value.is_sealed)
}

fn record_at(place: &ClaimPlace) -> Option<&crate::record::ClaimRecord> {
    match place {
        ClaimPlace::Found(_, record) => Some(record),
        _ => None,
    }
}

fn is_kept(waiter: &ClaimWaiter, place: &ClaimPlace) -> bool {
    merge(record_at(place), &waiter.entry).0 == MergeChange::Keep
}
