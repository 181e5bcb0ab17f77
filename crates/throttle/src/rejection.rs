//! How many rejections a brittle target bears, and what routers tell each other of it.

use serde::{Deserialize, Serialize};

/// A number of rejections in a second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RejectionBound(u16);

/// What an answer of a target says about the rejections that the target bears.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BrittleNotice {
    /// It says nothing.
    #[default]
    Absent,
    /// The target falls over if it rejects more requests than this in a second.
    Named(RejectionBound),
    /// It names a number that can't be read.
    Unreadable,
}

/// What the latest answer of a target to a router said.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BrittleStatement {
    /// The rejections that the target bears; `None` if it is brittle no more.
    pub bound: Option<RejectionBound>,
    /// The time for which it has been known, in milliseconds.
    pub age_ms: u32,
}

/// A router's estimate of how many requests of all routers a target takes at a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoomStatement {
    /// The number of changes of the estimate. The one with the most counts.
    pub revision: u32,
    /// The requests that may be in progress.
    pub room: u32,
    /// The last estimate within which nothing was rejected.
    pub proved: u32,
}

/// What a router reports about one brittle target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BrittleReport {
    /// The target's tag.
    pub target: u32,
    /// A part of the time of the target's start, which tells its runs apart.
    pub run: u32,
    /// What the target told this router; `None` if only others were told.
    pub statement: Option<BrittleStatement>,
    /// The room that the router keeps to.
    pub room: RoomStatement,
    /// The router's requests in progress.
    pub in_progress: u32,
    /// The number of its requests that the target has rejected.
    pub rejected: u32,
    /// Whether it has requests for the target.
    pub is_claiming: bool,
    /// Whether it refuses some of them because of the room.
    pub is_refusing: bool,
}

impl RejectionBound {
    /// Returns the bound for a number of rejections per second, without its fraction; `None` if it is negative or not a number.
    /// A number that is too large to be represented becomes the largest one.
    pub fn from_per_second(number: f64) -> Option<RejectionBound> {
        (number >= 0.0).then_some(RejectionBound(number as u16))
    }

    /// Returns the number of rejections in a second.
    pub fn per_second(self) -> u32 {
        self.0.into()
    }

    // Returns whether a target would fall over if a few routers each had a request rejected before they hear of each other.
    pub(crate) fn is_strict(self) -> bool {
        self.per_second() <= 2
    }

    // Returns how many routers may share the room of a target.
    pub(crate) fn max_holders(self) -> u32 {
        if self.is_strict() { 1 } else { u32::MAX }
    }
}
