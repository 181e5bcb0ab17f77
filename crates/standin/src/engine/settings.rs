//! The settings of an engine.

use godwitroad_base::{BuildName, ClockSpan};

use super::LoadedModel;

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The number of requests that run concurrently.
    pub slots: usize,
    /// The number of requests that may wait for a slot; further ones are rejected as not run.
    pub waiting_limit: usize,
    /// The time to compute one prompt block that isn't cached.
    pub prefill_per_block: ClockSpan,
    /// The time between two generated tokens.
    pub token_time: ClockSpan,
    /// The number of tokens of an answer if its request sets no limit.
    pub default_tokens: u64,
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// The delay after which a cache event can be read.
    pub event_delay: ClockSpan,
    /// The number of cache events in the buffer; a reader that requests older ones gets a snapshot.
    pub event_buffer: usize,
    /// The longest time that a read of cache events waits for an event.
    pub event_wait: ClockSpan,
    /// The age of the load that a load report describes.
    pub load_lag: ClockSpan,
    /// The models that are loaded at the start; if empty, requests for any model are served.
    pub models: Vec<LoadedModel>,
    /// The version of the weights if `models` is empty.
    pub version: String,
    /// The build of the engine, stated in its events and load reports; `None` states none.
    pub build: Option<BuildName>,
    /// Whether orders with an outdated fencing number are rejected.
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
            build: None,
            checks_fencing: true,
            load_time: ClockSpan::from_ms(500),
            incarnation: 1,
        }
    }
}
