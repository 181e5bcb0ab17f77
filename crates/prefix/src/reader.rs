//! What the reader of an engine's events knows about the engine's cache.
//!
//! An eviction names only the block, and a stored block only its parent; neither tells the partition, which
//! follows from the first block of the chain. The reader therefore remembers the partition of each block of the
//! engines that it reads. The same memory lets it repeat everything to a holder that lost something.

use std::collections::BTreeMap;

use godwitroad_base::Incarnation;

use crate::{
    feed::{CacheChange, EventFeed, FeedAction, FeedSettings},
    wire::{EntryOp, TargetEntries, TargetTag},
};

/// The number of partitions of a zone's index.
pub(crate) const PARTITIONS: u16 = 1_024;

/// The number of blocks per engine that wait for their parent.
const MAX_ORPHANS: usize = 4_096;

/// Returns the partition of chains that begin with `first`.
pub(crate) fn partition_of(first: u64) -> u16 {
    (first % u64::from(PARTITIONS)) as u16
}

/// A change with the partition to which it belongs; `None` concerns all partitions.
pub(crate) type PartitionedOp = (u16, EntryOp);

#[derive(Clone, Debug)]
pub(crate) struct EngineReader {
    pub(crate) feed: EventFeed,
    pub(crate) tag: TargetTag,
    pub(crate) incarnation: Incarnation,
    blocks: BTreeMap<u64, u16>,
    orphans: BTreeMap<u64, Vec<u64>>,
    orphan_count: usize,
    /// Changes not forwarded yet; the last one for a block wins.
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

    /// Takes what the feed asks for and returns whether a snapshot must be read.
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

    /// Takes the changes that wait, as one entry list for each holder that `holders` names for a partition.
    pub(crate) fn take_pending(&mut self) -> Option<(bool, bool, Vec<PartitionedOp>)> {
        if self.pending.is_empty() && !self.pending_gap && !self.pending_replace {
            return None;
        }
        let ops = std::mem::take(&mut self.pending).into_values().collect();
        let gap = std::mem::take(&mut self.pending_gap);
        Some((gap, std::mem::take(&mut self.pending_replace), ops))
    }

    /// Returns everything known of the engine in the partitions that `wanted` selects.
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
                    // A snapshot may list a block before its parent, and after a gap the parent may be unknown.
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
