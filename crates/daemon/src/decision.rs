//! The decision state as the adapters see it.
//!
//! The daemon drives `RouterState`; tests of adapters drive a small stand-in through the same trait.

use godwitroad_base::{ClockTime, ModelName, TargetName};
use godwitroad_config::{ConfigDocument, KeyHash, ServiceKind};
use godwitroad_router::{RouterAction, RouterEvent, RouterState};
use serde_json::{Value, json};

/// A target whose load and cache events this router reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The target.
    pub name: TargetName,
    /// The IP address and port.
    pub address: String,
    /// Whether this router also reads the target's cache events.
    pub cache: bool,
}

/// What operators can ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminQuery {
    /// The state of the router.
    Status,
    /// The targets with their health and load.
    Targets,
    /// Why a request went where it went.
    Explain(String),
}

/// A state that takes events and asks for actions.
pub trait DecisionState: Send {
    /// Takes one event and pushes the actions that follow from it.
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>);

    /// Returns whether the router can serve.
    fn is_ready(&self) -> bool;

    /// Returns the targets to poll.
    fn poll_targets(&self) -> Vec<PollTarget> {
        Vec::new()
    }

    /// Returns the models that the key may ask for, or `None` when the key is valid nowhere.
    fn models(&self, _key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        None
    }

    /// Returns what operators ask for, or `None` when there is nothing by that name.
    fn admin(&self, _query: &AdminQuery) -> Option<Value> {
        None
    }
}

impl DecisionState for RouterState {
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        RouterState::handle(self, now, event, actions);
    }

    fn is_ready(&self) -> bool {
        RouterState::is_ready(self)
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        engines(self.config().1)
    }

    fn models(&self, key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        let document = self.config().1;
        let key = key?;
        let known = document
            .accounts
            .iter()
            .flat_map(|account| &account.keys)
            .fold(false, |known, config| config.hash.matches(key) | known);
        known.then(|| document.models.iter().map(|model| model.name.clone()).collect())
    }

    fn admin(&self, query: &AdminQuery) -> Option<Value> {
        match query {
            AdminQuery::Status => Some(json!({
                "generation": self.config().0,
                "ready": RouterState::is_ready(self),
                "requests": self.request_count(),
            })),
            AdminQuery::Targets | AdminQuery::Explain(_) => None,
        }
    }
}

/// Returns all engines of a configuration.
fn engines(document: &ConfigDocument) -> Vec<PollTarget> {
    document
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Engine)
        .flat_map(|service| &service.targets)
        .map(|target| PollTarget {
            name: target.name.clone(),
            address: target.address.clone(),
            cache: true,
        })
        .collect()
}
