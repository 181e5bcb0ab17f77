//! Histories of a few store clients that read and write one key concurrently.
//!
//! A value is the list of all writes that led to it, like a value that contains a change log.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_store::{
    CallClass, ChangeDetector, ClientSettings, KeyVersion, OperationError, OperationReply,
    OperationSpec, StoreAction, StoreClient, StoreEntry, StoreEvent, StoreKey, StoreOperation,
    sim::{SimFaults, SimStore},
};

use super::register::{RegisterCall, RegisterOp};

/// A deliberate bug of a client, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClientBug {
    None,
    /// A write without an answer is reported as not carried out.
    UnknownAsNotDone,
    /// A conflict is reported as a write that took effect.
    ConflictAsWritten,
}

struct Client {
    store_client: StoreClient<u64>,
    version: KeyVersion,
    log: Vec<u64>,
    open_operation: Option<(ClockTime, Option<u64>)>,
    remaining: usize,
    next_operation_at: ClockTime,
}

/// Runs the history of `seed` and returns the calls on the key.
pub(crate) fn run_history(seed: u64, faults: SimFaults, bug: ClientBug) -> Vec<RegisterCall> {
    let mut random = SeededRandom::new(seed);
    let mut store = SimStore::new(faults, random.fork());
    let settings = ClientSettings { call_timeout: ClockSpan::from_ms(200), ..Default::default() };
    let mut clients: Vec<Client> = (0..4)
        .map(|_| Client {
            store_client: StoreClient::new(settings.clone(), random.fork()),
            version: KeyVersion(0),
            log: Vec::new(),
            open_operation: None,
            remaining: 10,
            next_operation_at: ClockTime::from_ms(random.below(50)),
        })
        .collect();
    let mut calls = Vec::new();
    let mut serial = 0;
    for ms in 0..120_000 {
        let now = ClockTime::from_ms(ms);
        let mut arrivals: BTreeMap<usize, Vec<StoreEvent<u64>>> = BTreeMap::new();
        for (node, call, outcome) in store.step(now) {
            arrivals.entry(node).or_default().push(StoreEvent::Outcome { call, outcome });
        }
        for (index, client) in clients.iter_mut().enumerate() {
            let mut events = arrivals.remove(&index).unwrap_or_default();
            if ms % 10 == 0 {
                events.push(StoreEvent::Tick);
            }
            if client.open_operation.is_none()
                && client.remaining > 0
                && client.next_operation_at <= now
            {
                serial += 1;
                client.remaining -= 1;
                events.push(submit(now, client, serial, &mut random));
            }
            let mut actions = Vec::new();
            for event in events {
                client.store_client.handle(now, event, &mut actions);
            }
            for action in actions {
                match action {
                    StoreAction::Call { call, request } => {
                        store.send(now, index, call, request, 1 + random.below(5));
                    }
                    StoreAction::Done { result, .. } => {
                        let op = finish(client, result, bug);
                        let (began, _) =
                            client.open_operation.take().expect("an operation was open");
                        client.next_operation_at = now + ClockSpan::from_ms(random.below(60));
                        let call = |op| RegisterCall { began, ended: now, op };
                        calls.extend(op.map(call));
                    }
                    _ => {}
                }
            }
        }
        if clients.iter().all(|client| client.remaining == 0 && client.open_operation.is_none()) {
            break;
        }
    }
    calls
}

fn submit(
    now: ClockTime,
    client: &mut Client,
    serial: u64,
    random: &mut SeededRandom,
) -> StoreEvent<u64> {
    let key = StoreKey::from("register");
    let is_write = random.chance(0.6);
    client.open_operation = Some((now, is_write.then_some(serial)));
    let operation = if is_write {
        let log = client.log.iter().chain([&serial]);
        let value = log.flat_map(|write| write.to_be_bytes()).collect();
        let change_detector = ChangeDetector { change_id: u128::from(serial), contains };
        let expected = client.version;
        StoreOperation::Cas {
            key,
            value,
            expected,
            lease: None,
            change_detector: Some(change_detector),
        }
    } else {
        StoreOperation::Get { key }
    };
    let spec = OperationSpec::new(CallClass::Other, operation, 2_000);
    StoreEvent::Submit { tag: serial, spec }
}

fn finish(
    client: &mut Client,
    result: Result<OperationReply, OperationError>,
    bug: ClientBug,
) -> Option<RegisterOp> {
    let (_, new) = client.open_operation?;
    let previous = last(&client.log);
    match result {
        Ok(OperationReply::Value(entry)) => {
            client.adopt(entry);
            Some(RegisterOp::Read(last(&client.log)))
        }
        Ok(OperationReply::Written { version, entry }) => {
            let new = new?;
            client.version = version;
            client.log.push(new);
            if entry.is_some() {
                client.adopt(entry);
            }
            Some(RegisterOp::Wrote { old: previous, new })
        }
        Ok(OperationReply::Conflict(entry)) => {
            client.adopt(entry);
            match (bug, new) {
                (ClientBug::ConflictAsWritten, Some(new)) => {
                    Some(RegisterOp::Wrote { old: previous, new })
                }
                _ => Some(RegisterOp::Conflicted { old: previous, found: last(&client.log) }),
            }
        }
        Err(OperationError::Unknown) if bug != ClientBug::UnknownAsNotDone => {
            new.map(|new| RegisterOp::MayHaveWritten { old: previous, new })
        }
        _ => None,
    }
}

impl Client {
    fn adopt(&mut self, entry: Option<StoreEntry>) {
        self.version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        self.log = entry.map_or_else(Vec::new, |entry| numbers(&entry.value));
    }
}

fn last(log: &[u64]) -> u64 {
    log.last().copied().unwrap_or(0)
}

fn numbers(value: &[u8]) -> Vec<u64> {
    let number = |bytes: &[u8]| u64::from_be_bytes(bytes.try_into().expect("eight bytes"));
    value.chunks(8).map(number).collect()
}

fn contains(value: &[u8], change_id: u128) -> bool {
    numbers(value).iter().any(|number| u128::from(*number) == change_id)
}
