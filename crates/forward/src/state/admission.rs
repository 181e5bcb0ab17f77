//! Admission: the checks of a request on arrival, for its route, key and quota.

use std::sync::Arc;

use godwitroad_balance::{RetryBudget, RetrySettings};
use godwitroad_base::{AccountName, ClockSpan, ClockTime, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use super::{ForwardAction, ForwardState};
use crate::{
    AccountRule, ForwardArrival, ForwardRefusal, ForwardRequest, ForwardRules, RefusalReason,
    RouteRule, StopPhase,
};

/// The retry-after time if this router has no configuration yet, or no targets; other routers may have one.
const NO_CONFIGURATION_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(300);

/// The retry-after time if this router has lost the store or lacks the newest configuration; the caller's next connection
/// may reach another router.
pub(super) const STALE_CONFIG_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(200);

/// The retry-after time if this router is shutting down; short, as the caller can retry at another router at once.
const STOPPING_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(20);

/// The fraction of its share of the fleet's retries that this router uses. Requests are spread unevenly over the
/// routers, and a router that was just removed may have used up its own share.
const RETRY_FRACTION: f64 = 0.6;

impl ForwardState {
    /// Admits a request and charges it to its account's allowance.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if this router is stopping and can't be sure to finish the request, or lacks a
    /// current configuration, if the route or the key is unknown, if the route has no service, or if the allowance is
    /// used up.
    pub fn admit(
        &mut self,
        now: ClockTime,
        arrival: ForwardArrival,
    ) -> std::result::Result<ForwardRequest, ForwardRefusal> {
        if self.stop == StopPhase::Closed {
            return Err(stopping_refusal());
        }
        let rules = self.rules.clone().filter(|_| self.knows_targets());
        let rules = rules.ok_or_else(|| {
            ForwardRefusal::after(RefusalReason::NoConfiguration, NO_CONFIGURATION_RETRY_AFTER)
        })?;
        let (route, account) = self.authorize(now, &rules, &arrival)?;
        let draw = xxh3_64(arrival.id.as_bytes());
        let service = route.service_for(draw).cloned();
        let service = service.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoTarget))?;
        let deadline = now + arrival.max_wait.unwrap_or(route.timeout).min(route.timeout);
        if !self.stop.admits(deadline) {
            return Err(stopping_refusal());
        }
        let units = self.charge_allowance(now, account.as_deref(), &arrival)?;
        self.retry_budget(&service).record_request();
        Ok(ForwardRequest {
            arrival,
            route,
            service,
            account,
            arrived: now,
            deadline,
            units,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            is_test: false,
            begun_build: None,
            begun_version: None,
        })
    }

    /// Returns the route and the account of a request under the configuration in force.
    pub(super) fn authorize(
        &self,
        now: ClockTime,
        rules: &ForwardRules,
        arrival: &ForwardArrival,
    ) -> std::result::Result<(Arc<RouteRule>, Option<Arc<AccountRule>>), ForwardRefusal> {
        // What the newer configuration says of a request isn't known, whether its route needs a key or not.
        if self.is_config_outdated(now) {
            let outdated = RefusalReason::ConfigOutdated;
            let refusal = ForwardRefusal::after(outdated, STALE_CONFIG_RETRY_AFTER);
            return Err(self.refusal_if_stale(now).unwrap_or(refusal));
        }
        // Without a valid freshness proof (recent evidence from the store that its configuration is the newest), a
        // router can't know that a route or a key doesn't exist.
        let refusal_for =
            |reason| self.refusal_if_stale(now).unwrap_or_else(|| ForwardRefusal::new(reason));
        let route = rules.route(&arrival.host, &arrival.path);
        let route = route.ok_or_else(|| refusal_for(RefusalReason::RouteUnknown))?;
        let account = arrival.key.as_ref().and_then(|key| rules.account_of(key));
        if route.public || !rules.needs_keys() {
            return Ok((route.clone(), account.cloned()));
        }
        if let Some(refusal) = self.refusal_if_stale(now) {
            return Err(refusal);
        }
        let account = account.ok_or_else(|| refusal_for(RefusalReason::KeyInvalid))?;
        Ok((route.clone(), Some(account.clone())))
    }

    fn charge_allowance(
        &mut self,
        now: ClockTime,
        account: Option<&AccountRule>,
        arrival: &ForwardArrival,
    ) -> std::result::Result<u64, ForwardRefusal> {
        let Some(rule) = account else { return Ok(0) };
        let units = match arrival.tokens {
            _ if !rule.by_tokens => 1,
            Some((input, output)) => input + output,
            None => rule.plain_tokens,
        };
        match self.allowance.admit(now, rule, units, &self.peers) {
            Ok(()) => Ok(units),
            Err(refusal) => {
                let (id, account) = (&arrival.id, rule.name.as_str());
                let detail =
                    format!("request={id} account={account} units={units} {}", refusal.detail);
                self.notices.push(ForwardAction::Notice("allowance_refused", detail));
                Err(ForwardRefusal::after(RefusalReason::AllowanceUsed, refusal.wait))
            }
        }
    }

    /// Returns the account that owns a request's key, for the log.
    pub fn account_name(&self, arrival: &ForwardArrival) -> Option<AccountName> {
        let account = self.rules.as_ref()?.account_of(arrival.key.as_ref()?)?;
        Some(account.name.clone())
    }

    /// Returns whether admissions or sent prompts should be gossiped without waiting for the next round.
    pub fn has_urgent_gossip(&self) -> bool {
        // Urgent messages go to many peers; in a large fleet, sent prompts, the use of limits and targets that leave
        // therefore wait for the regular rounds.
        self.has_new_sent_prompts && self.other_zone_rounds() == 1
            || self.throttle.has_unreported() && self.other_zone_rounds() == 1
            || self.roster.has_leaving_news() && self.other_zone_rounds() == 1
            || self.has_brittle_news() && self.other_zone_rounds() == 1
            || self.allowance.needs_immediate_report()
            || self.quarantine.has_news()
            || self.repeats.has_news()
            || self.rollouts.news().is_some()
            || self.origins.has_news() && self.other_zone_rounds() == 1
    }

    /// Returns the budget of retries that this router may make for a service.
    pub(super) fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let bounds = &self.settings.retries;
        let members = self.member_count() as f64;
        let settings = RetrySettings {
            share: bounds.share * RETRY_FRACTION,
            reserve: (bounds.reserve * RETRY_FRACTION / members).max(1.0),
        };
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(settings))
    }
}

/// Returns the refusal of a router that is stopping.
pub(super) fn stopping_refusal() -> ForwardRefusal {
    ForwardRefusal::after(RefusalReason::Stopping, STOPPING_RETRY_AFTER)
}
