//! Who may give orders, where the store has leases of its own.
//!
//! One router at a time owns an entry that lives under a lease of the store. The revision at which the store created
//! the entry is the fencing number: it grows with each owner. Where targets don't check fencing numbers, time takes
//! the place of the check: the owner stops ordering before its lease can have run out, and the next owner waits for
//! the quiet time that targets need between two owners, counted from the end of the lease before.
//!
//! Most owners end while they order nothing. Before its first order an owner therefore marks itself as active in an
//! entry that lasts, under the condition that it still owns the first one, and as idle once the quiet time has passed
//! after its last order. An owner after an idle one need not wait.

use godwitroad_base::{ClockSpan, ClockTime, VmName};

/// The settings of the term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermSettings {
    /// This router.
    pub vm: VmName,
    /// The lease's length.
    pub lease: ClockSpan,
    /// The time between two renewals.
    pub renewal: ClockSpan,
    /// The part of the lease that isn't used, for the drift of clocks and the delivery of the last order.
    pub margin: ClockSpan,
    /// The time that must pass between the orders of two owners.
    pub quiet: ClockSpan,
    /// The time after which a call to the store is taken as lost.
    pub call_time: ClockSpan,
}

/// What the term asks of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermAction {
    /// Grant a lease and create the entry under it, if it doesn't exist.
    Acquire,
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Write whether the owner is active, if the entry still has this revision.
    Mark {
        /// The revision of the owner's entry.
        fence: u64,
        /// Whether the owner gives orders.
        active: bool,
    },
}

/// What the store answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermAnswer {
    /// The entry was created.
    Acquired {
        /// The lease.
        lease: u64,
        /// The revision of the creation.
        fence: u64,
        /// The start of the call that granted the lease, from which it is counted.
        granted: ClockTime,
    },
    /// The lease was renewed by a call that started at `from`.
    Renewed {
        /// The start of the call.
        from: ClockTime,
    },
    /// The mark was written.
    Marked {
        /// Whether the owner gives orders.
        active: bool,
    },
    /// Another router owns the entry, or the lease has ended.
    Refused,
    /// No answer came; the call may have taken effect.
    Lost,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldTerm {
    lease: u64,
    fence: u64,
    valid_until: ClockTime,
    orders_from: ClockTime,
    renewed: ClockTime,
    last_order: ClockTime,
}

/// The state of the ownership as this router sees it.
#[derive(Clone, Debug)]
pub struct OrderTerm {
    settings: TermSettings,
    owner: Option<VmName>,
    held: Option<HeldTerm>,
    // The mark as the store tells it; without one nobody has ever ordered.
    active: bool,
    pending: Option<ClockTime>,
    next_try: ClockTime,
}

/// The pause after a refused or lost attempt.
const RETRY_PAUSE: ClockSpan = ClockSpan::from_ms(700);

/// How much later each further candidate tries, so that the first one wins without a race.
const RANK_PAUSE: ClockSpan = ClockSpan::from_ms(400);

impl Default for TermSettings {
    fn default() -> TermSettings {
        TermSettings {
            vm: "vm-1".into(),
            lease: ClockSpan::from_ms(1_800),
            renewal: ClockSpan::from_ms(500),
            margin: ClockSpan::from_ms(300),
            quiet: ClockSpan::from_ms(3_300),
            call_time: ClockSpan::from_ms(1_000),
        }
    }
}

impl OrderTerm {
    /// Returns a term that nobody is known to own.
    pub fn new(settings: TermSettings) -> OrderTerm {
        OrderTerm {
            settings,
            owner: None,
            held: None,
            active: false,
            pending: None,
            next_try: ClockTime::ZERO,
        }
    }

    /// Replaces the settings, as after a reload.
    pub fn set_settings(&mut self, settings: TermSettings) {
        self.settings = settings;
    }

    /// Takes the owner as the store tells it; `None` when the entry doesn't exist.
    pub fn observe_leader(&mut self, now: ClockTime, owner: Option<VmName>) {
        if owner.is_none() && self.owner.is_some() {
            self.next_try = self.next_try.max(now);
        }
        let is_own = owner.as_ref() == Some(&self.settings.vm);
        // The owner's answer may be under way while the watch already tells of the entry.
        if !is_own && self.pending.is_none() {
            self.held = None;
        }
        self.owner = owner;
    }

    /// Takes the mark as the store tells it.
    pub fn observe_activity(&mut self, active: bool) {
        self.active = active;
    }

    /// Returns the fencing number while orders may be sent.
    pub fn fence(&self, now: ClockTime) -> Option<u64> {
        let held = self.held?;
        let may_order = self.active && now >= held.orders_from && now < held.valid_until;
        may_order.then_some(held.fence)
    }

    /// Returns the lease while this router owns the entry, to end it at a stop.
    pub fn lease(&self, now: ClockTime) -> Option<u64> {
        self.held.filter(|held| now < held.valid_until).map(|held| held.lease)
    }

    /// Notes that an order was sent.
    pub fn record_order(&mut self, now: ClockTime) {
        if let Some(held) = &mut self.held {
            held.last_order = now;
        }
    }

    /// Returns whether this router owns the entry.
    pub fn is_leader(&self, now: ClockTime) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Returns what to ask of the store; `rank` is this router's place among the candidates, and `has_work` tells
    /// whether there is anything to order.
    pub fn next(&mut self, now: ClockTime, rank: usize, has_work: bool) -> Option<TermAction> {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.next_try = now + RETRY_PAUSE;
        }
        if self.pending.is_some_and(|sent| now.since(sent) < self.settings.call_time) {
            return None;
        }
        self.pending = None;
        if let Some(held) = self.held {
            let action = self.next_as_owner(now, &held, has_work)?;
            self.pending = Some(now);
            return Some(action);
        }
        let wait = ClockSpan::from_ms(RANK_PAUSE.as_ms() * rank as u64);
        if self.owner.is_some() || now < self.next_try + wait {
            return None;
        }
        self.pending = Some(now);
        Some(TermAction::Acquire)
    }

    fn next_as_owner(&self, now: ClockTime, held: &HeldTerm, has_work: bool) -> Option<TermAction> {
        if now.since(held.renewed) >= self.settings.renewal {
            return Some(TermAction::Renew { lease: held.lease });
        }
        let fence = held.fence;
        if has_work && !self.active {
            return Some(TermAction::Mark { fence, active: true });
        }
        let is_quiet = now >= held.orders_from.max(held.last_order + self.settings.quiet);
        if !has_work && self.active && is_quiet {
            return Some(TermAction::Mark { fence, active: false });
        }
        None
    }

    /// Takes the store's answer.
    pub fn answer(&mut self, now: ClockTime, answer: TermAnswer) {
        self.pending = None;
        let usable = self.settings.lease.saturating_sub(self.settings.margin);
        match answer {
            TermAnswer::Acquired { lease, fence, granted } => {
                // Orders of an owner before may be under way only if it was active.
                let orders_from = if self.active { now + self.settings.quiet } else { now };
                let valid_until = granted + usable;
                self.held = Some(HeldTerm {
                    lease,
                    fence,
                    valid_until,
                    orders_from,
                    renewed: now,
                    last_order: ClockTime::ZERO,
                });
                self.owner = Some(self.settings.vm.clone());
            }
            TermAnswer::Renewed { from } => {
                if let Some(held) = &mut self.held {
                    held.valid_until = held.valid_until.max(from + usable);
                    held.renewed = from;
                }
            }
            TermAnswer::Marked { active } => self.active = active,
            TermAnswer::Refused => {
                self.held = None;
                self.next_try = now + RETRY_PAUSE;
            }
            TermAnswer::Lost => {
                // The renewal is tried again at once; the lease ends by the clock.
                if self.held.is_none() {
                    self.next_try = now + RETRY_PAUSE;
                }
            }
        }
    }
}
