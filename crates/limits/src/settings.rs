//! Settings of the rate limits.

use godwitroad_base::{ClockSpan, NodeId, ZoneName};

/// The number of shards by which accounts are grouped in the store and distributed among the VMs of a zone.
pub const SHARE_SHARDS: u16 = 128;

/// The time for which a grant is valid, by the holder's clock.
pub const GRANT_TTL_MS: u64 = 2_000;

/// The settings of a [`crate::RateNode`] and its state machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateSettings {
    /// The identity of this process.
    pub node: NodeId,
    /// The zone of this process.
    pub zone: ZoneName,
    /// The mean interval between two reads of a share shard that this process holds.
    pub poll_interval: ClockSpan,
    /// The time after which a call to the store is abandoned; the next read shows whether it took effect.
    pub call_timeout: ClockSpan,
    /// The time without an answer after which tokens are requested from the next holder.
    pub request_timeout: ClockSpan,
    /// The interval between two reports of spent tokens to a holder.
    pub report_interval: ClockSpan,
    /// The time for which the prepaid tokens of a router should last at the current demand.
    pub prefetch_span: ClockSpan,
    /// The interval between two updates of the reserves guaranteed to the backup.
    pub reserve_interval: ClockSpan,
    /// The time for which a new holder waits for a handoff from the previous one.
    pub handoff_wait: ClockSpan,
}

impl Default for RateSettings {
    fn default() -> RateSettings {
        RateSettings {
            node: NodeId::new("", 0),
            zone: "".into(),
            poll_interval: ClockSpan::from_ms(2_000),
            call_timeout: ClockSpan::from_ms(5_000),
            request_timeout: ClockSpan::from_ms(150),
            report_interval: ClockSpan::from_ms(100),
            prefetch_span: ClockSpan::from_ms(1_000),
            reserve_interval: ClockSpan::from_ms(500),
            handoff_wait: ClockSpan::from_ms(300),
        }
    }
}
