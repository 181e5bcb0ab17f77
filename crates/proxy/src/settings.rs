//! The settings of a proxy process.

use std::net::{IpAddr, SocketAddr};

use godwitroad_base::ClockSpan;
use godwitroad_forward::ForwardSettings;

/// The settings of a proxy process.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this router is ready.
    pub ready: SocketAddr,
    /// Where the routers exchange notes, by UDP, and serve each other's questions, by TCP; the same port on all.
    pub peers: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics: SocketAddr,
    /// Routers that may be reached when the store doesn't answer.
    pub seeds: Vec<IpAddr>,
    /// The time from the request to stop until the process is ended.
    pub grace: ClockSpan,
    /// The length of the lease of this router's own entry.
    pub entry_lease: ClockSpan,
    /// The settings of the decisions.
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
            forward: ForwardSettings::default(),
        }
    }
}
