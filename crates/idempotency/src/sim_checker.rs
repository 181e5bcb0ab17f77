//! The checker of a simulated history.
//!
//! It uses only what callers and targets observe, not the state of the tables: which requests ran, which decisions were
//! made about them, and which answers were returned.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockTime, RequestId};

use crate::{settings::ClaimCounters, table::ClaimDecision};

#[derive(Debug)]
struct CheckedRequest {
    key: Arc<str>,
    started_at: ClockTime,
    executed: bool,
    was_refused: bool,
    decisions: u32,
}

#[derive(Debug, Default)]
pub(crate) struct HistoryChecker {
    requests: BTreeMap<RequestId, CheckedRequest>,
    runs: BTreeMap<Arc<str>, Vec<RequestId>>,
    answers: BTreeMap<Arc<str>, Arc<[u8]>>,
    violations: Vec<String>,
    duplicate_runs: u64,
    false_not_run: u64,
    wrong_answers: u64,
    latencies: Vec<u64>,
    pub(crate) crashes: u64,
}

/// The result of a history.
#[derive(Clone, Debug, Default)]
pub struct HistoryReport {
    /// Runs of a key after its first run.
    pub duplicate_runs: u64,
    /// Requests that ran although their callers were told that they didn't run.
    pub false_not_run: u64,
    /// Replayed answers that differ from the answer of the run, or that have no run.
    pub wrong_answers: u64,
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// Requests without a decision at the end, at processes that are up.
    pub undecided: u64,
    /// Requests that ran, including duplicate runs.
    pub executed: u64,
    /// Processes that crashed.
    pub crashes: u64,
    /// The milliseconds from the arrival of each request that was allowed to run to the decision.
    pub latencies: Vec<u64>,
    /// The sum of all tables' counters.
    pub counters: ClaimCounters,
    /// Calls that the nodes sent to the store.
    pub store_calls: u64,
    /// Bytes of keys and values sent to the store and received from it.
    pub store_bytes: u64,
    /// The size in bytes of the largest slice at the end.
    pub largest_slice: usize,
}

impl HistoryChecker {
    // A key must not run a second time with another request either, so that the digest is not checked.
    pub(crate) fn record_request(&mut self, now: ClockTime, id: RequestId, key: &Arc<str>) {
        let request = CheckedRequest {
            key: key.clone(),
            started_at: now,
            executed: false,
            was_refused: false,
            decisions: 0,
        };
        self.requests.insert(id, request);
    }

    pub(crate) fn is_refused(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.was_refused)
    }

    pub(crate) fn record_run(&mut self, now: ClockTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.executed = true;
        if request.was_refused {
            self.false_not_run += 1;
            self.violations
                .push(format!("{now}: request {id} ran after it was refused as not run"));
        }
        let runs = self.runs.entry(request.key.clone()).or_default();
        runs.push(id);
        if runs.len() > 1 {
            self.duplicate_runs += 1;
            self.violations
                .push(format!("{now}: key {} ran a second time, by request {id}", request.key));
        }
    }

    pub(crate) fn record_answer(&mut self, id: RequestId, body: Arc<[u8]>) {
        if let Some(request) = self.requests.get(&id) {
            self.answers.entry(request.key.clone()).or_insert(body);
        }
    }

    pub(crate) fn check_decision(
        &mut self,
        now: ClockTime,
        id: RequestId,
        decision: &ClaimDecision,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.decisions += 1;
        if request.decisions > 1 {
            self.violations
                .push(format!("{now}: request {id} had a second decision, {decision:?}"));
        }
        match decision {
            ClaimDecision::Run => self.latencies.push(now.since(request.started_at).as_ms()),
            ClaimDecision::NotRun { .. } | ClaimDecision::Pending | ClaimDecision::Mismatch => {
                request.was_refused = true;
                if request.executed {
                    self.false_not_run += 1;
                    self.violations
                        .push(format!("{now}: request {id} was refused as not run after it ran"));
                }
            }
            ClaimDecision::Replay { body, .. } => {
                let answer = self.answers.get(&request.key);
                let is_wrong =
                    answer.is_none() || body.as_ref().is_some_and(|body| Some(body) != answer);
                if is_wrong {
                    self.wrong_answers += 1;
                    self.violations.push(format!(
                        "{now}: request {id} was sent an answer that differs from the run's"
                    ));
                }
            }
            ClaimDecision::Unknown => {}
        }
    }

    pub(crate) fn report(
        self,
        undecided: usize,
        counters: ClaimCounters,
        store_calls: u64,
        store_bytes: u64,
        largest_slice: usize,
    ) -> HistoryReport {
        HistoryReport {
            duplicate_runs: self.duplicate_runs,
            false_not_run: self.false_not_run,
            wrong_answers: self.wrong_answers,
            violations: self.violations,
            undecided: undecided as u64,
            executed: self.runs.values().map(|runs| runs.len() as u64).sum(),
            crashes: self.crashes,
            latencies: self.latencies,
            counters,
            store_calls,
            store_bytes,
            largest_slice,
        }
    }
}
