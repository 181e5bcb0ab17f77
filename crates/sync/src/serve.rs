//! What a node asks of its peers and what it gives them.

use godwitroad_base::{ClockTime, VmName};

use crate::{
    fetch::{FetchNeed, FetchSource},
    head::ChunkDigest,
    machine::{ConfigSync, SyncAction},
    message::SyncMessage,
    progress::ZoneProgress,
};

impl ConfigSync {
    pub(crate) fn take_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: SyncMessage,
        actions: &mut Vec<SyncAction>,
    ) {
        let reply = match message {
            SyncMessage::Announce(status) => {
                self.hear(now, &from, status);
                None
            }
            SyncMessage::Query { nonce } => {
                Some(SyncMessage::Answer { nonce, status: self.status(now) })
            }
            SyncMessage::Answer { nonce, status } => {
                if nonce == self.nonce {
                    self.answer(&from, &status);
                }
                self.hear(now, &from, status);
                None
            }
            SyncMessage::ProgressQuery { nonce } => {
                Some(SyncMessage::Progress { nonce, progress: self.own_progress(now) })
            }
            SyncMessage::Progress { nonce, progress } => {
                if let Some(zone) = self.zone_of(&from).cloned()
                    && nonce == self.progress_answers.nonce
                {
                    self.progress_answers.take(now, &zone, progress);
                }
                None
            }
            SyncMessage::HeadRequest => {
                self.force.as_ref().map(|held| SyncMessage::Head(held.head.clone()))
            }
            SyncMessage::Head(head) => {
                self.release(&from);
                self.take_head(now, head);
                None
            }
            SyncMessage::ChunkRequest(digests) => {
                self.serve_chunks(&from, &digests, actions);
                None
            }
            SyncMessage::Chunk(chunk) => {
                self.take_chunk(&from, chunk);
                None
            }
            SyncMessage::ChunksMissing(_) => {
                self.forsake(&from);
                None
            }
        };
        if let Some(message) = reply {
            let is_supply = matches!(message, SyncMessage::Head(_));
            self.counters.served += u64::from(is_supply);
            actions.push(SyncAction::Send { to: from, message });
        }
    }

    fn serve_chunks(
        &mut self,
        from: &VmName,
        digests: &[ChunkDigest],
        actions: &mut Vec<SyncAction>,
    ) {
        let mut missing = Vec::new();
        for digest in digests {
            match self.force.as_ref().and_then(|held| held.chunks.get(digest)) {
                Some(chunk) => {
                    self.counters.served += 1;
                    let message = SyncMessage::Chunk(chunk.clone());
                    actions.push(SyncAction::Send { to: from.clone(), message });
                }
                None => missing.push(*digest),
            }
        }
        if !missing.is_empty() {
            let message = SyncMessage::ChunksMissing(missing);
            actions.push(SyncAction::Send { to: from.clone(), message });
        }
    }

    fn take_chunk(&mut self, from: &VmName, chunk: std::sync::Arc<[u8]>) {
        let is_neighbour = self.is_neighbour(from);
        let taken = self.fetch.as_mut().is_some_and(|fetch| fetch.take_chunk(chunk));
        if !taken {
            self.counters.chunks_unwanted += 1;
            return;
        }
        if is_neighbour {
            self.counters.chunks_from_zone += 1;
        } else {
            self.counters.chunks_from_outside += 1;
        }
        let Some(fetch) = &mut self.fetch else { return };
        fetch.is_first_hand |= !is_neighbour;
        if let FetchSource::Peer { peer, left, .. } = &mut fetch.source
            && peer == from
        {
            *left -= 1;
            if *left == 0 {
                fetch.source = FetchSource::Idle;
            }
        }
    }

    fn release(&mut self, from: &VmName) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { peer, .. } if peer == from) {
            fetch.source = FetchSource::Idle;
        }
    }

    fn forsake(&mut self, from: &VmName) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { peer, .. } if peer == from) {
            fetch.forsake();
            // The peer has moved on to a later generation: its head lists the chunks that it holds.
            fetch.head = None;
        }
    }

    pub(crate) fn time_out_peer(&mut self, now: ClockTime) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { until, .. } if *until <= now) {
            fetch.forsake();
            self.counters.peer_timeouts += 1;
        }
    }

    /// Asks a peer of the zone, else the store, else a peer outside the zone; then the round begins again.
    pub(crate) fn ask_source(
        &mut self,
        now: ClockTime,
        need: FetchNeed,
        actions: &mut Vec<SyncAction>,
    ) {
        let Some(fetch) = &self.fetch else { return };
        let store_failed = fetch.store_failed;
        let (near, far) = self.suppliers();
        let near = self
            .random
            .below(near.len() as u64 + 1)
            .checked_sub(1)
            .map_or_else(|| near.first().cloned(), |index| near.get(index as usize).cloned());
        let peer = match near {
            Some(near) => Some(near),
            None if store_failed => far.into_iter().next(),
            None => None,
        };
        let source = match peer {
            Some(peer) => {
                let (left, message) = match need {
                    FetchNeed::Chunks(digests) => {
                        (digests.len(), SyncMessage::ChunkRequest(digests))
                    }
                    _ => (1, SyncMessage::HeadRequest),
                };
                actions.push(SyncAction::Send { to: peer.clone(), message });
                FetchSource::Peer { peer, until: now + self.settings.peer_timeout, left }
            }
            None if store_failed => {
                // Every source failed: the round begins again after a pause.
                let pause = self.settings.peer_timeout;
                if let Some(fetch) = &mut self.fetch {
                    fetch.tried.clear();
                    fetch.store_failed = false;
                    fetch.not_before = now + pause;
                }
                FetchSource::Idle
            }
            None => self.order_from_store(need, actions),
        };
        if let Some(fetch) = &mut self.fetch {
            fetch.source = source;
        }
    }

    // The peers that have the wanted generation and weren't asked in vain: those of the own zone, and the others.
    fn suppliers(&self) -> (Vec<VmName>, Vec<VmName>) {
        let Some(fetch) = &self.fetch else { return Default::default() };
        let able = self
            .peers
            .iter()
            .filter(|(peer, view)| {
                view.status.generation >= fetch.generation && !fetch.tried.contains(*peer)
            })
            .map(|(peer, _)| peer.clone());
        able.partition(|peer| self.is_neighbour(peer))
    }

    /// Asks the members of the own zone once at the start, so that what they hold isn't fetched from the store.
    pub(crate) fn greet_neighbours(&mut self, actions: &mut Vec<SyncAction>) {
        let Some(members) = self.zones.get(&self.settings.zone) else { return };
        if std::mem::replace(&mut self.has_greeted, true) {
            return;
        }
        let nonce = self.nonce;
        for to in members.iter().filter(|member| **member != self.settings.vm).cloned() {
            actions.push(SyncAction::Send { to, message: SyncMessage::Query { nonce } });
        }
    }

    pub(crate) fn ask_random_peers(&mut self, actions: &mut Vec<SyncAction>) {
        let (near, far): (Vec<&VmName>, Vec<&VmName>) = self
            .zones
            .values()
            .flatten()
            .filter(|peer| **peer != self.settings.vm)
            .partition(|peer| self.is_neighbour(peer));
        // Only watchers look beyond the zone: the others would cost the links and learn nothing more.
        let far = if self.is_watcher() { far } else { Vec::new() };
        let mut chosen = Vec::new();
        for peers in [near, far] {
            if let Some(peer) = peers.get(self.random.below(peers.len() as u64) as usize) {
                chosen.push((*peer).clone());
            }
        }
        let nonce = self.nonce;
        actions.extend(
            chosen
                .into_iter()
                .map(|to| SyncAction::Send { to, message: SyncMessage::Query { nonce } }),
        );
    }

    pub(crate) fn ask_progress(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let nonce = self.random.next_u64();
        self.progress_answers.ask(nonce);
        let own = self.own_progress(now);
        let zone = self.settings.zone.clone();
        self.progress_answers.take(now, &zone, own);
        for zone in self.zones.keys().filter(|zone| **zone != self.settings.zone) {
            for to in self.watchers_of(zone) {
                actions
                    .push(SyncAction::Send { to, message: SyncMessage::ProgressQuery { nonce } });
            }
        }
    }

    /// Returns the progress of the own zone from the members' newest statuses.
    pub(crate) fn own_progress(&self, now: ClockTime) -> ZoneProgress {
        let members = self.zones.get(&self.settings.zone).map_or(&[][..], Vec::as_slice);
        let mut progress = ZoneProgress { members: members.len() as u32, ..Default::default() };
        for member in members {
            if *member == self.settings.vm {
                progress.add(self.generation());
            } else if let Some(view) = self.peers.get(member)
                && now.since(view.heard) <= self.settings.status_age
            {
                progress.add(view.status.generation);
            }
        }
        progress
    }
}
