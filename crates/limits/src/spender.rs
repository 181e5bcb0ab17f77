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
const MAX_WAITING: usize = 256;

/// The shortest and the longest wait before an account that is short asks again.
const EXHAUSTED_RETRY_MS: (u64, u64) = (5, 100);

/// The time for which a holder that didn't answer is passed over.
const UNRESPONSIVE_MS: u64 = 1_000;

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
    #[serde(rename = "asks")]
    pub requests: u64,
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
struct PendingRequest {
    serial: u64,
    holder: VmName,
    sent: ClockTime,
    /// Whether the next step waits for this ask.
    awaited: bool,
    required: u64,
}

#[derive(Clone, Debug)]
struct AccountState {
    pool: PrepaidPool,
    requests: Vec<PendingRequest>,
    waiting: VecDeque<WaitingRequest>,
    demand: DemandMeter,
    /// The position in the list of holders that are asked in turn.
    holder_index: usize,
    retry_at: ClockTime,
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
    accounts: BTreeMap<AccountName, AccountState>,
    reserved: BTreeMap<u64, ReservedTokens>,
    unresponsive: BTreeMap<VmName, ClockTime>,
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
            accounts: BTreeMap::new(),
            reserved: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
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
                for state in self.accounts.values_mut() {
                    state.waiting.retain(|waiting| waiting.ticket != ticket);
                }
            }
            SpenderEvent::Grants { from, grants } => {
                for grant in grants {
                    self.apply_grant(now, &from, &grant, actions);
                }
            }
            SpenderEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns the number of accounts that have state.
    pub fn active_accounts(&self) -> usize {
        self.accounts.len()
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
        let state = self.accounts.entry(account.clone()).or_insert_with(|| AccountState::new(now));
        state.demand.add(now, tokens);
        if state.waiting.len() >= MAX_WAITING {
            self.counters.refused += 1;
            let retry_after = state.retry_after;
            actions.push(SpenderAction::Refused { ticket, retry_after });
            return;
        }
        state.waiting.push_back(WaitingRequest { ticket, tokens, until: now + wait });
        let before = self.counters.admitted;
        self.admit_waiting(now, &account, actions);
        self.counters.admitted_at_once += u64::from(self.counters.admitted > before);
    }

    // Admits what the pool covers, and asks for more where it doesn't.
    fn admit_waiting(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        actions: &mut Vec<SpenderAction>,
    ) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        self.counters.expired += state.pool.expire(now);
        let mut index = 0;
        // A small request may pass a large one that waits, as it would at one central bucket.
        while let Some(waiting) = state.waiting.get(index) {
            if state.pool.remaining() < waiting.tokens + state.debt {
                index += 1;
                continue;
            }
            let (ticket, tokens) = (waiting.ticket, waiting.tokens);
            state.pool.spend(std::mem::take(&mut state.debt));
            let parts = state.pool.spend(tokens);
            state.waiting.remove(index);
            let reserved = ReservedTokens { account: account.clone(), tokens, parts };
            self.reserved.insert(ticket, reserved);
            self.counters.admitted += 1;
            actions.push(SpenderAction::Admitted { ticket, tokens });
        }
        if state.requests.iter().any(|request| request.awaited) {
            return;
        }
        let target = state.demand.rate(now) * self.settings.prefetch_span.as_ms() / 1_000;
        let remaining = state.pool.remaining();
        if state.waiting.is_empty() {
            state.holder_index = 0;
            if remaining < target / 2 && now >= state.retry_at {
                self.request_tokens(now, account, 0, target - remaining, actions);
            }
        } else if now >= state.retry_at {
            let front = state.waiting.front().map_or(0, |waiting| waiting.tokens);
            let required = (front + state.debt).saturating_sub(remaining);
            let queued: u64 = state.waiting.iter().skip(1).map(|waiting| waiting.tokens).sum();
            self.request_tokens(now, account, required.max(1), queued + target, actions);
        }
    }

    // Asks the next holder: the zone's own for the whole need, then the others and again the own for a part.
    fn request_tokens(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        required: u64,
        extra: u64,
        actions: &mut Vec<SpenderAction>,
    ) {
        let Some(view) = self.view.shards.get(usize::from(shard_of(account))) else { return };
        let own = view.owner.iter();
        let holders: Vec<&VmName> = own.clone().chain(&view.remote_owners).chain(own).collect();
        let Some(state) = self.accounts.get_mut(account) else { return };
        let unresponsive =
            |vm: &VmName| self.unresponsive.get(vm).is_some_and(|until| now < *until);
        while holders.get(state.holder_index).is_some_and(|vm| unresponsive(vm)) {
            state.holder_index += 1;
        }
        let Some(holder) = holders.get(state.holder_index) else {
            state.back_off(now);
            return;
        };
        // A prefetch is worth one ask of the own holder only.
        if required == 0 && state.holder_index > 0 {
            state.back_off(now);
            return;
        }
        self.serial += 1;
        self.counters.requests += 1;
        let partial = state.holder_index > 0 || required == 0;
        let extra = if state.holder_index > 0 { 0 } else { extra };
        let (serial, holder) = (self.serial, (*holder).clone());
        state.requests.push(PendingRequest {
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

    fn apply_grant(
        &mut self,
        now: ClockTime,
        from: &VmName,
        grant: &AccountGrant,
        actions: &mut Vec<SpenderAction>,
    ) {
        if grant.requester != self.settings.node {
            return;
        }
        let Some(state) = self.accounts.get_mut(&grant.account) else { return };
        let found = state.requests.iter().position(|request| request.serial == grant.serial);
        let Some(index) = found else { return };
        if state.requests[index].holder != *from {
            return;
        }
        let request = state.requests.remove(index);
        self.unresponsive.remove(from);
        state.pool.add(from, grant.serial, grant.tokens, request.sent);
        if request.awaited && request.required == 0 {
            // A holder that has nothing to spare is not asked for more at once.
            state.retry_at = now + ClockSpan::from_ms(EXHAUSTED_RETRY_MS.1 / 2);
        } else if request.awaited {
            if grant.tokens >= request.required.max(1) {
                state.holder_index = 0;
            } else {
                state.holder_index += 1;
                if grant.retry_after > ClockSpan::ZERO {
                    state.retry_after = grant.retry_after;
                }
            }
        }
        self.admit_waiting(now, &grant.account, actions);
    }

    fn settle(&mut self, now: ClockTime, ticket: u64, used: u64) {
        let Some(reserved) = self.reserved.remove(&ticket) else { return };
        let Some(state) = self.accounts.get_mut(&reserved.account) else { return };
        state.debt += used.saturating_sub(reserved.tokens);
        let mut unused = reserved.tokens.saturating_sub(used);
        self.counters.expired += state.pool.expire(now);
        for (serial, amount) in reserved.parts.iter().rev() {
            let refund = state.pool.refund(*serial, unused.min(*amount));
            unused -= refund;
            self.counters.refunded += refund;
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<SpenderAction>) {
        let report = now.since(self.reported) >= self.settings.report_interval;
        let accounts: Vec<AccountName> = self.accounts.keys().cloned().collect();
        for account in accounts {
            let Some(state) = self.accounts.get_mut(&account) else { continue };
            let late =
                |request: &PendingRequest| now.since(request.sent) >= self.settings.request_timeout;
            for request in state.requests.iter_mut().filter(|request| request.awaited) {
                if late(request) {
                    request.awaited = false;
                    state.holder_index += 1;
                    self.counters.unanswered += 1;
                    self.unresponsive
                        .insert(request.holder.clone(), now + ClockSpan::from_ms(UNRESPONSIVE_MS));
                }
            }
            // A grant that comes later than its life has expired already.
            state.requests.retain(|request| now < PrepaidPool::expiry(request.sent));
            let retry_after = state.retry_after;
            state.waiting.retain(|waiting| {
                let ended = now >= waiting.until;
                if ended {
                    self.counters.refused += 1;
                    let ticket = waiting.ticket;
                    actions.push(SpenderAction::Refused { ticket, retry_after });
                }
                !ended
            });
            self.admit_waiting(now, &account, actions);
        }
        if report {
            self.reported = now;
            self.unresponsive.retain(|_, until| now < *until);
            self.report(now, actions);
        }
    }

    // Tells the holders what was spent, and gives back what isn't needed.
    fn report(&mut self, now: ClockTime, actions: &mut Vec<SpenderAction>) {
        let mut reports: BTreeMap<VmName, Vec<_>> = BTreeMap::new();
        for (account, state) in &mut self.accounts {
            let target = state.demand.rate(now) * self.settings.prefetch_span.as_ms() / 1_000;
            if state.waiting.is_empty() {
                self.counters.returned += state.pool.return_unneeded(now, target);
            }
            for (holder, report) in state.pool.take_reports(account) {
                reports.entry(holder).or_default().push(report);
            }
        }
        for (to, reports) in reports {
            let message = RateMessage::Report(reports);
            actions.push(SpenderAction::Send { to, message });
        }
        self.accounts.retain(|_, state| !state.is_idle(now));
    }

    /// Returns the identity of this process.
    pub fn node(&self) -> &NodeId {
        &self.settings.node
    }
}

impl AccountState {
    fn new(now: ClockTime) -> AccountState {
        AccountState {
            pool: PrepaidPool::default(),
            requests: Vec::new(),
            waiting: VecDeque::new(),
            demand: DemandMeter::new(now),
            holder_index: 0,
            retry_at: now,
            retry_after: ClockSpan::from_ms(EXHAUSTED_RETRY_MS.1),
            debt: 0,
        }
    }

    // All holders are short: the next request in the queue gets its turn after a short rest.
    fn back_off(&mut self, now: ClockTime) {
        self.holder_index = 0;
        let wait = self.retry_after.as_ms().clamp(EXHAUSTED_RETRY_MS.0, EXHAUSTED_RETRY_MS.1);
        self.retry_at = now + ClockSpan::from_ms(wait);
        if !self.waiting.is_empty() {
            self.waiting.rotate_left(1);
        }
    }

    fn is_idle(&mut self, now: ClockTime) -> bool {
        let idle = self.waiting.is_empty() && self.requests.is_empty() && self.debt == 0;
        idle && self.pool.is_empty() && self.demand.rate(now) == 0
    }
}
