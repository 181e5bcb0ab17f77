//! Targets that fall over if they have to reject many requests.
//!
//! Such a target names how many rejections a second it bears, and takes fewer requests at a time than before. How many it
//! takes, its room, shows only in its rejections. All routers together keep their requests in progress below one estimate of
//! it:
//!
//! - Each router that has requests for the target gets a part of the room, and sends without asking while it stays within
//!   that. What it has in progress is reported with the gossip, so that room which others leave free can be used where it
//!   is large enough for all routers that may do so at the same time.
//! - A rejection lowers the room at once: to the last size that was proved, or to half of that if the target rejects
//!   requests within it. The newest statement of any router counts everywhere.
//! - One router raises it while requests have to be refused, and waits longer after each raise that brings a rejection.
//! - If the rejections of the last second come near the number that the target bears, only half of the room is used; once they
//!   reach it, nothing is sent.
//!
//! A router has no part of the room before its peers have heard that it has requests.

mod position;
mod target;

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

pub use position::RoomPosition;
use target::BrittleTarget;

use crate::{BrittleNotice, BrittleReport, RejectionBound};

/// How an answer or a report changed what is known of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrittleChange {
    /// Nothing changed.
    Same,
    /// The target names how many rejections it bears, for the first time or another number than before.
    Began(RejectionBound),
    /// The target is brittle no more.
    Ended,
}

/// The targets that are brittle, by their tags.
#[derive(Clone, Debug, Default)]
pub struct BrittleTable {
    targets: BTreeMap<u32, BrittleTarget>,
}

/// How long the end is remembered, so that older reports of peers don't bring the sign back.
const ENDED_SPAN: ClockSpan = ClockSpan::from_ms(5_000);

impl BrittleTable {
    /// Applies what the answer of a target's `run` to a request that was sent at `sent_at` says. `room` is how many requests the
    /// target is taken to have room for when it is new.
    ///
    /// As with limits, an answer without the sign ends it only if its request was sent after the sign was last given.
    pub fn observe(
        &mut self,
        now: ClockTime,
        target: u32,
        run: u32,
        sent_at: ClockTime,
        notice: BrittleNotice,
        room: u32,
    ) -> BrittleChange {
        match (notice, self.targets.get_mut(&target)) {
            (BrittleNotice::Named(bound), None) => {
                let mut state = BrittleTarget::new(now, run, Some(bound), now, room);
                state.own = Some((Some(bound), now));
                self.targets.insert(target, state);
                BrittleChange::Began(bound)
            }
            (BrittleNotice::Named(bound), Some(state)) => {
                state.own = Some((Some(bound), now));
                state.change_to(Some(bound), now)
            }
            (BrittleNotice::Absent, Some(state)) if sent_at > state.stated_at => {
                state.own = Some((None, sent_at));
                state.change_to(None, sent_at)
            }
            _ => BrittleChange::Same,
        }
    }

    /// Takes a target that was started again for brittle, as others of its service are, until an answer says otherwise.
    pub fn assume(&mut self, now: ClockTime, target: u32, run: u32, bound: RejectionBound) {
        self.targets.insert(target, BrittleTarget::new(now, run, Some(bound), now, 1));
    }

    /// Applies a peer's report on one target, whose current run is `run`.
    pub fn receive(
        &mut self,
        now: ClockTime,
        peer: &VmName,
        incarnation: u64,
        run: u32,
        report: &BrittleReport,
    ) -> BrittleChange {
        if report.run != run {
            return BrittleChange::Same;
        }
        let stated = report.statement.map(|statement| {
            let stated_at = now - ClockSpan::from_ms(statement.age_ms.into());
            (statement.bound, stated_at)
        });
        let change = match (stated, self.targets.get_mut(&report.target)) {
            (Some((Some(bound), stated_at)), None) => {
                let room = report.room.room;
                let state = BrittleTarget::new(now, run, Some(bound), stated_at, room);
                self.targets.insert(report.target, state);
                BrittleChange::Began(bound)
            }
            (Some((bound, stated_at)), Some(state)) if stated_at > state.stated_at => {
                state.change_to(bound, stated_at)
            }
            _ => BrittleChange::Same,
        };
        if let Some(state) = self.targets.get_mut(&report.target) {
            state.hear(now, peer, incarnation, report);
        }
        change
    }

    /// Returns whether this router may send a request to a target where it has `own` requests in progress. `is_urgent` takes
    /// precedence over other routers.
    pub fn admits(
        &mut self,
        now: ClockTime,
        target: u32,
        position: RoomPosition,
        own: u32,
        is_urgent: bool,
    ) -> bool {
        let Some(state) = self.targets.get_mut(&target) else { return true };
        let Some(bound) = state.bound else { return true };
        state.check(now, bound, position, own, is_urgent)
    }

    /// Records that this router sends a request to a target, one of `own` that are in progress.
    pub fn record_sent(&mut self, now: ClockTime, target: u32, own: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_sent(now, own);
        }
    }

    /// Records that this router refuses a request because no target has room for it.
    pub fn record_refusal(&mut self, now: ClockTime, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.refused_at = Some(now);
        }
    }

    /// Records that a target rejected a request that was sent at `sent_at`, one of `own` of this router that are in progress.
    pub fn record_rejection(&mut self, now: ClockTime, target: u32, sent_at: ClockTime, own: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_rejection(now, sent_at, own);
        }
    }

    /// Records that a target accepted a request.
    pub fn record_acceptance(&mut self, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.in_a_row = 0;
        }
    }

    /// Records that no connection to a target could be opened, after which nothing is known of its room.
    pub fn record_loss(&mut self, now: ClockTime, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_loss(now);
        }
    }

    /// Returns the reports for the next message to the peers: at most `max_reports`, beginning after the first `skipped` ones
    /// if there are more. `work` returns how many requests this router has in progress at a target, and whether it is the
    /// router that raises the room; `None` if the target is gone.
    pub fn reports(
        &mut self,
        now: ClockTime,
        max_reports: usize,
        skipped: usize,
        work: impl Fn(u32) -> Option<(u32, bool)>,
    ) -> Vec<BrittleReport> {
        self.targets
            .retain(|_, state| state.bound.is_some() || now.since(state.stated_at) < ENDED_SPAN);
        for (target, state) in &mut self.targets {
            if work(*target).is_some_and(|(_, is_raiser)| is_raiser) {
                state.raise(now);
            }
        }
        let count = self.targets.len();
        let first = if count > max_reports { skipped % count } else { 0 };
        let (before, after): (Vec<_>, Vec<_>) =
            self.targets.iter_mut().enumerate().partition(|(index, _)| *index < first);
        let ordered = after.into_iter().chain(before).take(max_reports);
        let report = |(_, (target, state)): (usize, (&u32, &mut BrittleTarget))| {
            let (in_progress, _) = work(*target)?;
            Some(state.report(now, *target, in_progress))
        };
        ordered.filter_map(report).collect()
    }

    /// Returns the tags of the targets.
    pub fn tags(&self) -> impl Iterator<Item = u32> {
        self.targets.keys().copied()
    }

    /// Returns whether something has changed that the peers should hear at once.
    pub fn has_news(&self) -> bool {
        self.targets.values().any(|state| state.has_news && state.bound.is_some())
    }

    /// Returns whether this router claims a part of a target's room.
    pub fn is_claimed(&self, now: ClockTime, target: u32) -> bool {
        self.targets.get(&target).is_some_and(|state| state.is_claiming(now))
    }

    /// Returns whether a peer claims a part of a target's room.
    pub fn is_claimed_by(&self, now: ClockTime, target: u32, peer: &VmName) -> bool {
        self.targets.get(&target).is_some_and(|state| state.is_claimed_by(now, peer))
    }

    /// Removes a target that has left or was started again.
    pub fn remove(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Returns how many rejections a second a target bears, if it is brittle.
    pub fn bound(&self, target: u32) -> Option<RejectionBound> {
        self.targets.get(&target).and_then(|state| state.bound)
    }

    /// Returns the room of a brittle target, in requests of all routers; for the log.
    pub fn room(&self, target: u32) -> Option<u32> {
        self.targets.get(&target).filter(|state| state.bound.is_some()).map(|state| state.room.room)
    }
}
