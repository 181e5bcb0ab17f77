//! The time until a new configuration generation is in force in one router, and the size of the document.

use std::sync::Arc;

use anyhow::{Result, ensure};
use godwitroad_config::{check, chunks, parse};
use godwitroad_router::RouterEvent;

use super::{
    fit::{fit_rows, min_time_us},
    sample::{START, document, standalone_router},
};
use crate::report::BenchRow;

/// The number of targets of the design size.
const TARGETS: usize = 4_000;

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let (mut checks, mut installs, mut bytes, mut chunk_counts) = (vec![], vec![], vec![], vec![]);
    for accounts in [1_000, 5_000, 25_000] {
        let size = accounts as f64;
        let document = document(accounts, TARGETS);
        ensure!(
            check(&document).is_empty(),
            "the sample document of {accounts} accounts is invalid"
        );
        let text = serde_json::to_vec(&document)?;
        let split = chunks::split(&document)?;
        bytes.push((size, text.len() as f64));
        chunk_counts.push((size, split.len() as f64));
        let read = |text: &mut Vec<u8>| {
            std::hint::black_box(parse(text).is_ok_and(|document| check(&document).is_empty()));
        };
        checks.push((size, min_time_us(|| text.clone(), read)));
        let document = Arc::new(document);
        let prepare = || (standalone_router(seed, (*document).clone()), Arc::clone(&document));
        let install = min_time_us(prepare, |(state, document)| {
            let document = Arc::clone(document);
            let event = RouterEvent::Configure { generation: 2, document };
            state.handle(START, event, &mut Vec::new());
        });
        installs.push((size, install));
    }
    let scenario = "configuration, 4,000 targets";
    let unit = "us (machine)";
    let mut rows = fit_rows(scenario, "parse and check", "accounts", unit, &checks);
    rows.extend(fit_rows(scenario, "put in force", "accounts", unit, &installs));
    rows.extend(fit_rows(scenario, "document", "accounts", "bytes", &bytes));
    rows.extend(fit_rows(scenario, "chunks", "accounts", "chunks", &chunk_counts));
    Ok(rows)
}
