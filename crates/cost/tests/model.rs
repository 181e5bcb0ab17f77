//! What the model learns of targets, and how long it remembers it.

use godwitroad_base::{ClockTime, TargetName};
use godwitroad_cost::{
    CostEstimate, CostModel, CostSettings, EngineSize, RequestSize, SentRequest, TargetWork,
};

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn target() -> TargetName {
    "t-1".into()
}

fn model(seed: u64) -> CostModel {
    CostModel::new(CostSettings::default(), seed)
}

fn estimate(model: &CostModel, now: u64) -> CostEstimate {
    let work = TargetWork { slots: 64, memory_tokens: 90_000, stride: 8, ..TargetWork::default() };
    let engine = EngineSize { input: 2_000, prefill: 2_000, output: 100 };
    let request = RequestSize { engine: Some(engine), is_streaming: true };
    model.estimate(at(now), &target(), &work, &request)
}

fn send(model: &mut CostModel, now: u64) -> SentRequest {
    let estimate = estimate(model, now);
    model.record_waiting(at(now), &target(), estimate)
}

// Guards against constants that apply to all targets although some are 2.5 times slower.
#[test]
fn learns_a_permanent_factor() {
    let mut model = model(1);
    let sheet = estimate(&model, 0).first_ms;
    for step in 0..100 {
        let sent = send(&mut model, step * 1_000);
        model.record_first_event(at(step * 1_000 + (sheet * 2.5) as u64), &target(), &sent);
    }
    let ratio = estimate(&model, 105_000).first_ms / sheet;
    assert!((2.2..2.6).contains(&ratio), "{ratio}");
    // Figures that are not renewed return to the data sheet.
    let ratio = estimate(&model, 1_000_000).first_ms / sheet;
    assert!(ratio < 1.1, "{ratio}");
}

// Guards against a pace that is applied long after the report.
#[test]
fn forgets_a_reported_pace_within_seconds() {
    let mut model = model(1);
    let sheet = estimate(&model, 0).first_ms;
    model.record_report(at(1_000), &target(), 3.0);
    // Slightly less than the factor of 3, as the pace returns to the long-term factor while the request waits.
    let ratio = estimate(&model, 1_000).first_ms / sheet;
    assert!((2.7..3.0).contains(&ratio), "{ratio}");
    let later = estimate(&model, 3_000).first_ms;
    assert!(later < 1.1 * sheet, "{later}");
}

// Guards against a stuck target that keeps its low estimate until its requests have failed.
#[test]
fn silence_raises_the_estimate_until_the_first_response() {
    let (mut own, mut peer) = (model(1), model(2));
    let calm = estimate(&own, 0).first_ms;
    let sent = send(&mut own, 0);
    let stuck = estimate(&own, 1_000).first_ms;
    assert!(stuck > calm + 800.0, "{stuck}");
    assert_eq!(own.newly_silent(at(1_000)).len(), 1);
    assert!(own.newly_silent(at(1_200)).is_empty(), "a silence is announced once");

    peer.receive(at(1_010), &own.entries(at(1_000)));
    assert!(estimate(&peer, 1_100).first_ms > calm + 800.0);
    // A peer that has a request there too doesn't announce what it has heard.
    let peers = send(&mut peer, 1_020);
    assert!(peer.newly_silent(at(2_400)).is_empty());

    own.record_first_event(at(2_410), &target(), &sent);
    peer.receive(at(2_420), &own.entries(at(2_410)));
    assert!(estimate(&peer, 2_420).silent_ms < 50.0);
    peer.record_first_event(at(2_450), &target(), &peers);
    assert_eq!(estimate(&own, 2_420).silent_ms, 0.0);
}

// Guards against a target that counts as calm again once the callers of its stuck requests have left.
#[test]
fn silence_outlasts_the_requests_that_showed_it() {
    let mut model = model(1);
    let sent = send(&mut model, 0);
    model.record_end(at(1_500), &target(), &sent, false);
    assert!(estimate(&model, 1_700).silent_ms > 1_000.0);
    assert_eq!(estimate(&model, 4_000).silent_ms, 0.0, "the target is tried again");
}

// Guards against a figure that a router takes from a peer's repeated message as if it were new each time.
#[test]
fn peers_figures_are_taken_once_with_their_age() {
    let (mut own, mut peer) = (model(1), model(2));
    let sheet = estimate(&own, 0).first_ms;
    let sent = send(&mut own, 0);
    own.record_first_event(at(500), &target(), &sent);
    let entries = own.entries(at(600));
    assert!(entries.len() == 1 && entries[0].silence == 0);
    peer.receive(at(610), &entries);
    let first = estimate(&peer, 610).first_ms;
    assert!(first > 1.5 * sheet);
    peer.receive(at(810), &own.entries(at(800)));
    assert!(estimate(&peer, 810).first_ms < first);
    assert!(own.entries(at(3_000)).is_empty(), "old responses are no news");
}

// Guards against memory and run time that are set aside for declared maxima which answers don't reach.
#[test]
fn expected_lengths_are_learned_by_route_and_account() {
    let mut model = model(1);
    let (route, account) = ("r".into(), "one".into());
    for _ in 0..100 {
        model.record_length(&route, Some(&account), 400, 100);
    }
    assert!((100..120).contains(&model.expected_length(&route, Some(&account), 400)));
    assert_eq!(model.expected_length(&route, None, 400), 400, "another account");
    model.record_length(&route, None, 0, 100);
    assert_eq!(model.expected_length(&route, None, 0), 0);
}
