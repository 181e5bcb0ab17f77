//! The one place through which a router's parts call the store.
//!
//! Some parts use the store client, which settles lost answers for them; others emit calls of their own and settle
//! them themselves. Both number their calls from one, so that the calls get numbers of the router here.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_store::{CallId, ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent};

/// The owner of an operation of the store client.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StoreTag {
    Claims(OperationId),
    Sync(OperationId),
}

/// The owner of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOwner {
    Client,
    Member,
    Rates,
}

/// The calls of all parts.
#[derive(Debug)]
pub(crate) struct StoreCalls {
    client: StoreClient<StoreTag>,
    calls: BTreeMap<CallId, (CallOwner, CallId)>,
    last_direct_call: u64,
}

/// The first number of the calls that don't go through the client; the client numbers its own from one.
const FIRST_DIRECT_CALL: u64 = 1 << 48;

impl StoreCalls {
    pub(crate) fn new(settings: ClientSettings, random: SeededRandom) -> StoreCalls {
        let client = StoreClient::new(settings, random);
        StoreCalls { client, calls: BTreeMap::new(), last_direct_call: FIRST_DIRECT_CALL }
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.client.is_reachable()
    }

    pub(crate) fn handle(
        &mut self,
        now: ClockTime,
        event: StoreEvent<StoreTag>,
    ) -> Vec<StoreAction<StoreTag>> {
        let mut actions = Vec::new();
        self.client.handle(now, event, &mut actions);
        actions
    }

    /// Returns the router's number for call `call` of `owner`.
    pub(crate) fn register_direct_call(&mut self, owner: CallOwner, call: CallId) -> CallId {
        self.last_direct_call += 1;
        self.calls.insert(CallId(self.last_direct_call), (owner, call));
        CallId(self.last_direct_call)
    }

    /// Returns the owner of an ended call and its own number for it.
    pub(crate) fn resolve(&mut self, call: CallId) -> Option<(CallOwner, CallId)> {
        if call.0 < FIRST_DIRECT_CALL {
            return Some((CallOwner::Client, call));
        }
        self.calls.remove(&call)
    }
}
