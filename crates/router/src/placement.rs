//! The placement of requests: the prefix index, the load and health of targets, and the choice of a target.
//!
//! The subsystems identify targets by dense ids. This module translates between ids and names, and its interface uses
//! names only.

use std::collections::BTreeMap;

use godwitroad_balance::{
    ChoiceExplanation, ChoiceRequest, ChoiceSettings, ChoiceView, DispatchHint, Distance,
    HealthSettings, HealthState, HotPrefixes, HotSettings, LinkMeter, LinkSettings, LoadSettings,
    LoadView, RetryBudget, RetrySettings, TargetCandidate, TargetChoice, TargetHealth,
    TargetReport,
};
use godwitroad_base::{
    BuildName, ClockSpan, ClockTime, Incarnation, RegionName, RequestId, SeededRandom, TargetName,
    VmName, ZoneName,
};
use godwitroad_config::ServiceConfig;
use godwitroad_prefix::{
    BlockHash, CacheChange, FeedBatch, IndexShard, PrefixChain, PrefixMatches, ShardAction,
    ShardEvent, ShardMessage, ShardSettings, TargetId, TargetTag,
};
use godwitroad_queue::{FreeSlots, SlotSettings, SlotTable};

use crate::{CacheBatch, CacheEvent, LoadReport, LoadUpdate, origin::StreamNeed, view::ConfigView};

/// The maximum number of zones in the fleet for which updates go to the routers of all zones.
///
/// In a larger fleet, prefix index updates go to the own region only, because traffic between regions is paid for, and
/// load updates go to the own zone only.
pub(crate) const MAX_BROADCAST_ZONES: usize = 8;

/// The maximum number of targets that a router considers, nearest first; the capacity of the prefix index.
const MAX_TARGETS: usize = 4_096;

/// The settings of the placement of requests.
#[derive(Clone, Debug, Default)]
pub struct PlacementSettings {
    /// The settings of this router's shard of the prefix index.
    pub index_shard: ShardSettings,
    /// The settings of the cost estimates by which a target is chosen.
    pub choice: ChoiceSettings,
    /// The settings of the load estimates of targets.
    pub load: LoadSettings,
    /// The settings of the health state of targets.
    pub health: HealthSettings,
    /// The settings of the replication of hot prefixes to several targets.
    pub hot: HotSettings,
    /// The settings of the meter for traffic to other regions; its rate comes from the configuration.
    pub link: LinkSettings,
    /// The settings of the budget for retries.
    pub retry: RetrySettings,
    /// The settings of this router's share of the targets' slots.
    pub slots: SlotSettings,
}

/// The placement state of one router.
#[derive(Debug)]
pub(crate) struct RequestPlacement {
    vm: VmName,
    zone: ZoneName,
    region: RegionName,
    index_shard: IndexShard,
    choice: TargetChoice,
    load: LoadView,
    health: TargetHealth,
    hot: HotPrefixes,
    link: LinkMeter,
    pub(crate) retry: RetryBudget,
    slots: SlotTable,
    routers: usize,
    random: SeededRandom,
    pending_update: LoadUpdate,
    last_update: ClockTime,
    reports: BTreeMap<TargetTag, (LoadReport, ClockTime)>,
    incarnations: BTreeMap<TargetId, u64>,
    /// The build that each target stated last, and when.
    pub(crate) builds: BTreeMap<TargetTag, (Option<BuildName>, ClockTime)>,
    /// The targets that this router considers, at most [`MAX_TARGETS`].
    targets_by_tag: BTreeMap<TargetTag, TargetName>,
}

/// A running attempt and the target that was chosen for it.
#[derive(Clone, Debug)]
pub(crate) struct PlacedAttempt {
    pub(crate) target: TargetName,
    id: TargetId,
    pub(crate) started_at: ClockTime,
    /// When the target last sent a part of the answer; the start before the first one.
    pub(crate) heard_at: ClockTime,
    pub(crate) explanation: ChoiceExplanation,
    missing_tokens: u64,
    pub(crate) first_token_at: Option<ClockTime>,
}

/// The properties of a request on which the choice of a target depends.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) id: RequestId,
    pub(crate) chain: &'a PrefixChain,
    pub(crate) tokens: u64,
    pub(crate) bytes: u64,
    pub(crate) failed_targets: &'a [TargetName],
    pub(crate) stream: StreamNeed<'a>,
}

impl RequestPlacement {
    pub(crate) fn new(
        now: ClockTime,
        vm: VmName,
        zone: ZoneName,
        region: RegionName,
        settings: &PlacementSettings,
        random: SeededRandom,
    ) -> RequestPlacement {
        let mut index_shard = IndexShard::new(vm.clone(), settings.index_shard);
        index_shard.handle(now, ShardEvent::Members(vec![vm.clone()]), &mut Vec::new());
        RequestPlacement {
            vm,
            zone,
            region,
            index_shard,
            choice: TargetChoice::new(settings.choice),
            load: LoadView::new(settings.load),
            health: TargetHealth::new(settings.health),
            hot: HotPrefixes::new(settings.hot),
            link: LinkMeter::new(now, settings.link),
            retry: RetryBudget::new(settings.retry),
            slots: SlotTable::new(settings.slots),
            routers: 1,
            random,
            pending_update: LoadUpdate::default(),
            last_update: now,
            reports: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            builds: BTreeMap::new(),
            targets_by_tag: BTreeMap::new(),
        }
    }

    pub(crate) fn configure(&mut self, now: ClockTime, view: &ConfigView) {
        let names = view.nearest_targets(&self.zone, &self.region, MAX_TARGETS);
        self.targets_by_tag =
            names.iter().map(|name| (TargetTag::of(name.as_str()), name.clone())).collect();
        let event = ShardEvent::Targets(names.iter().cloned().collect());
        self.index_shard.handle(now, event, &mut Vec::new());
        for name in &names {
            let (Some(id), Some(config)) = (self.id_of(name), view.target(name)) else { continue };
            self.slots.set_slots(id.index(), config.slots);
            self.load.set_slots(id, config.slots);
            self.health.set_leaving(now, id, config.leaving);
        }
        let share = view.document.fleet.link_bytes_per_second / self.routers.max(1) as u64;
        self.link.set_rate(now, share);
    }

    pub(crate) fn handle_shard_event(
        &mut self,
        now: ClockTime,
        event: ShardEvent,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.index_shard.handle(now, event, &mut actions);
        actions
    }

    /// Sets the routers of the own zone and, by zone, those of all other zones.
    pub(crate) fn set_members(
        &mut self,
        now: ClockTime,
        view: &ConfigView,
        members: Vec<VmName>,
        remote: BTreeMap<ZoneName, Vec<VmName>>,
    ) -> Vec<ShardAction> {
        self.routers = members.len().max(1);
        self.slots.set_routers(self.routers);
        let mut actions = self.handle_shard_event(now, ShardEvent::Members(members));
        let reaches_all_zones = remote.len() < MAX_BROADCAST_ZONES;
        let is_in_region = |zone: &ZoneName| view.region(zone) == Some(&self.region);
        let remote = remote.into_iter().filter(|(zone, _)| reaches_all_zones || is_in_region(zone));
        let remote = remote.map(|(_, members)| members).collect();
        actions.extend(self.handle_shard_event(now, ShardEvent::RemoteMembers(remote)));
        for target in self.targets_by_tag.values().cloned().collect::<Vec<_>>() {
            if !self.is_reader_of(&target, &self.vm) {
                actions.extend(self.handle_shard_event(now, ShardEvent::StopReading(target)));
            }
        }
        actions
    }

    /// Returns whether the latest dispatch is large enough that peers should learn of it immediately.
    pub(crate) fn has_urgent_dispatch(&self) -> bool {
        self.pending_update.dispatches.last().is_some_and(DispatchHint::is_urgent)
    }

    pub(crate) fn handle_index_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: ShardMessage,
    ) -> Vec<ShardAction> {
        self.handle_shard_event(now, ShardEvent::Message { from, message })
    }

    pub(crate) fn is_reader_of(&self, target: &TargetName, vm: &VmName) -> bool {
        self.index_shard.reader_of(target) == Some(vm)
    }

    pub(crate) fn next_sequence(&self, target: &TargetName) -> u64 {
        self.index_shard.next_sequence(target.as_str())
    }

    pub(crate) fn is_index_ready(&self) -> bool {
        self.index_shard.is_ready()
    }

    pub(crate) fn index_entries(&self) -> usize {
        self.index_shard.index().len()
    }

    pub(crate) fn health_of(&self, now: ClockTime, target: &TargetName) -> Option<HealthState> {
        Some(self.health.state(now, self.id_of(target)?))
    }

    pub(crate) fn report_of(&self, target: &TargetName) -> Option<(LoadReport, ClockTime)> {
        self.reports.get(&TargetTag::of(target.as_str())).cloned()
    }

    /// Records a load report that this router polled itself and queues it for the peers.
    pub(crate) fn record_polled_load(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: LoadReport,
    ) {
        let tag = TargetTag::of(target.as_str());
        self.pending_update.reports.retain(|(other, _)| *other != tag);
        self.pending_update.reports.push((tag, report.clone()));
        self.record_report(now, tag, target, report);
    }

    fn record_report(
        &mut self,
        now: ClockTime,
        tag: TargetTag,
        target: &TargetName,
        report: LoadReport,
    ) {
        let Some(id) = self.id_of(target) else { return };
        let age = ClockSpan::from_ms(report.age_ms);
        let LoadReport { incarnation, running, waiting, waiting_tokens, .. } = report;
        self.record_build(now - age, tag, report.build.clone());
        self.reports.insert(tag, (report, now - age));
        let previous = self.incarnations.insert(id, incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.load.restart(now, id);
            self.health.restart(now, id);
        }
        self.load.record_report(now, id, TargetReport { running, waiting, waiting_tokens, age });
    }

    pub(crate) fn handle_cache_batch(
        &mut self,
        now: ClockTime,
        target: TargetName,
        batch: CacheBatch,
    ) -> Vec<ShardAction> {
        let changes = batch.events.iter().map(|event| match *event {
            CacheEvent::Stored { piece, parent } => CacheChange::Stored {
                block: BlockHash(piece),
                parent: (parent != 0).then_some(BlockHash(parent)),
            },
            CacheEvent::Evicted { piece } => CacheChange::Evicted { block: BlockHash(piece) },
            CacheEvent::Cleared => CacheChange::Cleared,
        });
        let batch = FeedBatch {
            incarnation: Incarnation(batch.incarnation),
            first: batch.first,
            snapshot: batch.snapshot,
            changes: changes.collect(),
        };
        self.handle_shard_event(now, ShardEvent::Cache { target, batch })
    }

    /// Applies a peer's load reports and dispatches.
    pub(crate) fn apply_load_update(&mut self, now: ClockTime, update: LoadUpdate) {
        for (tag, report) in update.reports {
            if let Some(name) = self.targets_by_tag.get(&tag).cloned() {
                self.record_report(now, tag, &name, report);
            }
        }
        for DispatchHint { tag, tokens, age_ms } in update.dispatches {
            if let Some(id) = self.targets_by_tag.get(&tag).and_then(|name| self.id_of(name)) {
                let sent = now - ClockSpan::from_ms(age_ms.into());
                self.load.record_dispatch(sent, id, tokens.into(), None);
            }
        }
    }

    /// Returns the load update for the peers since the last call, or `None` if nothing has changed.
    pub(crate) fn take_load_update(&mut self, now: ClockTime) -> Option<LoadUpdate> {
        let span = now.since(self.last_update);
        self.last_update = now;
        let mut update = std::mem::take(&mut self.pending_update);
        for (_, report) in &mut update.reports {
            report.age_ms += span.as_ms();
        }
        (!update.reports.is_empty() || !update.dispatches.is_empty()).then_some(update)
    }

    /// Returns the slots at the targets of `service` that this router may use.
    pub(crate) fn free_slots(&self, now: ClockTime, service: &ServiceConfig) -> FreeSlots {
        let ids = service.targets.iter().filter_map(|target| self.id_of(&target.name));
        let usable = ids.filter(|id| self.health.share(now, *id) > 0.0);
        let (free, total) = usable.fold((0, 0), |(free, total), id| {
            (free + self.slots.free(id.index()), total + self.slots.share(id.index()))
        });
        FreeSlots { free, total }
    }

    /// Chooses a target of `service` that has a free slot and reserves the slot.
    pub(crate) fn reserve_target(
        &mut self,
        now: ClockTime,
        view: &ConfigView,
        service: &ServiceConfig,
        request: &PlacementRequest<'_>,
        matches: &PrefixMatches,
    ) -> Option<PlacedAttempt> {
        let candidates = self.find_candidates(view, service, &request.stream);
        let excluded: Vec<TargetId> =
            request.failed_targets.iter().filter_map(|name| self.id_of(name)).collect();
        // If no other target is available, a target at which an earlier attempt failed is tried again.
        let chosen = self
            .choose_target(now, request, &candidates, &excluded, matches)
            .or_else(|| self.choose_target(now, request, &candidates, &[], matches))?;
        let (id, missing_tokens, explanation) = chosen;
        let target = self.index_shard.index().target_name(id)?.clone();
        self.slots.take(id.index());
        if explanation.chosen.distance == Distance::Remote {
            self.link.take(now, request.bytes);
        }
        self.load.record_dispatch(now, id, missing_tokens, Some(request.id.serial));
        // The age is 0, as the hint is sent within one update period, which is short compared to the work it announces.
        self.pending_update.dispatches.push(DispatchHint {
            tag: TargetTag::of(target.as_str()),
            tokens: u32::try_from(missing_tokens).unwrap_or(u32::MAX),
            age_ms: 0,
        });
        if let Some(first) = request.chain.first() {
            let used_ms = missing_tokens as f64 * 1_000.0 / self.load.prefill_rate(id);
            self.hot.record(now, first.short_hash(), used_ms, self.routers);
            let chain = request.chain.clone();
            self.handle_shard_event(now, ShardEvent::Dispatched { target: target.clone(), chain });
        }
        Some(PlacedAttempt {
            target,
            id,
            started_at: now,
            heard_at: now,
            explanation,
            missing_tokens,
            first_token_at: None,
        })
    }

    fn choose_target(
        &mut self,
        now: ClockTime,
        request: &PlacementRequest<'_>,
        candidates: &[TargetCandidate],
        excluded: &[TargetId],
        matches: &PrefixMatches,
    ) -> Option<(TargetId, u64, ChoiceExplanation)> {
        let facts = ChoiceRequest {
            first: request.chain.first().map(BlockHash::short_hash),
            blocks: request.chain.len(),
            tokens: request.tokens,
            bytes: request.bytes,
            routers: self.routers,
            excluded,
        };
        let view = ChoiceView {
            candidates,
            matches,
            load: &self.load,
            health: &self.health,
            hot: &self.hot,
            link: &self.link,
        };
        let chosen = self.choice.choose(now, &facts, &view, &mut self.random)?;
        Some((chosen.target, chosen.missing_tokens, chosen.explain))
    }

    fn find_candidates(
        &self,
        view: &ConfigView,
        service: &ServiceConfig,
        stream: &StreamNeed<'_>,
    ) -> Vec<TargetCandidate> {
        let usable = service.targets.iter().filter(|target| self.may_write(&target.name, stream));
        let candidates = usable.filter_map(|target| {
            let id = self.id_of(&target.name)?;
            let distance = if target.zone == self.zone {
                Distance::Zone
            } else if view.region(&target.zone) == Some(&self.region) {
                Distance::Region
            } else {
                Distance::Remote
            };
            (self.slots.free(id.index()) > 0).then_some(TargetCandidate { target: id, distance })
        });
        candidates.collect()
    }

    /// Records answer bytes on the link meter if the target is in another region.
    pub(crate) fn record_answer_bytes(
        &mut self,
        now: ClockTime,
        attempt: &PlacedAttempt,
        bytes: usize,
    ) {
        if attempt.explanation.chosen.distance == Distance::Remote {
            self.link.record_answer(now, bytes as u64);
        }
    }

    /// Sends nothing to a target for the time it named, and returns the bounded time if that is news.
    pub(crate) fn defer_target(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        wait: ClockSpan,
    ) -> Option<ClockSpan> {
        let id = self.id_of(target)?;
        self.health.defer(now, id, wait)
    }

    /// Returns the number of bytes of requests and answers that this router transferred between regions.
    pub(crate) fn link_bytes(&self) -> u64 {
        self.link.bytes()
    }

    /// Records the time of an attempt's first token; later calls have no effect.
    pub(crate) fn record_first_token(&mut self, now: ClockTime, attempt: &mut PlacedAttempt) {
        if attempt.first_token_at.is_some() {
            return;
        }
        attempt.first_token_at = Some(now);
        // The time to the first token measures the prefill rate only if the request did not queue at the target.
        if attempt.explanation.chosen.queue_ms < 1.0 {
            let span = now.since(attempt.started_at);
            self.load.record_prefill(attempt.id, attempt.missing_tokens, span);
        }
    }

    /// Records the end of an attempt and returns whether its failure made the target's health state worse.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: ClockTime,
        id: RequestId,
        attempt: &PlacedAttempt,
        end: AttemptEnd,
    ) -> bool {
        self.slots.release(attempt.id.index());
        self.load.record_end(now, attempt.id, id.serial, now.since(attempt.started_at));
        match end {
            AttemptEnd::Answered => self.health.record_success(now, attempt.id),
            AttemptEnd::Failed => return self.health.record_failure(now, attempt.id),
            AttemptEnd::Cancelled => {}
        }
        false
    }

    fn id_of(&self, target: &TargetName) -> Option<TargetId> {
        self.index_shard.index().target_id(target.as_str())
    }
}

/// How an attempt ended, as far as it concerns the health of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptEnd {
    Answered,
    Failed,
    /// The router cancelled the attempt, which says nothing about the target.
    Cancelled,
}
