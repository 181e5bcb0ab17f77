//! The interface between the adapters and the decision state.
//!
//! The daemon runs [`RouterDecisionState`]; tests of adapters run a scripted state through the same trait.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, ModelName, RegionName, RequestId, TargetName, ZoneName};
use godwitroad_config::KeyHash;
use godwitroad_router::{RouterAction, RouterEvent, RouterSettings, RouterState};
use serde_json::Value;

/// A target whose load and cache events this router polls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollTarget {
    /// The name in the configuration.
    pub name: TargetName,
    /// The IP address and port.
    pub address: String,
    /// Whether this router also reads the target's cache events.
    pub cache: bool,
    /// How many times the cache index had to be rebuilt from a snapshot; a change restarts the polling.
    pub resync_count: u64,
}

/// A query of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminQuery {
    /// The status of the router.
    Status,
    /// The targets with their health and load.
    Targets,
    /// The explanation of a routing decision, by request id.
    Explain(String),
}

/// A deterministic state machine that handles events and requests actions.
pub trait DecisionState: Send {
    /// Handles one event and appends the resulting actions in order.
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>);

    /// Returns whether the router can serve requests.
    ///
    /// # Errors
    ///
    /// Returns the reason why it cannot.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Returns whether a request has not ended, so that its body may be needed again.
    fn has_request(&self, _id: RequestId) -> bool {
        false
    }

    /// Returns the region of a zone; traffic between routers is counted per region.
    fn region_of(&self, _zone: &ZoneName) -> Option<RegionName> {
        None
    }

    /// Returns the targets whose load and cache events must be polled.
    fn poll_targets(&self) -> Vec<PollTarget> {
        Vec::new()
    }

    /// Returns the models that the key may use, or `None` if the key is not valid on any route.
    fn models(&self, _key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        None
    }

    /// Returns the answer to a query, or `None` if the queried item does not exist.
    fn admin(&self, _query: &AdminQuery) -> Option<Value> {
        None
    }
}

/// The decision state of a production daemon: [`RouterState`] with the bookkeeping that adapters need.
#[derive(Debug)]
pub struct RouterDecisionState {
    state: RouterState,
    now: ClockTime,
    /// Per target, how many cache snapshots the state has requested.
    resync_counts: BTreeMap<TargetName, u64>,
}

impl RouterDecisionState {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RouterSettings) -> RouterDecisionState {
        // The daemon's clock starts right after the state is created.
        let now = ClockTime::ZERO;
        RouterDecisionState {
            state: RouterState::new(now, settings),
            now,
            resync_counts: BTreeMap::new(),
        }
    }
}

impl DecisionState for RouterDecisionState {
    fn handle(&mut self, now: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        self.now = now;
        self.state.handle(now, event, actions);
        for action in actions.iter() {
            if let RouterAction::RequestSnapshot { target } = action {
                *self.resync_counts.entry(target.clone()).or_default() += 1;
            }
        }
    }

    fn readiness(&self) -> Result<(), &'static str> {
        self.state.readiness()
    }

    fn has_request(&self, id: RequestId) -> bool {
        self.state.has_request(id)
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        let polled = self.state.polled_targets().into_iter();
        polled
            .map(|poll| PollTarget {
                resync_count: self.resync_counts.get(&poll.target).copied().unwrap_or(0),
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
