//! The time of a request and of a token through the facade.
//!
//! The router runs alone: its admission is immediate and its part of the index is empty. A decision over a full index
//! is measured by `bench index`, and the work for rates and membership by the fleet part of this experiment.

use std::sync::Arc;

use anyhow::{Result, ensure};
use godwitroad_base::RequestId;
use godwitroad_router::{AttemptReport, RouterAction, RouterEvent, RouterState};

use super::{
    fit::{fit_rows, least_us},
    sample::{START, arrival, document, lone_router},
};
use crate::report::BenchRow;

/// The bytes of a prompt: three pieces.
const PROMPT_BYTES: usize = 24 * 1_024;

/// The bytes of one streamed event as engines write them.
const EVENT_BYTES: usize = 180;

const ACCOUNTS: usize = 100;

const TOKEN_REQUESTS: usize = 50;

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for targets in [340, 1_700, 4_000] {
        let scenario = format!("request, {targets} targets");
        let unit = "us (machine)";
        let points: Vec<(f64, f64)> = [250, 500, 1_000]
            .iter()
            .map(|&count| (count as f64, request_time(seed, targets, count, 1)))
            .collect();
        rows.extend(fit_rows(&scenario, "arrival to end", "requests", unit, &points));
        let points: Vec<(f64, f64)> = [50, 100, 200]
            .iter()
            .map(|&tokens| {
                let time = request_time(seed, targets, TOKEN_REQUESTS, tokens);
                ((tokens * TOKEN_REQUESTS) as f64, time)
            })
            .collect();
        rows.extend(fit_rows(&scenario, "tokens streamed", "tokens", unit, &points));
    }
    let mut state = lone_router(seed, document(ACCOUNTS, 340));
    ensure!(serve(&mut state, 10, 3) == 10, "a request of the sample isn't dispatched");
    Ok(rows)
}

fn request_time(seed: u64, targets: usize, count: usize, tokens: usize) -> f64 {
    let prepare = || lone_router(seed, document(ACCOUNTS, targets));
    least_us(prepare, |state| {
        serve(state, count, tokens);
    })
}

/// Runs requests one after the other and returns the number of those that were dispatched.
fn serve(state: &mut RouterState, count: usize, tokens: usize) -> usize {
    let prompt: Arc<[u8]> = Arc::from(vec![b'a'; PROMPT_BYTES]);
    let data: Arc<str> = "d".repeat(EVENT_BYTES).into();
    let text: Arc<str> = "word ".into();
    let mut actions = Vec::new();
    let mut dispatched = 0;
    for number in 0..count {
        let event = RouterEvent::Request(arrival(number % ACCOUNTS, number, &prompt));
        state.handle(START, event, &mut actions);
        let Some((id, attempt)) = taken(&actions) else { continue };
        dispatched += 1;
        let mut report = |report| {
            actions.clear();
            state.handle(START, RouterEvent::Attempt { id, attempt, report }, &mut actions);
        };
        report(AttemptReport::Started { status: 200, content_type: "text/event-stream".into() });
        for first in 0..tokens as u64 {
            let (data, text) = (Arc::clone(&data), Arc::clone(&text));
            report(AttemptReport::Tokens { first, count: 1, data, text });
        }
        report(AttemptReport::Ended);
        actions.clear();
    }
    dispatched
}

fn taken(actions: &[RouterAction]) -> Option<(RequestId, u32)> {
    actions.iter().find_map(|action| match action {
        RouterAction::Dispatch(order) => Some((order.id, order.attempt)),
        _ => None,
    })
}
