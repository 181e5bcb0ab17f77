//! The number of targets that should cache a frequently used prefix.
//!
//! A prefix whose requests exceed the capacity of one target must be cached at several targets. The number of copies
//! should shrink again with the load. The load of each prefix, identified by its first block, is averaged over a short
//! window, and the number of targets is derived from it.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of the distribution of hot prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotSettings {
    /// The time constant of the exponential average of a prefix's load.
    pub window: ClockSpan,
    /// The share of a target's time that a prefix may use before it is assigned another target.
    pub target_share: f64,
    /// The maximum number of prefixes whose load is recorded.
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
    /// The time of targets that requests used, in milliseconds, decayed exponentially over the window.
    used_ms: f64,
}

/// The load of frequently used prefixes.
#[derive(Clone, Debug)]
pub struct HotPrefixes {
    settings: HotSettings,
    prefixes: BTreeMap<u64, PrefixLoad>,
}

impl HotPrefixes {
    /// Returns a state in which no prefix has any load.
    pub fn new(settings: HotSettings) -> HotPrefixes {
        HotPrefixes { settings, prefixes: BTreeMap::new() }
    }

    /// Records a request for the prefix `first` that uses `used_ms` milliseconds of a target's time.
    ///
    /// `routers` is the number of routers that share the traffic; the load is scaled up by it, because this router
    /// receives only its share.
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

    /// Returns the number of targets that should cache the prefix `first`, at least one.
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
