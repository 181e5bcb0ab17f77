//! Faults that are injected into a simulated fleet.

use godwitroad_base::SeededRandom;

/// One fault and the interval in which it is active.
#[derive(Clone, Debug)]
pub struct FleetFault {
    /// The start of the interval in milliseconds of simulated time.
    pub from: u64,
    /// The end of the interval in milliseconds of simulated time (exclusive).
    pub until: u64,
    /// The kind of failure.
    pub kind: FaultKind,
}

/// The kind of a fault, with the indexes of the zones or VMs that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The store is unreachable from every VM.
    StoreDown,
    /// The round trip of a store call takes up to this many additional milliseconds.
    SlowStore(u64),
    /// The call takes effect, but its reply is lost with this probability.
    LostAnswers(f64),
    /// A zone cannot reach the store.
    ZoneWithoutStore(usize),
    /// Messages from the first zone to the second are lost; the reverse direction works.
    ZonePartition(usize, usize),
    /// A zone can reach neither the store nor any other zone.
    IsolatedZone(usize),
    /// A VM can reach neither the store nor any peer.
    IsolatedVm(usize),
    /// All messages from peers to a VM are lost; the VM can still send.
    InboundLoss(usize),
    /// All messages from a VM to its peers are lost; the VM can still receive.
    OutboundLoss(usize),
    /// A process is suspended and resumes, with its state, at the end of the fault.
    Pause(usize),
    /// A process is terminated, and a new one starts on the VM at the end of the fault.
    Restart(usize),
    /// Like [`FaultKind::Restart`], for all processes of a zone.
    RestartZone(usize),
    /// Like [`FaultKind::Restart`], for all processes.
    RestartAll,
    /// A process hands off its work and deregisters; a new one starts at the end of the fault.
    PlannedStop(usize),
    /// A VM is lost permanently.
    VmLoss(usize),
    /// Messages are lost, duplicated or delayed by up to one second, each with this probability.
    UnreliableNetwork(f64),
}

impl FleetFault {
    /// Returns whether the fault is active at `now`, in milliseconds of simulated time.
    pub fn is_active(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }

    /// Returns one to three random faults that may overlap, some of which occur a second time.
    pub fn random(
        random: &mut SeededRandom,
        zones: usize,
        vms: usize,
        length: u64,
    ) -> Vec<FleetFault> {
        let mut faults = Vec::new();
        for _ in 0..1 + random.below(3) {
            let kind = FaultKind::random(random, zones, vms);
            let from = length / 5 + random.below(length / 3);
            let until = from + 200 + random.below(length / 3);
            faults.push(FleetFault { from, until, kind });
            if random.chance(0.3) {
                let from = until + random.below(length / 8);
                let until = from + 200 + random.below(length / 6);
                faults.push(FleetFault { from, until, kind });
            }
        }
        faults
    }
}

impl FaultKind {
    fn random(random: &mut SeededRandom, zones: usize, vms: usize) -> FaultKind {
        let zone = random.below(zones as u64) as usize;
        let vm = random.below(vms as u64) as usize;
        match random.below(17) {
            0 => FaultKind::StoreDown,
            1 => FaultKind::SlowStore(500 + random.below(7_500)),
            2 => FaultKind::LostAnswers(0.1 + 0.6 * random.fraction()),
            3 => FaultKind::ZoneWithoutStore(zone),
            4 => FaultKind::ZonePartition(zone, (zone + 1) % zones),
            5 => FaultKind::IsolatedZone(zone),
            6 => FaultKind::InboundLoss(vm),
            7 => FaultKind::OutboundLoss(vm),
            8 | 9 => FaultKind::Pause(vm),
            10 => FaultKind::Restart(vm),
            11 => FaultKind::RestartZone(zone),
            12 => FaultKind::RestartAll,
            13 => FaultKind::PlannedStop(vm),
            14 | 15 => FaultKind::IsolatedVm(vm),
            _ => FaultKind::UnreliableNetwork(0.05 + 0.4 * random.fraction()),
        }
    }
}
