//! Keeps each stream at engines that run what its first engine runs.
//!
//! What two builds of an engine write doesn't fit together, and neither does the text of two versions of the weights.
//! Load reports and events state the build. A report can be outdated, so the events of an attempt decide; the choice of
//! a target only avoids attempts that are known to be useless.

use godwitroad_base::{BuildName, ClockTime, RequestId, TargetName};
use godwitroad_config::ServiceConfig;
use godwitroad_prefix::TargetTag;

use crate::{
    CallerError, ErrorKind, RouterAction, RouterState, StateChange, StreamOrigin,
    placement::{AttemptEnd, RequestPlacement},
    request::RequestEntry,
    state::EventContext,
};

/// What a target must fulfil to write the rest of a stream; a request without events needs nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamNeed<'a> {
    pub(crate) origin: Option<&'a StreamOrigin>,
    pub(crate) foreign_targets: &'a [TargetName],
}

impl RequestEntry {
    pub(crate) fn stream_need(&self) -> StreamNeed<'_> {
        StreamNeed { origin: self.log.origin(), foreign_targets: &self.foreign_targets }
    }
}

impl RequestPlacement {
    /// Records the build that a target stated at a time; older statements don't replace newer ones.
    pub(crate) fn record_build(&mut self, at: ClockTime, tag: TargetTag, build: Option<BuildName>) {
        let known = self.builds.entry(tag).or_insert((None, ClockTime::ZERO));
        if at >= known.1 {
            *known = (build, at);
        }
    }

    /// Returns whether a target may write the rest of a stream; one that has stated no build yet may.
    pub(crate) fn may_write(&self, target: &TargetName, need: &StreamNeed<'_>) -> bool {
        let Some(origin) = need.origin else { return true };
        let stated = self.builds.get(&TargetTag::of(target.as_str()));
        stated.is_none_or(|(build, _)| *build == origin.build)
            && !need.foreign_targets.contains(target)
    }

    fn has_writer(&self, service: &ServiceConfig, need: &StreamNeed<'_>) -> bool {
        let mut targets = service.targets.iter().filter(|target| !target.leaving);
        targets.any(|target| self.may_write(&target.name, need))
    }
}

impl RouterState {
    /// Gives up an attempt whose events don't fit to the stream. This is no failure of the target.
    pub(crate) fn drop_foreign_attempt(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        context.actions.push(RouterAction::Cancel { id, attempt: entry.attempts() });
        let Some(placed) = entry.placed.take() else { return };
        let target = placed.target.clone();
        entry.failed_targets.push(target.clone());
        entry.foreign_targets.push(target.clone());
        self.placement.record_attempt_end(context.now, id, &placed, AttemptEnd::Cancelled);
        context.report_change(StateChange::StreamForeign { request: id, target });
        self.retry_attempt(context, id, None);
    }

    /// Ends a waiting stream that no target can continue, and returns whether it did.
    pub(crate) fn end_orphaned_stream(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
    ) -> bool {
        let Some(entry) = self.requests.get(id) else { return false };
        let Some(service) = self.view.service(&entry.facts.route.service) else { return false };
        let need = entry.stream_need();
        if need.origin.is_none() || self.placement.has_writer(service, &need) {
            return false;
        }
        let build = need.origin.and_then(|origin| origin.build.clone());
        context.report_change(StateChange::StreamOrphaned { request: id, build });
        self.fail_request(context, id, CallerError::unknown(ErrorKind::StreamLost));
        true
    }
}
