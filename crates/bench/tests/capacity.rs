//! The lines that the capacity page is worked out from.

use godwitroad_bench::capacity::fit::LineFit;

/// Guards against a slope that takes a fixed cost for a cost of each unit.
#[test]
fn line_separates_base_and_slope() {
    let fit = LineFit::of(&[(10.0, 120.0), (20.0, 140.0), (40.0, 180.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.base - 100.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
}

/// Guards against a cost that grows with the square of the size and is extended as a line unnoticed.
#[test]
fn curve_has_large_residual() {
    let fit = LineFit::of(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)]);
    assert!(fit.residual > 0.05);
}
