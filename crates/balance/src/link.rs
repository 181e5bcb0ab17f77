//! The bytes sent to other regions.
//!
//! The link between regions is slow and billed by volume. Each router holds a part of its zone's budget as a token
//! bucket: a request crosses only when its bytes fit, and every byte is counted.

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of a link meter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// The bytes per second that this router may send to other regions.
    pub bytes_per_second: u64,
    /// The time for which unused bytes are kept.
    pub burst: ClockSpan,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings { bytes_per_second: 100_000, burst: ClockSpan::from_secs(10) }
    }
}

/// The use of the link by one router.
#[derive(Clone, Debug)]
pub struct LinkMeter {
    settings: LinkSettings,
    /// Unused bytes in thousandths, so that a refill of one millisecond is exact.
    available_milli: u64,
    refilled: ClockTime,
    sent: u64,
    refused: u64,
}

impl LinkMeter {
    /// Returns a meter whose bucket is full at `now`.
    pub fn new(now: ClockTime, settings: LinkSettings) -> LinkMeter {
        let available_milli = capacity_milli(settings);
        LinkMeter { settings, available_milli, refilled: now, sent: 0, refused: 0 }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: ClockTime, bytes_per_second: u64) {
        self.refill(now);
        self.settings.bytes_per_second = bytes_per_second;
        self.available_milli = self.available_milli.min(capacity_milli(self.settings));
    }

    /// Returns whether `bytes` may be sent now.
    pub fn allows(&self, now: ClockTime, bytes: u64) -> bool {
        self.level_milli(now) >= bytes.saturating_mul(1_000)
    }

    /// Takes `bytes` from the budget and returns whether they may be sent.
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

    /// Counts bytes that came back over the link; they lower what may be sent next.
    pub fn record_answer(&mut self, now: ClockTime, bytes: u64) {
        self.refill(now);
        self.available_milli = self.available_milli.saturating_sub(bytes.saturating_mul(1_000));
        self.sent += bytes;
    }

    /// Returns the bytes counted so far.
    pub fn bytes(&self) -> u64 {
        self.sent
    }

    /// Returns the number of requests that the budget kept in the region.
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
