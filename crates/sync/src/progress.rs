//! Where a generation is in force, by zone.
//!
//! An operator who withdraws a key must see which zones still accept it. A zone counts as done only when every member
//! of its roster has said so lately.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ZoneName};
use serde::{Deserialize, Serialize};

/// The progress of one zone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneProgress {
    /// The members of the zone's roster.
    pub members: u32,
    /// The members whose status is recent.
    #[serde(rename = "heard")]
    pub reporting: u32,
    /// The lowest generation among the members heard of.
    pub lowest: u64,
    /// The newest generation among the members heard of.
    #[serde(rename = "newest")]
    pub highest: u64,
}

/// The answers of the zones to one question of an operator.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressAnswers {
    pub(crate) nonce: u64,
    answers: BTreeMap<ZoneName, (ClockTime, ZoneProgress)>,
}

impl ZoneProgress {
    /// Returns whether every member of the zone has `generation` or a later one in force.
    pub fn is_done(&self, generation: u64) -> bool {
        self.members > 0 && self.reporting == self.members && self.lowest >= generation
    }

    pub(crate) fn add(&mut self, generation: u64) {
        self.lowest = if self.reporting == 0 { generation } else { self.lowest.min(generation) };
        self.highest = self.highest.max(generation);
        self.reporting += 1;
    }
}

impl ProgressAnswers {
    pub(crate) fn ask(&mut self, nonce: u64) {
        self.nonce = nonce;
        self.answers.clear();
    }

    pub(crate) fn take(&mut self, now: ClockTime, zone: &ZoneName, progress: ZoneProgress) {
        // Two members of a zone are asked; the one that has heard of more members knows better.
        let known = self.answers.get(zone).map(|(_, progress)| progress.reporting);
        if known.is_none_or(|reporting| reporting <= progress.reporting) {
            self.answers.insert(zone.clone(), (now, progress));
        }
    }

    pub(crate) fn answers(&self, now: ClockTime) -> BTreeMap<ZoneName, (ClockSpan, ZoneProgress)> {
        self.answers
            .iter()
            .map(|(zone, (at, progress))| (zone.clone(), (now.since(*at), *progress)))
            .collect()
    }
}
