//! Tests the line fits from which the capacity figures are derived.

use godwitroad_bench::capacity::fit::LineFit;

/// Guards against a fit that attributes a fixed cost to the cost of each unit.
#[test]
fn line_separates_base_and_slope() {
    let fit = LineFit::from_points(&[(10.0, 120.0), (20.0, 140.0), (40.0, 180.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.base - 100.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
}

/// Guards against extrapolating a quadratic cost as a line: its residual must be large.
#[test]
fn curve_has_large_residual() {
    let fit = LineFit::from_points(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)]);
    assert!(fit.residual > 0.05);
}
