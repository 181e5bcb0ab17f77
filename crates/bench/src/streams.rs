//! What an engine's death costs a stream, and what a stream costs in memory.
//!
//! Streams run over fakes of engines that die at random tokens, repeat tokens after a resumption and send late
//! ones of an earlier attempt. The product goes on with the text so far; the baseline starts the answer over and
//! drops what the caller already has.

use anyhow::{Result, ensure};
use godwitroad_base::SeededRandom;
use godwitroad_stream::{LogSettings, StreamLog, TokenBatch, TokenOutcome};

use crate::report::BenchRow;

/// The number of streams in a run.
const STREAMS: u64 = 2_000;

/// The chance that an engine dies at any one token.
const DEATH_CHANCE: f64 = 0.001;

/// The chance that a token is sent twice, or again by an earlier attempt.
const REPEAT_CHANCE: f64 = 0.01;

/// The bytes of one event around the token's text, as an engine writes them.
const EVENT_BYTES: usize = 180;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResumePolicy {
    Product,
    StartOver,
}

#[derive(Clone, Debug, Default)]
struct StreamTotals {
    deaths: u64,
    tokens: u64,
    decoded_again: u64,
    wrong: u64,
    held: Vec<u64>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error when no engine died, as the run then shows nothing.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for (policy, name) in
        [(ResumePolicy::Product, "product"), (ResumePolicy::StartOver, "start over")]
    {
        let mut random = SeededRandom::new(seed);
        let mut totals = StreamTotals::default();
        (0..STREAMS).for_each(|_| run_stream(&mut random, policy, &mut totals));
        ensure!(totals.deaths > 0, "no engine died under seed {seed}");
        rows.extend(rows_of(name, totals));
    }
    Ok(rows)
}

fn rows_of(policy: &str, mut totals: StreamTotals) -> Vec<BenchRow> {
    totals.held.sort_unstable();
    let at = |share: f64| totals.held[((totals.held.len() - 1) as f64 * share) as usize] as f64;
    let row = |measure: &str, unit, value| {
        BenchRow::new("engines die mid-stream", policy, measure, unit, value)
    };
    vec![
        row("tokens lost, doubled or out of order", "tokens", totals.wrong as f64).at_most(0.0),
        row(
            "tokens decoded again for each death",
            "tokens",
            totals.decoded_again as f64 / totals.deaths as f64,
        ),
        row("deaths", "engines", totals.deaths as f64),
        row("tokens streamed", "tokens", totals.tokens as f64),
        row("memory held for a stream, p50", "bytes", at(0.5)),
        row("memory held for a stream, p99", "bytes", at(0.99)),
    ]
}

fn run_stream(random: &mut SeededRandom, policy: ResumePolicy, totals: &mut StreamTotals) {
    let length = 20 + random.below(800);
    let mut log = StreamLog::new(LogSettings::default());
    let mut seen = 0;
    let mut attempt = 1;
    let mut next = begin(&mut log, attempt, policy);
    while log.tokens() < length {
        if random.chance(DEATH_CHANCE) {
            totals.deaths += 1;
            attempt += 1;
            next = begin(&mut log, attempt, policy);
            totals.decoded_again += log.tokens() - next;
            continue;
        }
        if random.chance(REPEAT_CHANCE) {
            let late = batch(attempt.saturating_sub(1), next);
            totals.wrong += u64::from(matches!(log.accept(late), TokenOutcome::Accepted(_)));
        }
        let repeat = random.chance(REPEAT_CHANCE);
        totals.wrong += give(&mut log, batch(attempt, next), &mut seen);
        if repeat {
            totals.wrong += give(&mut log, batch(attempt, next), &mut seen);
        }
        next += 1;
    }
    log.end(attempt);
    totals.wrong += seen.abs_diff(length);
    totals.tokens += length;
    totals.held.push(log.memory_bytes());
}

fn begin(log: &mut StreamLog, attempt: u32, policy: ResumePolicy) -> u64 {
    let resume = log.begin(attempt).map_or(0, |text| text.tokens);
    match policy {
        ResumePolicy::Product => resume,
        ResumePolicy::StartOver => 0,
    }
}

// Returns one when the caller got a token that was not the next one.
fn give(log: &mut StreamLog, batch: TokenBatch, seen: &mut u64) -> u64 {
    let first = batch.first;
    match log.accept(batch) {
        TokenOutcome::Accepted(_) => {
            let wrong = u64::from(first != *seen);
            *seen += 1;
            wrong
        }
        TokenOutcome::Repeated | TokenOutcome::Stale => 0,
        TokenOutcome::Gap => 1,
    }
}

fn batch(attempt: u32, first: u64) -> TokenBatch {
    let data = format!("{first:>width$}", width = EVENT_BYTES);
    TokenBatch { attempt, first, count: 1, data: data.into(), text: "word ".into() }
}
