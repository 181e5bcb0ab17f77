//! How well estimates agreed with what was observed.

use std::collections::VecDeque;

/// How well the estimates of the latest requests agreed with the actual times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimateError {
    /// The number of requests.
    pub count: usize,
    /// The median of the ratio of actual to estimated time.
    pub median_ratio: f64,
    /// The correlation of the logarithms of estimated and actual time.
    pub correlation: f64,
}

/// The latest pairs of estimated and actual times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ErrorWindow {
    pairs: VecDeque<(f64, f64)>,
}

/// The number of requests that the error is computed from.
const WINDOW_LENGTH: usize = 256;

impl ErrorWindow {
    pub(crate) fn record(&mut self, estimated_ms: f64, actual_ms: f64) {
        if self.pairs.len() == WINDOW_LENGTH {
            self.pairs.pop_front();
        }
        self.pairs.push_back((estimated_ms.max(1.0), actual_ms.max(1.0)));
    }

    pub(crate) fn summary(&self) -> EstimateError {
        let mut ratios: Vec<f64> =
            self.pairs.iter().map(|(estimated, actual)| actual / estimated).collect();
        ratios.sort_by(f64::total_cmp);
        let median_ratio = ratios.get(ratios.len() / 2).copied().unwrap_or_default();
        EstimateError { count: ratios.len(), median_ratio, correlation: self.correlation() }
    }

    fn correlation(&self) -> f64 {
        let count = self.pairs.len() as f64;
        let logs = || self.pairs.iter().map(|(estimated, actual)| (estimated.ln(), actual.ln()));
        let (sum_x, sum_y) = logs().fold((0.0, 0.0), |sum, (x, y)| (sum.0 + x, sum.1 + y));
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let (mut xx, mut yy, mut xy) = (0.0, 0.0, 0.0);
        for (x, y) in logs() {
            xx += (x - mean_x).powi(2);
            yy += (y - mean_y).powi(2);
            xy += (x - mean_x) * (y - mean_y);
        }
        if xx > 0.0 && yy > 0.0 { xy / (xx * yy).sqrt() } else { 0.0 }
    }
}
