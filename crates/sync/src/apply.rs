//! The sequence by which an operator's client brings a new configuration into the store.
//!
//! First the chunks, which nobody reads before a head names them, then the head by one CAS. Two operators who race
//! can't both win, and an operator whose answer was lost finds the change in the head's log.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_store::{
    CallClass, ChangeDetector, KeyVersion, OperationError, OperationId, OperationReply,
    OperationSpec, Result, StoreEntry, StoreOperation,
};

use crate::head::{ChangeId, ChunkDigest, SyncHead, chunk_key, head_key};

/// Settings of [`ConfigApply`].
#[derive(Clone, Copy, Debug)]
pub struct ApplySettings {
    /// The number of chunks written at once.
    pub concurrent_chunk_writes: usize,
    /// The milliseconds that each operation on the store may take.
    pub operation_timeout_ms: u64,
}

impl Default for ApplySettings {
    fn default() -> ApplySettings {
        ApplySettings { concurrent_chunk_writes: 4, operation_timeout_ms: 10_000 }
    }
}

/// An event that [`ConfigApply::handle`] takes.
#[derive(Clone, Debug)]
pub enum ApplyEvent {
    /// Begins.
    Start,
    /// An operation on the store ended.
    Store {
        /// The operation.
        op: OperationId,
        /// The result.
        result: Result<OperationReply>,
    },
}

/// An action that [`ConfigApply::handle`] asks for.
#[derive(Clone, Debug)]
pub enum ApplyAction {
    /// Submit an operation to the store client.
    Submit {
        /// The operation's number.
        op: OperationId,
        /// The operation.
        spec: OperationSpec,
    },
    /// The sequence ended.
    Done(ApplyResult),
}

/// How the sequence ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The document is accepted as this generation.
    Accepted {
        /// The generation.
        generation: u64,
    },
    /// Another change was accepted since the operator compared; the operator must compare with this head.
    Conflict {
        /// The head that is accepted now.
        head: Option<Arc<SyncHead>>,
    },
    /// The document isn't accepted and won't be by this attempt.
    NotAccepted(OperationError),
    /// The store didn't say whether the head was written; applying again with the same change id settles it.
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

/// The state machine of one change by an operator.
#[derive(Clone, Debug)]
pub struct ConfigApply {
    settings: ApplySettings,
    change: ChangeId,
    base: u64,
    chunks: Vec<Arc<[u8]>>,
    pending: BTreeMap<ChunkDigest, Arc<[u8]>>,
    head: Option<Arc<SyncHead>>,
    version: KeyVersion,
    next: Option<SyncHead>,
    step: ApplyStep,
    last_op: u64,
}

impl ConfigApply {
    /// Returns the sequence that replaces generation `base` by the document in `chunks`.
    ///
    /// `base` is the generation that the operator compared with, zero for the first document.
    pub fn new(
        settings: ApplySettings,
        change: ChangeId,
        base: u64,
        chunks: Vec<Arc<[u8]>>,
    ) -> ConfigApply {
        ConfigApply {
            settings,
            change,
            base,
            chunks,
            pending: BTreeMap::new(),
            head: None,
            version: KeyVersion(0),
            next: None,
            step: ApplyStep::Idle,
            last_op: 0,
        }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, event: ApplyEvent, actions: &mut Vec<ApplyAction>) {
        match (event, self.step.clone()) {
            (ApplyEvent::Start, ApplyStep::Idle) => {
                let operation = StoreOperation::Get { key: head_key() };
                let op = self.submit(operation, actions);
                self.step = ApplyStep::ReadHead(op);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::ReadHead(read)) if op == read => {
                self.compare(result, actions);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::WriteChunks(mut ops)) => {
                let Some(digest) = ops.remove(&op) else { return };
                self.step = ApplyStep::WriteChunks(ops);
                self.take_chunk(digest, result, actions);
            }
            (ApplyEvent::Store { op, result }, ApplyStep::WriteHead(write)) if op == write => {
                self.take_write(result, actions);
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

    fn end(&mut self, result: ApplyResult, actions: &mut Vec<ApplyAction>) {
        self.step = ApplyStep::Done;
        actions.push(ApplyAction::Done(result));
    }

    fn compare(&mut self, result: Result<OperationReply>, actions: &mut Vec<ApplyAction>) {
        let entry = match result {
            Ok(OperationReply::Value(entry)) => entry,
            Ok(_) => {
                let error = OperationError::Rejected;
                return self.end(ApplyResult::NotAccepted(error), actions);
            }
            Err(error) => return self.end(ApplyResult::NotAccepted(error), actions),
        };
        let Ok(head) = decode(entry.as_ref()) else {
            return self.end(ApplyResult::NotAccepted(OperationError::Rejected), actions);
        };
        let applied = head.as_ref().and_then(|head| head.generation_of(self.change));
        if let Some(generation) = applied {
            return self.end(ApplyResult::Accepted { generation }, actions);
        }
        let generation = head.as_ref().map_or(0, |head| head.generation);
        if generation != self.base {
            return self.end(ApplyResult::Conflict { head }, actions);
        }
        self.version = entry.map_or(KeyVersion(0), |entry| entry.version);
        let next = SyncHead::next(head.as_deref(), self.change, &self.chunks);
        let present = head.as_ref().map_or(&[][..], |head| head.chunks.as_slice());
        for (digest, chunk) in next.chunks.iter().zip(&self.chunks) {
            if !present.contains(digest) {
                self.pending.insert(*digest, chunk.clone());
            }
        }
        self.head = head;
        self.next = Some(next);
        self.step = ApplyStep::WriteChunks(BTreeMap::new());
        self.write_more(actions);
    }

    fn take_chunk(
        &mut self,
        digest: ChunkDigest,
        result: Result<OperationReply>,
        actions: &mut Vec<ApplyAction>,
    ) {
        match result {
            // A chunk that is there already has the right bytes, because its key is their digest.
            Ok(OperationReply::Written { .. } | OperationReply::Conflict(Some(_))) => {
                self.write_more(actions);
            }
            Ok(_) => {
                // The key was written and removed meanwhile: the chunk is written again.
                if let Some(chunk) = self.chunk(digest) {
                    self.pending.insert(digest, chunk);
                }
                self.write_more(actions);
            }
            Err(OperationError::Rejected) => {
                self.end(ApplyResult::NotAccepted(OperationError::Rejected), actions);
            }
            // Nobody reads a chunk that no head names, so that nothing was accepted.
            Err(_) => self.end(ApplyResult::NotAccepted(OperationError::NotDone), actions),
        }
    }

    fn chunk(&self, digest: ChunkDigest) -> Option<Arc<[u8]>> {
        let next = self.next.as_ref()?;
        let index = next.chunks.iter().position(|other| *other == digest)?;
        self.chunks.get(index).cloned()
    }

    fn write_more(&mut self, actions: &mut Vec<ApplyAction>) {
        let ApplyStep::WriteChunks(mut ops) = self.step.clone() else { return };
        while ops.len() < self.settings.concurrent_chunk_writes {
            let Some((digest, value)) = self.pending.pop_first() else { break };
            let operation = StoreOperation::Cas {
                key: chunk_key(digest),
                value,
                expected: KeyVersion(0),
                lease: None,
                change_detector: None,
            };
            ops.insert(self.submit(operation, actions), digest);
        }
        let is_written = ops.is_empty();
        self.step = ApplyStep::WriteChunks(ops);
        if is_written {
            self.write_head(actions);
        }
    }

    fn write_head(&mut self, actions: &mut Vec<ApplyAction>) {
        let Some(next) = &self.next else { return };
        let operation = StoreOperation::Cas {
            key: head_key(),
            value: next.encode(),
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

    fn take_write(&mut self, result: Result<OperationReply>, actions: &mut Vec<ApplyAction>) {
        let result = match result {
            Ok(OperationReply::Written { entry, .. }) => {
                // A value that was read in place of the answer can hold an earlier attempt's write of this change.
                let head = decode(entry.as_ref()).ok().flatten();
                let read = head.and_then(|head| head.generation_of(self.change));
                let written = self.next.as_ref().map_or(0, |next| next.generation);
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
        self.end(result, actions);
    }
}

fn decode(entry: Option<&StoreEntry>) -> crate::head::Result<Option<Arc<SyncHead>>> {
    entry.map(|entry| SyncHead::decode(&entry.value).map(Arc::new)).transpose()
}

fn head_contains(value: &[u8], change: u128) -> bool {
    SyncHead::decode(value).is_ok_and(|head| head.generation_of(ChangeId(change)).is_some())
}
