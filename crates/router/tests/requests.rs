//! Tests of a single router: the handling of a request from its arrival to its end.

mod support;

use godwitroad_base::ClockSpan;
use godwitroad_config::TargetConfig;
use godwitroad_router::{
    AttemptReport, CallerReply, ErrorKind, LoadReport, PeerMessage, RequestArrival, RouterAction,
    RouterEvent, RunOutcome, StreamOrigin,
};
use godwitroad_sync::SyncMessage;
use support::{
    TestDriver, chat, dispatches, document, errors, registration, started, token, token_of,
    without_engines,
};
use yare::parameterized;

fn origin(build: &str, weights: &str) -> StreamOrigin {
    StreamOrigin { build: Some(build.into()), weights: Some(weights.into()) }
}

#[test]
fn stream_reaches_its_caller_complete_and_in_order() {
    let mut driver = TestDriver::new();
    let (id, actions) = driver.request(chat("secret-1"));
    assert_eq!(dispatches(&actions).len(), 1);
    driver.report(id, 1, started());
    (0..5).for_each(|index| drop(driver.report(id, 1, token(index))));
    driver.report(id, 1, AttemptReport::Ended);
    assert_eq!(driver.text(id), "t0 t1 t2 t3 t4 ");
    assert_eq!(driver.replies(id).last(), Some(&CallerReply::End));
    assert_eq!(driver.state.request_count(), 0);
}

#[parameterized(
    no_key = { RequestArrival { key: None, ..chat("") }, ErrorKind::KeyMissing },
    wrong_key = { chat("guess"), ErrorKind::KeyInvalid },
    unknown_path = { RequestArrival { path: "/none".into(), ..chat("secret-1") }, ErrorKind::RouteUnknown },
    path_sharing_only_letters = { RequestArrival { path: "/registered".into(), ..chat("secret-1") }, ErrorKind::RouteUnknown },
    unknown_model = { RequestArrival { model: Some("other".into()), ..chat("secret-1") }, ErrorKind::ModelUnknown },
    no_model = { RequestArrival { model: None, ..chat("secret-1") }, ErrorKind::ModelUnknown },
    over_the_burst = { RequestArrival { max_tokens: Some(50_000), ..chat("secret-1") }, ErrorKind::RateExceeded },
    malformed_event_id = { RequestArrival { last_event_id: Some("7".into()), ..chat("secret-1") }, ErrorKind::RequestInvalid },
)]
fn refused_request_is_not_dispatched(arrival: RequestArrival, kind: ErrorKind) {
    let mut driver = TestDriver::new();
    let (_, actions) = driver.request(arrival);
    let found = errors(&actions);
    assert_eq!((found[0].kind, found[0].outcome), (kind, RunOutcome::NotRun));
    assert!(dispatches(&actions).is_empty());
}

#[test]
fn open_route_needs_no_key() {
    let mut driver = TestDriver::new();
    let arrival = RequestArrival { key: None, path: "/public/a".into(), model: None, ..chat("") };
    assert_eq!(dispatches(&driver.request(arrival).1).len(), 1);
}

#[test]
fn engine_that_dies_is_replaced_without_lost_or_duplicate_tokens() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    (0..3).for_each(|index| drop(driver.report(id, 1, token(index))));
    let failed = AttemptReport::Failed { sent: true, rejected: false };
    let orders = dispatches(&driver.report(id, 1, failed));
    let resume = orders[0].resume.clone().expect("the retry resumes the answer");
    assert_eq!((orders[0].attempt, resume.tokens, &*resume.text), (2, 3, "t0 t1 t2 "));
    driver.report(id, 1, token(3));
    driver.report(id, 2, started());
    (3..6).for_each(|index| drop(driver.report(id, 2, token(index))));
    driver.report(id, 2, AttemptReport::Ended);
    assert_eq!(driver.text(id), "t0 t1 t2 t3 t4 t5 ");
}

/// Guards against an answer joined from two builds of the engines, or from two versions of the weights.
#[parameterized(
    other_build = { origin("b2", "v1") },
    no_build = { StreamOrigin { build: None, ..origin("", "v1") } },
    other_weights = { origin("b1", "v2") },
)]
fn stream_never_goes_on_at_an_engine_of_another_origin(other: StreamOrigin) {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    (0..3).for_each(|index| drop(driver.report(id, 1, token_of(origin("b1", "v1"), index))));
    driver.report(id, 1, AttemptReport::Lost);
    driver.report(id, 2, started());
    let actions = driver.report(id, 2, token_of(other.clone(), 3));
    let cancelled =
        |action: &RouterAction| matches!(action, RouterAction::Cancel { attempt: 2, .. });
    assert!(actions.iter().any(cancelled), "{actions:?}");
    // The others are tried, and at last the one that began the stream, which may run again.
    for attempt in 3..=4 {
        driver.report(id, attempt, started());
        driver.report(id, attempt, token_of(other.clone(), 3));
    }
    let orders = dispatches(&driver.actions);
    assert_eq!((orders.len(), &orders[0].target), (4, &orders[3].target));
    let found = errors(&driver.actions);
    assert_eq!((found[0].kind, found[0].outcome), (ErrorKind::StreamLost, RunOutcome::Unknown));
    assert_eq!((driver.text(id).as_str(), driver.state.request_count()), ("t0 t1 t2 ", 0));
}

/// Guards against requests to a target before the time it named, and against a target that an absurd time disables.
#[test]
fn deferred_target_gets_no_request_for_a_bounded_time() {
    let mut driver = TestDriver::new();
    let (id, actions) = driver.request(chat("secret-1"));
    let busy = dispatches(&actions)[0].target.clone();
    let report = AttemptReport::Deferred { rejected: true, wait: ClockSpan::from_secs(86_400) };
    let again = dispatches(&driver.report(id, 1, report));
    assert_ne!(again[0].target, busy);
    let start = driver.now;
    let mut sent = Vec::new();
    while driver.now.since(start) < ClockSpan::from_secs(40) {
        driver.advance(100);
        let (id, actions) = driver.request(chat("secret-2"));
        for order in dispatches(&actions) {
            sent.extend((order.target == busy).then_some(driver.now.since(start)));
            driver.report(id, order.attempt, started());
            driver.report(id, order.attempt, AttemptReport::Ended);
        }
    }
    let early = sent.iter().filter(|at| **at < ClockSpan::from_secs(30)).count();
    assert_eq!((early, sent.is_empty()), (0, false));
}

/// Guards against an engine's refusal to continue a stream that is joined to its text and ended as complete.
#[test]
fn refusal_of_a_resumed_attempt_is_no_part_of_the_stream() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    driver.report(id, 1, token(0));
    driver.report(id, 1, AttemptReport::Lost);
    let content_type = "application/json".to_owned();
    let actions = driver.report(id, 2, AttemptReport::Started { status: 400, content_type });
    assert_eq!(dispatches(&actions)[0].attempt, 3);
    driver.report(id, 2, AttemptReport::Data(std::sync::Arc::from(*b"{}")));
    driver.report(id, 2, AttemptReport::Ended);
    driver.report(id, 3, started());
    driver.report(id, 3, token(1));
    driver.report(id, 3, AttemptReport::Ended);
    assert_eq!(driver.text(id), "t0 t1 ");
    let is_data = |reply: &CallerReply| matches!(reply, CallerReply::Data(_));
    assert!(!driver.replies(id).iter().any(is_data));
}

/// Guards against attempts at engines whose load reports name another build, and against a stream that waits for none.
#[test]
fn stream_goes_on_only_where_its_build_is_reported() {
    let mut driver = TestDriver::new();
    let (id, actions) = driver.request(chat("secret-1"));
    let first = dispatches(&actions)[0].target.clone();
    let engines = ["engine-0", "engine-1", "engine-2"].map(godwitroad_base::TargetName::from);
    let others: Vec<_> = engines.iter().filter(|name| **name != first).collect();
    let report = |driver: &mut TestDriver, target: &godwitroad_base::TargetName, build: &str| {
        let build = Some(build.into());
        let report = LoadReport { build, incarnation: 7, ..LoadReport::default() };
        driver.send(RouterEvent::Load { target: target.clone(), report })
    };
    report(&mut driver, others[0], "b2");
    report(&mut driver, others[1], "b1");
    driver.report(id, 1, started());
    driver.report(id, 1, token_of(origin("b1", "v1"), 0));
    report(&mut driver, &first, "b2");
    let orders = dispatches(&driver.report(id, 1, AttemptReport::Lost));
    assert_eq!(&orders[0].target, others[1], "only this engine reports the build of the stream");
    report(&mut driver, others[1], "b2");
    let end = driver.report(id, 2, AttemptReport::Lost);
    assert!(dispatches(&end).is_empty());
    assert_eq!(errors(&end)[0].kind, ErrorKind::StreamLost, "no engine of the build is left");
}

/// Guards against other requests that wait behind a stream whose build has no free slot.
#[test]
fn stream_that_waits_for_its_build_holds_up_no_other_request() {
    let mut driver = TestDriver::new();
    let ids: Vec<_> = (0..6).map(|_| driver.request(chat("secret-1"))).collect();
    let target_of = |index: usize| dispatches(&ids[index].1)[0].target.clone();
    let first = target_of(0);
    let same = (1..6).find(|index| target_of(*index) == first).expect("an engine has two slots");
    for name in ["engine-0", "engine-1", "engine-2"] {
        let build = Some(if first.as_str() == name { "b1" } else { "b2" }.into());
        let report = LoadReport { build, ..LoadReport::default() };
        driver.send(RouterEvent::Load { target: name.into(), report });
    }
    let (broken, running) = (ids[0].0, ids[same].0);
    driver.report(broken, 1, started());
    driver.report(broken, 1, token_of(origin("b1", "v1"), 0));
    let (next, _) = driver.request(chat("secret-1"));
    // The next request takes the slot that the stream leaves, so that no slot of its build is free.
    let orders = dispatches(&driver.report(broken, 1, AttemptReport::Lost));
    assert_eq!((orders.len(), orders[0].id, &orders[0].target), (1, next, &first));
    let (last, _) = driver.request(chat("secret-1"));
    let other = (1..6).find(|index| target_of(*index) != first).expect("the others are busy");
    driver.report(ids[other].0, 1, started());
    let orders = dispatches(&driver.report(ids[other].0, 1, AttemptReport::Ended));
    assert_eq!(orders.iter().map(|order| order.id).collect::<Vec<_>>(), [last]);
    driver.report(running, 1, started());
    let orders = dispatches(&driver.report(running, 1, AttemptReport::Ended));
    assert_eq!((orders[0].id, &orders[0].target), (broken, &first));
}

#[test]
fn run_once_request_that_may_have_run_is_not_run_again() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(registration("secret-1"));
    let actions = driver.report(id, 1, AttemptReport::Failed { sent: true, rejected: false });
    assert!(dispatches(&actions).is_empty());
    assert_eq!(errors(&actions)[0].outcome, RunOutcome::Unknown);
}

#[test]
fn run_once_request_that_was_not_sent_goes_to_another_target() {
    let mut driver = TestDriver::new();
    let (id, first) = driver.request(registration("secret-1"));
    let again = driver.report(id, 1, AttemptReport::Failed { sent: false, rejected: false });
    let (first, again) = (dispatches(&first), dispatches(&again));
    assert_ne!(first[0].target, again[0].target);
}

#[test]
fn withdrawn_key_ends_running_and_queued_requests() {
    let mut driver = TestDriver::new();
    let ids: Vec<_> = (0..8).map(|_| driver.request(chat("secret-1")).0).collect();
    let (other, _) = driver.request(chat("secret-2"));
    let mut next = document();
    next.accounts[0].keys.clear();
    driver.configure(2, next);
    for id in ids {
        let Some(CallerReply::Failed(error)) = driver.replies(id).pop() else {
            panic!("the caller did not receive an error")
        };
        assert_eq!(error.kind, ErrorKind::KeyWithdrawn);
    }
    assert!(driver.replies(other).is_empty(), "another account's request must continue");
    assert_eq!(errors(&driver.request(chat("secret-1")).1)[0].kind, ErrorKind::KeyInvalid);
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    let mut driver = TestDriver::new();
    let mut next = document();
    next.accounts[0].keys.clear();
    driver.configure(3, next);
    driver.configure(2, document());
    assert_eq!(errors(&driver.request(chat("secret-1")).1)[0].kind, ErrorKind::KeyInvalid);
}

#[test]
fn late_report_of_an_earlier_attempt_is_ignored() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, AttemptReport::Failed { sent: true, rejected: false });
    let actions = driver.report(id, 1, AttemptReport::Ended);
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(driver.state.request_count(), 1);
}

#[test]
fn queued_request_is_refused_as_not_run_at_its_deadline() {
    let mut driver = TestDriver::new();
    let running: Vec<_> = (0..6).map(|_| driver.request(chat("secret-1")).0).collect();
    let (late, actions) = driver.request(chat("secret-1"));
    assert!(dispatches(&actions).is_empty(), "all slots are taken");
    driver.advance(2);
    running.iter().for_each(|id| drop(driver.report(*id, 1, started())));
    let found = errors(&driver.advance(29_999));
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].kind, found[0].outcome), (ErrorKind::Overloaded, RunOutcome::NotRun));
    assert!(!driver.replies(late).is_empty());
}

/// Guards against requests that get neither an answer nor a refusal once a change removes their service.
#[test]
fn request_whose_service_is_removed_while_it_waits_is_refused_at_once() {
    let mut driver = TestDriver::new();
    let ids: Vec<_> = (0..7).map(|_| driver.request(chat("secret-1")).0).collect();
    driver.configure(2, without_engines());
    let reply = driver.replies(ids[6]).pop();
    let Some(CallerReply::Failed(error)) = reply else { panic!("no refusal: {reply:?}") };
    assert_eq!((error.kind, error.outcome), (ErrorKind::TargetUnavailable, RunOutcome::NotRun));
    // Those that run end by themselves, or truthfully when they can't be run again.
    driver.report(ids[0], 1, started());
    driver.report(ids[0], 1, AttemptReport::Ended);
    assert_eq!(driver.replies(ids[0]).last(), Some(&CallerReply::End));
    let failed = AttemptReport::Failed { sent: true, rejected: false };
    assert_eq!(errors(&driver.report(ids[1], 1, failed))[0].outcome, RunOutcome::Unknown);
}

/// Guards against a request that never ends because its target froze with the connection open.
#[parameterized(
    before_the_head = { chat("secret-1"), 0, RunOutcome::Unknown },
    within_the_stream = { chat("secret-1"), 2, RunOutcome::Unknown },
    run_once = { registration("secret-1"), 0, RunOutcome::Unknown },
)]
fn request_at_a_target_that_stays_silent_ends_at_the_deadline(
    arrival: RequestArrival,
    tokens: u64,
    outcome: RunOutcome,
) {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(arrival);
    if tokens > 0 {
        driver.advance(29_000);
        driver.report(id, 1, started());
        (0..tokens).for_each(|index| drop(driver.report(id, 1, token(index))));
    }
    let is_cancelled = |actions: &[RouterAction]| {
        actions.iter().any(|action| matches!(action, RouterAction::Cancel { .. }))
    };
    let early = driver.advance(29_999);
    assert!(
        errors(&early).is_empty() && !is_cancelled(&early),
        "ended by silence alone: {early:?}"
    );
    let found = errors(&driver.advance(1));
    assert_eq!((found[0].kind, found[0].outcome), (ErrorKind::TargetFailed, outcome));
    driver.advance(30_000);
    assert_eq!(
        (driver.state.request_count(), driver.replies(id).last()),
        (0, Some(&CallerReply::Failed(found[0].clone())))
    );
}

/// Guards against a stream that counts as silent while the router itself doesn't read it.
#[test]
fn stream_of_a_slow_caller_is_not_taken_for_silent() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    let text: std::sync::Arc<str> = "x".repeat(300 << 10).into();
    let event = AttemptReport::Tokens {
        origin: StreamOrigin::default(),
        first: 0,
        count: 1,
        data: text.clone(),
        text,
    };
    driver.report(id, 1, event);
    assert!(errors(&driver.advance(100_000)).is_empty());
    driver.send(RouterEvent::CallerDrained { id, bytes: 300 << 10 });
    assert!(errors(&driver.advance(29_999)).is_empty());
    assert_eq!(errors(&driver.advance(1)).len(), 1);
}

/// Guards against a stop that waits for a run-once request whose target never answers, and against its cancellation.
#[test]
fn silent_run_once_request_is_not_cancelled_and_its_late_answer_ends_it() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(registration("secret-1"));
    driver.advance(30_000);
    driver.report(id, 1, started());
    assert_eq!(driver.state.request_count(), 1);
    driver.report(id, 1, AttemptReport::Ended);
    assert_eq!((driver.state.request_count(), driver.replies(id).len()), (0, 1));
    let cancels =
        driver.actions.iter().filter(|action| matches!(action, RouterAction::Cancel { .. }));
    assert_eq!(cancels.count(), 0);
}

#[test]
fn resumed_stream_replays_missed_events_and_only_for_its_key() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    (0..2).for_each(|index| drop(driver.report(id, 1, token(index))));
    driver.send(RouterEvent::CallerLeft { id });
    driver.report(id, 1, token(2));
    let last = Some(format!("{id}-1"));
    let stranger = RequestArrival { last_event_id: last.clone(), ..chat("secret-2") };
    assert_eq!(errors(&driver.request(stranger).1)[0].kind, ErrorKind::StreamLost);
    let (_, actions) = driver.request(RequestArrival { last_event_id: last, ..chat("secret-1") });
    let numbers: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            RouterAction::Reply { reply: CallerReply::Event { number, .. }, .. } => Some(*number),
            _ => None,
        })
        .collect();
    assert_eq!(numbers, [2, 3]);
}

#[test]
fn abandoned_stream_is_cancelled_after_the_grace_time() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    driver.report(id, 1, started());
    driver.send(RouterEvent::CallerLeft { id });
    let cancelled = |actions: &[RouterAction]| {
        actions.iter().any(|action| matches!(action, RouterAction::Cancel { .. }))
    };
    assert!(!cancelled(&driver.advance(4_999)));
    assert!(cancelled(&driver.advance(1)));
}

#[test]
fn planned_stop_waits_for_every_request() {
    let mut driver = TestDriver::new();
    let (id, _) = driver.request(chat("secret-1"));
    let exits = |actions: &[RouterAction]| {
        actions.iter().any(|action| matches!(action, RouterAction::Exit))
    };
    assert!(!exits(&driver.send(RouterEvent::Stop)));
    assert_eq!(errors(&driver.request(chat("secret-1")).1)[0].kind, ErrorKind::NotReady);
    driver.report(id, 1, started());
    assert!(exits(&driver.report(id, 1, AttemptReport::Ended)));
    assert_eq!(driver.replies(id).last(), Some(&CallerReply::End));
}

/// Guards against requests that are taken on before a stop and cut off at its end.
#[parameterized(two = { 2_000, 1_750 }, four = { 4_000, 3_500 }, eight = { 8_000, 7_500 })]
fn planned_stop_takes_on_only_what_ends_in_time(limit_ms: u64, answer_by_ms: u64) {
    let mut driver = TestDriver::new();
    driver.send(RouterEvent::PrepareStop { limit: ClockSpan::from_ms(limit_ms) });
    let within = |ms| RequestArrival { deadline: Some(ClockSpan::from_ms(ms)), ..chat("secret-1") };
    let (_, actions) = driver.request(within(answer_by_ms));
    assert_eq!(dispatches(&actions).len(), 1);
    let (_, actions) = driver.request(within(answer_by_ms + 1));
    let found = errors(&actions);
    assert_eq!((found[0].kind, found[0].outcome), (ErrorKind::NotReady, RunOutcome::NotRun));
    assert!(dispatches(&actions).is_empty());
}

#[test]
fn requests_that_are_open_at_the_end_of_a_stop_get_a_true_answer() {
    let mut driver = TestDriver::new();
    let (running, _) = driver.request(registration("secret-1"));
    let (streaming, _) = driver.request(chat("secret-1"));
    driver.report(streaming, 1, started());
    driver.report(streaming, 1, token(0));
    let queued: Vec<_> = (0..200).map(|_| driver.request(chat("secret-1")).0).collect();
    let is_queued = |driver: &TestDriver, id| {
        driver.replies(id).is_empty()
            && dispatches(&driver.actions).iter().all(|order| order.id != id)
    };
    let queued: Vec<_> = queued.into_iter().filter(|id| is_queued(&driver, *id)).collect();
    assert!(!queued.is_empty());
    driver.send(RouterEvent::PrepareStop { limit: ClockSpan::from_ms(4_000) });
    driver.send(RouterEvent::Stop);
    driver.advance(3_400);
    assert!(driver.replies(running).is_empty());
    driver.advance(200);
    assert_eq!(driver.state.request_count(), 0);
    let outcome = |id| match driver.replies(id).last() {
        Some(CallerReply::Failed(error)) => error.outcome,
        other => panic!("{other:?}"),
    };
    assert_eq!((outcome(running), outcome(streaming)), (RunOutcome::Unknown, RunOutcome::Unknown));
    assert!(queued.iter().all(|id| outcome(*id) == RunOutcome::NotRun));
}

#[test]
fn nearest_targets_are_used_when_there_are_more_than_the_index_holds() {
    let mut driver = TestDriver::new();
    let mut large = document();
    let remote = |index: usize| TargetConfig {
        name: format!("far-{index}").into(),
        zone: "zone-z".into(),
        address: format!("127.0.1.1:{}", 10_000 + index),
        ..TargetConfig::default()
    };
    large.services[0].targets.splice(0..0, (0..6_000).map(remote));
    driver.configure(2, large);
    let (_, actions) = driver.request(chat("secret-1"));
    assert!(dispatches(&actions)[0].target.as_str().starts_with("engine-"));
}

#[test]
fn unconfigured_router_refuses() {
    let mut driver = TestDriver::unconfigured();
    assert_eq!(errors(&driver.request(chat("secret-1")).1)[0].kind, ErrorKind::NotReady);
}

/// Answers from another region cross a paid link and must be counted like requests.
#[test]
fn bytes_to_and_from_another_region_are_counted() {
    let mut driver = TestDriver::new();
    let link_bytes = |driver: &TestDriver| {
        driver.state.status(driver.now)["link_bytes"].as_u64().expect("the status has link_bytes")
    };
    let (near, _) = driver.request(chat("secret-1"));
    driver.report(near, 1, started());
    driver.report(near, 1, token(0));
    assert_eq!(link_bytes(&driver), 0);
    let mut remote = document();
    remote.services[0].targets.iter_mut().for_each(|target| target.zone = "zone-z".into());
    driver.configure(2, remote);
    let (remote, _) = driver.request(chat("secret-1"));
    let sent = link_bytes(&driver);
    assert!(sent >= 400, "the prompt has 400 bytes: {sent}");
    driver.report(remote, 1, started());
    driver.report(remote, 1, token(0));
    assert_eq!(link_bytes(&driver), sent + 3);
}

/// Encoded as a sequence of integers, a chunk would take up to two bytes for each of its bytes.
#[test]
fn chunk_is_encoded_as_a_byte_string() {
    let chunk: std::sync::Arc<[u8]> = (0..=255).cycle().take(10_000).collect();
    let message = PeerMessage::Sync(SyncMessage::Chunk(chunk));
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).unwrap();
    assert!(bytes.len() < 10_100, "{} bytes", bytes.len());
    let read: PeerMessage = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(read, message);
    let text = serde_json::to_string(&message).unwrap();
    assert_eq!(serde_json::from_str::<PeerMessage>(&text).unwrap(), message);
}
