//! Keeps each stream at the version of the targets' software that began it; see [`godwitroad_origins`].

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_origins::{BuildTag, ServiceTag, StreamOrigin};

use super::{ForwardState, gossip::MAX_GOSSIP_DELAY, placement::NO_TARGET_RETRY_AFTER};
use crate::{
    ForwardRefusal, ForwardRequest, ForwardRules, OriginNotes, RefusalReason, SendPlan,
    TargetRecord, peers::PeerState,
};

/// The time from the end of a route's time limit in which a caller may still take up a stream that broke there.
const RECONNECT_SPAN: ClockSpan = ClockSpan::from_secs(10);

/// The number of notes that contain a stream, for each round in which a peer gets one.
const REPEATS_PER_ROUND: u32 = 2;

impl ForwardState {
    /// Returns what to save in the store, so that streams go on where they began even if all routers are lost; `None` if
    /// that hasn't changed since the last call.
    pub fn take_unsaved_origins(&mut self, now: ClockTime) -> Option<OriginNotes> {
        self.origins.take_unsaved(now)
    }

    /// Records that the last notes to save didn't reach the store.
    pub fn record_unsaved_origins(&mut self) {
        self.origins.record_unsaved();
    }

    /// Returns how long the store must keep what is saved there.
    pub fn origin_span(&self) -> ClockSpan {
        self.origins.span()
    }

    /// Records that the caller gets the first events of a request's answer, from the target of `plan`.
    pub fn record_stream_begin(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        plan: &SendPlan,
    ) {
        if !request.route.streaming || !request.route.resumable {
            return;
        }
        // A target that has started again since it was chosen may have another build than its entry said then.
        let record = self.roster.get(&plan.target);
        if record.is_some_and(|record| record.started_ms != plan.started_ms) {
            return;
        }
        let build = BuildTag::new(&plan.build);
        request.begun_build = Some(build);
        if let Some(key) = request.stream_key() {
            let service = ServiceTag::new(&request.service);
            self.origins.record_begin(now, service, key, build);
        }
    }

    /// Returns whether a request takes up a stream of which this router doesn't know where it began, and a peer or the store may
    /// tell.
    pub fn may_learn_origin(&self, now: ClockTime, request: &ForwardRequest) -> bool {
        let is_unknown = request.begun_build.is_none()
            && request.takes_up_stream()
            && self.find_origin(now, request).is_none();
        let may_peers_tell =
            || request.stream_key().is_some() && self.peers.reachable(now).next().is_some();
        is_unknown && (self.lacks_view(now, request) || may_peers_tell())
    }

    /// Makes the next step a read of the store if that may tell where a request's stream began; returns whether it may.
    pub fn request_view(&mut self, now: ClockTime, request: &ForwardRequest) -> bool {
        let may_tell = self.may_learn_origin(now, request) && self.lacks_view(now, request);
        if may_tell {
            self.store_progress.want_view();
        }
        may_tell
    }

    // Returns whether the stream of a request began at the only build that this router knows, unless there are others.
    fn lacks_view(&self, now: ClockTime, request: &ForwardRequest) -> bool {
        let service = ServiceTag::new(&request.service);
        let origin = self.origins.origin(now, service, request.stream_key());
        matches!(origin, StreamOrigin::Only(_)) && !self.knows_builds(now)
    }

    // Returns whether this router knows all builds at which streams may have begun by now. Other routers begin streams at a build
    // only some time after they have seen it, so that it suffices to know the builds of that time ago.
    fn knows_builds(&self, now: ClockTime) -> bool {
        let settling = self.settings.origins.settling;
        let Some(viewed_from) = self.store_progress.viewed_from() else { return false };
        if now.since(viewed_from) <= settling {
            return true;
        }
        // While the store is away, it suffices that every other router has said since then that it has read no further. A
        // router says so of changes, and not of the listing with which a run starts.
        let (revision, _) = self.store_progress.revisions();
        let longest = settling.saturating_sub(MAX_GOSSIP_DELAY);
        let has_no_news = |peer: &PeerState| {
            peer.arrived_after.is_some_and(|at| now.since(at) <= longest)
                && peer.run_since.is_some_and(|at| at <= viewed_from)
                && peer.last_message.as_ref().is_some_and(|message| message.revision <= revision)
        };
        !self.peers.is_empty() && self.peers.iter().all(has_no_news)
    }

    // Finds the build at which the stream of a request that takes one up began.
    pub(super) fn resolve_origin(
        &self,
        now: ClockTime,
        request: &mut ForwardRequest,
    ) -> std::result::Result<(), ForwardRefusal> {
        if request.begun_build.is_some() || !request.takes_up_stream() {
            return Ok(());
        }
        request.begun_build = self.find_origin(now, request);
        let is_known = request.begun_build.is_some();
        is_known.then_some(()).ok_or_else(|| ForwardRefusal::new(RefusalReason::OriginUnknown))
    }

    fn find_origin(&self, now: ClockTime, request: &ForwardRequest) -> Option<BuildTag> {
        let service = ServiceTag::new(&request.service);
        match self.origins.origin(now, service, request.stream_key()) {
            StreamOrigin::Recorded(build) => Some(build),
            StreamOrigin::Only(build) => self.knows_builds(now).then_some(build),
            StreamOrigin::Unknown => None,
        }
    }

    // Returns the refusal of a request for which no target is usable.
    pub(super) fn no_target_refusal(&self, request: &ForwardRequest) -> ForwardRefusal {
        let is_listed = |build| {
            let mut records = self.roster.iter();
            records.any(|record| {
                record.service == request.service
                    && !record.draining
                    && BuildTag::new(&record.build) == build
            })
        };
        match request.begun_build {
            // To return doesn't help, as targets of a build that has left don't come back.
            Some(build) if !is_listed(build) => ForwardRefusal::new(RefusalReason::BuildGone),
            _ => ForwardRefusal::after(RefusalReason::NoTarget, NO_TARGET_RETRY_AFTER),
        }
    }

    // Leaves out the targets of builds that other routers may not have seen yet, if there are others.
    pub(super) fn prefer_settled_builds(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &mut Vec<Arc<TargetRecord>>,
    ) {
        if request.begun_build.is_some() || !request.route.resumable {
            return;
        }
        let service = ServiceTag::new(&request.service);
        let is_settled = |record: &Arc<TargetRecord>| {
            self.origins.is_settled(now, service, BuildTag::new(&record.build))
        };
        if records.iter().any(is_settled) {
            records.retain(is_settled);
        }
    }

    pub(super) fn observe_builds(&mut self, now: ClockTime) {
        for record in self.roster.iter() {
            let (service, build) = (ServiceTag::new(&record.service), BuildTag::new(&record.build));
            self.origins.observe(now, service, build);
        }
        self.origins.expire(now);
    }

    pub(super) fn origin_notes(&mut self, now: ClockTime) -> OriginNotes {
        let rounds = u32::try_from(self.gossip_period_rounds()).unwrap_or(1);
        let repeats = REPEATS_PER_ROUND * rounds;
        self.origins.notes(now, repeats)
    }
}

/// Returns how long after its begin a stream may be taken up under a configuration.
pub(super) fn take_up_span(rules: &ForwardRules) -> ClockSpan {
    let resumable = rules.routes.iter().filter(|route| route.streaming && route.resumable);
    let longest = resumable.map(|route| route.timeout).max().unwrap_or(ClockSpan::ZERO);
    longest + RECONNECT_SPAN
}
