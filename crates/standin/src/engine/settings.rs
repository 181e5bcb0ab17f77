//! The settings of an engine.

use godwitroad_base::ClockSpan;

use super::LoadedModel;

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The number of requests that run at once.
    pub slots: usize,
    /// The number of requests that may wait; more are refused as not run.
    pub waiting_limit: usize,
    /// The time to compute one prompt piece that isn't cached.
    pub prefill_per_block: ClockSpan,
    /// The time between two tokens.
    pub token_time: ClockSpan,
    /// The number of tokens of an answer whose request sets no limit.
    pub default_tokens: u64,
    /// The number of pieces that the prefix cache holds.
    pub cache_blocks: usize,
    /// The time after which a cache event can be read.
    pub event_delay: ClockSpan,
    /// The number of cache events that are kept; a reader that asks for older ones gets a snapshot.
    pub event_buffer: usize,
    /// The longest time that a read of cache events waits for one.
    pub event_wait: ClockSpan,
    /// The age of load reports.
    pub load_lag: ClockSpan,
    /// The models that are loaded at the start; none means that every model is served under its own name.
    pub models: Vec<LoadedModel>,
    /// The version of the weights when `models` names none.
    pub version: String,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The time to load a model.
    pub load_time: ClockSpan,
    /// The incarnation at the start.
    pub incarnation: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            slots: 8,
            waiting_limit: 256,
            prefill_per_block: ClockSpan::from_ms(20),
            token_time: ClockSpan::from_ms(2),
            default_tokens: 16,
            cache_blocks: 4_096,
            event_delay: ClockSpan::ZERO,
            event_buffer: 4_096,
            event_wait: ClockSpan::from_secs(1),
            load_lag: ClockSpan::ZERO,
            models: Vec::new(),
            version: "v1".into(),
            checks_fencing: true,
            load_time: ClockSpan::from_ms(500),
            incarnation: 1,
        }
    }
}
