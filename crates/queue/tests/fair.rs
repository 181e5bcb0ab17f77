//! Guards against an unfair order of service, wrong refusals and starved requests.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, RequestId};
use godwitroad_queue::{
    Error, FairQueue, FreeSlots, QueuePriority, QueueSettings, QueuedRequest, SlotSettings,
    SlotTable,
};
use proptest::{prelude::*, test_runner::RngSeed};

const ALL_FREE: FreeSlots = FreeSlots { free: 10, total: 10 };
const TAG_UNITS_PER_TOKEN: u128 = 1 << 20;

fn name(account: usize) -> AccountName {
    format!("account-{account}").into()
}

fn request(serial: u64, account: usize, priority: QueuePriority, tokens: u64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId { node: 1, serial },
        account: name(account),
        priority,
        tokens,
        deadline: ClockTime::from_ms(u64::MAX),
    }
}

fn queue() -> FairQueue {
    let mut queue = FairQueue::new(QueueSettings::default());
    (0..4).for_each(|account| queue.set_weight(&name(account), account as u32 + 1));
    queue
}

#[derive(Clone, Debug)]
enum Step {
    Push(usize, usize, u64),
    Pop,
    Cancel(u64),
}

/// A reference implementation that searches lists linearly.
#[derive(Default)]
struct ReferenceQueue {
    waiting: Vec<(u64, usize, usize, u64, u128)>,
    finish: BTreeMap<(usize, usize), u128>,
    virtual_times: [u128; 3],
}

impl ReferenceQueue {
    fn pop(&mut self) -> Option<u64> {
        let priority = self.waiting.iter().map(|entry| entry.2).min()?;
        let start = |account: usize, virtual_arrival: u128| {
            self.finish.get(&(priority, account)).copied().unwrap_or(0).max(virtual_arrival)
        };
        let heads = (0..4).filter_map(|account| {
            let head =
                self.waiting.iter().find(|entry| entry.1 == account && entry.2 == priority)?;
            Some((start(account, head.4), account, head.0))
        });
        let (start, account, serial) = heads.min()?;
        let position = self.waiting.iter().position(|entry| entry.0 == serial)?;
        let (_, _, _, tokens, _) = self.waiting.remove(position);
        self.virtual_times[priority] = self.virtual_times[priority].max(start);
        let length = u128::from(tokens) * TAG_UNITS_PER_TOKEN / (account as u128 + 1);
        self.finish.insert((priority, account), start + length);
        Some(serial)
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..3usize, 1..5_000u64).prop_map(|(a, p, t)| Step::Push(a, p, t)),
        3 => Just(Step::Pop),
        1 => (0..100u64).prop_map(Step::Cancel),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn order_agrees_with_the_reference(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue = queue();
        let mut reference = ReferenceQueue::default();
        let mut serial = 0;
        for step in steps {
            match step {
                Step::Push(account, priority, tokens) => {
                    let class = QueuePriority::ALL[priority];
                    queue.push(ClockTime::ZERO, request(serial, account, class, tokens)).unwrap();
                    let virtual_arrival = reference.virtual_times[priority];
                    reference.waiting.push((serial, account, priority, tokens, virtual_arrival));
                    serial += 1;
                }
                Step::Pop => {
                    let popped = queue.pop(ClockTime::ZERO, ALL_FREE);
                    prop_assert_eq!(popped.map(|request| request.id.serial), reference.pop());
                }
                Step::Cancel(serial) => {
                    let position = reference.waiting.iter().position(|entry| entry.0 == serial);
                    let cancelled = queue.cancel(RequestId { node: 1, serial });
                    prop_assert_eq!(cancelled, position.is_some());
                    position.map(|position| reference.waiting.remove(position));
                }
            }
            prop_assert_eq!(queue.len(), reference.waiting.len());
        }
    }

    // Each request has exactly one outcome: taken, refused or cancelled.
    #[test]
    fn no_request_is_both_taken_and_refused(
        arrivals in prop::collection::vec((0..40u64, 0..4usize, 1..3_000u64, 0..4_000u64), 1..150),
    ) {
        let mut queue = queue();
        let mut now = 0;
        let mut outcomes: BTreeMap<u64, u32> = BTreeMap::new();
        let mut refusals = Vec::new();
        for (serial, &(gap, account, tokens, remaining_ms)) in arrivals.iter().enumerate() {
            now += gap;
            let clock = ClockTime::from_ms(now);
            let deadline = clock + ClockSpan::from_ms(remaining_ms);
            let arrival = request(serial as u64, account, QueuePriority::Batch, tokens);
            if queue.push(clock, QueuedRequest { deadline, ..arrival }).is_err() {
                *outcomes.entry(serial as u64).or_default() += 1;
            }
            queue.tick(clock, &mut refusals);
            if serial % 3 == 0 && let Some(taken) = queue.pop(clock, ALL_FREE) {
                prop_assert!(taken.deadline > clock, "a late request was taken");
                *outcomes.entry(taken.id.serial).or_default() += 1;
            }
        }
        queue.tick(ClockTime::from_ms(now + 10_000), &mut refusals);
        for refusal in &refusals {
            let (Error::TooLate { retry_after } | Error::Full { retry_after }) = refusal.reason;
            prop_assert!(retry_after > ClockSpan::ZERO);
            *outcomes.entry(refusal.id.serial).or_default() += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert!(outcomes.len() == arrivals.len() && outcomes.values().all(|&count| count == 1));
    }
}

#[test]
fn shares_follow_the_weights() {
    let mut queue = queue();
    for serial in 0..4_000 {
        let arrival = request(serial, serial as usize % 4, QueuePriority::Interactive, 100);
        queue.push(ClockTime::ZERO, arrival).unwrap();
    }
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let taken = queue.pop(ClockTime::ZERO, ALL_FREE).unwrap();
        *counts.entry(taken.account).or_insert(0) += 1;
    }
    let counts: Vec<i32> = counts.into_values().collect();
    assert_eq!(counts, [100, 200, 300, 400]);
}

#[test]
fn overnight_waits_for_idle_slots_for_a_limited_time() {
    let mut queue = queue();
    queue.push(ClockTime::ZERO, request(1, 0, QueuePriority::Overnight, 10)).unwrap();
    let busy = FreeSlots { free: 4, total: 10 };
    assert!(queue.pop(ClockTime::ZERO, busy).is_none());
    let late = ClockTime::ZERO + QueueSettings::default().overnight_max_wait;
    queue.tick(late, &mut Vec::new());
    let taken = queue.pop(late, busy).unwrap();
    assert_eq!(taken.priority, QueuePriority::Batch);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut queue = queue();
    // 1,000 tokens per second are served for five seconds, and 10,000 tokens are waiting.
    for serial in 0..30 {
        queue.push(ClockTime::ZERO, request(serial, 0, QueuePriority::Interactive, 500)).unwrap();
    }
    for step in 1..=10 {
        queue.pop(ClockTime::from_ms(step * 500), ALL_FREE).unwrap();
    }
    let now = ClockTime::from_ms(5_000);
    let deadline = now + ClockSpan::from_ms(2_000);
    let arrival = request(99, 0, QueuePriority::Interactive, 500);
    let refused = queue.push(now, QueuedRequest { deadline, ..arrival.clone() });
    let Err(Error::TooLate { retry_after }) = refused else { panic!("not refused: {refused:?}") };
    assert!((6_000..10_000).contains(&retry_after.as_ms()), "{retry_after}");
    // The backlog of this account doesn't delay another account.
    let other = QueuedRequest { account: name(3), deadline, ..arrival };
    assert_eq!(queue.push(now, other), Ok(()));
}

#[test]
fn each_router_has_a_limited_share_of_a_targets_slots() {
    let mut table = SlotTable::new(SlotSettings { overlap: 1.0, min_share: 1 });
    table.set_routers(4);
    table.set_slots(0, 8);
    assert!(table.take(0) && table.take(0) && !table.take(0));
    table.release(0);
    assert!(table.take(0) && !table.take(1));
}
