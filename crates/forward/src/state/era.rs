//! The return of the store from an older copy.
//!
//! The copy lacks what was written in the seconds before, and leases are lost. The operator and the targets write their
//! entries anew, and until then the copy shows what was replaced or removed: an older configuration in which a withdrawn
//! key is valid, or a target that has left. What this router knows from before therefore takes precedence over the first
//! listing of a new era.

use godwitroad_base::{ClockSpan, ClockTime, StoreEra, TargetName, VmName};

use super::{ForwardAction, ForwardState, WeightRecords};
use crate::{TargetRecord, recent::RecentEntries};

/// The time after the start of an era in which the store's answers prove nothing about the configuration, because the
/// operator may not have written the newest one anew.
const REWRITE_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// How long removed targets and routers, and the configuration version of a peer that became unreachable, are remembered.
/// The store returns from a copy that is some seconds old.
const MEMORY_SPAN: ClockSpan = ClockSpan::from_secs(60);

/// Limit of remembered targets, and of remembered routers.
const MAX_REMOVALS: usize = 256;

/// What this router knows across the eras of the store.
#[derive(Clone, Debug)]
pub(super) struct EraProgress {
    current: Option<StoreEra>,
    // When the current era began; `None` if it is the first that this router knows.
    began_at: Option<ClockTime>,
    // Whether the first listing of the era is still being read.
    is_listing: bool,
    // The removed runs of targets: the name and the start.
    removed_targets: RecentEntries<(TargetName, u64)>,
    removed_peers: RecentEntries<VmName>,
    // The newest configuration version that any peer had, and when this router first heard of it.
    peer_version: Option<(u64, ClockTime)>,
    is_behind_peers: bool,
}

impl Default for EraProgress {
    fn default() -> EraProgress {
        EraProgress {
            current: None,
            began_at: None,
            is_listing: false,
            removed_targets: RecentEntries::new(MAX_REMOVALS),
            removed_peers: RecentEntries::new(MAX_REMOVALS),
            peer_version: None,
            is_behind_peers: false,
        }
    }
}

impl EraProgress {
    /// Records the configuration version of a peer.
    pub(super) fn record_peer_version(&mut self, now: ClockTime, version: u64) {
        if self.peer_version.is_none_or(|(known, _)| version > known) {
            self.peer_version = Some((version, now));
        }
    }

    /// Returns whether a peer has, or had lately, a newer configuration than `version`.
    pub(super) fn has_newer_version(&self, now: ClockTime, version: u64) -> bool {
        self.peer_version
            .is_some_and(|(newest, heard_at)| newest > version && now.since(heard_at) < MEMORY_SPAN)
    }

    /// Records that a target was removed.
    pub(super) fn record_removed_target(&mut self, now: ClockTime, record: &TargetRecord) {
        self.removed_targets.push(now, (record.name.clone(), record.started_ms));
    }

    /// Returns whether an entry of the first listing of an era shows a run of a target that was removed before. If the
    /// target lives, it writes its entry anew, which is read as a change after the listing.
    pub(super) fn is_outdated_target(&mut self, now: ClockTime, record: &TargetRecord) -> bool {
        self.is_listing
            && (self.removed_targets.unexpired(now, MEMORY_SPAN).iter())
                .any(|(name, started_ms)| (name, *started_ms) == (&record.name, record.started_ms))
    }

    /// Returns whether an entry of the first listing of an era shows a router that was removed before. If the router
    /// lives, its gossip shows it.
    pub(super) fn is_outdated_peer(&mut self, now: ClockTime, vm: &VmName) -> bool {
        self.is_listing && self.removed_peers.unexpired(now, MEMORY_SPAN).contains(vm)
    }

    /// Returns the era of the store's newest answer, or the first era before the first answer.
    pub(super) fn current_era(&self) -> StoreEra {
        self.current.unwrap_or_default()
    }

    /// Ends the first listing of an era.
    pub(super) fn end_listing(&mut self) {
        self.is_listing = false;
    }

    fn is_rewriting(&self, at: ClockTime) -> bool {
        self.began_at.is_some_and(|began_at| at < began_at + REWRITE_SPAN)
    }
}

impl ForwardState {
    /// Handles the first answer of the store in an era.
    pub(super) fn begin_era(
        &mut self,
        now: ClockTime,
        era: StoreEra,
        actions: &mut Vec<ForwardAction>,
    ) {
        // A late answer of an earlier era changes nothing.
        if self.era.current.is_some_and(|current| era <= current) {
            return;
        }
        let before = self.era.current.replace(era);
        let saw_begin = before.is_some();
        self.term.begin_era(now, era, saw_begin);
        if !saw_begin {
            return;
        }
        // Revisions of an earlier era mean nothing in this one.
        self.weight_records = WeightRecords::default();
        self.rollouts.begin_era();
        self.era.began_at = Some(now);
        self.era.is_listing = true;
        // Entries that are missing with their leases are kept as after an outage, until they are written anew.
        self.store_recovered_at = Some(now);
        let detail = format!(
            "era={era} before={} config_version={} targets={}",
            before.unwrap_or_default(),
            self.config_version(),
            self.roster.len(),
        );
        actions.push(ForwardAction::Notice("store_era_began", detail));
    }

    /// Returns the era of the store's newest answer, or `None` before the first answer.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.era.current
    }

    /// Returns a random delay before this router writes its own entry anew in a new era, so that not all routers write
    /// at once.
    pub fn entry_delay(&mut self) -> ClockSpan {
        const SPAN_PER_MEMBER_MS: u64 = 25;
        const MAX_SPAN_MS: u64 = 2_000;
        let span = (self.member_count() as u64 * SPAN_PER_MEMBER_MS).clamp(1, MAX_SPAN_MS);
        ClockSpan::from_ms(self.random.below(span))
    }

    // Returns whether an answer of the store proves that this router's configuration is the newest. It doesn't right
    // after the start of an era, or if a peer already had a newer configuration when the read began: the store then
    // shows an older copy, in which a key that has been withdrawn may be valid.
    pub(super) fn proves_freshness(
        &mut self,
        now: ClockTime,
        read_from: ClockTime,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        let own = self.config_version();
        // A version that no peer has had for long was never confirmed, or has been replaced.
        let is_known = |(version, heard_at): &(u64, ClockTime)| {
            now.since(*heard_at) < MEMORY_SPAN
                || self.peers.reachable(now).any(|(message, _)| message.version >= *version)
        };
        self.era.peer_version = self.era.peer_version.filter(is_known);
        let newer = self.era.peer_version.filter(|(version, _)| *version > own);
        let is_behind = newer.is_some_and(|(_, heard_at)| heard_at <= read_from);
        if is_behind != std::mem::replace(&mut self.era.is_behind_peers, is_behind) && is_behind {
            let version = newer.map_or(0, |(version, _)| version);
            let detail = format!("config_version={own} peer_version={version}");
            actions.push(ForwardAction::Notice("store_behind_peers", detail));
        }
        !is_behind && !self.era.is_rewriting(read_from)
    }

    // Removes a router whose entry is gone. In a new era the entry may be missing although the router lives.
    pub(super) fn remove_peer(&mut self, now: ClockTime, vm: &VmName) {
        let has_recent_era = self.era.began_at.is_some_and(|at| now.since(at) < MEMORY_SPAN);
        let is_alive = self
            .peers
            .reachable(now)
            .any(|(message, _)| message.place.vm == *vm && !message.stopping);
        if has_recent_era && is_alive {
            return;
        }
        self.era.removed_peers.push(now, vm.clone());
        self.peers.remove(vm);
    }
}
