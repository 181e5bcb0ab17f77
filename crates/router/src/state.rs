//! One router's whole decision state.

use godwitroad_base::{ClockTime, NodeId, RegionName, SeededRandom, ZoneName};

use crate::{RouterAction, RouterEvent};

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The process itself.
    pub node: NodeId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for RouterSettings {
    fn default() -> RouterSettings {
        RouterSettings {
            node: NodeId::new("vm-1", 1),
            zone: "zone-a".into(),
            region: "region-a".into(),
            seed: 1,
        }
    }
}

/// One router's whole decision state.
#[derive(Debug)]
pub struct RouterState {
    settings: RouterSettings,
    random: SeededRandom,
    ready: bool,
}

impl RouterState {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RouterSettings) -> RouterState {
        let random = SeededRandom::new(settings.seed);
        RouterState { settings, random, ready: false }
    }

    /// Returns whether the router can serve.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(
        &mut self,
        _now: ClockTime,
        _event: RouterEvent,
        _actions: &mut Vec<RouterAction>,
    ) {
        let _ = (&self.settings, &mut self.random);
    }
}
