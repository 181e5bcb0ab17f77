//! Tests of single operations of the store client: leases, watches, call budget, circuit breaker and timeouts.

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_store::{
    BudgetSettings, CallClass, CallId, CallKind, ClientSettings, KeyVersion, LeaseId,
    OperationError, OperationReply, OperationSpec, StoreAction, StoreClient, StoreEvent,
    StoreFailure, StoreKey, StoreOperation, StoreReply, StoreRequest, WatchUpdate,
};
use yare::parameterized;

type Client = StoreClient<u32>;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn client(settings: ClientSettings) -> Client {
    StoreClient::new(settings, SeededRandom::new(7))
}

fn handle(client: &mut Client, ms: u64, event: StoreEvent<u32>) -> Vec<StoreAction<u32>> {
    let mut actions = Vec::new();
    client.handle(at(ms), event, &mut actions);
    actions
}

fn submit(
    client: &mut Client,
    ms: u64,
    tag: u32,
    class: CallClass,
    operation: StoreOperation,
) -> Vec<StoreAction<u32>> {
    let spec = OperationSpec::new(class, operation, 5_000);
    handle(client, ms, StoreEvent::Submit { tag, spec })
}

fn answer(client: &mut Client, ms: u64, call: CallId, reply: StoreReply) -> Vec<StoreAction<u32>> {
    handle(client, ms, StoreEvent::Outcome { call, outcome: Ok(reply) })
}

fn calls(actions: &[StoreAction<u32>]) -> Vec<(CallId, StoreRequest)> {
    let call = |action: &StoreAction<u32>| match action {
        StoreAction::Call { call, request } => Some((*call, request.clone())),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

fn get(key: &str) -> StoreOperation {
    StoreOperation::Get { key: StoreKey::from(key) }
}

fn cas() -> StoreOperation {
    StoreOperation::Cas {
        key: StoreKey::from("k"),
        value: vec![1].into(),
        expected: KeyVersion(0),
        lease: None,
        change_detector: None,
    }
}

/// A lease must be counted from when the call was sent: counted from a slow answer, it would overlap with the next
/// holder's lease.
#[test]
fn lease_counts_from_before_the_call() {
    let mut client = client(ClientSettings { drift_ppm: 1_000, ..Default::default() });
    let ttl = ClockSpan::from_secs(10);
    let actions = submit(&mut client, 100, 1, CallClass::Other, StoreOperation::Grant { ttl });
    let call = calls(&actions)[0].0;
    let reply = StoreReply::Lease { lease: LeaseId(9), ttl };
    let actions = answer(&mut client, 900, call, reply);
    let until = at(100 + 10_000 - 10);
    let expected = Ok(OperationReply::Lease { lease: LeaseId(9), until });
    assert!(matches!(&actions[..], [StoreAction::Done { result, .. }] if *result == expected));
}

/// A watch must continue from the last version after a failed poll, and list the keys again after a compaction.
#[test]
fn watch_resumes_and_lists_again() {
    let mut client = client(ClientSettings::default());
    let prefix = StoreKey::from("config/");
    let actions = submit(
        &mut client,
        0,
        1,
        CallClass::Config,
        StoreOperation::Watch { prefix: prefix.clone() },
    );
    let (call, request) = calls(&actions)[0].clone();
    assert_eq!(request, StoreRequest::List { prefix: prefix.clone() });
    let entries = |latest_version| StoreReply::Entries {
        entries: Vec::new(),
        removed: Vec::new(),
        latest_version: KeyVersion(latest_version),
    };
    let actions = answer(&mut client, 5, call, entries(8));
    assert!(matches!(&actions[0], StoreAction::Watched { update: WatchUpdate::Snapshot(_), .. }));
    let (call, request) = calls(&actions)[0].clone();
    assert_eq!(request, StoreRequest::Watch { prefix: prefix.clone(), after: KeyVersion(8) });
    handle(&mut client, 6, StoreEvent::Outcome { call, outcome: Err(StoreFailure::Unknown) });
    let actions = handle(&mut client, 200, StoreEvent::Tick);
    let (call, request) = calls(&actions)[0].clone();
    assert_eq!(request, StoreRequest::Watch { prefix: prefix.clone(), after: KeyVersion(8) });
    let actions = answer(&mut client, 210, call, StoreReply::Compacted);
    assert_eq!(calls(&actions)[0].1, StoreRequest::List { prefix });
}

/// Claims must not wait behind calls of other classes.
#[test]
fn claims_go_first_and_have_their_own_budget() {
    let budget = BudgetSettings { rates: [10, 10, 10], bursts: [1, 1, 1] };
    let mut client = client(ClientSettings { budget, max_calls: 2, ..Default::default() });
    assert_eq!(calls(&submit(&mut client, 0, 1, CallClass::Other, get("a"))).len(), 1);
    assert_eq!(calls(&submit(&mut client, 0, 2, CallClass::Other, get("b"))).len(), 0);
    assert_eq!(calls(&submit(&mut client, 0, 3, CallClass::Claim, get("c"))).len(), 1);
    assert_eq!(calls(&submit(&mut client, 0, 4, CallClass::Claim, get("d"))).len(), 0);
    let actions = answer(&mut client, 150, CallId(1), StoreReply::Value(None));
    let requests: Vec<StoreRequest> =
        calls(&actions).into_iter().map(|(_, request)| request).collect();
    assert_eq!(requests, vec![StoreRequest::Get { key: StoreKey::from("d") }]);
}

/// During an outage only single probes may be sent, because retries of all nodes would hit the service at the moment it
/// recovers, and claims must fail immediately instead of waiting. A successful probe ends this state.
#[test]
fn breaker_opens_probes_and_closes() {
    let mut client = client(ClientSettings::default());
    submit(&mut client, 0, 1, CallClass::Other, get("a"));
    let mut sent = 0;
    for ms in (10..20_000).step_by(10) {
        let actions = handle(&mut client, ms, StoreEvent::Tick);
        sent += calls(&actions).len();
        for (call, _) in calls(&actions) {
            handle(
                &mut client,
                ms,
                StoreEvent::Outcome { call, outcome: Err(StoreFailure::NotSent) },
            );
        }
    }
    assert!(!client.is_reachable());
    assert!(sent < 20, "{sent} calls were sent in an outage of 20 s");
    let actions = submit(&mut client, 20_000, 2, CallClass::Claim, get("b"));
    let refused = Err(OperationError::NotDone);
    assert!(matches!(&actions[..], [StoreAction::Done { tag: 2, result }] if *result == refused));
    let mut reachable = false;
    for ms in (20_010..40_000).step_by(10) {
        let actions = handle(&mut client, ms, StoreEvent::Tick);
        for (call, _) in calls(&actions) {
            let actions = answer(&mut client, ms, call, StoreReply::Value(None));
            reachable |=
                actions.iter().any(|action| matches!(action, StoreAction::Reachable(true)));
        }
    }
    assert!(reachable && client.is_reachable());
}

/// An operation without an answer must end at its deadline, and an unanswered write must not be reported as not done.
#[parameterized(
    read = { get("k"), OperationError::NotDone },
    write = { cas(), OperationError::Unknown },
)]
fn unanswered_operation_ends_at_its_deadline(operation: StoreOperation, error: OperationError) {
    let mut client = client(ClientSettings::default());
    submit(&mut client, 0, 1, CallClass::Other, operation);
    let mut results = Vec::new();
    for ms in (10..6_000).step_by(10) {
        for action in handle(&mut client, ms, StoreEvent::Tick) {
            if let StoreAction::Done { result, .. } = action {
                results.push((ms, result));
            }
        }
    }
    assert_eq!(results, vec![(5_000, Err(error))]);
    assert!(client.counters().timed_out > 0);
    assert_eq!(client.counters().kind(CallKind::Watch).sent, 0);
}
