//! The rules of claims for one caller at a time, with a map in place of a store.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_idempotency::{ClaimDecision, ClaimOutcome, RequestDigest};

/// How far the request of a key has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NaiveState {
    Running,
    Ended(ClaimOutcome),
}

/// The record of one key.
#[derive(Clone, Debug)]
pub(crate) struct NaiveRecord {
    pub(crate) table: usize,
    digest: RequestDigest,
    pub(crate) state: NaiveState,
    is_runner_alive: bool,
}

/// The naive table.
#[derive(Clone, Debug, Default)]
pub(crate) struct NaiveTable {
    pub(crate) records: BTreeMap<u8, NaiveRecord>,
}

impl NaiveTable {
    pub(crate) fn claim(&mut self, table: usize, key: u8, digest: RequestDigest) -> ClaimDecision {
        let Some(record) = self.records.get(&key) else {
            let state = NaiveState::Running;
            let record = NaiveRecord { table, digest, state, is_runner_alive: true };
            self.records.insert(key, record);
            return ClaimDecision::Run;
        };
        match &record.state {
            _ if record.digest != digest => ClaimDecision::Mismatch,
            NaiveState::Ended(ClaimOutcome::Answered(body)) => {
                ClaimDecision::Replay { digest: RequestDigest::of(body), body: kept(record, body) }
            }
            NaiveState::Running if record.is_runner_alive => ClaimDecision::Pending,
            _ => ClaimDecision::Unknown,
        }
    }

    pub(crate) fn finish(&mut self, key: u8, end: ClaimOutcome) {
        if end == ClaimOutcome::NotRun {
            self.records.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            record.state = NaiveState::Ended(end);
        }
    }

    pub(crate) fn restart(&mut self, table: usize) {
        for record in self.records.values_mut().filter(|record| record.table == table) {
            record.is_runner_alive = false;
        }
    }

    /// Returns the keys whose requests run.
    pub(crate) fn running(&self) -> Vec<u8> {
        let is_running =
            |record: &NaiveRecord| record.state == NaiveState::Running && record.is_runner_alive;
        self.records.iter().filter(|(_, record)| is_running(record)).map(|(key, _)| *key).collect()
    }
}

// A body that is too large for the store is lost with the process that ran the request.
fn kept(record: &NaiveRecord, body: &Arc<[u8]>) -> Option<Arc<[u8]>> {
    (body.len() <= 2_048 || record.is_runner_alive).then(|| body.clone())
}
