//! Repair of lost messages and the hand-over of a router that stops.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, VmName};

use crate::{
    matches::TargetId,
    message::{ShardAction, ShardMessage},
    part::IndexShard,
    wire::{EntryBatch, EntryOp, TargetEntries, TargetTag},
};

impl IndexShard {
    /// Repeats unanswered requests for snapshots, and shows each receiver the number of the last message.
    pub(crate) fn repair(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let retry = self.settings.feed.snapshot_retry;
        let mut quiet = Vec::new();
        for (vm, peer) in &mut self.peers {
            if peer.asked.is_some_and(|asked| now.since(asked) >= retry) {
                peer.asked = Some(now);
                let message = ShardMessage::RequestSnapshot;
                actions.push(ShardAction::Send { to: vm.clone(), message });
            }
            if peer.sent > 0 && now.since(peer.sent_at) >= retry {
                quiet.push(vm.clone());
            }
        }
        for vm in quiet {
            // Without a later message, the loss of the last one would never be seen.
            self.send_batch(now, &vm, EntryBatch::default(), actions);
        }
    }

    /// Sends this router's entries to the routers that hold the partitions without it.
    pub(crate) fn hand_over(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        self.forward(now, actions);
        let rest: Vec<VmName> = self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        if rest.is_empty() {
            actions.push(ShardAction::HandoffComplete);
            return;
        }
        let mut lists: BTreeMap<TargetId, Vec<EntryOp>> = BTreeMap::new();
        self.index.for_each_live(now, |target, piece, provisional| {
            let op = if provisional { EntryOp::Noted(piece) } else { EntryOp::Stored(piece) };
            lists.entry(target).or_default().push(op);
        });
        let targets: Vec<TargetEntries> = lists
            .into_iter()
            .filter_map(|(target, ops)| {
                let tag = TargetTag::of(self.index.target_name(target)?.as_str());
                let incarnation = self.index.incarnation(target)?;
                Some(TargetEntries { tag, incarnation, gap: false, replace: false, ops })
            })
            .collect();
        let batch = EntryBatch { targets }.encode();
        for to in rest {
            let message = ShardMessage::Handoff { batch: batch.clone() };
            self.counters.snapshot_bytes += message.bytes() as u64;
            actions.push(ShardAction::Send { to, message });
        }
        actions.push(ShardAction::HandoffComplete);
    }
}
