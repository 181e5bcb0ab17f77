//! Identifiers of requests and of the processes that handle them.
//!
//! A request ID contains a hash of the [`NodeId`] of the router process that accepted the request. Any router can
//! therefore tell which process has the request's stream, without a shared table of requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::name::VmName;

/// The number of a process start on a VM; it increases with each start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One run of a router process: the VM's name and the incarnation of the process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct NodeId {
    /// The VM on which the process runs.
    pub vm: VmName,
    /// Distinguishes this process from earlier ones on the same VM.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Returns the ID of the process with incarnation number `incarnation` on `vm`.
    pub fn new(vm: impl Into<VmName>, incarnation: u64) -> NodeId {
        NodeId { vm: vm.into(), incarnation: Incarnation(incarnation) }
    }

    /// Returns the upper half of the request IDs that this process assigns: a hash of its VM name and incarnation.
    pub fn tag(&self) -> u64 {
        xxh3_64(format!("{}#{}", self.vm, self.incarnation.0).as_bytes())
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.vm, self.incarnation.0)
    }
}

/// The identifier of a request, unique in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The [`NodeId::tag`] of the process that accepted the request.
    pub node: u64,
    /// The serial number of the request in that process.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.node, self.serial)
    }
}

/// The error returned when a text is not a valid request ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a request id is 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<RequestId, ParseError> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(ParseError);
        }
        let (node, serial) = text.split_at(16);
        let parse = |half: &str| u64::from_str_radix(half, 16).map_err(|_| ParseError);
        Ok(RequestId { node: parse(node)?, serial: parse(serial)? })
    }
}
