//! The reads and watches of the store by a node.
//!
//! The watchers of a zone read for all its nodes. Any other node reads only during its startup or when the zone's
//! watchers have had no contact with the store for some time ([`crate::SyncSettings::fallback_after`]), so that the
//! number of calls depends on the number of zones and not on the number of nodes.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_store::{
    CallClass, OperationId, OperationReply, OperationSpec, Result, StoreEntry, StoreOperation,
    WatchUpdate,
};

use crate::{
    fetch::{FetchSource, MissingData},
    head::{ChunkDigest, SyncHead, chunk_key, head_key},
    machine::{ConfigSync, SyncAction},
};

impl ConfigSync {
    fn handle_head_entry(
        &mut self,
        contact: ClockTime,
        now: ClockTime,
        entry: Option<&StoreEntry>,
    ) {
        self.contact.record_store_contact(contact);
        let Some(entry) = entry else {
            self.startup.record_store_generation(0);
            return;
        };
        match SyncHead::decode(&entry.value) {
            // The router has refused this generation. Only peers know the latest generation that can come into force.
            Ok(head) if head.generation == self.refused => self.startup.record_store_failure(),
            Ok(head) => {
                self.startup.record_store_generation(head.generation);
                self.handle_store_head(now, head);
            }
            Err(_) => self.counters.corrupt += 1,
        }
    }

    // Only the first watcher fetches immediately. The others wait while it fetches the generation for the zone, and
    // continue as soon as a peer has the generation.
    fn handle_store_head(&mut self, now: ClockTime, head: SyncHead) {
        let is_first = self.watchers.first() == Some(&self.settings.vm);
        if is_first || self.fetch.as_ref().is_some_and(|fetch| fetch.has_data_from_outside_zone) {
            return self.receive_head(now, Arc::new(head));
        }
        let is_requested =
            self.fetch.as_ref().is_some_and(|fetch| fetch.generation >= head.generation);
        self.receive_head(now + self.settings.second_watcher_delay, Arc::new(head));
        if let Some(fetch) = &mut self.fetch
            && !is_requested
        {
            let transfer =
                self.settings.delay_per_chunk.as_ms() * fetch.missing_chunk_count() as u64;
            fetch.not_before += ClockSpan::from_ms(transfer);
        }
    }

    pub(crate) fn handle_watch_update(
        &mut self,
        now: ClockTime,
        op: OperationId,
        update: WatchUpdate,
    ) {
        if self.watch != Some(op) {
            return;
        }
        let entries = match &update {
            WatchUpdate::Snapshot(entries) | WatchUpdate::Changes { entries, .. } => entries,
        };
        let entry = entries.iter().find(|entry| entry.key == head_key());
        match (entry, &update) {
            (Some(entry), _) => self.handle_head_entry(now, now, Some(entry)),
            (None, WatchUpdate::Snapshot(_)) => self.handle_head_entry(now, now, None),
            (None, WatchUpdate::Changes { .. }) => self.contact.record_store_contact(now),
        }
    }

    pub(crate) fn handle_store_result(
        &mut self,
        now: ClockTime,
        op: OperationId,
        result: Result<OperationReply>,
    ) {
        if self.head_read == Some(op) {
            self.head_read = None;
            match &result {
                Ok(OperationReply::Value(entry)) => {
                    let sent = self.head_read_at.unwrap_or(now);
                    self.handle_head_entry(sent, now, entry.as_ref());
                }
                _ => self.startup.record_store_failure(),
            }
        }
        let Some(fetch) = &mut self.fetch else { return };
        let FetchSource::Store { ops } = &mut fetch.source else { return };
        let Some(digest) = ops.remove(&op) else { return };
        let is_last = ops.is_empty();
        match (digest, result) {
            (None, Ok(OperationReply::Value(entry))) => {
                fetch.source = FetchSource::Idle;
                fetch.has_data_from_outside_zone = true;
                self.handle_head_entry(now, now, entry.as_ref());
                self.wait_for_peer(now);
            }
            (Some(_), Ok(OperationReply::Value(Some(entry)))) => {
                fetch.has_data_from_outside_zone = true;
                if fetch.receive_chunk(entry.value) {
                    self.counters.chunks_from_store += 1;
                } else {
                    self.counters.chunks_discarded += 1;
                }
                if is_last {
                    fetch.source = FetchSource::Idle;
                }
            }
            // The chunk was removed because a later generation is in force: the head must be read again.
            (Some(_), Ok(_)) => fetch.head = None,
            (_, _) => {
                fetch.abandon_source();
            }
        }
    }

    // Called when the store has an older head than a peer reported, so that only that peer can supply the generation.
    fn wait_for_peer(&mut self, now: ClockTime) {
        if let Some(fetch) = &mut self.fetch
            && fetch.head.is_none()
        {
            fetch.store_failed = true;
            fetch.not_before = now + self.settings.peer_timeout;
        }
    }

    pub(crate) fn update_watch(&mut self, actions: &mut Vec<SyncAction>) {
        let is_watcher = self.watchers.contains(&self.settings.vm);
        match (is_watcher, self.watch) {
            (true, None) => {
                let op = self.next_op();
                self.watch = Some(op);
                let operation = StoreOperation::Watch { prefix: head_key() };
                // A watch has no deadline, so its timeout is not used.
                let spec = OperationSpec::new(CallClass::Config, operation, 0);
                actions.push(SyncAction::Submit { op, spec });
            }
            (false, Some(op)) => {
                self.watch = None;
                actions.push(SyncAction::Cancel { op });
            }
            _ => {}
        }
    }

    pub(crate) fn read_head_if_due(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        if self.head_read.is_some() {
            return;
        }
        let since = |at: Option<ClockTime>| at.map(|at| now.since(at));
        let is_first = self.head_read_at.is_none();
        let is_starting = self.ready.is_none()
            && since(self.head_read_at).is_some_and(|age| age >= self.settings.store_timeout);
        let is_watching = self.watch.is_some()
            && since(self.contact.own_store_contact)
                .is_none_or(|age| age >= self.settings.head_read_interval)
            && since(self.head_read_at).is_some_and(|age| age >= self.settings.head_read_interval);
        // The random part spreads the reads of the nodes that have lost their watchers at the same time.
        let zone_age = self.contact.zone_store_contact_age(now, self.started_at);
        let fallback_interval =
            ClockSpan::from_ms(self.settings.head_read_interval.as_ms() + self.random.below(1_000));
        let is_fallback = zone_age >= self.settings.fallback_after
            && since(self.head_read_at).is_some_and(|age| age >= fallback_interval);
        if !(is_first || is_starting || is_watching || is_fallback) {
            return;
        }
        self.counters.fallback_reads += u64::from(is_fallback && self.watch.is_none());
        let op = self.next_op();
        self.head_read = Some(op);
        self.head_read_at = Some(now);
        let operation = StoreOperation::Get { key: head_key() };
        let timeout = self.settings.store_timeout.as_ms();
        let spec = OperationSpec::new(CallClass::Config, operation, timeout);
        actions.push(SyncAction::Submit { op, spec });
    }

    pub(crate) fn request_from_store(
        &mut self,
        missing_data: MissingData,
        actions: &mut Vec<SyncAction>,
    ) -> FetchSource {
        let requested: Vec<Option<ChunkDigest>> = match missing_data {
            MissingData::Head => vec![None],
            MissingData::Chunks(digests) => digests.into_iter().map(Some).collect(),
            MissingData::Nothing => Vec::new(),
        };
        let mut ops = BTreeMap::new();
        for digest in requested {
            let op = self.next_op();
            let key = digest.map_or_else(head_key, chunk_key);
            let operation = StoreOperation::Get { key };
            let timeout = self.settings.store_timeout.as_ms();
            let spec = OperationSpec::new(CallClass::Config, operation, timeout);
            actions.push(SyncAction::Submit { op, spec });
            ops.insert(op, digest);
        }
        FetchSource::Store { ops }
    }
}
