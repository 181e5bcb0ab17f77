//! The VM list.

use std::net::SocketAddr;

use godwitroad_base::RegionName;
use godwitroad_router::VmListing;
use serde::{Deserialize, Serialize};

/// A line of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmLine {
    /// The VM and its state.
    #[serde(flatten)]
    pub listing: VmListing,
    /// The VM's address for other routers, when the platform gives one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The region of the VM, when the platform gives one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
}

impl VmLine {
    /// Returns a line without an address.
    pub fn new(listing: VmListing) -> VmLine {
        VmLine { listing, address: None, region: None }
    }
}
