//! What routers tell each other of builds and streams, and save in the store.

use serde::{Deserialize, Serialize};

use crate::key::{BuildTag, ServiceTag, StreamKey};

/// What is known of the build that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamOrigin {
    /// The stream is recorded to have begun at this build.
    Recorded(BuildTag),
    /// The stream isn't recorded, and no other build has served since it can have begun.
    Only(BuildTag),
    /// Several builds, or none, may have begun it.
    Unknown,
}

/// When a build was last seen to serve a service where builds mix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BuildSighting {
    /// The service.
    pub service: ServiceTag,
    /// The build.
    pub build: BuildTag,
    /// The time since then, in milliseconds.
    pub age_ms: u32,
}

/// What a router tells of the services where builds mix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginNotes {
    /// The builds of these services.
    #[serde(default)]
    pub sightings: Vec<BuildSighting>,
    /// The streams that began at the router, by build.
    #[serde(default)]
    pub streams: Vec<(BuildTag, Vec<StreamKey>)>,
}

impl OriginNotes {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty() && self.streams.is_empty()
    }

    /// Removes one stream, or else one sighting; returns whether there was one to remove.
    pub fn drop_least_important(&mut self) -> bool {
        self.streams.retain(|(_, keys)| !keys.is_empty());
        let dropped = self.streams.last_mut().and_then(|(_, keys)| keys.pop());
        dropped.is_some() || self.sightings.pop().is_some()
    }

    // Adds a stream to those of its build.
    pub(crate) fn add_stream(&mut self, build: BuildTag, key: StreamKey) {
        match self.streams.iter_mut().find(|(other, _)| *other == build) {
            Some((_, keys)) => keys.push(key),
            None => self.streams.push((build, vec![key])),
        }
    }
}
