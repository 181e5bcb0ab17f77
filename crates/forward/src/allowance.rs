//! What client accounts may use over all routers together.
//!
//! An account may use `rate x window + burst` units in any window. Each router counts what it admitted in the last
//! window and tells its peers a few times a second. A router admits a request while its own count and the peers'
//! counts, brought forward by their age, stay below the limit. Peers that are not heard may be admitting on their own
//! on the other side of a cut, so each of them keeps an equal part of the limit to itself, or what it had used when it
//! was last heard if that is more: both sides reserve the other's part, and the sum stays within the limit.
//!
//! A router that starts again has forgotten what it admitted. It assumes for a window that it had used its whole part
//! just before; the other routers' counts leave enough room for it. Where most routers start again together, that would
//! refuse everything, so each assumes that its use was spread evenly over the window before, which wears off. An account that comes near its limit may have used all of it just before; it is marked as busy in the store,
//! under a lease of one window, and a router that finds the mark at its start assumes so for a whole window.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime};

use crate::{
    peers::{PEER_SILENCE, PeerState, PeerTable},
    rules::AccountRule,
    tag_of,
};

/// The settings of the counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// The window over which the operator counts.
    pub window: ClockSpan,
    /// Whether this router may have admitted requests before its start.
    pub restarted: bool,
    /// The part by which an account may exceed its limit, as the operator tolerates it.
    pub overage: f64,
    /// Units by which an account may exceed its limit besides.
    pub slack: u64,
}

impl Default for AllowanceSettings {
    fn default() -> AllowanceSettings {
        AllowanceSettings { window: ClockSpan::from_secs(8), restarted: true, overage: 0.0, slack: 0 }
    }
}

/// The span of one count; counts are kept in such steps to bound their number.
const STEP: ClockSpan = ClockSpan::from_ms(100);

/// Admitted requests of late, from which the present rate is taken.
const RATE_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The part of what the heard routers may admit from which an account is busy. Ordinary use stays below it.
const BUSY_PART: f64 = 0.75;

/// The part of a limit, as a divisor, that a router may admit before it tells its peers at once.
const NEWS_PART: u64 = 50;

/// The part of the tolerance that is used. Histories of cuts and kills let through up to two thirds of it besides.
const TOLERANCE_PART: f64 = 0.25;

/// The time between a router's last note and its end, mostly.
const LAST_SPAN: ClockSpan = ClockSpan::from_ms(200);

/// The longest wait that a refused caller is told.
const MAX_WAIT: ClockSpan = ClockSpan::from_ms(2_000);

#[derive(Clone, Debug, Default)]
struct UsageCount {
    // One entry a step, oldest first.
    steps: VecDeque<(ClockTime, u64)>,
    total: u64,
    // Admitted since the peers were told.
    untold: u64,
}

/// The counts of this router by account.
#[derive(Clone, Debug)]
pub struct AllowanceTable {
    settings: AllowanceSettings,
    started: ClockTime,
    counts: BTreeMap<AccountName, UsageCount>,
    busy_at_start: BTreeSet<AccountName>,
    has_news: bool,
}

impl UsageCount {
    fn add(&mut self, now: ClockTime, units: u64) {
        self.total += units;
        self.untold += units;
        match self.steps.back_mut() {
            Some((step, sum)) if now.since(*step) < STEP => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    // A step counts until its youngest request has left the window.
    fn expire(&mut self, now: ClockTime, window: ClockSpan) {
        while let Some(&(step, units)) = self.steps.front()
            && now.since(step) > window + STEP
        {
            self.steps.pop_front();
            self.total -= units;
        }
    }

    fn lately(&self, now: ClockTime) -> u64 {
        let recent = self.steps.iter().rev().take_while(|(step, _)| now.since(*step) < RATE_SPAN);
        recent.map(|(_, units)| units).sum()
    }
}

impl AllowanceTable {
    /// Returns empty counts.
    pub fn new(now: ClockTime, settings: AllowanceSettings) -> AllowanceTable {
        AllowanceTable { settings, started: now, counts: BTreeMap::new(), busy_at_start: BTreeSet::new(), has_news: false }
    }

    /// Returns the units that an account may use in a window.
    ///
    /// A part of what the operator tolerates beyond the limit is used, so that counts that lag refuse nobody who is
    /// within the limit; the rest covers what the lag lets through.
    pub fn limit(&self, rule: &AccountRule) -> u64 {
        let exact = rule.rate.saturating_mul(self.settings.window.as_ms()) / 1_000 + rule.burst;
        let slack = if rule.by_tokens { self.settings.slack as f64 } else { 0.0 };
        exact + ((exact as f64 * self.settings.overage + slack) * TOLERANCE_PART) as u64
    }

    /// Admits a request of `units`, or returns when the caller should come back.
    ///
    /// # Errors
    ///
    /// Returns the time after which enough of the window has passed, if the limit is reached.
    pub fn admit(
        &mut self,
        now: ClockTime,
        rule: &AccountRule,
        units: u64,
        peers: &PeerTable,
    ) -> std::result::Result<(), ClockSpan> {
        if rule.rate == 0 && rule.burst == 0 {
            return Ok(());
        }
        let limit = self.limit(rule);
        let others = self.used_by_peers(now, rule, peers) + self.reserved(now, rule, peers);
        let used = self.used(now, rule, peers) + others;
        if used >= limit {
            let heard = peers.heard(now).count() as u64 + 1;
            let rate = (rule.rate / (peers.len() as u64 + 1) * heard).max(1);
            let wait = ClockSpan::from_ms((used - limit + units) * 1_000 / rate);
            return Err(wait.min(MAX_WAIT));
        }
        let count = self.counts.entry(rule.name.clone()).or_default();
        count.add(now, units);
        self.has_news |= count.untold >= limit / NEWS_PART;
        Ok(())
    }

    /// Returns whether the peers should be told at once what was admitted.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Notes an account that was marked as busy when this router started.
    pub fn busy_at_start(&mut self, account: AccountName) {
        self.busy_at_start.insert(account);
    }

    /// Returns the accounts that are so near their limits that they should be marked as busy.
    pub fn busy(
        &mut self,
        now: ClockTime,
        rules: &[Arc<AccountRule>],
        peers: &PeerTable,
    ) -> Vec<AccountName> {
        let mut busy = Vec::new();
        for rule in rules.iter().filter(|rule| rule.rate > 0 || rule.burst > 0) {
            let own = self.counts.get_mut(&rule.name).map_or(0, |count| {
                count.expire(now, self.settings.window);
                count.total
            });
            let used = own + self.used_by_peers(now, rule, peers);
            // Notes hold assumed use after a start, which is no reason for a mark.
            let assumed = self.assumed(now, rule, peers) * peers.len() as u64;
            let free = self.limit(rule).saturating_sub(self.reserved(now, rule, peers));
            if used.saturating_sub(assumed) as f64 >= free as f64 * BUSY_PART {
                busy.push(rule.name.clone());
            }
        }
        busy
    }

    /// Gives back the units of a request that didn't run.
    pub fn give_back(&mut self, account: &AccountName, units: u64) {
        let Some(count) = self.counts.get_mut(account) else { return };
        if let Some((_, sum)) = count.steps.back_mut() {
            let back = units.min(*sum);
            *sum -= back;
            count.total -= back;
        }
    }

    fn used(&mut self, now: ClockTime, rule: &AccountRule, peers: &PeerTable) -> u64 {
        let window = self.settings.window;
        let assumed = self.assumed(now, rule, peers);
        let Some(count) = self.counts.get_mut(&rule.name) else { return assumed };
        count.expire(now, window);
        count.total + assumed
    }

    fn assumed(&self, now: ClockTime, rule: &AccountRule, peers: &PeerTable) -> u64 {
        let part = self.limit(rule) / (peers.len() as u64 + 1);
        let window = self.settings.window.as_ms();
        let left = window.saturating_sub(now.since(self.started).as_ms());
        if !self.settings.restarted || left == 0 {
            return 0;
        }
        let fresh = peers.heard(now).filter(|(note, _)| u64::from(note.uptime_ms) < window).count();
        let is_herd = fresh > peers.len() / 2;
        if !is_herd || self.busy_at_start.contains(&rule.name) {
            part
        } else {
            part * left / window
        }
    }

    // What the peers that are heard have used.
    fn used_by_peers(&self, now: ClockTime, rule: &AccountRule, peers: &PeerTable) -> u64 {
        let tag = tag_of(rule.name.as_str());
        let part = self.limit(rule) / (peers.len() as u64 + 1);
        let silence = PEER_SILENCE.as_ms();
        let heard = peers.iter().filter(|peer| peer.is_heard(now));
        heard
            .map(|peer| {
                let age = now.since(peer.heard.unwrap_or(now)).as_ms();
                let line = peer.note.as_ref().and_then(|note| line_of(&note.usage, tag));
                let told = line.map_or(0, |(units, rate)| units + u64::from(rate) * age / 1_000);
                // As its note grows old, it may have been cut off and be using its part.
                let told = told.max(part * age.min(silence) / silence);
                told + self.lost_by(now, peer, tag, part)
            })
            .sum()
    }

    // What earlier runs of a peer used beyond the equal part that the run after them assumes.
    fn lost_by(&self, now: ClockTime, peer: &PeerState, tag: u32, part: u64) -> u64 {
        let recent = peer.earlier.iter().filter(|(heard, _)| self.is_recent(now, *heard));
        let lines = recent.filter_map(|(_, usage)| line_of(usage, tag));
        let last = |rate: u32| u64::from(rate) * LAST_SPAN.as_ms() / 1_000;
        lines.map(|(units, rate)| (units + last(rate)).saturating_sub(part)).sum()
    }

    // What the peers that are not heard may use, and may have used.
    fn reserved(&self, now: ClockTime, rule: &AccountRule, peers: &PeerTable) -> u64 {
        let tag = tag_of(rule.name.as_str());
        let part = self.limit(rule) / (peers.len() as u64 + 1);
        let silent = peers.iter().filter(|peer| !peer.is_heard(now));
        silent
            .map(|peer| {
                let last = peer.heard.filter(|heard| self.is_recent(now, *heard));
                let note = last.and(peer.note.as_ref());
                let used = note.and_then(|note| line_of(&note.usage, tag));
                // It went on for some time before it could notice the silence.
                let went_on = |rate: u32| u64::from(rate) * PEER_SILENCE.as_ms() / 1_000;
                let used = used.map_or(part, |(units, rate)| (units + went_on(rate)).max(part));
                used + self.lost_by(now, peer, tag, part)
            })
            .sum()
    }

    fn is_recent(&self, now: ClockTime, heard: ClockTime) -> bool {
        now.since(heard) <= self.settings.window
    }

    /// Returns what this router tells its peers: the account's tag, units in the window, units per second lately.
    pub fn report(
        &mut self,
        now: ClockTime,
        rules: &[Arc<AccountRule>],
        peers: &PeerTable,
    ) -> Vec<(u32, u64, u32)> {
        self.has_news = false;
        let mut lines = Vec::new();
        for rule in rules.iter().filter(|rule| rule.rate > 0 || rule.burst > 0) {
            let used = self.used(now, rule, peers);
            let rate = self.counts.get_mut(&rule.name).map_or(0, |count| {
                count.untold = 0;
                count.lately(now)
            });
            if used > 0 {
                let rate = u32::try_from(rate).unwrap_or(u32::MAX);
                lines.push((tag_of(rule.name.as_str()), used, rate));
            }
        }
        lines
    }
}

fn line_of(usage: &[(u32, u64, u32)], tag: u32) -> Option<(u64, u32)> {
    let line = usage.iter().find(|(account, ..)| *account == tag);
    line.map(|(_, units, rate)| (*units, *rate))
}
