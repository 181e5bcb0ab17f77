//! Starts, stops, suspensions and resumptions of the processes of a simulated fleet.

use std::sync::Arc;

use godwitroad_base::{Incarnation, NodeId};
use godwitroad_member::{MemberEvent, VmListing, VmState};

use super::{
    fault::FaultKind,
    node::{NodeEvent, SimNode},
    sim::{FleetSim, clock_rate},
};

impl FleetSim {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        match self.spec.faults[fault].kind {
            FaultKind::Pause(vm) => self.nodes[vm].paused = true,
            FaultKind::Restart(vm) => self.stop(vm),
            FaultKind::RestartZone(zone) => {
                let vms = (0..self.nodes.len()).filter(|vm| self.nodes[*vm].zone_index == zone);
                vms.collect::<Vec<_>>().into_iter().for_each(|vm| self.stop(vm));
            }
            FaultKind::RestartAll => (0..self.nodes.len()).for_each(|vm| self.stop(vm)),
            FaultKind::PlannedStop(vm) => {
                self.run_node(vm, NodeEvent::Member(MemberEvent::Leave));
            }
            FaultKind::VmLoss(vm) => {
                self.stop(vm);
                self.nodes[vm].lost = true;
                self.record_vm_list();
            }
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        match self.spec.faults[fault].kind {
            FaultKind::Pause(vm) => self.resume(vm),
            FaultKind::Restart(vm) => self.start(vm),
            FaultKind::PlannedStop(vm) => {
                self.stop(vm);
                self.start(vm);
            }
            FaultKind::RestartZone(zone) => {
                let vms = (0..self.nodes.len()).filter(|vm| self.nodes[*vm].zone_index == zone);
                vms.collect::<Vec<_>>().into_iter().for_each(|vm| self.start(vm));
            }
            FaultKind::RestartAll => (0..self.nodes.len()).for_each(|vm| self.start(vm)),
            _ => {}
        }
    }

    fn resume(&mut self, vm: usize) {
        self.nodes[vm].paused = false;
        let backlog = std::mem::take(&mut self.nodes[vm].backlog);
        for event in backlog {
            self.run_node(vm, event);
        }
    }

    pub(super) fn stop(&mut self, vm: usize) {
        self.nodes[vm].running = false;
        self.nodes[vm].paused = false;
        self.nodes[vm].backlog.clear();
        self.starts.remove(&vm);
    }

    fn start(&mut self, vm: usize) {
        let old = &self.nodes[vm];
        if old.running || old.lost {
            return;
        }
        let id =
            NodeId { vm: old.id.vm.clone(), incarnation: Incarnation(old.id.incarnation.0 + 1) };
        let zone = (old.zone_index, old.zone.clone());
        let clock = (self.random.below(1 << 40), clock_rate(&self.spec, &mut self.random));
        let table = Arc::clone(&self.tables[vm]);
        let (injected_bug, now) = (self.spec.injected_bug, self.now);
        self.nodes[vm] = SimNode::new(id, zone, &table, clock, injected_bug, now, &mut self.random);
        self.starts.insert(vm, now);
        self.schedule_tick(vm);
    }

    pub(super) fn record_vm_list(&mut self) {
        let live = self.nodes.iter().filter(|node| !node.lost);
        let listing = |node: &SimNode| VmListing { vm: node.id.vm.clone(), state: VmState::Live };
        self.vm_lists.push((self.now, live.map(listing).collect()));
    }
}
