//! Fits straight lines to measured costs.

use std::time::Instant;

use crate::report::BenchRow;

/// The number of measurements of each size; the minimum is used, because other processes can only increase the time.
const REPETITIONS: usize = 3;

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// The cost of each additional unit.
    pub slope: f64,
    /// The fixed cost.
    pub base: f64,
    /// The maximum distance of a point from the line, relative to the maximum absolute value.
    pub residual: f64,
}

impl LineFit {
    /// Returns the line that fits `points`, pairs of a size and a value with at least two different sizes.
    pub fn from_points(points: &[(f64, f64)]) -> LineFit {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let squared_deviations: f64 =
            points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let deviation_products: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = deviation_products / squared_deviations;
        let base = mean_value - slope * mean_size;
        let max_abs_value =
            points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |point: &(f64, f64)| (point.1 - base - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max) / max_abs_value;
        LineFit { slope, base, residual }
    }
}

/// Returns the rows of one cost: each point, the slope, the base and the relative residual.
///
/// `unit` is the unit of the points. If it ends in `(machine)`, because the values depend on the machine, then so does
/// the unit of the residual.
pub(crate) fn fit_rows(
    scenario: &str,
    measure: &str,
    size: &str,
    unit: &'static str,
    points: &[(f64, f64)],
) -> Vec<BenchRow> {
    let fit = LineFit::from_points(points);
    let ratio = if unit.ends_with("(machine)") { "ratio (machine)" } else { "ratio" };
    let row = |name: String, unit, value| BenchRow::new(scenario, "product", name, unit, value);
    let mut rows: Vec<BenchRow> = points
        .iter()
        .map(|&(units, value)| row(format!("{measure}, {units} {size}"), unit, value))
        .collect();
    rows.push(row(format!("{measure}, slope for one of {size}"), unit, fit.slope));
    rows.push(row(format!("{measure}, base"), unit, fit.base));
    rows.push(row(format!("{measure}, relative residual"), ratio, fit.residual));
    rows
}

/// Returns the minimum time of `work` in microseconds over [`REPETITIONS`] runs, each with a new state from `prepare`.
pub(crate) fn min_time_us<S>(mut prepare: impl FnMut() -> S, mut work: impl FnMut(&mut S)) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let mut state = prepare();
        let start = Instant::now();
        work(&mut state);
        start.elapsed().as_nanos() as f64 / 1e3
    });
    times.fold(f64::INFINITY, f64::min)
}
