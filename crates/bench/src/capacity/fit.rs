//! Straight lines through measured costs.

use std::time::Instant;

use crate::report::BenchRow;

/// The number of times that each size is measured; the smallest time counts, as other processes only add to it.
const REPETITIONS: usize = 3;

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// The cost of one more unit.
    pub slope: f64,
    /// The cost of no unit.
    pub base: f64,
    /// The largest distance of a point from the line, relative to the largest value.
    pub residual: f64,
}

impl LineFit {
    /// Returns the line through `points`, which need at least two different sizes.
    pub fn of(points: &[(f64, f64)]) -> LineFit {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let product: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = product / spread;
        let base = mean_value - slope * mean_size;
        let largest = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |point: &(f64, f64)| (point.1 - base - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
        LineFit { slope, base, residual }
    }
}

/// Returns the rows of one cost: each point, the slope, the base and the relative residual.
///
/// `unit` and `ratio` are the units of the points and of the residual; both name the machine for measured times.
pub(crate) fn fit_rows(
    scenario: &str,
    measure: &str,
    size: &str,
    unit: &'static str,
    points: &[(f64, f64)],
) -> Vec<BenchRow> {
    let fit = LineFit::of(points);
    let ratio = if unit.ends_with("(machine)") { "ratio (machine)" } else { "ratio" };
    let row = |name: String, unit, value| BenchRow::new(scenario, "product", name, unit, value);
    let mut rows: Vec<BenchRow> = points
        .iter()
        .map(|&(at, value)| row(format!("{measure}, {at} {size}"), unit, value))
        .collect();
    rows.push(row(format!("{measure}, slope for one of {size}"), unit, fit.slope));
    rows.push(row(format!("{measure}, base"), unit, fit.base));
    rows.push(row(format!("{measure}, relative residual"), ratio, fit.residual));
    rows
}

/// Returns the smallest time in microseconds that `work` takes, each time on a new state from `prepare`.
pub(crate) fn least_us<S>(mut prepare: impl FnMut() -> S, mut work: impl FnMut(&mut S)) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let mut state = prepare();
        let start = Instant::now();
        work(&mut state);
        start.elapsed().as_nanos() as f64 / 1e3
    });
    times.fold(f64::INFINITY, f64::min)
}
