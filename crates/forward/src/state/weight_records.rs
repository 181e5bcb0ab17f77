//! What the store tells of the time at which versions of weights were named, for routers that start later.
//!
//! The routers hear when a version is named, and tell each other how long ago that was. If all of them restart, only the
//! store is left, and it doesn't tell the age of an entry. The order leader therefore records each version, and writes an
//! entry of its own for it under a lease. The store removes that entry when replaced weights must no longer serve requests.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, ModelName};

use super::{ForwardAction, ForwardState};

/// The versions of a model's weights that were named, as the store has them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightRecord {
    /// The model.
    pub model: ModelName,
    /// The versions, oldest first.
    pub versions: Vec<u64>,
    /// The revision of the entry in the store; 0 if it doesn't exist.
    pub revision: u64,
}

/// The records of all models.
#[derive(Clone, Debug, Default)]
pub(super) struct WeightRecords {
    records: BTreeMap<ModelName, WeightRecord>,
    recent: BTreeSet<(ModelName, u64)>,
    // When a record was sent to the store that hasn't been observed yet.
    sent_at: Option<ClockTime>,
}

/// Limit of versions in a record. Weights that are older than all of them have long been outdated.
const MAX_VERSIONS: usize = 8;

/// The time after which a record that is not observed is written again.
const RETRY_DELAY: ClockSpan = ClockSpan::from_ms(1_500);

impl WeightRecords {
    /// Stores what the store shows.
    pub(super) fn observe(&mut self, record: WeightRecord) {
        self.sent_at = None;
        let known = self.records.get(&record.model).map_or(0, |known| known.revision);
        if record.revision >= known {
            self.records.insert(record.model.clone(), record);
        }
    }

    // Returns the record with a version that was named, or `None` if it has that version.
    fn with_version(&self, model: &ModelName, version: u64) -> Option<WeightRecord> {
        let record = self.records.get(model).cloned();
        let mut record = record.unwrap_or_else(|| WeightRecord {
            model: model.clone(),
            versions: Vec::new(),
            revision: 0,
        });
        if record.versions.last().is_some_and(|last| *last >= version) {
            return None;
        }
        record.versions.push(version);
        let surplus = record.versions.len().saturating_sub(MAX_VERSIONS);
        record.versions.drain(..surplus);
        Some(record)
    }
}

impl ForwardState {
    /// Applies the records that the first listing of the store shows.
    pub(super) fn apply_weight_records(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<ForwardAction>,
    ) {
        let span = self.settings.version_span;
        for record in self.weight_records.records.values() {
            for version in &record.versions {
                let entry = (record.model.clone(), *version);
                let is_recent = self.weight_records.recent.contains(&entry);
                if let Some(announcements) = self.weight_announcements.get_mut(&record.model) {
                    announcements.apply_record(now, *version, is_recent, span);
                }
            }
            let detail = format!(
                "model={} versions={:?} recent={:?}",
                record.model, record.versions, self.weight_records.recent
            );
            actions.push(ForwardAction::Notice("weights_recorded", detail));
        }
    }

    /// Handles the entry of a version that was named recently. Its removal shows the age of the version to a router that
    /// knows no better.
    pub(super) fn observe_recent_weights(
        &mut self,
        now: ClockTime,
        model: ModelName,
        version: u64,
        is_recent: bool,
    ) {
        if is_recent {
            self.weight_records.recent.insert((model, version));
            return;
        }
        let span = self.settings.version_span;
        if let Some(announcements) = self.weight_announcements.get_mut(&model) {
            announcements.end_recent(now, version, span);
        }
        self.weight_records.recent.remove(&(model, version));
    }

    /// Returns the record that this router should write as the order leader: that of a version that targets lack.
    pub(super) fn next_weight_record(&mut self, now: ClockTime) -> Option<ForwardAction> {
        let fence = self.term.leader_revision(now)?;
        if self.weight_records.sent_at.is_some_and(|sent| now.since(sent) < RETRY_DELAY) {
            return None;
        }
        let span = self.settings.version_span;
        let (record, recent_for) =
            self.weight_announcements.iter().find_map(|(model, announcements)| {
                let (version, age) = announcements.newest(now)?;
                let is_behind = |served: &u64| *served < version;
                let mut served = self.roster.iter().filter_map(|record| record.versions.get(model));
                if !served.any(is_behind) {
                    return None;
                }
                let record = self.weight_records.with_version(model, version)?;
                Some((record, span.saturating_sub(age)))
            })?;
        self.weight_records.sent_at = Some(now);
        let versions = &record.versions;
        let detail = format!(
            "model={} versions={versions:?} recent_for_ms={}",
            record.model,
            recent_for.as_ms()
        );
        self.notices.push(ForwardAction::Notice("weights_record_sent", detail));
        Some(ForwardAction::RecordWeights { fence, record, recent_for })
    }
}
