//! Saves in the store at which version of the targets' software streams began, while versions mix.

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_forward::OriginNotes;

use crate::{
    core::SharedCore,
    platform::{PlatformAdapter, StoreAnswer, StoreCall},
    store,
};

/// The minimum time between two writes of a router, and the part of it for each router of the fleet, so that all of them
/// make a bounded number of calls.
const MIN_SAVE_INTERVAL: ClockSpan = ClockSpan::from_ms(250);
const SAVE_INTERVAL_PER_MEMBER_MS: u64 = 25;

/// The lease of this run's entry.
struct SavedLease {
    id: u64,
    granted: ClockTime,
    length: ClockSpan,
}

/// Saves the origins of streams for as long as the process runs.
pub(crate) async fn run<P: PlatformAdapter>(core: SharedCore<P>) {
    let mut lease = None;
    loop {
        let members = core.read(|state| state.member_count() as u64);
        let interval = ClockSpan::from_ms(members * SAVE_INTERVAL_PER_MEMBER_MS);
        core.sleep(interval.max(MIN_SAVE_INTERVAL)).await;
        let Some(notes) = core.update(|state| state.take_unsaved_origins(core.now())) else {
            continue;
        };
        lease = save(&core, lease, notes).await;
        if lease.is_none() {
            core.metrics.count("origins.unsaved", 1);
            core.update(|state| state.record_unsaved_origins());
        }
    }
}

// Returns the lease under which the notes were saved.
async fn save<P: PlatformAdapter>(
    core: &SharedCore<P>,
    lease: Option<SavedLease>,
    notes: OriginNotes,
) -> Option<SavedLease> {
    let lease = match lease {
        Some(lease) => renew(core, lease).await?,
        None => grant(core).await?,
    };
    let (vm, incarnation) = {
        let settings = core.settings.borrow();
        (settings.forward.place.vm.clone(), settings.forward.incarnation)
    };
    let call = StoreCall::SaveOrigins { vm, incarnation, notes, lease: lease.id };
    match store::call(core, &call).await {
        Ok(StoreAnswer::Written { .. }) => Some(lease),
        Ok(_) | Err(_) => None,
    }
}

async fn grant<P: PlatformAdapter>(core: &SharedCore<P>) -> Option<SavedLease> {
    let granted = core.now();
    let length = core.read(|state| state.origin_span());
    match store::call(core, &StoreCall::Grant { length }).await {
        Ok(StoreAnswer::Granted { lease, length }) => {
            Some(SavedLease { id: lease, granted, length })
        }
        Ok(_) | Err(_) => None,
    }
}

// Renews the lease after a third of its length, so that the entry outlives the streams that it lists.
async fn renew<P: PlatformAdapter>(core: &SharedCore<P>, lease: SavedLease) -> Option<SavedLease> {
    let now = core.now();
    if now.since(lease.granted).as_ms() < lease.length.as_ms() / 3 {
        return Some(lease);
    }
    match store::call(core, &StoreCall::Renew { lease: lease.id }).await {
        Ok(StoreAnswer::Done) => Some(SavedLease { granted: now, ..lease }),
        Ok(_) | Err(_) => None,
    }
}
