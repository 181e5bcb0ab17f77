//! The requests that a router has taken and not yet ended.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockTime, NodeId, RequestId, TargetName};
use godwitroad_config::{
    KeyHash, ModelConfig, PriorityClass, RepeatRule, RouteConfig, ServiceKind,
};
use godwitroad_life::LifeStage;
use godwitroad_stream::StreamLog;

use crate::claim::ClaimedAnswer;

/// What a router knows of one request from its arrival on.
#[derive(Debug)]
pub(crate) struct RequestFacts {
    pub(crate) route: RouteConfig,
    pub(crate) path: String,
    pub(crate) kind: ServiceKind,
    pub(crate) account: Option<AccountName>,
    pub(crate) key: Option<KeyHash>,
    pub(crate) model: Option<ModelConfig>,
    pub(crate) prompt: Arc<[u8]>,
    pub(crate) priority: PriorityClass,
    pub(crate) deadline: ClockTime,
    pub(crate) streams: bool,
}

/// A request that is under way.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub(crate) facts: RequestFacts,
    // Taken out while a step consumes the stage; always present between two events.
    pub(crate) stage: Option<LifeStage>,
    pub(crate) log: StreamLog,
    pub(crate) target: Option<TargetName>,
    pub(crate) caller: CallerState,
    pub(crate) claim: Option<ClaimedAnswer>,
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
    tag: u64,
    last: u64,
    entries: BTreeMap<RequestId, RequestEntry>,
}

impl RequestFacts {
    pub(crate) fn repeat(&self) -> RepeatRule {
        self.route.repeat
    }
}

impl RequestEntry {
    pub(crate) fn attempts(&self) -> u32 {
        self.stage.as_ref().map_or(0, LifeStage::attempts)
    }

    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Some(LifeStage::Queued(_)))
    }

    /// Returns whether the request waits, for its claim or for a target.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.stage, Some(LifeStage::Admitted(_) | LifeStage::Queued(_)))
    }

    /// Returns whether an attempt is under way.
    pub(crate) fn is_running(&self) -> bool {
        self.stage.is_some() && !self.is_waiting()
    }

    pub(crate) fn keep_header(&mut self, status: u16, content_type: &str) {
        if let Some(claim) = &mut self.claim {
            claim.start(status, content_type);
        }
    }

    pub(crate) fn keep_answer(&mut self, bytes: &[u8]) {
        if let Some(claim) = &mut self.claim {
            claim.extend(bytes);
        }
    }
}

impl RequestTable {
    pub(crate) fn new(node: &NodeId) -> RequestTable {
        RequestTable { tag: node.tag(), last: 0, entries: BTreeMap::new() }
    }

    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last += 1;
        RequestId { node: self.tag, serial: self.last }
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

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestEntry)> {
        self.entries.iter().map(|(&id, entry)| (id, entry))
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
