//! Time of a routing decision and of applying cache events at full size.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_bench::index::{ENTRIES, FullIndex, WORKERS};
use godwitroad_prefix::TargetId;

const BATCH: usize = 1_024;

fn decision(criterion: &mut Criterion) {
    let mut full = FullIndex::new(1, ENTRIES);
    let mut random = SeededRandom::new(1);
    let count = full.chains.len() as u64;
    criterion.bench_function("decision, 320 workers, 3.6 M entries", |bencher| {
        bencher.iter(|| black_box(full.decide(random.below(count) as usize)));
    });
}

fn events(criterion: &mut Criterion) {
    let mut full = FullIndex::new(1, ENTRIES);
    let mut random = SeededRandom::new(2);
    let mut group = criterion.benchmark_group("cache events");
    group.throughput(Throughput::Elements(2 * BATCH as u64));
    group.bench_function("store and evict, 3.6 M entries", |bencher| {
        bencher.iter_batched(
            || (0..BATCH).map(|_| random.next_u64()).collect::<Vec<u64>>(),
            |pieces| {
                let now = ClockTime::from_ms(1_100);
                let target = |piece: u64| TargetId((piece % WORKERS as u64) as u16);
                pieces.iter().for_each(|&piece| full.index.store(now, target(piece), piece));
                pieces.iter().for_each(|&piece| full.index.evict(target(piece), piece));
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(index, decision, events);
criterion_main!(index);
