//! Admission of client requests from prepaid tokens.
//!
//! Most requests are admitted from the prepaid tokens of their account without a message. If these are insufficient,
//! the spender requests tokens from the zone's holder and then from the holders of other zones, while the client
//! request waits for a bounded time. A grant's lifetime counts from the time at which it was requested, so that it
//! always expires here before it expires at the holder.

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

/// The number of requests of one account that may wait at a time.
const MAX_WAITING: usize = 256;

/// The shortest and the longest delay before tokens are requested again after all holders lacked them.
const EXHAUSTED_RETRY_MS: (u64, u64) = (5, 100);

/// The time for which a holder that did not answer in time is skipped.
const UNRESPONSIVE_MS: u64 = 1_000;

/// An event handled by [`RateSpender::handle`].
#[derive(Clone, Debug)]
pub enum SpenderEvent {
    /// A client request requires tokens, or no longer does.
    Spend(SpendEvent),
    /// A holder answered requests.
    Grants {
        /// The VM of the holder.
        from: VmName,
        /// The answers, one for each account.
        grants: Vec<AccountGrant>,
    },
    /// Periodic call that drives time-outs and reports.
    Tick,
}

/// An action of a [`RateSpender`].
#[derive(Clone, Debug)]
pub enum SpenderAction {
    /// Sends a message to a holder, which may be this VM itself.
    Send {
        /// The receiver's VM.
        to: VmName,
        /// The message to send.
        message: RateMessage,
    },
    /// A reservation was admitted.
    Admitted {
        /// The number of the reservation.
        ticket: u64,
        /// The number of reserved tokens.
        tokens: u64,
    },
    /// A reservation was refused: its tokens did not become available in time, or too many requests wait.
    Refused {
        /// The number of the reservation.
        ticket: u64,
        /// The time after which tokens are expected to be available.
        retry_after: ClockSpan,
    },
}

/// Counters of a [`RateSpender`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpenderCounters {
    /// The number of reservations admitted.
    pub admitted: u64,
    /// The number of reservations admitted immediately, without a message.
    pub admitted_at_once: u64,
    /// The number of reservations refused.
    pub refused: u64,
    /// The number of token requests sent to holders.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// The number of token requests that a holder did not answer in time.
    pub unanswered: u64,
    /// The number of prepaid tokens that expired unused.
    pub expired: u64,
    /// The number of prepaid tokens returned to holders.
    pub returned: u64,
    /// The number of reserved but unused tokens that became available again when a reservation was settled.
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
    /// Whether the next request waits for the answer; false after a time-out.
    awaited: bool,
    required: u64,
}

#[derive(Clone, Debug)]
struct AccountState {
    pool: PrepaidPool,
    requests: Vec<PendingRequest>,
    waiting: VecDeque<WaitingRequest>,
    demand: DemandMeter,
    /// The position in the list of holders that receive requests in turn.
    holder_index: usize,
    /// The earliest time for the next token request.
    retry_at: ClockTime,
    /// The retry delay that a holder last announced.
    retry_after: ClockSpan,
    /// The tokens used beyond settled reservations, deducted at the next admission.
    debt: u64,
}

#[derive(Clone, Debug)]
struct ReservedTokens {
    account: AccountName,
    tokens: u64,
    /// The serial number of each grant used and the tokens taken from it.
    parts: Vec<(u64, u64)>,
}

/// Admits the client requests of one router from prepaid tokens.
#[derive(Debug)]
pub struct RateSpender {
    settings: RateSettings,
    view: std::sync::Arc<OwnershipView>,
    accounts: BTreeMap<AccountName, AccountState>,
    reserved: BTreeMap<u64, ReservedTokens>,
    /// The holders to skip, each with the time until which it is skipped.
    unresponsive: BTreeMap<VmName, ClockTime>,
    serial: u64,
    last_report: ClockTime,
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
            last_report: now,
            counters: SpenderCounters::default(),
        }
    }

    /// Sets the owners from which tokens are requested.
    pub fn set_view(&mut self, view: std::sync::Arc<OwnershipView>) {
        self.view = view;
    }

    /// Handles one event and appends the resulting actions to `actions`.
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

    /// Returns the number of accounts with state.
    pub fn active_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the counters since the start of the process.
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

    // Admits waiting requests as far as the prepaid tokens suffice, and requests more tokens if required.
    fn admit_waiting(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        actions: &mut Vec<SpenderAction>,
    ) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        self.counters.expired += state.pool.expire(now);
        let mut index = 0;
        // A small request may overtake a large waiting one, as it would at a single central bucket.
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
            let first = state.waiting.front().map_or(0, |waiting| waiting.tokens);
            let required = (first + state.debt).saturating_sub(remaining);
            let queued: u64 = state.waiting.iter().skip(1).map(|waiting| waiting.tokens).sum();
            self.request_tokens(now, account, required.max(1), queued + target, actions);
        }
    }

    // Sends a request to the next holder: first to the zone's own for all required tokens, then to the others and again
    // to the zone's own, from which fewer tokens are accepted.
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
        // A prefetch is requested only from the zone's own holder.
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
            // Delays the next prefetch, as the holder may have no tokens to spare.
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
        let report = now.since(self.last_report) >= self.settings.report_interval;
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
            // A grant that arrives after this time has already expired.
            state.requests.retain(|request| now < PrepaidPool::expiry(request.sent));
            let retry_after = state.retry_after;
            state.waiting.retain(|waiting| {
                let timed_out = now >= waiting.until;
                if timed_out {
                    self.counters.refused += 1;
                    let ticket = waiting.ticket;
                    actions.push(SpenderAction::Refused { ticket, retry_after });
                }
                !timed_out
            });
            self.admit_waiting(now, &account, actions);
        }
        if report {
            self.last_report = now;
            self.unresponsive.retain(|_, until| now < *until);
            self.report(now, actions);
        }
    }

    // Reports spent tokens to the holders and returns unneeded ones.
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

    // All holders lack tokens: delays the next request, which will be for the next client request in the queue.
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
