//! Prepaid tokens of one account in one router.

use godwitroad_base::{AccountName, ClockSpan, ClockTime, VmName};
use godwitroad_member::shortest_span;

use crate::{message::AccountReport, settings::GRANT_TTL_MS};

/// The time before its expiry at which an unused grant is given back.
const GIVE_BACK_MS: u64 = 500;

#[derive(Clone, Debug)]
struct PrepaidGrant {
    holder: VmName,
    serial: u64,
    left: u64,
    spent: u64,
    returned: u64,
    /// The totals of the last report.
    told: (u64, u64),
    expires: ClockTime,
}

/// The prepaid tokens of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrepaidPool {
    grants: Vec<PrepaidGrant>,
}

impl PrepaidPool {
    /// Returns the time at which a grant that was asked for at `sent` can't be used any more.
    pub(crate) fn expiry(sent: ClockTime) -> ClockTime {
        sent + shortest_span(ClockSpan::from_ms(GRANT_TTL_MS))
    }

    pub(crate) fn add(&mut self, holder: &VmName, serial: u64, tokens: u64, sent: ClockTime) {
        if tokens == 0 {
            return;
        }
        let expires = PrepaidPool::expiry(sent);
        let holder = holder.clone();
        let grant = PrepaidGrant {
            holder,
            serial,
            left: tokens,
            spent: 0,
            returned: 0,
            told: (0, 0),
            expires,
        };
        self.grants.push(grant);
        self.grants.sort_by_key(|grant| (grant.expires, grant.serial));
    }

    /// Drops expired grants and returns their unused tokens.
    pub(crate) fn expire(&mut self, now: ClockTime) -> u64 {
        let expired = self.grants.iter().filter(|grant| now >= grant.expires);
        let lost = expired.map(|grant| grant.left).sum();
        self.grants.retain(|grant| now < grant.expires);
        lost
    }

    pub(crate) fn left(&self) -> u64 {
        self.grants.iter().map(|grant| grant.left).sum()
    }

    /// Spends up to `tokens`, those first that expire first, and returns the parts by grant.
    pub(crate) fn spend(&mut self, mut tokens: u64) -> Vec<(u64, u64)> {
        let mut parts = Vec::new();
        for grant in &mut self.grants {
            let part = tokens.min(grant.left);
            if part > 0 {
                grant.left -= part;
                grant.spent += part;
                tokens -= part;
                parts.push((grant.serial, part));
            }
        }
        parts
    }

    /// Makes up to `tokens` of a grant free again, as far as they haven't been reported as spent.
    pub(crate) fn refund(&mut self, serial: u64, tokens: u64) -> u64 {
        let Some(grant) = self.grants.iter_mut().find(|grant| grant.serial == serial) else {
            return 0;
        };
        let refund = tokens.min(grant.spent - grant.told.0);
        grant.spent -= refund;
        grant.left += refund;
        refund
    }

    /// Gives back what exceeds `target` and what would soon expire, and returns the amount.
    pub(crate) fn give_back(&mut self, now: ClockTime, target: u64) -> u64 {
        let mut over = self.left().saturating_sub(target);
        let mut total = 0;
        for grant in &mut self.grants {
            let soon = grant.expires.since(now).as_ms() <= GIVE_BACK_MS;
            let part = if soon { grant.left } else { grant.left.min(over) };
            grant.left -= part;
            grant.returned += part;
            over = over.saturating_sub(part);
            total += part;
        }
        total
    }

    /// Returns the totals that changed since the last report, and forgets grants that are used up.
    pub(crate) fn reports(&mut self, account: &AccountName) -> Vec<(VmName, AccountReport)> {
        let mut reports = Vec::new();
        for grant in &mut self.grants {
            if grant.told != (grant.spent, grant.returned) {
                grant.told = (grant.spent, grant.returned);
                let account = account.clone();
                let (serial, spent, returned) = (grant.serial, grant.spent, grant.returned);
                let report = AccountReport { account, serial, spent, returned };
                reports.push((grant.holder.clone(), report));
            }
        }
        self.grants.retain(|grant| grant.left > 0);
        reports
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
