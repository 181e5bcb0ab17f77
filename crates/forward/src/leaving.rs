//! The runs of targets that are leaving.
//!
//! A target that leaves says so in its entry of the store, in its answers, or in both, in any order. Each of its runs is
//! told apart by its start, and one that leaves never takes requests again: no later entry, answer or listing of the store
//! changes that. A run is therefore remembered for as long as its entry is listed, and for a while afterwards, as the
//! store may return from an older copy.

use std::{cmp::Reverse, collections::BTreeMap};

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};

/// How a target says that it is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeavingSign {
    /// Its entry in the store says so.
    Entry,
    /// One of its answers says so.
    Answer,
}

/// What routers tell each other about a run of a target that is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// The target's tag.
    pub target: u32,
    /// When the run started, in Unix milliseconds.
    pub started_ms: u64,
    /// The sign that the first router saw.
    pub sign: LeavingSign,
    /// The time since that sign, in milliseconds.
    pub age_ms: u32,
    /// The time for which the sender hasn't known an entry of the run, in milliseconds; 0 while it knows one.
    pub unlisted_ms: u32,
}

/// A run of a target: the target's tag, and the start in Unix milliseconds.
pub(crate) type RunKey = (u32, u64);

#[derive(Clone, Copy, Debug)]
struct LeavingRun {
    sign: LeavingSign,
    heard_at: ClockTime,
    // The age of the sign at `heard_at`. It is kept separately because a time before the start of the process has no
    // `ClockTime`.
    prior_age: ClockSpan,
    // When the run was last known to be listed, or heard of, and for how long it had been unlisted then.
    listed_at: ClockTime,
    prior_unlisted: ClockSpan,
    // When a message to the peers last had the run; `None` before the first.
    sent_at: Option<ClockTime>,
}

/// All known runs that are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingTable {
    runs: BTreeMap<RunKey, LeavingRun>,
    has_news: bool,
}

/// How long a run is remembered that no router lists. The store returns from a copy that is some seconds old.
const MEMORY_SPAN: ClockSpan = ClockSpan::from_secs(60);

/// Limit of remembered runs that aren't listed.
const MAX_UNLISTED: usize = 512;

/// Limit of runs in a message that were heard of recently.
const MAX_NEWS: usize = 32;

/// Limit of other runs in a message, which are repeated for routers that missed them or started later.
const MAX_REPEATS: usize = 4;

impl LeavingNotice {
    /// Returns a notice of a sign that this router sees itself.
    pub(crate) fn own((target, started_ms): RunKey, sign: LeavingSign) -> LeavingNotice {
        LeavingNotice { target, started_ms, sign, age_ms: 0, unlisted_ms: 0 }
    }

    pub(crate) fn key(&self) -> RunKey {
        (self.target, self.started_ms)
    }
}

impl LeavingRun {
    fn unlisted(&self, now: ClockTime) -> ClockSpan {
        now.since(self.listed_at) + self.prior_unlisted
    }

    fn notice(&self, now: ClockTime, (target, started_ms): RunKey) -> LeavingNotice {
        let clamp = |span: ClockSpan| u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        LeavingNotice {
            target,
            started_ms,
            sign: self.sign,
            age_ms: clamp(now.since(self.heard_at) + self.prior_age),
            unlisted_ms: clamp(self.unlisted(now)),
        }
    }
}

impl LeavingTable {
    /// Records a sign; returns whether it is the first of its run.
    pub(crate) fn record(&mut self, now: ClockTime, notice: &LeavingNotice) -> bool {
        let unlisted = ClockSpan::from_ms(notice.unlisted_ms.into());
        if let Some(run) = self.runs.get_mut(&notice.key()) {
            if unlisted < run.unlisted(now) {
                (run.listed_at, run.prior_unlisted) = (now, unlisted);
            }
            return false;
        }
        if unlisted >= MEMORY_SPAN {
            return false;
        }
        let run = LeavingRun {
            sign: notice.sign,
            heard_at: now,
            prior_age: ClockSpan::from_ms(notice.age_ms.into()),
            listed_at: now,
            prior_unlisted: unlisted,
            sent_at: None,
        };
        self.runs.insert(notice.key(), run);
        true
    }

    /// Returns whether a run is leaving.
    pub(crate) fn contains(&self, key: RunKey) -> bool {
        self.runs.contains_key(&key)
    }

    /// Makes the next message to the peers urgent.
    pub(crate) fn announce(&mut self) {
        self.has_news = true;
    }

    /// Returns whether the next message to the peers is urgent.
    pub(crate) fn has_news(&self) -> bool {
        self.has_news
    }

    /// Removes the runs that no router has listed for [`MEMORY_SPAN`]; `is_listed` tells which this router does.
    pub(crate) fn expire(&mut self, now: ClockTime, is_listed: impl Fn(RunKey) -> bool) {
        for (key, run) in &mut self.runs {
            if is_listed(*key) {
                (run.listed_at, run.prior_unlisted) = (now, ClockSpan::ZERO);
            }
        }
        self.runs.retain(|_, run| run.unlisted(now) < MEMORY_SPAN);
        let mut unlisted: Vec<(ClockSpan, RunKey)> = self
            .runs
            .iter()
            .map(|(key, run)| (run.unlisted(now), *key))
            .filter(|(span, _)| *span > ClockSpan::ZERO)
            .collect();
        if unlisted.len() > MAX_UNLISTED {
            unlisted.sort_unstable_by_key(|entry| Reverse(*entry));
            for (_, key) in &unlisted[..unlisted.len() - MAX_UNLISTED] {
                self.runs.remove(key);
            }
        }
    }

    /// Returns the runs for a message to the peers: those first heard of within `news_span`, and some of the others. Runs
    /// that were sent least recently come first.
    pub(crate) fn notices(&mut self, now: ClockTime, news_span: ClockSpan) -> Vec<LeavingNotice> {
        self.has_news = false;
        let mut runs: Vec<_> = self.runs.iter_mut().collect();
        runs.sort_by_key(|(_, run)| run.sent_at);
        let (news, others): (Vec<_>, Vec<_>) = runs
            .into_iter()
            .partition(|(_, run)| run.sent_at.is_none() || now.since(run.heard_at) < news_span);
        let chosen = news.into_iter().take(MAX_NEWS).chain(others.into_iter().take(MAX_REPEATS));
        chosen
            .map(|(key, run)| {
                run.sent_at = Some(now);
                run.notice(now, *key)
            })
            .collect()
    }
}
