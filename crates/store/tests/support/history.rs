//! A few store clients that read and write one key at the same time.
//!
//! A value is the list of all writes that led to it, as a value that holds a change log is.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_store::{
    CallClass, ChangeDetector, ClientSettings, KeyVersion, OperationError, OperationReply,
    OperationSpec, StoreAction, StoreClient, StoreEntry, StoreEvent, StoreKey, StoreOperation,
    sim::{SimFaults, SimStore},
};

use super::register::{RegisterCall, RegisterOp};

/// How a client is wrong on purpose, to show that the check notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClientFault {
    None,
    /// A write without an answer is reported as not carried out.
    UnknownAsNotDone,
    /// A conflict is reported as a write that took effect.
    ConflictAsWritten,
}

struct Client {
    machine: StoreClient<u64>,
    version: KeyVersion,
    log: Vec<u64>,
    open: Option<(ClockTime, Option<u64>)>,
    left: usize,
    next_at: ClockTime,
}

/// Runs a history from its seed and returns the calls on the key.
pub(crate) fn run(seed: u64, faults: SimFaults, fault: ClientFault) -> Vec<RegisterCall> {
    let mut random = SeededRandom::new(seed);
    let mut store = SimStore::new(faults, random.fork());
    let settings = ClientSettings { call_timeout: ClockSpan::from_ms(200), ..Default::default() };
    let mut clients: Vec<Client> = (0..4)
        .map(|_| Client {
            machine: StoreClient::new(settings.clone(), random.fork()),
            version: KeyVersion(0),
            log: Vec::new(),
            open: None,
            left: 10,
            next_at: ClockTime::from_ms(random.below(50)),
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
            if client.open.is_none() && client.left > 0 && client.next_at <= now {
                serial += 1;
                client.left -= 1;
                events.push(submit(now, client, serial, &mut random));
            }
            let mut actions = Vec::new();
            for event in events {
                client.machine.handle(now, event, &mut actions);
            }
            for action in actions {
                match action {
                    StoreAction::Call { call, request } => {
                        store.send(now, index, call, request, 1 + random.below(5));
                    }
                    StoreAction::Done { result, .. } => {
                        let op = finish(client, result, fault);
                        let (began, _) = client.open.take().expect("an operation was open");
                        client.next_at = now + ClockSpan::from_ms(random.below(60));
                        let call = |op| RegisterCall { began, ended: now, op };
                        calls.extend(op.map(call));
                    }
                    _ => {}
                }
            }
        }
        if clients.iter().all(|client| client.left == 0 && client.open.is_none()) {
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
    client.open = Some((now, is_write.then_some(serial)));
    let operation = if is_write {
        let log = client.log.iter().chain([&serial]);
        let value = log.flat_map(|write| write.to_be_bytes()).collect();
        let change_detector = ChangeDetector { change: u128::from(serial), holds };
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
    fault: ClientFault,
) -> Option<RegisterOp> {
    let (_, new) = client.open?;
    let old = last(&client.log);
    match result {
        Ok(OperationReply::Value(entry)) => {
            client.see(entry);
            Some(RegisterOp::Read(last(&client.log)))
        }
        Ok(OperationReply::Written { version, entry }) => {
            let new = new?;
            client.version = version;
            client.log.push(new);
            if entry.is_some() {
                client.see(entry);
            }
            Some(RegisterOp::Wrote { old, new })
        }
        Ok(OperationReply::Conflict(entry)) => {
            client.see(entry);
            match (fault, new) {
                (ClientFault::ConflictAsWritten, Some(new)) => Some(RegisterOp::Wrote { old, new }),
                _ => Some(RegisterOp::Conflicted { old, found: last(&client.log) }),
            }
        }
        Err(OperationError::Unknown) if fault != ClientFault::UnknownAsNotDone => {
            new.map(|new| RegisterOp::MayHaveWritten { old, new })
        }
        _ => None,
    }
}

impl Client {
    fn see(&mut self, entry: Option<StoreEntry>) {
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

fn holds(value: &[u8], change: u128) -> bool {
    numbers(value).iter().any(|number| u128::from(*number) == change)
}
