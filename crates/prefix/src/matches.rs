//! Positions of targets, settings and counters of the index, and the result of a lookup.

use godwitroad_base::ClockSpan;

/// The position of a target in an index, valid in that index only.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub u16);

impl TargetId {
    /// Returns the position as an index into vectors.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The settings of a prefix index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IndexSettings {
    /// The maximum number of entries; 22.7 bytes are allocated for each of them in advance.
    pub max_entries: usize,
    /// The time for which the blocks of a dispatched prompt count as cached without an event that confirms them.
    pub provisional_span: ClockSpan,
}

impl Default for IndexSettings {
    fn default() -> IndexSettings {
        IndexSettings { max_entries: 1 << 18, provisional_span: ClockSpan::from_secs(3) }
    }
}

/// The counters of an index since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IndexCounters {
    /// Blocks recorded as stored, including those recorded before.
    pub stored: u64,
    /// Entries removed because the target evicted the block.
    pub evicted: u64,
    /// Entries removed because the table was full.
    pub displaced: u64,
    /// Epochs begun because of a gap in the events.
    pub gaps: u64,
    /// Epochs begun because of a snapshot or an emptied cache.
    pub snapshots: u64,
    /// Epochs begun because of a restart of a target.
    pub restarts: u64,
}

/// The longest cached prefix of a prompt at each target.
#[derive(Clone, Debug, Default)]
pub struct PrefixMatches {
    pub(crate) usable: Vec<u16>,
    pub(crate) confirmed: Vec<u16>,
}

impl PrefixMatches {
    /// Returns the number of leading blocks that `target` has cached, counting unconfirmed and provisional entries.
    pub fn usable(&self, target: TargetId) -> usize {
        self.usable.get(target.index()).copied().map_or(0, usize::from)
    }

    /// Returns the number of leading blocks that events have confirmed at `target`.
    pub fn confirmed(&self, target: TargetId) -> usize {
        self.confirmed.get(target.index()).copied().map_or(0, usize::from)
    }

    /// Clears the matches and sets them to zero for `targets` targets.
    pub fn reset(&mut self, targets: usize) {
        self.usable.clear();
        self.usable.resize(targets, 0);
        self.confirmed.clear();
        self.confirmed.resize(targets, 0);
    }

    /// Sets the match of a target to what another router reported.
    pub fn set(&mut self, target: TargetId, usable: usize, confirmed: usize) {
        let clamp = |blocks: usize| blocks.min(usize::from(u16::MAX)) as u16;
        if let Some(position) = self.usable.get_mut(target.index()) {
            *position = clamp(usable);
            self.confirmed[target.index()] = clamp(confirmed);
        }
    }

    /// Raises the usable blocks of a target to at least `usable`.
    pub fn raise_usable(&mut self, target: TargetId, usable: usize) {
        if usable > self.usable(target) {
            self.set(target, usable, self.confirmed(target));
        }
    }
}
