//! The results of one run of the simulation.

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
struct RequestResult {
    /// The time from the arrival of the request to its first token.
    first_token_us: u64,
    /// The leading blocks that the engine had cached.
    hit_blocks: usize,
    /// The prompt tokens that were computed although a worker of the router's region had them cached.
    wasted_tokens: u64,
}

/// The outcomes of all requests under one policy.
#[derive(Clone, Debug)]
pub(super) struct RunResult {
    requests: Vec<Option<RequestResult>>,
    /// The bytes that were sent between the regions.
    pub(super) link_bytes: u64,
    pub(super) retries: u64,
}

/// Aggregated results of a set of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunFigures {
    /// The share of all prompt blocks that were cached.
    pub(super) hit_rate: f64,
    /// The median time to first token.
    pub(super) p50_ms: f64,
    /// The 99th percentile of the time to first token.
    pub(super) p99_ms: f64,
    /// The share of all prompt tokens that were computed although a worker of the region had them cached.
    pub(super) wasted_share: f64,
    pub(super) unanswered: usize,
}

impl RunResult {
    pub(super) fn new(requests: usize) -> RunResult {
        RunResult { requests: vec![None; requests], link_bytes: 0, retries: 0 }
    }

    pub(super) fn record(
        &mut self,
        request: usize,
        first_token_us: u64,
        hit_blocks: usize,
        wasted_tokens: u64,
    ) {
        self.requests[request] = Some(RequestResult { first_token_us, hit_blocks, wasted_tokens });
    }

    /// Aggregates the requests for which `is_selected` holds; `blocks` and `tokens` return the blocks and the tokens of
    /// a request's prompt.
    pub(super) fn figures(
        &self,
        is_selected: impl Fn(usize) -> bool,
        blocks: impl Fn(usize) -> usize,
        tokens: impl Fn(usize) -> u64,
    ) -> RunFigures {
        let mut first_token_times = Vec::new();
        let (mut total_hits, mut total_blocks, mut wasted_tokens, mut total_tokens) = (0, 0, 0, 0);
        let mut unanswered = 0;
        for request in (0..self.requests.len()).filter(|&request| is_selected(request)) {
            let Some(result) = self.requests[request] else {
                unanswered += 1;
                continue;
            };
            first_token_times.push(result.first_token_us);
            total_hits += result.hit_blocks;
            total_blocks += blocks(request);
            wasted_tokens += result.wasted_tokens;
            total_tokens += tokens(request);
        }
        first_token_times.sort_unstable();
        RunFigures {
            hit_rate: total_hits as f64 / total_blocks.max(1) as f64,
            p50_ms: quantile(&first_token_times, 0.5),
            p99_ms: quantile(&first_token_times, 0.99),
            wasted_share: wasted_tokens as f64 / total_tokens.max(1) as f64,
            unanswered,
        }
    }
}

/// Returns a quantile, in milliseconds, of times in microseconds that are sorted in ascending order.
pub(crate) fn quantile(sorted: &[u64], share: f64) -> f64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).map_or(0.0, |&value| value as f64 / 1e3)
}
