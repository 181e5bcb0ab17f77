//! Settings of a simulated fleet of claim tables.

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_store::sim::SimFaults;

use crate::settings::ClaimSettings;

/// A bug that is injected to test that the checker detects it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedBug {
    /// No bug.
    #[default]
    None,
    /// The store ignores the expected version of a write.
    BlindWrites,
    /// A request that was refused as "not run" runs when its claim is granted later.
    RunAfterRefusal,
    /// Replayed answers are truncated.
    TruncatedAnswers,
}

/// Settings of a simulated history.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The number of availability zones.
    pub zones: usize,
    /// The number of VMs in each zone.
    pub vms_per_zone: usize,
    /// The number of zones that are connected to the store by a remote link; the others are next to it.
    pub remote_zones: usize,
    /// Whether each shard has one owner in the whole fleet instead of one in each zone.
    pub has_fleet_owners: bool,
    /// The one-way latency in milliseconds of a message within a zone.
    pub zone_latency_ms: u64,
    /// The one-way latency in milliseconds of a store call from a zone next to the store.
    pub store_latency_ms: u64,
    /// The one-way latency in milliseconds of a store call from a remote zone, and the additional latency of a message
    /// between zones.
    pub remote_latency_ms: u64,
    /// The duration in milliseconds of the part of the history in which requests and faults occur.
    pub duration_ms: u64,
    /// The number of requests that callers send, without duplicates and retries.
    pub requests: usize,
    /// The number of idempotency keys; zero gives each request its own key.
    pub keys: usize,
    /// The number of retries of a request that is refused as "not run" or because its key is pending.
    pub retries: u32,
    /// The fraction of messages that are lost, and of the remaining ones that are duplicated.
    pub message_faults: f64,
    /// The fraction of messages that arrive up to 500 ms late.
    pub late_messages: f64,
    /// The number of restarts of single VMs.
    pub restarts: usize,
    /// The number of restarts of all VMs at once.
    pub mass_restarts: usize,
    /// The number of pauses of single VMs, each of up to five seconds.
    pub pauses: usize,
    /// The number of network partitions, each of which separates a zone from the store and from the other zones.
    pub partitions: usize,
    /// The fraction of requests that targets reject without running them.
    pub rejected_runs: f64,
    /// The faults of the simulated store.
    pub store: SimFaults,
    /// The settings of each claim table, apart from the node.
    pub claims: ClaimSettings,
    /// The bug that is injected into the history.
    pub injected_bug: InjectedBug,
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
            claims: ClaimSettings::default(),
            injected_bug: InjectedBug::None,
        }
    }
}

impl FleetSettings {
    /// Returns settings whose faults are drawn from `seed`: none, one kind, or several kinds combined.
    pub fn with_random_faults(seed: u64) -> FleetSettings {
        let mut random = SeededRandom::new(seed ^ 0x5eed);
        let mut draw = |chance: f64| random.chance(chance);
        let mut settings = FleetSettings::default();
        if draw(0.6) {
            settings.message_faults = 0.1;
            settings.late_messages = 0.1;
        }
        settings.restarts = usize::from(draw(0.5)) + usize::from(draw(0.3));
        settings.mass_restarts = usize::from(draw(0.2)) + usize::from(draw(0.1));
        settings.pauses = usize::from(draw(0.3));
        settings.partitions = usize::from(draw(0.3));
        if draw(0.6) {
            settings.store.lost_answers = 0.15;
            settings.store.lost_requests = 0.05;
        }
        if draw(0.4) {
            settings.store.late_requests = 0.05;
            settings.store.slow_requests = 0.2;
        }
        if draw(0.5) {
            let from = random.below(15_000);
            let to = from + 500 + random.below(8_000);
            settings.store.outages = vec![(ClockTime::from_ms(from), ClockTime::from_ms(to))];
        }
        settings.has_fleet_owners = random.chance(0.3);
        // Small slices become full within a history, so that sealing and new slices are covered.
        settings.claims.max_slice_records = 1 + random.below(4) as usize;
        settings
    }
}
