//! The work in progress at each target.
//!
//! A target reports its load only with its answers, and therefore late. The estimate is based on the requests that the
//! routers have sent and that have not ended: this router counts its own and learns its peers' from gossip.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, TargetName};

use crate::{peers::GossipMessage, tag_of};

/// A sum of work in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSum {
    /// The number of requests.
    pub requests: u64,
    /// The engine memory that they take up when they end, in tokens.
    pub memory: u64,
    /// Prompt tokens that the engine still has to process.
    pub pending_prefill: u64,
}

/// A router's work at one target, as carried in gossip messages: the target's tag and the fields of [`WorkSum`].
pub type LoadEntry = (u32, u16, u32, u32);

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes there.
    pub pace: PaceNotice,
}

/// What a load report says of how long work takes at the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PaceNotice {
    /// Nothing.
    #[default]
    Absent,
    /// Something that isn't a valid figure, and counts as nothing.
    Unreadable,
    /// The time in percent of the normal one.
    Percent(u32),
}

#[derive(Clone, Debug, Default)]
struct TargetWork {
    own: WorkSum,
    report: Option<(ClockTime, LoadReport)>,
    // This router's requests at the time of the report; the difference since then is added to the report.
    own_at_report: u64,
}

/// The work in progress at all targets: this router's by target name, the peers' in total by the target's tag.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    targets: BTreeMap<TargetName, TargetWork>,
    peers: BTreeMap<u32, WorkSum>,
}

/// The age from which a target's load report is ignored.
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

impl PaceNotice {
    /// The highest valid figure.
    pub const MAX_PERCENT: f64 = 10_000.0;

    /// Returns the notice for a figure; one that isn't positive or above [`MAX_PERCENT`](Self::MAX_PERCENT) is unreadable.
    pub fn from_percent(percent: f64) -> PaceNotice {
        if percent > 0.0 && percent <= PaceNotice::MAX_PERCENT {
            PaceNotice::Percent((percent.round() as u32).max(1))
        } else {
            PaceNotice::Unreadable
        }
    }
}

impl LoadTable {
    /// Adds work that this router has sent to a target.
    pub fn add_work(&mut self, target: &TargetName, work: WorkSum) {
        self.targets.entry(target.clone()).or_default().own.add(work);
    }

    /// Subtracts work that has ended, or the prompt tokens of a request whose answer has begun.
    pub fn remove_work(&mut self, target: &TargetName, work: WorkSum) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.own.subtract(work);
        }
    }

    /// Stores a target's load report.
    pub fn report(&mut self, now: ClockTime, target: &TargetName, report: LoadReport) {
        let entry = self.targets.entry(target.clone()).or_default();
        entry.own_at_report = entry.own.requests;
        entry.report = Some((now, report));
    }

    /// Removes a target together with this router's work in progress there.
    pub fn remove_target(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }

    /// Recomputes the peers' work from their last messages, leaving out that of peers which became unreachable.
    pub fn set_peers<'a>(&mut self, messages: impl Iterator<Item = &'a GossipMessage>) {
        self.peers.clear();
        messages.for_each(|message| self.replace_peer(&[], &message.loads));
    }

    /// Replaces the work that one peer reported before by what it reports now.
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

    /// Returns the estimated work in progress at a target.
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

    /// Returns the number of requests that a target last reported as waiting, or 0 if the report is too old.
    pub fn reported_waiting(&self, now: ClockTime, target: &TargetName) -> u32 {
        let report = self.targets.get(target).and_then(|entry| entry.report);
        let current = report.filter(|(at, _)| now.since(*at) < REPORT_MAX_AGE);
        current.map_or(0, |(_, report)| report.waiting)
    }

    /// Returns the number of this router's requests in progress at a target.
    pub fn own_requests(&self, target: &TargetName) -> u64 {
        self.targets.get(target).map_or(0, |entry| entry.own.requests)
    }

    /// Returns this router's own work at each target, for its gossip messages.
    pub fn own_work(&self) -> impl Iterator<Item = (&TargetName, WorkSum)> {
        let busy = self.targets.iter().filter(|(_, entry)| entry.own.requests > 0);
        busy.map(|(target, entry)| (target, entry.own))
    }
}
