//! Tests of the suspicion against single parts: what raises it, what ends it, and what it withholds.

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_quarantine::{
    PartCrash, PartKey, PartVerdict, QuarantineSettings, QuarantineTable, WithheldPart,
};
use yare::parameterized;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn key(id: &str) -> PartKey {
    PartKey::new("m", id)
}

fn keys<const COUNT: usize>(ids: [&str; COUNT]) -> Vec<PartKey> {
    ids.map(key).to_vec()
}

fn table() -> QuarantineTable {
    QuarantineTable::new(QuarantineSettings::default())
}

fn crash(table: &mut QuarantineTable, now: u64, target: u32, beginning: bool, ids: &[&str]) {
    let keys: Vec<PartKey> = ids.iter().map(|id| key(id)).collect();
    table.record_crash(at(now), PartCrash { target, at: at(now), beginning, retry: false }, &keys);
}

fn screen(table: &mut QuarantineTable, now: u64, ids: &[&str]) -> PartVerdict {
    let keys: Vec<PartKey> = ids.iter().map(|id| key(id)).collect();
    table.screen(at(now), &keys, false, |_| false)
}

fn withhold(table: &mut QuarantineTable, ids: &[&str]) {
    for (now, target) in [(1_000, 1), (2_000, 2), (3_000, 3)] {
        crash(table, now, target, true, ids);
    }
}

#[test]
fn a_part_is_withheld_after_three_crashes_without_an_answer() {
    let mut table = table();
    for (now, target) in [(1_000, 1), (2_000, 2)] {
        crash(&mut table, now, target, true, &["root", "dead"]);
        table.record_completion(at(now + 500), &keys(["root"]));
        assert_eq!(screen(&mut table, now + 600, &["root", "dead"]), PartVerdict::Sound);
    }
    crash(&mut table, 3_000, 3, true, &["root", "dead"]);
    assert_eq!(screen(&mut table, 3_001, &["root", "dead"]), PartVerdict::Withheld(key("dead")));
    assert_eq!(screen(&mut table, 3_001, &["root", "other"]), PartVerdict::Sound);
}

/// Guards against a deadly part in so many requests that all targets crash at one moment, as in an outage.
#[test]
fn outages_of_only_the_targets_that_began_to_answer_count() {
    let mut table = table();
    for now in [1_000, 2_000, 3_000] {
        assert_eq!(screen(&mut table, now, &["dead"]), PartVerdict::Sound);
        for target in 1..=3 {
            crash(&mut table, now + u64::from(target), target, true, &["dead"]);
        }
    }
    assert_eq!(screen(&mut table, 3_100, &["dead"]), PartVerdict::Withheld(key("dead")));
}

/// Guards against a sound request that is withheld because it waited at targets which the tests of a withheld one crashed.
#[test]
fn a_crash_that_a_withheld_request_explains_counts_against_no_other() {
    let mut table = QuarantineTable::new(QuarantineSettings::for_requests());
    let dead = WithheldPart { key: key("dead"), left_ms: 0, trials: 0, probes: 0, idle_ms: 0 };
    assert!(table.adopt(at(1_000), &dead));
    for (now, target) in [(2_000, 1), (12_000, 2), (32_000, 3)] {
        // The requests of one target are reported one by one, in any order.
        crash(&mut table, now, target, false, &["sound"]);
        crash(&mut table, now + 5, target, false, &["dead"]);
    }
    assert_eq!(screen(&mut table, 33_000, &["sound"]), PartVerdict::Sound);
    for (now, target) in [(34_000, 4), (35_000, 5), (36_000, 6)] {
        crash(&mut table, now, target, false, &["sound"]);
    }
    assert_eq!(screen(&mut table, 37_000, &["sound"]), PartVerdict::Withheld(key("sound")));
}

/// Guards against a request so frequent that the targets it crashes pass for an outage, and against one that is withheld for an
/// outage which others waited through at the same targets.
#[parameterized(
    on_all = { &["dead"], &[], false, true },
    beside_one_on_some = { &["dead"], &["other"], false, true },
    beside_one_on_all = { &["dead", "other"], &[], false, false },
    not_on_all = { &["dead"], &[], true, false },
)]
fn an_outage_of_targets_that_share_one_request_counts_against_it(
    on_all: &[&str],
    on_first: &[&str],
    takes_another: bool,
    is_withheld: bool,
) {
    let mut table = QuarantineTable::new(QuarantineSettings::for_requests());
    if takes_another {
        crash(&mut table, 999, 4, false, &[]);
    }
    on_first.iter().for_each(|id| crash(&mut table, 1_000, 1, false, &[id]));
    for (now, target) in [(1_000, 1), (1_010, 2), (1_020, 3)] {
        on_all.iter().for_each(|id| crash(&mut table, now, target, false, &[id]));
    }
    assert_eq!(table.is_withheld(key("dead")), is_withheld);
}

/// Guards against a part that is withheld because of an outage that took many targets or a router's network.
#[parameterized(
    one_moment = { &[(1_000, 1, true), (1_010, 2, true), (1_020, 3, true), (1_050, 4, true)] },
    one_target = { &[(1_000, 1, true), (1_200, 1, true), (1_400, 1, true), (1_600, 1, true)] },
    only_waiting = { &[(1_000, 1, false), (2_000, 2, false), (3_000, 3, false), (4_000, 4, false), (5_000, 5, false), (6_000, 6, false), (7_000, 7, false)] },
    repeated_outages = { &[(1_000, 1, true), (1_005, 2, false), (1_010, 3, true), (3_000, 1, true), (3_005, 2, true), (3_010, 3, false), (5_000, 1, false), (5_005, 2, true), (5_010, 3, true)] },
    two_crashes = { &[(1_000, 1, true), (2_000, 2, true)] },
    long_ago = { &[(1_000, 1, true), (2_000, 2, true), (125_000, 3, true)] },
)]
fn weak_evidence_withholds_nothing(crashes: &[(u64, u32, bool)]) {
    let mut table = table();
    for (now, target, beginning) in crashes {
        table.expire(at(*now));
        crash(&mut table, *now, *target, *beginning, &["cold"]);
        assert_eq!(screen(&mut table, *now, &["cold"]), PartVerdict::Sound);
    }
}

#[test]
fn a_complete_answer_ends_the_suspicion_and_protects_for_a_moment() {
    let mut table = table();
    withhold(&mut table, &["part"]);
    assert!(table.is_withheld(key("part")));
    assert_eq!(table.record_completion(at(4_000), &keys(["part"])), keys(["part"]));
    assert!(!table.is_withheld(key("part")));
    let report = PartCrash { target: 4, at: at(4_500), beginning: true, retry: false };
    assert_eq!(table.record_crash(at(4_500), report, &keys(["part", "new"])), keys(["part"]));
    let peer = WithheldPart { key: key("part"), left_ms: 9_000, trials: 0, probes: 0, idle_ms: 0 };
    assert!(!table.adopt(at(4_500), &peer), "a peer's older opinion");
    assert!(table.adopt(at(9_000), &peer));
    assert_eq!(screen(&mut table, 9_001, &["part"]), PartVerdict::Withheld(key("part")));
}

/// Guards against a sound part that is withheld with the deadly one because it was in the same requests.
#[test]
fn requests_with_one_of_two_equally_suspect_parts_tell_them_apart() {
    let mut table = table();
    withhold(&mut table, &["twin", "dead"]);
    assert_eq!(screen(&mut table, 3_100, &["twin", "dead"]), PartVerdict::Withheld(key("twin")));
    assert_eq!(screen(&mut table, 3_100, &["twin"]), PartVerdict::Trial(key("twin")));
    table.record_completion(at(3_200), &keys(["twin"]));
    assert_eq!(screen(&mut table, 3_300, &["dead"]), PartVerdict::Withheld(key("dead")));
}

#[test]
fn another_crash_sets_the_deadly_part_apart_from_its_twin() {
    let mut table = table();
    withhold(&mut table, &["twin", "dead"]);
    assert_eq!(screen(&mut table, 3_100, &["dead"]), PartVerdict::Trial(key("dead")));
    crash(&mut table, 3_200, 4, true, &["dead"]);
    assert_eq!(screen(&mut table, 3_300, &["dead"]), PartVerdict::Withheld(key("dead")));
    assert_eq!(screen(&mut table, 3_300, &["twin"]), PartVerdict::Trial(key("twin")));
    let told: Vec<PartKey> = table.withheld(at(3_300)).iter().map(|part| part.key).collect();
    assert_eq!(told, keys(["dead"]), "the others must not adopt the twin");
}

/// Guards against a sound part that is withheld because one more target crashed by itself.
#[test]
fn a_crash_of_another_cause_does_not_outweigh_the_deadly_part() {
    let mut table = table();
    withhold(&mut table, &["twin", "dead"]);
    crash(&mut table, 3_500, 4, true, &["dead"]);
    crash(&mut table, 4_000, 5, true, &["twin"]);
    assert_eq!(screen(&mut table, 4_100, &["twin"]), PartVerdict::Trial(key("twin")));
    crash(&mut table, 4_500, 6, true, &["dead"]);
    crash(&mut table, 5_500, 7, true, &["dead"]);
    assert_eq!(screen(&mut table, 5_600, &["dead"]), PartVerdict::Withheld(key("dead")));
}

/// Guards against a deadly part that many routers send again and again because an ordinary crash cast doubt on it.
#[test]
fn doubts_cost_two_more_requests_in_all() {
    let mut tables = [table(), table(), table()];
    for table in &mut tables {
        withhold(table, &["twin", "dead"]);
        crash(table, 3_100, 9, true, &["twin"]);
    }
    let (mut sent, mut target) = (0, 20);
    for now in (3_200..9_000).step_by(100) {
        let turn = (now / 100) as usize % 3;
        if screen(&mut tables[turn], now, &["dead"]) == PartVerdict::Trial(key("dead")) {
            (sent, target) = (sent + 1, target + 1);
            tables.iter_mut().for_each(|table| crash(table, now + 40, target, true, &["dead"]));
        }
        let told = tables[turn].withheld(at(now));
        tables.iter_mut().for_each(|table| {
            told.iter().for_each(|part| assert!(table.adopt(at(now), part)));
        });
    }
    assert_eq!(sent, 2);
}

/// Guards against two deadly parts that excuse each other at a router that was told of them.
#[test]
fn parts_that_other_routers_found_excuse_nothing() {
    let mut table = table();
    for id in ["dead", "deadly"] {
        let part = WithheldPart { key: key(id), left_ms: 9_000, trials: 0, probes: 0, idle_ms: 0 };
        assert!(table.adopt(at(1_000), &part));
    }
    crash(&mut table, 1_500, 1, true, &["dead", "deadly"]);
    assert_eq!(screen(&mut table, 1_600, &["dead"]), PartVerdict::Withheld(key("dead")));
    assert_eq!(screen(&mut table, 1_600, &["deadly"]), PartVerdict::Withheld(key("deadly")));
}

/// Guards against a deadly part that passes because a part of many requests waited at every target that crashed.
#[test]
fn a_part_that_only_waited_explains_no_crash_at_the_beginning_of_an_answer() {
    let mut table = table();
    withhold(&mut table, &["dead"]);
    for (now, target) in [(1_000, 1), (2_000, 2), (3_000, 3), (3_050, 4)] {
        crash(&mut table, now, target, false, &["common"]);
    }
    assert_eq!(screen(&mut table, 3_100, &["dead"]), PartVerdict::Withheld(key("dead")));
}

#[test]
fn a_retry_is_withheld_one_crash_earlier() {
    let mut table = table();
    crash(&mut table, 1_000, 1, true, &["part"]);
    assert_eq!(table.screen(at(1_100), &keys(["part"]), true, |_| false), PartVerdict::Sound);
    crash(&mut table, 2_000, 2, true, &["part"]);
    let withheld = PartVerdict::Withheld(key("part"));
    assert_eq!(table.screen(at(2_100), &keys(["part"]), true, |_| false), withheld);
    assert_eq!(table.screen(at(2_100), &keys(["part"]), false, |_| false), PartVerdict::Sound);
}

/// Guards against crashes that count once although one request was sent from target to target.
#[test]
fn the_crashes_of_one_request_count_each() {
    let mut table = table();
    for (now, target, retry) in [(1_000, 1, false), (1_010, 2, true), (1_500, 3, false)] {
        assert!(!table.is_withheld(key("part")));
        let crash = PartCrash { target, at: at(now), beginning: true, retry };
        table.record_crash(at(now), crash, &keys(["part"]));
    }
    assert!(table.is_withheld(key("part")));
}

#[test]
fn trials_grow_rare_and_only_the_responsible_router_makes_them() {
    let settings = QuarantineSettings::default();
    let mut table = table();
    withhold(&mut table, &["dead"]);
    let dead = keys(["dead"]);
    let (mut now, mut trials) = (3_000, Vec::new());
    while now < 400_000 {
        now += 500;
        let others = table.screen(at(now), &dead, false, |_| false);
        assert_eq!(others, PartVerdict::Withheld(key("dead")));
        if table.screen(at(now), &dead, false, |_| true) == PartVerdict::Trial(key("dead")) {
            trials.push(now);
            crash(&mut table, now + 50, trials.len() as u32 + 10, true, &["dead"]);
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(trials.first(), Some(&(3_000 + settings.trial_span.as_ms())));
    assert!(gaps.windows(2).all(|pair| pair[1] >= 2 * pair[0]), "{gaps:?}");
    assert_eq!(settings.withheld_span(40), settings.max_trial_span);
}

#[test]
fn a_withheld_part_is_forgotten_everywhere_once_no_request_has_it() {
    let settings = QuarantineSettings::default();
    let mut tables = [table(), table()];
    withhold(&mut tables[0], &["dead"]);
    let end = 3_000 + settings.max_trial_span.as_ms();
    for now in (3_000..=end + 2_000).step_by(1_000) {
        for (from, to) in [(0, 1), (1, 0)] {
            let parts = tables[from].withheld(at(now));
            parts.iter().for_each(|part| assert!(tables[to].adopt(at(now), part)));
        }
        tables.iter_mut().for_each(|table| table.expire(at(now)));
        let is_withheld = tables.iter().any(|table| table.is_withheld(key("dead")));
        assert!(is_withheld || now >= end, "forgotten at {now}");
    }
    assert!(tables.iter().all(|table| !table.is_withheld(key("dead"))));
}

/// Guards against a part that an outage sets free because the crashes that count against it are long ago.
#[test]
fn the_evidence_lasts_while_a_part_is_withheld() {
    let mut table = table();
    withhold(&mut table, &["dead"]);
    for now in (3_000..200_000).step_by(1_000) {
        table.expire(at(now));
        let _ = screen(&mut table, now, &["dead"]);
    }
    (1..=3).for_each(|target| crash(&mut table, 200_000, target, true, &["other"]));
    assert!(table.is_withheld(key("dead")));
}

/// Guards against callers that send any number of parts, and against parts that displace a withheld one.
#[test]
fn the_number_of_suspects_is_bounded() {
    let mut table = table();
    withhold(&mut table, &["dead"]);
    for number in 0..5_000_u64 {
        crash(&mut table, 4_000 + number, number as u32, true, &[&format!("part-{number}")]);
    }
    assert!(table.is_withheld(key("dead")));
    let suspects =
        (0..5_000).filter(|number| !table.crashes(key(&format!("part-{number}"))).is_empty());
    assert!(suspects.count() < 512);
}

#[test]
fn an_adopted_part_keeps_its_time_when_routers_repeat_it_to_each_other() {
    let mut tables = [table(), table()];
    withhold(&mut tables[0], &["dead"]);
    for now in (3_000..13_000).step_by(200) {
        for (from, to) in [(0, 1), (1, 0)] {
            let parts = tables[from].withheld(at(now));
            // The report takes a while.
            parts.iter().for_each(|part| assert!(tables[to].adopt(at(now + 100), part)));
        }
    }
    let left = tables[1].withheld(at(13_000))[0].left_ms;
    let expected =
        QuarantineSettings::default().trial_span.saturating_sub(ClockSpan::from_secs(10));
    assert!(u64::from(left) <= expected.as_ms() + 100, "{left}");
}
