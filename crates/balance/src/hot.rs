//! How many targets a hot prefix should have.
//!
//! A prefix that draws more work than one target can do needs copies; a prefix that cools down should not keep
//! them. The load of each first block is averaged over a short time, and the number of targets follows from it.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of the spread of hot prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotSettings {
    /// The time over which the load of a prefix is averaged.
    pub window: ClockSpan,
    /// The share of one target that a prefix may fill before it gets another target.
    pub target_share: f64,
    /// The number of prefixes remembered.
    pub max_prefixes: usize,
}

impl Default for HotSettings {
    fn default() -> HotSettings {
        HotSettings { window: ClockSpan::from_secs(5), target_share: 0.5, max_prefixes: 4_096 }
    }
}

#[derive(Clone, Copy, Debug)]
struct PrefixLoad {
    at: ClockTime,
    /// The milliseconds of a target's time that were used, decayed over the window.
    used_ms: f64,
}

/// The load of each prefix.
#[derive(Clone, Debug)]
pub struct HotPrefixes {
    settings: HotSettings,
    prefixes: BTreeMap<u64, PrefixLoad>,
}

impl HotPrefixes {
    /// Returns a record without any load.
    pub fn new(settings: HotSettings) -> HotPrefixes {
        HotPrefixes { settings, prefixes: BTreeMap::new() }
    }

    /// Counts a request for the prefix `first` that uses `used_ms` milliseconds of a target's time.
    ///
    /// `routers` is the number of routers that share the traffic, of which this one sees its part only.
    pub fn record(&mut self, now: ClockTime, first: u64, used_ms: f64, routers: usize) {
        if self.prefixes.len() >= self.settings.max_prefixes && !self.prefixes.contains_key(&first)
        {
            let window = self.settings.window;
            self.prefixes.retain(|_, load| now.since(load.at) < window);
            if self.prefixes.len() >= self.settings.max_prefixes {
                return;
            }
        }
        let earlier = self.used_ms(now, first);
        let used_ms = earlier + used_ms * routers.max(1) as f64;
        self.prefixes.insert(first, PrefixLoad { at: now, used_ms });
    }

    /// Returns the number of targets that the prefix `first` should have.
    pub fn desired_targets(&self, now: ClockTime, first: u64) -> usize {
        let busy = self.used_ms(now, first) / self.settings.window.as_ms().max(1) as f64;
        (busy / self.settings.target_share).ceil().max(1.0) as usize
    }

    fn used_ms(&self, now: ClockTime, first: u64) -> f64 {
        let Some(load) = self.prefixes.get(&first) else { return 0.0 };
        let window = self.settings.window.as_ms().max(1) as f64;
        load.used_ms * (-(now.since(load.at).as_ms() as f64) / window).exp()
    }
}
