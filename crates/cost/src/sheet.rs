//! The estimate according to the targets' data sheets, before anything is learned of a target.

/// The settings of the model: when it is active, and the constants of the data sheets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSettings {
    /// Whether the model is active for all services, whether or not their targets report a pace.
    pub always_active: bool,
    /// Whether placement uses the learned times and pauses of all services, not only of those whose targets report a pace.
    /// For the others it uses the constants of the choice and adds how long a target has been silent.
    pub places_by_estimate: bool,
    /// Prompt tokens that an engine processes in a millisecond.
    pub read_per_ms: f64,
    /// Prompt tokens that an engine processes between two decoding steps.
    pub chunk_tokens: u64,
    /// The time of a decoding step with an empty batch, in ms. The data sheets give 3.4 to 6.4 ms.
    pub step_ms: f64,
    /// The time that each running request adds to a decoding step, in ms.
    pub step_request_ms: f64,
    /// The run time of one request of a service without engine, in ms. The data sheets give 15 and 30 ms.
    pub plain_ms: f64,
}

/// The work in progress at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetWork {
    /// The number of requests.
    pub requests: u64,
    /// The engine memory that they take up when they end, in tokens.
    pub memory: u64,
    /// Prompt tokens that the engine still has to process.
    pub pending_prefill: u64,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The engine's memory in tokens; 0 for a target without engine.
    pub memory_tokens: u64,
    /// The number of tokens, and thus of decoding steps, in an event of a stream.
    pub stride: u32,
}

/// What a request requires of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSize {
    /// The length of the prompt in tokens.
    pub input: u64,
    /// Prompt tokens that the target would have to process, as it doesn't have them cached.
    pub prefill: u64,
    /// The expected length of the answer in tokens.
    pub output: u64,
}

/// The size of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestSize {
    /// What it requires of an engine; `None` for a service without engine.
    pub engine: Option<EngineSize>,
    /// Whether the answer is a stream, whose first event comes before the rest has been generated.
    pub is_streaming: bool,
}

/// The estimated cost of a request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostEstimate {
    /// The time from sending the request to the first event of a stream, or to the answer otherwise, in ms.
    pub first_ms: f64,
    /// The longest pause of a stream at the target while this request's prompt and those before it are processed, in ms;
    /// 0 without an engine.
    pub pause_ms: f64,
    /// The part of a pause that follows from this request's prompt alone, in ms; 0 if there is none to process.
    pub read_pause_ms: f64,
    /// The time from the first event to the end, in ms.
    pub run_ms: f64,
    /// The factor by which work at the target takes longer than its data sheet says.
    pub pace: f64,
    /// How long the target has been silent beyond the estimate of a request that waits there, in ms; part of `first_ms`.
    pub silent_ms: f64,
    /// The part of `first_ms` that follows from the data sheet alone.
    pub sheet_ms: f64,
}

impl Default for CostSettings {
    fn default() -> CostSettings {
        CostSettings {
            always_active: false,
            places_by_estimate: false,
            read_per_ms: 43.0,
            chunk_tokens: 2_048,
            step_ms: 4.9,
            step_request_ms: 0.017,
            plain_ms: 30.0,
        }
    }
}

impl CostSettings {
    /// Returns the estimate for a target that works exactly as its data sheet says.
    pub(crate) fn estimate(&self, work: &TargetWork, request: &RequestSize) -> CostEstimate {
        let mut estimate = match &request.engine {
            Some(engine) => self.engine_times(work, engine, request.is_streaming),
            None => CostEstimate {
                first_ms: self.plain_ms * (1.0 + queue_share(work)),
                ..CostEstimate::default()
            },
        };
        estimate.pace = 1.0;
        estimate.sheet_ms = estimate.first_ms;
        estimate
    }

    fn engine_times(
        &self,
        work: &TargetWork,
        engine: &EngineSize,
        is_streaming: bool,
    ) -> CostEstimate {
        let running = work.requests.min(work.slots.into());
        let step = self.step_ms + self.step_request_ms * running as f64;
        let tokens = work.pending_prefill + engine.prefill;
        let chunks = tokens.div_ceil(self.chunk_tokens.max(1)).max(1);
        let prefill = tokens as f64 / self.read_per_ms + chunks as f64 * step;
        let run = engine.output as f64 * step;
        // The requests before it are taken to run as long as this one.
        let memory = work.memory_tokens.max(1) as f64;
        let committed = (work.memory + engine.input + engine.output) as f64;
        let shortage = (committed / memory - 1.0).max(0.0);
        let first = prefill + run * queue_share(work).max(shortage);
        let steps = u64::from(work.stride.max(1));
        // Between two events of a stream, the engine processes at most one chunk for each of the steps.
        let read_ms = |tokens: u64| tokens.min(steps * self.chunk_tokens) as f64 / self.read_per_ms;
        let pause_ms = steps as f64 * step + read_ms(tokens);
        let read_pause_ms = read_ms(engine.prefill);
        let (first_ms, run_ms) = if is_streaming { (first, run) } else { (first + run, 0.0) };
        CostEstimate { first_ms, pause_ms, read_pause_ms, run_ms, ..CostEstimate::default() }
    }
}

// Returns how many run times pass until a slot is free.
fn queue_share(work: &TargetWork) -> f64 {
    let slots = u64::from(work.slots.max(1));
    (work.requests + 1).saturating_sub(slots) as f64 / slots as f64
}
