//! Clock types.
//!
//! All times are whole milliseconds since an arbitrary start of the node's own monotonic clock. Times of different
//! nodes are never compared: messages carry spans ("read 120 ms ago") instead of times.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A point in time on the node's monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

/// A length of time in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct ClockSpan(u64);

impl ClockTime {
    /// The start of the clock, zero milliseconds.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Returns the time `ms` milliseconds after the start of the clock.
    pub const fn from_ms(ms: u64) -> ClockTime {
        ClockTime(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: ClockTime) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(earlier.0))
    }
}

impl ClockSpan {
    /// A span of zero milliseconds.
    pub const ZERO: ClockSpan = ClockSpan(0);

    /// Returns a span of `ms` milliseconds.
    pub const fn from_ms(ms: u64) -> ClockSpan {
        ClockSpan(ms)
    }

    /// Returns a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> ClockSpan {
        ClockSpan(secs * 1_000)
    }

    /// Returns the length in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: ClockSpan) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(other.0))
    }
}

impl Add<ClockSpan> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: ClockSpan) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

impl AddAssign<ClockSpan> for ClockTime {
    fn add_assign(&mut self, span: ClockSpan) {
        *self = *self + span;
    }
}

impl Sub<ClockSpan> for ClockTime {
    type Output = ClockTime;

    fn sub(self, span: ClockSpan) -> ClockTime {
        ClockTime(self.0.saturating_sub(span.0))
    }
}

impl Add for ClockSpan {
    type Output = ClockSpan;

    fn add(self, other: ClockSpan) -> ClockSpan {
        ClockSpan(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

impl fmt::Display for ClockSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
