//! The sequence of operations by which an operator's client writes a new configuration to the store.
//!
//! The client first writes the chunks, which no node reads before a head lists them, and then replaces the head with
//! one compare-and-swap. Of two concurrent changes only one can succeed, and an operator whose answer was lost finds
//! the change in the head's log.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_store::{
    CallClass, ChangeDetector, KeyVersion, OperationError, OperationId, OperationReply,
    OperationSpec, Result, StoreEntry, StoreOperation,
};

use crate::head::{ChangeId, ChunkDigest, SyncHead, chunk_key, head_key};

/// Settings of [`ConfigApply`].
#[derive(Clone, Copy, Debug)]
pub struct ApplySettings {
    /// The largest number of concurrent writes of chunks.
    pub concurrent_chunk_writes: usize,
    /// The timeout of each operation on the store, in milliseconds.
    pub operation_timeout_ms: u64,
}

impl Default for ApplySettings {
    fn default() -> ApplySettings {
        ApplySettings { concurrent_chunk_writes: 4, operation_timeout_ms: 10_000 }
    }
}

/// An input of [`ConfigApply::handle`].
#[derive(Clone, Debug)]
pub enum ApplyEvent {
    /// Starts the sequence.
    Start,
    /// An operation on the store ended.
    Store {
        /// The ID of the operation in [`ApplyAction::Submit`].
        op: OperationId,
        /// The store's reply, or the reason why there is none.
        result: Result<OperationReply>,
    },
}

/// An output of [`ConfigApply::handle`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum ApplyAction {
    /// Submit an operation to the store client.
    Submit {
        /// The ID of the operation, to be returned in [`ApplyEvent::Store`].
        op: OperationId,
        /// The operation with its class and timeout.
        spec: OperationSpec,
    },
    /// The sequence ended.
    Done(ApplyResult),
}

/// The result of the sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The document was accepted.
    Accepted {
        /// The generation that the change made.
        generation: u64,
    },
    /// Another change was accepted after the operator read the configuration; the operator must compare again.
    Conflict {
        /// The accepted head, or `None` if the store has no configuration.
        head: Option<Arc<SyncHead>>,
    },
    /// The document was not accepted, and this attempt can't cause it to be accepted later.
    NotAccepted(OperationError),
    /// The store did not answer whether the head was written; applying again with the same change ID resolves this.
    Unknown,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ApplyStep {
    Idle,
    ReadHead(OperationId),
    WriteChunks(BTreeMap<OperationId, ChunkDigest>),
    WriteHead(OperationId),
    Done,
}

/// The state machine that applies one change of an operator.
#[derive(Clone, Debug)]
pub struct ConfigApply {
    settings: ApplySettings,
    change: ChangeId,
    base_generation: u64,
    chunks: Vec<Arc<[u8]>>,
    unwritten_chunks: BTreeMap<ChunkDigest, Arc<[u8]>>,
    head: Option<Arc<SyncHead>>,
    version: KeyVersion,
    new_head: Option<SyncHead>,
    step: ApplyStep,
    last_op: u64,
}

impl ConfigApply {
    /// Returns the sequence that replaces the generation `base_generation` with the document in `chunks`.
    ///
    /// `base_generation` is the generation on which the operator based the change, or zero for the first document.
    pub fn new(
        settings: ApplySettings,
        change: ChangeId,
        base_generation: u64,
        chunks: Vec<Arc<[u8]>>,
    ) -> ConfigApply {
        ConfigApply {
            settings,
            change,
            base_generation,
            chunks,
            unwritten_chunks: BTreeMap::new(),
            head: None,
            version: KeyVersion(0),
            new_head: None,
            step: ApplyStep::Idle,
            last_op: 0,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: ApplyEvent, actions: &mut Vec<ApplyAction>) {
        match (event, self.step.clone()) {
            (ApplyEvent::Start, ApplyStep::Idle) => {
                let operation = StoreOperation::Get { key: head_key() };
                let op = self.submit(operation, actions);
                self.step = ApplyStep::ReadHead(op);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::ReadHead(read)) if op == read => {
                self.check_base(result, actions);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::WriteChunks(mut ops)) => {
                let Some(digest) = ops.remove(&op) else { return };
                self.step = ApplyStep::WriteChunks(ops);
                self.handle_chunk_result(digest, result, actions);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::WriteHead(write)) if op == write => {
                self.handle_head_result(result, actions);
            }
            _ => {}
        }
    }

    fn submit(&mut self, operation: StoreOperation, actions: &mut Vec<ApplyAction>) -> OperationId {
        self.last_op += 1;
        let op = OperationId(self.last_op);
        let spec =
            OperationSpec::new(CallClass::Config, operation, self.settings.operation_timeout_ms);
        actions.push(ApplyAction::Submit { op, spec });
        op
    }

    fn finish(&mut self, result: ApplyResult, actions: &mut Vec<ApplyAction>) {
        self.step = ApplyStep::Done;
        actions.push(ApplyAction::Done(result));
    }

    fn check_base(&mut self, result: Result<OperationReply>, actions: &mut Vec<ApplyAction>) {
        let entry = match result {
            Ok(OperationReply::Value(entry)) => entry,
            Ok(_) => {
                let error = OperationError::Rejected;
                return self.finish(ApplyResult::NotAccepted(error), actions);
            }
            Err(error) => return self.finish(ApplyResult::NotAccepted(error), actions),
        };
        let Ok(head) = decode(entry.as_ref()) else {
            return self.finish(ApplyResult::NotAccepted(OperationError::Rejected), actions);
        };
        let applied = head.as_ref().and_then(|head| head.generation_of(self.change));
        if let Some(generation) = applied {
            return self.finish(ApplyResult::Accepted { generation }, actions);
        }
        let generation = head.as_ref().map_or(0, |head| head.generation);
        if generation != self.base_generation {
            return self.finish(ApplyResult::Conflict { head }, actions);
        }
        self.version = entry.map_or(KeyVersion(0), |entry| entry.version);
        let new_head = SyncHead::next(head.as_deref(), self.change, &self.chunks);
        let stored_digests = head.as_ref().map_or(&[][..], |head| head.chunks.as_slice());
        for (digest, chunk) in new_head.chunks.iter().zip(&self.chunks) {
            if !stored_digests.contains(digest) {
                self.unwritten_chunks.insert(*digest, chunk.clone());
            }
        }
        self.head = head;
        self.new_head = Some(new_head);
        self.step = ApplyStep::WriteChunks(BTreeMap::new());
        self.write_next_chunks(actions);
    }

    fn handle_chunk_result(
        &mut self,
        digest: ChunkDigest,
        result: Result<OperationReply>,
        actions: &mut Vec<ApplyAction>,
    ) {
        match result {
            // A chunk that already exists has the right bytes, because its key is their digest.
            Ok(OperationReply::Written { .. } | OperationReply::Conflict(Some(_))) => {
                self.write_next_chunks(actions);
            }
            Ok(_) => {
                // The key existed at the time of the write and has been removed since, so the chunk is written again.
                if let Some(chunk) = self.chunk(digest) {
                    self.unwritten_chunks.insert(digest, chunk);
                }
                self.write_next_chunks(actions);
            }
            Err(OperationError::Rejected) => {
                self.finish(ApplyResult::NotAccepted(OperationError::Rejected), actions);
            }
            // No node reads a chunk that no head lists, so nothing was accepted.
            Err(_) => self.finish(ApplyResult::NotAccepted(OperationError::NotDone), actions),
        }
    }

    fn chunk(&self, digest: ChunkDigest) -> Option<Arc<[u8]>> {
        let new_head = self.new_head.as_ref()?;
        let index = new_head.chunks.iter().position(|other| *other == digest)?;
        self.chunks.get(index).cloned()
    }

    fn write_next_chunks(&mut self, actions: &mut Vec<ApplyAction>) {
        let ApplyStep::WriteChunks(mut ops) = self.step.clone() else { return };
        while ops.len() < self.settings.concurrent_chunk_writes {
            let Some((digest, value)) = self.unwritten_chunks.pop_first() else { break };
            let operation = StoreOperation::Cas {
                key: chunk_key(digest),
                value,
                expected: KeyVersion(0),
                lease: None,
                change_detector: None,
            };
            ops.insert(self.submit(operation, actions), digest);
        }
        let all_written = ops.is_empty();
        self.step = ApplyStep::WriteChunks(ops);
        if all_written {
            self.write_head(actions);
        }
    }

    fn write_head(&mut self, actions: &mut Vec<ApplyAction>) {
        let Some(new_head) = &self.new_head else { return };
        let operation = StoreOperation::Cas {
            key: head_key(),
            value: new_head.encode(),
            expected: self.version,
            lease: None,
            change_detector: Some(ChangeDetector {
                change_id: self.change.0,
                contains: head_contains,
            }),
        };
        let op = self.submit(operation, actions);
        self.step = ApplyStep::WriteHead(op);
    }

    fn handle_head_result(
        &mut self,
        result: Result<OperationReply>,
        actions: &mut Vec<ApplyAction>,
    ) {
        let result = match result {
            Ok(OperationReply::Written { entry, .. }) => {
                // A value that was read to resolve a lost answer can contain this change as written by an earlier
                // attempt.
                let head = decode(entry.as_ref()).ok().flatten();
                let read = head.and_then(|head| head.generation_of(self.change));
                let written = self.new_head.as_ref().map_or(0, |new_head| new_head.generation);
                ApplyResult::Accepted { generation: read.unwrap_or(written) }
            }
            Ok(OperationReply::Conflict(entry)) => match decode(entry.as_ref()) {
                Ok(head) => ApplyResult::Conflict { head },
                Err(_) => ApplyResult::NotAccepted(OperationError::Rejected),
            },
            Ok(_) => ApplyResult::NotAccepted(OperationError::Rejected),
            Err(OperationError::Unknown) => ApplyResult::Unknown,
            Err(error) => ApplyResult::NotAccepted(error),
        };
        self.finish(result, actions);
    }
}

fn decode(entry: Option<&StoreEntry>) -> crate::head::Result<Option<Arc<SyncHead>>> {
    entry.map(|entry| SyncHead::decode(&entry.value).map(Arc::new)).transpose()
}

fn head_contains(value: &[u8], change: u128) -> bool {
    SyncHead::decode(value).is_ok_and(|head| head.generation_of(ChangeId(change)).is_some())
}
