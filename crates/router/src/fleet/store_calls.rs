//! Assigns ids that are unique in the router to the store calls of all components.
//!
//! Some components use the store client, which resolves calls whose outcome is unknown. Others call the store directly
//! and resolve such calls themselves. As both number their calls from one, direct calls get new ids here.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_store::{CallId, ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent};

/// The component that submitted an operation to the store client, and its id for the operation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StoreTag {
    Claims(OperationId),
    Sync(OperationId),
}

/// The component that issued a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOwner {
    Client,
    Member,
    Rates,
}

/// The store client and the pending direct calls.
#[derive(Debug)]
pub(crate) struct StoreCalls {
    client: StoreClient<StoreTag>,
    calls: BTreeMap<CallId, (CallOwner, CallId)>,
    last_direct_call: u64,
}

/// The base of the ids of direct calls, far above those of the client, which start from one.
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

    /// Returns a new id for the direct call `call` of `owner`.
    pub(crate) fn register_direct_call(&mut self, owner: CallOwner, call: CallId) -> CallId {
        self.last_direct_call += 1;
        self.calls.insert(CallId(self.last_direct_call), (owner, call));
        CallId(self.last_direct_call)
    }

    /// Returns the owner of a completed call and the owner's id for it; `None` if the call is unknown.
    pub(crate) fn resolve(&mut self, call: CallId) -> Option<(CallOwner, CallId)> {
        if call.0 < FIRST_DIRECT_CALL {
            return Some((CallOwner::Client, call));
        }
        self.calls.remove(&call)
    }
}
