//! When callers that were refused return, and the places reserved for them.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, SeededRandom};
use godwitroad_throttle::ReturnQueue;

/// How long after its time a reserved place is kept.
const PLACE_LIFETIME: ClockSpan = ClockSpan::from_ms(300);

/// The maximum number of reserved places for one account and priority.
const MAX_PLACES: usize = 64;

/// The fraction of its remaining time up to which a caller follows the time to return.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// The refused callers of one account and priority.
#[derive(Clone, Debug, Default)]
struct RefusedCallers {
    queue: ReturnQueue,
    places: VecDeque<ClockTime>,
}

/// The refused callers of a service by priority and account.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnTable {
    refused: BTreeMap<(u8, Option<AccountName>), RefusedCallers>,
}

impl ReturnTable {
    /// Returns when a refused caller should return, which is after `first` at the earliest, and reserves a place for it. `per_second` is the rate at which this
    /// router places requests of the priority.
    pub(crate) fn add(
        &mut self,
        now: ClockTime,
        kind: (u8, Option<AccountName>),
        (first, time_left): (ClockSpan, ClockSpan),
        per_second: f64,
        random: &mut SeededRandom,
    ) -> ClockSpan {
        self.remove_expired(now);
        let waiting = self.refused.values().filter(|callers| !callers.places.is_empty()).count();
        let callers = self.refused.entry(kind).or_default();
        let rate = per_second / waiting.max(1) as f64;
        let wait = callers.queue.next_wait(now, first, rate, random);
        let longest = (time_left.as_ms() as f64 * HONOURED_FRACTION) as u64;
        // A caller that can't wait for its turn gives up if it is told so; an earlier return may still find a place.
        let wait = if wait.as_ms() > longest && longest > first.as_ms() {
            ClockSpan::from_ms(longest / 2 + random.below(longest / 2 + 1))
        } else {
            wait
        };
        if callers.places.len() < MAX_PLACES {
            let at = now + wait;
            let index = callers.places.partition_point(|place| *place <= at);
            callers.places.insert(index, at);
        }
        wait
    }

    /// Uses a reserved place whose time has come, and returns whether there was one.
    pub(crate) fn take_place(
        &mut self,
        now: ClockTime,
        priority: u8,
        account: &Option<AccountName>,
    ) -> bool {
        self.remove_expired(now);
        let Some(callers) = self.refused.get_mut(&(priority, account.clone())) else {
            return false;
        };
        if callers.places.front().is_some_and(|place| *place <= now) {
            callers.places.pop_front();
            return true;
        }
        false
    }

    fn remove_expired(&mut self, now: ClockTime) {
        let is_over = |place: &ClockTime| now.since(*place) > PLACE_LIFETIME;
        for callers in self.refused.values_mut() {
            while callers.places.front().is_some_and(is_over) {
                callers.places.pop_front();
            }
        }
        self.refused
            .retain(|_, callers| !callers.places.is_empty() || callers.queue.is_waiting(now));
    }
}
