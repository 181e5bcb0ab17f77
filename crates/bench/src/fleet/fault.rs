//! Faults that a simulated fleet runs through.

use godwitroad_base::SeededRandom;

/// One fault with its time.
#[derive(Clone, Debug)]
pub struct FleetFault {
    /// The start in milliseconds of true time.
    pub from: u64,
    /// The end.
    pub until: u64,
    /// What fails.
    pub kind: FaultKind,
}

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The store answers nobody.
    StoreDown,
    /// The store answers after up to this many milliseconds.
    SlowStore(u64),
    /// This part of the store's answers is lost after the call took effect.
    LostAnswers(f64),
    /// A zone can't reach the store.
    ZoneWithoutStore(usize),
    /// No message passes from one zone to another.
    ZonePartition(usize, usize),
    /// A zone reaches neither the store nor another zone.
    IsolatedZone(usize),
    /// A VM reaches neither the store nor a peer.
    IsolatedVm(usize),
    /// A VM receives nothing from its peers, but can send.
    InboundLoss(usize),
    /// A VM sends nothing to its peers, but can receive.
    OutboundLoss(usize),
    /// A process doesn't run until the end, and then goes on.
    Pause(usize),
    /// A process stops, and a new one starts on the VM at the end.
    Restart(usize),
    /// All processes of a zone restart.
    RestartZone(usize),
    /// All processes restart.
    RestartAll,
    /// A process leaves in order, and a new one starts at the end.
    PlannedStop(usize),
    /// A VM is lost and doesn't come back.
    VmLoss(usize),
    /// Messages are lost, duplicated and delayed by up to a second, each with this probability.
    UnreliableNetwork(f64),
}

impl FleetFault {
    /// Returns whether the fault holds at `now`.
    pub fn is_active(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }

    /// Returns one to three random faults that overlap, some of them twice.
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
