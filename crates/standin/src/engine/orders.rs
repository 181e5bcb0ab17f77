//! Orders to an engine: to load or unload a model, or to change the engine's role.

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};

/// A model with the version of its weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadedModel {
    /// The name of the model, as in requests.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The adapter that is loaded with the model, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    Load,
    Unload,
    Role,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct OrderCall {
    fence: u64,
    order: OrderKind,
    #[serde(default)]
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    role: Option<String>,
}

/// The answer to `GET /orders`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrderReport {
    pub(crate) fence: u64,
    pub(crate) loaded: Vec<LoadedModel>,
    pub(crate) loading: Vec<LoadedModel>,
    pub(crate) role: Option<String>,
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
}

/// The loaded models and the role of an engine, which orders change.
#[derive(Debug)]
pub(crate) struct OrderState {
    checks_fencing: bool,
    load_time: ClockSpan,
    loading: Vec<(ClockTime, LoadedModel)>,
    report: OrderReport,
}

impl OrderState {
    pub(crate) fn new(
        checks_fencing: bool,
        load_time: ClockSpan,
        loaded: Vec<LoadedModel>,
    ) -> OrderState {
        let report = OrderReport {
            fence: 0,
            loaded,
            loading: Vec::new(),
            role: None,
            accepted: 0,
            refused: 0,
        };
        OrderState { checks_fencing, load_time, loading: Vec::new(), report }
    }

    /// Applies an order and returns whether it was accepted.
    ///
    /// An order with a lower fencing number than an earlier one is rejected if the engine checks fencing.
    pub(crate) fn apply(&mut self, now: ClockTime, call: OrderCall) -> bool {
        if self.checks_fencing && call.fence < self.report.fence {
            self.report.refused += 1;
            return false;
        }
        self.report.fence = call.fence;
        self.report.accepted += 1;
        let model = LoadedModel { model: call.model, version: call.version, adapter: call.adapter };
        match call.order {
            OrderKind::Load => self.loading.push((now + self.load_time, model)),
            OrderKind::Unload => self.report.loaded.retain(|loaded| *loaded != model),
            OrderKind::Role => self.report.role = call.role,
        }
        true
    }

    /// Returns the models that are loaded and loading at `now`, the role and the counters.
    pub(crate) fn report(&mut self, now: ClockTime) -> OrderReport {
        self.finish_loads(now);
        let loading = self.loading.iter().map(|(_, model)| model.clone()).collect();
        OrderReport { loading, ..self.report.clone() }
    }

    /// Returns the loaded version of `model`, or `None` if it isn't loaded.
    pub(crate) fn version(&mut self, now: ClockTime, model: &str) -> Option<String> {
        self.finish_loads(now);
        let loaded = self.report.loaded.iter().find(|loaded| loaded.model == model);
        loaded.map(|loaded| loaded.version.clone())
    }

    fn finish_loads(&mut self, now: ClockTime) {
        let (done, remaining) =
            std::mem::take(&mut self.loading).into_iter().partition(|(end, _)| *end <= now);
        self.loading = remaining;
        let done: Vec<(ClockTime, LoadedModel)> = done;
        for (_, model) in done {
            // A new version of a model replaces the old one.
            self.report
                .loaded
                .retain(|old| old.model != model.model || old.adapter != model.adapter);
            self.report.loaded.push(model);
        }
    }
}
