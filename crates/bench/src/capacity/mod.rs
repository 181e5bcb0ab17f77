//! The `capacity` experiment: the cost of each kind of work of a router.
//!
//! Each cost is measured at three or more sizes, and a straight line is fitted. The slope is the cost of one unit. The
//! residual shows whether the cost is linear and can therefore be extrapolated to the design size.

mod config;
pub mod fit;
mod fleet;
mod index;
mod load;
mod memory;
mod request;
mod sample;
mod wire;

use anyhow::Result;

use crate::report::BenchRow;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a router doesn't perform the measured work.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    // Memory is measured first, because the other measurements leave freed pages that still count in the resident set.
    let mut rows = memory::run(seed)?;
    rows.extend(index::run(seed)?);
    rows.extend(request::run(seed)?);
    rows.extend(load::run(seed)?);
    rows.extend(config::run(seed)?);
    rows.extend(fleet::run(seed)?);
    rows.extend(wire::run()?);
    Ok(rows)
}
