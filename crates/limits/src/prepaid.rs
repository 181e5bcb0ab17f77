//! The prepaid tokens of one account at one router.

use godwitroad_base::{AccountName, ClockSpan, ClockTime, VmName};
use godwitroad_member::min_drifted_span;

use crate::{message::AccountReport, settings::GRANT_TTL_MS};

/// The time before its expiry at which the unused tokens of a grant are returned.
const RETURN_BEFORE_EXPIRY_MS: u64 = 500;

#[derive(Clone, Debug)]
struct PrepaidGrant {
    holder: VmName,
    serial: u64,
    remaining: u64,
    spent: u64,
    returned: u64,
    /// The totals of spent and returned tokens in the last report.
    last_report: (u64, u64),
    expires: ClockTime,
}

/// The prepaid tokens of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrepaidPool {
    grants: Vec<PrepaidGrant>,
}

impl PrepaidPool {
    /// Returns the time from which a grant requested at `sent` can no longer be used.
    pub(crate) fn expiry(sent: ClockTime) -> ClockTime {
        sent + min_drifted_span(ClockSpan::from_ms(GRANT_TTL_MS))
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
            remaining: tokens,
            spent: 0,
            returned: 0,
            last_report: (0, 0),
            expires,
        };
        self.grants.push(grant);
        self.grants.sort_by_key(|grant| (grant.expires, grant.serial));
    }

    /// Drops expired grants and returns the number of their unused tokens.
    pub(crate) fn expire(&mut self, now: ClockTime) -> u64 {
        let expired = self.grants.iter().filter(|grant| now >= grant.expires);
        let unused = expired.map(|grant| grant.remaining).sum();
        self.grants.retain(|grant| now < grant.expires);
        unused
    }

    pub(crate) fn remaining(&self) -> u64 {
        self.grants.iter().map(|grant| grant.remaining).sum()
    }

    /// Spends up to `tokens`, starting with the grant that expires first. Returns the serial number of each grant used
    /// and the tokens taken from it.
    pub(crate) fn spend(&mut self, mut tokens: u64) -> Vec<(u64, u64)> {
        let mut parts = Vec::new();
        for grant in &mut self.grants {
            let amount = tokens.min(grant.remaining);
            if amount > 0 {
                grant.remaining -= amount;
                grant.spent += amount;
                tokens -= amount;
                parts.push((grant.serial, amount));
            }
        }
        parts
    }

    /// Makes up to `tokens` of a grant available again, except those already reported as spent. Returns their number.
    pub(crate) fn refund(&mut self, serial: u64, tokens: u64) -> u64 {
        let Some(grant) = self.grants.iter_mut().find(|grant| grant.serial == serial) else {
            return 0;
        };
        let refund = tokens.min(grant.spent - grant.last_report.0);
        grant.spent -= refund;
        grant.remaining += refund;
        refund
    }

    /// Marks tokens beyond `target` and those of grants about to expire as returned. Returns their number.
    pub(crate) fn return_unneeded(&mut self, now: ClockTime, target: u64) -> u64 {
        let mut excess = self.remaining().saturating_sub(target);
        let mut total = 0;
        for grant in &mut self.grants {
            let expires_soon = grant.expires.since(now).as_ms() <= RETURN_BEFORE_EXPIRY_MS;
            let amount = if expires_soon { grant.remaining } else { grant.remaining.min(excess) };
            grant.remaining -= amount;
            grant.returned += amount;
            excess = excess.saturating_sub(amount);
            total += amount;
        }
        total
    }

    /// Returns reports of the totals that changed since the last call, and drops grants without remaining tokens.
    pub(crate) fn take_reports(&mut self, account: &AccountName) -> Vec<(VmName, AccountReport)> {
        let mut reports = Vec::new();
        for grant in &mut self.grants {
            if grant.last_report != (grant.spent, grant.returned) {
                grant.last_report = (grant.spent, grant.returned);
                let account = account.clone();
                let (serial, spent, returned) = (grant.serial, grant.spent, grant.returned);
                let report = AccountReport { account, serial, spent, returned };
                reports.push((grant.holder.clone(), report));
            }
        }
        self.grants.retain(|grant| grant.remaining > 0);
        reports
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
