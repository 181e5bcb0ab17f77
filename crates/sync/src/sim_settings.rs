//! The settings of a simulated fleet that distributes a configuration.

use godwitroad_base::{ClockTime, SeededRandom, ZoneName};
use godwitroad_store::sim::SimFaults;

use crate::settings::SyncSettings;

/// A rule that a history breaks on purpose, to show that the judge notices.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WrongVariant {
    /// The product.
    #[default]
    None,
    /// The store ignores the expected version of a write, so that a racing operator's change is lost.
    BlindWrites,
    /// A starting node serves with the first document that it gets.
    ServeAtOnce,
    /// A node goes back to the state that it had five seconds before.
    GoBack,
    /// A zone that is cut off believes that it has contact.
    FalseContact,
}

/// How nodes learn of a new configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SyncPolicy {
    /// The product: two watchers in each zone.
    #[default]
    ZoneWatchers,
    /// Each node watches the store and fetches everything from it.
    EveryNodeWatches,
}

/// A zone of the simulated fleet.
#[derive(Clone, Debug)]
pub struct SimZone {
    /// The name.
    pub name: ZoneName,
    /// The region's number; the store is in region zero.
    pub region: usize,
    /// The number of VMs.
    pub vms: usize,
}

/// A change that an operator makes.
#[derive(Clone, Copy, Debug)]
pub struct SimChange {
    /// When the operator begins.
    pub at: ClockTime,
    /// The number of chunks of the document that differ afterwards.
    pub chunks: usize,
    /// Whether routers refuse the document.
    pub is_invalid: bool,
}

/// The settings of a history.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The zones.
    pub zones: Vec<SimZone>,
    /// How nodes learn of changes.
    pub policy: SyncPolicy,
    /// The changes.
    pub changes: Vec<SimChange>,
    /// The number of chunks of the document.
    pub document_chunks: usize,
    /// The bytes of a chunk.
    pub chunk_bytes: usize,
    /// The milliseconds of a message inside a region and between regions.
    pub latencies_ms: [u64; 2],
    /// The bytes that a link between regions carries in a millisecond.
    pub link_bytes_per_ms: u64,
    /// The time between two heartbeats.
    pub heartbeat_ms: u64,
    /// The time after which the history ends.
    pub length_ms: u64,
    /// The time at which faults end.
    pub faults_end_ms: u64,
    /// The share of messages that are lost, and of those that are duplicated.
    pub message_faults: f64,
    /// The share of messages that arrive up to 500 ms late.
    pub late_messages: f64,
    /// The number of restarts of single VMs.
    pub restarts: usize,
    /// The number of restarts of all VMs of a zone.
    pub zone_restarts: usize,
    /// The number of restarts of all VMs.
    pub mass_restarts: usize,
    /// The number of pauses of single VMs.
    pub pauses: usize,
    /// The number of times for which a zone is cut off from the store and from other zones.
    pub cuts: usize,
    /// The faults of the store.
    pub store: SimFaults,
    /// The settings of each node; VM and zone are filled in.
    pub sync: SyncSettings,
    /// The rule that is broken on purpose.
    pub wrong: WrongVariant,
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
            cuts: 0,
            store: SimFaults::default(),
            sync: SyncSettings::default(),
            wrong: WrongVariant::None,
        }
    }
}

impl FleetSettings {
    /// Returns zones of `vms` VMs each, three to a region.
    pub fn grid(zones: usize, vms: usize) -> Vec<SimZone> {
        let zone = |index: usize| SimZone {
            name: ZoneName::new(format!("zone-{index:02}")),
            region: index / 3,
            vms,
        };
        (0..zones).map(zone).collect()
    }

    /// Returns a history whose faults follow from `seed`: none, one kind, or several together.
    pub fn faulty(seed: u64) -> FleetSettings {
        let mut random = SeededRandom::new(seed ^ 0xc0f1);
        let mut settings = FleetSettings { zones: FleetSettings::grid(4, 2), ..Default::default() };
        for _ in 0..2 + random.below(4) {
            let at = ClockTime::from_ms(500 + random.below(22_000));
            let (chunks, is_invalid) = (1 + random.below(2) as usize, random.chance(0.1));
            settings.changes.push(SimChange { at, chunks, is_invalid });
            if random.chance(0.3) {
                // Another operator begins at nearly the same time.
                let at = at + godwitroad_base::ClockSpan::from_ms(random.below(6));
                settings.changes.push(SimChange { at, chunks, is_invalid: false });
            }
        }
        let mut pick = |chance: f64| random.chance(chance);
        if pick(0.5) {
            settings.message_faults = 0.1;
            settings.late_messages = 0.1;
        }
        settings.restarts = usize::from(pick(0.5)) + usize::from(pick(0.3));
        settings.zone_restarts = usize::from(pick(0.3));
        settings.mass_restarts = usize::from(pick(0.2)) + usize::from(pick(0.1));
        settings.pauses = usize::from(pick(0.3));
        settings.cuts = usize::from(pick(0.4));
        if pick(0.5) {
            settings.store.lost_answers = 0.15;
            settings.store.lost_requests = 0.05;
            settings.store.late_requests = 0.02;
            settings.store.slow_requests = 0.2;
        }
        if pick(0.6) {
            let from = random.below(20_000);
            let to = (from + 1_000 + random.below(15_000)).min(settings.faults_end_ms);
            settings.store.outages = vec![(ClockTime::from_ms(from), ClockTime::from_ms(to))];
        }
        settings
    }
}
