//! The builds of services, and the streams that began at them.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    key::{BuildTag, ServiceTag, StreamKey},
    notes::{BuildSighting, OriginNotes, StreamOrigin},
};

/// The bounds of an [`OriginTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OriginSettings {
    /// How long after its begin, or after it was taken up, a stream can be taken up again.
    pub span: ClockSpan,
    /// The time from when a router sees a build first until it begins streams there, so that all others have seen it too.
    pub settling: ClockSpan,
    /// The maximum number of streams; the oldest ones are forgotten first.
    pub capacity: usize,
    /// The maximum number of streams in one note to the peers.
    pub note_streams: usize,
    /// The maximum number of streams that are saved in the store.
    pub saved_streams: usize,
}

/// A stream that may be taken up.
#[derive(Clone, Copy, Debug)]
struct StreamRecord {
    // `None` if routers disagree on it.
    build: Option<BuildTag>,
    recorded: ClockTime,
}

/// When a build was last seen to serve a service.
#[derive(Clone, Copy, Debug, Default)]
struct BuildRecord {
    // By this router, whose notes contain it. What others have seen isn't passed on, as it would never expire.
    by_own: Option<ClockTime>,
    by_any: ClockTime,
    // When this router saw it first.
    first: Option<ClockTime>,
}

/// A stream that began at this router.
#[derive(Clone, Copy, Debug)]
struct OwnStream {
    key: StreamKey,
    service: ServiceTag,
    build: BuildTag,
    recorded: ClockTime,
    // The number of notes that contained it.
    reports: u32,
}

/// The builds of services, and the streams that began at them.
#[derive(Clone, Debug)]
pub struct OriginTable {
    settings: OriginSettings,
    streams: BTreeMap<StreamKey, StreamRecord>,
    // The keys of `streams` in the order of their records; a key that was recorded again occurs twice.
    order: VecDeque<(ClockTime, StreamKey)>,
    own: VecDeque<OwnStream>,
    sightings: BTreeMap<ServiceTag, BTreeMap<BuildTag, BuildRecord>>,
    has_news: bool,
    has_unsaved: bool,
}

impl Default for OriginSettings {
    fn default() -> OriginSettings {
        OriginSettings {
            span: ClockSpan::from_secs(30),
            settling: ClockSpan::from_ms(1_000),
            capacity: 131_072,
            note_streams: 48,
            saved_streams: 4_096,
        }
    }
}

impl OriginTable {
    /// Returns a table that knows no build.
    pub fn new(settings: OriginSettings) -> OriginTable {
        OriginTable {
            settings,
            streams: BTreeMap::new(),
            order: VecDeque::new(),
            own: VecDeque::new(),
            sightings: BTreeMap::new(),
            has_news: false,
            has_unsaved: false,
        }
    }

    /// Sets how long a stream can be taken up.
    pub fn set_span(&mut self, span: ClockSpan) {
        self.settings.span = span;
    }

    /// Returns how long a stream can be taken up.
    pub fn span(&self) -> ClockSpan {
        self.settings.span
    }

    /// Records that a target of a build is registered for a service.
    pub fn observe(&mut self, now: ClockTime, service: ServiceTag, build: BuildTag) {
        let builds = self.sightings.entry(service).or_default();
        let record = builds.entry(build).or_default();
        let is_new = record.by_own.is_none();
        let first = record.first.or(Some(now));
        *record = BuildRecord { by_own: Some(now), by_any: now, first };
        if is_new && self.is_mixed(now, service) {
            self.has_news = true;
            self.has_unsaved = true;
        }
    }

    /// Returns whether several builds serve a service, or did while a stream of that time can still be taken up.
    pub fn is_mixed(&self, now: ClockTime, service: ServiceTag) -> bool {
        self.recent_builds(now, service).count() > 1
    }

    /// Returns whether streams may begin at a build, as far as there are others.
    pub fn is_settled(&self, now: ClockTime, service: ServiceTag, build: BuildTag) -> bool {
        let record = self.sightings.get(&service).and_then(|builds| builds.get(&build));
        let first = record.and_then(|record| record.first);
        first.is_some_and(|first| now.since(first) >= self.settings.settling)
    }

    fn recent_builds(
        &self,
        now: ClockTime,
        service: ServiceTag,
    ) -> impl Iterator<Item = (BuildTag, BuildRecord)> {
        let builds = self.sightings.get(&service).into_iter().flatten();
        let recent = builds.map(|(build, record)| (*build, *record));
        let span = self.settings.span;
        recent.filter(move |(_, record)| now.since(record.by_any) < span)
    }

    /// Records that a stream began at this router at a build, or goes on there.
    pub fn record_begin(
        &mut self,
        now: ClockTime,
        service: ServiceTag,
        key: StreamKey,
        build: BuildTag,
    ) {
        self.insert(now, key, build);
        self.own.push_back(OwnStream { key, service, build, recorded: now, reports: 0 });
        if self.is_mixed(now, service) {
            self.has_news = true;
            self.has_unsaved = true;
        }
    }

    fn insert(&mut self, now: ClockTime, key: StreamKey, build: BuildTag) {
        let known = self.streams.get(&key).map_or(Some(build), |record| record.build);
        let build = known.filter(|known| *known == build);
        self.streams.insert(key, StreamRecord { build, recorded: now });
        self.order.push_back((now, key));
        while self.streams.len() > self.settings.capacity {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((recorded, key)) = self.order.pop_front() else { return };
        if self.streams.get(&key).is_some_and(|record| record.recorded == recorded) {
            self.streams.remove(&key);
        }
    }

    /// Returns the build that began a stream, as far as it is known. `key` is `None` if the caller doesn't name the stream.
    pub fn origin(
        &self,
        now: ClockTime,
        service: ServiceTag,
        key: Option<StreamKey>,
    ) -> StreamOrigin {
        let span = self.settings.span;
        let record = key.and_then(|key| self.streams.get(&key));
        if let Some(record) = record.filter(|record| now.since(record.recorded) < span) {
            return record.build.map_or(StreamOrigin::Unknown, StreamOrigin::Recorded);
        }
        let mut builds = self.recent_builds(now, service);
        match (builds.next(), builds.next()) {
            (Some((build, _)), None) => StreamOrigin::Only(build),
            _ => StreamOrigin::Unknown,
        }
    }

    /// Returns whether the peers should be told without waiting for the next regular note.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns what to tell the peers; each stream is told in `repeats` notes, as one may be lost.
    pub fn notes(&mut self, now: ClockTime, repeats: u32) -> OriginNotes {
        self.has_news = false;
        let mut notes = OriginNotes { sightings: self.mixed_sightings(now), streams: Vec::new() };
        if notes.sightings.is_empty() {
            return notes;
        }
        let mut own = std::mem::take(&mut self.own);
        let unreported = own
            .iter_mut()
            .rev()
            .filter(|stream| stream.reports < repeats && self.is_mixed(now, stream.service));
        for stream in unreported.take(self.settings.note_streams) {
            stream.reports += 1;
            notes.add_stream(stream.build, stream.key);
        }
        self.own = own;
        notes
    }

    /// Returns what to save in the store if that has changed since the last call.
    pub fn take_unsaved(&mut self, now: ClockTime) -> Option<OriginNotes> {
        if !std::mem::take(&mut self.has_unsaved) {
            return None;
        }
        let mut notes = OriginNotes { sightings: self.mixed_sightings(now), streams: Vec::new() };
        let mixed = self.own.iter().rev().filter(|stream| self.is_mixed(now, stream.service));
        for stream in mixed.take(self.settings.saved_streams) {
            notes.add_stream(stream.build, stream.key);
        }
        (!notes.is_empty()).then_some(notes)
    }

    /// Records that the last notes to save didn't reach the store.
    pub fn record_unsaved(&mut self) {
        self.has_unsaved = true;
    }

    fn mixed_sightings(&self, now: ClockTime) -> Vec<BuildSighting> {
        let mixed = self.sightings.keys().filter(|service| self.is_mixed(now, **service));
        let sighted = |service: ServiceTag| {
            self.recent_builds(now, service).filter_map(move |(build, record)| {
                let age = now.since(record.by_own?);
                let age_ms = u32::try_from(age.as_ms()).unwrap_or(u32::MAX);
                Some(BuildSighting { service, build, age_ms })
            })
        };
        mixed.flat_map(|service| sighted(*service)).collect()
    }

    /// Applies what another router tells, or an earlier run saved.
    pub fn receive(&mut self, now: ClockTime, notes: &OriginNotes) {
        for sighting in &notes.sightings {
            let seen = now - ClockSpan::from_ms(sighting.age_ms.into());
            let builds = self.sightings.entry(sighting.service).or_default();
            let known = builds.entry(sighting.build).or_default();
            known.by_any = seen.max(known.by_any);
        }
        for (build, keys) in &notes.streams {
            for key in keys {
                self.insert(now, *key, *build);
            }
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: ClockTime) {
        let span = self.settings.span;
        while self.order.front().is_some_and(|(recorded, _)| now.since(*recorded) >= span) {
            self.forget_oldest();
        }
        while self.own.front().is_some_and(|stream| now.since(stream.recorded) >= span) {
            self.own.pop_front();
        }
        for builds in self.sightings.values_mut() {
            builds.retain(|_, record| now.since(record.by_any) < span);
        }
        self.sightings.retain(|_, builds| !builds.is_empty());
    }
}
