//! Calls to the store for the ownership of orders.

use godwitroad_forward::ForwardEvent;
use godwitroad_orders::{TermAction, TermAnswer};

use crate::{
    core::SharedCore,
    port::{PlatformPort, StoreAnswer, StoreCall},
    store,
};

/// Makes the call and hands the answer to the decision state.
pub(crate) async fn call<P: PlatformPort>(core: SharedCore<P>, action: TermAction) {
    let answer = match action {
        TermAction::Acquire => acquire(&core).await,
        TermAction::Renew { lease } => renew(&core, lease).await,
    };
    core.handle(ForwardEvent::Term(answer));
}

async fn acquire<P: PlatformPort>(core: &SharedCore<P>) -> TermAnswer {
    let (vm, length) = {
        let settings = core.settings.borrow();
        (settings.forward.place.vm.clone(), settings.forward.term.lease)
    };
    let granted = core.now();
    let lease = match store::call(core, &StoreCall::Grant { length }).await {
        Ok(StoreAnswer::Granted { lease, .. }) => lease,
        Ok(StoreAnswer::Refused) => return TermAnswer::Refused,
        Ok(_) | Err(_) => return TermAnswer::Lost,
    };
    match store::call(core, &StoreCall::Own { vm, lease }).await {
        Ok(StoreAnswer::Written { revision }) => {
            TermAnswer::Acquired { lease, fence: revision, granted }
        }
        Ok(StoreAnswer::Refused | StoreAnswer::Conflict) => TermAnswer::Refused,
        Ok(_) | Err(_) => TermAnswer::Lost,
    }
}

async fn renew<P: PlatformPort>(core: &SharedCore<P>, lease: u64) -> TermAnswer {
    let from = core.now();
    match store::call(core, &StoreCall::Renew { lease }).await {
        Ok(StoreAnswer::Done) => TermAnswer::Renewed { from },
        Ok(StoreAnswer::Conflict) => TermAnswer::Refused,
        Ok(_) | Err(_) => TermAnswer::Lost,
    }
}
