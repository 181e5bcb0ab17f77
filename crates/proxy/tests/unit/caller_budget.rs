//! Tests of the budget for callers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::time::Duration;
use yare::parameterized;

use super::{CallerBounds, CallerBudget, CallerProgress, ConnectionUse, HeldConnection, HeldKind};

fn budget(stall: Duration) -> (CallerBudget, Rc<RefCell<Vec<&'static str>>>) {
    let bounds = CallerBounds {
        bytes: 450_000,
        body_bytes: 100_000,
        connections: 3,
        stall,
        ..CallerBounds::default()
    };
    let reports = Rc::new(RefCell::new(Vec::new()));
    let names = reports.clone();
    (CallerBudget::new(bounds, move |name, _| names.borrow_mut().push(name)), reports)
}

/// Guards against parts that stay taken after their connection or body is gone.
#[actix_rt::test]
async fn parts_are_free_again_when_dropped() {
    let (budget, reports) = budget(Duration::from_secs(60));
    let body = budget.take(HeldKind::Body, 90_000).await;
    assert!(body.is_some());
    assert!(budget.take(HeldKind::Body, 20_000).await.is_none());
    assert!(budget.take(HeldKind::Other, 20_000).await.is_some());
    drop(body);
    assert!(budget.take(HeldKind::Body, 100_000).await.is_some());
    assert!(reports.borrow().is_empty());
    assert_eq!((budget.state.used.get(), budget.state.body_used.get()), (0, 0));
}

fn closed(held: &[HeldConnection]) -> Vec<bool> {
    held.iter().map(|held| held.progress.is_closed.get()).collect()
}

/// Guards against closing callers that wait for the router, and against closing another than the longest stalled one.
#[actix_rt::test]
async fn the_longest_stalled_connection_is_closed_and_no_other() {
    let (budget, reports) = budget(Duration::from_millis(20));
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(budget.connect(|| 0).await.expect("there is room"));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    held[0].progress.wait_for_router();
    tokio::time::sleep(Duration::from_millis(30)).await;
    held[2].progress.wait_for_caller();
    assert!(budget.close_stalled());
    assert_eq!(closed(&held), [false, true, false]);
    assert!(!budget.close_stalled());
    assert_eq!(*reports.borrow(), ["connection_closed_for_budget"]);
    held.remove(1);
    assert!(budget.connect(|| 0).await.is_some());
}

/// Guards against callers that keep a connection open with single bytes.
#[actix_rt::test]
async fn single_bytes_are_no_progress() {
    let (budget, _) = budget(Duration::from_millis(20));
    let held = budget.connect(|| 0).await.expect("there is room");
    let since = |progress: &CallerProgress| progress.waits_since.get();
    let first = since(&held.progress);
    tokio::time::sleep(Duration::from_millis(5)).await;
    held.progress.transfer(1);
    assert_eq!(since(&held.progress), first);
    held.progress.transfer(super::PROGRESS_BYTES);
    assert!(since(&held.progress) > first);
}

const IDLE: ConnectionUse =
    ConnectionUse { is_active: false, has_unwritten: false, is_covered: false };
const UNREAD: ConnectionUse =
    ConnectionUse { is_active: true, has_unwritten: true, is_covered: false };

/// Guards against counting idle connections like those that a caller fills.
#[actix_rt::test]
async fn a_connection_takes_more_while_it_is_used() {
    let (budget, _) = budget(Duration::from_secs(60));
    let held = budget.connect(|| 0).await.expect("there is room");
    let used = |current_use| {
        held.set_use(current_use);
        budget.state.used.get()
    };
    assert_eq!(used(IDLE), super::CONNECTION_BYTES);
    assert_eq!(used(UNREAD), UNREAD.bytes());
    assert!(used(UNREAD) > used(IDLE) + super::RECEIVING_BYTES);
    drop(held);
    assert_eq!(budget.state.used.get(), 0);
}

/// Guards against unread answers beyond the budget, and against closing another connection for them than the one that is read at
/// the lowest rate.
#[actix_rt::test]
async fn an_unread_answer_beyond_the_budget_closes_one_connection() {
    let (budget, reports) = budget(Duration::from_secs(60));
    let mut held = Vec::new();
    for current_use in [IDLE, UNREAD, UNREAD] {
        let connection = budget.connect(|| 0).await.expect("there is room");
        if current_use.has_unwritten {
            connection.progress.block_write();
        }
        connection.set_use(current_use);
        held.push(connection);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(budget.state.used.get() > budget.state.bounds.bytes);
    assert_eq!(closed(&held), [false, true, false]);
    assert_eq!(*reports.borrow(), ["connection_closed_for_budget"]);
    assert!(budget.take(HeldKind::Other, 0).await.is_none(), "a request beyond the budget");
    held.remove(1);
    assert!(budget.take(HeldKind::Other, 0).await.is_some());
}

/// Guards against answers of unknown length that grow beyond the budget, or without room to wait for their callers.
#[actix_rt::test]
async fn the_part_of_an_answer_grows_with_it() {
    let (budget, _) = budget(Duration::from_secs(60));
    let part = budget.take_answer(0).await.expect("there is room");
    let used = || budget.state.used.get();
    assert!(part.cover_answer(60_000));
    assert_eq!(used(), 60_000);
    assert!(part.cover_answer(100_000));
    assert_eq!(used(), 100_000 + super::UNWRITTEN_BYTES);
    assert!(part.cover_answer(80_000), "a part doesn't shrink");
    assert!(!part.cover_answer(450_000));
    assert_eq!(used(), 100_000 + super::UNWRITTEN_BYTES);
    drop(part);
    assert_eq!(used(), 0);
}

/// Guards against judging a caller by a time in which nothing waited for it, and against the time limit for senders at the end of
/// an answer that is still being written.
#[actix_rt::test]
async fn a_reader_is_judged_from_the_blocked_write_until_all_is_written() {
    let (budget, _) = budget(Duration::from_millis(10));
    let held = budget.connect(|| 0).await.expect("there is room");
    let span = Duration::from_millis(50);
    let is_overdue = || held.progress.overdue(&budget.state.bounds).is_some();
    held.progress.block_write();
    held.progress.wait_for_caller();
    tokio::time::sleep(span).await;
    assert!(!is_overdue(), "the answer has ended, and a part of it waits");
    held.progress.unblock_write();
    tokio::time::sleep(budget.state.bounds.unread_limit()).await;
    held.progress.wait_for_caller();
    held.progress.block_write();
    assert!(!is_overdue(), "the write was blocked just now");
    tokio::time::sleep(budget.state.bounds.unread_limit()).await;
    assert!(is_overdue(), "nothing was read since");
}

/// Guards against closing a steady reader in place of a caller that reads nothing, whichever began first.
#[parameterized(first = { 0 }, last = { 1 })]
fn a_steady_reader_is_not_the_one_that_is_closed(steady: usize) {
    actix_rt::System::new().block_on(async {
        let (budget, _) = budget(Duration::from_millis(10));
        let mut held = Vec::new();
        for number in 0..2 {
            let taken = Rc::new(Cell::new(0));
            let reported = taken.clone();
            let connection = budget.connect(move || reported.get()).await.expect("there is room");
            connection.progress.block_write();
            connection.set_use(ConnectionUse { has_unwritten: true, ..IDLE });
            taken.set(if number == steady { 100_000_000 } else { 0 });
            held.push(connection);
        }
        budget.close_slowest_reader();
        let expected = [steady == 1, steady == 0];
        assert_eq!(closed(&held), expected);
        tokio::time::sleep(budget.state.bounds.unread_limit()).await;
        assert!(!budget.close_stalled(), "the other one reads fast enough");
    });
}
