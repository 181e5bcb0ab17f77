//! A reference implementation of claims: one caller at a time, with a map instead of a store.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_idempotency::{ClaimDecision, ClaimOutcome, RequestDigest};

/// The state of the request that claimed a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReferenceState {
    Running,
    Ended(ClaimOutcome),
}

/// The claim of one key.
#[derive(Clone, Debug)]
pub(crate) struct ReferenceRecord {
    pub(crate) table: usize,
    digest: RequestDigest,
    pub(crate) state: ReferenceState,
    is_runner_alive: bool,
}

/// The claims by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReferenceTable {
    pub(crate) records: BTreeMap<u8, ReferenceRecord>,
}

impl ReferenceTable {
    pub(crate) fn claim(&mut self, table: usize, key: u8, digest: RequestDigest) -> ClaimDecision {
        let Some(record) = self.records.get(&key) else {
            let state = ReferenceState::Running;
            let record = ReferenceRecord { table, digest, state, is_runner_alive: true };
            self.records.insert(key, record);
            return ClaimDecision::Run;
        };
        match &record.state {
            _ if record.digest != digest => ClaimDecision::Mismatch,
            ReferenceState::Ended(ClaimOutcome::Answered(body)) => ClaimDecision::Replay {
                digest: RequestDigest::of(body),
                body: available_body(record, body),
            },
            ReferenceState::Running if record.is_runner_alive => ClaimDecision::Pending,
            _ => ClaimDecision::Unknown,
        }
    }

    pub(crate) fn finish(&mut self, key: u8, outcome: ClaimOutcome) {
        if outcome == ClaimOutcome::NotRun {
            self.records.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            record.state = ReferenceState::Ended(outcome);
        }
    }

    pub(crate) fn restart(&mut self, table: usize) {
        for record in self.records.values_mut().filter(|record| record.table == table) {
            record.is_runner_alive = false;
        }
    }

    /// Returns the keys whose requests are running.
    pub(crate) fn running(&self) -> Vec<u8> {
        let is_running = |record: &ReferenceRecord| {
            record.state == ReferenceState::Running && record.is_runner_alive
        };
        self.records.iter().filter(|(_, record)| is_running(record)).map(|(key, _)| *key).collect()
    }
}

// Returns the body if it is stored or still cached: a body larger than 2 KB is lost with the process that ran the
// request.
fn available_body(record: &ReferenceRecord, body: &Arc<[u8]>) -> Option<Arc<[u8]>> {
    (body.len() <= 2_048 || record.is_runner_alive).then(|| body.clone())
}
