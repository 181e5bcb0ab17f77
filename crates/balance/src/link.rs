//! Budget for the bytes sent to other regions.
//!
//! The link between regions is slow and billed by volume. Each router has a share of the budget of its availability
//! zone as a token bucket. A request is sent to another region only if its bytes fit into the bucket, and all bytes of
//! requests and answers are counted.

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of a link meter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// The rate at which the budget of this router refills, in bytes per second.
    pub bytes_per_second: u64,
    /// The time for which unused bytes accumulate.
    pub burst: ClockSpan,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings { bytes_per_second: 100_000, burst: ClockSpan::from_secs(10) }
    }
}

/// The byte budget of one router for the link to other regions.
#[derive(Clone, Debug)]
pub struct LinkMeter {
    settings: LinkSettings,
    /// Available bytes in thousandths, so that a refill of one millisecond is exact.
    available_milli: u64,
    refilled: ClockTime,
    /// Bytes sent and received.
    sent: u64,
    refused: u64,
}

impl LinkMeter {
    /// Returns a meter whose bucket is full at `now`.
    pub fn new(now: ClockTime, settings: LinkSettings) -> LinkMeter {
        let available_milli = capacity_milli(settings);
        LinkMeter { settings, available_milli, refilled: now, sent: 0, refused: 0 }
    }

    /// Changes the rate of refill and reduces the available bytes to the new capacity.
    pub fn set_rate(&mut self, now: ClockTime, bytes_per_second: u64) {
        self.refill(now);
        self.settings.bytes_per_second = bytes_per_second;
        self.available_milli = self.available_milli.min(capacity_milli(self.settings));
    }

    /// Returns whether the budget suffices for `bytes` now.
    pub fn allows(&self, now: ClockTime, bytes: u64) -> bool {
        self.level_milli(now) >= bytes.saturating_mul(1_000)
    }

    /// Takes `bytes` from the budget and returns whether it sufficed.
    pub fn take(&mut self, now: ClockTime, bytes: u64) -> bool {
        self.refill(now);
        if !self.allows(now, bytes) {
            self.refused += 1;
            return false;
        }
        self.available_milli -= bytes * 1_000;
        self.sent += bytes;
        true
    }

    /// Records bytes of an answer that arrived over the link; they reduce the available budget without a check.
    pub fn record_answer(&mut self, now: ClockTime, bytes: u64) {
        self.refill(now);
        self.available_milli = self.available_milli.saturating_sub(bytes.saturating_mul(1_000));
        self.sent += bytes;
    }

    /// Returns the number of bytes sent and received over the link since the meter was created.
    pub fn bytes(&self) -> u64 {
        self.sent
    }

    /// Returns the number of calls of [`LinkMeter::take`] that the budget refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn refill(&mut self, now: ClockTime) {
        self.available_milli = self.level_milli(now);
        self.refilled = self.refilled.max(now);
    }

    fn level_milli(&self, now: ClockTime) -> u64 {
        let earned =
            now.since(self.refilled).as_ms().saturating_mul(self.settings.bytes_per_second);
        self.available_milli.saturating_add(earned).min(capacity_milli(self.settings))
    }
}

fn capacity_milli(settings: LinkSettings) -> u64 {
    settings.bytes_per_second.saturating_mul(settings.burst.as_ms())
}
