//! The small types around the index: positions, settings, counters and the result of a lookup.

use godwitroad_base::ClockSpan;

/// The position of a target in an index; valid in that index only.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(pub u16);

impl TargetId {
    /// Returns the position for indexing vectors.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The settings of an index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IndexSettings {
    /// The number of entries held at most; 22.7 bytes each are set aside.
    pub max_entries: usize,
    /// The time for which a dispatch counts as cached without an event that says so.
    pub provisional_span: ClockSpan,
}

impl Default for IndexSettings {
    fn default() -> IndexSettings {
        IndexSettings { max_entries: 1 << 18, provisional_span: ClockSpan::from_secs(3) }
    }
}

/// What an index has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IndexCounters {
    /// Blocks stored, including repeated ones.
    pub stored: u64,
    /// Entries removed because the engine evicted the block.
    pub evicted: u64,
    /// Entries removed to stay within the memory bound.
    pub displaced: u64,
    /// Epochs begun by a gap.
    pub gaps: u64,
    /// Epochs begun by a snapshot.
    pub snapshots: u64,
    /// Epochs begun by a restart of a target.
    pub restarts: u64,
}

/// The longest usable prefix at each target.
#[derive(Clone, Debug, Default)]
pub struct PrefixMatches {
    pub(crate) usable: Vec<u16>,
    pub(crate) confirmed: Vec<u16>,
}

impl PrefixMatches {
    /// Returns the number of leading blocks that `target` holds as far as is known.
    pub fn usable(&self, target: TargetId) -> usize {
        self.usable.get(target.index()).copied().map_or(0, usize::from)
    }

    /// Returns the number of leading blocks that events confirm at `target`.
    pub fn confirmed(&self, target: TargetId) -> usize {
        self.confirmed.get(target.index()).copied().map_or(0, usize::from)
    }

    /// Empties the matches and makes room for `targets` targets.
    pub fn reset(&mut self, targets: usize) {
        self.usable.clear();
        self.usable.resize(targets, 0);
        self.confirmed.clear();
        self.confirmed.resize(targets, 0);
    }

    /// Sets the match of a target, as a lookup at another router reported it.
    pub fn set(&mut self, target: TargetId, usable: usize, confirmed: usize) {
        let clamp = |blocks: usize| blocks.min(usize::from(u16::MAX)) as u16;
        if let Some(position) = self.usable.get_mut(target.index()) {
            *position = clamp(usable);
            self.confirmed[target.index()] = clamp(confirmed);
        }
    }

    /// Raises the match of a target to at least `usable` blocks.
    pub fn raise_usable(&mut self, target: TargetId, usable: usize) {
        if usable > self.usable(target) {
            self.set(target, usable, self.confirmed(target));
        }
    }
}
