//! What happens when a request arrives: each check in turn, and a typed refusal where one fails.

use std::sync::Arc;

use godwitroad_base::{ClockTime, RequestId};
use godwitroad_config::{
    CutOffPolicy, ModelConfig, RepeatRule, RouteConfig, ServiceConfig, ServiceKind,
};
use godwitroad_life::{LifeStage, RequestLife};
use godwitroad_stream::StreamLog;

use crate::{
    CallerError, CallerReply, ErrorKind, RequestArrival, RouterAction, RouterState,
    admission::AdmissionOutcome,
    claim::ClaimedAnswer,
    request::{CallerState, RequestEntry, RequestFacts},
    state::EventContext,
};

/// The bytes of prompt that count as one token for rates and queueing.
const BYTES_PER_TOKEN: u64 = 4;

/// The output tokens that are reserved when a caller names no bound.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

impl RouterState {
    pub(crate) fn arrive(&mut self, context: &mut EventContext<'_>, arrival: RequestArrival) {
        if let Some(event) = arrival.last_event_id.clone() {
            return self.caller_returned(context, &arrival, &event);
        }
        let id = self.requests.next_id();
        let connection = arrival.connection;
        context.actions.push(RouterAction::Accepted { connection, id });
        if let Err(error) = self.admit(context, id, arrival) {
            context.fail(id, error);
        }
    }

    fn admit(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        arrival: RequestArrival,
    ) -> Result<(), CallerError> {
        if !self.is_ready() {
            return Err(CallerError::not_run(ErrorKind::NotReady));
        }
        let cost = cost_of(&arrival);
        let claim = arrival.idempotency_key.as_deref().map(Arc::<str>::from);
        let facts = self.check(context, arrival)?;
        self.check_contact(context.now, &facts)?;
        if let Some(account) = &facts.account
            && let Some(config) = self.view.account(account)
            && let AdmissionOutcome::Refused { retry_after } =
                self.rates.reserve(context.now, account, config.rate, cost)
        {
            let error = CallerError::not_run(ErrorKind::RateExceeded);
            return Err(error.retry_after(retry_after));
        }
        let claim = claim.filter(|_| facts.repeat() == RepeatRule::RunOnce);
        let life = RequestLife::new(id).admit(cost);
        let stage = match claim {
            Some(_) => LifeStage::Admitted(life),
            None => LifeStage::Queued(life.enqueue(context.now)),
        };
        let entry = RequestEntry {
            facts,
            stage: Some(stage),
            log: StreamLog::new(self.settings.log),
            target: None,
            caller: CallerState::Connected,
            claim: claim.as_ref().map(|_| ClaimedAnswer::default()),
        };
        self.requests.insert(id, entry);
        match claim {
            Some(key) => self.claim(context, id, key),
            None => Ok(()),
        }
    }

    // An account can be set to be refused while its zone can't learn of a withdrawn key.
    fn check_contact(&self, now: ClockTime, facts: &RequestFacts) -> Result<(), CallerError> {
        let Some(fleet) = &self.fleet else { return Ok(()) };
        let account = facts.account.as_ref().and_then(|name| self.view.account(name));
        let refuses = account.is_some_and(|account| account.cut_off == CutOffPolicy::Refuse);
        let limit = self.view.document.fleet.cut_off_after_ms;
        if refuses && fleet.sync.contact_age(now) > limit {
            return Err(CallerError::not_run(ErrorKind::ZoneCutOff));
        }
        Ok(())
    }

    fn check(
        &self,
        context: &EventContext<'_>,
        arrival: RequestArrival,
    ) -> Result<RequestFacts, CallerError> {
        let view = &self.view;
        let route =
            view.route(&arrival.path).ok_or(CallerError::not_run(ErrorKind::RouteUnknown))?;
        let account = view.authorize(route, arrival.key.as_ref()).map_err(CallerError::not_run)?;
        let service =
            view.service(route).ok_or(CallerError::not_run(ErrorKind::TargetUnavailable))?;
        let model = self.check_model(service, &arrival)?;
        Ok(RequestFacts {
            kind: service.kind,
            account,
            key: arrival.key,
            model,
            path: arrival.path,
            prompt: arrival.prompt,
            priority: arrival.priority.unwrap_or(route.priority),
            deadline: context.now + arrival.deadline.unwrap_or(route.deadline_ms),
            streams: arrival.stream,
            route: RouteConfig::clone(route),
        })
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
        config.cloned().map(Some).ok_or(CallerError::not_run(ErrorKind::ModelUnknown))
    }
}

impl EventContext<'_> {
    pub(crate) fn reply(&mut self, id: RequestId, reply: CallerReply) {
        self.actions.push(RouterAction::Reply { id, reply });
    }

    pub(crate) fn fail(&mut self, id: RequestId, error: CallerError) {
        self.reply(id, CallerReply::Failed(error));
    }
}

fn cost_of(arrival: &RequestArrival) -> u64 {
    let prompt = arrival.prompt.len() as u64 / BYTES_PER_TOKEN;
    let output = if arrival.model.is_some() {
        arrival.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS)
    } else {
        0
    };
    (prompt + output).max(1)
}
