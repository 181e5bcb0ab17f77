//! The progress of a generation, by zone.
//!
//! An operator who withdraws a key must see which zones still accept it. A zone counts as complete only when every
//! member of its roster has recently reported that the generation is in force.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ZoneName};
use serde::{Deserialize, Serialize};

/// The generations in force in one zone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneProgress {
    /// The number of members in the zone's roster.
    pub members: u32,
    /// The number of members whose last status is at most [`crate::SyncSettings::max_status_age`] old.
    #[serde(rename = "heard")]
    pub reporting: u32,
    /// The lowest generation in force at a reporting member, or zero if none reports.
    pub lowest: u64,
    /// The highest generation in force at a reporting member, or zero if none reports.
    #[serde(rename = "newest")]
    pub highest: u64,
}

/// The responses of the zones to an operator's progress request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressResponses {
    pub(crate) nonce: u64,
    responses: BTreeMap<ZoneName, (ClockTime, ZoneProgress)>,
}

impl ZoneProgress {
    /// Returns whether every member of the zone has `generation` or a later one in force.
    pub fn is_complete(&self, generation: u64) -> bool {
        self.members > 0 && self.reporting == self.members && self.lowest >= generation
    }

    pub(crate) fn add_member(&mut self, generation: u64) {
        self.lowest = if self.reporting == 0 { generation } else { self.lowest.min(generation) };
        self.highest = self.highest.max(generation);
        self.reporting += 1;
    }
}

impl ProgressResponses {
    pub(crate) fn begin_request(&mut self, nonce: u64) {
        self.nonce = nonce;
        self.responses.clear();
    }

    pub(crate) fn record(&mut self, now: ClockTime, zone: &ZoneName, progress: ZoneProgress) {
        // Two members of a zone are queried. The response that covers more members replaces the other.
        let known = self.responses.get(zone).map(|(_, progress)| progress.reporting);
        if known.is_none_or(|reporting| reporting <= progress.reporting) {
            self.responses.insert(zone.clone(), (now, progress));
        }
    }

    pub(crate) fn responses(
        &self,
        now: ClockTime,
    ) -> BTreeMap<ZoneName, (ClockSpan, ZoneProgress)> {
        self.responses
            .iter()
            .map(|(zone, (at, progress))| (zone.clone(), (now.since(*at), *progress)))
            .collect()
    }
}
