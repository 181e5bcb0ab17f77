//! How long ago the zone had contact with the store or another zone.
//!
//! Accounts with `cut_off: refuse` are refused in a zone that is cut off. Only first-hand contacts are passed on:
//! if a node passed on what it was told, each hop would hide its delay and two nodes could keep an old contact fresh
//! between them for ever. The age is too low by at most the delay of one message.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::message::SyncStatus;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactRecord {
    pub(crate) store: Option<ClockTime>,
    pub(crate) outside: Option<ClockTime>,
    told: Option<ClockTime>,
    told_store: Option<ClockTime>,
}

impl ContactRecord {
    pub(crate) fn reach_store(&mut self, at: ClockTime) {
        self.store = self.store.max(Some(at));
    }

    pub(crate) fn reach_outside(&mut self, at: ClockTime) {
        self.outside = self.outside.max(Some(at));
    }

    /// Takes the first-hand contacts that a member of the own zone reports.
    pub(crate) fn hear(&mut self, now: ClockTime, status: &SyncStatus) {
        let ages = [status.store_contact_age, status.other_zone_contact_age];
        let newest = ages.into_iter().flatten().min().map(|age| now - age);
        self.told = self.told.max(newest);
        self.told_store = self.told_store.max(status.store_contact_age.map(|age| now - age));
    }

    /// Returns the age of the zone's newest contact, counted from `start` when there was none.
    pub(crate) fn age(&self, now: ClockTime, start: ClockTime) -> ClockSpan {
        let newest = self.store.max(self.outside).max(self.told).unwrap_or(start);
        now.since(newest.max(start))
    }

    /// Returns the age of the zone's newest read of the store, counted from `start` when there was none.
    pub(crate) fn store_contact_age(&self, now: ClockTime, start: ClockTime) -> ClockSpan {
        now.since(self.store.max(self.told_store).unwrap_or(start).max(start))
    }
}
