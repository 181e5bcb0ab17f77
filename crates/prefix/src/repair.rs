//! Recovery from lost messages, and the handoff of entries by a router that stops.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, VmName};

use crate::{
    matches::TargetId,
    message::{ShardAction, ShardMessage},
    shard::IndexShard,
    wire::{EntryBatch, EntryOp, TargetEntries, TargetTag},
};

impl IndexShard {
    /// Repeats unanswered requests for snapshots, and sends an empty batch to each peer without a recent message.
    pub(crate) fn repair(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let retry = self.settings.feed.snapshot_retry;
        let mut idle = Vec::new();
        for (vm, peer) in &mut self.peers {
            if peer.requested_at.is_some_and(|requested_at| now.since(requested_at) >= retry) {
                peer.requested_at = Some(now);
                let message = ShardMessage::RequestSnapshot;
                actions.push(ShardAction::Send { to: vm.clone(), message });
            }
            if peer.next_sequence > 0 && now.since(peer.last_sent) >= retry {
                idle.push(vm.clone());
            }
        }
        for vm in idle {
            // The receiver detects the loss of a message only by the sequence number of a later one.
            self.send_batch(now, &vm, EntryBatch::default(), actions);
        }
    }

    /// Sends the entries of this router to all other members, which hold its partitions after it stops.
    pub(crate) fn hand_off(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        self.forward(now, actions);
        let remaining: Vec<VmName> =
            self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        if remaining.is_empty() {
            actions.push(ShardAction::HandoffComplete);
            return;
        }
        let mut lists: BTreeMap<TargetId, Vec<EntryOp>> = BTreeMap::new();
        self.index.for_each_live(now, |target, block, provisional| {
            let op = if provisional { EntryOp::Provisional(block) } else { EntryOp::Stored(block) };
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
        for to in remaining {
            let message = ShardMessage::Handoff { batch: batch.clone() };
            self.counters.snapshot_bytes += message.bytes() as u64;
            actions.push(ShardAction::Send { to, message });
        }
        actions.push(ShardAction::HandoffComplete);
    }
}
