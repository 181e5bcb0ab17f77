//! One thread's share of the attempts.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

use awc::Client;
use godwitroad_base::RequestId;
use godwitroad_router::DispatchOrder;
use rustls::ClientConfig;
use tokio::sync::{mpsc::UnboundedReceiver, watch};

use super::{attempt::AttemptRun, target_client};
use crate::{core::CoreHandle, intake::IntakeRequest, telemetry::NodeTelemetry};

/// What a worker is told.
pub(crate) enum TargetCommand {
    Dispatch(DispatchOrder, Arc<IntakeRequest>),
    Cancel(RequestId, u32),
    Pause(RequestId, u32, bool),
}

/// How far an attempt may go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFlow {
    Running,
    Paused,
    Cancelled,
}

type FlowTable = Rc<RefCell<HashMap<(RequestId, u32), watch::Sender<AttemptFlow>>>>;

/// The attempts of one thread, with connections of their own.
pub(crate) struct TargetWorker {
    scheme: &'static str,
    client: Client,
    core: CoreHandle,
    telemetry: Arc<NodeTelemetry>,
    flows: FlowTable,
}

impl TargetWorker {
    pub(crate) fn new(
        tls: Option<&Arc<ClientConfig>>,
        core: CoreHandle,
        telemetry: Arc<NodeTelemetry>,
    ) -> TargetWorker {
        let (scheme, client) = target_client(tls);
        TargetWorker { scheme, client, core, telemetry, flows: FlowTable::default() }
    }

    /// Carries out commands until their senders are gone.
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

    fn dispatch(&self, order: DispatchOrder, request: Arc<IntakeRequest>) {
        let key = (order.id, order.attempt);
        let (sender, flow) = watch::channel(AttemptFlow::Running);
        self.flows.borrow_mut().insert(key, sender);
        let run = AttemptRun {
            scheme: self.scheme,
            client: self.client.clone(),
            core: self.core.clone(),
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
            // Nothing follows a cancel.
            sender.send_if_modified(|current| {
                let changes = *current != AttemptFlow::Cancelled && *current != flow;
                if changes {
                    *current = flow;
                }
                changes
            });
        }
    }
}
