//! The decision state as the adapters see it.
//!
//! The daemon drives `RouterState`; tests of adapters drive a small stand-in through the same trait.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, ModelName, RegionName, TargetName, ZoneName};
use godwitroad_config::KeyHash;
use godwitroad_router::{RouterAction, RouterEvent, RouterSettings, RouterState};
use serde_json::Value;

/// A target whose load and cache events this router reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The target.
    pub name: TargetName,
    /// The IP address and port.
    pub address: String,
    /// Whether this router also reads the target's cache events.
    pub cache: bool,
    /// How often the whole cache had to be read again; a change starts the reading afresh.
    pub resync: u64,
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
    now: ClockTime,
    /// How often the whole cache of a target had to be read again.
    resyncs: BTreeMap<TargetName, u64>,
}

impl FacadeState {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RouterSettings) -> FacadeState {
        // The daemon's clock starts with its threads, right after the state.
        let now = ClockTime::ZERO;
        FacadeState { state: RouterState::new(now, settings), now, resyncs: BTreeMap::new() }
    }
}

impl DecisionState for FacadeState {
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        self.now = now;
        self.state.handle(now, event, actions);
        for action in actions.iter() {
            if let RouterAction::RequestSnapshot { target } = action {
                *self.resyncs.entry(target.clone()).or_default() += 1;
            }
        }
    }

    fn readiness(&self) -> Result<(), &'static str> {
        self.state.readiness()
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        let polls = self.state.polled_targets().into_iter();
        polls
            .map(|poll| PollTarget {
                resync: self.resyncs.get(&poll.target).copied().unwrap_or(0),
                name: poll.target,
                address: poll.address,
                cache: true,
            })
            .collect()
    }

    fn models(&self, key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        self.state.models(key)
    }

    fn region_of(&self, zone: &ZoneName) -> Option<RegionName> {
        let regions = &self.state.config().1.regions;
        let region = regions.iter().find(|region| region.zones.contains(zone));
        region.map(|region| region.name.clone())
    }

    fn admin(&self, query: &AdminQuery) -> Option<Value> {
        match query {
            AdminQuery::Status => Some(self.state.status(self.now)),
            AdminQuery::Targets => Some(self.state.targets(self.now)),
            AdminQuery::Explain(id) => self.state.explain(id),
        }
    }
}
