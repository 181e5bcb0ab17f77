//! The state machine of one router's claims: the claims of its own requests, and the writers of the shards.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, RequestId, VmName, rendezvous};
use godwitroad_store::{OperationId, OperationReply, OperationSpec, Result};

use crate::{
    attempt::{AttemptPhase, ClaimAttempt},
    body_cache::BodyCache,
    key::{CLAIM_SHARDS, ClaimHash, RequestDigest},
    merge::{ClaimEntry, ClaimOperation},
    message::ClaimMessage,
    queue::QueuedEntry,
    record::{AnswerRecord, ClaimState},
    settings::{ClaimCounters, ClaimSettings},
    writer::{ShardWriter, WriterContext, WriterOutput},
};

/// The maximum number of refused requests whose claims are still to be released.
///
/// Beyond it, a claim stays in the store and its key can't be used until the claim expires. No request runs twice.
const MAX_PENDING_RELEASES: usize = 4_096;

/// An input of [`ClaimTable::handle`].
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A run-once request with an idempotency key arrived; answered by [`ClaimAction::Decision`].
    Claim {
        /// The request that is to run.
        id: RequestId,
        /// The client account that sent the request.
        account: AccountName,
        /// The idempotency key that the caller chose.
        key: Arc<str>,
        /// The digest of the request, which must be the same for all requests with the key.
        digest: RequestDigest,
    },
    /// A request that was allowed to run ended.
    Finish {
        /// The request that ended.
        id: RequestId,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
    /// A caller queries the state of a key; answered by [`ClaimAction::State`].
    Lookup {
        /// The request that queries the key.
        id: RequestId,
        /// The client account to which the key belongs.
        account: AccountName,
        /// The idempotency key that is queried.
        key: Arc<str>,
    },
    /// The routers that own shards or run requests have changed.
    Rosters {
        /// The VMs among which the ownership of the shards is divided, including this one.
        members: Vec<VmName>,
        /// The processes that are known to be alive, in all availability zones.
        live: Vec<NodeId>,
    },
    /// A peer sent a message.
    Peer {
        /// The VM that sent the message.
        from: VmName,
        /// The message as received.
        message: ClaimMessage,
    },
    /// An operation on the store ended.
    Store {
        /// The number from the [`ClaimAction::Submit`] that started the operation.
        op: OperationId,
        /// The reply of the store or the error.
        result: Result<OperationReply>,
    },
    /// Periodic call that drives time-outs and due writes.
    Tick,
}

/// The outcome of a request that was allowed to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The target answered with this body.
    Answered(Arc<[u8]>),
    /// The request may have reached the target at least in part, and its outcome can't be known.
    Unknown,
    /// No byte of the request has reached or will reach a target.
    NotRun,
}

/// An output of [`ClaimTable::handle`].
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// Apply a decision to a request.
    Decision {
        /// The request of the [`ClaimEvent::Claim`].
        id: RequestId,
        /// The decision, which is final.
        decision: ClaimDecision,
    },
    /// Return the state of a key to the caller that queried it.
    State {
        /// The request of the [`ClaimEvent::Lookup`].
        id: RequestId,
        /// The state of the key.
        state: KeyState,
    },
    /// Send a message to a peer.
    Send {
        /// The VM that receives the message.
        to: VmName,
        /// The message to send.
        message: ClaimMessage,
    },
    /// Submit an operation to the store client.
    Submit {
        /// The number of the operation, unique in this table.
        op: OperationId,
        /// The operation with its class and time-out.
        order: OperationSpec,
    },
}

/// The decision about a request that must not run twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The request may run once, immediately; [`ClaimEvent::Finish`] must follow.
    Run,
    /// The request that claimed the key was answered; its answer is sent again.
    Replay {
        /// The digest of the recorded answer.
        digest: RequestDigest,
        /// The recorded answer, or `None` if no live VM has cached its body.
        body: Option<Arc<[u8]>>,
    },
    /// Another request with the key is running or about to run; this one didn't run.
    Pending,
    /// The request that claimed the key may have run and its outcome can't be known. No request with the key will run.
    Unknown,
    /// The key was claimed by a request with another digest; this one didn't run.
    Mismatch,
    /// The claim could not be confirmed in time; the request didn't run and won't.
    NotRun {
        /// The time after which the caller may retry.
        retry_after: ClockSpan,
    },
}

/// The state of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// The key is not claimed.
    Absent,
    /// The request with this digest is running or about to run.
    Claimed(RequestDigest),
    /// The request with this digest was answered.
    Finished(RequestDigest, AnswerRecord),
    /// The request with this digest may have run; its outcome can't be known.
    Unknown(RequestDigest),
    /// The store did not answer in time.
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRelease {
    pub(crate) hash: ClaimHash,
    pub(crate) since: ClockTime,
}

/// The state machine of one router's claims.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    pub(crate) node_tag: u64,
    pub(crate) counters: ClaimCounters,
    pub(crate) attempts: BTreeMap<RequestId, ClaimAttempt>,
    pub(crate) timers: BTreeSet<(ClockTime, RequestId)>,
    /// Requests that didn't run and may have a claim in the store, which must be released.
    pub(crate) pending_releases: BTreeMap<RequestId, PendingRelease>,
    /// Recent requests that definitely didn't run and won't.
    pub(crate) recently_refused: BTreeSet<RequestId>,
    pub(crate) body_cache: BodyCache,
    pub(crate) live_nodes: BTreeSet<u64>,
    members: Vec<VmName>,
    writers: Vec<ShardWriter>,
    last_op: u64,
}

impl ClaimTable {
    /// Returns the table of a new process that knows no peers.
    pub fn new(settings: ClaimSettings) -> ClaimTable {
        ClaimTable {
            node_tag: settings.node.tag(),
            settings,
            counters: ClaimCounters::default(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_releases: BTreeMap::new(),
            recently_refused: BTreeSet::new(),
            body_cache: BodyCache::default(),
            live_nodes: BTreeSet::new(),
            members: Vec::new(),
            writers: (0..CLAIM_SHARDS).map(ShardWriter::new).collect(),
            last_op: 0,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: ClaimEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Claim { id, account, key, digest } => {
                let hash = ClaimHash::new(&account, &key);
                self.claim(now, id, hash, digest, actions);
            }
            ClaimEvent::Finish { id, outcome } => self.finish(now, id, outcome, actions),
            ClaimEvent::Lookup { id, account, key } => {
                let hash = ClaimHash::new(&account, &key);
                self.start(now, id, hash, ClaimOperation::Lookup, actions);
            }
            ClaimEvent::Rosters { members, live } => {
                self.members = members;
                self.live_nodes = live.iter().map(NodeId::tag).collect();
            }
            ClaimEvent::Peer { from, message } => self.handle_message(now, from, message, actions),
            ClaimEvent::Store { op, result } => self.handle_store_result(now, op, result, actions),
            ClaimEvent::Tick => {
                self.expire(now, actions);
                for shard in 0..CLAIM_SHARDS {
                    self.update_writer(now, shard, actions, |_, _| {});
                }
            }
        }
    }

    /// Returns the counters since the process started.
    pub fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    /// Returns the number of requests that wait for a claim, hold one, or whose final state is being recorded.
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the next time at which a tick has an effect, or `None` if there is none.
    pub fn next_deadline(&self) -> Option<ClockTime> {
        let writers = self.writers.iter().filter_map(|writer| writer.next_deadline(&self.settings));
        let timer = self.timers.first().map(|(at, _)| *at);
        writers.chain(timer).min()
    }

    fn claim(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        digest: RequestDigest,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.counters.claims += 1;
        if self.attempts.len() >= self.settings.max_attempts {
            let retry_after = self.settings.retry_after;
            self.counters.not_run += 1;
            let decision = ClaimDecision::NotRun { retry_after };
            actions.push(ClaimAction::Decision { id, decision });
            return;
        }
        self.start(now, id, hash, ClaimOperation::Claim { digest }, actions);
    }

    fn start(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        work: ClaimOperation,
        actions: &mut Vec<ClaimAction>,
    ) {
        let is_forwarded = self.owner(hash) != self.settings.node.vm;
        let wait =
            if is_forwarded { self.settings.forward_timeout } else { self.settings.claim_timeout };
        let phase = AttemptPhase::Requesting { since: now, is_forwarded };
        self.attempts.insert(id, ClaimAttempt { hash, work: work.clone(), phase });
        self.timers.insert((now + wait, id));
        self.route(now, id, hash, work, is_forwarded, actions);
    }

    /// Sends an operation to the shard's owner if `is_forwarded` is set, or adds it to this node's writer.
    pub(crate) fn route(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        work: ClaimOperation,
        is_forwarded: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        let entry = ClaimEntry { id, vm: self.settings.node.vm.clone(), hash, work, at: now };
        let owner = self.owner(hash);
        if is_forwarded && owner != self.settings.node.vm {
            actions.push(ClaimAction::Send { to: owner, message: ClaimMessage::Work(entry) });
        } else {
            let queued = QueuedEntry { requester: None, entry };
            self.update_writer(now, hash.shard(), actions, |writer, context| {
                writer.enqueue(queued, context)
            });
        }
    }

    /// Returns the VM that owns the key's shard, which is this VM while no roster is known.
    pub(crate) fn owner(&self, hash: ClaimHash) -> VmName {
        let owner = rendezvous::owner(u64::from(hash.shard()), &self.members);
        owner.map_or_else(|| self.settings.node.vm.clone(), |index| self.members[index].clone())
    }

    // Applies `change` to a shard's writer, advances the writer, and dispatches the resulting operations and replies.
    fn update_writer(
        &mut self,
        now: ClockTime,
        shard: u8,
        actions: &mut Vec<ClaimAction>,
        change: impl FnOnce(&mut ShardWriter, &mut WriterContext<'_>),
    ) {
        let writer = &mut self.writers[usize::from(shard)];
        let mut context = WriterContext {
            now,
            settings: &self.settings,
            counters: &mut self.counters,
            last_op: &mut self.last_op,
            output: WriterOutput::default(),
        };
        change(writer, &mut context);
        writer.advance(&mut context);
        let output = context.output;
        let submits = output.operations.into_iter();
        actions.extend(submits.map(|(op, order)| ClaimAction::Submit { op, order }));
        for answer in output.answers {
            let ClaimEntry { id, hash, .. } = answer.queued.entry;
            match answer.queued.requester {
                Some(to) => {
                    let message = ClaimMessage::Reply { id, hash, reply: answer.reply };
                    actions.push(ClaimAction::Send { to, message });
                }
                None => self.handle_reply(now, id, hash, answer.reply, actions),
            }
        }
    }

    fn handle_store_result(
        &mut self,
        now: ClockTime,
        op: OperationId,
        result: Result<OperationReply>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let shard = (0..CLAIM_SHARDS).find(|shard| self.writers[usize::from(*shard)].has_op(op));
        if let Some(shard) = shard {
            self.update_writer(now, shard, actions, |writer, context| {
                writer.handle_result(context, result)
            });
        }
    }

    fn handle_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: ClaimMessage,
        actions: &mut Vec<ClaimAction>,
    ) {
        match message {
            ClaimMessage::Work(entry) => {
                let shard = entry.hash.shard();
                let entry = ClaimEntry { at: now, ..entry };
                let queued = QueuedEntry { requester: Some(from), entry };
                self.update_writer(now, shard, actions, |writer, context| {
                    writer.enqueue(queued, context)
                });
            }
            ClaimMessage::Reply { id, hash, reply } => {
                self.handle_reply(now, id, hash, reply, actions);
            }
            ClaimMessage::BodyRequest { id, hash } => {
                let message = ClaimMessage::Body { id, body: self.body_cache.get(hash) };
                actions.push(ClaimAction::Send { to: from, message });
            }
            ClaimMessage::Body { id, body } => self.handle_body(id, body, actions),
        }
    }

    /// Schedules the release of the claim that a request which didn't run may have in the store.
    pub(crate) fn schedule_release(&mut self, now: ClockTime, id: RequestId, hash: ClaimHash) {
        self.recently_refused.insert(id);
        if self.recently_refused.len() > MAX_PENDING_RELEASES {
            self.recently_refused.pop_first();
        }
        if self.pending_releases.len() < MAX_PENDING_RELEASES
            && !self.pending_releases.contains_key(&id)
        {
            self.pending_releases.insert(id, PendingRelease { hash, since: now });
            self.timers.insert((now, id));
        }
    }

    /// Returns the final state of a request that ended here and whose record is not confirmed yet.
    pub(crate) fn recording_state(&self, id: RequestId) -> Option<&ClaimState> {
        match &self.attempts.get(&id)?.phase {
            AttemptPhase::Recording(state) => Some(state),
            _ => None,
        }
    }
}
