//! Requests to peers, and responses to their requests.

use godwitroad_base::{ClockTime, VmName};

use crate::{
    fetch::{FetchSource, MissingData},
    head::ChunkDigest,
    machine::{ConfigSync, SyncAction},
    message::SyncMessage,
    progress::ZoneProgress,
};

impl ConfigSync {
    pub(crate) fn handle_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: SyncMessage,
        actions: &mut Vec<SyncAction>,
    ) {
        let reply = match message {
            SyncMessage::Announce(status) => {
                self.receive_status(now, &from, status);
                None
            }
            SyncMessage::StatusRequest { nonce } => {
                Some(SyncMessage::StatusResponse { nonce, status: self.status(now) })
            }
            SyncMessage::StatusResponse { nonce, status } => {
                if nonce == self.nonce {
                    self.record_status_response(&from, &status);
                }
                self.receive_status(now, &from, status);
                None
            }
            SyncMessage::ProgressRequest { nonce } => {
                Some(SyncMessage::ProgressResponse { nonce, progress: self.own_progress(now) })
            }
            SyncMessage::ProgressResponse { nonce, progress } => {
                if let Some(zone) = self.zone_of(&from).cloned()
                    && nonce == self.progress_responses.nonce
                {
                    self.progress_responses.record(now, &zone, progress);
                }
                None
            }
            SyncMessage::HeadRequest => {
                self.in_force.as_ref().map(|copy| SyncMessage::Head(copy.head.clone()))
            }
            SyncMessage::Head(head) => {
                self.finish_head_request(&from);
                self.receive_head(now, head);
                None
            }
            SyncMessage::ChunkRequest(digests) => {
                self.serve_chunks(&from, &digests, actions);
                None
            }
            SyncMessage::Chunk(chunk) => {
                self.receive_chunk(&from, chunk);
                None
            }
            SyncMessage::ChunksMissing(_) => {
                self.abandon_peer(&from);
                None
            }
        };
        if let Some(message) = reply {
            let has_data = matches!(message, SyncMessage::Head(_));
            self.counters.served += u64::from(has_data);
            actions.push(SyncAction::Send { to: from, message });
        }
    }

    fn serve_chunks(
        &mut self,
        from: &VmName,
        digests: &[ChunkDigest],
        actions: &mut Vec<SyncAction>,
    ) {
        let mut missing_digests = Vec::new();
        for digest in digests {
            match self.in_force.as_ref().and_then(|copy| copy.chunks.get(digest)) {
                Some(chunk) => {
                    self.counters.served += 1;
                    let message = SyncMessage::Chunk(chunk.clone());
                    actions.push(SyncAction::Send { to: from.clone(), message });
                }
                None => missing_digests.push(*digest),
            }
        }
        if !missing_digests.is_empty() {
            let message = SyncMessage::ChunksMissing(missing_digests);
            actions.push(SyncAction::Send { to: from.clone(), message });
        }
    }

    fn receive_chunk(&mut self, from: &VmName, chunk: std::sync::Arc<[u8]>) {
        let is_in_own_zone = self.is_in_own_zone(from);
        let is_accepted = self.fetch.as_mut().is_some_and(|fetch| fetch.receive_chunk(chunk));
        if !is_accepted {
            self.counters.chunks_discarded += 1;
            return;
        }
        if is_in_own_zone {
            self.counters.chunks_from_zone += 1;
        } else {
            self.counters.chunks_from_other_zones += 1;
        }
        let Some(fetch) = &mut self.fetch else { return };
        fetch.has_data_from_outside_zone |= !is_in_own_zone;
        if let FetchSource::Peer { peer, remaining, .. } = &mut fetch.source
            && peer == from
        {
            *remaining -= 1;
            if *remaining == 0 {
                fetch.source = FetchSource::Idle;
            }
        }
    }

    fn finish_head_request(&mut self, from: &VmName) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { peer, .. } if peer == from) {
            fetch.source = FetchSource::Idle;
        }
    }

    fn abandon_peer(&mut self, from: &VmName) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { peer, .. } if peer == from) {
            fetch.abandon_source();
            // The peer has a later generation in force; its head lists the chunks that the peer has.
            fetch.head = None;
        }
    }

    pub(crate) fn time_out_peer(&mut self, now: ClockTime) {
        let Some(fetch) = &mut self.fetch else { return };
        if matches!(&fetch.source, FetchSource::Peer { deadline, .. } if *deadline <= now) {
            fetch.abandon_source();
            self.counters.peer_timeouts += 1;
        }
    }

    /// Requests missing data from a peer of the zone, otherwise from the store, otherwise from a peer of another zone.
    /// If all have failed, all are tried again after a pause.
    pub(crate) fn request_missing_data(
        &mut self,
        now: ClockTime,
        missing_data: MissingData,
        actions: &mut Vec<SyncAction>,
    ) {
        let Some(fetch) = &self.fetch else { return };
        let store_failed = fetch.store_failed;
        let (zone_peers, other_peers) = self.suppliers();
        // A random peer of the zone, if any has the generation; the first one is twice as likely as each other one.
        let zone_peer = self.random.below(zone_peers.len() as u64 + 1).checked_sub(1).map_or_else(
            || zone_peers.first().cloned(),
            |index| zone_peers.get(index as usize).cloned(),
        );
        let peer = match zone_peer {
            Some(zone_peer) => Some(zone_peer),
            None if store_failed => other_peers.into_iter().next(),
            None => None,
        };
        let source = match peer {
            Some(peer) => {
                let (remaining, message) = match missing_data {
                    MissingData::Chunks(digests) => {
                        (digests.len(), SyncMessage::ChunkRequest(digests))
                    }
                    _ => (1, SyncMessage::HeadRequest),
                };
                actions.push(SyncAction::Send { to: peer.clone(), message });
                FetchSource::Peer { peer, deadline: now + self.settings.peer_timeout, remaining }
            }
            None if store_failed => {
                // Every source failed, so all are tried again after a pause.
                let pause = self.settings.peer_timeout;
                if let Some(fetch) = &mut self.fetch {
                    fetch.tried_peers.clear();
                    fetch.store_failed = false;
                    fetch.not_before = now + pause;
                }
                FetchSource::Idle
            }
            None => self.request_from_store(missing_data, actions),
        };
        if let Some(fetch) = &mut self.fetch {
            fetch.source = source;
        }
    }

    // Returns the peers that have the required generation and haven't failed to supply it: first those in the
    // node's own zone, then the others.
    fn suppliers(&self) -> (Vec<VmName>, Vec<VmName>) {
        let Some(fetch) = &self.fetch else { return Default::default() };
        let suppliers = self
            .peers
            .iter()
            .filter(|(peer, view)| {
                view.status.generation >= fetch.generation && !fetch.tried_peers.contains(*peer)
            })
            .map(|(peer, _)| peer.clone());
        suppliers.partition(|peer| self.is_in_own_zone(peer))
    }

    /// Queries the members of the node's zone once at startup, so that data that they have isn't requested from the
    /// store.
    pub(crate) fn query_zone_members(&mut self, actions: &mut Vec<SyncAction>) {
        let Some(members) = self.zones.get(&self.settings.zone) else { return };
        if std::mem::replace(&mut self.has_queried_zone, true) {
            return;
        }
        let nonce = self.nonce;
        for to in members.iter().filter(|member| **member != self.settings.vm).cloned() {
            actions.push(SyncAction::Send { to, message: SyncMessage::StatusRequest { nonce } });
        }
    }

    pub(crate) fn query_random_peers(&mut self, actions: &mut Vec<SyncAction>) {
        let (zone_peers, other_peers): (Vec<&VmName>, Vec<&VmName>) = self
            .zones
            .values()
            .flatten()
            .filter(|peer| **peer != self.settings.vm)
            .partition(|peer| self.is_in_own_zone(peer));
        // Only watchers query other zones: for the other nodes it would add traffic on the links without new
        // information.
        let other_peers = if self.is_watcher() { other_peers } else { Vec::new() };
        let mut chosen = Vec::new();
        for peers in [zone_peers, other_peers] {
            if let Some(peer) = peers.get(self.random.below(peers.len() as u64) as usize) {
                chosen.push((*peer).clone());
            }
        }
        let nonce = self.nonce;
        actions.extend(
            chosen
                .into_iter()
                .map(|to| SyncAction::Send { to, message: SyncMessage::StatusRequest { nonce } }),
        );
    }

    pub(crate) fn request_progress(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        let nonce = self.random.next_u64();
        self.progress_responses.begin_request(nonce);
        let own = self.own_progress(now);
        let zone = self.settings.zone.clone();
        self.progress_responses.record(now, &zone, own);
        for zone in self.zones.keys().filter(|zone| **zone != self.settings.zone) {
            for to in self.watchers_of(zone) {
                actions
                    .push(SyncAction::Send { to, message: SyncMessage::ProgressRequest { nonce } });
            }
        }
    }

    /// Returns the progress of the node's zone, based on the last status of each member.
    pub(crate) fn own_progress(&self, now: ClockTime) -> ZoneProgress {
        let members = self.zones.get(&self.settings.zone).map_or(&[][..], Vec::as_slice);
        let mut progress = ZoneProgress { members: members.len() as u32, ..Default::default() };
        for member in members {
            if *member == self.settings.vm {
                progress.add_member(self.generation());
            } else if let Some(view) = self.peers.get(member)
                && now.since(view.received_at) <= self.settings.max_status_age
            {
                progress.add_member(view.status.generation);
            }
        }
        progress
    }
}
