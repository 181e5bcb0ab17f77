//! What one run of the simulation showed.

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
struct RequestResult {
    wait_us: u64,
    hit: usize,
    wasted: u64,
}

/// The outcomes of all requests under one policy.
#[derive(Clone, Debug)]
pub(super) struct RunResult {
    requests: Vec<Option<RequestResult>>,
    pub(super) link_bytes: u64,
    pub(super) retries: u64,
}

/// The figures of a part of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunFigures {
    pub(super) hit_rate: f64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    /// The share of all prompt tokens that were computed although a worker of the region had them cached.
    pub(super) wasted: f64,
    pub(super) unanswered: usize,
}

impl RunResult {
    pub(super) fn new(requests: usize) -> RunResult {
        RunResult { requests: vec![None; requests], link_bytes: 0, retries: 0 }
    }

    pub(super) fn note(&mut self, request: usize, wait_us: u64, hit: usize, wasted: u64) {
        self.requests[request] = Some(RequestResult { wait_us, hit, wasted });
    }

    /// Returns the figures of the requests that `wanted` selects; `pieces` gives the pieces of a request.
    pub(super) fn figures(
        &self,
        wanted: impl Fn(usize) -> bool,
        pieces: impl Fn(usize) -> usize,
        tokens: impl Fn(usize) -> u64,
    ) -> RunFigures {
        let mut waits = Vec::new();
        let (mut hits, mut all, mut wasted, mut prompt) = (0, 0, 0, 0);
        let mut unanswered = 0;
        for request in (0..self.requests.len()).filter(|&request| wanted(request)) {
            let Some(result) = self.requests[request] else {
                unanswered += 1;
                continue;
            };
            waits.push(result.wait_us);
            hits += result.hit;
            all += pieces(request);
            wasted += result.wasted;
            prompt += tokens(request);
        }
        waits.sort_unstable();
        RunFigures {
            hit_rate: hits as f64 / all.max(1) as f64,
            p50_ms: quantile(&waits, 0.5),
            p99_ms: quantile(&waits, 0.99),
            wasted: wasted as f64 / prompt.max(1) as f64,
            unanswered,
        }
    }
}

/// Returns a quantile of sorted microseconds in milliseconds.
pub(crate) fn quantile(sorted: &[u64], share: f64) -> f64 {
    let place = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).map_or(0.0, |&value| value as f64 / 1e3)
}
