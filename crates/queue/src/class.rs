//! Queue of the requests of one priority, ordered by start-time fair queueing.
//!
//! Each account has a finish tag, which grows by the tokens of each served request divided by the weight of the
//! account. The first request of the account with the lowest start tag is served next. An account that was idle
//! starts at the current virtual time: it gains no credit while it is idle, and it isn't penalized for what it used
//! while other accounts were idle.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use godwitroad_base::{AccountName, ClockTime, RequestId};

use crate::fair::QueuedRequest;

/// The number of tag units per token; the rounding error of a tag is negligible for weights up to this number.
pub(crate) const TAG_UNITS_PER_TOKEN: u128 = 1 << 20;

#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: QueuedRequest,
    pub(crate) arrived: ClockTime,
    /// The virtual time at which the request arrived.
    virtual_arrival: u128,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<WaitingRequest>,
    tokens: u64,
    finish: u128,
    /// The start tag with which the account is in `order`, while requests wait.
    start: u128,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    order: BTreeSet<(u128, AccountName)>,
    virtual_time: u128,
    tokens: u64,
    count: usize,
}

/// Returns by how much `tokens` tokens advance the finish tag of an account of weight `weight`.
fn tag_length(tokens: u64, weight: u32) -> u128 {
    u128::from(tokens) * TAG_UNITS_PER_TOKEN / u128::from(weight.max(1))
}

impl PriorityQueue {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn push(&mut self, now: ClockTime, request: QueuedRequest) {
        let account = request.account.clone();
        let queue = self.accounts.entry(account.clone()).or_default();
        self.tokens += request.tokens;
        self.count += 1;
        queue.tokens += request.tokens;
        let virtual_arrival = self.virtual_time;
        queue.waiting.push_back(WaitingRequest { request, arrived: now, virtual_arrival });
        if queue.waiting.len() == 1 {
            queue.start = queue.finish.max(virtual_arrival);
            self.order.insert((queue.start, account));
        }
    }

    /// Returns the accounts with waiting requests and their first requests, in the order of service.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (&AccountName, &WaitingRequest)> {
        self.order.iter().filter_map(|(_, account)| {
            let queue = self.accounts.get(account)?;
            Some((account, queue.waiting.front()?))
        })
    }

    /// Removes the first request of `account` for service, and charges its tokens to the account.
    pub(crate) fn take_head(
        &mut self,
        account: &AccountName,
        weight: u32,
    ) -> Option<WaitingRequest> {
        let queue = self.accounts.get_mut(account)?;
        let head = queue.waiting.pop_front()?;
        self.order.remove(&(queue.start, account.clone()));
        self.virtual_time = self.virtual_time.max(queue.start);
        queue.finish = queue.start + tag_length(head.request.tokens, weight);
        queue.tokens -= head.request.tokens;
        self.tokens -= head.request.tokens;
        self.count -= 1;
        self.insert_head(account);
        Some(head)
    }

    /// Removes a request that won't be served, without a charge.
    pub(crate) fn remove(
        &mut self,
        account: &AccountName,
        id: RequestId,
    ) -> Option<WaitingRequest> {
        let queue = self.accounts.get_mut(account)?;
        let position = queue.waiting.iter().position(|waiting| waiting.request.id == id)?;
        let removed = queue.waiting.remove(position)?;
        queue.tokens -= removed.request.tokens;
        self.tokens -= removed.request.tokens;
        self.count -= 1;
        if position == 0 {
            self.order.remove(&(queue.start, account.clone()));
            self.insert_head(account);
        }
        Some(removed)
    }

    /// Charges or refunds the difference between the estimated and the actual tokens of a request.
    pub(crate) fn correct_charge(
        &mut self,
        account: &AccountName,
        weight: u32,
        estimated: u64,
        real: u64,
    ) {
        let Some(queue) = self.accounts.get_mut(account) else { return };
        let charged = tag_length(estimated, weight);
        queue.finish = (queue.finish + tag_length(real, weight)).saturating_sub(charged);
        if !queue.waiting.is_empty() {
            self.order.remove(&(queue.start, account.clone()));
            self.insert_head(account);
        }
    }

    /// Returns an upper bound of the tokens served before a request of `account` that follows `ahead` tokens of that
    /// account.
    ///
    /// Until then, each other account is served at most its backlog, and at most its weighted share of the virtual time
    /// that passes.
    pub(crate) fn tokens_before(
        &self,
        account: &AccountName,
        ahead: u64,
        weight_of: impl Fn(&AccountName) -> u32,
    ) -> u64 {
        let own = self.accounts.get(account);
        let finish = own.map_or(0, |queue| queue.finish).max(self.virtual_time);
        let start = finish + tag_length(ahead, weight_of(account));
        let others = self.order.iter().filter(|(_, other)| other != account);
        let mut total = ahead;
        for (begin, other) in others {
            if *begin >= start {
                break;
            }
            let Some(queue) = self.accounts.get(other) else { continue };
            let share = (start - begin) * u128::from(weight_of(other)) / TAG_UNITS_PER_TOKEN;
            total += queue.tokens.min(u64::try_from(share).unwrap_or(u64::MAX));
        }
        total
    }

    pub(crate) fn account_tokens(&self, account: &AccountName) -> u64 {
        self.accounts.get(account).map_or(0, |queue| queue.tokens)
    }

    pub(crate) fn account_len(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |queue| queue.waiting.len())
    }

    pub(crate) fn waiting(
        &self,
    ) -> impl Iterator<Item = (&AccountName, &VecDeque<WaitingRequest>)> {
        self.accounts.iter().map(|(account, queue)| (account, &queue.waiting))
    }

    /// Removes accounts without waiting requests whose finish tag has been reached by the virtual time.
    pub(crate) fn remove_idle(&mut self) {
        let current = self.virtual_time;
        self.accounts.retain(|_, queue| !queue.waiting.is_empty() || queue.finish > current);
    }

    /// Inserts `account` into `order` after its first request or its finish tag changed.
    fn insert_head(&mut self, account: &AccountName) {
        let Some(queue) = self.accounts.get_mut(account) else { return };
        if let Some(head) = queue.waiting.front() {
            queue.start = queue.finish.max(head.virtual_arrival);
            self.order.insert((queue.start, account.clone()));
        }
    }
}
