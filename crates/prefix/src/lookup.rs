//! Lookups in the local index shard and at other routers.
//!
//! A lookup is forwarded at most once and is always answered within a bounded time. A router that has failed can't
//! answer, and the request can't wait until the failure is detected.

use godwitroad_base::ClockTime;

use crate::{
    chain::PrefixChain,
    matches::PrefixMatches,
    message::{LookupSource, ShardAction, ShardMessage, TargetMatch},
    reader::partition_of,
    shard::{IndexShard, PendingLookup},
};

impl IndexShard {
    pub(crate) fn begin_lookup(
        &mut self,
        now: ClockTime,
        token: u64,
        chain: PrefixChain,
        actions: &mut Vec<ShardAction>,
    ) {
        let holders = chain.first().and_then(|first| {
            let partition = partition_of(first.short_hash());
            self.holders.get(usize::from(partition)).cloned()
        });
        let mut holders = holders.unwrap_or_default();
        holders.retain(|&position| position < self.local_members.len());
        let is_local =
            holders.is_empty() || holders.iter().any(|&position| self.members[position] == self.vm);
        if is_local {
            self.counters.local += 1;
            return self.answer_locally(now, token, &chain, LookupSource::Local, actions);
        }
        let is_responsive = |position: &&usize| {
            self.suspects.get(&self.members[**position]).is_none_or(|&until| now >= until)
        };
        let Some(&position) = holders.iter().find(is_responsive) else {
            self.counters.fallback += 1;
            return self.answer_locally(now, token, &chain, LookupSource::Fallback, actions);
        };
        let holder = self.members[position].clone();
        let blocks = chain.hashes().iter().map(|block| block.short_hash()).collect();
        let message = ShardMessage::Lookup { token, blocks };
        self.counters.lookup_bytes += message.bytes() as u64;
        actions.push(ShardAction::Send { to: holder.clone(), message });
        let deadline = now + self.settings.lookup_wait;
        self.pending_lookups.insert(token, PendingLookup { chain, holder, deadline });
    }

    pub(crate) fn answer_locally(
        &self,
        now: ClockTime,
        token: u64,
        chain: &PrefixChain,
        source: LookupSource,
        actions: &mut Vec<ShardAction>,
    ) {
        let mut matches = PrefixMatches::default();
        self.index.lookup(now, chain, &mut matches);
        actions.push(ShardAction::Found { token, matches, source });
    }

    pub(crate) fn matches(&self, now: ClockTime, blocks: &[u64]) -> Vec<TargetMatch> {
        let mut matches = PrefixMatches::default();
        self.index.lookup_hashes(now, blocks.iter().copied(), &mut matches);
        self.tags
            .iter()
            .filter(|&(_, &id)| matches.usable(id) > 0)
            .map(|(&tag, &id)| TargetMatch {
                tag,
                usable: matches.usable(id) as u16,
                confirmed: matches.confirmed(id) as u16,
            })
            .collect()
    }

    pub(crate) fn receive_reply(
        &mut self,
        token: u64,
        list: &[TargetMatch],
        actions: &mut Vec<ShardAction>,
    ) {
        // A reply after the timeout is dropped, because the request was already placed without it.
        let Some(lookup) = self.pending_lookups.remove(&token) else { return };
        self.suspects.remove(&lookup.holder);
        self.counters.remote += 1;
        let mut matches = PrefixMatches::default();
        matches.reset(self.index.target_slots());
        for item in list {
            if let Some(&id) = self.tags.get(&item.tag) {
                matches.set(id, item.usable.into(), item.confirmed.into());
            }
        }
        actions.push(ShardAction::Found { token, matches, source: LookupSource::Remote });
    }
}
