//! The operators of a simulated fleet, and what the judge is told of its nodes.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_store::{ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent};

use super::{Fleet, FleetEvent, HistoryReport, OPERATORS, SimOperator, TICK_MS, WrongVariant};
use crate::{
    apply::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ConfigApply},
    head::ChangeId,
    startup::ReadySource,
};

impl Fleet {
    pub(super) fn operate(&mut self, now: ClockTime, change: usize) {
        let retries = self.operators.get(&change).map_or(0, |operator| operator.retries + 1);
        let head = self.store_head();
        let base = head.as_ref().map_or(0, |head| head.generation);
        let id = ChangeId(change as u128 + 1);
        self.judge.begin(now, id);
        let mut parts = self.documents.get(&base).cloned().unwrap_or_default();
        parts.resize(self.settings.document_chunks, 0);
        for _ in 0..self.settings.changes[change].chunks {
            let part = self.random.below(parts.len() as u64) as usize;
            parts[part] = self.random.next_u64();
        }
        let chunks = parts.iter().enumerate().map(|(index, value)| {
            let mut bytes = format!("{index} {value} ").into_bytes();
            bytes.resize(self.settings.chunk_bytes, b'.');
            Arc::from(bytes)
        });
        let settings = ApplySettings { operation_timeout_ms: 4_000, ..Default::default() };
        let apply = ConfigApply::new(settings, id, base, chunks.collect());
        self.documents.insert(base + 1, parts);
        let client = StoreClient::new(ClientSettings::default(), self.random.fork());
        let operator = SimOperator { change: id, apply, client, retries, is_done: false };
        self.operators.insert(change, operator);
        self.drive_apply(now, change, ApplyEvent::Start);
        if retries == 0 {
            self.put(now, TICK_MS, FleetEvent::OperatorTick { change });
        }
    }

    fn drive_apply(&mut self, now: ClockTime, change: usize, event: ApplyEvent) {
        let Some(operator) = self.operators.get_mut(&change) else { return };
        let mut actions = Vec::new();
        operator.apply.handle(event, &mut actions);
        for action in actions {
            match action {
                ApplyAction::Submit { op, spec } => {
                    self.drive_operator(now, change, StoreEvent::Submit { tag: op, spec });
                }
                ApplyAction::Done(result) => self.end_apply(now, change, &result),
            }
        }
    }

    fn end_apply(&mut self, now: ClockTime, change: usize, result: &ApplyResult) {
        let head = self.store_head();
        let Some(operator) = self.operators.get_mut(&change) else { return };
        self.judge.apply(now, operator.change, result, head.as_ref());
        // Applying again with the same change id after an unknown result either finds the change or makes it.
        if matches!(result, ApplyResult::Accepted { .. }) || operator.retries >= 5 {
            operator.is_done = true;
        } else {
            let pause = 1_000 + self.random.below(2_000);
            self.put(now, pause, FleetEvent::Operate { change });
        }
    }

    pub(super) fn drive_operator(
        &mut self,
        now: ClockTime,
        change: usize,
        event: StoreEvent<OperationId>,
    ) {
        let Some(operator) = self.operators.get_mut(&change) else { return };
        let run = u64::from(operator.retries);
        let mut actions = Vec::new();
        operator.client.handle(now, event, &mut actions);
        for action in actions {
            match action {
                StoreAction::Call { call, request } => {
                    self.store.send(now, (OPERATORS + change, run), call, request, 5);
                }
                StoreAction::Done { tag, result } => {
                    self.drive_apply(now, change, ApplyEvent::Store { op: tag, result });
                }
                _ => {}
            }
        }
    }

    // The newest generation that the node could have been given: the store's when the store answered, otherwise that
    // of the peers that ran and were connected since the node's start, when no message was lost by chance.
    pub(super) fn check_ready(&mut self, now: ClockTime, index: usize, source: ReadySource) {
        let node = &self.nodes[index];
        let is_connected = |zone: usize| {
            self.cuts.iter().all(|(cut, from, to)| *cut != zone || *to <= node.start || now < *from)
        };
        let peers = node.known.1.iter().filter(|(peer, _)| {
            let other = &self.nodes[*peer];
            other.is_up
                && other.start <= node.start
                && other.paused_until <= node.start
                && (other.zone == node.zone
                    || (is_connected(node.zone) && is_connected(other.zone)))
        });
        let newest = peers.map(|(_, generation)| *generation).max().unwrap_or(0);
        let known = match source {
            ReadySource::Store => node.known.0,
            ReadySource::Peers if self.settings.message_faults > 0.0 => 0,
            ReadySource::Peers => newest,
        };
        let generation = node.sync.generation();
        let span = now.since(node.start);
        self.judge.ready(now, index, span, generation, known);
    }

    pub(super) fn check_contact(&mut self, now: ClockTime, zone: usize, from: ClockTime) {
        let cut = now.since(from);
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let was_there = node.is_up && node.start < from && node.paused_until < from;
            if node.zone != zone || !was_there {
                continue;
            }
            let mut age = node.sync.contact_age(node.clock(now));
            if self.settings.wrong == WrongVariant::FalseContact {
                age = ClockSpan::ZERO;
            }
            // A message that was under way when the cut began can come half a second later.
            if age + ClockSpan::from_ms(1_000) < cut {
                let text = format!("node {index} had contact {age} ago, and was cut off for {cut}");
                self.judge.breach(now, text);
            }
        }
    }

    pub(super) fn finish(mut self) -> HistoryReport {
        let now = ClockTime::from_ms(self.settings.length_ms);
        // A refused document never comes into force. While one is the newest, the nodes must agree on the newest
        // generation that any of them holds, if there is one.
        let held = self.nodes.iter().map(|node| node.sync.generation()).max().unwrap_or(0);
        let newest = match self.store_head() {
            Some(head) if !self.is_invalid(head.change) => head.generation,
            _ => held,
        };
        for index in 0..self.nodes.len() {
            let sync = &self.nodes[index].sync;
            let (generation, readiness) = (sync.generation(), sync.readiness());
            if generation != newest {
                let text = format!("node {index} ended with {generation} in place of {newest}");
                self.judge.breach(now, text);
            }
            if let Err(reason) = readiness
                && newest > 0
            {
                self.judge.breach(now, format!("node {index} isn't ready: {reason}"));
            }
            self.calls += self.nodes[index].client.counters().sent();
        }
        self.count_store();
        self.judge.report
    }

    fn count_store(&mut self) {
        let mut report = std::mem::take(&mut self.judge.report);
        report.store_calls = self.calls;
        let zones: Vec<usize> = self.nodes.iter().map(|node| node.zone).collect();
        for (((caller, _), _), traffic) in self.store.traffic() {
            let bytes = traffic.bytes_in + traffic.bytes_out;
            let Some(zone) = zones.get(*caller) else { continue };
            report.store_bytes += bytes;
            if self.settings.zones[*zone].region != 0 {
                report.link_bytes += bytes;
            }
        }
        self.judge.report = report;
    }
}
