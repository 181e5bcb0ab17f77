//! The judge of a history of claims.
//!
//! It sees what callers and targets see, and nothing of the tables: which requests ran, which were told what, and
//! which answers came back.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockTime, RequestId};

use crate::{settings::ClaimCounters, table::ClaimDecision};

#[derive(Debug)]
struct JudgedRequest {
    key: Arc<str>,
    began: ClockTime,
    executed: bool,
    refused: bool,
    verdicts: u32,
}

#[derive(Debug, Default)]
pub(crate) struct HistoryJudge {
    requests: BTreeMap<RequestId, JudgedRequest>,
    runs: BTreeMap<Arc<str>, Vec<RequestId>>,
    answers: BTreeMap<Arc<str>, Arc<[u8]>>,
    violations: Vec<String>,
    duplicate_runs: u64,
    false_not_run: u64,
    wrong_answers: u64,
    latencies: Vec<u64>,
    pub(crate) crashes: u64,
}

/// What a history showed.
#[derive(Clone, Debug, Default)]
pub struct HistoryReport {
    /// Runs of a key beyond its first.
    pub duplicate_runs: u64,
    /// Requests that ran although their callers were told that they didn't.
    pub false_not_run: u64,
    /// Replayed answers that aren't the answer of the key's run.
    pub wrong_answers: u64,
    /// All breaches in words.
    pub violations: Vec<String>,
    /// Requests that had no verdict at the end, at processes that run.
    pub undecided: u64,
    /// Requests that ran.
    pub executed: u64,
    /// Processes that ended.
    pub crashes: u64,
    /// The milliseconds from each request that ran to its permission.
    pub latencies: Vec<u64>,
    /// The sum of all tables' counters.
    pub counters: ClaimCounters,
    /// Calls to the store.
    pub store_calls: u64,
    /// Bytes of keys and values sent to the store and received from it.
    pub store_bytes: u64,
    /// The size of the largest slice at the end.
    pub largest_slice: usize,
}

impl HistoryJudge {
    // A key with another request must not run either, so that the digest doesn't enter the judgement.
    pub(crate) fn begin(&mut self, now: ClockTime, id: RequestId, key: &Arc<str>) {
        let request = JudgedRequest {
            key: key.clone(),
            began: now,
            executed: false,
            refused: false,
            verdicts: 0,
        };
        self.requests.insert(id, request);
    }

    pub(crate) fn is_refused(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.refused)
    }

    pub(crate) fn run(&mut self, now: ClockTime, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.executed = true;
        if request.refused {
            self.false_not_run += 1;
            self.violations.push(format!("{now}: {id} ran after it was refused as not run"));
        }
        let runs = self.runs.entry(request.key.clone()).or_default();
        runs.push(id);
        if runs.len() > 1 {
            self.duplicate_runs += 1;
            self.violations.push(format!("{now}: {} ran again by {id}", request.key));
        }
    }

    pub(crate) fn answer(&mut self, id: RequestId, body: Arc<[u8]>) {
        if let Some(request) = self.requests.get(&id) {
            self.answers.entry(request.key.clone()).or_insert(body);
        }
    }

    pub(crate) fn decide(&mut self, now: ClockTime, id: RequestId, decision: &ClaimDecision) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.verdicts += 1;
        if request.verdicts > 1 {
            self.violations.push(format!("{now}: {id} had a second decision {decision:?}"));
        }
        match decision {
            ClaimDecision::Run => self.latencies.push(now.since(request.began).as_ms()),
            ClaimDecision::NotRun { .. } | ClaimDecision::Pending | ClaimDecision::Mismatch => {
                request.refused = true;
                if request.executed {
                    self.false_not_run += 1;
                    self.violations.push(format!("{now}: {id} ran and was refused as not run"));
                }
            }
            ClaimDecision::Replay { body, .. } => {
                let answer = self.answers.get(&request.key);
                let is_wrong =
                    answer.is_none() || body.as_ref().is_some_and(|body| Some(body) != answer);
                if is_wrong {
                    self.wrong_answers += 1;
                    self.violations.push(format!("{now}: {id} was given another answer"));
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
