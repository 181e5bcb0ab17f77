//! Records the placement decisions of recent requests for operators.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockTime, RequestId};
use serde_json::{Value, json};

use crate::placement::PlacedAttempt;

/// The maximum number of requests whose placement decisions are kept.
const MAX_RECORDED_REQUESTS: usize = 1_024;

/// The placement decisions of the most recent requests.
#[derive(Debug, Default)]
pub(crate) struct ExplainLog {
    choices: BTreeMap<RequestId, Vec<Value>>,
    order: VecDeque<RequestId>,
}

impl ExplainLog {
    pub(crate) fn record(
        &mut self,
        id: RequestId,
        attempt: u32,
        now: ClockTime,
        placed: &PlacedAttempt,
    ) {
        if !self.choices.contains_key(&id) {
            self.order.push_back(id);
            if self.order.len() > MAX_RECORDED_REQUESTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.choices.remove(&oldest);
            }
        }
        self.choices.entry(id).or_default().push(json!({
            "attempt": attempt,
            "at_ms": now.as_ms(),
            "target": placed.target.as_str(),
            "choice": placed.explanation,
        }));
    }

    /// Returns the placement decisions for all attempts of a request, or `None` if they are no longer kept.
    pub(crate) fn get(&self, id: RequestId) -> Option<Value> {
        let choices = self.choices.get(&id)?;
        Some(json!({ "request_id": id.to_string(), "attempts": choices }))
    }
}
