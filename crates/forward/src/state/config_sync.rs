//! What this router knows of configurations that are newer than the one in force.
//!
//! Each gossip message names the version of its sender's configuration, so that a router usually hears of a change before
//! it reads it.

use godwitroad_base::{ClockSpan, ClockTime};

use super::{ForwardAction, ForwardState};
use crate::{ForwardRules, GossipMessage};

/// The newer configuration that this router has heard of and doesn't have yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConfigSync {
    // When a peer first had a newer configuration.
    behind_since: Option<ClockTime>,
}

impl ForwardState {
    /// Records the configuration version in a message of a peer.
    pub(super) fn observe_peer_config(
        &mut self,
        now: ClockTime,
        message: &GossipMessage,
        actions: &mut Vec<ForwardAction>,
    ) {
        let own = self.config_version();
        if message.version <= own || self.config_sync.behind_since.is_some() {
            return;
        }
        self.config_sync.behind_since = Some(now);
        let detail = format!(
            "config_version={own} peer_version={} peer={} proof_age_ms={:?}",
            message.version,
            message.place.vm,
            self.freshness.age(now).map(ClockSpan::as_ms),
        );
        actions.push(ForwardAction::Notice("configuration_behind", detail));
    }

    /// Records that `rules` are about to be in force. Returns how long this router knew of a newer configuration; zero if
    /// it is the first that it hears of this one.
    pub(super) fn end_config_lag(
        &mut self,
        now: ClockTime,
        rules: &ForwardRules,
        actions: &mut Vec<ForwardAction>,
    ) -> ClockSpan {
        let since = self.config_sync.behind_since.take();
        let lag = since.map_or(ClockSpan::ZERO, |since| now.since(since));
        actions.push(ForwardAction::Measure("config.lag_ms", lag.as_ms()));
        if self.peers.reachable(now).any(|(message, _)| message.version > rules.version) {
            self.config_sync.behind_since = since;
        }
        lag
    }
}
