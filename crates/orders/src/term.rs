//! Election of the order leader, the one router that may send orders, in a store with leases of its own.
//!
//! The leader owns an entry that the store removes when the leader's lease expires. The revision at which the store
//! created the entry is the fencing number: it increases with each leader. Targets that don't check fencing numbers are
//! protected by timing: the leader stops sending orders before its lease can have expired, and the next leader waits
//! for the quiet period that must separate the orders of two leaders, counted from the expiry of the previous lease.
//!
//! A leader may wait without ever sending an order, and its successors must not wait for orders that were never sent. The
//! store therefore tells whether orders may be in flight, not who leads:
//!
//! - The activity mark, an entry without a lease, is set right before the first order, when the leader's own wait is over, and
//!   cleared when the quiet period has passed since the last one. Both writes require that the leader entry and the mark itself
//!   have the revisions that the leader knows, so that a write that the store carries out late can't replace a newer one.
//! - The activity entry names the leader that set the mark. The store removes it when the lease of this entry expires, which
//!   the leader renews while it orders. That lease is longer than the time in which the leader orders without a renewal by the quiet
//!   period, so that the removal proves that the quiet period has passed.
//!
//! A new leader need not wait if the mark is cleared, if the activity entry is gone, or if the entry names its own VM: the quiet
//! period must separate the orders of two VMs. A process that was restarted on the leader's VM takes over the leader entry
//! without waiting for the lease to expire.
//!
//! A store that returns from an older copy begins a new era, in which entries of leaders may be missing although their
//! leases have not expired on their own clocks. The mark therefore names the era in which it was written. A mark of an earlier
//! era tells nothing about the leaders since then, so that the next leader waits for the longest lease as well.
//!
//! Builds without the activity entry write marks of a kind of their own. After such a mark a new leader waits for the quiet period.

use std::net::{IpAddr, Ipv4Addr};

use godwitroad_base::{ClockSpan, ClockTime, StoreEra, StoreRevision, VmName};

/// Settings of an [`OrderTerm`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermSettings {
    /// The VM of this router, as written to the leader entry.
    pub vm: VmName,
    /// The address of this router. It tells a VM from one that replaces it under the same name.
    pub address: IpAddr,
    /// The length of the lease, counted from the start of the call that granted or renewed it.
    pub lease: ClockSpan,
    /// The interval between two renewals.
    pub renewal: ClockSpan,
    /// The last part of the lease, in which no order is sent; covers clock drift and the delivery of the last order.
    pub margin: ClockSpan,
    /// The quiet period: the minimum time between the orders of two leaders.
    pub quiet: ClockSpan,
    /// The time-out of a call to the store.
    pub call_time: ClockSpan,
    /// Whether the whole fleet starts for the first time, so that no leader can have sent an order before.
    pub first_start: bool,
}

/// The revisions of the entries of the election in the store; 0 for an entry that doesn't exist.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TermRevisions {
    /// The revision of the leader entry.
    pub leader: u64,
    /// The revision of the activity mark.
    pub mark: u64,
    /// The revision of the activity entry.
    pub activity: u64,
}

/// A call to the store that an [`OrderTerm`] requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermAction {
    /// Grant a lease and write the leader entry under it if the entries of the election have these revisions.
    Acquire {
        /// The revisions. That of the leader entry isn't 0 if this VM's own entry is replaced.
        expected: TermRevisions,
    },
    /// Renew a lease.
    Renew {
        /// The store's number of the lease.
        lease: u64,
        /// Whether it is the lease of the activity entry, not that of the leader entry.
        is_activity: bool,
    },
    /// Set the activity mark, and write the activity entry under a lease that is granted before, if the leader entry and the
    /// mark have these revisions.
    Activate {
        /// The revision of the leader entry.
        fence: StoreRevision,
        /// The revision of the mark.
        mark: u64,
        /// The length of the lease.
        length: ClockSpan,
    },
    /// Clear the activity mark if the leader entry and the mark have these revisions.
    Clear {
        /// The revision of the leader entry.
        fence: StoreRevision,
        /// The revision of the mark.
        mark: u64,
    },
}

/// The result of a [`TermAction`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermAnswer {
    /// The leader entry was created, or this VM's own was replaced.
    Acquired {
        /// The store's number of the lease.
        lease: u64,
        /// The revision at which the entry was written, which gives the fencing number.
        fence: StoreRevision,
        /// The start of the call that granted the lease; the lease is counted from it.
        granted: ClockTime,
        /// Whether an entry was replaced, whose lease may not have expired.
        replaced: bool,
    },
    /// The lease of the leader entry was renewed.
    Renewed {
        /// The start of the call; the renewed lease is counted from it.
        from: ClockTime,
    },
    /// The activity mark was set.
    Activated {
        /// The store's number of the lease of the activity entry.
        lease: u64,
        /// The revision of the mark.
        revision: u64,
        /// The start of the call that granted the lease; the lease is counted from it.
        granted: ClockTime,
    },
    /// The lease of the activity entry was renewed.
    ActivityRenewed {
        /// The start of the call; the renewed lease is counted from it.
        from: ClockTime,
    },
    /// The lease of the activity entry has expired, or the mark has another revision. This router may still be the leader.
    ActivityRefused,
    /// The activity mark was cleared.
    Cleared {
        /// The revision of the mark.
        revision: u64,
    },
    /// Another router owns the leader entry, or the lease has expired.
    Refused,
    /// The call was not answered; it may have taken effect, or take effect later.
    Lost,
}

/// A lease as this router counts it, in which it may send orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct CountedLease {
    lease: u64,
    valid_until: ClockTime,
    renewed: ClockTime,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldTerm {
    leader: CountedLease,
    fence: StoreRevision,
    // When no order of another leader can be in flight any more, whatever the store shows of it.
    orders_from: ClockTime,
    last_order: ClockTime,
    activity: Option<CountedLease>,
}

/// The leader entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderEntry {
    /// The VM of the leader.
    pub vm: VmName,
    /// The revision of the entry.
    pub revision: u64,
}

/// The activity entry: the leader that set the activity mark.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActivityEntry {
    /// The VM of the leader.
    pub vm: VmName,
    /// The address of the leader.
    pub address: IpAddr,
    /// The revision of the entry.
    pub revision: u64,
}

/// The activity mark: whether orders of a leader may be in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActivityMark {
    /// Whether orders may be in flight.
    pub active: bool,
    /// The era in which the mark was written.
    pub era: StoreEra,
    /// Whether the leader that set the mark keeps an activity entry; builds without that entry don't.
    pub has_entry: bool,
    /// The revision of the mark.
    pub revision: u64,
}

/// The state of the election as this router sees it.
#[derive(Clone, Debug)]
pub struct OrderTerm {
    settings: TermSettings,
    // The entries as last observed in the store.
    leader: Option<LeaderEntry>,
    mark: Option<ActivityMark>,
    activity: Option<ActivityEntry>,
    held: Option<HeldTerm>,
    // The era of the store, and whether this process saw it begin.
    era: StoreEra,
    saw_era_begin: bool,
    // When a call that has not been answered was sent.
    pending: Option<ClockTime>,
    next_attempt: ClockTime,
    // The earliest time of the next write of the mark.
    next_mark: ClockTime,
}

/// The delay before the next attempt to acquire the lease after one that was refused or not answered, and before the next
/// write of the mark after one that was refused. The watch reports the current revisions meanwhile.
const RETRY_DELAY: ClockSpan = ClockSpan::from_ms(700);

/// The delay before a leader repeats a call that was not answered, as calls may fail at once.
const REPEAT_DELAY: ClockSpan = ClockSpan::from_ms(100);

/// The additional delay for each rank among the candidates, so that the first one wins without a race.
const RANK_DELAY: ClockSpan = ClockSpan::from_ms(400);

impl Default for TermSettings {
    fn default() -> TermSettings {
        TermSettings {
            vm: "vm-1".into(),
            address: Ipv4Addr::LOCALHOST.into(),
            lease: ClockSpan::from_ms(1_800),
            renewal: ClockSpan::from_ms(500),
            margin: ClockSpan::from_ms(300),
            quiet: ClockSpan::from_ms(3_300),
            call_time: ClockSpan::from_ms(1_000),
            first_start: false,
        }
    }
}

impl OrderTerm {
    /// Returns the state of a process that knows no leader.
    pub fn new(settings: TermSettings) -> OrderTerm {
        OrderTerm {
            settings,
            leader: None,
            mark: None,
            activity: None,
            held: None,
            era: StoreEra::default(),
            saw_era_begin: false,
            pending: None,
            next_attempt: ClockTime::ZERO,
            next_mark: ClockTime::ZERO,
        }
    }

    /// Replaces the settings, as after a reload.
    pub fn set_settings(&mut self, settings: TermSettings) {
        self.settings = settings;
    }

    /// Stores the leader entry that the store reports; `None` when it doesn't exist.
    pub fn observe_leader(&mut self, now: ClockTime, leader: Option<LeaderEntry>) {
        if leader.is_none() && self.leader.is_some() {
            self.next_attempt = self.next_attempt.max(now);
        }
        let is_held = |held: &HeldTerm| {
            // An entry of this VM with an older revision is one that this router has replaced.
            let is_own = |entry: &LeaderEntry| {
                entry.vm == self.settings.vm && entry.revision <= held.fence.number()
            };
            leader.as_ref().is_some_and(is_own)
        };
        // The reply to this router's own call may still be in flight when the watch already reports the entry.
        if self.pending.is_none() {
            self.held = self.held.filter(is_held);
        }
        self.leader = leader;
    }

    /// Stores the activity mark that the store reports; `None` if there is none.
    pub fn observe_mark(&mut self, mark: Option<ActivityMark>) {
        // A report may be older than the answer to this router's own write.
        let known = self.mark.map_or(0, |mark| mark.revision);
        if mark.is_none_or(|mark| mark.revision >= known) {
            self.mark = mark;
        }
    }

    /// Stores the activity entry that the store reports; `None` if it doesn't exist.
    pub fn observe_activity(&mut self, activity: Option<ActivityEntry>) {
        self.activity = activity;
    }

    /// Handles an era of the store: the first that this process sees, or a later one that began while it ran.
    ///
    /// A leader resigns, as another router may own the leader entry in the new era.
    pub fn begin_era(&mut self, now: ClockTime, era: StoreEra, saw_begin: bool) {
        self.era = era;
        self.saw_era_begin = saw_begin;
        if saw_begin {
            self.held = None;
            self.leader = None;
            // Revisions of an earlier era mean nothing in this one.
            self.mark = None;
            self.activity = None;
            self.pending = None;
            self.next_attempt = now;
        }
    }

    // Returns the revision that the mark has for writes of this router.
    fn mark_revision(&self) -> u64 {
        self.mark.map_or(0, |mark| mark.revision)
    }

    // Returns the mark if it was written in this era by a leader that keeps an activity entry.
    fn current_mark(&self) -> Option<ActivityMark> {
        self.mark.filter(|mark| mark.era == self.era && mark.has_entry)
    }

    // Returns whether the store shows that no order of another VM can be in flight.
    fn is_quiet(&self) -> bool {
        let is_own = |entry: &ActivityEntry| {
            entry.vm == self.settings.vm && entry.address == self.settings.address
        };
        match (self.current_mark(), &self.activity) {
            (Some(mark), activity) => !mark.active || activity.as_ref().is_none_or(is_own),
            (None, None) => self.mark.is_none() && self.settings.first_start && !self.saw_era_begin,
            (None, Some(_)) => false,
        }
    }

    // Returns the time after which no order of another leader can be in flight, counted from the write of the leader entry.
    fn quiet_span(&self, replaced: bool) -> ClockSpan {
        let TermSettings { lease, quiet, .. } = self.settings;
        // A leader of the era before may send orders until its lease expires on its own clock.
        let has_era = self.mark.is_some_and(|mark| mark.era == self.era);
        let leases = u64::from(!has_era) + u64::from(replaced);
        quiet + ClockSpan::from_ms(lease.as_ms() * leases)
    }

    // Returns the time at which the held term may begin to order.
    fn orders_from(&self, held: &HeldTerm) -> ClockTime {
        if self.is_quiet() { ClockTime::ZERO } else { held.orders_from }
    }

    /// Returns the fencing number if orders may be sent at `now`.
    pub fn fence(&self, now: ClockTime) -> Option<u64> {
        let held = self.held?;
        let is_active = held.activity.is_some_and(|activity| now < activity.valid_until);
        (is_active && now < held.leader.valid_until).then(|| held.fence.fencing_number())
    }

    /// Returns whether this router is the leader and may send orders `span` after `now`, as far as it knows.
    pub fn may_order_within(&self, now: ClockTime, span: ClockSpan) -> bool {
        let held = self.held.filter(|held| now < held.leader.valid_until);
        held.is_some_and(|held| now + span >= self.orders_from(&held))
    }

    /// Returns the number of the lease of the leader entry while this router is the leader; a stopping router revokes it.
    pub fn lease(&self, now: ClockTime) -> Option<u64> {
        let held = self.held.filter(|held| now < held.leader.valid_until);
        held.map(|held| held.leader.lease)
    }

    /// Returns the revision of the leader entry while this router is the leader.
    pub fn leader_revision(&self, now: ClockTime) -> Option<StoreRevision> {
        let held = self.held.filter(|held| now < held.leader.valid_until);
        held.map(|held| held.fence)
    }

    /// Records that an order was sent at `now`.
    pub fn record_order(&mut self, now: ClockTime) {
        if let Some(held) = &mut self.held {
            held.last_order = now;
        }
    }

    /// Returns whether this router is the leader at `now`.
    pub fn is_leader(&self, now: ClockTime) -> bool {
        self.held.is_some_and(|held| now < held.leader.valid_until)
    }

    /// Returns the next call to the store, if one is due. `rank` is the position of this router among the candidates,
    /// starting at zero; `has_work` is true if any target needs an order.
    pub fn next(&mut self, now: ClockTime, rank: usize, has_work: bool) -> Option<TermAction> {
        if self.held.is_some_and(|held| now >= held.leader.valid_until) {
            self.held = None;
            self.next_attempt = now + RETRY_DELAY;
        }
        if self.pending.is_some_and(|sent| now.since(sent) < self.settings.call_time) {
            return None;
        }
        self.pending = None;
        if self.held.is_some() {
            let action = self.next_as_leader(now, has_work)?;
            self.pending = Some(now);
            return Some(action);
        }
        let own_entry = self.leader.as_ref().filter(|entry| entry.vm == self.settings.vm);
        // A router that need not wait before it orders goes first. This VM's own entry has no other candidates.
        let rank = if own_entry.is_some() { 0 } else { rank + usize::from(!self.is_quiet()) };
        let wait = ClockSpan::from_ms(RANK_DELAY.as_ms() * rank as u64);
        if self.leader.is_some() && own_entry.is_none() || now < self.next_attempt + wait {
            return None;
        }
        let expected = TermRevisions {
            leader: own_entry.map_or(0, |entry| entry.revision),
            mark: self.mark_revision(),
            activity: self.activity.as_ref().map_or(0, |entry| entry.revision),
        };
        self.pending = Some(now);
        Some(TermAction::Acquire { expected })
    }

    fn next_as_leader(&mut self, now: ClockTime, has_work: bool) -> Option<TermAction> {
        let is_quiet_again = self.held.is_some_and(|held| {
            now >= self.orders_from(&held).max(held.last_order + self.settings.quiet)
        });
        let may_begin = self.held.is_some_and(|held| now >= self.orders_from(&held));
        let mark = self.mark_revision();
        let is_cleared = self.current_mark().is_some_and(|mark| !mark.active);
        let renewal = self.settings.renewal;
        let held = self.held.as_mut()?;
        let is_due = |lease: &CountedLease| now.since(lease.renewed) >= renewal;
        let may_repeat = now >= self.next_attempt;
        if is_due(&held.leader) && may_repeat {
            return Some(TermAction::Renew { lease: held.leader.lease, is_activity: false });
        }
        let fence = held.fence;
        held.activity = held.activity.filter(|activity| now < activity.valid_until);
        if !has_work && is_quiet_again {
            // No order follows, even if the call is not answered.
            held.activity = None;
            // A cleared mark is written also where there is none, so that the next leader can tell the era.
            let is_due = !is_cleared && now >= self.next_mark;
            return is_due.then_some(TermAction::Clear { fence, mark });
        }
        match &held.activity {
            Some(activity) if is_due(activity) && may_repeat => {
                Some(TermAction::Renew { lease: activity.lease, is_activity: true })
            }
            None if has_work && may_begin && now >= self.next_mark => {
                let length = self.settings.lease + self.settings.quiet;
                Some(TermAction::Activate { fence, mark, length })
            }
            _ => None,
        }
    }

    /// Handles the result of a call to the store.
    pub fn answer(&mut self, now: ClockTime, answer: TermAnswer) {
        self.pending = None;
        let usable = self.settings.lease.saturating_sub(self.settings.margin);
        match answer {
            // An entry that was created in an earlier era may be lost.
            TermAnswer::Acquired { fence, .. } if fence.era() != self.era => {}
            TermAnswer::Acquired { lease, fence, granted, replaced } => {
                let orders_from = now + self.quiet_span(replaced);
                let valid_until = granted + usable;
                self.held = Some(HeldTerm {
                    leader: CountedLease { lease, valid_until, renewed: now },
                    fence,
                    orders_from,
                    // The run of this VM before may have sent one until now.
                    last_order: now,
                    activity: None,
                });
                self.next_attempt = now;
                let vm = self.settings.vm.clone();
                self.leader = Some(LeaderEntry { vm, revision: fence.number() });
            }
            TermAnswer::Renewed { from } => {
                if let Some(held) = &mut self.held {
                    held.leader.extend(from, usable);
                }
            }
            TermAnswer::Activated { lease, revision, granted } => {
                self.set_mark(true, revision);
                if let Some(held) = &mut self.held {
                    let valid_until = granted + usable;
                    held.activity = Some(CountedLease { lease, valid_until, renewed: now });
                }
            }
            TermAnswer::ActivityRenewed { from } => {
                let activity = self.held.as_mut().and_then(|held| held.activity.as_mut());
                if let Some(activity) = activity {
                    activity.extend(from, usable);
                }
            }
            TermAnswer::ActivityRefused => {
                if let Some(held) = &mut self.held {
                    held.activity = None;
                }
                self.next_mark = now + RETRY_DELAY;
            }
            TermAnswer::Cleared { revision } => self.set_mark(false, revision),
            TermAnswer::Refused => {
                self.held = None;
                self.next_attempt = now + RETRY_DELAY;
            }
            TermAnswer::Lost => {
                // Without success the lease expires on this router's clock.
                let is_held = self.held.is_some();
                self.next_attempt = now + if is_held { REPEAT_DELAY } else { RETRY_DELAY };
                self.next_mark = now + REPEAT_DELAY;
            }
        }
    }

    fn set_mark(&mut self, active: bool, revision: u64) {
        if revision >= self.mark_revision() {
            self.mark = Some(ActivityMark { active, era: self.era, has_entry: true, revision });
        }
    }
}

impl CountedLease {
    fn extend(&mut self, from: ClockTime, usable: ClockSpan) {
        self.valid_until = self.valid_until.max(from + usable);
        self.renewed = from;
    }
}
