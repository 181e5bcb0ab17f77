//! Claim tables compared to a sequential reference model, and tests of single rules.

mod support;

use std::sync::Arc;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, RequestId, rendezvous};
use godwitroad_idempotency::{
    AnswerRecord, ClaimAction, ClaimDecision, ClaimEvent, ClaimHash, ClaimMessage, ClaimOperation,
    ClaimOutcome, ClaimReply, ClaimSettings, ClaimTable, KeyState, RequestDigest,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{fixture::Fixture, reference::ReferenceTable};
use yare::parameterized;

const TABLES: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Claim { table: usize, key: u8, request: u8 },
    Finish { pick: usize, outcome: ClaimOutcome },
    Restart { table: usize },
}

#[derive(Clone, Debug, Default)]
struct ReferenceModel {
    table: ReferenceTable,
    decision: Option<ClaimDecision>,
}

struct TestedTables {
    fixture: Fixture,
    // The table and id of each claim. The reference model has no ids, as they depend on the process that received the
    // request.
    ids: Vec<(usize, RequestId)>,
}

fn account() -> AccountName {
    AccountName::from("account")
}

fn claim(id: RequestId, key: u8, request: u8) -> ClaimEvent {
    let key = format!("key-{key}").into();
    ClaimEvent::Claim { id, account: account(), key, digest: RequestDigest::of(&[request]) }
}

fn outcome() -> impl Strategy<Value = ClaimOutcome> {
    let body = |length: usize| ClaimOutcome::Answered(Arc::from(vec![b'x'; length]));
    prop_oneof![
        4 => Just(body(10)),
        2 => Just(body(5_000)),
        1 => Just(ClaimOutcome::Unknown),
        2 => Just(ClaimOutcome::NotRun),
    ]
}

impl ReferenceStateMachine for ReferenceModel {
    type State = ReferenceModel;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<ReferenceModel> {
        Just(ReferenceModel::default()).boxed()
    }

    fn transitions(_: &ReferenceModel) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..TABLES, 0..6u8, prop_oneof![9 => Just(0u8), 1 => Just(1u8)])
                .prop_map(|(table, key, request)| Step::Claim { table, key, request }),
            4 => (0..8usize, outcome()).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
            1 => (0..TABLES).prop_map(|table| Step::Restart { table }),
        ]
        .boxed()
    }

    fn apply(mut state: ReferenceModel, step: &Step) -> ReferenceModel {
        state.decision = None;
        match step {
            Step::Claim { table, key, request } => {
                let digest = RequestDigest::of(&[*request]);
                state.decision = Some(state.table.claim(*table, *key, digest));
            }
            Step::Finish { pick, outcome } => {
                let running = state.table.running();
                if let Some(key) = running.get(pick % running.len().max(1)) {
                    state.table.finish(*key, outcome.clone());
                }
            }
            Step::Restart { table } => state.table.restart(*table),
        }
        state
    }
}

impl StateMachineTest for TestedTables {
    type SystemUnderTest = TestedTables;
    type Reference = ReferenceModel;

    fn init_test(_: &ReferenceModel) -> TestedTables {
        // With small slices and one loaded slice, a short run already involves sealed and unloaded slices.
        let settings =
            ClaimSettings { max_slice_records: 2, max_loaded_slices: 1, ..Default::default() };
        TestedTables { fixture: Fixture::new(TABLES, settings), ids: Vec::new() }
    }

    fn apply(mut tested: TestedTables, reference: &ReferenceModel, step: Step) -> TestedTables {
        match step {
            Step::Claim { table, key, request } => {
                let id = tested.fixture.next_id(table);
                tested.ids.push((table, id));
                tested.fixture.drive(table, claim(id, key, request));
                assert_eq!(tested.fixture.decision(id), reference.decision.as_ref());
            }
            Step::Finish { pick, outcome } => {
                // The reference model has already applied the step, so that the running requests are derived from the
                // decisions of the tested tables.
                let running = tested.running();
                if let Some((table, id)) = running.get(pick % running.len().max(1)).copied() {
                    tested.fixture.drive(table, ClaimEvent::Finish { id, outcome });
                    tested.ids.retain(|(_, other)| *other != id);
                }
            }
            Step::Restart { table } => {
                tested.fixture.restart(table);
                tested.ids.retain(|(other, _)| *other != table);
            }
        }
        tested
    }
}

impl TestedTables {
    // Returns the running requests in the order of their keys, as the reference table does.
    fn running(&self) -> Vec<(usize, RequestId)> {
        let mut running: Vec<(usize, RequestId)> = self
            .ids
            .iter()
            .filter(|(_, id)| self.fixture.decision(*id) == Some(&ClaimDecision::Run))
            .copied()
            .collect();
        running.sort_by_key(|(_, id)| self.fixture.key_of(*id));
        running
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    /// Guards against a decision that differs from that of a table without a store, batches, slices and forwarding.
    #[test]
    fn tables_agree_with_reference_table(sequential 1..24 => TestedTables);
}

/// Guards against a restarted process that releases claims of its predecessor, whose requests may have run.
#[test]
fn late_grant_for_an_earlier_process_is_not_released() {
    let mut fixture = Fixture::new(1, ClaimSettings::default());
    let id = fixture.next_id(0);
    fixture.drive(0, claim(id, 1, 0));
    assert_eq!(fixture.decision(id), Some(&ClaimDecision::Run));
    fixture.restart(0);
    let hash = ClaimHash::new(&account(), "key-1");
    let message = ClaimMessage::Reply { id, hash, reply: ClaimReply::Granted };
    fixture.drive(0, ClaimEvent::Peer { from: "vm-0".into(), message });
    let again = fixture.next_id(0);
    fixture.drive(0, claim(again, 1, 0));
    assert_eq!(fixture.decision(again), Some(&ClaimDecision::Unknown));
}

/// Guards against an owner that confirms a final state from a stale copy, in which another request holds the claim.
#[test]
fn final_state_is_not_confirmed_from_a_stale_copy() {
    let mut fixture = Fixture::new(2, ClaimSettings::default());
    let shard = u64::from(ClaimHash::new(&account(), "key-1").shard());
    let owner = rendezvous::owner(shard, &["vm-0", "vm-1"]).expect("there are two VMs");
    let other = 1 - owner;
    let [first, second, third] = [other, other, owner].map(|index| fixture.next_id(index));
    fixture.drive(other, claim(first, 1, 0));
    fixture.notify_roster(other, &[other]);
    fixture.drive(other, ClaimEvent::Finish { id: first, outcome: ClaimOutcome::NotRun });
    fixture.drive(other, claim(second, 1, 0));
    assert_eq!(fixture.decision(second), Some(&ClaimDecision::Run));
    // The release of the first request must be complete, because it would refresh the owner's copy.
    (0..4).for_each(|_| fixture.drive(other, ClaimEvent::Tick));
    fixture.notify_roster(other, &[0, 1]);
    let body: Arc<[u8]> = b"answer".to_vec().into();
    fixture.drive(
        other,
        ClaimEvent::Finish { id: second, outcome: ClaimOutcome::Answered(body.clone()) },
    );
    fixture.drive(owner, claim(third, 1, 0));
    let replay = ClaimDecision::Replay { digest: RequestDigest::of(&body), body: Some(body) };
    assert_eq!(fixture.decision(third), Some(&replay));
}

/// Guards against a process that, on a late grant, releases the claim of a request that it ran.
#[test]
fn late_grant_for_a_request_that_ran_is_not_released() {
    let node = NodeId::new("vm-0", 1);
    let mut table = ClaimTable::new(ClaimSettings { node: node.clone(), ..Default::default() });
    let id = RequestId { node: node.tag(), serial: 1 };
    let hash = ClaimHash::new(&account(), "key-1");
    let reply = |reply| ClaimEvent::Peer {
        from: "vm-1".into(),
        message: ClaimMessage::Reply { id, hash, reply },
    };
    // The owner is another VM, which wrongly confirms the final state and then repeats its grant.
    let rosters = ClaimEvent::Rosters { members: vec!["vm-1".into()], live: vec![node] };
    let outcome = ClaimOutcome::Unknown;
    let events = [
        rosters,
        claim(id, 1, 0),
        reply(ClaimReply::Granted),
        ClaimEvent::Finish { id, outcome },
        reply(ClaimReply::Done),
        reply(ClaimReply::Granted),
        ClaimEvent::Tick,
    ];
    let mut actions = Vec::new();
    for (ms, event) in (0..).zip(events) {
        table.handle(ClockTime::from_ms(ms), event, &mut actions);
    }
    let is_release = |action: &ClaimAction| {
        matches!(action, ClaimAction::Send { message: ClaimMessage::Work(entry), .. }
            if entry.work == ClaimOperation::Release)
    };
    assert!(!actions.iter().any(is_release), "{actions:?}");
}

/// Guards against a state from a stale copy, whichever VM is queried.
#[parameterized(first_is_queried = { 0 }, second_is_queried = { 1 })]
fn lookup_returns_the_current_state_of_a_key(queried: usize) {
    let mut fixture = Fixture::new(2, ClaimSettings::default());
    let [id, first, second, third] =
        [1 - queried, queried, queried, queried].map(|i| fixture.next_id(i));
    let lookup = |id| ClaimEvent::Lookup { id, account: account(), key: "key-1".into() };
    let digest = RequestDigest::of(&[0]);
    fixture.drive(queried, lookup(first));
    fixture.drive(1 - queried, claim(id, 1, 0));
    fixture.drive(queried, lookup(second));
    let outcome = ClaimOutcome::Answered(b"answer".to_vec().into());
    fixture.drive(1 - queried, ClaimEvent::Finish { id, outcome });
    fixture.drive(queried, lookup(third));
    let finished = KeyState::Finished(digest, AnswerRecord::new(b"answer"));
    assert_eq!(fixture.states, vec![KeyState::Absent, KeyState::Claimed(digest), finished]);
}

/// Guards against a claim that expires before its retention has passed, and against one that never expires.
#[test]
fn claims_last_for_their_retention() {
    let retention = ClockSpan::from_secs(600);
    let mut fixture = Fixture::new(1, ClaimSettings { retention, ..Default::default() });
    let [first, early, late] = [0; 3].map(|_| fixture.next_id(0));
    fixture.drive(0, claim(first, 1, 0));
    let body: Arc<[u8]> = b"answer".to_vec().into();
    fixture
        .drive(0, ClaimEvent::Finish { id: first, outcome: ClaimOutcome::Answered(body.clone()) });
    fixture.advance_clock(ClockSpan::from_secs(590));
    fixture.drive(0, claim(early, 1, 0));
    let replay = ClaimDecision::Replay { digest: RequestDigest::of(&body), body: Some(body) };
    assert_eq!(fixture.decision(early), Some(&replay));
    fixture.advance_clock(ClockSpan::from_secs(1_300));
    fixture.restart(0);
    fixture.drive(0, claim(late, 1, 0));
    assert_eq!(fixture.decision(late), Some(&ClaimDecision::Run));
}

/// Guards against a request that runs after its caller was told that it didn't run.
#[test]
fn unresponsive_store_refuses_and_never_runs() {
    let mut table = ClaimTable::new(ClaimSettings::default());
    let mut actions = Vec::new();
    let id = RequestId { node: 1, serial: 1 };
    let at = ClockTime::from_ms;
    table.handle(at(0), claim(id, 1, 0), &mut actions);
    for ms in (10..5_000).step_by(10) {
        table.handle(at(ms), ClaimEvent::Tick, &mut actions);
    }
    let hash = ClaimHash::new(&account(), "key-1");
    let message = ClaimMessage::Reply { id, hash, reply: ClaimReply::Granted };
    table.handle(at(5_000), ClaimEvent::Peer { from: "vm-1".into(), message }, &mut actions);
    let decisions: Vec<&ClaimDecision> = actions
        .iter()
        .filter_map(|action| match action {
            ClaimAction::Decision { decision, .. } => Some(decision),
            _ => None,
        })
        .collect();
    assert!(matches!(decisions[..], [ClaimDecision::NotRun { .. }]), "{decisions:?}");
}
