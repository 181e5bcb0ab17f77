//! The settings of a proxy process, as an adapter reads them.

use std::net::{IpAddr, SocketAddr};

use godwitroad_base::ClockSpan;
use godwitroad_forward::ForwardSettings;

use crate::caller_budget::CallerBounds;

/// The settings of a proxy process, in the form in which operators see them printed.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The address on which the balancer checks readiness.
    pub ready: SocketAddr,
    /// The address for gossip between routers, over UDP. All routers use the same port.
    pub peers: SocketAddr,
    /// The address on which counters and histograms are served.
    pub metrics: SocketAddr,
    /// Routers that receive this router's first gossip, so that it finds peers even if the store doesn't answer.
    pub seeds: Vec<IpAddr>,
    /// The time limit from SIGTERM until the process has ended.
    pub grace: ClockSpan,
    /// The time after which this router's entry in the store expires unless it is renewed.
    pub entry_lease: ClockSpan,
    /// The limits of what callers may make the process hold. Changes need a restart.
    pub caller_bounds: CallerBounds,
    /// The settings of the decision state.
    pub forward: ForwardSettings,
}

impl Default for ProxySettings {
    fn default() -> ProxySettings {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        ProxySettings {
            callers: loopback(8606),
            ready: loopback(8605),
            peers: loopback(7600),
            metrics: loopback(7601),
            seeds: Vec::new(),
            grace: ClockSpan::from_secs(8),
            entry_lease: ClockSpan::from_secs(600),
            caller_bounds: CallerBounds::default(),
            forward: ForwardSettings::default(),
        }
    }
}
