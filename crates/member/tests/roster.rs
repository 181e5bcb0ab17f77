//! Tests joins, removals, terms and acknowledgements in a simulated zone whose members exchange messages at once.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, NodeId, SeededRandom, VmName};
use godwitroad_member::{
    HOLD_TERM_MS, MemberAction, MemberEvent, MemberMessage, MemberReport, MemberSettings,
    MemberTable, PeerHealth, Roster, VmListing, VmState,
};
use godwitroad_store::{
    KeyVersion, StoreEntry, StoreFailure, StoreOutcome, StoreReply, StoreRequest,
};

/// A zone whose members exchange messages at once and share one store.
struct TestZone {
    now: u64,
    tables: Vec<MemberTable>,
    running: Vec<bool>,
    stored: Option<StoreEntry>,
    store_up: bool,
    /// Whether writes take effect but their replies are lost.
    lose_replies: bool,
    /// The member that reaches neither the store nor its peers.
    isolated: Option<usize>,
    listed: Vec<VmName>,
    reports: Vec<(usize, MemberReport)>,
}

fn table(vm: usize, incarnation: u64, now: u64) -> MemberTable {
    let settings = MemberSettings {
        zone: "zone-a".into(),
        node: NodeId::new(format!("vm-{vm}"), incarnation),
        ..MemberSettings::default()
    };
    MemberTable::new(settings, ClockTime::from_ms(now), SeededRandom::new(vm as u64))
}

impl TestZone {
    fn new(count: usize) -> TestZone {
        TestZone {
            now: 0,
            tables: (0..count).map(|vm| table(vm, 1, 0)).collect(),
            running: vec![true; count],
            stored: None,
            store_up: true,
            lose_replies: false,
            isolated: None,
            listed: (0..count).map(|vm| VmName::new(format!("vm-{vm}"))).collect(),
            reports: Vec::new(),
        }
    }

    fn time(&self) -> ClockTime {
        ClockTime::from_ms(self.now)
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 20;
            for vm in 0..self.tables.len() {
                if self.now.is_multiple_of(1_000) {
                    let listing = |vm: &VmName| VmListing { vm: vm.clone(), state: VmState::Live };
                    let list = self.listed.iter().map(listing).collect();
                    self.handle(vm, MemberEvent::VmList(list));
                }
                self.handle(vm, MemberEvent::Tick);
            }
        }
    }

    fn handle(&mut self, vm: usize, event: MemberEvent) {
        if !self.running[vm] {
            return;
        }
        let mut actions = Vec::new();
        let now = self.time();
        self.tables[vm].handle(now, event, &mut actions);
        let from = self.tables[vm].node().clone();
        for action in actions {
            match action {
                MemberAction::Send { to, message, .. } => {
                    let names: BTreeMap<VmName, usize> = self
                        .tables
                        .iter()
                        .enumerate()
                        .map(|(index, table)| (table.node().vm.clone(), index))
                        .collect();
                    let to = names[&to];
                    if self.isolated != Some(vm) && self.isolated != Some(to) {
                        self.handle(to, MemberEvent::Peer { from: from.clone(), message });
                    }
                }
                MemberAction::Store { call, request } => {
                    let outcome = self.store(vm, &request);
                    self.handle(vm, MemberEvent::Store { call, outcome });
                }
                MemberAction::Report(report) => self.reports.push((vm, report)),
            }
        }
    }

    fn store(&mut self, vm: usize, request: &StoreRequest) -> StoreOutcome {
        if !self.store_up || self.isolated == Some(vm) {
            return Err(StoreFailure::Unknown);
        }
        let reply = match request {
            StoreRequest::Get { .. } => StoreReply::Value(self.stored.clone()),
            StoreRequest::List { .. } => StoreReply::Entries {
                entries: self.stored.iter().cloned().collect(),
                removed: Vec::new(),
                latest_version: KeyVersion(0),
            },
            StoreRequest::Put { key, value, expected, .. } => {
                let current = self.stored.as_ref().map_or(KeyVersion(0), |entry| entry.version);
                if *expected != Some(current) {
                    return Ok(StoreReply::Conflict(self.stored.clone()));
                }
                let version = KeyVersion(current.0 + 1);
                let entry = StoreEntry { key: key.clone(), version, value: value.clone() };
                self.stored = Some(entry);
                if self.lose_replies {
                    return Err(StoreFailure::Unknown);
                }
                StoreReply::Written(version)
            }
            _ => return Err(StoreFailure::Rejected),
        };
        Ok(reply)
    }

    fn roster(&self) -> Roster {
        let entry = self.stored.as_ref().expect("a roster was written");
        Roster::decode(&entry.value).expect("the roster is well formed")
    }

    fn holding(&self) -> Vec<bool> {
        let now = self.time();
        let running = self.tables.iter().zip(&self.running);
        running.map(|(table, running)| *running && table.may_hold(now)).collect()
    }

    fn holders(&self, key: u64) -> usize {
        let now = self.time();
        let running = self.tables.iter().zip(&self.running);
        running.filter(|(table, running)| **running && table.holds(now, key)).count()
    }
}

/// Guards against members that disagree on the roster or its owners after a simultaneous start.
#[test]
fn all_join_and_agree_on_one_holder_for_each_key() {
    let mut zone = TestZone::new(4);
    zone.run(6_000);
    assert_eq!(zone.roster().members.len(), 4);
    assert_eq!(zone.holding(), [true; 4]);
    for key in 0..200 {
        assert_eq!(zone.holders(key), 1, "key {key}");
        assert_ne!(zone.tables[0].owner_of(key), zone.tables[0].backup_of(key));
    }
    let now = zone.time();
    assert_eq!(zone.tables.iter().filter(|table| table.is_reader(now)).count(), 2);
}

/// Guards against a join that is written twice or not at all when the replies to writes are lost.
#[test]
fn lost_write_replies_are_resolved_by_reading() {
    let mut zone = TestZone::new(3);
    zone.lose_replies = true;
    zone.run(8_000);
    assert_eq!((zone.roster().members.len(), zone.roster().epoch), (3, 3));
    assert_eq!(zone.holding(), [true; 3]);
}

/// Guards against terms that expire while the store is down although a majority is reachable.
#[test]
fn acknowledgements_extend_terms_while_the_store_is_down() {
    let mut zone = TestZone::new(3);
    zone.run(6_000);
    zone.store_up = false;
    zone.run(20_000);
    assert_eq!(zone.holding(), [true; 3]);
    zone.isolated = Some(1);
    zone.run(HOLD_TERM_MS + 1_000);
    assert_eq!(zone.holding(), [true, false, true], "one of three members is not a majority");
}

/// Guards against a successor that starts before the removed member's term has expired.
#[test]
fn an_isolated_member_is_removed_and_replaced_after_its_term() {
    let mut zone = TestZone::new(3);
    zone.run(6_000);
    zone.isolated = Some(1);
    let mut replaced = 0;
    for _ in 0..1_000 {
        zone.run(20);
        for key in 0..50 {
            assert!(zone.holders(key) <= 1, "two holders of key {key} at {}", zone.now);
        }
        replaced = (0..50).filter(|key| zone.holders(*key) == 1).count();
    }
    assert_eq!(zone.roster().members.len(), 2);
    assert_eq!(replaced, 50, "the remaining members must hold all keys");
    zone.isolated = None;
    zone.run(8_000);
    assert_eq!(zone.roster().members.len(), 3, "the member must join again");
}

/// Guards against a process that still acts as a holder after a pause longer than its term.
#[test]
fn a_paused_process_loses_its_term() {
    let mut zone = TestZone::new(3);
    zone.run(6_000);
    let term = zone.tables[0].term_end(zone.time()).expect("a term runs");
    let late = term + ClockSpan::from_ms(1);
    assert!(!zone.tables[0].may_hold(late));
    let mut actions = Vec::new();
    zone.tables[0].handle(late, MemberEvent::Tick, &mut actions);
    let ended =
        |action: &MemberAction| matches!(action, MemberAction::Report(MemberReport::TermEnded));
    assert!(actions.iter().any(ended));
    let peer: VmName = "vm-1".into();
    assert_eq!(
        zone.tables[0].health_of(late, &peer),
        Some(PeerHealth::Live),
        "a pause of this process must not change the health of a peer"
    );
}

/// Guards against a member that counts as live although it doesn't receive this process's heartbeats.
#[test]
fn a_one_way_heartbeat_does_not_count() {
    let mut zone = TestZone::new(2);
    zone.run(6_000);
    let from = zone.tables[1].node().clone();
    let heartbeat = |sequence| godwitroad_member::Heartbeat {
        epoch: 2,
        sequence,
        term_ack: true,
        ..Default::default()
    };
    zone.running[1] = false;
    for number in 1_000..1_100 {
        zone.run(40);
        let message = MemberMessage::Heartbeat(heartbeat(number));
        zone.handle(0, MemberEvent::Peer { from: from.clone(), message });
    }
    let health = zone.tables[0].health_of(zone.time(), &from.vm);
    assert_eq!(health, Some(PeerHealth::Unreachable));
}

/// Guards against a lost VM that stays in the roster forever in a zone of two, where no majority can remove it.
#[test]
fn a_vm_missing_from_the_list_is_removed() {
    let mut zone = TestZone::new(2);
    zone.run(6_000);
    zone.running[1] = false;
    zone.run(10_000);
    assert_eq!(zone.roster().members.len(), 2, "one of two members is not a majority");
    zone.listed.truncate(1);
    zone.run(8_000);
    assert_eq!(zone.roster().members.len(), 1);
    assert_eq!((0..50).filter(|key| zone.holders(*key) == 1).count(), 50);
}

/// Guards against a planned leave after which keys have no holder for the length of a term.
#[test]
fn a_planned_leave_does_not_wait_for_a_term() {
    let mut zone = TestZone::new(3);
    zone.run(6_000);
    zone.handle(2, MemberEvent::Leave);
    assert!(zone.reports.contains(&(2, MemberReport::HandoffRequired)));
    zone.handle(2, MemberEvent::HandoffComplete);
    zone.run(1_500);
    assert!(zone.reports.contains(&(2, MemberReport::Left)));
    assert_eq!((0..50).filter(|key| zone.holders(*key) == 1).count(), 50);
}

/// Guards against an older process of a VM that stays in the roster together with the newer one.
#[test]
fn a_newer_process_replaces_the_older_one_at_once() {
    let mut zone = TestZone::new(3);
    zone.run(6_000);
    zone.tables[1] = table(1, 2, zone.now);
    zone.run(2_500);
    let incarnations: Vec<u64> =
        zone.roster().members.iter().map(|member| member.incarnation.0).collect();
    assert_eq!(incarnations, [1, 2, 1]);
    assert_eq!((0..50).filter(|key| zone.holders(*key) == 1).count(), 50);
}
