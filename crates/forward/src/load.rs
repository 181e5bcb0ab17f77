//! The work under way at each target.
//!
//! A target's load report comes with answers and lags. What counts is the work that the routers have sent
//! and not yet seen end: this router knows its own at once and its peers' from their notes.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, TargetName};

use crate::{peers::GossipMessage, tag_of};

/// Work under way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSum {
    /// Requests.
    pub requests: u64,
    /// Tokens of memory that they take at their end.
    pub memory: u64,
    /// Prompt tokens that are still to be read.
    pub pending_prefill: u64,
}

/// A router's work at one target, as its notes tell it: the target's tag, requests, tokens of memory, tokens yet to be
/// read.
pub type LoadEntry = (u32, u16, u32, u32);

/// A target's report of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

#[derive(Clone, Debug, Default)]
struct TargetWork {
    own: WorkSum,
    report: Option<(ClockTime, LoadReport)>,
    // The own requests at the time of the report, to bring it forward.
    own_at_report: u64,
}

/// The work at all targets.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    targets: BTreeMap<TargetName, TargetWork>,
    peers: BTreeMap<u32, WorkSum>,
}

/// The age after which a target's report no longer counts.
const REPORT_MAX_AGE: ClockSpan = ClockSpan::from_ms(400);

fn entry_work(entry: &LoadEntry) -> (u32, WorkSum) {
    let (tag, requests, memory, pending_prefill) = *entry;
    let sum = WorkSum {
        requests: requests.into(),
        memory: memory.into(),
        pending_prefill: pending_prefill.into(),
    };
    (tag, sum)
}

impl WorkSum {
    fn add(&mut self, other: WorkSum) {
        self.requests += other.requests;
        self.memory += other.memory;
        self.pending_prefill += other.pending_prefill;
    }

    fn subtract(&mut self, other: WorkSum) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory = self.memory.saturating_sub(other.memory);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
    }
}

impl LoadTable {
    /// Adds work that was sent.
    pub fn add_work(&mut self, target: &TargetName, work: WorkSum) {
        self.targets.entry(target.clone()).or_default().own.add(work);
    }

    /// Takes off work that ended, or the unread tokens of a request that has begun to answer.
    pub fn remove_work(&mut self, target: &TargetName, work: WorkSum) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.own.subtract(work);
        }
    }

    /// Takes a target's report.
    pub fn report(&mut self, now: ClockTime, target: &TargetName, report: LoadReport) {
        let entry = self.targets.entry(target.clone()).or_default();
        entry.own_at_report = entry.own.requests;
        entry.report = Some((now, report));
    }

    /// Forgets a target that is gone. Work of its own that is still under way is forgotten with it.
    pub fn remove_target(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }

    /// Adds up the peers' work anew from what their last notes say, as peers may have fallen silent.
    pub fn set_peers<'a>(&mut self, messages: impl Iterator<Item = &'a GossipMessage>) {
        self.peers.clear();
        messages.for_each(|message| self.replace_peer(&[], &message.loads));
    }

    /// Replaces what one peer told before by what it tells now.
    pub fn replace_peer(&mut self, before: &[LoadEntry], now: &[LoadEntry]) {
        for (tag, work) in before.iter().map(entry_work) {
            if let Some(sum) = self.peers.get_mut(&tag) {
                sum.subtract(work);
            }
        }
        for (tag, work) in now.iter().map(entry_work) {
            self.peers.entry(tag).or_default().add(work);
        }
    }

    /// Returns the work at a target as far as it is known.
    pub fn work(&self, now: ClockTime, target: &TargetName) -> WorkSum {
        let mut sum = self.peers.get(&tag_of(target.as_str())).copied().unwrap_or_default();
        let Some(entry) = self.targets.get(target) else { return sum };
        sum.add(entry.own);
        if let Some((at, report)) = entry.report
            && now.since(at) < REPORT_MAX_AGE
        {
            let reported = u64::from(report.running) + u64::from(report.waiting);
            let since = entry.own.requests.saturating_sub(entry.own_at_report);
            sum.requests = sum.requests.max(reported + since);
        }
        sum
    }

    /// Returns the work of this router alone, for its notes to the peers.
    pub fn own_work(&self) -> impl Iterator<Item = (&TargetName, WorkSum)> {
        let busy = self.targets.iter().filter(|(_, entry)| entry.own.requests > 0);
        busy.map(|(target, entry)| (target, entry.own))
    }
}
