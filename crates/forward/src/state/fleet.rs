//! What the routers tell each other, and whose cache entries this router reads.

use godwitroad_base::{ClockSpan, ClockTime, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardState};
use crate::{PeerNote, PeerPlace, PeerState, tag_of};

/// The time for which a peer's notice counts that a target is about to load; the owner repeats it while it holds.
const LOADING_SPAN: ClockSpan = ClockSpan::from_ms(1_200);

/// What a borrowed proof ages on its way, at most; datagrams are not held longer.
const NOTE_DELAY: ClockSpan = ClockSpan::from_ms(300);

/// The age of a router's proof from which it no longer proves for others.
const PROVER_AGE_MS: u32 = 2_000;

/// The most usage and load lines in one note, so that it fits one datagram.
const MAX_LINES: usize = 40;

/// Event calls of each holder that stay free for routers that are added or restarted.
const SPARE_CALLS: usize = 1;

impl ForwardState {
    /// Returns this router's note to a peer; `introduce` adds the routers that it knows.
    pub fn note(&mut self, now: ClockTime, introduce: bool) -> PeerNote {
        self.sequence += 1;
        let rules = self.rules.clone();
        let mut usage = self.allowance.report(now);
        // The largest users matter most where not all fit.
        usage.sort_by_key(|(_, units, _)| std::cmp::Reverse(*units));
        usage.truncate(MAX_LINES);
        let loads = self.loads.own().map(|(target, work)| {
            let clamp = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            let requests = u16::try_from(work.requests).unwrap_or(u16::MAX);
            (tag_of(target.as_str()), requests, clamp(work.memory), clamp(work.unread))
        });
        let loading = if self.term.is_held(now) {
            self.weights.changing().map(|target| tag_of(target.as_str())).collect()
        } else {
            Vec::new()
        };
        let known = self.peers.iter().map(|peer| peer.place.clone());
        PeerNote {
            place: self.settings.place.clone(),
            sequence: self.sequence,
            incarnation: self.settings.incarnation,
            version: rules.map_or(0, |rules| rules.version),
            proof_age_ms: self.contact.age(now).and_then(|age| u32::try_from(age.as_ms()).ok()),
            stopping: self.stopping.is_some(),
            loads: loads.take(MAX_LINES).collect(),
            usage,
            loading,
            named: self.naming_ages(now),
            known: if introduce { known.take(MAX_LINES).collect() } else { Vec::new() },
        }
    }

    /// Returns the peers to tell.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.iter()
    }

    /// Returns how long the next watch for changes waits.
    pub fn watch_wait(&self, now: ClockTime) -> ClockSpan {
        let contact = &self.settings.contact;
        let needs_proof = self.rules.as_ref().is_some_and(|rules| rules.needs_keys());
        if needs_proof && contact.strict && self.is_prover(now) {
            contact.prover_wait.min(contact.wait)
        } else {
            contact.wait
        }
    }

    // The first router of the region that is in touch with the store proves for the others.
    fn is_prover(&self, now: ClockTime) -> bool {
        let own = &self.settings.place;
        let lends = |note: &PeerNote| {
            !note.stopping
                && !self.is_far(&note.place)
                && note.proof_age_ms.is_some_and(|age| age < PROVER_AGE_MS)
        };
        let others = self.peers.heard(now).map(|(note, _)| note).filter(|note| lends(note));
        self.stopping.is_none() && others.map(|note| &note.place.vm).all(|vm| own.vm < *vm)
    }

    /// Returns whether a peer is in another region, where bytes cost more and notes may be rarer.
    pub fn is_far(&self, place: &PeerPlace) -> bool {
        self.region_of(&place.zone) != self.region_of(&self.settings.place.zone)
    }

    pub(super) fn take_note(&mut self, now: ClockTime, note: PeerNote) {
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
        if self.peers.is_news(&note) {
            // Before the peer counts as heard: a peer that comes back brings no level with it.
            if let Some(rules) = &self.rules {
                self.allowance.hear(now, &rules.accounts, &self.peers, &note);
            }
            let before = self.peers.loads_of(now, &note.place.vm);
            self.loads.change_peer(before, &note.loads);
        }
        if !self.peers.hear(now, note) {
            return;
        }
        for tag in loading {
            self.loading.insert(tag, now + LOADING_SPAN);
        }
        for (tag, version, age) in named {
            self.hear_naming(now, tag, version, ClockSpan::from_ms(age.into()));
        }
        let own = self.rules.as_ref().map_or(0, |rules| rules.version);
        if version > own {
            self.contact.doubt();
        } else if version == own
            && let Some(age) = proof
        {
            self.contact.borrow(now - (ClockSpan::from_ms(age.into()) + NOTE_DELAY));
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
