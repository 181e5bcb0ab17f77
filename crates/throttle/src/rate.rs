//! The rate that a target names.

use std::fmt;

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(u32);

/// What an answer of a target says about the rate of requests that the target takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit for the requests of all routers together.
    Named(RequestRate),
    /// It names a limit that can't be read.
    Unreadable,
}

impl RequestRate {
    /// Returns the rate for a number of requests per second; `None` if it is negative or not a number. A rate that is too
    /// large to be represented is as good as no limit and becomes the largest one.
    pub fn from_per_second(rate: f64) -> Option<RequestRate> {
        (rate >= 0.0).then_some(RequestRate((rate * 1_000.0) as u32))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Returns the number of requests in a span of time.
    pub fn requests_in(self, span: ClockSpan) -> f64 {
        self.per_second() * span.as_ms() as f64 / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}
