//! What the routers tell each other, and whose cache entries this router reads.

use godwitroad_base::{ClockSpan, ClockTime, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardAction, ForwardState};
use crate::{GossipMessage, PeerPlace, PlacedLine, SegmentKey, tag_of};

/// The time for which a peer's notice counts that a target is about to load; the owner repeats it while it holds.
const LOADING_SPAN: ClockSpan = ClockSpan::from_ms(1_200);

/// What a borrowed proof ages on its way, at most; datagrams are not held longer.
const NOTE_DELAY: ClockSpan = ClockSpan::from_ms(300);

/// The time beyond the period of the notes for which a line is told.
const TELL_MARGIN: ClockSpan = ClockSpan::from_ms(50);

/// The most usage and load lines in one note, so that it fits one datagram.
const MAX_LINES: usize = 32;

/// The most introductions in one note.
const MAX_KNOWN: usize = 10;

/// Event calls of each holder that stay free for routers that are added or restarted.
const SPARE_CALLS: usize = 1;

impl ForwardState {
    /// Returns this router's note to a peer; `introduce` adds the routers that it knows.
    pub fn gossip_message(&mut self, now: ClockTime, introduce: bool) -> GossipMessage {
        self.sequence += 1;
        let usage = self.allowance.report(now, MAX_LINES);
        let loads = self.loads.own().map(|(target, work)| {
            let clamp = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            let requests = u16::try_from(work.requests).unwrap_or(u16::MAX);
            (tag_of(target.as_str()), requests, clamp(work.memory), clamp(work.unread))
        });
        let loading = if self.term.is_leader(now) {
            self.weights.changing().map(|target| tag_of(target.as_str())).collect()
        } else {
            Vec::new()
        };
        // Another few in each note.
        let skipped = self.sequence as usize * MAX_KNOWN % self.peers.len().max(1);
        let known = self.peers.iter().skip(skipped).map(|peer| peer.place.clone());
        self.has_placed = false;
        // Two notes, as one may be lost.
        let told_for = self.note_period() + TELL_MARGIN;
        let (revision, urgent_revision) = self.knowledge.told();
        GossipMessage {
            place: self.settings.place.clone(),
            period_ms: u32::try_from(self.note_period().as_ms()).unwrap_or(u32::MAX),
            sequence: self.sequence,
            incarnation: self.settings.incarnation,
            version: self.config_version(),
            proof_age_ms: self.contact.age(now).and_then(|age| u32::try_from(age.as_ms()).ok()),
            stopping: self.stopping.is_some(),
            follows: self.follows(now),
            revision,
            urgent_revision,
            loads: loads.take(MAX_LINES).collect(),
            usage,
            loading,
            loaded: self.loaded.told(now, told_for),
            placed: self.placed.told(now, told_for),
            named: self.naming_ages(now),
            known: if introduce { known.take(MAX_KNOWN).collect() } else { Vec::new() },
        }
    }

    /// Returns whether a peer is in another region, where bytes cost more and notes may be rarer.
    pub(super) fn is_far(&self, place: &PeerPlace) -> bool {
        self.region_of(&place.zone) != self.region_of(&self.settings.place.zone)
    }

    pub(super) fn take_note(
        &mut self,
        now: ClockTime,
        note: GossipMessage,
        actions: &mut Vec<ForwardAction>,
    ) {
        if note.place.vm == self.settings.place.vm {
            return;
        }
        for place in &note.known {
            if place.vm != self.settings.place.vm {
                self.peers.list(place.clone());
            }
        }
        let (version, proof, loading) = (note.version, note.proof_age_ms, note.loading.clone());
        let named = note.named.clone();
        let silence = self.silence_of(&note);
        if self.peers.is_news(&note) {
            // Before the peer counts as heard: a peer that comes back brings no level with it.
            if let Some(rules) = &self.rules {
                self.allowance.hear(now, &rules.accounts, &self.peers, &note, silence);
            }
            let before = self.peers.loads_of(now, &note.place.vm);
            self.loads.change_peer(before, &note.loads);
            self.hear_loaded(&note.loaded, actions);
            self.hear_placed(now, &note.placed);
        }
        let (revision, urgent) = self.knowledge.told();
        if note.urgent_revision > urgent.max(revision) {
            actions.push(ForwardAction::CheckStore);
        }
        if !self.peers.hear(now, note, silence) {
            return;
        }
        for tag in loading {
            self.loading.insert(tag, now + LOADING_SPAN);
        }
        for (tag, version, age) in named {
            self.hear_naming(now, tag, version, ClockSpan::from_ms(age.into()));
        }
        if version == self.config_version()
            && let Some(age) = proof
        {
            self.contact.prove(now - (ClockSpan::from_ms(age.into()) + NOTE_DELAY));
        }
    }

    fn hear_placed(&mut self, now: ClockTime, lines: &[PlacedLine]) {
        for (tag, parts) in lines {
            let tagged = self.roster.tagged(*tag);
            let Some(name) = tagged.map(|record| record.name.clone()) else { continue };
            let chain: Vec<(SegmentKey, u64)> =
                parts.iter().map(|(key, tokens)| (*key, u64::from(*tokens))).collect();
            self.parts.entry(FeedSource::Target(name)).or_default().expect(now, &chain);
        }
    }

    /// Returns the holders of cache entries whose changes this router reads.
    ///
    /// Each holder answers a few such calls at once. Where the routers are more than that, those of the holder's own
    /// availability zone go first, then those that rank highest for it.
    pub fn feeds(&self, now: ClockTime) -> Vec<FeedSource> {
        let Some(rules) = &self.rules else { return Vec::new() };
        let mut feeds = Vec::new();
        for record in self.roster.iter() {
            let engine = rules.services.get(&record.service).and_then(|rule| rule.engine.as_ref());
            let Some(engine) = engine else { continue };
            let calls = engine.event_calls as usize;
            if self.reads(now, record.name.as_str(), Some(&record.zone), calls) {
                feeds.push(FeedSource::Target(record.name.clone()));
            }
        }
        if let Some(kept) = rules.kept_cache()
            && self.reads(
                now,
                &kept.address.to_string(),
                Some(&kept.zone),
                kept.event_calls as usize,
            )
        {
            feeds.push(FeedSource::Kept(kept.address));
        }
        feeds
    }

    fn reads(
        &self,
        now: ClockTime,
        name: &str,
        zone: Option<&godwitroad_base::ZoneName>,
        calls: usize,
    ) -> bool {
        let own = &self.settings.place;
        let heard = self.peers.iter().filter(|peer| peer.is_heard(now));
        let mut readers: Vec<&PeerPlace> = heard.map(|peer| &peer.place).collect();
        let places = calls.saturating_sub(SPARE_CALLS).max(1);
        if readers.len() < places {
            return true;
        }
        readers.push(own);
        let key = xxh3_64(name.as_bytes());
        readers.sort_by_key(|place| {
            let is_other = Some(&place.zone) != zone;
            (is_other, std::cmp::Reverse(rendezvous::score(key, place.vm.as_str())))
        });
        readers.iter().take(places).any(|place| place.vm == own.vm)
    }
}
