//! What client accounts may use over all routers together.
//!
//! An account has one bucket for the whole fleet: it fills at the account's rate up to its burst, and every admitted
//! request takes its units out. Each router keeps the bucket as it sees it. It takes out its own requests at once and
//! its peers' when their notes tell of them; what peers may have admitted since their last notes is held back.
//!
//! A router that is not heard may be on the other side of a cut and admit on its own. Once its notes are overdue, its
//! part of what was left and of what flows in since is held back; once it counts as not heard, that part is taken out
//! and the bucket fills at the rate of the routers that are heard. The other side does the same, and the parts never
//! add up to more than the whole. When a router is heard again its part joins the rate and the burst, but not the
//! level, which the other side may have used.
//!
//! A router that starts again begins with an empty bucket. As the bucket fills at the full rate, which ordinary use
//! stays below, hardly anything is refused for this, and a restart of all routers never refills an allowance.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, VmName};

use crate::{
    peers::{GossipMessage, PeerTable},
    rules::AccountRule,
    tag_of,
};

/// The settings of the buckets.
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
        let window = ClockSpan::from_secs(8);
        AllowanceSettings { window, restarted: true, overage: 0.0, slack: 0 }
    }
}

/// An account's use at one router, as its notes tell it.
pub type UsageEntry = (u32, u64, u32);

/// The span over which the present rate of admission is measured.
const RATE_INTERVAL: ClockSpan = ClockSpan::from_ms(500);

/// The time between a router's last note and its end, mostly.
const UNREPORTED_SPAN: ClockSpan = ClockSpan::from_ms(200);

/// The part of a peer's silence from which it may be cut off: a note and its delay late.
const PARTITION_DOUBT_START: f64 = 0.3;

/// The part of a peer's silence from which its whole part is held back.
const PARTITION_DOUBT_END: f64 = 0.6;

/// The part of a burst, as a divisor, that a router may admit before it tells its peers at once.
const REPORT_BURST_DIVISOR: f64 = 8.0;

/// The part of the tolerance that is used. Histories of cuts and kills let through some of the rest.
const TOLERANCE_FRACTION: f64 = 0.8;

/// The part of what is used of the tolerance that goes into the rate; the rest goes into the burst.
const TOLERANCE_RATE_FRACTION: f64 = 0.75;

/// The longest wait that a refused caller is told.
const MAX_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(2_000);

/// Own admissions, and how many a second lately.
#[derive(Clone, Copy, Debug, Default)]
struct LocalUsage {
    total: u64,
    reported: u64,
    last_admitted: ClockTime,
    // The rate of the span before and the admissions of the present one.
    rate: u64,
    interval_start: ClockTime,
    in_interval: u64,
}

#[derive(Clone, Debug)]
struct AccountBucket {
    size: BucketSize,
    // Below zero after a request that was larger than what was left.
    level: f64,
    last_filled: ClockTime,
    local: LocalUsage,
    // The totals that the peers told last.
    peers: BTreeMap<VmName, PeerUsage>,
}

/// The size and the rate of an account's bucket, for the whole fleet.
#[derive(Clone, Copy, Debug)]
struct BucketSize {
    rate: f64,
    burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    total: u64,
    rate: u32,
    last_received: ClockTime,
    // The silence after which it counts as not heard.
    timeout: ClockSpan,
    // What was left in the bucket then.
    remaining: f64,
}

/// The buckets as this router sees them.
#[derive(Clone, Debug)]
pub struct AllowanceTable {
    settings: AllowanceSettings,
    buckets: BTreeMap<AccountName, AccountBucket>,
    // The peers that were heard when the buckets were last shared.
    reachable: BTreeSet<VmName>,
    needs_prompt_report: bool,
}

impl LocalUsage {
    fn add(&mut self, now: ClockTime, units: u64) {
        self.roll_interval(now);
        self.last_admitted = now;
        self.total += units;
        self.in_interval += units;
    }

    fn roll_interval(&mut self, now: ClockTime) {
        let passed = now.since(self.interval_start);
        if passed >= RATE_INTERVAL {
            self.rate = self.in_interval * 1_000 / passed.as_ms();
            self.in_interval = 0;
            self.interval_start = now;
        }
    }

    fn rate(&self) -> u64 {
        self.rate.max(self.in_interval * 1_000 / RATE_INTERVAL.as_ms())
    }
}

impl PeerUsage {
    // What the peer may have admitted since it was heard: as much as lately, or, if it is cut off, its own part.
    fn reserved(&self, now: ClockTime, size: BucketSize, members: usize) -> f64 {
        let seconds = now.since(self.last_received).as_ms() as f64 / 1_000.0;
        let recent_use = f64::from(self.rate) * seconds;
        let fleet_fraction = (self.remaining + size.rate * seconds) / members as f64;
        let overdue = seconds * 1_000.0 / self.timeout.as_ms().max(1) as f64;
        let doubt =
            (overdue - PARTITION_DOUBT_START) / (PARTITION_DOUBT_END - PARTITION_DOUBT_START);
        recent_use.max(fleet_fraction * doubt.clamp(0.0, 1.0))
    }
}

impl AccountBucket {
    // Fills the bucket up to now with what flows in for a part of the fleet.
    fn fill(&mut self, now: ClockTime, fleet_fraction: f64) {
        let passed = now.since(self.last_filled).as_ms() as f64 / 1_000.0;
        self.last_filled = now;
        self.level = (self.level + self.size.rate * fleet_fraction * passed)
            .min(self.size.burst * fleet_fraction);
    }

    // What peers may have admitted since their last notes.
    fn reserved(&self, now: ClockTime, members: usize) -> f64 {
        let recent =
            self.peers.values().filter(|peer| now.since(peer.last_received) < peer.timeout);
        recent.map(|peer| peer.reserved(now, self.size, members)).sum()
    }

    // Takes out what belongs to a peer that is no longer heard: it goes on with its part on its own.
    fn deduct_lost_peer(&mut self, now: ClockTime, members: usize, peer: &VmName) {
        self.level -= match self.peers.remove(peer) {
            Some(peer) => peer.reserved(now, self.size, members),
            None => self.level.max(0.0) / members as f64,
        };
    }

    fn receive(
        &mut self,
        now: ClockTime,
        message: &GossipMessage,
        entry: Option<&UsageEntry>,
        timeout: ClockSpan,
    ) {
        // A note has room for some lines only; what it lacks stays as it was told last.
        let previous = self.peers.get(&message.place.vm);
        let known = previous.filter(|previous| previous.incarnation == message.incarnation);
        let known = known.map_or((0, 0), |previous| (previous.total, previous.rate));
        let (total, rate) = entry.map_or(known, |(_, total, rate)| (*total, *rate));
        let remaining = self.level.max(0.0);
        let incarnation = message.incarnation;
        let current =
            PeerUsage { incarnation, total, rate, last_received: now, timeout, remaining };
        let Some(previous) = self.peers.insert(message.place.vm.clone(), current) else { return };
        if now.since(previous.last_received) >= previous.timeout {
            // It used its own part while it was not heard.
            return;
        }
        let used = if previous.incarnation == message.incarnation {
            total.saturating_sub(previous.total)
        } else {
            // What it admitted between its last note and its end is not told any more.
            total + u64::from(previous.rate) * UNREPORTED_SPAN.as_ms() / 1_000
        };
        self.level -= used as f64;
    }
}

impl AllowanceTable {
    /// Returns full buckets at the first start of the fleet, and empty ones otherwise.
    pub fn new(settings: AllowanceSettings) -> AllowanceTable {
        AllowanceTable {
            settings,
            buckets: BTreeMap::new(),
            reachable: BTreeSet::new(),
            needs_prompt_report: false,
        }
    }

    /// Returns the size and the rate of an account's bucket.
    ///
    /// A part of what the operator tolerates beyond the limit is added, so that counts that lag refuse nobody who is
    /// within the limit; the rest covers what the lag lets through. Most of it goes into the rate: in a window the sum
    /// is the same, but an account that asks too much all the time, and one whose bucket starts empty, get more of it.
    fn bucket_size(&self, rule: &AccountRule) -> BucketSize {
        let window = self.settings.window.as_ms() as f64 / 1_000.0;
        let exact = rule.rate as f64 * window + rule.burst as f64;
        let slack = if rule.by_tokens { self.settings.slack as f64 } else { 0.0 };
        let used = (exact * self.settings.overage + slack) * TOLERANCE_FRACTION;
        BucketSize {
            rate: rule.rate as f64 + used * TOLERANCE_RATE_FRACTION / window,
            burst: rule.burst as f64 + used * (1.0 - TOLERANCE_RATE_FRACTION),
        }
    }

    // Shares the levels when other peers are heard than before.
    //
    // What counts is who is heard, not how many: the part of a router that is heard no longer is lost even if another
    // one is heard again at the same time, as that one brings no level with it.
    fn update_reachable(&mut self, now: ClockTime, peers: &PeerTable) {
        let is_same =
            self.reachable.iter().eq(peers.reachable(now).map(|(message, _)| &message.place.vm));
        if is_same {
            return;
        }
        let fleet_fraction = self.fleet_fraction(peers);
        let reachable: BTreeSet<VmName> =
            peers.reachable(now).map(|(message, _)| message.place.vm.clone()).collect();
        let unreachable: Vec<VmName> = self.reachable.difference(&reachable).cloned().collect();
        let members = peers.len() + 1;
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, fleet_fraction);
            unreachable.iter().for_each(|peer| bucket.deduct_lost_peer(now, members, peer));
        }
        self.reachable = reachable;
    }

    // The part of the fleet that this router hears, itself included.
    fn fleet_fraction(&self, peers: &PeerTable) -> f64 {
        (self.reachable.len() + 1) as f64 / (peers.len() + 1) as f64
    }

    fn bucket(
        &mut self,
        now: ClockTime,
        rule: &AccountRule,
        peers: &PeerTable,
    ) -> &mut AccountBucket {
        self.update_reachable(now, peers);
        let fleet_fraction = self.fleet_fraction(peers);
        let size = self.bucket_size(rule);
        let full = if self.settings.restarted { 0.0 } else { size.burst };
        let bucket = self.buckets.entry(rule.name.clone()).or_insert_with(|| AccountBucket {
            size,
            level: full,
            last_filled: now,
            local: LocalUsage::default(),
            peers: BTreeMap::new(),
        });
        bucket.size = size;
        bucket.fill(now, fleet_fraction);
        bucket
    }

    /// Admits a request of `units`.
    ///
    /// # Errors
    ///
    /// Returns the time after which enough has flowed in, if the bucket is empty.
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
        let members = peers.len() + 1;
        let bucket = self.bucket(now, rule, peers);
        let size = bucket.size;
        let free = bucket.level - bucket.reserved(now, members);
        if free <= 0.0 {
            let fleet_fraction = self.fleet_fraction(peers);
            let rate = (size.rate * fleet_fraction).max(1.0);
            let wait = ClockSpan::from_ms(((units as f64 - free) * 1_000.0 / rate) as u64);
            return Err(wait.min(MAX_RETRY_AFTER));
        }
        bucket.level -= units as f64;
        bucket.local.add(now, units);
        let unreported = (bucket.local.total - bucket.local.reported) as f64;
        // While much is left, the next note is soon enough.
        let is_scarce = bucket.level < size.burst / 2.0;
        self.needs_prompt_report |= is_scarce && unreported >= size.burst / REPORT_BURST_DIVISOR;
        Ok(())
    }

    /// Gives back the units of a request that didn't run.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            // The totals only grow, so that a peer never takes a lost note for a gift.
            bucket.level += units as f64;
        }
    }

    /// Returns whether the peers should be told at once what was admitted.
    pub fn needs_prompt_report(&self) -> bool {
        self.needs_prompt_report
    }

    /// Takes what a peer tells of its use; `silence` is the time after which it counts as not heard.
    pub fn receive(
        &mut self,
        now: ClockTime,
        rules: &[Arc<AccountRule>],
        peers: &PeerTable,
        message: &GossipMessage,
        timeout: ClockSpan,
    ) {
        for rule in rules.iter().filter(|rule| rule.rate > 0 || rule.burst > 0) {
            let tag = tag_of(rule.name.as_str());
            let entry = message.usage.iter().find(|(account, ..)| *account == tag);
            self.bucket(now, rule, peers).receive(now, message, entry, timeout);
        }
    }

    /// Returns what this router tells its peers of the `most` accounts that it admitted last: the account's tag, the
    /// units admitted since the start, and the units a second lately.
    pub fn report(&mut self, now: ClockTime, max_entries: usize) -> Vec<UsageEntry> {
        self.needs_prompt_report = false;
        let mut used: Vec<_> =
            self.buckets.iter_mut().filter(|(_, bucket)| bucket.local.total > 0).collect();
        used.sort_by_key(|(_, bucket)| Reverse(bucket.local.last_admitted));
        used.truncate(max_entries);
        let entry = |(name, bucket): (&AccountName, &mut AccountBucket)| {
            bucket.local.roll_interval(now);
            bucket.local.reported = bucket.local.total;
            let rate = u32::try_from(bucket.local.rate()).unwrap_or(u32::MAX);
            (tag_of(name.as_str()), bucket.local.total, rate)
        };
        used.into_iter().map(entry).collect()
    }
}
