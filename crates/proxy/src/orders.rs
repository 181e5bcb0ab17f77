//! Calls to targets during a rollout of model weights: reports of the loaded versions, and orders to load another one.

use godwitroad_base::{ClockSpan, TargetName};
use godwitroad_forward::ForwardEvent;
use godwitroad_orders::{WeightAction, WeightAnswer, WeightOrder, WeightReport};
use http::StatusCode;

use crate::{core::SharedCore, platform::PlatformAdapter};

/// The time limit of a call to a target. It is shorter than the time limit of the rollout plan. A slower order is
/// cancelled, so that it can't arrive after this router's order lease has expired.
const CALL_TIMEOUT: ClockSpan = ClockSpan::from_ms(500);

/// Executes one action of the rollout and passes the outcome to the decision state.
pub(crate) async fn execute<P: PlatformAdapter>(
    core: SharedCore<P>,
    action: WeightAction,
    fence: u64,
) {
    let event = match action {
        WeightAction::FetchReport { target } => {
            let report = fetch_report(&core, &target).await;
            ForwardEvent::WeightReport { target, report }
        }
        WeightAction::Send(order) => {
            let answer = send_order(&core, &order, fence).await;
            ForwardEvent::WeightAnswer { target: order.target, answer }
        }
    };
    core.handle(event);
}

async fn fetch_report<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: &TargetName,
) -> Option<WeightReport> {
    let address = core.read(|state| state.target(target).map(|record| record.address))?;
    let call = core
        .client
        .call(address, core.platform.report_request(), core.deadline(CALL_TIMEOUT))
        .await;
    let reason = match call {
        Ok((StatusCode::OK, body)) => match core.platform.read_report(&body) {
            Ok(report) => return Some(report),
            Err(error) => error.to_string(),
        },
        Ok((status, _)) => format!("status {status}"),
        Err(error) => error.to_string(),
    };
    core.log.warn("report_failed", &format!("target={target} error={reason}"));
    None
}

async fn send_order<P: PlatformAdapter>(
    core: &SharedCore<P>,
    order: &WeightOrder,
    fence: u64,
) -> WeightAnswer {
    let address = core.read(|state| state.target(&order.target).map(|record| record.address));
    let Some(address) = address else { return WeightAnswer::Refused };
    let vm = core.settings.borrow().forward.place.vm.clone();
    let request = core.platform.order_request(order, &vm, fence);
    match core.client.call(address, request, core.deadline(CALL_TIMEOUT)).await {
        Ok((status, _)) => core.platform.read_order(status),
        Err(_) => WeightAnswer::Lost,
    }
}
