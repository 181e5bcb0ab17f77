//! Tests of the encoding of gossip messages, also between routers of which only one knows the quarantine.

use godwitroad_forward::{
    BrittleReport, BrittleStatement, CrashReport, ForwardSettings, ForwardState, GossipMessage,
    LeavingNotice, LeavingSign, LimitReport, LimitStatement, PaceEntry, PartKey, QuarantineNotes,
    RejectionBound, RequestRate, RoomStatement, WithheldPart,
};

use super::{FORMAT_VERSION, MAX_DATAGRAM_BYTES, decode, encode};

fn message() -> GossipMessage {
    let mut state = ForwardState::new(ForwardSettings::default());
    let message = state.gossip_message(godwitroad_base::ClockTime::from_ms(1_000), false);
    GossipMessage { shares_changes: false, ..message }
}

fn notes(entries: u64) -> QuarantineNotes {
    let part = |number: u64| PartKey::new("m", &number.to_string());
    QuarantineNotes {
        crashes: (0..entries)
            .map(|number| CrashReport {
                target: u32::MAX,
                age_ms: 100_000,
                beginning: number.is_multiple_of(2),
                retry: false,
                parts: (0..16).map(|index| part(number * 16 + index)).collect(),
            })
            .collect(),
        cleared: (0..entries).map(part).collect(),
        withheld: (0..entries)
            .map(|number| WithheldPart {
                key: part(number),
                left_ms: u32::MAX,
                trials: 1,
                probes: 0,
                idle_ms: u32::MAX,
            })
            .collect(),
    }
}

#[test]
fn a_message_with_notes_on_the_quarantine_comes_back() {
    let message = GossipMessage { quarantine: Box::new(notes(1)), ..message() };
    let bytes = encode(&message).expect("a message that fits");
    assert_eq!(decode(&bytes), Some(message));
}

fn limits() -> Vec<LimitReport> {
    let rate = RequestRate::from_per_second(2.3);
    let statement = Some(LimitStatement { rate, age_ms: 70 });
    vec![LimitReport { target: 1, sent: 3, level: -500, statement }]
}

#[test]
fn a_message_with_limits_comes_back_and_older_routers_read_the_rest() {
    for quarantine in [QuarantineNotes::default(), notes(1)] {
        let message =
            GossipMessage { quarantine: Box::new(quarantine), limits: limits(), ..message() };
        let bytes = encode(&message).expect("a message that fits");
        assert_eq!(decode(&bytes), Some(message.clone()));
        let (known, rest): (GossipMessage, _) =
            postcard::take_from_bytes(&bytes[1..]).expect("a message");
        let read_by_older: QuarantineNotes = postcard::from_bytes(rest).expect("notes");
        assert_eq!((&known.place, read_by_older), (&message.place, *message.quarantine));
    }
}

fn leaving(entries: u32) -> Vec<LeavingNotice> {
    let notice = |target| LeavingNotice {
        target,
        started_ms: u64::MAX,
        sign: LeavingSign::Answer,
        age_ms: u32::MAX,
        unlisted_ms: u32::MAX,
    };
    (0..entries).map(notice).collect()
}

#[test]
fn targets_that_leave_come_back_and_older_routers_read_the_rest() {
    for (quarantine, limits) in [(notes(0), Vec::new()), (notes(1), limits())] {
        let quarantine = Box::new(quarantine);
        let message = GossipMessage { quarantine, limits, leaving: leaving(3), ..message() };
        let bytes = encode(&message).expect("a message that fits");
        assert_eq!(decode(&bytes), Some(message.clone()));
        let (_, rest): (GossipMessage, _) =
            postcard::take_from_bytes(&bytes[1..]).expect("a message");
        let (_, rest): (QuarantineNotes, _) = postcard::take_from_bytes(rest).expect("notes");
        let read_by_older: Vec<LimitReport> = postcard::from_bytes(rest).expect("limits");
        assert_eq!(read_by_older, message.limits);
        let older = GossipMessage { leaving: Vec::new(), ..message };
        let from_older = encode(&older).expect("a message that fits");
        assert_eq!(decode(&from_older), Some(older));
    }
}

#[test]
fn targets_that_leave_are_kept_when_notes_exceed_a_datagram() {
    let message =
        GossipMessage { quarantine: Box::new(notes(8)), leaving: leaving(32), ..message() };
    let bytes = encode(&message).expect("a message that fits after entries were dropped");
    assert_eq!(decode(&bytes).expect("a message").leaving, message.leaving);
}

#[test]
fn a_message_with_deferrals_comes_back() {
    let message = GossipMessage { deferrals: vec![(7, 25, 130, 2_000)], ..message() };
    let bytes = encode(&message).expect("a message that fits");
    assert_eq!(decode(&bytes), Some(message));
}

#[test]
fn a_message_with_brittle_targets_comes_back_and_older_routers_read_the_rest() {
    let statement = BrittleStatement { bound: RejectionBound::from_per_second(5.0), age_ms: 70 };
    let report = BrittleReport {
        target: 7,
        run: u32::MAX,
        statement: Some(statement),
        room: RoomStatement { revision: 3, room: 4, proved: 2 },
        in_progress: 2,
        rejected: 9,
        is_claiming: true,
        is_refusing: false,
    };
    let message = GossipMessage { brittle: vec![report], ..message() };
    let bytes = encode(&message).expect("a message that fits");
    assert_eq!(decode(&bytes), Some(message.clone()));
    let read_by_older: GossipMessage = postcard::from_bytes(&bytes[1..]).expect("a message");
    assert_eq!(read_by_older, GossipMessage { brittle: Vec::new(), ..message });
}

#[test]
fn an_offer_of_changes_comes_back_and_older_routers_read_the_rest() {
    let message = GossipMessage { shares_changes: true, ..message() };
    let bytes = encode(&message).expect("a message that fits");
    assert_eq!(decode(&bytes), Some(message.clone()));
    let read_by_older: GossipMessage = postcard::from_bytes(&bytes[1..]).expect("a message");
    assert_eq!(read_by_older, GossipMessage { shares_changes: false, ..message });
}

#[test]
fn routers_without_the_quarantine_read_and_are_read() {
    let plain = message();
    let noted = GossipMessage { quarantine: Box::new(notes(1)), ..plain.clone() };
    let bytes = encode(&noted).expect("a message that fits");
    assert_eq!(bytes[0], FORMAT_VERSION);
    let read_by_older: GossipMessage = postcard::from_bytes(&bytes[1..]).expect("a message");
    assert_eq!(read_by_older, plain);
    let from_older = postcard::to_extend(&plain, vec![FORMAT_VERSION]).expect("it encodes");
    assert_eq!(decode(&from_older), Some(plain));
}

#[test]
fn notes_that_exceed_a_datagram_keep_what_matters_most() {
    let message = GossipMessage { quarantine: Box::new(notes(8)), ..message() };
    let bytes = encode(&message).expect("a message that fits after entries were dropped");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let kept = decode(&bytes).expect("a message").quarantine;
    assert_eq!(kept.cleared.len(), 8);
    assert!(kept.crashes.len() < 8);
    assert_eq!(kept.crashes.iter().filter(|crash| crash.beginning).count(), 4);
}

// Guards against routers of an earlier build that can't read messages with paces.
#[test]
fn paces_are_the_last_section() {
    let entry = PaceEntry { tag: 7, factor: -3, deviation: 12, response_age: 4, silence: 9 };
    let message = GossipMessage { paces: vec![entry; 16], shares_changes: true, ..message() };
    let bytes = encode(&message).expect("it fits");
    assert_eq!(decode(&bytes), Some(message.clone()));
    let without = encode(&GossipMessage { paces: Vec::new(), ..message.clone() }).expect("it fits");
    assert!(bytes.starts_with(&without));
    assert!(bytes.len() - without.len() <= 16 * 9 + 8, "{}", bytes.len() - without.len());
}
