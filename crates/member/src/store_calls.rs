//! The store calls that read and write the roster.
//!
//! Each change starts with a read. If the reply to a write is lost, the next read shows whether the write took effect.
//! At most one call is in flight, so that a slow store doesn't receive further calls while the first one waits.

use godwitroad_base::{ClockSpan, ClockTime, NodeId, SeededRandom, ZoneName};
use godwitroad_store::{
    CallId, KeyVersion, StoreEntry, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};

use crate::{
    MemberAction,
    roster::{Roster, RosterMember},
    settings::MemberSettings,
};

/// The base of the exponential backoff after failed calls; a random delay of up to the backoff is added.
const RETRY_BASE_MS: u64 = 150;

/// The limit of the backoff before the random delay is added.
const MAX_RETRY_BASE_MS: u64 = 1_000;

/// The interval between two reads of the rosters of all zones.
const FULL_READ_INTERVAL_MS: u64 = 5_000;

const ROSTER_PREFIX: &str = "roster/";

#[derive(Clone, Debug)]
struct PendingCall {
    call: CallId,
    sent: ClockTime,
    /// The roster being written; `None` for a read.
    write: Option<Roster>,
}

/// The result of a successful call.
#[derive(Clone, Debug)]
pub(crate) enum StoreResult {
    /// The store contained this roster, or none, at some time after `sent`.
    Read {
        sent: ClockTime,
        roster: Option<Roster>,
        version: KeyVersion,
        /// The rosters of other zones, if the call requested them.
        others: Vec<(ZoneName, Roster)>,
    },
    /// A write took effect after `sent`.
    Written { sent: ClockTime, roster: Roster },
}

/// Issues the store calls and tracks the one that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct StoreCalls {
    zone: ZoneName,
    pending: Option<PendingCall>,
    serial: u64,
    failures: u32,
    /// The earliest time for the next read.
    pub(crate) next_read: ClockTime,
    next_full_read: ClockTime,
    pub(crate) calls: u64,
}

impl StoreCalls {
    pub(crate) fn new(zone: ZoneName, first_read: ClockTime) -> StoreCalls {
        StoreCalls {
            zone,
            pending: None,
            serial: 0,
            failures: 0,
            next_read: first_read,
            next_full_read: first_read,
            calls: 0,
        }
    }

    /// Abandons a call that has had no reply within `call_timeout`.
    pub(crate) fn expire_call(&mut self, now: ClockTime, settings: &MemberSettings) {
        let late = |pending: &PendingCall| now.since(pending.sent) >= settings.call_timeout;
        if self.pending.as_ref().is_some_and(late) {
            self.pending = None;
            self.failures += 1;
        }
    }

    /// Reads the roster of this zone, or at longer intervals those of all zones.
    pub(crate) fn read(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let full = now >= self.next_full_read;
        let request = if full {
            StoreRequest::List { prefix: ROSTER_PREFIX.into() }
        } else {
            StoreRequest::Get { key: Roster::store_key(&self.zone) }
        };
        self.send(now, None, request, actions);
    }

    pub(crate) fn write(
        &mut self,
        now: ClockTime,
        roster: Roster,
        expected: KeyVersion,
        actions: &mut Vec<MemberAction>,
    ) {
        let request = StoreRequest::Put {
            key: Roster::store_key(&self.zone),
            value: roster.encode(),
            expected: Some(expected),
            lease: None,
        };
        self.send(now, Some(roster), request, actions);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    fn send(
        &mut self,
        now: ClockTime,
        write: Option<Roster>,
        request: StoreRequest,
        actions: &mut Vec<MemberAction>,
    ) {
        self.serial += 1;
        self.calls += 1;
        let call = CallId(self.serial);
        self.pending = Some(PendingCall { call, sent: now, write });
        actions.push(MemberAction::Store { call, request });
    }

    /// Completes a call and returns its result; a reply to an abandoned call is ignored.
    pub(crate) fn complete(
        &mut self,
        now: ClockTime,
        call: CallId,
        outcome: StoreOutcome,
        random: &mut SeededRandom,
    ) -> Option<StoreResult> {
        let pending = self.pending.take_if(|pending| pending.call == call)?;
        let sent = pending.sent;
        let result = match (outcome, pending.write) {
            (Ok(StoreReply::Value(entry) | StoreReply::Conflict(entry)), _) => {
                parse_value(sent, entry, Vec::new())
            }
            (Ok(StoreReply::Entries { entries, .. }), _) => {
                self.next_full_read = now + ClockSpan::from_ms(FULL_READ_INTERVAL_MS);
                parse_entries(sent, &Roster::store_key(&self.zone), entries)
            }
            (Ok(StoreReply::Written(_)), Some(roster)) => {
                Some(StoreResult::Written { sent, roster })
            }
            _ => None,
        };
        self.failures = if result.is_some() { 0 } else { self.failures + 1 };
        if result.is_none() {
            self.next_read = now + self.backoff(random);
        }
        result
    }

    /// Returns a randomized delay that increases with the number of consecutive failures.
    pub(crate) fn backoff(&self, random: &mut SeededRandom) -> ClockSpan {
        let base = (RETRY_BASE_MS << self.failures.min(5)).min(MAX_RETRY_BASE_MS);
        ClockSpan::from_ms(base + random.below(base))
    }
}

// A malformed value counts as a failed call: it shows nothing about the roster and must not be overwritten.
fn parse_value(
    sent: ClockTime,
    entry: Option<StoreEntry>,
    others: Vec<(ZoneName, Roster)>,
) -> Option<StoreResult> {
    let Some(entry) = entry else {
        return Some(StoreResult::Read { sent, roster: None, version: KeyVersion(0), others });
    };
    let roster = Roster::decode(&entry.value).ok()?;
    Some(StoreResult::Read { sent, roster: Some(roster), version: entry.version, others })
}

fn parse_entries(sent: ClockTime, own: &StoreKey, entries: Vec<StoreEntry>) -> Option<StoreResult> {
    let (own, others): (Vec<_>, Vec<_>) = entries.into_iter().partition(|entry| entry.key == *own);
    let others = others.iter().filter_map(|entry| {
        let zone = entry.key.as_str().strip_prefix(ROSTER_PREFIX)?;
        Some((ZoneName::from(zone), Roster::decode(&entry.value).ok()?))
    });
    parse_value(sent, own.into_iter().next(), others.collect())
}

/// Returns the next roster with `me` added, replacing an older process on the same VM.
pub(crate) fn roster_with_member(roster: &Roster, me: &RosterMember) -> Option<Roster> {
    let node = me.node();
    match roster.member(&me.vm) {
        Some(member) if member.incarnation >= me.incarnation => None,
        older => {
            let stopped: Vec<NodeId> = older.map(RosterMember::node).into_iter().collect();
            let others = roster.members.iter().filter(|member| member.vm != node.vm);
            let members = others.cloned().chain([me.clone()]).collect();
            Some(roster.next_epoch(members, &stopped))
        }
    }
}
