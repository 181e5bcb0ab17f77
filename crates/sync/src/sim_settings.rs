//! Settings of a simulated fleet that distributes a configuration.

use godwitroad_base::{ClockTime, SeededRandom, ZoneName};
use godwitroad_store::sim::SimFaults;

use crate::settings::SyncSettings;

/// A bug injected into a history, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedBug {
    /// No bug.
    #[default]
    None,
    /// The store ignores the expected version of a write, so that the change of a concurrent operator is lost.
    UnconditionalWrites,
    /// A starting node is ready with the first document that it receives.
    ReadyWithFirstDocument,
    /// A node is reset to its state of five seconds earlier.
    StateRollback,
    /// The nodes of a partitioned zone report a recent contact.
    FalseContactAge,
}

/// The policy by which nodes learn of a new configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SyncPolicy {
    /// A few nodes of each zone watch the store (the policy of this crate).
    #[default]
    ZoneWatchers,
    /// Each node watches the store and reads everything from it.
    EveryNodeWatches,
}

/// A zone of the simulated fleet.
#[derive(Clone, Debug)]
pub struct SimZone {
    /// The name of the zone.
    pub name: ZoneName,
    /// The number of the zone's region; the store is in region zero.
    pub region: usize,
    /// The number of VMs in the zone.
    pub vms: usize,
}

/// A change by an operator.
#[derive(Clone, Copy, Debug)]
pub struct SimChange {
    /// The time at which the operator starts.
    pub at: ClockTime,
    /// The number of chunks of the document that are replaced, counting repeated choices of the same chunk.
    pub chunks: usize,
    /// Whether routers refuse the document.
    pub is_invalid: bool,
}

/// Settings of a history.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The zones and their VMs.
    pub zones: Vec<SimZone>,
    /// The policy by which nodes learn of changes.
    pub policy: SyncPolicy,
    /// The changes that operators make.
    pub changes: Vec<SimChange>,
    /// The number of chunks in the document.
    pub document_chunks: usize,
    /// The size of a chunk in bytes.
    pub chunk_bytes: usize,
    /// The latencies of messages within a region and between regions, in milliseconds.
    pub latencies_ms: [u64; 2],
    /// The throughput of a link between regions in bytes per millisecond.
    pub link_bytes_per_ms: u64,
    /// The time between two heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// The length of the history in milliseconds.
    pub length_ms: u64,
    /// The time in milliseconds after which no faults are injected into messages and processes.
    pub faults_end_ms: u64,
    /// The fraction of messages that are lost, and the fraction of the others that are duplicated.
    pub message_faults: f64,
    /// The fraction of messages that arrive up to 500 ms late.
    pub late_messages: f64,
    /// The number of restarts of a single VM.
    pub restarts: usize,
    /// The number of restarts of all VMs of a zone.
    pub zone_restarts: usize,
    /// The number of restarts of all VMs of the fleet.
    pub mass_restarts: usize,
    /// The number of pauses of a single VM, each up to five seconds long.
    pub pauses: usize,
    /// The number of network partitions, each of which separates a zone from the store and from other zones.
    pub partitions: usize,
    /// The faults that the store injects.
    pub store: SimFaults,
    /// The settings of each node, except for the VM and the zone, which the simulation sets.
    pub sync: SyncSettings,
    /// The bug to inject.
    pub injected_bug: InjectedBug,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            zones: Vec::new(),
            policy: SyncPolicy::ZoneWatchers,
            changes: Vec::new(),
            document_chunks: 3,
            chunk_bytes: 200,
            latencies_ms: [1, 6],
            link_bytes_per_ms: 2_500,
            heartbeat_ms: 500,
            length_ms: 45_000,
            faults_end_ms: 25_000,
            message_faults: 0.0,
            late_messages: 0.0,
            restarts: 0,
            zone_restarts: 0,
            mass_restarts: 0,
            pauses: 0,
            partitions: 0,
            store: SimFaults::default(),
            sync: SyncSettings::default(),
            injected_bug: InjectedBug::None,
        }
    }
}

impl FleetSettings {
    /// Returns `zones` zones with `vms` VMs each, three zones per region.
    pub fn uniform_zones(zones: usize, vms: usize) -> Vec<SimZone> {
        let zone = |index: usize| SimZone {
            name: ZoneName::new(format!("zone-{index:02}")),
            region: index / 3,
            vms,
        };
        (0..zones).map(zone).collect()
    }

    /// Returns settings with faults derived from `seed`: none, one kind, or several kinds together.
    pub fn with_random_faults(seed: u64) -> FleetSettings {
        let mut random = SeededRandom::new(seed ^ 0xc0f1);
        let mut settings =
            FleetSettings { zones: FleetSettings::uniform_zones(4, 2), ..Default::default() };
        for _ in 0..2 + random.below(4) {
            let at = ClockTime::from_ms(500 + random.below(22_000));
            let (chunks, is_invalid) = (1 + random.below(2) as usize, random.chance(0.1));
            settings.changes.push(SimChange { at, chunks, is_invalid });
            if random.chance(0.3) {
                // Another operator starts at nearly the same time.
                let at = at + godwitroad_base::ClockSpan::from_ms(random.below(6));
                settings.changes.push(SimChange { at, chunks, is_invalid: false });
            }
        }
        let mut with_probability = |chance: f64| random.chance(chance);
        if with_probability(0.5) {
            settings.message_faults = 0.1;
            settings.late_messages = 0.1;
        }
        settings.restarts = usize::from(with_probability(0.5)) + usize::from(with_probability(0.3));
        settings.zone_restarts = usize::from(with_probability(0.3));
        settings.mass_restarts =
            usize::from(with_probability(0.2)) + usize::from(with_probability(0.1));
        settings.pauses = usize::from(with_probability(0.3));
        settings.partitions = usize::from(with_probability(0.4));
        if with_probability(0.5) {
            settings.store.lost_answers = 0.15;
            settings.store.lost_requests = 0.05;
            settings.store.late_requests = 0.02;
            settings.store.slow_requests = 0.2;
        }
        if with_probability(0.6) {
            let from = random.below(20_000);
            let to = (from + 1_000 + random.below(15_000)).min(settings.faults_end_ms);
            settings.store.outages = vec![(ClockTime::from_ms(from), ClockTime::from_ms(to))];
        }
        settings
    }
}
