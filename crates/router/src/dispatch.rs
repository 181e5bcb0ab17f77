//! The queue: which request is offered to which target, and which is refused in time.

use godwitroad_base::RequestId;
use godwitroad_config::ServiceKind;
use godwitroad_life::{LifeStage, OfferedLife};
use godwitroad_once::RunEnd;

use crate::{
    CallerError, DispatchOrder, ErrorKind, ResumePoint, RouterAction, RouterState,
    request::{CallerState, RequestFacts},
    state::EventContext,
};

impl RouterState {
    /// Offers queued requests to targets as long as there is room.
    pub(crate) fn pump(&mut self, context: &mut EventContext<'_>) {
        let queued: Vec<RequestId> =
            self.requests.iter().filter(|(_, entry)| entry.is_queued()).map(|(id, _)| id).collect();
        for id in queued {
            self.offer(context, id);
        }
    }

    fn offer(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(service) = self.view.service(&entry.facts.route) else { return };
        let prefix = prefix_key(&entry.facts);
        let Some(target) = self.targets.choose(service, prefix, entry.target.as_ref()) else {
            return;
        };
        let Some(LifeStage::Queued(life)) = entry.stage.take() else { return };
        let address = self.view.target(&target).map(|config| config.address.clone());
        let offered = OfferedLife::new(life, entry.facts.repeat());
        entry.stage = Some(LifeStage::Offered(offered));
        let attempt = entry.attempts();
        let resume = entry.log.begin(attempt);
        entry.target = Some(target.clone());
        self.targets.started(&target);
        context.actions.push(RouterAction::Dispatch(DispatchOrder {
            id,
            attempt,
            target,
            address: address.unwrap_or_default(),
            cache_salt: cache_salt(&entry.facts),
            priority: entry.facts.priority,
            deadline: entry.facts.deadline.since(context.now),
            resume: resume.map(|text| ResumePoint { tokens: text.tokens, text: text.text }),
        }));
    }

    /// Refuses queued requests whose deadline has passed.
    pub(crate) fn expire_queued(&mut self, context: &mut EventContext<'_>) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, entry)| entry.is_waiting() && entry.facts.deadline <= context.now)
            .map(|(id, _)| id)
            .collect();
        for id in late {
            self.end_queued(context, id, ErrorKind::Overloaded);
        }
    }

    /// Ends a queued request, with "not run" only when no attempt of it can have run.
    pub(crate) fn end_queued(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        kind: ErrorKind,
    ) {
        let Some(entry) = self.requests.remove(id) else { return };
        self.record_end(context, id, &entry, RunEnd::NotRun);
        let unrun = entry.stage.as_ref().is_some_and(LifeStage::is_unrun);
        let error = if unrun { CallerError::not_run(kind) } else { CallerError::unknown(kind) };
        if entry.caller == CallerState::Connected {
            context.fail(id, error);
        }
    }
}

fn prefix_key(facts: &RequestFacts) -> u64 {
    // The first kilobyte stands for the prefix until the index of cached prefixes is asked.
    let head = &facts.prompt[..facts.prompt.len().min(1_024)];
    match facts.kind {
        ServiceKind::Engine if !head.is_empty() => {
            let text = String::from_utf8_lossy(head);
            godwitroad_base::rendezvous::score(1, &text) | 1
        }
        ServiceKind::Engine | ServiceKind::Plain => 0,
    }
}

fn cache_salt(facts: &RequestFacts) -> String {
    let Some(model) = &facts.model else { return String::new() };
    let account = facts.account.as_ref().map_or("", |name| name.as_str());
    let adapter = model.adapter.as_deref().unwrap_or("");
    format!("{account}\u{1f}{}\u{1f}{adapter}\u{1f}{}", model.name, model.version)
}
