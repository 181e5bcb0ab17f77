//! Counters and histograms, served as text.
//!
//! `cadence` names and formats the metrics. Instead of sending them to a collector, the sink in this module aggregates
//! them in memory, and the metrics address serves the totals.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::{Counted, Distributed, MetricSink, StatsdClient};
use hdrhistogram::Histogram;

/// The prefix of all metric names.
const PREFIX: &str = "godwitroad";

/// The largest value of a histogram: one minute in milliseconds. Larger values are recorded as this value.
const MAX_VALUE: u64 = 60_000;

/// The significant digits of a histogram's values. Two digits limit its memory to a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Debug, Default)]
struct MetricSums {
    counters: BTreeMap<String, i64>,
    histograms: BTreeMap<String, Histogram<u32>>,
}

#[derive(Clone, Debug, Default)]
struct SumSink {
    sums: Arc<Mutex<MetricSums>>,
}

/// The metrics of a process, counted since its start.
#[derive(Debug)]
pub struct NodeMetrics {
    client: StatsdClient,
    sums: Arc<Mutex<MetricSums>>,
}

impl MetricSink for SumSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let Some((name, rest)) = metric.split_once(':') else { return Ok(0) };
        let Some((value, kind)) = rest.split_once('|') else { return Ok(0) };
        let Ok(value) = value.parse::<i64>() else { return Ok(0) };
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        if kind.starts_with('c') {
            *sums.counters.entry(name.to_string()).or_insert(0) += value;
        } else {
            let histogram = sums.histograms.entry(name.to_string()).or_insert_with(|| {
                Histogram::new_with_max(MAX_VALUE, SIGNIFICANT_DIGITS)
                    .expect("the bounds are valid")
            });
            histogram.saturating_record(value.unsigned_abs());
        }
        Ok(metric.len())
    }
}

impl Default for NodeMetrics {
    fn default() -> NodeMetrics {
        let sink = SumSink::default();
        let sums = sink.sums.clone();
        NodeMetrics { client: StatsdClient::from_sink(PREFIX, sink), sums }
    }
}

impl NodeMetrics {
    /// Adds to a counter.
    pub fn count(&self, name: &str, amount: u64) {
        // The sink writes to memory and can't fail.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Adds a value to a histogram.
    pub fn record(&self, name: &str, value: u64) {
        let _ = self.client.distribution(name, value);
    }

    /// Returns all metrics as text: one line per counter, and the count, quantiles and maximum of each histogram.
    pub fn text(&self) -> String {
        let sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, value) in &sums.counters {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{} {value}", name.replace('.', "_"));
        }
        for (name, histogram) in &sums.histograms {
            let name = name.replace('.', "_");
            let _ = writeln!(text, "{name}_count {}", histogram.len());
            for quantile in [0.5, 0.9, 0.99] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_max {}", histogram.max());
        }
        text
    }
}
