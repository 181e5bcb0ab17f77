//! The decision state as the adapters see it.
//!
//! The daemon drives `RouterState`; tests of adapters drive a small stand-in through the same trait.

use godwitroad_base::{ClockTime, ModelName, RegionName, TargetName, ZoneName};
use godwitroad_config::{ConfigDocument, KeyHash, ServiceKind, TargetConfig};
use godwitroad_router::{RouterAction, RouterEvent, RouterSettings, RouterState};
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
    ///
    /// # Errors
    ///
    /// Returns the reason while it can't.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Returns the region of a zone, by which the bytes to its routers are counted.
    fn region_of(&self, _zone: &ZoneName) -> Option<RegionName> {
        None
    }

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

/// The facade as a daemon drives it.
#[derive(Debug)]
pub struct FacadeState {
    state: RouterState,
    zone: ZoneName,
}

impl FacadeState {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RouterSettings) -> FacadeState {
        let zone = settings.zone.clone();
        // The daemon's clock starts with its threads, right after the state.
        FacadeState { state: RouterState::new(ClockTime::ZERO, settings), zone }
    }
}

impl DecisionState for FacadeState {
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        self.state.handle(now, event, actions);
    }

    fn readiness(&self) -> Result<(), &'static str> {
        self.state.readiness()
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        engines(self.state.config().1, &self.zone)
    }

    fn models(&self, key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        let document = self.state.config().1;
        let key = key?;
        let known = document
            .accounts
            .iter()
            .flat_map(|account| &account.keys)
            .fold(false, |known, config| config.hash.matches(key) | known);
        known.then(|| document.models.iter().map(|model| model.name.clone()).collect())
    }

    fn region_of(&self, zone: &ZoneName) -> Option<RegionName> {
        let regions = &self.state.config().1.regions;
        let region = regions.iter().find(|region| region.zones.contains(zone));
        region.map(|region| region.name.clone())
    }

    fn admin(&self, query: &AdminQuery) -> Option<Value> {
        match query {
            AdminQuery::Status => Some(json!({
                "generation": self.state.config().0,
                "ready": self.state.is_ready(),
                "reason": self.state.readiness().err(),
                "requests": self.state.request_count(),
            })),
            AdminQuery::Targets | AdminQuery::Explain(_) => None,
        }
    }
}

/// Returns all engines of a configuration, those of the own zone first, whose cache events are read too.
fn engines(document: &ConfigDocument, own_zone: &ZoneName) -> Vec<PollTarget> {
    let engines = document.services.iter().filter(|service| service.kind == ServiceKind::Engine);
    let targets: Vec<_> = engines.flat_map(|service| &service.targets).collect();
    let is_own = |target: &&&TargetConfig| target.zone == *own_zone;
    let (own, other): (Vec<_>, Vec<_>) = targets.iter().partition(is_own);
    let polled = |target: &TargetConfig| PollTarget {
        name: target.name.clone(),
        address: target.address.clone(),
        cache: target.zone == *own_zone,
    };
    own.into_iter().chain(other).map(polled).collect()
}
