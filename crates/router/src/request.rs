//! The requests that a router has taken and not yet ended.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockTime, NodeId, RequestId, TargetName};
use godwitroad_config::{KeyHash, PriorityClass, RepeatRule, RouteConfig};
use godwitroad_lifecycle::LifeStage;
use godwitroad_prefix::PrefixChain;
use godwitroad_queue::{QueuePriority, QueuedRequest};
use godwitroad_stream::StreamLog;

use crate::{claim::ClaimedAnswer, placement::PlacedAttempt};

/// What a router knows of one request from its arrival on.
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
    /// The tokens that are reserved under the account's rate.
    pub(crate) cost: u64,
    pub(crate) priority: PriorityClass,
    pub(crate) deadline: ClockTime,
    pub(crate) is_streaming: bool,
    pub(crate) idempotency_key: Option<Arc<str>>,
}

/// A request that is under way.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub(crate) facts: RequestFacts,
    // Taken out while a step consumes the stage; always present between two events.
    pub(crate) stage: Option<LifeStage>,
    pub(crate) log: StreamLog,
    pub(crate) caller: CallerState,
    pub(crate) claim: Option<ClaimedAnswer>,
    /// The request as the queue gave it out, from then until its end.
    pub(crate) dequeued: Option<QueuedRequest>,
    /// The target of the attempt that is under way.
    pub(crate) placed: Option<PlacedAttempt>,
    /// The targets whose attempts failed.
    pub(crate) failed_targets: Vec<TargetName>,
}

/// Whether a caller listens to a request's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerState {
    /// The caller is connected.
    Connected,
    /// The caller left at this time and may return.
    Left(ClockTime),
    /// The caller was told the end, or must not be told anything more.
    Done,
}

/// The requests of one router.
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

    /// Returns the request as the queue sees it.
    pub(crate) fn queued(&self, id: RequestId) -> QueuedRequest {
        QueuedRequest {
            id,
            // Requests without an account share one place in the queue.
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

    /// Returns whether the request waits for tokens, for its claim or for a target.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(
            self.stage,
            Some(LifeStage::Received(_) | LifeStage::Admitted(_) | LifeStage::Queued(_))
        )
    }

    /// Returns whether an attempt is under way.
    pub(crate) fn is_running(&self) -> bool {
        self.stage.is_some() && !self.is_waiting()
    }

    /// Returns the tokens that the request has used.
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

    /// Returns the id of this router's request number `serial`.
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

    /// Returns the ids of the requests that satisfy `test`.
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
