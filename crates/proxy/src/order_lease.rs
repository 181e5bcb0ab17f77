//! Store calls for the order lease. Its holder is the order leader, the only router that sends rollout orders to
//! targets.

use godwitroad_base::StoreRevision;
use godwitroad_forward::ForwardEvent;
use godwitroad_orders::{TermAction, TermAnswer};

use crate::{
    core::SharedCore,
    platform::{PlatformAdapter, StoreAnswer, StoreCall},
    store,
};

/// Executes an action on the order lease and passes the answer to the decision state.
pub(crate) async fn call<P: PlatformAdapter>(core: SharedCore<P>, action: TermAction) {
    let answer = match action {
        TermAction::Acquire => acquire(&core).await,
        TermAction::Renew { lease } => renew(&core, lease).await,
        TermAction::Mark { fence, active } => set_active(&core, fence, active).await,
    };
    core.handle(ForwardEvent::Term(answer));
}

async fn acquire<P: PlatformAdapter>(core: &SharedCore<P>) -> TermAnswer {
    let (vm, length) = {
        let settings = core.settings.borrow();
        (settings.forward.place.vm.clone(), settings.forward.term.lease)
    };
    let requested_at = core.now();
    let lease = match store::call(core, &StoreCall::Grant { length }).await {
        Ok(StoreAnswer::Granted { lease, .. }) => lease,
        Ok(StoreAnswer::Refused) => return TermAnswer::Refused,
        Ok(_) | Err(_) => return TermAnswer::Lost,
    };
    match store::call(core, &StoreCall::BecomeLeader { vm, lease }).await {
        Ok(StoreAnswer::Written { revision }) => {
            let era = core.read(|state| state.store_era()).unwrap_or_default();
            let fence = StoreRevision::new(era, revision);
            TermAnswer::Acquired { lease, fence, granted: requested_at }
        }
        Ok(StoreAnswer::Refused | StoreAnswer::Conflict) => TermAnswer::Refused,
        Ok(_) | Err(_) => TermAnswer::Lost,
    }
}

async fn renew<P: PlatformAdapter>(core: &SharedCore<P>, lease: u64) -> TermAnswer {
    let sent_at = core.now();
    match store::call(core, &StoreCall::Renew { lease }).await {
        Ok(StoreAnswer::Done) => TermAnswer::Renewed { from: sent_at },
        Ok(StoreAnswer::Conflict) => TermAnswer::Refused,
        Ok(_) | Err(_) => TermAnswer::Lost,
    }
}

async fn set_active<P: PlatformAdapter>(
    core: &SharedCore<P>,
    fence: StoreRevision,
    active: bool,
) -> TermAnswer {
    match store::call(core, &StoreCall::SetLeaderActive { fence, active }).await {
        Ok(StoreAnswer::Written { .. }) => TermAnswer::Marked { active },
        Ok(StoreAnswer::Conflict) => TermAnswer::Refused,
        Ok(_) | Err(_) => TermAnswer::Lost,
    }
}

/// Releases the order lease when the process stops, so that another router need not wait until it expires.
pub(crate) async fn release<P: PlatformAdapter>(core: &SharedCore<P>) {
    let Some(lease) = core.read(|state| state.order_lease(core.now())) else { return };
    if let Err(error) = store::call(core, &StoreCall::Revoke { lease }).await {
        core.log.warn("order_lease_not_ended", &format!("lease={lease} error={error}"));
    }
}
