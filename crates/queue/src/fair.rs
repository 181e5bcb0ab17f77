//! The weighted fair queue of requests that wait for a free slot.
//!
//! Interactive requests are served before batch requests, and overnight requests run on idle capacity. Within a
//! priority, accounts share the capacity by their weights. A request that can't be served before its deadline is
//! refused as soon as the estimate shows this. The queue never refuses a request that was taken for service.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, RequestId};
use thiserror::Error;

use crate::{
    QueuePriority,
    class::{PriorityQueue, WaitingRequest},
    rate::RateMeter,
};

/// The settings of a fair queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// The maximum number of waiting requests.
    pub max_requests: usize,
    /// The share of slots that must be free before an overnight request starts.
    pub overnight_idle: f64,
    /// The wait after which an overnight request is moved to the batch priority, so that it is served even if the fleet
    /// is never idle.
    pub overnight_max_wait: ClockSpan,
    /// The free slots reserved for accounts within their share, in standard deviations of their demand.
    ///
    /// Without them, a burst of one account would fill every slot, and other accounts would wait for a slot to become
    /// free although they are first in the order of service. 3 deviations leave them a free slot in more than 99% of
    /// cases. An account that exceeds its share still receives that share.
    pub headroom_deviations: f64,
    /// The time constant of the exponential average of an account's demand.
    pub demand_span: ClockSpan,
    /// The ratio of the estimated wait to the time until the deadline above which a request is refused.
    ///
    /// A value above one allows for the error of the estimate, because a refusal is final, while a waiting request can
    /// still be refused later.
    pub refusal_ratio: f64,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            max_requests: 10_000,
            overnight_idle: 0.5,
            overnight_max_wait: ClockSpan::from_secs(6 * 3_600),
            headroom_deviations: 3.0,
            demand_span: ClockSpan::from_secs(30),
            refusal_ratio: 1.2,
        }
    }
}

/// The properties of a request that the queue needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The identifier of the request.
    pub id: RequestId,
    /// The client account that sent the request.
    pub account: AccountName,
    /// The priority, which an overnight request changes when it is moved to the batch priority.
    pub priority: QueuePriority,
    /// The estimated number of tokens of the prompt and the answer.
    pub tokens: u64,
    /// The time before which the request must be taken for service.
    pub deadline: ClockTime,
}

/// The reason for which the queue refuses a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The request can't be taken for service before its deadline.
    #[error("the request can't be served before its deadline; retry after {retry_after}")]
    TooLate {
        /// The time after which a retry is expected to succeed.
        retry_after: ClockSpan,
    },
    /// The queue has reached its maximum length.
    #[error("the queue is full; retry after {retry_after}")]
    Full {
        /// The time after which a retry is expected to succeed.
        retry_after: ClockSpan,
    },
}

/// The result of adding a request.
pub type Result<T> = std::result::Result<T, Error>;

/// A waiting request that was refused before any part of it ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRefusal {
    /// The identifier of the request.
    pub id: RequestId,
    /// The client account that sent the request.
    pub account: AccountName,
    /// The reason of the refusal, with the time after which to retry.
    pub reason: Error,
}

/// The slots of the targets that may receive requests now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreeSlots {
    /// The number of free slots.
    pub free: u32,
    /// The number of free and used slots.
    pub total: u32,
}

/// The counters of a queue since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueCounters {
    /// Requests taken for service by [`FairQueue::pop`].
    pub taken: u64,
    /// Requests refused on arrival, because the queue was full or the deadline too early.
    pub refused: u64,
    /// Requests refused while they were waiting.
    pub expired: u64,
    /// Requests cancelled while they were waiting.
    pub cancelled: u64,
    /// Times an account was skipped because it exceeds its share and the free slots are reserved for other accounts.
    pub deferred: u64,
}

#[derive(Clone, Copy, Debug)]
struct AccountUsage {
    weight: u32,
    running: u32,
    /// The average number of running and waiting requests.
    demand: f64,
}

impl Default for AccountUsage {
    fn default() -> AccountUsage {
        AccountUsage { weight: 1, running: 0, demand: 0.0 }
    }
}

/// The demand, as an average number of requests, above which an account counts as active.
const MIN_ACTIVE_DEMAND: f64 = 0.01;

/// The interval between two measurements of demand.
const DEMAND_INTERVAL: ClockSpan = ClockSpan::from_ms(50);

/// The minimum retry-after, so that a refused caller doesn't retry immediately.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// A weighted fair queue with priorities and deadlines.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    classes: [PriorityQueue; 3],
    accounts: BTreeMap<AccountName, AccountUsage>,
    waiting: BTreeMap<RequestId, (QueuePriority, AccountName)>,
    rate: RateMeter,
    demand_measured_at: ClockTime,
    counters: QueueCounters,
}

impl FairQueue {
    /// Returns an empty queue.
    pub fn new(settings: QueueSettings) -> FairQueue {
        FairQueue {
            settings,
            classes: Default::default(),
            accounts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            rate: RateMeter::default(),
            demand_measured_at: ClockTime::ZERO,
            counters: QueueCounters::default(),
        }
    }

    /// Sets the weight of an account; the default is one.
    pub fn set_weight(&mut self, account: &AccountName, weight: u32) {
        self.accounts.entry(account.clone()).or_default().weight = weight.max(1);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the estimated tokens of all waiting requests with the priority `priority`.
    pub fn waiting_tokens(&self, priority: QueuePriority) -> u64 {
        self.classes[priority as usize].tokens()
    }

    /// Returns the counters since the queue was created.
    pub fn counters(&self) -> QueueCounters {
        self.counters
    }

    /// Adds a request to the queue of its account and priority.
    ///
    /// # Errors
    ///
    /// Returns an error when the queue is full or when the request can't be taken for service before its deadline.
    pub fn push(&mut self, now: ClockTime, request: QueuedRequest) -> Result<()> {
        self.rate.advance(now, !self.is_empty());
        self.accounts.entry(request.account.clone()).or_default();
        if self.len() >= self.settings.max_requests {
            self.counters.refused += 1;
            let all = QueuePriority::ALL.map(|priority| self.waiting_tokens(priority));
            // A retry is likely to find room after half of the waiting tokens have been served.
            let span = self.rate.span_of(all.iter().sum::<u64>() / 2).unwrap_or_default();
            return Err(Error::Full { retry_after: at_least_min_retry_after(span) });
        }
        let ahead = self.classes[request.priority as usize].account_tokens(&request.account);
        if let Some(late) =
            self.lateness(now, &request.account, request.priority, ahead, request.deadline)
        {
            self.counters.refused += 1;
            return Err(Error::TooLate { retry_after: late });
        }
        self.waiting.insert(request.id, (request.priority, request.account.clone()));
        self.classes[request.priority as usize].push(now, request);
        Ok(())
    }

    /// Takes the next request for service, or returns `None` if none may use the free slots.
    ///
    /// The request counts as running for its account until [`FairQueue::finish`].
    pub fn pop(&mut self, now: ClockTime, slots: FreeSlots) -> Option<QueuedRequest> {
        if slots.free == 0 || self.is_empty() {
            return None;
        }
        self.rate.advance(now, true);
        let priority = QueuePriority::ALL.into_iter().find(|priority| {
            self.classes[*priority as usize].len() > 0 && self.may_run(*priority, slots)
        })?;
        let account = self.next_account(priority, slots)?;
        let weight = self.weight(&account);
        let waiting = self.classes[priority as usize].take_head(&account, weight)?;
        self.waiting.remove(&waiting.request.id);
        self.rate.count(waiting.request.tokens);
        self.counters.taken += 1;
        self.accounts.entry(account).or_default().running += 1;
        Some(waiting.request)
    }

    /// Records the end of a request that was taken, and charges its account for the actual tokens.
    pub fn finish(&mut self, request: &QueuedRequest, real_tokens: u64) {
        let weight = self.weight(&request.account);
        if let Some(account) = self.accounts.get_mut(&request.account) {
            account.running = account.running.saturating_sub(1);
        }
        let class = &mut self.classes[request.priority as usize];
        class.correct_charge(&request.account, weight, request.tokens, real_tokens);
    }

    /// Removes a request whose caller has disconnected, and returns whether it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some((priority, account)) = self.waiting.remove(&id) else { return false };
        self.counters.cancelled += 1;
        self.classes[priority as usize].remove(&account, id).is_some()
    }

    /// Refuses waiting requests that can no longer be taken for service before their deadline.
    pub fn tick(&mut self, now: ClockTime, refusals: &mut Vec<QueueRefusal>) {
        self.rate.advance(now, !self.is_empty());
        // The cost of an estimate is proportional to the number of accounts; other ticks check only expired deadlines.
        let is_estimated = now.since(self.demand_measured_at) >= DEMAND_INTERVAL;
        if is_estimated {
            self.measure_demand(now);
        }
        self.promote_overnight(now);
        let mut late = Vec::new();
        for priority in QueuePriority::ALL {
            for (account, waiting) in self.classes[priority as usize].waiting() {
                let mut ahead = 0;
                for entry in waiting {
                    let request = &entry.request;
                    if !is_estimated && request.deadline > now {
                        continue;
                    }
                    match self.lateness(now, account, priority, ahead, request.deadline) {
                        Some(retry_after) => late.push((request.id, account.clone(), retry_after)),
                        None => ahead += request.tokens,
                    }
                }
            }
        }
        for (id, account, retry_after) in late {
            if let Some((priority, _)) = self.waiting.remove(&id) {
                self.classes[priority as usize].remove(&account, id);
                self.counters.expired += 1;
                let reason = Error::TooLate { retry_after };
                refusals.push(QueueRefusal { id, account, reason });
            }
        }
        self.classes.iter_mut().for_each(PriorityQueue::remove_idle);
    }

    /// Returns the estimated wait of a new request of `account`, or `None` if the rate of service isn't known.
    pub fn estimated_wait(
        &self,
        account: &AccountName,
        priority: QueuePriority,
    ) -> Option<ClockSpan> {
        let ahead = self.classes[priority as usize].account_tokens(account);
        self.rate.span_of(self.tokens_before(account, priority, ahead))
    }

    fn tokens_before(&self, account: &AccountName, priority: QueuePriority, ahead: u64) -> u64 {
        let higher: u64 = self.classes[..priority as usize].iter().map(PriorityQueue::tokens).sum();
        let class = &self.classes[priority as usize];
        higher + class.tokens_before(account, ahead, |account| self.weight(account))
    }

    /// Returns the retry-after of a request that would be late, or `None` if it can be in time.
    fn lateness(
        &self,
        now: ClockTime,
        account: &AccountName,
        priority: QueuePriority,
        ahead: u64,
        deadline: ClockTime,
    ) -> Option<ClockSpan> {
        let remaining = deadline.since(now);
        // The wait of overnight requests can't be estimated, because it depends on idle capacity.
        let is_estimated = priority != QueuePriority::Overnight;
        let tokens = if is_estimated { self.tokens_before(account, priority, ahead) } else { 0 };
        let wait = self.rate.span_of(tokens).unwrap_or_default();
        let is_late = remaining == ClockSpan::ZERO
            || wait.as_ms() as f64 > remaining.as_ms() as f64 * self.settings.refusal_ratio;
        is_late.then(|| at_least_min_retry_after(wait.saturating_sub(remaining)))
    }

    fn may_run(&self, priority: QueuePriority, slots: FreeSlots) -> bool {
        priority != QueuePriority::Overnight
            || f64::from(slots.free) >= self.settings.overnight_idle * f64::from(slots.total)
    }

    /// Returns the account whose first request with the priority `priority` is served next.
    ///
    /// An account whose demand exceeds its share is skipped while the other accounts are expected to need all free
    /// slots.
    fn next_account(&mut self, priority: QueuePriority, slots: FreeSlots) -> Option<AccountName> {
        let active =
            |account: &&AccountUsage| account.demand > MIN_ACTIVE_DEMAND || account.running > 0;
        let weights = self.accounts.values().filter(active).map(|account| account.weight);
        let weights: u32 = weights.sum();
        let total = f64::from(slots.total);
        let share_of = |account: &AccountUsage| {
            f64::from(account.weight) * total / f64::from(weights.max(account.weight))
        };
        let expected = |account: &AccountUsage| account.demand.min(share_of(account));
        let sums = |(demand, running): (f64, u32), account: &AccountUsage| {
            (demand + expected(account), running + account.running)
        };
        let (demand, running) = self.accounts.values().fold((0.0, 0), sums);
        let mut skipped = 0;
        let mut next = None;
        for (name, _) in self.classes[priority as usize].heads() {
            let account = self.accounts.get(name).copied().unwrap_or_default();
            let share = share_of(&account);
            // The margin keeps a small account from counting as over its share after a few consecutive requests.
            let bound = share + self.settings.headroom_deviations * share.sqrt();
            let exceeds_share =
                account.demand >= bound && f64::from(account.running) >= share.floor();
            let others = (demand - expected(&account)).max(0.0);
            let reserved = others + self.settings.headroom_deviations * others.sqrt()
                - f64::from(running - account.running);
            if !exceeds_share || f64::from(slots.free) > reserved {
                next = Some(name.clone());
                break;
            }
            skipped += 1;
        }
        self.counters.deferred += skipped;
        next
    }

    fn measure_demand(&mut self, now: ClockTime) {
        let passed = now.since(self.demand_measured_at).as_ms() as f64;
        let sample_weight = 1.0 - (-passed / self.settings.demand_span.as_ms().max(1) as f64).exp();
        self.demand_measured_at = now;
        for (name, account) in &mut self.accounts {
            let waiting: usize = self.classes.iter().map(|class| class.account_len(name)).sum();
            let outstanding = f64::from(account.running) + waiting as f64;
            account.demand += (outstanding - account.demand) * sample_weight;
        }
    }

    /// Moves overnight requests that have waited for `overnight_max_wait` to the batch priority.
    fn promote_overnight(&mut self, now: ClockTime) {
        let max_wait = self.settings.overnight_max_wait;
        let is_overdue = |waiting: &&WaitingRequest| now.since(waiting.arrived) >= max_wait;
        let overdue: Vec<QueuedRequest> = self.classes[QueuePriority::Overnight as usize]
            .waiting()
            .flat_map(|(_, waiting)| waiting.iter().take_while(is_overdue))
            .map(|waiting| waiting.request.clone())
            .collect();
        for request in overdue {
            let (id, account) = (request.id, request.account.clone());
            self.classes[QueuePriority::Overnight as usize].remove(&account, id);
            let request = QueuedRequest { priority: QueuePriority::Batch, ..request };
            self.waiting.insert(id, (QueuePriority::Batch, account));
            self.classes[QueuePriority::Batch as usize].push(now, request);
        }
    }

    fn weight(&self, account: &AccountName) -> u32 {
        self.accounts.get(account).map_or(1, |account| account.weight)
    }
}

fn at_least_min_retry_after(span: ClockSpan) -> ClockSpan {
    span.max(ClockSpan::from_ms(MIN_RETRY_AFTER_MS))
}
