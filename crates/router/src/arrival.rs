//! Handles arriving requests: validates them, refuses them with a typed error, or admits them.

use std::sync::Arc;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, RequestId};
use godwitroad_config::{
    CutOffPolicy, ModelConfig, RepeatRule, RouteConfig, ServiceConfig, ServiceKind,
};
use godwitroad_lifecycle::{LifeStage, RequestLife};
use godwitroad_limits::{RateEvent, SpendEvent};
use godwitroad_prefix::{ChainSalt, PrefixChain};
use godwitroad_stream::StreamLog;

use crate::{
    CallerError, ErrorKind, RequestArrival, RouterAction, RouterState,
    claim::ClaimedAnswer,
    fleet::FleetEvent,
    request::{CallerState, RequestEntry, RequestFacts},
    state::EventContext,
};

/// The number of prompt bytes that count as one token for rate limits and queues.
const BYTES_PER_TOKEN: u64 = 4;

/// The number of output tokens to reserve if the request does not limit them.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The maximum time for which a request waits for rate limit tokens of its account.
const MAX_RATE_WAIT: ClockSpan = ClockSpan::from_ms(1_000);

impl RouterState {
    pub(crate) fn handle_arrival(
        &mut self,
        context: &mut EventContext<'_>,
        arrival: RequestArrival,
    ) {
        if let Some(event) = arrival.last_event_id.clone() {
            return self.resume_stream(context, &arrival, &event);
        }
        let id = self.requests.next_id();
        let connection = arrival.connection;
        context.actions.push(RouterAction::Accepted { connection, id });
        match self.check_request(context, arrival) {
            Ok(facts) => self.register_request(context, id, facts),
            Err(error) => context.reply_error(id, error),
        }
    }

    fn register_request(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        facts: RequestFacts,
    ) {
        let has_claim = facts.idempotency_key.is_some();
        let entry = RequestEntry {
            facts,
            stage: Some(LifeStage::Received(RequestLife::new(id))),
            log: StreamLog::new(self.settings.log),
            caller: CallerState::Connected,
            claim: has_claim.then(ClaimedAnswer::default),
            dequeued: None,
            placed: None,
            failed_targets: Vec::new(),
            foreign_targets: Vec::new(),
        };
        self.requests.insert(id, entry);
        self.placement.retry.record_request();
        self.reserve_tokens(context, id);
    }

    fn reserve_tokens(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let tokens = entry.facts.cost;
        let Some(account) = entry.facts.account.clone() else {
            return self.admit(context, id);
        };
        if self.fleet.is_some() {
            let max_wait = MAX_RATE_WAIT.min(entry.facts.deadline.since(context.now));
            let event = SpendEvent::Reserve { ticket: id.serial, account, tokens, wait: max_wait };
            let event = RateEvent::Spend(event);
            return self.handle_fleet_event(context, FleetEvent::Rates(event));
        }
        let Some(config) = self.view.account(&account) else { return };
        match self.rates.reserve(context.now, &account, config.rate, tokens) {
            None => self.admit(context, id),
            Some(retry_after) => self.refuse_rate(context, id, retry_after),
        }
    }

    pub(crate) fn refuse_rate(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        retry_after: ClockSpan,
    ) {
        let error = CallerError::not_run(ErrorKind::RateExceeded).retry_after(retry_after);
        self.fail_request(context, id, error);
    }

    /// Continues with a request whose tokens have been reserved: claims its idempotency key or queues it.
    pub(crate) fn admit(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        match entry.stage.take() {
            Some(LifeStage::Received(life)) => {
                entry.stage = Some(LifeStage::Admitted(life.admit(entry.facts.cost)));
            }
            stage => {
                entry.stage = stage;
                return;
            }
        }
        match entry.facts.idempotency_key.clone() {
            Some(key) => self.request_claim(context, id, key),
            None => self.enqueue(context, id),
        }
    }

    fn check_request(
        &self,
        context: &EventContext<'_>,
        arrival: RequestArrival,
    ) -> Result<RequestFacts, CallerError> {
        if !self.is_ready() {
            return Err(CallerError::not_run(ErrorKind::NotReady));
        }
        let view = &self.view;
        let route = view.route(&arrival.path);
        let route = route.ok_or_else(|| CallerError::not_run(ErrorKind::RouteUnknown))?;
        let account = view.authorize(route, arrival.key.as_ref()).map_err(CallerError::not_run)?;
        let service = view.service(&route.service);
        let service = service.ok_or_else(|| CallerError::not_run(ErrorKind::TargetUnavailable))?;
        let model = self.check_model(service, &arrival)?;
        let (chain, cache_salt) = prefix_chain(&arrival, account.as_ref(), model.as_ref());
        let prompt_tokens = arrival.prompt.len() as u64 / BYTES_PER_TOKEN;
        let output = arrival.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let output = if service.kind == ServiceKind::Engine { output } else { 0 };
        let key = arrival.idempotency_key.as_deref().map(Arc::from);
        let name = account.as_ref().map_or("", AccountName::as_str);
        let repeat_key = arrival.digest.map(|digest| digest.key_for(name));
        let facts = RequestFacts {
            account,
            repeat_key,
            key: arrival.key,
            chain,
            cache_salt,
            prompt_tokens,
            cost: (prompt_tokens + output).max(1),
            priority: arrival.priority.unwrap_or(route.priority),
            deadline: context.now + arrival.deadline.unwrap_or(route.deadline_ms),
            is_streaming: arrival.stream,
            idempotency_key: key.filter(|_| route.repeat == RepeatRule::RunOnce),
            route: RouteConfig::clone(route),
            path: arrival.path,
            prompt: arrival.prompt,
        };
        if !self.ends_in_time(facts.deadline) {
            return Err(CallerError::not_run(ErrorKind::NotReady));
        }
        self.check_zone_contact(context.now, &facts)?;
        Ok(facts)
    }

    fn check_model(
        &self,
        service: &ServiceConfig,
        arrival: &RequestArrival,
    ) -> Result<Option<ModelConfig>, CallerError> {
        if service.kind == ServiceKind::Plain {
            return Ok(None);
        }
        let model = arrival.model.as_ref();
        let served = model.filter(|name| service.models.contains(name));
        let config = served.and_then(|name| self.view.model(name));
        let unknown = || CallerError::not_run(ErrorKind::ModelUnknown);
        config.cloned().map(Some).ok_or_else(unknown)
    }

    // An account can be configured to be refused while its zone is isolated and cannot learn of withdrawn keys.
    fn check_zone_contact(&self, now: ClockTime, facts: &RequestFacts) -> Result<(), CallerError> {
        let Some(fleet) = &self.fleet else { return Ok(()) };
        let account = facts.account.as_ref().and_then(|name| self.view.account(name));
        let refuses = account.is_some_and(|account| account.cut_off == CutOffPolicy::Refuse);
        let limit = self.view.document.fleet.cut_off_after_ms;
        if refuses && fleet.sync.contact_age(now) > limit {
            return Err(CallerError::not_run(ErrorKind::ZoneCutOff));
        }
        Ok(())
    }
}

fn prefix_chain(
    arrival: &RequestArrival,
    account: Option<&godwitroad_base::AccountName>,
    model: Option<&ModelConfig>,
) -> (PrefixChain, String) {
    let Some(model) = model else { return (PrefixChain::default(), String::new()) };
    let salt = ChainSalt {
        account: account.cloned().unwrap_or_else(|| "".into()),
        model: model.name.clone(),
        adapter: model.adapter.clone(),
        version: model.version.clone(),
    };
    (PrefixChain::new(&salt, &arrival.prompt), salt.cache_salt())
}
