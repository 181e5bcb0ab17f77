//! The settings of a simulated fleet of claim tables.

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_store::sim::SimFaults;

use crate::settings::ClaimSettings;

/// A rule that a history breaks on purpose, to show that the judge notices.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WrongVariant {
    /// The product.
    #[default]
    None,
    /// The store ignores the expected version of a write.
    BlindWrites,
    /// A request that was refused as "not run" runs when its grant comes late.
    LateRuns,
    /// A replayed answer is cut short.
    CutAnswers,
}

/// The settings of a history.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The number of zones.
    pub zones: usize,
    /// The number of VMs in a zone.
    pub vms_per_zone: usize,
    /// The zones that are one link away from the store, as opposed to next to it.
    pub remote_zones: usize,
    /// Whether a shard has one owner in the fleet, as opposed to one in each zone.
    pub has_fleet_owners: bool,
    /// The milliseconds that a message takes inside a zone.
    pub zone_latency_ms: u64,
    /// The milliseconds that a call takes in each direction to the store from a zone next to it.
    pub store_latency_ms: u64,
    /// The milliseconds that a call takes in each direction to the store from a far zone.
    pub remote_latency_ms: u64,
    /// The milliseconds that the history lasts before its faults end.
    pub duration_ms: u64,
    /// The requests that callers send, without repetitions.
    pub requests: usize,
    /// The number of idempotency keys, or zero when each request has its own.
    pub keys: usize,
    /// The number of times that a caller sends a request again after a refusal as "not run".
    pub retries: u32,
    /// The share of messages that are lost, and of those that are duplicated.
    pub message_faults: f64,
    /// The share of messages that arrive up to 500 ms late.
    pub late_messages: f64,
    /// The number of restarts of single VMs.
    pub restarts: usize,
    /// The number of restarts of all VMs at once.
    pub mass_restarts: usize,
    /// The number of pauses of single VMs of up to five seconds.
    pub pauses: usize,
    /// The number of times for which a zone is cut off from the store and from other zones.
    pub partitions: usize,
    /// The share of requests that targets refuse unheard.
    pub rejected_runs: f64,
    /// The faults of the store.
    pub store: SimFaults,
    /// The settings of each claim table; the node is filled in.
    pub once: ClaimSettings,
    /// The rule that is broken on purpose.
    pub wrong: WrongVariant,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            zones: 2,
            vms_per_zone: 2,
            remote_zones: 1,
            has_fleet_owners: false,
            zone_latency_ms: 1,
            store_latency_ms: 2,
            remote_latency_ms: 6,
            duration_ms: 20_000,
            requests: 14,
            keys: 4,
            retries: 4,
            message_faults: 0.0,
            late_messages: 0.0,
            restarts: 0,
            mass_restarts: 0,
            pauses: 0,
            partitions: 0,
            rejected_runs: 0.1,
            store: SimFaults::default(),
            once: ClaimSettings::default(),
            wrong: WrongVariant::None,
        }
    }
}

impl FleetSettings {
    /// Returns a history whose faults follow from `seed`: none, one kind, or several together.
    pub fn with_random_faults(seed: u64) -> FleetSettings {
        let mut random = SeededRandom::new(seed ^ 0x5eed);
        let mut pick = |chance: f64| random.chance(chance);
        let mut settings = FleetSettings::default();
        if pick(0.6) {
            settings.message_faults = 0.1;
            settings.late_messages = 0.1;
        }
        settings.restarts = usize::from(pick(0.5)) + usize::from(pick(0.3));
        settings.mass_restarts = usize::from(pick(0.2)) + usize::from(pick(0.1));
        settings.pauses = usize::from(pick(0.3));
        settings.partitions = usize::from(pick(0.3));
        if pick(0.6) {
            settings.store.lost_answers = 0.15;
            settings.store.lost_requests = 0.05;
        }
        if pick(0.4) {
            settings.store.late_requests = 0.05;
            settings.store.slow_requests = 0.2;
        }
        if pick(0.5) {
            let from = random.below(15_000);
            let to = from + 500 + random.below(8_000);
            settings.store.outages = vec![(ClockTime::from_ms(from), ClockTime::from_ms(to))];
        }
        settings.has_fleet_owners = random.chance(0.3);
        // Small slices fill within a history.
        settings.once.slice_records = 1 + random.below(4) as usize;
        settings
    }
}
