//! What a node reads from the store, and when.
//!
//! Watchers read for their zone. Any other node reads only while it starts, or when its watchers have had no contact
//! for long, so that the number of calls follows the number of zones.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_store::{
    CallClass, OperationId, OperationReply, OperationSpec, Result, StoreEntry, StoreOperation,
    WatchUpdate,
};

use crate::{
    fetch::{FetchNeed, FetchSource},
    head::{ChunkDigest, SyncHead, chunk_key, head_key},
    machine::{ConfigSync, SyncAction},
};

impl ConfigSync {
    fn take_entry(&mut self, contact: ClockTime, now: ClockTime, entry: Option<&StoreEntry>) {
        self.contact.reach_store(contact);
        let Some(entry) = entry else {
            self.startup.read_store(0);
            return;
        };
        match SyncHead::decode(&entry.value) {
            // A refused generation is of no use: the newest one that can come into force is known to peers only.
            Ok(head) if head.generation == self.refused => self.startup.fail_store(),
            Ok(head) => {
                self.startup.read_store(head.generation);
                self.take_store_head(now, head);
            }
            Err(_) => self.counters.corrupt += 1,
        }
    }

    // Only the first watcher fetches at once. The others give it time to do so for the zone, and go on as soon as a
    // peer has the generation.
    fn take_store_head(&mut self, now: ClockTime, head: SyncHead) {
        let is_first = self.watchers.first() == Some(&self.settings.vm);
        if is_first || self.fetch.as_ref().is_some_and(|fetch| fetch.is_first_hand) {
            return self.take_head(now, Arc::new(head));
        }
        let is_known = self.fetch.as_ref().is_some_and(|fetch| fetch.generation >= head.generation);
        self.take_head(now + self.settings.second_wait, Arc::new(head));
        if let Some(fetch) = &mut self.fetch
            && !is_known
        {
            let transfer = self.settings.chunk_wait.as_ms() * fetch.missing() as u64;
            fetch.not_before += ClockSpan::from_ms(transfer);
        }
    }

    pub(crate) fn take_watch(&mut self, now: ClockTime, op: OperationId, update: WatchUpdate) {
        if self.watch != Some(op) {
            return;
        }
        let entries = match &update {
            WatchUpdate::Snapshot(entries) | WatchUpdate::Changes { entries, .. } => entries,
        };
        let entry = entries.iter().find(|entry| entry.key == head_key());
        match (entry, &update) {
            (Some(entry), _) => self.take_entry(now, now, Some(entry)),
            (None, WatchUpdate::Snapshot(_)) => self.take_entry(now, now, None),
            (None, WatchUpdate::Changes { .. }) => self.contact.reach_store(now),
        }
    }

    pub(crate) fn take_result(
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
                    self.take_entry(sent, now, entry.as_ref());
                }
                _ => self.startup.fail_store(),
            }
        }
        let Some(fetch) = &mut self.fetch else { return };
        let FetchSource::Store { ops } = &mut fetch.source else { return };
        let Some(digest) = ops.remove(&op) else { return };
        let is_last = ops.is_empty();
        match (digest, result) {
            (None, Ok(OperationReply::Value(entry))) => {
                fetch.source = FetchSource::Idle;
                fetch.is_first_hand = true;
                self.take_entry(now, now, entry.as_ref());
                self.recede(now);
            }
            (Some(_), Ok(OperationReply::Value(Some(entry)))) => {
                fetch.is_first_hand = true;
                if fetch.take_chunk(entry.value) {
                    self.counters.chunks_from_store += 1;
                } else {
                    self.counters.chunks_unwanted += 1;
                }
                if is_last {
                    fetch.source = FetchSource::Idle;
                }
            }
            // The chunk is gone because a later generation is in force: the head must be read again.
            (Some(_), Ok(_)) => fetch.head = None,
            (_, _) => {
                fetch.forsake();
            }
        }
    }

    // The store has an older head than a peer reported, so that only that peer can supply the generation.
    fn recede(&mut self, now: ClockTime) {
        if let Some(fetch) = &mut self.fetch
            && fetch.head.is_none()
        {
            fetch.store_failed = true;
            fetch.not_before = now + self.settings.peer_timeout;
        }
    }

    pub(crate) fn do_watch_duty(&mut self, actions: &mut Vec<SyncAction>) {
        let is_duty = self.watchers.contains(&self.settings.vm);
        match (is_duty, self.watch) {
            (true, None) => {
                let op = self.next_op();
                self.watch = Some(op);
                let operation = StoreOperation::Watch { prefix: head_key() };
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

    pub(crate) fn read_head(&mut self, now: ClockTime, actions: &mut Vec<SyncAction>) {
        if self.head_read.is_some() {
            return;
        }
        let since = |at: Option<ClockTime>| at.map(|at| now.since(at));
        let is_first = self.head_read_at.is_none();
        let is_starting = self.ready.is_none()
            && since(self.head_read_at).is_some_and(|age| age >= self.settings.store_wait);
        let is_watching = self.watch.is_some()
            && since(self.contact.store).is_none_or(|age| age >= self.settings.confirm)
            && since(self.head_read_at).is_some_and(|age| age >= self.settings.confirm);
        let zone_age = self.contact.store_contact_age(now, self.start);
        let pause = ClockSpan::from_ms(self.settings.confirm.as_ms() + self.random.below(1_000));
        let is_substitute = zone_age >= self.settings.substitute_after
            && since(self.head_read_at).is_some_and(|age| age >= pause);
        if !(is_first || is_starting || is_watching || is_substitute) {
            return;
        }
        self.counters.substitute_reads += u64::from(is_substitute && self.watch.is_none());
        let op = self.next_op();
        self.head_read = Some(op);
        self.head_read_at = Some(now);
        let operation = StoreOperation::Get { key: head_key() };
        let wait = self.settings.store_wait.as_ms();
        let spec = OperationSpec::new(CallClass::Config, operation, wait);
        actions.push(SyncAction::Submit { op, spec });
    }

    pub(crate) fn order_from_store(
        &mut self,
        need: FetchNeed,
        actions: &mut Vec<SyncAction>,
    ) -> FetchSource {
        let wants: Vec<Option<ChunkDigest>> = match need {
            FetchNeed::Head => vec![None],
            FetchNeed::Chunks(digests) => digests.into_iter().map(Some).collect(),
            FetchNeed::Nothing => Vec::new(),
        };
        let mut ops = BTreeMap::new();
        for want in wants {
            let op = self.next_op();
            let key = want.map_or_else(head_key, chunk_key);
            let operation = StoreOperation::Get { key };
            let wait = self.settings.store_wait.as_ms();
            let spec = OperationSpec::new(CallClass::Config, operation, wait);
            actions.push(SyncAction::Submit { op, spec });
            ops.insert(op, want);
        }
        FetchSource::Store { ops }
    }
}
