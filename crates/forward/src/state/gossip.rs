//! Gossip messages between routers, and the selection of the holders whose cache events this router reads.

use std::{cmp::Ordering, collections::BTreeMap};

use godwitroad_base::{ClockSpan, ClockTime, VmName, ZoneName, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardAction, ForwardState};
use crate::{GossipMessage, PeerPlace, PeerTiming, SegmentKey, SentPromptEntry, tag_of};

/// How long a target counts as about to load weights at least after a message said so; the holder of the order lease
/// repeats it until the load has ended.
const MIN_LOADING_NOTICE_LIFETIME: ClockSpan = ClockSpan::from_ms(1_200);

/// The longest delay of a datagram on its way, which is added to ages that must not be taken for lower than they are.
pub(super) const MAX_GOSSIP_DELAY: ClockSpan = ClockSpan::from_ms(300);

/// The longest wait of a datagram in this router's socket. Most of a message tells what is the case now, and the sender's
/// next message replaces it.
const MAX_GOSSIP_WAIT: ClockSpan = ClockSpan::from_ms(1_000);

/// The margin that is added to the gossip period to give the time for which an entry is repeated.
const REPEAT_MARGIN: ClockSpan = ClockSpan::from_ms(50);

/// Limit of usage entries, and of load entries, in a message, so that it fits one datagram.
const MAX_ENTRIES: usize = 32;

/// Limit of targets with a named limit in a message. Each message lists other ones.
const MAX_LIMITS: usize = 16;

/// Limit of known peers in one message.
const MAX_KNOWN_PEERS: usize = 10;

/// Event calls of each holder that are left free for routers that are added or restarted.
const SPARE_EVENT_CALLS: usize = 1;

impl ForwardState {
    /// Returns this router's next gossip message; `include_known_peers` adds some of the routers that it knows.
    pub fn gossip_message(&mut self, now: ClockTime, include_known_peers: bool) -> GossipMessage {
        self.sequence += 1;
        let kept_period = self.kept_gossip_period(now);
        let usage = self.allowance.report(now, MAX_ENTRIES, kept_period);
        let origins = self.origin_notes(now);
        let brittle = self.brittle_reports(now);
        let rollouts = self.rollout_notes(now);
        let loads = self.loads.own_work().map(|(target, work)| {
            let clamp = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            let requests = u16::try_from(work.requests).unwrap_or(u16::MAX);
            (tag_of(target.as_str()), requests, clamp(work.memory), clamp(work.pending_prefill))
        });
        let loading = if self.term.is_leader(now) {
            self.weights.changing().map(|target| tag_of(target.as_str())).collect()
        } else {
            Vec::new()
        };
        // Each message lists other ones.
        let skipped = self.sequence as usize * MAX_KNOWN_PEERS % self.peers.len().max(1);
        let known_peers = self.peers.iter().skip(skipped).map(|peer| peer.place.clone());
        self.has_new_sent_prompts = false;
        let repeat_span = kept_period + REPEAT_MARGIN;
        let (revision, urgent_revision) = self.store_progress.revisions();
        GossipMessage {
            place: self.settings.place.clone(),
            period_ms: u32::try_from(self.gossip_period().as_ms()).unwrap_or(u32::MAX),
            sequence: self.sequence,
            incarnation: self.settings.incarnation,
            version: self.config_version(),
            proof_age_ms: self.freshness.age(now).and_then(|age| u32::try_from(age.as_ms()).ok()),
            stopping: self.stop.is_stopping(),
            watches_store: self.watches_reliably(now),
            revision,
            urgent_revision,
            loads: loads.take(MAX_ENTRIES).collect(),
            usage,
            loading,
            reloaded: self.reloaded.unexpired(now, repeat_span),
            sent_prompts: self.sent_prompts.unexpired(now, repeat_span),
            weight_versions: self.announcement_ages(now),
            limits: self.throttle.reports(now, MAX_LIMITS, self.sequence as usize * MAX_LIMITS),
            quarantine: Box::new(self.quarantine.notes(now, repeat_span, self.sequence)),
            repeats: Box::new(self.repeats.notes(now, repeat_span, self.sequence)),
            origins: Box::new(origins),
            leaving: self.roster.leaving_runs().notices(now, repeat_span),
            deferrals: self.rejection_entries(now),
            reach: self.reach.notes(),
            brittle,
            reaches_store: self.store_path.is_direct(),
            shares_changes: !self.stop.is_stopping(),
            paces: self.cost.entries(now),
            rollouts,
            known_peers: if include_known_peers {
                known_peers.take(MAX_KNOWN_PEERS).collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns the VMs of the other known routers.
    pub fn peer_names(&self) -> impl Iterator<Item = &VmName> {
        self.peers.iter().map(|peer| &peer.place.vm)
    }

    /// Returns whether a peer is in another region, where traffic costs more and messages are sent less often.
    pub(super) fn is_other_region(&self, place: &PeerPlace) -> bool {
        self.region_of(&place.zone) != self.region_of(&self.settings.place.zone)
    }

    pub(super) fn receive_gossip(
        &mut self,
        now: ClockTime,
        message: GossipMessage,
        arrived_after: ClockTime,
        actions: &mut Vec<ForwardAction>,
    ) {
        if message.place.vm == self.settings.place.vm {
            return;
        }
        let was_suspended = now.since(arrived_after) > MAX_GOSSIP_WAIT;
        if was_suspended && !self.ignores_gossip {
            let detail = format!("waited_ms_at_most={}", now.since(arrived_after).as_ms());
            actions.push(ForwardAction::Notice("gossip_outdated", detail));
        }
        self.ignores_gossip = was_suspended;
        if was_suspended {
            return;
        }
        for place in &message.known_peers {
            if place.vm != self.settings.place.vm {
                self.peers.upsert(place.clone());
            }
        }
        let (version, proof, loading) =
            (message.version, message.proof_age_ms, message.loading.clone());
        let weight_versions = message.weight_versions.clone();
        let timing = self.peer_timing(&message);
        if message.stopping && !self.peers.is_stopping(&message.place.vm) {
            actions.push(ForwardAction::CloseRelays);
        }
        if self.peers.is_newer(&message) {
            self.apply_peer_state(now, &message, timing, actions);
            self.observe_peer_config(now, &message, actions);
        }
        let (revision, urgent) = self.store_progress.revisions();
        if message.urgent_revision > urgent.max(revision) {
            actions.push(ForwardAction::CheckStore);
        }
        if !self.peers.receive(now, arrived_after, message, timing.timeout) {
            return;
        }
        let lifetime = MIN_LOADING_NOTICE_LIFETIME.max(timing.promised + MAX_GOSSIP_DELAY);
        for tag in loading {
            self.loading_until.insert(tag, now + lifetime);
        }
        for (tag, version, age) in weight_versions {
            self.receive_announcement(now, tag, version, ClockSpan::from_ms(age.into()));
        }
        if version == self.config_version()
            && let Some(age) = proof
        {
            // The message may have waited in the socket.
            self.record_peer_proof(arrived_after.min(now), age);
        }
    }

    // Applies what a message that is newer than the sender's last one says.
    fn apply_peer_state(
        &mut self,
        now: ClockTime,
        message: &GossipMessage,
        timing: PeerTiming,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.record_gossip_gap(now, message);
        self.era.record_peer_version(now, message.version);
        // This must run before the peer counts as reachable again, as a returning peer adds nothing to the level.
        self.allowance.receive(now, &self.peers, message, timing);
        let before = self.peers.loads_of(now, &message.place.vm);
        self.loads.replace_peer(before, &message.loads);
        self.receive_reloads(&message.reloaded, actions);
        self.receive_sent_prompts(now, &message.sent_prompts);
        self.receive_quarantine(now, &message.quarantine, &message.repeats);
        self.receive_limits(now, message);
        self.origins.receive(now, &message.origins);
        self.receive_leaving(now, message, actions);
        self.receive_rejections(now, message);
        self.receive_brittle(now, message);
        self.receive_paces(now, &message.paces);
        self.receive_rollouts(now, message);
    }

    fn receive_sent_prompts(&mut self, now: ClockTime, entries: &[SentPromptEntry]) {
        for (tag, segments) in entries {
            let tagged = self.roster.find_by_tag(*tag);
            let Some(name) = tagged.map(|record| record.name.clone()) else { continue };
            let chain: Vec<(SegmentKey, u64)> =
                segments.iter().map(|(key, tokens)| (*key, u64::from(*tokens))).collect();
            self.cached_segments
                .entry(FeedSource::Target(name))
                .or_default()
                .record_sent(now, &chain);
        }
    }

    /// Returns the holders of cache entries whose cache events this router reads.
    ///
    /// Each holder answers only a few such calls at once. If there are more routers than that, those nearest to the holder take
    /// precedence, and among routers at the same distance those with the highest rendezvous score for the holder.
    pub fn feeds(&self, now: ClockTime) -> Vec<FeedSource> {
        let Some(rules) = &self.rules else { return Vec::new() };
        let readers = FeedReaders::new(self, now);
        let mut feeds = Vec::new();
        for record in self.roster.iter() {
            let engine = rules.services.get(&record.service).and_then(|rule| rule.engine.as_ref());
            let Some(engine) = engine else { continue };
            let calls = engine.event_calls as usize;
            if readers.reads(record.name.as_str(), &record.zone, calls) {
                feeds.push(FeedSource::Target(record.name.clone()));
            }
        }
        if let Some(store) = rules.cache_store()
            && readers.reads(&store.address.to_string(), &store.zone, store.event_calls as usize)
        {
            feeds.push(FeedSource::Kept(store.address));
        }
        feeds
    }
}

/// The routers among which the feeds of holders are divided, by availability zone.
struct FeedReaders<'a> {
    state: &'a ForwardState,
    zones: BTreeMap<&'a ZoneName, Vec<&'a VmName>>,
    // The number of reachable peers.
    peers: usize,
}

impl<'a> FeedReaders<'a> {
    fn new(state: &'a ForwardState, now: ClockTime) -> FeedReaders<'a> {
        let mut zones: BTreeMap<&ZoneName, Vec<&VmName>> = BTreeMap::new();
        let mut count = 0;
        for peer in state.peers.iter().filter(|peer| peer.is_reachable(now)) {
            zones.entry(&peer.place.zone).or_default().push(&peer.place.vm);
            count += 1;
        }
        FeedReaders { state, zones, peers: count }
    }

    // Returns whether this router is among those that read the feed of a holder, which answers `calls` at once.
    fn reads(&self, name: &str, zone: &ZoneName, calls: usize) -> bool {
        let places = calls.saturating_sub(SPARE_EVENT_CALLS).max(1);
        if self.peers < places {
            return true;
        }
        let own = &self.state.settings.place;
        let own_distance = self.state.distance(&own.zone, zone);
        let (mut nearer, mut rivals) = (0, Vec::new());
        for (other, vms) in &self.zones {
            match self.state.distance(other, zone).cmp(&own_distance) {
                Ordering::Less => nearer += vms.len(),
                Ordering::Equal => rivals.push(vms),
                Ordering::Greater => {}
            }
        }
        if nearer >= places {
            return false;
        }
        let key = xxh3_64(name.as_bytes());
        let own_score = rendezvous::score(key, own.vm.as_str());
        let is_ahead = |vm: &&&VmName| rendezvous::score(key, vm.as_str()) >= own_score;
        let ahead = rivals.into_iter().flatten().filter(is_ahead).count();
        nearer + ahead < places
    }
}
