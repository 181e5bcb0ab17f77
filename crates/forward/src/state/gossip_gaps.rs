//! Compares the times between two messages of a peer with the period that the peer promised.

use godwitroad_base::{ClockSpan, ClockTime};

use super::gossip::MAX_GOSSIP_DELAY;

/// The time between two summaries.
const SUMMARY_INTERVAL: ClockSpan = ClockSpan::from_secs(5);

/// What was observed since the last summary.
#[derive(Debug, Default)]
pub(super) struct GossipGaps {
    since: ClockTime,
    messages: u64,
    late: u64,
    longest: ClockSpan,
    promised: ClockSpan,
}

impl GossipGaps {
    /// Records that a message arrived `gap` after the one before from the same run of the peer.
    pub(super) fn record(&mut self, gap: ClockSpan, promised: ClockSpan) {
        self.messages += 1;
        self.late += u64::from(gap > promised + MAX_GOSSIP_DELAY);
        self.longest = self.longest.max(gap);
        self.promised = self.promised.max(promised);
    }

    /// Returns the details of the log line if one is due.
    pub(super) fn take_summary(&mut self, now: ClockTime) -> Option<String> {
        if now.since(self.since) < SUMMARY_INTERVAL {
            return None;
        }
        let gaps = std::mem::replace(self, GossipGaps { since: now, ..GossipGaps::default() });
        let detail = format!(
            "messages={} late={} longest_ms={} promised_ms={}",
            gaps.messages,
            gaps.late,
            gaps.longest.as_ms(),
            gaps.promised.as_ms(),
        );
        (gaps.messages > 0).then_some(detail)
    }
}
