//! What routers tell each other about parts of prompts that crash targets.

use serde::{Deserialize, Serialize};

use crate::{PartKey, WithheldPart};

/// A crash of a target that ended a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The target's tag.
    pub target: u32,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Whether the answer to the request was beginning.
    pub beginning: bool,
    /// Whether another target had lost the request before.
    pub retry: bool,
    /// The parts of the request's prompt.
    pub parts: Vec<PartKey>,
}

/// What a router tells the others about the quarantine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineNotes {
    /// Recent crashes.
    pub crashes: Vec<CrashReport>,
    /// Suspected parts on which an answer has just been complete.
    pub cleared: Vec<PartKey>,
    /// Parts that the sender withholds.
    pub withheld: Vec<WithheldPart>,
}

impl QuarantineNotes {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.withheld.is_empty()
    }

    /// Removes the least important entry; returns whether there was one.
    pub fn drop_least_important(&mut self) -> bool {
        let waiting = self.crashes.iter().rposition(|crash| !crash.beginning);
        if let Some(index) = waiting {
            self.crashes.remove(index);
            return true;
        }
        self.withheld.pop().is_some()
            || self.crashes.pop().is_some()
            || self.cleared.pop().is_some()
    }
}
