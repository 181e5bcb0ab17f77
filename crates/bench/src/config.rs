//! The `config` experiment: the time until a configuration change is in force, and its cost.
//!
//! Three changes follow the first document: a changed account rate, a withdrawn key and a draining target. All three
//! reach a router in the same way, because each is a new generation of the same document. The cost of a change is the
//! difference from a run without the three changes, divided by three.

use anyhow::{Result, ensure};
use godwitroad_base::{ClockTime, ZoneName};
use godwitroad_sync::sim::{
    FleetSettings, HistoryReport, SimChange, SimZone, SyncPolicy, run_history,
};

use crate::report::BenchRow;

/// The generation and the name of each measured change.
const CHANGES: [(u64, &str); 3] = [(2, "change"), (3, "withdrawn key"), (4, "leaving target")];

/// The upper bound in milliseconds for the current fleet size.
const CURRENT_SIZE_BOUND_MS: f64 = 2_000.0;

/// The upper bound in milliseconds for the design size.
const DESIGN_SIZE_BOUND_MS: f64 = 16_000.0;

struct FleetSize {
    nodes: usize,
    regions: usize,
    zones: usize,
    chunks: usize,
    chunk_bytes: usize,
    target: Option<f64>,
}

// A document with 5 accounts fits into one chunk; one with 25,000 accounts takes about 6 MB.
const SIZES: [FleetSize; 4] = [
    FleetSize {
        nodes: 9,
        regions: 2,
        zones: 3,
        chunks: 1,
        chunk_bytes: 8_000,
        target: Some(CURRENT_SIZE_BOUND_MS),
    },
    FleetSize { nodes: 33, regions: 3, zones: 6, chunks: 8, chunk_bytes: 64_000, target: None },
    FleetSize { nodes: 110, regions: 5, zones: 12, chunks: 32, chunk_bytes: 64_000, target: None },
    FleetSize {
        nodes: 330,
        regions: 8,
        zones: 21,
        chunks: 96,
        chunk_bytes: 64_000,
        target: Some(DESIGN_SIZE_BOUND_MS),
    },
];

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a change doesn't come into force at every node or if the checker finds a violation.
pub fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for size in &SIZES {
        let scenario = format!("{} nodes", size.nodes);
        for (policy, name) in [
            (SyncPolicy::ZoneWatchers, "product"),
            (SyncPolicy::EveryNodeWatches, "every_node_watches"),
        ] {
            let target = size.target.filter(|_| policy == SyncPolicy::ZoneWatchers);
            let settings = settings(size, policy);
            measure(seed, &scenario, name, &settings, target, &mut rows)?;
        }
    }
    let mut lossy = settings(&SIZES[0], SyncPolicy::ZoneWatchers);
    lossy.message_faults = 0.05;
    lossy.store.lost_answers = 0.05;
    measure(seed, "9 nodes, 5% lost", "product", &lossy, None, &mut rows)?;
    Ok(rows)
}

fn settings(size: &FleetSize, policy: SyncPolicy) -> FleetSettings {
    // Zones are spread evenly over regions, and VMs over zones; the store is in the first region.
    let share_of_part =
        |total: usize, parts: usize, part: usize| (part + 1) * total / parts - part * total / parts;
    let zones = (0..size.zones).map(|zone| SimZone {
        name: ZoneName::new(format!("zone-{zone:02}")),
        region: zone * size.regions / size.zones,
        vms: share_of_part(size.nodes, size.zones, zone),
    });
    let change = |ms| SimChange { at: ClockTime::from_ms(ms), chunks: 1, is_invalid: false };
    FleetSettings {
        zones: zones.collect(),
        policy,
        changes: [2_000, 27_000, 34_000, 41_000].map(change).to_vec(),
        document_chunks: size.chunks,
        chunk_bytes: size.chunk_bytes,
        length_ms: 60_000,
        faults_end_ms: 55_000,
        ..FleetSettings::default()
    }
}

fn measure(
    seed: u64,
    scenario: &str,
    policy: &str,
    settings: &FleetSettings,
    target: Option<f64>,
    rows: &mut Vec<BenchRow>,
) -> Result<()> {
    let nodes: usize = settings.zones.iter().map(|zone| zone.vms).sum();
    let mut idle_settings = settings.clone();
    idle_settings.changes.truncate(1);
    let idle = run_history(seed, idle_settings);
    let changed = run_history(seed, settings.clone());
    for report in [&idle, &changed] {
        ensure!(report.violations.is_empty(), "{scenario}, {policy}: {:?}", report.violations);
    }
    for (generation, name) in CHANGES {
        let ms = changed.in_force_ms.get(&generation).copied();
        ensure!(ms.is_some(), "{scenario}, {policy}: the {name} isn't in force at each node");
        let measure = format!("{name} in force everywhere");
        let row = BenchRow::new(scenario, policy, measure, "virtual ms", ms.unwrap_or(0) as f64);
        rows.push(match target {
            Some(target) => row.at_most(target),
            None => row,
        });
    }
    let changes = CHANGES.len() as f64;
    let per_change =
        |value: fn(&HistoryReport) -> u64| (value(&changed) as f64 - value(&idle) as f64) / changes;
    let values = [
        ("store calls per node, first minute", "calls", idle.store_calls as f64 / nodes as f64),
        ("store calls per change", "calls", per_change(|report| report.store_calls)),
        (
            "store and peer bytes per change and node",
            "bytes",
            per_change(|report| report.store_bytes + report.peer_bytes) / nodes as f64,
        ),
        ("link bytes per change", "bytes", per_change(|report| report.link_bytes)),
        ("store bytes per change", "bytes", per_change(|report| report.store_bytes)),
        ("link bytes of the first document", "bytes", idle.link_bytes as f64),
    ];
    rows.extend(
        values.map(|(measure, unit, value)| BenchRow::new(scenario, policy, measure, unit, value)),
    );
    Ok(())
}
