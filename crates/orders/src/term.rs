//! Election of the order leader, the one router that may send orders, in a store with leases of its own.
//!
//! The leader owns an entry that the store removes when the leader's lease expires. The revision at which the store
//! created the entry is the fencing number: it increases with each leader. Targets that don't check fencing numbers are
//! protected by timing: the leader stops sending orders before its lease can have expired, and the next leader waits
//! for the quiet period that must separate the orders of two leaders, counted from the expiry of the previous lease.
//!
//! Most leaders lose the lease while they have nothing to order. Before its first order a leader therefore sets an
//! activity mark in an entry without a lease, on the condition that it still owns the leader entry. It clears the mark
//! when the quiet period has passed since its last order. A leader that finds the mark cleared need not wait.
//!
//! A store that returns from an older copy begins a new era, in which the entry of a leader may be missing although its
//! lease has not expired on its own clock. The mark therefore names the era in which it was written. A mark of an earlier
//! era tells nothing about the leaders since then, so that the next leader waits for the longest lease as well.

use godwitroad_base::{ClockSpan, ClockTime, StoreEra, StoreRevision, VmName};

/// Settings of an [`OrderTerm`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermSettings {
    /// The VM of this router, as written to the leader entry.
    pub vm: VmName,
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

/// A call to the store that an [`OrderTerm`] requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermAction {
    /// Grant a lease and create the leader entry under it, unless the entry exists.
    Acquire,
    /// Renew the lease.
    Renew {
        /// The store's number of the lease.
        lease: u64,
    },
    /// Write the activity mark if the leader entry still has the revision `fence`.
    Mark {
        /// The revision of the leader entry.
        fence: StoreRevision,
        /// Whether the leader may have orders in flight.
        active: bool,
    },
}

/// The result of a [`TermAction`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermAnswer {
    /// The leader entry was created.
    Acquired {
        /// The store's number of the lease.
        lease: u64,
        /// The revision at which the entry was created, which gives the fencing number.
        fence: StoreRevision,
        /// The start of the call that granted the lease; the lease is counted from it.
        granted: ClockTime,
    },
    /// The lease was renewed.
    Renewed {
        /// The start of the call; the renewed lease is counted from it.
        from: ClockTime,
    },
    /// The activity mark was written.
    Marked {
        /// The value that was written.
        active: bool,
    },
    /// Another router owns the leader entry, or the lease has expired.
    Refused,
    /// The call was not answered; it may have taken effect.
    Lost,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldTerm {
    lease: u64,
    fence: StoreRevision,
    valid_until: ClockTime,
    orders_from: ClockTime,
    renewed: ClockTime,
    last_order: ClockTime,
}

/// The activity mark: whether the leader may have orders in flight, and the era in which a leader wrote this.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActivityMark {
    /// Whether the leader may have orders in flight.
    pub active: bool,
    /// The era in which the mark was written.
    pub era: StoreEra,
}

/// The state of the election as this router sees it.
#[derive(Clone, Debug)]
pub struct OrderTerm {
    settings: TermSettings,
    leader: Option<VmName>,
    held: Option<HeldTerm>,
    // The activity mark as last observed in the store.
    mark: Option<ActivityMark>,
    // The era of the store, and whether this process saw it begin.
    era: StoreEra,
    saw_era_begin: bool,
    pending: Option<ClockTime>,
    next_attempt: ClockTime,
}

/// The delay before the next attempt to acquire the lease after one that was refused or not answered.
const RETRY_DELAY: ClockSpan = ClockSpan::from_ms(700);

/// The additional delay for each rank among the candidates, so that the first one wins without a race.
const RANK_DELAY: ClockSpan = ClockSpan::from_ms(400);

impl Default for TermSettings {
    fn default() -> TermSettings {
        TermSettings {
            vm: "vm-1".into(),
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
            held: None,
            mark: None,
            era: StoreEra::default(),
            saw_era_begin: false,
            pending: None,
            next_attempt: ClockTime::ZERO,
        }
    }

    /// Replaces the settings, as after a reload.
    pub fn set_settings(&mut self, settings: TermSettings) {
        self.settings = settings;
    }

    /// Stores the leader that the store reports; `None` when the leader entry doesn't exist.
    pub fn observe_leader(&mut self, now: ClockTime, leader: Option<VmName>) {
        if leader.is_none() && self.leader.is_some() {
            self.next_attempt = self.next_attempt.max(now);
        }
        let is_self = leader.as_ref() == Some(&self.settings.vm);
        // The reply to this router's own call may still be in flight when the watch already reports the entry.
        if !is_self && self.pending.is_none() {
            self.held = None;
        }
        self.leader = leader;
    }

    /// Stores the activity mark that the store reports; `None` if there is none.
    pub fn observe_mark(&mut self, mark: Option<ActivityMark>) {
        self.mark = mark;
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
            self.pending = None;
            self.next_attempt = now;
        }
    }

    // Returns whether a mark of the current era says that the leader may have orders in flight.
    fn is_marked_active(&self) -> bool {
        self.mark.is_some_and(|mark| mark.active && mark.era == self.era)
    }

    // Returns whether a mark of the current era exists.
    fn is_marked(&self) -> bool {
        self.mark.is_some_and(|mark| mark.era == self.era)
    }

    // Returns the time that a new leader waits before its first order, after which no order of another leader can be in
    // flight.
    fn quiet_span(&self) -> ClockSpan {
        match self.mark {
            Some(mark) if mark.era == self.era && !mark.active => ClockSpan::ZERO,
            Some(mark) if mark.era == self.era => self.settings.quiet,
            None if self.settings.first_start && !self.saw_era_begin => ClockSpan::ZERO,
            // A leader of the era before may send orders until its lease expires on its own clock.
            Some(_) | None => self.settings.lease + self.settings.quiet,
        }
    }

    /// Returns the fencing number if orders may be sent at `now`.
    pub fn fence(&self, now: ClockTime) -> Option<u64> {
        let held = self.held?;
        let may_order =
            self.is_marked_active() && now >= held.orders_from && now < held.valid_until;
        may_order.then(|| held.fence.fencing_number())
    }

    /// Returns the number of the lease while this router is the leader; a stopping router revokes this lease.
    ///
    /// A leader that is still waiting before its first order keeps the lease until it expires, because its successor
    /// counts its own wait from the end of the lease.
    pub fn lease(&self, now: ClockTime) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until && now >= held.orders_from);
        held.map(|held| held.lease)
    }

    /// Records that an order was sent at `now`.
    pub fn record_order(&mut self, now: ClockTime) {
        if let Some(held) = &mut self.held {
            held.last_order = now;
        }
    }

    /// Returns whether this router is the leader at `now`.
    pub fn is_leader(&self, now: ClockTime) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Returns the next call to the store, if one is due. `rank` is the position of this router among the candidates,
    /// starting at zero; `has_work` is true if any target needs an order.
    pub fn next(&mut self, now: ClockTime, rank: usize, has_work: bool) -> Option<TermAction> {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.next_attempt = now + RETRY_DELAY;
        }
        if self.pending.is_some_and(|sent| now.since(sent) < self.settings.call_time) {
            return None;
        }
        self.pending = None;
        if let Some(held) = self.held {
            let action = self.next_as_leader(now, &held, has_work)?;
            self.pending = Some(now);
            return Some(action);
        }
        let wait = ClockSpan::from_ms(RANK_DELAY.as_ms() * rank as u64);
        if self.leader.is_some() || now < self.next_attempt + wait {
            return None;
        }
        self.pending = Some(now);
        Some(TermAction::Acquire)
    }

    fn next_as_leader(
        &self,
        now: ClockTime,
        held: &HeldTerm,
        has_work: bool,
    ) -> Option<TermAction> {
        if now.since(held.renewed) >= self.settings.renewal {
            return Some(TermAction::Renew { lease: held.lease });
        }
        let fence = held.fence;
        if has_work && !self.is_marked_active() {
            return Some(TermAction::Mark { fence, active: true });
        }
        let is_idle = now >= held.orders_from.max(held.last_order + self.settings.quiet);
        // A cleared mark is written also where there is none, so that the next leader can tell the era.
        if !has_work && is_idle && (self.is_marked_active() || !self.is_marked()) {
            return Some(TermAction::Mark { fence, active: false });
        }
        None
    }

    /// Handles the result of a call to the store.
    pub fn answer(&mut self, now: ClockTime, answer: TermAnswer) {
        self.pending = None;
        let usable = self.settings.lease.saturating_sub(self.settings.margin);
        match answer {
            // An entry that was created in an earlier era may be lost.
            TermAnswer::Acquired { fence, .. } if fence.era() != self.era => {}
            TermAnswer::Acquired { lease, fence, granted } => {
                let orders_from = now + self.quiet_span();
                let valid_until = granted + usable;
                self.held = Some(HeldTerm {
                    lease,
                    fence,
                    valid_until,
                    orders_from,
                    renewed: now,
                    last_order: ClockTime::ZERO,
                });
                self.leader = Some(self.settings.vm.clone());
            }
            TermAnswer::Renewed { from } => {
                if let Some(held) = &mut self.held {
                    held.valid_until = held.valid_until.max(from + usable);
                    held.renewed = from;
                }
            }
            TermAnswer::Marked { active } => {
                self.mark = Some(ActivityMark { active, era: self.era });
            }
            TermAnswer::Refused => {
                self.held = None;
                self.next_attempt = now + RETRY_DELAY;
            }
            TermAnswer::Lost => {
                // A renewal is retried immediately; without success the lease expires on this router's clock.
                if self.held.is_none() {
                    self.next_attempt = now + RETRY_DELAY;
                }
            }
        }
    }
}
