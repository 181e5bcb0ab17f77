//! The state that a router keeps for each engine whose cache events it reads.
//!
//! An event names a block and at most its parent. The partition depends on the first block of the chain, so the
//! reader records the partition of each cached block of the engine. From the same record it sends a snapshot to a
//! holder that lost entries.

use std::collections::BTreeMap;

use godwitroad_base::Incarnation;

use crate::{
    feed::{CacheChange, EventFeed, FeedAction, FeedSettings},
    wire::{EntryOp, TargetEntries, TargetTag},
};

/// The number of partitions of the index of an availability zone.
pub(crate) const PARTITIONS: u16 = 1_024;

/// The maximum number of blocks per engine that are buffered until their parent is known.
const MAX_ORPHANS: usize = 4_096;

/// Returns the partition of chains whose first block has the short hash `first`.
pub(crate) fn partition_of(first: u64) -> u16 {
    (first % u64::from(PARTITIONS)) as u16
}

/// A change of an entry and the partition to which it belongs.
pub(crate) type PartitionedOp = (u16, EntryOp);

#[derive(Clone, Debug)]
pub(crate) struct EngineReader {
    pub(crate) feed: EventFeed,
    pub(crate) tag: TargetTag,
    pub(crate) incarnation: Incarnation,
    blocks: BTreeMap<u64, u16>,
    orphans: BTreeMap<u64, Vec<u64>>,
    orphan_count: usize,
    /// Changes that have not been forwarded yet; the last one of each block replaces earlier ones.
    pending: BTreeMap<u64, PartitionedOp>,
    pending_gap: bool,
    pending_replace: bool,
}

impl EngineReader {
    pub(crate) fn new(tag: TargetTag, settings: FeedSettings) -> EngineReader {
        EngineReader {
            feed: EventFeed::new(settings),
            tag,
            incarnation: Incarnation::default(),
            blocks: BTreeMap::new(),
            orphans: BTreeMap::new(),
            orphan_count: 0,
            pending: BTreeMap::new(),
            pending_gap: false,
            pending_replace: false,
        }
    }

    /// Applies an action of the feed and returns whether a snapshot must be read from the engine.
    pub(crate) fn apply(&mut self, action: &FeedAction) -> bool {
        match action {
            FeedAction::Restarted(incarnation) => {
                self.clear();
                self.incarnation = *incarnation;
            }
            FeedAction::Replace | FeedAction::Change(CacheChange::Cleared) => self.clear(),
            FeedAction::Gap => self.pending_gap = true,
            FeedAction::Change(CacheChange::Stored { block, parent }) => {
                self.store(block.short_hash(), parent.map(|parent| parent.short_hash()));
            }
            FeedAction::Change(CacheChange::Evicted { block }) => {
                let block = block.short_hash();
                if let Some(partition) = self.blocks.remove(&block) {
                    self.pending.insert(block, (partition, EntryOp::Evicted(block)));
                }
            }
            FeedAction::RequestSnapshot => return true,
        }
        false
    }

    /// Removes and returns the changes that have not been forwarded yet, or `None` if there are none.
    ///
    /// The first value tells whether there was a gap, the second whether earlier entries must be replaced.
    pub(crate) fn take_pending(&mut self) -> Option<(bool, bool, Vec<PartitionedOp>)> {
        if self.pending.is_empty() && !self.pending_gap && !self.pending_replace {
            return None;
        }
        let ops = std::mem::take(&mut self.pending).into_values().collect();
        let gap = std::mem::take(&mut self.pending_gap);
        Some((gap, std::mem::take(&mut self.pending_replace), ops))
    }

    /// Returns all cached blocks of the engine in the partitions that `selected` accepts.
    pub(crate) fn snapshot(&self, selected: impl Fn(u16) -> bool, replace: bool) -> TargetEntries {
        let ops = self
            .blocks
            .iter()
            .filter(|&(_, &partition)| selected(partition))
            .map(|(&block, _)| EntryOp::Stored(block))
            .collect();
        let (tag, incarnation) = (self.tag, self.incarnation);
        TargetEntries { tag, incarnation, gap: false, replace, ops }
    }

    pub(crate) fn entries(&self, gap: bool, replace: bool, ops: Vec<EntryOp>) -> TargetEntries {
        TargetEntries { tag: self.tag, incarnation: self.incarnation, gap, replace, ops }
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.orphans.clear();
        self.orphan_count = 0;
        self.pending.clear();
        self.pending_gap = false;
        self.pending_replace = true;
    }

    fn store(&mut self, block: u64, parent: Option<u64>) {
        let partition = match parent {
            None => partition_of(block),
            Some(parent) => match self.blocks.get(&parent) {
                Some(&partition) => partition,
                None => {
                    // A snapshot may list a block before its parent, and the event of the parent may be lost in a gap.
                    if self.orphan_count < MAX_ORPHANS {
                        self.orphans.entry(parent).or_default().push(block);
                        self.orphan_count += 1;
                    }
                    return;
                }
            },
        };
        let mut placed = vec![block];
        while let Some(block) = placed.pop() {
            self.blocks.insert(block, partition);
            self.pending.insert(block, (partition, EntryOp::Stored(block)));
            if let Some(children) = self.orphans.remove(&block) {
                self.orphan_count -= children.len();
                placed.extend(children);
            }
        }
    }
}
