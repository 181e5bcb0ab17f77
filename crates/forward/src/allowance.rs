//! Allowances: the quotas of client accounts over all routers together.
//!
//! An account has one token bucket for the whole fleet: it fills at the account's rate up to its burst, and every
//! admitted request takes its units out. Each router keeps its own estimate of the bucket. It subtracts its own
//! requests at once and those of its peers when gossip reports them.
//!
//! Until all peers have heard of them, the requests that a router admits must fit its share of a pool: the level, the
//! inflow of the last window that didn't fit the full bucket, and the tolerated excess that the bucket leaves out. The
//! shares add up to one, so that all routers together keep to the pool however late they hear of each other:
//!
//! - If the pool holds what callers ask for until reports arrive, each router has what its own callers ask for and a
//!   share of the remainder.
//! - Otherwise the pool is divided. A quarter of it is divided evenly and the remainder by what callers ask for at each
//!   router. What a router admits is also paid back at its share of the rate, as a request may be larger than the share.
//!
//! Callers that ask for far more than the limit at all routers at once therefore get the limit, in even parts. A router
//! to which most callers turn gets most of the limit once its peers have heard of its callers.
//!
//! An unreachable router may be on the other side of a network partition and still admit requests. Once its messages
//! are overdue, its share of the level and of the inflow since then is reserved, first from the inflow that the full
//! bucket didn't take; once it counts as unreachable, the share is subtracted and the bucket fills only at the share of
//! the reachable routers. The other side does the same, so that the shares never exceed the bucket in total. When a
//! router becomes reachable again, its share is added to the rate and the burst but not to the level, as the other side
//! may have used it.
//!
//! A restarted router begins with an empty bucket, so that a restart of all routers never refills an allowance. The
//! bucket fills at the full rate, which normal use stays below, so a restart causes hardly any refusals.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, VmName};

use crate::{
    peers::{GossipMessage, PeerTable, PeerTiming, ReachableMark},
    rules::AccountRule,
    tag_of,
    usage::{LocalUsage, SpareInflow, seconds},
};

/// The settings of the buckets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// The sliding window over which the operator measures usage.
    pub window: ClockSpan,
    /// Whether this router may have admitted requests in an earlier run; buckets then start empty.
    pub restarted: bool,
    /// The fraction by which the operator tolerates that an account exceeds its limit in a window.
    pub overage: f64,
    /// The units by which an account may exceed its limit in addition; counted only for accounts charged by token.
    pub slack: u64,
}

impl Default for AllowanceSettings {
    fn default() -> AllowanceSettings {
        let window = ClockSpan::from_secs(8);
        AllowanceSettings { window, restarted: true, overage: 0.0, slack: 0 }
    }
}

/// An account's use at one router, as carried in gossip messages: the account's tag, the units admitted since the
/// router's start, and the units per second that callers ask for, admitted or not.
pub type UsageEntry = (u32, u64, u32);

/// The usual time of a report on its way.
const REPORT_TRANSIT: ClockSpan = ClockSpan::from_ms(100);

/// The fraction of an account's units that is divided evenly among routers; the remainder is divided by demand. A router
/// that callers turn to has its even part until its peers hear of it.
const EVEN_FRACTION: f64 = 0.25;

/// The fraction of a peer's timeout without a message from which its full share is reserved.
const PARTITION_SUSPICION_END: f64 = 0.6;

/// The divisor of the burst that gives the admissions after which a router sends gossip without waiting for its turn.
const REPORT_BURST_DIVISOR: f64 = 8.0;

/// The fraction of the operator's tolerance that is added to buckets. The remainder covers the excess that partitions
/// and crashes cause.
const TOLERANCE_FRACTION: f64 = 0.8;

/// The fraction of the added tolerance that goes into the rate; the remainder goes into the burst.
const TOLERANCE_RATE_FRACTION: f64 = 0.75;

/// Limit of the retry-after time in a refusal.
const MAX_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(2_000);

#[derive(Clone, Debug)]
struct AccountBucket {
    // The account's tag in messages.
    tag: u32,
    size: BucketSize,
    // Negative after a request that was larger than the remaining level.
    level: f64,
    last_filled: ClockTime,
    // A sum over a window keeps to the limit even if this inflow is used in addition to the level.
    spare: SpareInflow,
    local: LocalUsage,
    // What the peers last reported, by their slots.
    peers: Vec<Option<PeerUsage>>,
}

/// The size and the fill rate of an account's bucket, for the whole fleet.
#[derive(Clone, Copy, Debug)]
struct BucketSize {
    rate: f64,
    burst: f64,
    // The tolerated excess that isn't part of the burst and the rate.
    margin: f64,
}

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    total: u64,
    // The units per second that its callers ask for.
    asked_rate: u32,
    last_received: ClockTime,
    timing: PeerTiming,
    // The bucket's level at `last_received`.
    remaining: f64,
}

/// What a router knows of the fleet, this router included.
#[derive(Clone, Copy, Debug)]
struct FleetView {
    members: usize,
    reachable: usize,
    // The reachable fraction.
    fraction: f64,
    delay: ClockSpan,
    window: ClockSpan,
}

/// What a router may admit for an account, in units, and the figures behind it.
#[derive(Clone, Copy, Debug)]
struct AllowanceShare {
    free: f64,
    // The units per second by which `free` grows.
    rate: f64,
    // What overdue peers may have admitted.
    reserved: f64,
    // The inflow of the last window that didn't fit the full bucket.
    spare: f64,
    // What this router admitted and some peers may not know of.
    unreported: f64,
    pool: f64,
    // What callers ask for at all routers until reports arrive.
    expected: f64,
}

/// Why an allowance has no room for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AllowanceRefusal {
    /// The time after which the bucket holds enough.
    pub wait: ClockSpan,
    /// The figures that decided it, for the log.
    pub detail: String,
}

/// The positions of peers in the buckets' lists.
#[derive(Clone, Debug, Default)]
struct PeerSlots {
    slots: BTreeMap<VmName, usize>,
    free: Vec<usize>,
}

/// This router's estimate of all buckets.
#[derive(Clone, Debug)]
pub struct AllowanceTable {
    settings: AllowanceSettings,
    buckets: BTreeMap<AccountName, AccountBucket>,
    // The reachable peers when the levels were last adjusted, and the mark of that set.
    reachable: BTreeSet<VmName>,
    mark: Option<ReachableMark>,
    slots: PeerSlots,
    // The time after which all reachable peers have a report.
    report_delay: ClockSpan,
    needs_immediate_report: bool,
}

impl PeerSlots {
    // Returns the slot of a peer, which it keeps until it is released.
    fn take(&mut self, peer: &VmName) -> usize {
        if let Some(slot) = self.slots.get(peer) {
            return *slot;
        }
        let slot = self.free.pop().unwrap_or(self.slots.len());
        self.slots.insert(peer.clone(), slot);
        slot
    }

    // Releases the slot of a peer for another one; `None` if it has none.
    fn release(&mut self, peer: &VmName) -> Option<usize> {
        let slot = self.slots.remove(peer)?;
        self.free.push(slot);
        Some(slot)
    }
}

impl PeerUsage {
    // Returns what the peer may have admitted against its share of the bucket if it is cut off. The share counts
    // gradually, from when the next message is due.
    fn reserved(&self, now: ClockTime, size: BucketSize, members: usize) -> f64 {
        let passed = now.since(self.last_received);
        let share = (self.remaining + size.rate * seconds(passed)) / members as f64;
        let due = seconds(self.timing.promised + REPORT_TRANSIT);
        let end = seconds(self.timing.timeout) * PARTITION_SUSPICION_END;
        let suspicion = (seconds(passed) - due) / (end - due).max(f64::MIN_POSITIVE);
        share * suspicion.clamp(0.0, 1.0)
    }

    fn is_reachable(&self, now: ClockTime) -> bool {
        now.since(self.last_received) < self.timing.timeout
    }
}

impl AccountBucket {
    // Adds the inflow up to `now` for a fraction of the fleet.
    fn fill(&mut self, now: ClockTime, fleet_fraction: f64) {
        let inflow = self.size.rate * fleet_fraction * seconds(now.since(self.last_filled));
        self.last_filled = now;
        let filled = self.level + inflow;
        self.level = filled.min(self.size.burst * fleet_fraction);
        self.spare.add(now, (filled - self.level).min(inflow));
    }

    // Returns what the reachable peers may have admitted if they are cut off.
    fn reserved(&self, now: ClockTime, members: usize) -> f64 {
        let recent = self.peers.iter().flatten().filter(|peer| peer.is_reachable(now));
        recent.map(|peer| peer.reserved(now, self.size, members)).sum()
    }

    // Returns what this router may admit now, with the figures behind it.
    fn share(&mut self, now: ClockTime, view: FleetView) -> AllowanceShare {
        let asked = self.local.reported_rate();
        let recent = self.peers.iter().flatten().filter(|peer| peer.is_reachable(now));
        let asked_in_all = asked + recent.map(|peer| f64::from(peer.asked_rate)).sum::<f64>();
        let even = 1.0 / view.reachable as f64;
        let weight = EVEN_FRACTION * even
            + (1.0 - EVEN_FRACTION) * if asked_in_all > 0.0 { asked / asked_in_all } else { even };
        let rate = self.size.rate * view.fraction * weight;
        let debt = self.local.pay_back(now, rate);
        let reserved = self.reserved(now, view.members);
        let unreported = self.local.unreported(now, view.delay);
        let spare = self.spare.sum(now, view.window);
        // The peers' shares are of the inflow as well, of which the full bucket took nothing.
        let level = self.level - (reserved - spare).max(0.0);
        let pool = self.level - reserved + unreported + spare + self.size.margin * view.fraction;
        let expected = asked_in_all * seconds(view.delay);
        let share =
            AllowanceShare { free: level, rate, reserved, spare, unreported, pool, expected };
        if level <= 0.0 {
            return AllowanceShare { rate: self.size.rate * view.fraction, ..share };
        }
        let free = if expected < pool {
            asked * seconds(view.delay) + (pool - expected) * (weight + even) / 2.0 - unreported
        } else {
            pool * weight - unreported.max(debt)
        };
        AllowanceShare { free: free.min(level), ..share }
    }

    // Returns the units per second that callers ask for at this router and the reachable peers.
    fn asked_rate(&self, now: ClockTime) -> f64 {
        let recent = self.peers.iter().flatten().filter(|peer| peer.is_reachable(now));
        let peers: f64 = recent.map(|peer| f64::from(peer.asked_rate)).sum();
        self.local.reported_rate() + peers
    }

    fn describe(&self, now: ClockTime, share: AllowanceShare, view: FleetView) -> String {
        let ages = self.peers.iter().flatten().filter(|peer| peer.is_reachable(now));
        let oldest = ages.map(|peer| now.since(peer.last_received).as_ms()).max();
        format!(
            "free={:.0} level={:.0} burst={:.0} rate={:.0} reserved={:.0} spare={:.0} unreported={:.0} pool={:.0} expected={:.0} \
             members={} reachable={} report_delay_ms={} oldest_report_ms={oldest:?}",
            share.free,
            self.level,
            self.size.burst,
            self.size.rate,
            share.reserved,
            share.spare,
            share.unreported,
            share.pool,
            share.expected,
            view.members,
            view.reachable,
            view.delay.as_ms(),
        )
    }

    // Subtracts the share of a peer that has become unreachable, as the peer may go on admitting requests against it.
    fn deduct_lost_peer(&mut self, now: ClockTime, members: usize, slot: Option<usize>) {
        let peer = slot.and_then(|slot| self.peers.get_mut(slot)?.take());
        self.level -= match peer {
            Some(peer) => peer.reserved(now, self.size, members),
            None => self.level.max(0.0) / members as f64,
        };
        self.spare.scale(1.0 - 1.0 / members as f64);
    }

    fn receive(
        &mut self,
        now: ClockTime,
        slot: usize,
        message: &GossipMessage,
        entry: Option<&UsageEntry>,
        timing: PeerTiming,
    ) {
        if self.peers.len() <= slot {
            self.peers.resize(slot + 1, None);
        }
        // A message has room for only some accounts; the others stay as last reported.
        let previous = self.peers[slot];
        let known = previous.filter(|previous| previous.incarnation == message.incarnation);
        let known = known.map_or((0, 0), |previous| (previous.total, previous.asked_rate));
        let (total, asked_rate) = entry.map_or(known, |(_, total, rate)| (*total, *rate));
        let remaining = self.level.max(0.0);
        let incarnation = message.incarnation;
        let current =
            PeerUsage { incarnation, total, asked_rate, last_received: now, timing, remaining };
        self.peers[slot] = Some(current);
        let Some(previous) = previous else { return };
        if !previous.is_reachable(now) {
            // What it admitted while unreachable counted against its share, which is already subtracted.
            return;
        }
        let used = if previous.incarnation == message.incarnation {
            total.saturating_sub(previous.total)
        } else {
            // The previous run's admissions between its last message and its end are estimated, as nobody reports them.
            let rate = f64::from(previous.asked_rate).min(self.size.rate);
            total + (rate * seconds(previous.timing.promised)) as u64
        };
        self.level -= used as f64;
    }
}

impl AllowanceTable {
    /// Returns the units per second that an account's callers ask for at all reachable routers, as last reported.
    pub fn asked_rate(&self, now: ClockTime, account: &AccountName) -> f64 {
        self.buckets.get(account).map_or(0.0, |bucket| bucket.asked_rate(now))
    }

    /// Returns full buckets at the first start of the fleet, and empty ones otherwise.
    pub fn new(settings: AllowanceSettings) -> AllowanceTable {
        AllowanceTable {
            settings,
            buckets: BTreeMap::new(),
            reachable: BTreeSet::new(),
            mark: None,
            slots: PeerSlots::default(),
            report_delay: ClockSpan::default(),
            needs_immediate_report: false,
        }
    }

    /// Returns the size and the rate of an account's bucket.
    ///
    /// Part of the excess that the operator tolerates is added, so that delayed reports cause no refusals for accounts
    /// within their limits; the remainder covers the excess from the delay. Most of the added part goes into the rate:
    /// the sum over a window is the same, but an account that always exceeds its limit, and one whose bucket starts
    /// empty, get more.
    fn bucket_size(&self, rule: &AccountRule) -> BucketSize {
        let window = seconds(self.settings.window);
        let exact = rule.rate as f64 * window + rule.burst as f64;
        let slack = if rule.by_tokens { self.settings.slack as f64 } else { 0.0 };
        let tolerated = exact * self.settings.overage + slack;
        let used = tolerated * TOLERANCE_FRACTION;
        BucketSize {
            rate: rule.rate as f64 + used * TOLERANCE_RATE_FRACTION / window,
            burst: rule.burst as f64 + used * (1.0 - TOLERANCE_RATE_FRACTION),
            margin: tolerated - used,
        }
    }

    // Adjusts the levels when the set of reachable peers has changed.
    //
    // The sets are compared, not their sizes: the share of a peer that became unreachable is subtracted even if another
    // peer became reachable at the same time, as that one adds nothing to the level.
    fn update_reachable(&mut self, now: ClockTime, peers: &PeerTable) {
        if self.mark.is_some_and(|mark| peers.is_unchanged(now, mark)) {
            return;
        }
        self.mark = Some(peers.reachable_mark(now));
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
        let lost: Vec<Option<usize>> =
            unreachable.iter().map(|peer| self.slots.release(peer)).collect();
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, fleet_fraction);
            lost.iter().for_each(|slot| bucket.deduct_lost_peer(now, members, *slot));
        }
        self.reachable = reachable;
    }

    // Returns the fraction of the fleet that is reachable, this router included.
    fn fleet_fraction(&self, peers: &PeerTable) -> f64 {
        (self.reachable.len() + 1) as f64 / (peers.len() + 1) as f64
    }

    fn fleet_view(&self, peers: &PeerTable) -> FleetView {
        FleetView {
            members: peers.len() + 1,
            reachable: self.reachable.len() + 1,
            fraction: self.fleet_fraction(peers),
            delay: self.report_delay,
            window: self.settings.window,
        }
    }

    // Returns an account's bucket, filled up to now. The set of reachable peers must be up to date.
    fn bucket(
        &mut self,
        now: ClockTime,
        rule: &AccountRule,
        peers: &PeerTable,
    ) -> &mut AccountBucket {
        let fleet_fraction = self.fleet_fraction(peers);
        let size = self.bucket_size(rule);
        let initial_level = if self.settings.restarted { 0.0 } else { size.burst };
        let bucket = self.buckets.entry(rule.name.clone()).or_insert_with(|| AccountBucket {
            tag: tag_of(rule.name.as_str()),
            size,
            level: initial_level,
            last_filled: now,
            spare: SpareInflow::default(),
            local: LocalUsage::default(),
            peers: Vec::new(),
        });
        bucket.size = size;
        bucket.fill(now, fleet_fraction);
        bucket
    }

    /// Admits a request of `units` and charges the account's bucket.
    ///
    /// # Errors
    ///
    /// Returns the refusal if this router's share of the allowance is used up.
    pub fn admit(
        &mut self,
        now: ClockTime,
        rule: &AccountRule,
        units: u64,
        peers: &PeerTable,
    ) -> std::result::Result<(), AllowanceRefusal> {
        if !rule.is_limited() {
            return Ok(());
        }
        self.update_reachable(now, peers);
        let view = self.fleet_view(peers);
        let bucket = self.bucket(now, rule, peers);
        bucket.local.ask(now, units);
        let share = bucket.share(now, view);
        if share.free <= 0.0 {
            let wait = (units as f64 - share.free) * 1_000.0 / share.rate.max(1.0);
            let wait = ClockSpan::from_ms(wait as u64).min(MAX_RETRY_AFTER);
            let detail = bucket.describe(now, share, view);
            return Err(AllowanceRefusal { wait, detail });
        }
        bucket.level -= units as f64;
        bucket.local.admit(units);
        let size = bucket.size;
        let unreported = bucket.local.since_report() as f64;
        // While the bucket is more than half full, the next regular message is soon enough.
        let is_scarce = bucket.level < size.burst / 2.0;
        self.needs_immediate_report |= is_scarce && unreported >= size.burst / REPORT_BURST_DIVISOR;
        Ok(())
    }

    /// Refunds the units of a request that didn't run.
    pub fn refund(&mut self, account: &AccountName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units as f64;
            bucket.local.refund(units);
        }
    }

    /// Returns whether the peers should learn of recent admissions without waiting for the next regular message.
    pub fn needs_immediate_report(&self) -> bool {
        self.needs_immediate_report
    }

    /// Applies the limits of a new configuration.
    pub fn apply_rules(&mut self, now: ClockTime, rules: &[Arc<AccountRule>], peers: &PeerTable) {
        self.update_reachable(now, peers);
        for rule in rules.iter().filter(|rule| rule.is_limited()) {
            self.bucket(now, rule, peers);
        }
    }

    /// Applies the usage that a peer reports; `timing` tells when its next message is due.
    pub fn receive(
        &mut self,
        now: ClockTime,
        peers: &PeerTable,
        message: &GossipMessage,
        timing: PeerTiming,
    ) {
        self.update_reachable(now, peers);
        let slot = self.slots.take(&message.place.vm);
        let fleet_fraction = self.fleet_fraction(peers);
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, fleet_fraction);
            let entry = message.usage.iter().find(|(account, ..)| *account == bucket.tag);
            bucket.receive(now, slot, message, entry, timing);
        }
    }

    /// Returns the usage entries for a gossip message: those of the `max_entries` accounts that callers asked for last. All
    /// reachable peers get them or later ones within `period`.
    pub fn report(
        &mut self,
        now: ClockTime,
        max_entries: usize,
        period: ClockSpan,
    ) -> Vec<UsageEntry> {
        self.needs_immediate_report = false;
        self.report_delay = period + REPORT_TRANSIT;
        let delay = self.report_delay;
        let used = self.buckets.iter_mut().filter(|(_, bucket)| bucket.local.is_used());
        let mut used: Vec<_> = used.collect();
        used.sort_by_key(|(_, bucket)| Reverse(bucket.local.last_asked()));
        used.truncate(max_entries);
        let entry = |(name, bucket): (&AccountName, &mut AccountBucket)| {
            let (total, asked_rate) = bucket.local.report(now, delay);
            (tag_of(name.as_str()), total, asked_rate)
        };
        used.into_iter().map(entry).collect()
    }
}
