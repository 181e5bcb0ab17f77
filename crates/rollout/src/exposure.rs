//! The limit of the requests that one router sends to the new version during the canary phase.
//!
//! Each router stays within a share of its own requests, so that the sum over all routers stays within the same share of
//! all requests without any messages.

use godwitroad_base::VmName;
use xxhash_rust::xxh3::xxh3_64;

use crate::RolloutSettings;

/// The part of the permitted share that routers use. The remainder covers streams that go on at the new version, and the
/// requests in flight when a stop is decided.
const USED_PART: f64 = 0.8;

/// A router's requests to a service since the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestShare {
    requests: u64,
    exposed: u64,
    credit: f64,
}

impl RequestShare {
    /// Returns the count of a router that knew the service before the order, in a fleet of `routers`.
    ///
    /// The credit is below one and differs between routers, so that their first requests to the new version spread over
    /// time and their sum stays within the slack.
    pub fn with_credit(settings: &RolloutSettings, vm: &VmName, routers: usize) -> RequestShare {
        let fraction = (xxh3_64(vm.as_str().as_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
        let part = (settings.slack / routers.max(1) as f64).clamp(0.0, 1.0);
        RequestShare { credit: fraction * part, ..RequestShare::default() }
    }

    /// Records a request to the service.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Records an attempt at the new version.
    pub fn record_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Returns whether one more request may go to the new version.
    pub fn permits(&self, settings: &RolloutSettings) -> bool {
        let limit = USED_PART * settings.share * self.requests as f64 + self.credit;
        (self.exposed + 1) as f64 <= limit
    }

    /// Returns the requests to the service, and the attempts at the new version, for the log.
    pub fn figures(&self) -> (u64, u64) {
        (self.requests, self.exposed)
    }
}
