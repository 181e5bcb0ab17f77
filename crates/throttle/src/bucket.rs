//! A router's estimate of the bucket of one target.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use crate::RequestRate;

/// This router's place among the routers that may send requests to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPosition {
    /// The number of reachable routers that come before this one for the target. All routers must order each other alike.
    pub index: usize,
    /// The number of reachable routers, this one included.
    pub reachable: usize,
    /// The number of known routers, this one included.
    pub known: usize,
}

/// The requests of a peer to the target.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    incarnation: u64,
    total: u32,
}

/// The bucket of a target, and the requests that were taken out of it.
#[derive(Clone, Debug)]
pub(crate) struct RequestBucket {
    // Negative after requests that several routers sent at the same time.
    level: f64,
    filled_at: ClockTime,
    sent: u32,
    reported: u32,
    peers: BTreeMap<VmName, PeerCount>,
}

/// The requests that a bucket holds in addition to the inflow of [`BURST_SPAN`].
const BASE_BURST: f64 = 2.0;

/// The time whose inflow a bucket holds, so that a large rate can be used by requests that come unevenly.
const BURST_SPAN: ClockSpan = ClockSpan::from_ms(250);

/// The number of routers that take turns, in addition to two for each request per second. Requests that several routers
/// send before they hear of each other exceed the rate, so that a small rate can't be shared by many.
const BASE_TURNS: usize = 3;

/// The time between two reports of a router, for which it may use its part of the rate.
const REPORT_SPAN: ClockSpan = ClockSpan::from_ms(200);

/// The rate at which a target that takes no requests is still asked, as only an answer tells that its need has ended.
const MIN_RATE: f64 = 0.1;

/// The deepest level, in seconds of inflow: a wrong count of a peer must not block the target for long.
const MAX_DEBT_SECS: f64 = 4.0;

impl FleetPosition {
    // Returns the part of a target's rate, in requests per second, that the reachable routers may use.
    fn usable_rate(self, rate: RequestRate) -> f64 {
        rate.per_second().max(MIN_RATE) * self.reachable as f64 / self.known.max(1) as f64
    }

    // Returns the number of routers that take turns.
    fn turns(self, rate: f64) -> usize {
        (BASE_TURNS + (2.0 * rate) as usize).clamp(1, self.reachable.max(1))
    }
}

impl RequestBucket {
    pub(crate) fn new(now: ClockTime, level: f64) -> RequestBucket {
        RequestBucket { level, filled_at: now, sent: 0, reported: 0, peers: BTreeMap::new() }
    }

    /// Adds the inflow up to `now`.
    fn fill(&mut self, now: ClockTime, rate: f64) {
        let seconds = now.since(self.filled_at).as_ms() as f64 / 1_000.0;
        self.filled_at = now;
        self.level = (self.level + rate * seconds).clamp(-MAX_DEBT_SECS * rate, capacity(rate));
    }

    /// Returns whether this router may send a request now. `is_urgent` takes precedence over other routers.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may send one if all others use their turns.
    pub(crate) fn check(
        &mut self,
        now: ClockTime,
        rate: RequestRate,
        position: FleetPosition,
        is_urgent: bool,
    ) -> std::result::Result<(), ClockSpan> {
        let rate = position.usable_rate(rate);
        self.fill(now, rate);
        let turns = position.turns(rate);
        let rank = (position.index + turns - self.total() % turns) % turns;
        let step = (capacity(rate) - 1.0) / turns as f64;
        let threshold = if is_urgent { 1.0 } else { 1.0 + rank as f64 * step };
        let has_turn = is_urgent || position.index < turns;
        if has_turn && self.level >= threshold && !self.awaits_report(rate, position, turns) {
            return Ok(());
        }
        let missing = (1.0 + rank as f64 - self.level).max(1.0);
        Err(ClockSpan::from_ms((missing * 1_000.0 / rate) as u64))
    }

    // Returns whether the peers should first hear of the requests that were sent.
    fn awaits_report(&self, rate: f64, position: FleetPosition, turns: usize) -> bool {
        let span = REPORT_SPAN.as_ms() as f64 / 1_000.0;
        let max_unreported = 1 + (rate * span / turns as f64) as u32;
        position.reachable > 1 && self.sent.wrapping_sub(self.reported) >= max_unreported
    }

    // Returns the number of requests of all routers, as far as it is known.
    fn total(&self) -> usize {
        let peers = self.peers.values().map(|peer| peer.total);
        peers.fold(self.sent, u32::wrapping_add) as usize
    }

    pub(crate) fn take(&mut self) {
        self.level -= 1.0;
        self.sent = self.sent.wrapping_add(1);
    }

    /// Applies a peer's count. A peer that this router hears of for the first time counts by its estimate of the level, as
    /// nothing tells when it sent its requests.
    pub(crate) fn receive(&mut self, peer: &VmName, incarnation: u64, total: u32, level: f64) {
        let count = PeerCount { incarnation, total };
        match self.peers.insert(peer.clone(), count) {
            None => self.level = self.level.min(level),
            Some(known) if known.incarnation == incarnation => {
                self.level -= f64::from(total.saturating_sub(known.total));
            }
            Some(_) => self.level -= f64::from(total),
        }
    }

    /// Returns the number of requests that this router sent, and its estimate of the level, for a report.
    pub(crate) fn report(&mut self) -> (u32, f64) {
        self.reported = self.sent;
        (self.sent, self.level)
    }

    pub(crate) fn has_unreported(&self) -> bool {
        self.sent != self.reported
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    pub(crate) fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }
}

fn capacity(rate: f64) -> f64 {
    BASE_BURST + rate * BURST_SPAN.as_ms() as f64 / 1_000.0
}
