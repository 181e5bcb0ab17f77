//! Runs the attempts that are assigned to one thread.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

use awc::Client;
use godwitroad_base::RequestId;
use godwitroad_router::DispatchOrder;
use rustls::ClientConfig;
use tokio::sync::{mpsc::UnboundedReceiver, watch};

use super::{attempt::AttemptTask, target_client};
use crate::{event_loop::EventLoopHandle, intake::CallerRequest, telemetry::NodeTelemetry};

/// A command to a worker; the number is that of the attempt.
pub(crate) enum TargetCommand {
    Dispatch(DispatchOrder, Arc<CallerRequest>),
    Cancel(RequestId, u32),
    Pause(RequestId, u32, bool),
}

/// The flow control state of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFlow {
    Running,
    Paused,
    Cancelled,
}

type FlowTable = Rc<RefCell<HashMap<(RequestId, u32), watch::Sender<AttemptFlow>>>>;

/// The attempts of one thread, which has its own connections.
pub(crate) struct TargetWorker {
    scheme: &'static str,
    client: Client,
    event_loop: EventLoopHandle,
    telemetry: Arc<NodeTelemetry>,
    flows: FlowTable,
}

impl TargetWorker {
    pub(crate) fn new(
        tls: Option<&Arc<ClientConfig>>,
        event_loop: EventLoopHandle,
        telemetry: Arc<NodeTelemetry>,
    ) -> TargetWorker {
        let (scheme, client) = target_client(tls);
        TargetWorker { scheme, client, event_loop, telemetry, flows: FlowTable::default() }
    }

    /// Handles commands until the senders are dropped.
    pub(crate) async fn run(self, mut commands: UnboundedReceiver<TargetCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                TargetCommand::Dispatch(order, request) => self.dispatch(order, request),
                TargetCommand::Cancel(id, attempt) => {
                    self.set_flow(id, attempt, AttemptFlow::Cancelled);
                }
                TargetCommand::Pause(id, attempt, paused) => {
                    let flow = if paused { AttemptFlow::Paused } else { AttemptFlow::Running };
                    self.set_flow(id, attempt, flow);
                }
            }
        }
    }

    fn dispatch(&self, order: DispatchOrder, request: Arc<CallerRequest>) {
        let key = (order.id, order.attempt);
        let (sender, flow) = watch::channel(AttemptFlow::Running);
        self.flows.borrow_mut().insert(key, sender);
        let run = AttemptTask {
            scheme: self.scheme,
            client: self.client.clone(),
            event_loop: self.event_loop.clone(),
            telemetry: self.telemetry.clone(),
            order,
            request,
            flow,
        };
        let flows = self.flows.clone();
        actix_rt::spawn(async move {
            run.run().await;
            flows.borrow_mut().remove(&key);
        });
    }

    fn set_flow(&self, id: RequestId, attempt: u32, flow: AttemptFlow) {
        if let Some(sender) = self.flows.borrow().get(&(id, attempt)) {
            // `Cancelled` is final.
            sender.send_if_modified(|current| {
                let is_change = *current != AttemptFlow::Cancelled && *current != flow;
                if is_change {
                    *current = flow;
                }
                is_change
            });
        }
    }
}
