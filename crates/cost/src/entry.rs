//! The gossip entry of one target.

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

/// What a router has observed at a target: 8 to 9 bytes in a message.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceEntry {
    /// The target's tag.
    pub tag: u32,
    /// The target's long-term factor, as a logarithm in steps of 1/24 of a factor of 2.
    pub factor: i8,
    /// By how much the target was slower or faster than that at its last response, on the same scale.
    pub deviation: i8,
    /// The age of the last response in steps of 20 ms; 255 if there was none within 5 s.
    pub response_age: u8,
    /// How long the target has been silent beyond the estimate of a request that waits there, in steps of 50 ms; 0 if it
    /// isn't silent.
    pub silence: u8,
}

const STEPS_PER_OCTAVE: f64 = 24.0;
const AGE_STEP_MS: u64 = 20;
const SILENCE_STEP_MS: u64 = 50;

pub(crate) fn encode_factor(log: f64) -> i8 {
    // The cast saturates.
    (log / std::f64::consts::LN_2 * STEPS_PER_OCTAVE).round() as i8
}

pub(crate) fn decode_factor(code: i8) -> f64 {
    f64::from(code) / STEPS_PER_OCTAVE * std::f64::consts::LN_2
}

pub(crate) fn encode_age(age: Option<ClockSpan>) -> u8 {
    age.map_or(u8::MAX, |age| u8::try_from(age.as_ms() / AGE_STEP_MS).unwrap_or(u8::MAX))
}

pub(crate) fn encode_silence(silence: Option<ClockSpan>) -> u8 {
    let steps = silence.map_or(0, |span| span.as_ms().div_ceil(SILENCE_STEP_MS));
    u8::try_from(steps).unwrap_or(u8::MAX)
}

impl PaceEntry {
    pub(crate) fn response_span(&self) -> Option<ClockSpan> {
        let age = (self.response_age != u8::MAX).then_some(u64::from(self.response_age));
        age.map(|age| ClockSpan::from_ms(age * AGE_STEP_MS))
    }

    pub(crate) fn silent_span(&self) -> Option<ClockSpan> {
        let is_silent = self.silence > 0;
        is_silent.then(|| ClockSpan::from_ms(u64::from(self.silence) * SILENCE_STEP_MS))
    }
}
