//! The time since the zone's last contact with the store or another zone.
//!
//! Accounts with `cut_off: refuse` are refused in a zone that is cut off. Nodes report only their own contacts to
//! others: if a node forwarded reported contacts, each hop would hide its delay, and two nodes could keep an old
//! contact recent between them forever. The reported age is too low by at most the delay of one message.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::message::SyncStatus;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactRecord {
    pub(crate) own_store_contact: Option<ClockTime>,
    pub(crate) own_other_zone_contact: Option<ClockTime>,
    reported_contact: Option<ClockTime>,
    reported_store_contact: Option<ClockTime>,
}

impl ContactRecord {
    pub(crate) fn record_store_contact(&mut self, at: ClockTime) {
        self.own_store_contact = self.own_store_contact.max(Some(at));
    }

    pub(crate) fn record_other_zone_contact(&mut self, at: ClockTime) {
        self.own_other_zone_contact = self.own_other_zone_contact.max(Some(at));
    }

    /// Records the contacts that another member of the zone reports as its own.
    pub(crate) fn record_reported_contacts(&mut self, now: ClockTime, status: &SyncStatus) {
        let ages = [status.store_contact_age, status.other_zone_contact_age];
        let latest = ages.into_iter().flatten().min().map(|age| now - age);
        self.reported_contact = self.reported_contact.max(latest);
        self.reported_store_contact =
            self.reported_store_contact.max(status.store_contact_age.map(|age| now - age));
    }

    /// Returns the age of the zone's latest contact with the store or another zone, or the time since `start` if there
    /// was none.
    pub(crate) fn zone_contact_age(&self, now: ClockTime, start: ClockTime) -> ClockSpan {
        let latest = self
            .own_store_contact
            .max(self.own_other_zone_contact)
            .max(self.reported_contact)
            .unwrap_or(start);
        now.since(latest.max(start))
    }

    /// Returns the age of the zone's latest contact with the store, or the time since `start` if there was none.
    pub(crate) fn zone_store_contact_age(&self, now: ClockTime, start: ClockTime) -> ClockSpan {
        now.since(
            self.own_store_contact.max(self.reported_store_contact).unwrap_or(start).max(start),
        )
    }
}
