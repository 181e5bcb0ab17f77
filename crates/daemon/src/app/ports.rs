//! Where the core's actions go.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{RegionName, RequestId, VmName};
use godwitroad_peers::{PeerAddress, PeerHub};
use godwitroad_router::{DispatchOrder, PeerEndpoint, PeerMessage, StateChange};
use godwitroad_store::{CallId, StoreFailure, StoreRequest};
use tokio::sync::{mpsc::UnboundedSender, watch};

use super::AppPhase;
use crate::{
    core::{CoreHandle, CorePorts},
    decision::PollTarget,
    intake::IntakeRequest,
    peering::RouterMessage,
    target::TargetCommand,
    telemetry::NodeTelemetry,
};

/// The adapters as the core sees them.
pub(super) struct AppPorts {
    pub(super) targets: Vec<UnboundedSender<TargetCommand>>,
    pub(super) polls: UnboundedSender<Vec<PollTarget>>,
    pub(super) store: Option<UnboundedSender<(CallId, StoreRequest)>>,
    /// The peers that the settings name.
    pub(super) known: Vec<PeerAddress>,
    pub(super) hub: Arc<PeerHub<RouterMessage>>,
    pub(super) core: CoreHandle,
    pub(super) telemetry: Arc<NodeTelemetry>,
    pub(super) phase: Arc<watch::Sender<AppPhase>>,
}

impl AppPorts {
    /// Gives a command to the thread that holds the request's attempts.
    fn command(&self, id: RequestId, command: TargetCommand) {
        let count = self.targets.len() as u64;
        // A remainder of a small count fits; the threads end only with the daemon.
        let _ = self.targets[(id.serial % count) as usize].send(command);
    }
}

impl CorePorts for AppPorts {
    fn dispatch(&mut self, order: DispatchOrder, request: Arc<IntakeRequest>) {
        self.command(order.id, TargetCommand::Dispatch(order, request));
    }

    fn cancel(&mut self, id: RequestId, attempt: u32) {
        self.command(id, TargetCommand::Cancel(id, attempt));
    }

    fn pause(&mut self, id: RequestId, attempt: u32, paused: bool) {
        self.command(id, TargetCommand::Pause(id, attempt, paused));
    }

    fn peer(&mut self, to: VmName, message: PeerMessage) {
        self.hub.send(&to, RouterMessage(message));
    }

    fn peers(&mut self, places: Vec<(PeerEndpoint, Option<RegionName>)>) {
        let mut peers: BTreeMap<VmName, PeerAddress> =
            self.known.iter().map(|peer| (peer.vm.clone(), peer.clone())).collect();
        for (place, region) in places {
            // A place that is no IP address and port can't be reached; the state learns it from the silence.
            let Ok(address) = place.address.parse() else { continue };
            // Without a known region the bytes count as sent to another one, which is what is billed.
            let region = region.unwrap_or_else(|| "".into());
            peers.insert(place.vm.clone(), PeerAddress { vm: place.vm, region, address });
        }
        self.hub.set_peers(peers.into_values().collect());
    }

    fn store(&mut self, call: CallId, request: StoreRequest) {
        let sent = self.store.as_ref().is_some_and(|store| store.send((call, request)).is_ok());
        if !sent {
            // A daemon without a store reaches none.
            let outcome = Err(StoreFailure::NotSent);
            self.core.event(godwitroad_router::RouterEvent::Store { call, outcome });
        }
    }

    fn poll(&mut self, targets: Vec<PollTarget>) {
        let _ = self.polls.send(targets);
    }

    fn notice(&mut self, notice: StateChange) {
        self.telemetry.notice(&notice);
    }

    fn exit(&mut self) {
        advance(&self.phase, AppPhase::Drained);
    }
}

/// Moves a daemon on to a later phase; phases never go back.
pub(super) fn advance(phase: &watch::Sender<AppPhase>, to: AppPhase) {
    phase.send_if_modified(|current| {
        let moves = *current < to;
        if moves {
            *current = to;
        }
        moves
    });
}
