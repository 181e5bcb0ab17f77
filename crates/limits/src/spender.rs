//! The router's side of the limits: admission from prepaid tokens.
//!
//! Most requests find their tokens here and need no message. A request that is short asks the zone's holder, then
//! the holders of other zones, and waits a bounded time. A grant is good from the moment at which it was asked for,
//! so that it always expires here before it does at the holder.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    demand::DemandMeter,
    message::{AccountGrant, RateMessage, SpendEvent},
    prepaid::PrepaidPool,
    settings::RateSettings,
    shard::shard_of,
    view::OwnershipView,
};

/// The requests of one account that may wait at a time.
const MOST_WAITING: usize = 256;

/// The shortest and the longest wait before an account that is short asks again.
const DRY_MS: (u64, u64) = (5, 100);

/// The time for which a holder that didn't answer is passed over.
const SILENT_MS: u64 = 1_000;

/// An event that [`RateSpender::handle`] takes.
#[derive(Clone, Debug)]
pub enum SpenderEvent {
    /// A request wants tokens, or no longer does.
    Spend(SpendEvent),
    /// A holder answered.
    Grants {
        /// The holder.
        from: VmName,
        /// The answers.
        grants: Vec<AccountGrant>,
    },
    /// Time passed.
    Tick,
}

/// An action of a [`RateSpender`].
#[derive(Clone, Debug)]
pub enum SpenderAction {
    /// Sends a message to a holder, which can be this VM itself.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: RateMessage,
    },
    /// The tokens of a reservation were admitted.
    Admitted {
        /// The reservation.
        ticket: u64,
        /// The tokens.
        tokens: u64,
    },
    /// A reservation found no tokens in time.
    Refused {
        /// The reservation.
        ticket: u64,
        /// The time after which tokens are likely.
        retry_after: ClockSpan,
    },
}

/// Counters of a [`RateSpender`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpenderCounters {
    /// The reservations admitted.
    pub admitted: u64,
    /// The reservations admitted at once, without a message.
    pub admitted_at_once: u64,
    /// The reservations refused.
    pub refused: u64,
    /// The asks sent.
    pub asks: u64,
    /// The asks that a holder didn't answer in time.
    pub unanswered: u64,
    /// The prepaid tokens that expired unused.
    pub expired: u64,
    /// The prepaid tokens given back.
    pub returned: u64,
    /// The reserved tokens that a settlement made free again.
    pub refunded: u64,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: u64,
    tokens: u64,
    until: ClockTime,
}

#[derive(Clone, Debug)]
struct OpenAsk {
    serial: u64,
    holder: VmName,
    sent: ClockTime,
    /// Whether the next step waits for this ask.
    awaited: bool,
    required: u64,
}

#[derive(Clone, Debug)]
struct AccountCredit {
    pool: PrepaidPool,
    asks: Vec<OpenAsk>,
    waiting: VecDeque<WaitingRequest>,
    demand: DemandMeter,
    /// The position in the list of holders that are asked in turn.
    step: usize,
    dry_until: ClockTime,
    retry_after: ClockSpan,
    debt: u64,
}

#[derive(Clone, Debug)]
struct ReservedTokens {
    account: AccountName,
    tokens: u64,
    parts: Vec<(u64, u64)>,
}

/// The router's side of the limits.
#[derive(Debug)]
pub struct RateSpender {
    settings: RateSettings,
    view: std::sync::Arc<OwnershipView>,
    credits: BTreeMap<AccountName, AccountCredit>,
    reserved: BTreeMap<u64, ReservedTokens>,
    silent: BTreeMap<VmName, ClockTime>,
    serial: u64,
    reported: ClockTime,
    counters: SpenderCounters,
}

impl RateSpender {
    /// Returns a spender without prepaid tokens.
    pub fn new(settings: RateSettings, now: ClockTime) -> RateSpender {
        RateSpender {
            settings,
            view: std::sync::Arc::default(),
            credits: BTreeMap::new(),
            reserved: BTreeMap::new(),
            silent: BTreeMap::new(),
            serial: 0,
            reported: now,
            counters: SpenderCounters::default(),
        }
    }

    /// Sets the holders to ask.
    pub fn set_view(&mut self, view: std::sync::Arc<OwnershipView>) {
        self.view = view;
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        now: ClockTime,
        event: SpenderEvent,
        actions: &mut Vec<SpenderAction>,
    ) {
        match event {
            SpenderEvent::Spend(SpendEvent::Reserve { ticket, account, tokens, wait }) => {
                self.reserve(now, ticket, account, tokens, wait, actions);
            }
            SpenderEvent::Spend(SpendEvent::Settle { ticket, used }) => {
                self.settle(now, ticket, used);
            }
            SpenderEvent::Spend(SpendEvent::Cancel { ticket }) => {
                for credit in self.credits.values_mut() {
                    credit.waiting.retain(|waiting| waiting.ticket != ticket);
                }
            }
            SpenderEvent::Grants { from, grants } => {
                for grant in grants {
                    self.take_grant(now, &from, &grant, actions);
                }
            }
            SpenderEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns the number of accounts that have state.
    pub fn active_accounts(&self) -> usize {
        self.credits.len()
    }

    /// Returns the counters.
    pub fn counters(&self) -> SpenderCounters {
        self.counters
    }

    fn reserve(
        &mut self,
        now: ClockTime,
        ticket: u64,
        account: AccountName,
        tokens: u64,
        wait: ClockSpan,
        actions: &mut Vec<SpenderAction>,
    ) {
        let credit = self.credits.entry(account.clone()).or_insert_with(|| AccountCredit::new(now));
        credit.demand.add(now, tokens);
        if credit.waiting.len() >= MOST_WAITING {
            self.counters.refused += 1;
            let retry_after = credit.retry_after;
            actions.push(SpenderAction::Refused { ticket, retry_after });
            return;
        }
        credit.waiting.push_back(WaitingRequest { ticket, tokens, until: now + wait });
        let before = self.counters.admitted;
        self.pump(now, &account, actions);
        self.counters.admitted_at_once += u64::from(self.counters.admitted > before);
    }

    // Admits what the pool covers, and asks for more where it doesn't.
    fn pump(&mut self, now: ClockTime, account: &AccountName, actions: &mut Vec<SpenderAction>) {
        let Some(credit) = self.credits.get_mut(account) else { return };
        self.counters.expired += credit.pool.expire(now);
        let mut index = 0;
        // A small request may pass a large one that waits, as it would at one central bucket.
        while let Some(waiting) = credit.waiting.get(index) {
            if credit.pool.left() < waiting.tokens + credit.debt {
                index += 1;
                continue;
            }
            let (ticket, tokens) = (waiting.ticket, waiting.tokens);
            credit.pool.spend(std::mem::take(&mut credit.debt));
            let parts = credit.pool.spend(tokens);
            credit.waiting.remove(index);
            let reserved = ReservedTokens { account: account.clone(), tokens, parts };
            self.reserved.insert(ticket, reserved);
            self.counters.admitted += 1;
            actions.push(SpenderAction::Admitted { ticket, tokens });
        }
        if credit.asks.iter().any(|ask| ask.awaited) {
            return;
        }
        let target = credit.demand.rate(now) * self.settings.prefetch.as_ms() / 1_000;
        let left = credit.pool.left();
        if credit.waiting.is_empty() {
            credit.step = 0;
            if left < target / 2 && now >= credit.dry_until {
                self.ask(now, account, 0, target - left, actions);
            }
        } else if now >= credit.dry_until {
            let front = credit.waiting.front().map_or(0, |waiting| waiting.tokens);
            let required = (front + credit.debt).saturating_sub(left);
            let others: u64 = credit.waiting.iter().skip(1).map(|waiting| waiting.tokens).sum();
            self.ask(now, account, required.max(1), others + target, actions);
        }
    }

    // Asks the next holder: the zone's own for the whole need, then the others and again the own for a part.
    fn ask(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        required: u64,
        extra: u64,
        actions: &mut Vec<SpenderAction>,
    ) {
        let Some(view) = self.view.shards.get(usize::from(shard_of(account))) else { return };
        let own = view.owner.iter();
        let holders: Vec<&VmName> = own.clone().chain(&view.others).chain(own).collect();
        let Some(credit) = self.credits.get_mut(account) else { return };
        let silent = |vm: &VmName| self.silent.get(vm).is_some_and(|until| now < *until);
        while holders.get(credit.step).is_some_and(|vm| silent(vm)) {
            credit.step += 1;
        }
        let Some(holder) = holders.get(credit.step) else {
            credit.rest(now);
            return;
        };
        // A prefetch is worth one ask of the own holder only.
        if required == 0 && credit.step > 0 {
            credit.rest(now);
            return;
        }
        self.serial += 1;
        self.counters.asks += 1;
        let partial = credit.step > 0 || required == 0;
        let extra = if credit.step > 0 { 0 } else { extra };
        let (serial, holder) = (self.serial, (*holder).clone());
        credit.asks.push(OpenAsk {
            serial,
            holder: holder.clone(),
            sent: now,
            awaited: true,
            required,
        });
        let account = account.clone();
        let entry = crate::message::AccountRequest { account, serial, required, extra, partial };
        actions
            .push(SpenderAction::Send { to: holder, message: RateMessage::Request(vec![entry]) });
    }

    fn take_grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        grant: &AccountGrant,
        actions: &mut Vec<SpenderAction>,
    ) {
        if grant.requester != self.settings.node {
            return;
        }
        let Some(credit) = self.credits.get_mut(&grant.account) else { return };
        let found = credit.asks.iter().position(|ask| ask.serial == grant.serial);
        let Some(index) = found else { return };
        if credit.asks[index].holder != *from {
            return;
        }
        let ask = credit.asks.remove(index);
        self.silent.remove(from);
        credit.pool.add(from, grant.serial, grant.tokens, ask.sent);
        if ask.awaited && ask.required == 0 {
            // A holder that has nothing to spare is not asked for more at once.
            credit.dry_until = now + ClockSpan::from_ms(DRY_MS.1 / 2);
        } else if ask.awaited {
            if grant.tokens >= ask.required.max(1) {
                credit.step = 0;
            } else {
                credit.step += 1;
                if grant.retry_after > ClockSpan::ZERO {
                    credit.retry_after = grant.retry_after;
                }
            }
        }
        self.pump(now, &grant.account, actions);
    }

    fn settle(&mut self, now: ClockTime, ticket: u64, used: u64) {
        let Some(reserved) = self.reserved.remove(&ticket) else { return };
        let Some(credit) = self.credits.get_mut(&reserved.account) else { return };
        credit.debt += used.saturating_sub(reserved.tokens);
        let mut unused = reserved.tokens.saturating_sub(used);
        self.counters.expired += credit.pool.expire(now);
        for (serial, amount) in reserved.parts.iter().rev() {
            let refund = credit.pool.refund(*serial, unused.min(*amount));
            unused -= refund;
            self.counters.refunded += refund;
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<SpenderAction>) {
        let report = now.since(self.reported) >= self.settings.report;
        let accounts: Vec<AccountName> = self.credits.keys().cloned().collect();
        for account in accounts {
            let Some(credit) = self.credits.get_mut(&account) else { continue };
            let late = |ask: &OpenAsk| now.since(ask.sent) >= self.settings.ask;
            for ask in credit.asks.iter_mut().filter(|ask| ask.awaited) {
                if late(ask) {
                    ask.awaited = false;
                    credit.step += 1;
                    self.counters.unanswered += 1;
                    self.silent.insert(ask.holder.clone(), now + ClockSpan::from_ms(SILENT_MS));
                }
            }
            // A grant that comes later than its life has expired already.
            credit.asks.retain(|ask| now < PrepaidPool::expiry(ask.sent));
            let retry_after = credit.retry_after;
            credit.waiting.retain(|waiting| {
                let ended = now >= waiting.until;
                if ended {
                    self.counters.refused += 1;
                    let ticket = waiting.ticket;
                    actions.push(SpenderAction::Refused { ticket, retry_after });
                }
                !ended
            });
            self.pump(now, &account, actions);
        }
        if report {
            self.reported = now;
            self.silent.retain(|_, until| now < *until);
            self.report(now, actions);
        }
    }

    // Tells the holders what was spent, and gives back what isn't needed.
    fn report(&mut self, now: ClockTime, actions: &mut Vec<SpenderAction>) {
        let mut reports: BTreeMap<VmName, Vec<_>> = BTreeMap::new();
        for (account, credit) in &mut self.credits {
            let target = credit.demand.rate(now) * self.settings.prefetch.as_ms() / 1_000;
            if credit.waiting.is_empty() {
                self.counters.returned += credit.pool.give_back(now, target);
            }
            for (holder, report) in credit.pool.reports(account) {
                reports.entry(holder).or_default().push(report);
            }
        }
        for (to, reports) in reports {
            let message = RateMessage::Report(reports);
            actions.push(SpenderAction::Send { to, message });
        }
        self.credits.retain(|_, credit| !credit.is_idle(now));
    }

    /// Returns the identity of this process.
    pub fn node(&self) -> &NodeId {
        &self.settings.node
    }
}

impl AccountCredit {
    fn new(now: ClockTime) -> AccountCredit {
        AccountCredit {
            pool: PrepaidPool::default(),
            asks: Vec::new(),
            waiting: VecDeque::new(),
            demand: DemandMeter::new(now),
            step: 0,
            dry_until: now,
            retry_after: ClockSpan::from_ms(DRY_MS.1),
            debt: 0,
        }
    }

    // All holders are short: the next request in the queue gets its turn after a short rest.
    fn rest(&mut self, now: ClockTime) {
        self.step = 0;
        let rest = self.retry_after.as_ms().clamp(DRY_MS.0, DRY_MS.1);
        self.dry_until = now + ClockSpan::from_ms(rest);
        if !self.waiting.is_empty() {
            self.waiting.rotate_left(1);
        }
    }

    fn is_idle(&mut self, now: ClockTime) -> bool {
        let quiet = self.waiting.is_empty() && self.asks.is_empty() && self.debt == 0;
        quiet && self.pool.is_empty() && self.demand.rate(now) == 0
    }
}
