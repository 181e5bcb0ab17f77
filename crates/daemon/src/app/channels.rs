//! Delivers the decision state's actions to the adapters.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{RegionName, RequestId, VmName};
use godwitroad_peers::{PeerAddress, PeerHub};
use godwitroad_router::{DispatchOrder, PeerEndpoint, PeerMessage, StateChange};
use godwitroad_store::{CallId, StoreFailure, StoreRequest};
use tokio::sync::{mpsc::UnboundedSender, watch};

use super::AppPhase;
use crate::{
    decision::PollTarget,
    event_loop::{ActionSink, EventLoopHandle},
    intake::CallerRequest,
    peering::RouterMessage,
    target::TargetCommand,
    telemetry::NodeTelemetry,
};

/// The sending ends of the channels to all adapters.
pub(super) struct AdapterChannels {
    pub(super) targets: Vec<UnboundedSender<TargetCommand>>,
    pub(super) poll_lists: UnboundedSender<Vec<PollTarget>>,
    pub(super) store: Option<UnboundedSender<(CallId, StoreRequest)>>,
    /// The peers that the settings name; they are kept in addition to those from the VM list.
    pub(super) configured_peers: Vec<PeerAddress>,
    pub(super) hub: Arc<PeerHub<RouterMessage>>,
    pub(super) event_loop: EventLoopHandle,
    pub(super) telemetry: Arc<NodeTelemetry>,
    pub(super) phase: Arc<watch::Sender<AppPhase>>,
}

impl AdapterChannels {
    /// Sends a command to the thread that runs the request's attempts.
    fn send_command(&self, id: RequestId, command: TargetCommand) {
        let count = self.targets.len() as u64;
        // The remainder is below the number of threads, so the cast is lossless. The threads end only with the daemon,
        // so a send error can be ignored.
        let _ = self.targets[(id.serial % count) as usize].send(command);
    }
}

impl ActionSink for AdapterChannels {
    fn dispatch(&mut self, order: DispatchOrder, request: Arc<CallerRequest>) {
        self.send_command(order.id, TargetCommand::Dispatch(order, request));
    }

    fn cancel(&mut self, id: RequestId, attempt: u32) {
        self.send_command(id, TargetCommand::Cancel(id, attempt));
    }

    fn pause(&mut self, id: RequestId, attempt: u32, paused: bool) {
        self.send_command(id, TargetCommand::Pause(id, attempt, paused));
    }

    fn send_to_peer(&mut self, to: VmName, message: PeerMessage) {
        self.hub.send(&to, RouterMessage(message));
    }

    fn set_peers(&mut self, endpoints: Vec<(PeerEndpoint, Option<RegionName>)>) {
        let mut peers: BTreeMap<VmName, PeerAddress> =
            self.configured_peers.iter().map(|peer| (peer.vm.clone(), peer.clone())).collect();
        for (endpoint, region) in endpoints {
            // A peer whose address is not an IP address and port is skipped; the state sees it as unresponsive.
            let Ok(address) = endpoint.address.parse() else { continue };
            // Traffic to an unknown region is counted as inter-region traffic, which is billed.
            let region = region.unwrap_or_else(|| "".into());
            peers.insert(endpoint.vm.clone(), PeerAddress { vm: endpoint.vm, region, address });
        }
        self.hub.set_peers(peers.into_values().collect());
    }

    fn call_store(&mut self, call: CallId, request: StoreRequest) {
        let sent = self.store.as_ref().is_some_and(|store| store.send((call, request)).is_ok());
        if !sent {
            // A daemon without a configured store reports each call as not sent.
            let outcome = Err(StoreFailure::NotSent);
            self.event_loop.send_event(godwitroad_router::RouterEvent::Store { call, outcome });
        }
    }

    fn set_polled(&mut self, targets: Vec<PollTarget>) {
        let _ = self.poll_lists.send(targets);
    }

    fn report_change(&mut self, change: StateChange) {
        self.telemetry.log_change(&change);
    }

    fn signal_drained(&mut self) {
        advance_phase(&self.phase, AppPhase::Drained);
    }
}

/// Advances the phase to `next` unless the daemon has already reached or passed it.
pub(super) fn advance_phase(phase: &watch::Sender<AppPhase>, next: AppPhase) {
    phase.send_if_modified(|current| {
        let is_later = *current < next;
        if is_later {
            *current = next;
        }
        is_later
    });
}
