//! The time of a routing decision, and of applying cache events, with an index at full size.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_bench::index::{ENTRY_COUNT, FullIndex, WORKER_COUNT};
use godwitroad_prefix::TargetId;

/// The number of blocks that are stored and evicted in each iteration.
const BATCH_BLOCKS: usize = 1_024;

fn decision(criterion: &mut Criterion) {
    let mut full_index = FullIndex::new(1, ENTRY_COUNT);
    let mut random = SeededRandom::new(1);
    let count = full_index.chains.len() as u64;
    criterion.bench_function("decision, 320 workers, 3.6 M entries", |bencher| {
        bencher.iter(|| black_box(full_index.decide(random.below(count) as usize)));
    });
}

fn events(criterion: &mut Criterion) {
    let mut full_index = FullIndex::new(1, ENTRY_COUNT);
    let mut random = SeededRandom::new(2);
    let mut group = criterion.benchmark_group("cache events");
    group.throughput(Throughput::Elements(2 * BATCH_BLOCKS as u64));
    group.bench_function("store and evict, 3.6 M entries", |bencher| {
        bencher.iter_batched(
            || (0..BATCH_BLOCKS).map(|_| random.next_u64()).collect::<Vec<u64>>(),
            |blocks| {
                let now = ClockTime::from_ms(1_100);
                let target = |block: u64| TargetId((block % WORKER_COUNT as u64) as u16);
                blocks.iter().for_each(|&block| full_index.index.store(now, target(block), block));
                blocks.iter().for_each(|&block| full_index.index.evict(target(block), block));
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(index, decision, events);
criterion_main!(index);
