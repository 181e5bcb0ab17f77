//! What happens when a request arrives: each check in turn, and a typed refusal where one fails.

use godwitroad_base::RequestId;
use godwitroad_config::{RouteConfig, ServiceConfig, ServiceKind};
use godwitroad_life::{LifeStage, RequestLife};
use godwitroad_stream::StreamLog;

use crate::{
    CallerError, CallerReply, ErrorKind, RequestArrival, RouterAction, RouterState,
    admission::AdmissionOutcome,
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
        let facts = self.check(context, arrival)?;
        if let Some(account) = &facts.account
            && let Some(config) = self.view.account(account)
            && let AdmissionOutcome::Refused { retry_after } =
                self.rates.reserve(context.now, account, config.rate, cost)
        {
            let error = CallerError::not_run(ErrorKind::RateExceeded);
            return Err(error.retry_after(retry_after));
        }
        let life = RequestLife::new(id).admit(cost).enqueue(context.now);
        let entry = RequestEntry {
            facts,
            stage: Some(LifeStage::Queued(life)),
            log: StreamLog::new(self.settings.log),
            target: None,
            caller: CallerState::Connected,
        };
        self.requests.insert(id, entry);
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
    ) -> Result<Option<godwitroad_config::ModelConfig>, CallerError> {
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
