//! Claim tables that share a store which replies immediately.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use godwitroad_base::{ClockSpan, ClockTime, NodeId, RequestId, VmName};
use godwitroad_idempotency::{
    ClaimAction, ClaimDecision, ClaimEvent, ClaimSettings, ClaimTable, KeyState,
};
use godwitroad_store::{
    OperationReply, StoreOperation, StoreReply, StoreRequest, model::StoreModel,
};

/// Claim tables of one availability zone, their store and the decisions they made.
#[derive(Debug)]
pub(crate) struct Fixture {
    tables: Vec<ClaimTable>,
    incarnations: Vec<u64>,
    settings: ClaimSettings,
    model: StoreModel,
    now: ClockTime,
    serial: u64,
    decisions: Vec<(RequestId, ClaimDecision)>,
    keys: BTreeMap<RequestId, Arc<str>>,
    pub(crate) states: Vec<KeyState>,
}

impl Fixture {
    pub(crate) fn new(tables: usize, settings: ClaimSettings) -> Fixture {
        let mut fixture = Fixture {
            tables: Vec::new(),
            incarnations: vec![1; tables],
            settings,
            model: StoreModel::new(),
            now: ClockTime::from_ms(1_000),
            serial: 0,
            decisions: Vec::new(),
            keys: BTreeMap::new(),
            states: Vec::new(),
        };
        for index in 0..tables {
            let table = fixture.build(index);
            fixture.tables.push(table);
        }
        fixture.notify_rosters();
        fixture
    }

    pub(crate) fn node(&self, index: usize) -> NodeId {
        NodeId::new(vm(index), self.incarnations[index])
    }

    fn build(&self, index: usize) -> ClaimTable {
        ClaimTable::new(ClaimSettings { node: self.node(index), ..self.settings.clone() })
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.tables[index] = self.build(index);
        self.notify_rosters();
    }

    pub(crate) fn next_id(&mut self, index: usize) -> RequestId {
        self.serial += 1;
        RequestId { node: self.node(index).tag(), serial: self.serial }
    }

    fn notify_rosters(&mut self) {
        let indices = 0..self.incarnations.len();
        let live: Vec<NodeId> = indices.clone().map(|index| self.node(index)).collect();
        for index in indices.clone() {
            let members = indices.clone().map(vm).collect();
            self.drive(index, ClaimEvent::Rosters { members, live: live.clone() });
        }
    }

    /// Passes an event to a table and advances the clock by two seconds, with a tick of all tables each 10 ms.
    pub(crate) fn drive(&mut self, index: usize, event: ClaimEvent) {
        if let ClaimEvent::Claim { id, key, .. } = &event {
            self.keys.insert(*id, key.clone());
        }
        self.step(index, event);
        for _ in 0..200 {
            self.now += ClockSpan::from_ms(10);
            for table in 0..self.tables.len() {
                self.step(table, ClaimEvent::Tick);
            }
        }
    }

    /// Passes an event to a table and executes all resulting actions without advancing the clock.
    fn step(&mut self, index: usize, event: ClaimEvent) {
        let mut events = VecDeque::from([(index, event)]);
        while let Some((index, event)) = events.pop_front() {
            let Some(table) = self.tables.get_mut(index) else { continue };
            let mut actions = Vec::new();
            table.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    ClaimAction::Decision { id, decision } => self.decisions.push((id, decision)),
                    ClaimAction::State { state, .. } => self.states.push(state),
                    ClaimAction::Submit { op, order } => {
                        let result = Ok(self.apply(&order.operation));
                        events.push_back((index, ClaimEvent::Store { op, result }));
                    }
                    ClaimAction::Send { to, message } => {
                        let to = (0..self.tables.len()).find(|index| vm(*index) == to);
                        let from = vm(index);
                        events.extend(to.map(|to| (to, ClaimEvent::Peer { from, message })));
                    }
                }
            }
        }
    }

    /// Sets the members of the zone in one table only.
    pub(crate) fn notify_roster(&mut self, index: usize, members: &[usize]) {
        let live = (0..self.incarnations.len()).map(|index| self.node(index)).collect();
        let members = members.iter().copied().map(vm).collect();
        self.drive(index, ClaimEvent::Rosters { members, live });
    }

    /// Advances the clock without a tick.
    pub(crate) fn advance_clock(&mut self, span: ClockSpan) {
        self.now += span;
    }

    pub(crate) fn key_of(&self, id: RequestId) -> Option<&Arc<str>> {
        self.keys.get(&id)
    }

    /// Returns the decision about a request; panics if there are several.
    pub(crate) fn decision(&self, id: RequestId) -> Option<&ClaimDecision> {
        let mut decisions = self.decisions.iter().filter(|(other, _)| *other == id);
        let decision = decisions.next().map(|(_, decision)| decision);
        assert!(decisions.next().is_none(), "{id} had two decisions");
        decision
    }

    fn apply(&mut self, operation: &StoreOperation) -> OperationReply {
        let now = self.now;
        let request = match operation.clone() {
            StoreOperation::Get { key } => StoreRequest::Get { key },
            StoreOperation::List { prefix } => StoreRequest::List { prefix },
            StoreOperation::Cas { key, value, expected, lease, .. } => {
                StoreRequest::Put { key, value, expected: Some(expected), lease }
            }
            StoreOperation::Delete { key, expected } => StoreRequest::Delete { key, expected },
            StoreOperation::Grant { ttl } => StoreRequest::Grant { ttl },
            StoreOperation::KeepAlive { lease } => StoreRequest::KeepAlive { lease },
            StoreOperation::Watch { .. } => unreachable!("claims use no watch"),
        };
        match self.model.apply(now, &request).expect("all requests except watches have a reply") {
            StoreReply::Value(entry) => OperationReply::Value(entry),
            StoreReply::Entries { entries, latest_version, .. } => {
                OperationReply::Entries { entries, latest_version }
            }
            StoreReply::Written(version) => OperationReply::Written { version, entry: None },
            StoreReply::Conflict(entry) => OperationReply::Conflict(entry),
            StoreReply::Lease { lease, ttl } => OperationReply::Lease { lease, until: now + ttl },
            StoreReply::LeaseNotFound => OperationReply::LeaseNotFound,
            StoreReply::Compacted => unreachable!("claims use no watch"),
        }
    }
}

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}
