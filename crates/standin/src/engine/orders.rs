//! Orders to an engine: loading and unloading models, and roles.

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};

/// A model with the version of its weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadedModel {
    /// The name of the model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The adapter, if any.
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

/// The models and the role of an engine.
#[derive(Debug)]
pub(crate) struct OrderBook {
    checks_fencing: bool,
    load_time: ClockSpan,
    loading: Vec<(ClockTime, LoadedModel)>,
    report: OrderReport,
}

impl OrderBook {
    pub(crate) fn new(
        checks_fencing: bool,
        load_time: ClockSpan,
        loaded: Vec<LoadedModel>,
    ) -> OrderBook {
        let report = OrderReport {
            fence: 0,
            loaded,
            loading: Vec::new(),
            role: None,
            accepted: 0,
            refused: 0,
        };
        OrderBook { checks_fencing, load_time, loading: Vec::new(), report }
    }

    /// Carries an order out and returns whether it was accepted.
    pub(crate) fn take(&mut self, now: ClockTime, call: OrderCall) -> bool {
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

    /// Returns what is loaded and loading at `now`.
    pub(crate) fn report(&mut self, now: ClockTime) -> OrderReport {
        self.finish_loads(now);
        let loading = self.loading.iter().map(|(_, model)| model.clone()).collect();
        OrderReport { loading, ..self.report.clone() }
    }

    /// Returns the version that is loaded of `model`.
    pub(crate) fn version(&mut self, now: ClockTime, model: &str) -> Option<String> {
        self.finish_loads(now);
        let loaded = self.report.loaded.iter().find(|loaded| loaded.model == model);
        loaded.map(|loaded| loaded.version.clone())
    }

    fn finish_loads(&mut self, now: ClockTime) {
        let (done, rest) =
            std::mem::take(&mut self.loading).into_iter().partition(|(end, _)| *end <= now);
        self.loading = rest;
        let done: Vec<(ClockTime, LoadedModel)> = done;
        for (_, model) in done {
            // A new version takes the place of the old one.
            self.report
                .loaded
                .retain(|old| old.model != model.model || old.adapter != model.adapter);
            self.report.loaded.push(model);
        }
    }
}
