//! The state machine of one router's claims: those of its own requests, and the shards that it owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, RequestId, VmName, rendezvous};
use godwitroad_store::{OperationId, OperationReply, OperationSpec, Result};

use crate::{
    attempt::{AttemptPhase, ClaimAttempt},
    bodies::BodyCache,
    key::{CLAIM_SHARDS, ClaimHash, RequestDigest},
    merge::{ClaimEntry, ClaimWork},
    message::ClaimMessage,
    record::{AnswerRecord, ClaimState},
    settings::{ClaimCounters, ClaimSettings},
    waiters::ClaimWaiter,
    writer::{ShardWriter, WriterContext, WriterOutput},
};

/// The largest number of refused requests whose claims are still to be released.
///
/// A claim beyond it stays in the store and its key can't be used until the claim expires; nothing runs twice.
const RELEASE_LIMIT: usize = 4_096;

/// An event that [`ClaimTable::handle`] takes.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A run-once request with an idempotency key wants to run; answered by [`ClaimAction::Decision`].
    Claim {
        /// The request.
        id: RequestId,
        /// The client account.
        account: AccountName,
        /// The idempotency key.
        key: Arc<str>,
        /// The digest of the request.
        digest: RequestDigest,
    },
    /// A request that was told to run ended.
    Finish {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: ClaimOutcome,
    },
    /// A caller asks for the state of a key; answered by [`ClaimAction::State`].
    Lookup {
        /// The request that asks.
        id: RequestId,
        /// The client account.
        account: AccountName,
        /// The idempotency key.
        key: Arc<str>,
    },
    /// The members of the own zone's roster, and all processes known to run in any zone.
    Rosters {
        /// The members of the own zone, the own VM included.
        members: Vec<VmName>,
        /// The processes that run.
        live: Vec<NodeId>,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: VmName,
        /// The message.
        message: ClaimMessage,
    },
    /// An operation on the store ended.
    Store {
        /// The operation.
        op: OperationId,
        /// The result.
        result: Result<OperationReply>,
    },
    /// Time passed.
    Tick,
}

/// How a request that was told to run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The target answered.
    Answered(Arc<[u8]>),
    /// A byte of the request may have reached the target, and its outcome can't be known.
    Unknown,
    /// No byte of the request reached a target, and none will.
    NotRun,
}

/// An action that [`ClaimTable::handle`] asks for.
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// What becomes of a request.
    Decision {
        /// The request.
        id: RequestId,
        /// The verdict.
        decision: ClaimDecision,
    },
    /// The state of a key that a caller asked for.
    State {
        /// The request that asked.
        id: RequestId,
        /// The state.
        state: KeyState,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: ClaimMessage,
    },
    /// Submit an operation to the store client.
    Submit {
        /// The operation's number.
        op: OperationId,
        /// The operation.
        order: OperationSpec,
    },
}

/// What becomes of a request that must not run twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The request may run, now and once; [`ClaimEvent::Finish`] must follow.
    Run,
    /// The key's request ran to its end; the body is missing when no VM holds it any more.
    Replay {
        /// The digest of the answer.
        digest: RequestDigest,
        /// The answer.
        body: Option<Arc<[u8]>>,
    },
    /// Another request with the key runs or is about to; this one didn't run.
    Pending,
    /// The key's request may have run; its outcome can't be known, and no request with the key will run.
    Unknown,
    /// The key was used for a request with another digest; this one didn't run.
    Mismatch,
    /// The claim couldn't be made certain; the request didn't run and won't.
    NotRun {
        /// The time after which the caller may try again.
        retry_after: ClockSpan,
    },
}

/// The state of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// Nobody has claimed the key.
    Absent,
    /// The request with this digest is running or about to.
    Claimed(RequestDigest),
    /// The request with this digest ran to its end.
    Finished(RequestDigest, AnswerRecord),
    /// The request with this digest may have run.
    Unknown(RequestDigest),
    /// The store couldn't be reached in time.
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct OrphanClaim {
    pub(crate) hash: ClaimHash,
    pub(crate) since: ClockTime,
}

/// The state machine of one router's claims.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    pub(crate) tag: u64,
    pub(crate) counters: ClaimCounters,
    pub(crate) attempts: BTreeMap<RequestId, ClaimAttempt>,
    pub(crate) timers: BTreeSet<(ClockTime, RequestId)>,
    /// Refused requests that may have a claim in the store.
    pub(crate) orphans: BTreeMap<RequestId, OrphanClaim>,
    /// The last requests that certainly didn't run and won't.
    pub(crate) refused: BTreeSet<RequestId>,
    pub(crate) bodies: BodyCache,
    pub(crate) live: BTreeSet<u64>,
    members: Vec<VmName>,
    writers: Vec<ShardWriter>,
    last_op: u64,
}

impl ClaimTable {
    /// Returns the table of a process that starts and knows no peers.
    pub fn new(settings: ClaimSettings) -> ClaimTable {
        ClaimTable {
            tag: settings.node.tag(),
            settings,
            counters: ClaimCounters::default(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            orphans: BTreeMap::new(),
            refused: BTreeSet::new(),
            bodies: BodyCache::default(),
            live: BTreeSet::new(),
            members: Vec::new(),
            writers: (0..CLAIM_SHARDS).map(ShardWriter::new).collect(),
            last_op: 0,
        }
    }

    /// Takes an event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: ClaimEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Claim { id, account, key, digest } => {
                let hash = ClaimHash::new(&account, &key);
                self.claim(now, id, hash, digest, actions);
            }
            ClaimEvent::Finish { id, end } => self.finish(now, id, end, actions),
            ClaimEvent::Lookup { id, account, key } => {
                let hash = ClaimHash::new(&account, &key);
                self.start(now, id, hash, ClaimWork::Lookup, actions);
            }
            ClaimEvent::Rosters { members, live } => {
                self.members = members;
                self.live = live.iter().map(NodeId::tag).collect();
            }
            ClaimEvent::Peer { from, message } => self.take_message(now, from, message, actions),
            ClaimEvent::Store { op, result } => self.take_result(now, op, result, actions),
            ClaimEvent::Tick => {
                self.expire(now, actions);
                for shard in 0..CLAIM_SHARDS {
                    self.work(now, shard, actions, |_, _| {});
                }
            }
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    /// Returns the number of requests that wait for a claim, hold one, or whose end is being recorded.
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the next time at which a tick changes something, or `None` when nothing waits.
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
        self.start(now, id, hash, ClaimWork::Claim { digest }, actions);
    }

    fn start(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        work: ClaimWork,
        actions: &mut Vec<ClaimAction>,
    ) {
        let is_forwarded = self.owner(hash) != self.settings.node.vm;
        let wait = if is_forwarded { self.settings.forward_wait } else { self.settings.claim_wait };
        let phase = AttemptPhase::Asking { since: now, is_forwarded };
        self.attempts.insert(id, ClaimAttempt { hash, work: work.clone(), phase });
        self.timers.insert((now + wait, id));
        self.route(now, id, hash, work, is_forwarded, actions);
    }

    /// Hands work to the shard's owner, or to the own writer.
    pub(crate) fn route(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        work: ClaimWork,
        is_forwarded: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        let entry = ClaimEntry { id, vm: self.settings.node.vm.clone(), hash, work, at: now };
        let owner = self.owner(hash);
        if is_forwarded && owner != self.settings.node.vm {
            actions.push(ClaimAction::Send { to: owner, message: ClaimMessage::Work(entry) });
        } else {
            let waiter = ClaimWaiter { from: None, entry };
            self.work(now, hash.shard(), actions, |writer, context| writer.push(waiter, context));
        }
    }

    /// Returns the VM of the own zone that writes the key's shard; the own VM while no roster is known.
    pub(crate) fn owner(&self, hash: ClaimHash) -> VmName {
        let owner = rendezvous::owner(u64::from(hash.shard()), &self.members);
        owner.map_or_else(|| self.settings.node.vm.clone(), |index| self.members[index].clone())
    }

    // Changes a shard's writer, moves its work on, and hands out what comes of it.
    fn work(
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
        let submits = output.orders.into_iter();
        actions.extend(submits.map(|(op, order)| ClaimAction::Submit { op, order }));
        for answer in output.answers {
            let ClaimEntry { id, hash, .. } = answer.waiter.entry;
            match answer.waiter.from {
                Some(to) => {
                    let message = ClaimMessage::Reply { id, hash, reply: answer.reply };
                    actions.push(ClaimAction::Send { to, message });
                }
                None => self.take_reply(now, id, hash, answer.reply, actions),
            }
        }
    }

    fn take_result(
        &mut self,
        now: ClockTime,
        op: OperationId,
        result: Result<OperationReply>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let shard = (0..CLAIM_SHARDS).find(|shard| self.writers[usize::from(*shard)].has_op(op));
        if let Some(shard) = shard {
            self.work(now, shard, actions, |writer, context| writer.take(context, result));
        }
    }

    fn take_message(
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
                let waiter = ClaimWaiter { from: Some(from), entry };
                self.work(now, shard, actions, |writer, context| writer.push(waiter, context));
            }
            ClaimMessage::Reply { id, hash, reply } => {
                self.take_reply(now, id, hash, reply, actions);
            }
            ClaimMessage::BodyRequest { id, hash } => {
                let message = ClaimMessage::Body { id, body: self.bodies.get(hash) };
                actions.push(ClaimAction::Send { to: from, message });
            }
            ClaimMessage::Body { id, body } => self.take_body(id, body, actions),
        }
    }

    /// Remembers that a refused request may have a claim in the store, which must be removed.
    pub(crate) fn orphan(&mut self, now: ClockTime, id: RequestId, hash: ClaimHash) {
        self.refused.insert(id);
        if self.refused.len() > RELEASE_LIMIT {
            self.refused.pop_first();
        }
        if self.orphans.len() < RELEASE_LIMIT && !self.orphans.contains_key(&id) {
            self.orphans.insert(id, OrphanClaim { hash, since: now });
            self.timers.insert((now, id));
        }
    }

    /// Records the end of a request, or returns the recorded state that a key's own request has reached here.
    pub(crate) fn ended_here(&self, id: RequestId) -> Option<&ClaimState> {
        match &self.attempts.get(&id)?.phase {
            AttemptPhase::Ended(state) => Some(state),
            _ => None,
        }
    }
}
