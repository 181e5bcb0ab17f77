//! The `capacity` experiment: what one unit of each kind of work costs a router.
//!
//! Each cost is measured at three sizes or more, and a straight line is fitted. The slope is the cost of one unit; the
//! residual shows whether a line describes the cost at all, and so whether it may be extended to the design size.

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
/// Returns an error if a router doesn't do the work that is measured.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    // Memory comes first: later parts would leave freed pages that the resident set still counts.
    let mut rows = memory::run(seed)?;
    rows.extend(index::run(seed)?);
    rows.extend(request::run(seed)?);
    rows.extend(load::run(seed)?);
    rows.extend(config::run(seed)?);
    rows.extend(fleet::run(seed)?);
    rows.extend(wire::run()?);
    Ok(rows)
}
