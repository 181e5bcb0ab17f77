//! Guards against what an older copy of the store shows after its return: a configuration in which a withdrawn key is
//! valid, targets and routers that have left, and targets that are missing although they live.

mod support;

use std::sync::Arc;

use godwitroad_base::{StoreEra, StoreRevision};
use godwitroad_forward::{
    ForwardEvent, ForwardRules, GossipMessage, RefusalReason, StoreStep, TargetRecord,
};
use support::{TestRouter, arrival, at, place, router, rules, settings, target};

fn era(number: u64) -> ForwardEvent {
    ForwardEvent::StoreEra(StoreEra::new(number))
}

fn answered(router: &mut TestRouter, now: u64) {
    router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
}

/// Returns a configuration without the key of the account `one`.
fn rules_without_key(version: u64) -> Arc<ForwardRules> {
    let mut rules = rules(version);
    rules.keys.retain(|_, account| *account != 0);
    Arc::new(rules)
}

fn refusal(router: &mut TestRouter, now: u64) -> Option<RefusalReason> {
    router.state.admit(at(now), arrival("/any/x", Some("key-one"))).err().map(|error| error.reason)
}

fn is_target_used(router: &mut TestRouter, now: u64, name: &str) -> bool {
    (0..40).any(|_| {
        let request = router.state.admit(at(now), arrival("/any/x", Some("key-one")));
        let mut request = request.expect("an open route");
        let plan = router.state.choose_target(at(now), &mut request);
        plan.is_ok_and(|plan| plan.target.as_str() == name)
    })
}

/// A router that has read the store in era 1.
fn running_router() -> TestRouter {
    let mut router = router(0);
    router.handle(0, era(1));
    answered(&mut router, 0);
    router
}

fn peer_message(version: u64, revision: StoreRevision) -> GossipMessage {
    let mut peer = TestRouter::new(settings("vm-2", 2));
    peer.handle(0, ForwardEvent::Rules(Arc::new(rules(version))));
    let mut message = peer.gossip_message(0);
    message.revision = revision;
    message.urgent_revision = revision;
    message
}

#[test]
fn a_withdrawn_key_stays_withdrawn_when_an_older_copy_shows_it() {
    let mut router = running_router();
    router.handle(1_000, ForwardEvent::Rules(rules_without_key(2)));
    answered(&mut router, 1_000);
    assert_eq!(refusal(&mut router, 1_100), Some(RefusalReason::KeyInvalid));
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::Rules(Arc::new(rules(1))));
    answered(&mut router, 2_000);
    assert_eq!(refusal(&mut router, 2_100), Some(RefusalReason::KeyInvalid));
}

#[test]
fn answers_right_after_the_return_prove_nothing() {
    let mut router = running_router();
    // The operator may have withdrawn a key after this router's last read and not have written that anew.
    router.handle(4_000, era(2));
    answered(&mut router, 4_000);
    assert_eq!(refusal(&mut router, 4_600), Some(RefusalReason::ContactLost));
    answered(&mut router, 5_100);
    assert_eq!(refusal(&mut router, 5_200), None);
}

#[test]
fn a_router_that_starts_after_the_return_trusts_no_copy_older_than_its_peers_configuration() {
    let mut starting = TestRouter::new(settings("vm-1", 1));
    starting.handle(0, ForwardEvent::PeerListed(place("vm-2", "a", 2)));
    let newest = StoreRevision::new(StoreEra::new(2), 5);
    starting.receive(10, peer_message(7, newest));
    starting.handle(20, era(2));
    starting.handle(20, ForwardEvent::Rules(Arc::new(rules(6))));
    answered(&mut starting, 20);
    assert!(
        starting.state.readiness(at(30)).is_err(),
        "it serves what a peer knows to be replaced"
    );
    assert_eq!(refusal(&mut starting, 30), Some(RefusalReason::ContactLost));
    // The operator writes the newest configuration anew.
    starting.handle(900, ForwardEvent::Rules(rules_without_key(7)));
    answered(&mut starting, 900);
    assert_eq!(refusal(&mut starting, 910), Some(RefusalReason::KeyInvalid));
}

#[test]
fn a_router_without_peers_serves_what_the_store_shows() {
    let mut starting = TestRouter::new(settings("vm-1", 1));
    starting.handle(20, era(9));
    starting.handle(20, ForwardEvent::Rules(Arc::new(rules(6))));
    answered(&mut starting, 20);
    assert!(starting.state.readiness(at(30)).is_ok());
}

#[test]
fn a_target_that_was_removed_does_not_come_back_with_the_copy() {
    let mut router = running_router();
    router.handle(1_000, ForwardEvent::TargetRemoved("plain-a".into()));
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::Target(target("plain-a", "plain", "a", 10)));
    answered(&mut router, 3_100);
    assert!(!is_target_used(&mut router, 3_200, "plain-a"));
    // If it lives, it writes its entry anew, which is a change after the listing.
    router.handle(3_300, ForwardEvent::Target(target("plain-a", "plain", "a", 10)));
    assert!(is_target_used(&mut router, 3_400, "plain-a"));
}

#[test]
fn a_target_that_was_gone_after_an_outage_does_not_come_back_with_the_copy() {
    let mut router = running_router();
    router.handle(1_000, era(2));
    router.handle(1_000, ForwardEvent::TargetRemoved("plain-a".into()));
    answered(&mut router, 2_100);
    router.handle(3_100, ForwardEvent::Tick);
    router.handle(4_000, era(3));
    router.handle(4_000, ForwardEvent::Target(target("plain-a", "plain", "a", 10)));
    answered(&mut router, 5_100);
    assert!(!is_target_used(&mut router, 5_200, "plain-a"));
}

#[test]
fn a_target_that_came_back_before_the_return_is_read_from_the_copy() {
    let mut router = running_router();
    router.handle(500, ForwardEvent::TargetRemoved("plain-a".into()));
    router.handle(1_000, ForwardEvent::Target(target("plain-a", "plain", "a", 10)));
    router.handle(2_000, era(2));
    let moved = target("plain-a", "plain", "a", 99);
    router.handle(2_000, ForwardEvent::Target(moved.clone()));
    assert_eq!(router.state.target(&"plain-a".into()), Some(&moved));
}

#[test]
fn a_version_that_no_peer_has_any_more_does_not_refuse_requests_for_good() {
    let mut router = running_router();
    let unconfirmed = StoreRevision::new(StoreEra::new(1), 3);
    router.receive(1_000, peer_message(9, unconfirmed));
    answered(&mut router, 3_000);
    answered(&mut router, 8_000);
    assert_eq!(refusal(&mut router, 8_100), Some(RefusalReason::ContactLost));
    answered(&mut router, 62_000);
    assert_eq!(refusal(&mut router, 62_100), None);
}

#[test]
fn a_target_that_drains_goes_on_draining_whatever_the_copy_shows() {
    let mut router = running_router();
    let draining = TargetRecord { draining: true, ..target("plain-a", "plain", "a", 10) };
    router.handle(1_000, ForwardEvent::Target(draining));
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::Target(target("plain-a", "plain", "a", 10)));
    answered(&mut router, 3_100);
    assert!(!is_target_used(&mut router, 3_200, "plain-a"));
    let restarted = TargetRecord { started_ms: 2, ..target("plain-a", "plain", "a", 10) };
    router.handle(3_300, ForwardEvent::Target(restarted));
    assert!(is_target_used(&mut router, 3_400, "plain-a"));
}

#[test]
fn targets_whose_entries_are_missing_in_the_copy_are_kept_until_they_are_written_anew() {
    let mut router = running_router();
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::TargetRemoved("plain-a".into()));
    answered(&mut router, 3_050);
    assert!(is_target_used(&mut router, 3_100, "plain-a"));
    router.handle(4_100, ForwardEvent::Tick);
    answered(&mut router, 4_100);
    assert!(
        !is_target_used(&mut router, 4_200, "plain-a"),
        "an entry that is still missing is gone"
    );
}

#[test]
fn a_router_that_lives_is_kept_though_the_copy_lacks_its_entry() {
    let mut router = running_router();
    let message = peer_message(1, StoreRevision::new(StoreEra::new(1), 3));
    router.receive(1_900, message);
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::PeerRemoved("vm-2".into()));
    assert_eq!(router.state.member_count(), 2);
}

#[test]
fn a_router_that_had_left_does_not_come_back_with_the_copy() {
    let mut router = running_router();
    router.handle(500, ForwardEvent::PeerListed(place("vm-2", "a", 2)));
    router.handle(1_000, ForwardEvent::PeerRemoved("vm-2".into()));
    router.handle(2_000, era(2));
    router.handle(2_000, ForwardEvent::PeerListed(place("vm-2", "a", 2)));
    assert_eq!(router.state.member_count(), 1);
}

#[test]
fn a_late_answer_of_an_earlier_era_changes_nothing() {
    let mut router = running_router();
    router.handle(2_000, era(3));
    router.handle(2_100, era(2));
    assert_eq!(router.state.store_era(), Some(StoreEra::new(3)));
}

#[test]
fn any_revision_of_a_later_era_is_newer() {
    let mut router = running_router();
    // The first router by name in each zone watches the store; this one relies on those.
    let mut message = peer_message(1, StoreRevision::new(StoreEra::new(2), 3));
    message.watches_store = true;
    message.place = place("vm-0", "b", 8);
    router.receive(90, message.clone());
    message.place = place("vm-0a", "a", 9);
    router.receive(100, message);
    let own = StoreRevision::new(StoreEra::new(1), 900);
    assert_eq!(router.state.next_store_step(at(110), own), StoreStep::CatchUp);
    let same = StoreRevision::new(StoreEra::new(2), 3);
    assert_eq!(router.state.next_store_step(at(110), same), StoreStep::Idle);
}

#[test]
fn fencing_numbers_rise_where_revisions_are_given_out_again() {
    let before = StoreRevision::new(StoreEra::new(1), 900).fencing_number();
    let after = StoreRevision::new(StoreEra::new(2), 3).fencing_number();
    assert!(after > before);
    assert!(after < 1 << 53, "a JSON number must hold it exactly");
}
