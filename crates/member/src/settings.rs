//! Settings and clock error bounds of the membership.

use godwitroad_base::{ClockSpan, NodeId, ZoneName};

/// The lease term: the longest time, by its own clock, for which a router may act on a confirmation of its roster.
pub const HOLD_TERM_MS: u64 = 3_000;

/// The time added to [`HOLD_TERM_MS`] before a new holder starts, which covers clock error and rounding.
pub const TERM_MARGIN_MS: u64 = 100;

/// The largest difference in rate between a node's clock and true time, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 500;

/// Returns an upper bound of the time that another clock measures while this clock measures `span`.
pub fn max_drifted_span(span: ClockSpan) -> ClockSpan {
    // The two clocks may drift in opposite directions, each by the bound. The additional 2 ms cover the division and
    // clocks that are read in whole milliseconds.
    let extra = span.as_ms() * 2 * CLOCK_DRIFT_PPM / 1_000_000 + 2;
    ClockSpan::from_ms(span.as_ms() + extra)
}

/// Returns a lower bound of the time that this clock measures while another clock measures `span`.
pub fn min_drifted_span(span: ClockSpan) -> ClockSpan {
    let extra = span.as_ms() * 2 * CLOCK_DRIFT_PPM / 1_000_000 + 2;
    span.saturating_sub(ClockSpan::from_ms(extra))
}

/// The settings of a [`crate::MemberTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// The availability zone of this router.
    pub zone: ZoneName,
    /// The identity of this process.
    pub node: NodeId,
    /// The address at which peers reach this process.
    pub address: String,
    /// The interval between two heartbeats to a peer.
    pub heartbeat_interval: ClockSpan,
    /// The interval between two reads of the roster by a member that reads the store for its zone.
    pub read_interval: ClockSpan,
    /// The time without a two-way heartbeat after which a peer is suspected.
    pub suspect_after: ClockSpan,
    /// The time without a two-way heartbeat after which this process votes for the peer's removal.
    pub unreachable_after: ClockSpan,
    /// The time after which a call to the store is abandoned; the next read shows whether it took effect.
    pub call_timeout: ClockSpan,
    /// The upper bound of the random delay of a join, so that a mass restart doesn't cause simultaneous writes.
    pub join_spread: ClockSpan,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            zone: "".into(),
            node: NodeId::new("", 0),
            address: String::new(),
            heartbeat_interval: ClockSpan::from_ms(400),
            read_interval: ClockSpan::from_ms(800),
            suspect_after: ClockSpan::from_ms(1_500),
            unreachable_after: ClockSpan::from_ms(3_000),
            call_timeout: ClockSpan::from_ms(5_000),
            join_spread: ClockSpan::from_ms(400),
        }
    }
}
