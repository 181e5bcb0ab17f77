//! The table of requests that have not ended.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockTime, NodeId, RequestId, TargetName};
use godwitroad_config::{KeyHash, PriorityClass, RepeatRule, RouteConfig};
use godwitroad_lifecycle::LifeStage;
use godwitroad_prefix::PrefixChain;
use godwitroad_quarantine::PartKey;
use godwitroad_queue::{QueuePriority, QueuedRequest};
use godwitroad_stream::StreamLog;

use crate::{claim::ClaimedAnswer, placement::PlacedAttempt};

/// The properties of a request that are known on arrival.
#[derive(Debug)]
pub(crate) struct RequestFacts {
    pub(crate) route: RouteConfig,
    pub(crate) path: String,
    pub(crate) account: Option<AccountName>,
    pub(crate) key: Option<KeyHash>,
    pub(crate) prompt: Arc<[u8]>,
    pub(crate) chain: PrefixChain,
    pub(crate) cache_salt: String,
    pub(crate) prompt_tokens: u64,
    /// The tokens reserved from the account's rate limit: prompt plus expected output.
    pub(crate) cost: u64,
    pub(crate) priority: PriorityClass,
    pub(crate) deadline: ClockTime,
    pub(crate) is_streaming: bool,
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// Recognizes the account's request when it comes again.
    pub(crate) repeat_key: Option<PartKey>,
}

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub(crate) facts: RequestFacts,
    // `None` only while a transition consumes the stage; always present between two events.
    pub(crate) stage: Option<LifeStage>,
    pub(crate) log: StreamLog,
    pub(crate) caller: CallerState,
    pub(crate) claim: Option<ClaimedAnswer>,
    /// The queue entry, from the time at which the request is dequeued until it is requeued or ends.
    pub(crate) dequeued: Option<QueuedRequest>,
    /// The running attempt and its target.
    pub(crate) placed: Option<PlacedAttempt>,
    /// The targets at which attempts failed.
    pub(crate) failed_targets: Vec<TargetName>,
    /// The targets whose events did not fit to the stream.
    pub(crate) foreign_targets: Vec<TargetName>,
}

/// Whether a caller receives the answer to its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerState {
    /// The caller is connected.
    Connected,
    /// The caller disconnected at this time and may resume the stream.
    Disconnected(ClockTime),
    /// The caller has received its last reply; nothing more may be sent.
    Done,
}

/// The requests of one router, by id.
#[derive(Debug)]
pub(crate) struct RequestTable {
    node_tag: u64,
    last_serial: u64,
    entries: BTreeMap<RequestId, RequestEntry>,
}

impl RequestFacts {
    pub(crate) fn repeat(&self) -> RepeatRule {
        self.route.repeat
    }

    /// Returns the queue entry for the request.
    pub(crate) fn queued(&self, id: RequestId) -> QueuedRequest {
        QueuedRequest {
            id,
            // Requests without an account share the queue of the empty account name.
            account: self.account.clone().unwrap_or_else(|| "".into()),
            priority: match self.priority {
                PriorityClass::Interactive => QueuePriority::Interactive,
                PriorityClass::Batch => QueuePriority::Batch,
                PriorityClass::Overnight => QueuePriority::Overnight,
            },
            tokens: self.cost,
            deadline: self.deadline,
        }
    }
}

impl RequestEntry {
    pub(crate) fn attempts(&self) -> u32 {
        self.stage.as_ref().map_or(0, LifeStage::attempts)
    }

    /// Returns whether the request is waiting for rate limit tokens, for its claim or for a target.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(
            self.stage,
            Some(LifeStage::Received(_) | LifeStage::Admitted(_) | LifeStage::Queued(_))
        )
    }

    /// Returns whether an attempt is running.
    pub(crate) fn is_running(&self) -> bool {
        self.stage.is_some() && !self.is_waiting()
    }

    /// Returns the number of prompt and output tokens that the request has used.
    pub(crate) fn used_tokens(&self) -> u64 {
        if self.attempts() == 0 {
            return 0;
        }
        self.facts.prompt_tokens.max(1) + self.log.tokens()
    }

    pub(crate) fn record_answer_header(&mut self, status: u16, content_type: &str) {
        if let Some(claim) = &mut self.claim {
            claim.start(status, content_type);
        }
    }

    pub(crate) fn record_answer_body(&mut self, bytes: &[u8]) {
        if let Some(claim) = &mut self.claim {
            claim.extend(bytes);
        }
    }
}

impl RequestTable {
    pub(crate) fn new(node: &NodeId) -> RequestTable {
        RequestTable { node_tag: node.tag(), last_serial: 0, entries: BTreeMap::new() }
    }

    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_serial += 1;
        self.id_of(self.last_serial)
    }

    /// Returns the id of the request with serial number `serial` in this process.
    pub(crate) fn id_of(&self, serial: u64) -> RequestId {
        RequestId { node: self.node_tag, serial }
    }

    pub(crate) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.entries.insert(id, entry);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestEntry> {
        self.entries.remove(&id)
    }

    /// Returns the ids of all requests that satisfy `test`.
    pub(crate) fn select(&self, test: impl Fn(&RequestEntry) -> bool) -> Vec<RequestId> {
        let matching = self.entries.iter().filter(|(_, entry)| test(entry));
        matching.map(|(&id, _)| id).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
