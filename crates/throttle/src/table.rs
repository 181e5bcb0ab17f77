//! The limits in force.

use std::collections::BTreeMap;

use godwitroad_base::ClockTime;

use crate::{LimitNotice, RequestRate};

/// How an answer changed what is known of a target's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing changed.
    Same,
    /// The target names a limit that is new or differs from the one before.
    Named(RequestRate),
    /// The target names no limit any more.
    Ended,
}

#[derive(Clone, Debug)]
struct TargetLimit {
    rate: RequestRate,
    // When the latest answer with a limit arrived.
    named_at: ClockTime,
}

/// The limits that targets name, by the targets' tags.
#[derive(Clone, Debug, Default)]
pub struct ThrottleTable {
    limits: BTreeMap<u32, TargetLimit>,
}

impl ThrottleTable {
    /// Applies what the answer to a request that was sent at `sent_at` says.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the limit was last named: answers to
    /// earlier requests may be older than the limit.
    pub fn observe(
        &mut self,
        now: ClockTime,
        target: u32,
        sent_at: ClockTime,
        notice: LimitNotice,
    ) -> LimitChange {
        let known = self.limits.get(&target);
        match notice {
            LimitNotice::Named(rate) => {
                let is_same = known.is_some_and(|known| known.rate == rate);
                self.limits.insert(target, TargetLimit { rate, named_at: now });
                if is_same { LimitChange::Same } else { LimitChange::Named(rate) }
            }
            LimitNotice::Absent if known.is_some_and(|known| sent_at > known.named_at) => {
                self.limits.remove(&target);
                LimitChange::Ended
            }
            LimitNotice::Absent | LimitNotice::Unreadable => LimitChange::Same,
        }
    }

    /// Removes a target that has left or was started again.
    pub fn remove(&mut self, target: u32) {
        self.limits.remove(&target);
    }

    /// Returns the limit of a target, if one is in force.
    pub fn limit(&self, target: u32) -> Option<RequestRate> {
        self.limits.get(&target).map(|limit| limit.rate)
    }
}
