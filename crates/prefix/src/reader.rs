//! What the reader of an engine's events knows about the engine's cache.
//!
//! An eviction names only the piece, and a stored piece only its parent; neither tells the partition, which
//! follows from the first piece of the chain. The reader therefore remembers the partition of each piece of the
//! engines that it reads. The same memory lets it repeat everything to a holder that lost something.

use std::collections::BTreeMap;

use godwitroad_base::Incarnation;

use crate::{
    feed::{CacheChange, EventFeed, FeedAction, FeedSettings},
    wire::{EntryOp, TargetEntries, TargetTag},
};

/// The number of partitions of a zone's index.
pub(crate) const PARTS: u16 = 1_024;

/// The number of pieces per engine that wait for their parent.
const MAX_ORPHANS: usize = 4_096;

/// Returns the partition of chains that begin with `first`.
pub(crate) fn part_of(first: u64) -> u16 {
    (first % u64::from(PARTS)) as u16
}

/// A change with the partition to which it belongs; `None` concerns all partitions.
pub(crate) type PlacedOp = (u16, EntryOp);

#[derive(Clone, Debug)]
pub(crate) struct EngineReader {
    pub(crate) feed: EventFeed,
    pub(crate) tag: TargetTag,
    pub(crate) incarnation: Incarnation,
    pieces: BTreeMap<u64, u16>,
    orphans: BTreeMap<u64, Vec<u64>>,
    orphan_count: usize,
    /// Changes not forwarded yet; the last one for a piece wins.
    pending: BTreeMap<u64, PlacedOp>,
    pending_gap: bool,
    pending_replace: bool,
}

impl EngineReader {
    pub(crate) fn new(tag: TargetTag, settings: FeedSettings) -> EngineReader {
        EngineReader {
            feed: EventFeed::new(settings),
            tag,
            incarnation: Incarnation::default(),
            pieces: BTreeMap::new(),
            orphans: BTreeMap::new(),
            orphan_count: 0,
            pending: BTreeMap::new(),
            pending_gap: false,
            pending_replace: false,
        }
    }

    /// Takes what the feed asks for and returns whether a snapshot must be read.
    pub(crate) fn take(&mut self, action: &FeedAction) -> bool {
        match action {
            FeedAction::Restarted(incarnation) => {
                self.clear();
                self.incarnation = *incarnation;
            }
            FeedAction::Replace | FeedAction::Change(CacheChange::Cleared) => self.clear(),
            FeedAction::Gap => self.pending_gap = true,
            FeedAction::Change(CacheChange::Stored { block: piece, parent }) => {
                self.store(piece.short_hash(), parent.map(|parent| parent.short_hash()));
            }
            FeedAction::Change(CacheChange::Evicted { block: piece }) => {
                let piece = piece.short_hash();
                if let Some(part) = self.pieces.remove(&piece) {
                    self.pending.insert(piece, (part, EntryOp::Evicted(piece)));
                }
            }
            FeedAction::RequestSnapshot => return true,
        }
        false
    }

    /// Takes the changes that wait, as one entry list for each holder that `holders` names for a partition.
    pub(crate) fn take_pending(&mut self) -> Option<(bool, bool, Vec<PlacedOp>)> {
        if self.pending.is_empty() && !self.pending_gap && !self.pending_replace {
            return None;
        }
        let ops = std::mem::take(&mut self.pending).into_values().collect();
        let gap = std::mem::take(&mut self.pending_gap);
        Some((gap, std::mem::take(&mut self.pending_replace), ops))
    }

    /// Returns everything known of the engine in the partitions that `wanted` selects.
    pub(crate) fn snapshot(&self, wanted: impl Fn(u16) -> bool, replace: bool) -> TargetEntries {
        let ops = self
            .pieces
            .iter()
            .filter(|&(_, &part)| wanted(part))
            .map(|(&piece, _)| EntryOp::Stored(piece))
            .collect();
        let (tag, incarnation) = (self.tag, self.incarnation);
        TargetEntries { tag, incarnation, gap: false, replace, ops }
    }

    pub(crate) fn entries(&self, gap: bool, replace: bool, ops: Vec<EntryOp>) -> TargetEntries {
        TargetEntries { tag: self.tag, incarnation: self.incarnation, gap, replace, ops }
    }

    fn clear(&mut self) {
        self.pieces.clear();
        self.orphans.clear();
        self.orphan_count = 0;
        self.pending.clear();
        self.pending_gap = false;
        self.pending_replace = true;
    }

    fn store(&mut self, piece: u64, parent: Option<u64>) {
        let part = match parent {
            None => part_of(piece),
            Some(parent) => match self.pieces.get(&parent) {
                Some(&part) => part,
                None => {
                    // A snapshot may list a piece before its parent, and after a gap the parent may be unknown.
                    if self.orphan_count < MAX_ORPHANS {
                        self.orphans.entry(parent).or_default().push(piece);
                        self.orphan_count += 1;
                    }
                    return;
                }
            },
        };
        let mut placed = vec![piece];
        while let Some(piece) = placed.pop() {
            self.pieces.insert(piece, part);
            self.pending.insert(piece, (part, EntryOp::Stored(piece)));
            if let Some(children) = self.orphans.remove(&piece) {
                self.orphan_count -= children.len();
                placed.extend(children);
            }
        }
    }
}
