//! What client accounts may use over all routers together.
//!
//! An account may use `rate x window + burst` units in any window. Each router counts what it admitted in the last
//! window and tells its peers a few times a second. A router admits a request while its own count and the peers'
//! counts, brought forward by their age, stay below the limit. Peers that are not heard may be admitting on their own
//! on the other side of a cut, so each of them keeps an equal part of the limit to itself: both sides reserve the
//! other's part, and the sum stays within the limit.
//!
//! A router that starts again has forgotten what it admitted. It assumes that it had used its whole part evenly over the
//! window before, which wears off within a window. Ordinary use is far below the limit, so that nothing is refused for
//! this. An account that comes near its limit may have used all of it just before; it is marked as busy in the store,
//! under a lease of one window, and a router that finds the mark at its start assumes so for a whole window.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime};

use crate::{peers::PeerNote, rules::AccountRule, tag_of};

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

/// The routers of the fleet as far as they count for allowances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// All routers, this one included.
    pub members: usize,
    /// Those that were heard a short time ago, this one included.
    pub heard: usize,
}

/// The span of one count; counts are kept in such steps to bound their number.
const STEP: ClockSpan = ClockSpan::from_ms(100);

/// Admitted requests of late, from which the present rate is taken.
const RATE_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The part of its limit from which an account is busy. Ordinary use stays below it.
const BUSY_PART: f64 = 0.75;

/// The longest wait that a refused caller is told.
const MAX_WAIT: ClockSpan = ClockSpan::from_ms(2_000);

#[derive(Clone, Debug, Default)]
struct UsageCount {
    // One entry a step, oldest first.
    steps: VecDeque<(ClockTime, u64)>,
    total: u64,
}

/// The counts of this router by account.
#[derive(Clone, Debug)]
pub struct AllowanceTable {
    settings: AllowanceSettings,
    started: ClockTime,
    counts: BTreeMap<AccountName, UsageCount>,
    busy_at_start: BTreeSet<AccountName>,
}

impl UsageCount {
    fn add(&mut self, now: ClockTime, units: u64) {
        self.total += units;
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
        AllowanceTable { settings, started: now, counts: BTreeMap::new(), busy_at_start: BTreeSet::new() }
    }

    /// Returns the units that an account may use in a window.
    ///
    /// Half of what the operator tolerates beyond the limit is used, so that counts that lag refuse nobody who is
    /// within the limit; the other half covers what the lag lets through.
    pub fn limit(&self, rule: &AccountRule) -> u64 {
        let exact = rule.rate.saturating_mul(self.settings.window.as_ms()) / 1_000 + rule.burst;
        let slack = if rule.by_tokens { self.settings.slack / 2 } else { 0 };
        exact + (exact as f64 * self.settings.overage / 2.0) as u64 + slack
    }

    /// Admits a request of `units`, or returns when the caller should come back.
    ///
    /// # Errors
    ///
    /// Returns the time after which enough of the window has passed, if the limit is reached.
    pub fn admit<'a>(
        &mut self,
        now: ClockTime,
        rule: &AccountRule,
        units: u64,
        peers: impl Iterator<Item = (&'a PeerNote, ClockSpan)>,
        fleet: FleetSize,
    ) -> std::result::Result<(), ClockSpan> {
        if rule.rate == 0 && rule.burst == 0 {
            return Ok(());
        }
        let members = fleet.members.max(1) as u64;
        let limit = self.limit(rule);
        let ours = limit / members * fleet.heard.min(fleet.members) as u64;
        let used = self.used(now, rule, members) + self.used_by_peers(rule, peers);
        if used >= ours {
            let rate = (rule.rate / members * fleet.heard as u64).max(1);
            let wait = ClockSpan::from_ms((used - ours + units) * 1_000 / rate);
            return Err(wait.min(MAX_WAIT));
        }
        self.counts.entry(rule.name.clone()).or_default().add(now, units);
        Ok(())
    }

    /// Notes an account that was marked as busy when this router started.
    pub fn busy_at_start(&mut self, account: AccountName) {
        self.busy_at_start.insert(account);
    }

    /// Returns the accounts that are so near their limits that they should be marked as busy.
    pub fn busy<'a>(
        &mut self,
        now: ClockTime,
        rules: &[Arc<AccountRule>],
        peers: impl Iterator<Item = (&'a PeerNote, ClockSpan)> + Clone,
        members: usize,
    ) -> Vec<AccountName> {
        let mut busy = Vec::new();
        for rule in rules.iter().filter(|rule| rule.rate > 0 || rule.burst > 0) {
            let own = self.counts.get_mut(&rule.name).map_or(0, |count| {
                count.expire(now, self.settings.window);
                count.total
            });
            let used = own + self.used_by_peers(rule, peers.clone());
            // Notes hold assumed use after a start, which is no reason for a mark.
            let assumed = self.assumed(now, &rule.name, self.limit(rule)) * (members as u64 - 1)
                / members as u64;
            if used.saturating_sub(assumed) as f64 >= self.limit(rule) as f64 * BUSY_PART {
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

    fn used(&mut self, now: ClockTime, rule: &AccountRule, members: u64) -> u64 {
        let window = self.settings.window;
        let assumed = self.assumed(now, &rule.name, self.limit(rule) / members);
        let Some(count) = self.counts.get_mut(&rule.name) else { return assumed };
        count.expire(now, window);
        count.total + assumed
    }

    fn assumed(&self, now: ClockTime, account: &AccountName, part: u64) -> u64 {
        let window = self.settings.window.as_ms();
        let left = window.saturating_sub(now.since(self.started).as_ms());
        if !self.settings.restarted || left == 0 {
            0
        } else if self.busy_at_start.contains(account) {
            part
        } else {
            part * left / window
        }
    }

    fn used_by_peers<'a>(
        &self,
        rule: &AccountRule,
        peers: impl Iterator<Item = (&'a PeerNote, ClockSpan)>,
    ) -> u64 {
        let tag = tag_of(rule.name.as_str());
        let lines = peers.flat_map(|(note, age)| note.usage.iter().map(move |line| (line, age)));
        let ours = lines.filter(|((account, ..), _)| *account == tag);
        ours.map(|((_, units, rate), age)| units + u64::from(*rate) * age.as_ms() / 1_000).sum()
    }

    /// Returns what this router tells its peers: the account's tag, units in the window, units per second lately.
    pub fn report(
        &mut self,
        now: ClockTime,
        rules: &[Arc<AccountRule>],
        members: usize,
    ) -> Vec<(u32, u64, u32)> {
        let mut lines = Vec::new();
        for rule in rules.iter().filter(|rule| rule.rate > 0 || rule.burst > 0) {
            let used = self.used(now, rule, members.max(1) as u64);
            let rate = self.counts.get(&rule.name).map_or(0, |count| count.lately(now));
            if used > 0 {
                let rate = u32::try_from(rate).unwrap_or(u32::MAX);
                lines.push((tag_of(rule.name.as_str()), used, rate));
            }
        }
        lines
    }
}
