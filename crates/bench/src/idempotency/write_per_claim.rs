//! The baseline of two store writes for each claim, one when it is made and one when its request ends. Each claim has
//! its own key.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_idempotency::sim::FleetSettings;
use godwitroad_store::{
    CallClass, ClientSettings, KeyVersion, OperationReply, OperationSpec, StoreAction, StoreClient,
    StoreEvent, StoreKey, StoreOperation,
    sim::{SimFaults, SimStore},
};

use super::ClaimCost;

/// The size of a claim's record in bytes, about that of a record in the slices of [`godwitroad_idempotency`].
const RECORD_BYTES: usize = 200;

/// The VMs of the fleet with their clients of one simulated store.
///
/// The tag of a claim's first write is even; its second write has the next odd number.
struct WritePerClaimFleet {
    store: SimStore<usize>,
    clients: Vec<StoreClient<u64>>,
    /// The start of each claim whose first write is open, by its tag.
    started_at: BTreeMap<u64, ClockTime>,
    /// The second writes that are due, by time and tag of the first write, with the VM and the expected version.
    due_finishes: BTreeMap<(ClockTime, u64), (usize, KeyVersion)>,
    random: SeededRandom,
    cost: ClaimCost,
}

/// Returns the cost of the load without faults.
///
/// The run continues for 5 s after the last arrival, so that open writes can end.
pub(crate) fn measure(seed: u64, settings: &FleetSettings) -> ClaimCost {
    let mut random = SeededRandom::new(seed);
    let nodes = settings.zones * settings.vms_per_zone;
    let mut arrivals: Vec<(u64, usize)> = (0..settings.requests)
        .map(|_| (random.below(settings.duration_ms), random.below(nodes as u64) as usize))
        .collect();
    arrivals.sort_unstable();
    let clients =
        (0..nodes).map(|_| StoreClient::new(ClientSettings::default(), random.fork())).collect();
    let cost =
        ClaimCost { latencies: Vec::new(), claims: 0, calls: 0, writes: 0, bytes: 0, refused: 0 };
    let mut fleet = WritePerClaimFleet {
        store: SimStore::new(SimFaults::default(), random.fork()),
        clients,
        started_at: BTreeMap::new(),
        due_finishes: BTreeMap::new(),
        random,
        cost,
    };
    let mut arrivals = arrivals.into_iter().enumerate().peekable();
    for ms in 0..settings.duration_ms + 5_000 {
        let now = ClockTime::from_ms(ms);
        for (node, call, outcome) in fleet.store.step(now) {
            fleet.drive_client(now, settings, node, StoreEvent::Outcome { call, outcome });
        }
        while let Some((serial, (_, node))) = arrivals.next_if(|(_, (at, _))| *at <= ms) {
            let serial = serial as u64 * 2;
            fleet.started_at.insert(serial, now);
            fleet.cost.claims += 1;
            fleet.submit_write(now, settings, node, serial, KeyVersion(0));
        }
        while let Some(first) = fleet.due_finishes.first_entry()
            && first.key().0 <= now
        {
            let ((_, serial), (node, version)) = first.remove_entry();
            fleet.submit_write(now, settings, node, serial + 1, version);
        }
        if ms % 10 == 0 {
            for node in 0..nodes {
                fleet.drive_client(now, settings, node, StoreEvent::Tick);
            }
        }
    }
    fleet.cost.calls = fleet.clients.iter().map(|client| client.counters().sent()).sum();
    fleet.cost.writes = fleet.cost.calls;
    let traffic = fleet.store.traffic().values();
    fleet.cost.bytes = traffic.map(|traffic| traffic.bytes_in + traffic.bytes_out).sum();
    fleet.cost
}

impl WritePerClaimFleet {
    fn submit_write(
        &mut self,
        now: ClockTime,
        settings: &FleetSettings,
        node: usize,
        tag: u64,
        expected: KeyVersion,
    ) {
        let operation = StoreOperation::Cas {
            key: StoreKey::new(format!("claims/single/{}", tag / 2)),
            value: vec![0; RECORD_BYTES].into(),
            expected,
            lease: None,
            change_detector: None,
        };
        let spec = OperationSpec::new(CallClass::Claim, operation, 1_500);
        self.drive_client(now, settings, node, StoreEvent::Submit { tag, spec });
    }

    fn drive_client(
        &mut self,
        now: ClockTime,
        settings: &FleetSettings,
        node: usize,
        event: StoreEvent<u64>,
    ) {
        let mut actions = Vec::new();
        self.clients[node].handle(now, event, &mut actions);
        let is_remote = node / settings.vms_per_zone >= settings.zones - settings.remote_zones;
        let latency =
            if is_remote { settings.remote_latency_ms } else { settings.store_latency_ms };
        for action in actions {
            match action {
                StoreAction::Call { call, request } => {
                    self.store.send(now, node, call, request, latency);
                }
                StoreAction::Done { tag, result } => self.complete_write(now, node, tag, &result),
                _ => {}
            }
        }
    }

    fn complete_write(
        &mut self,
        now: ClockTime,
        node: usize,
        tag: u64,
        result: &godwitroad_store::Result<OperationReply>,
    ) {
        let Some(started_at) = self.started_at.remove(&tag) else { return };
        match result {
            Ok(OperationReply::Written { version, .. }) => {
                self.cost.latencies.push(now.since(started_at).as_ms());
                // The duration of the request, the same as in the simulation of `godwitroad_idempotency`.
                let at = ClockTime::from_ms(now.as_ms() + 5 + self.random.below(1_500));
                self.due_finishes.insert((at, tag), (node, *version));
            }
            _ => self.cost.refused += 1,
        }
    }
}
