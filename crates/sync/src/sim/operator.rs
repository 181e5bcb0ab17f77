//! The operators of a simulated fleet, and the checks of the state of its nodes.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_store::{ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent};

use super::{
    FIRST_OPERATOR_CALLER, Fleet, FleetEvent, HistoryReport, InjectedBug, SimOperator, TICK_MS,
};
use crate::{
    apply::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ConfigApply},
    head::ChangeId,
    startup::ReadySource,
};

impl Fleet {
    pub(super) fn start_operator(&mut self, now: ClockTime, change: usize) {
        let retries = self.operators.get(&change).map_or(0, |operator| operator.retries + 1);
        let head = self.store_head();
        let base_generation = head.as_ref().map_or(0, |head| head.generation);
        let change_id = ChangeId(change as u128 + 1);
        self.checker.record_start(now, change_id);
        let mut chunk_values = self.documents.get(&base_generation).cloned().unwrap_or_default();
        chunk_values.resize(self.settings.document_chunks, 0);
        for _ in 0..self.settings.changes[change].chunks {
            let chunk_index = self.random.below(chunk_values.len() as u64) as usize;
            chunk_values[chunk_index] = self.random.next_u64();
        }
        let chunks = chunk_values.iter().enumerate().map(|(index, value)| {
            let mut bytes = format!("{index} {value} ").into_bytes();
            bytes.resize(self.settings.chunk_bytes, b'.');
            Arc::from(bytes)
        });
        let settings = ApplySettings { operation_timeout_ms: 4_000, ..Default::default() };
        let apply = ConfigApply::new(settings, change_id, base_generation, chunks.collect());
        self.documents.insert(base_generation + 1, chunk_values);
        let client = StoreClient::new(ClientSettings::default(), self.random.fork());
        let operator = SimOperator { change: change_id, apply, client, retries, is_done: false };
        self.operators.insert(change, operator);
        self.handle_apply_event(now, change, ApplyEvent::Start);
        if retries == 0 {
            self.schedule_event(now, TICK_MS, FleetEvent::OperatorTick { change });
        }
    }

    fn handle_apply_event(&mut self, now: ClockTime, change: usize, event: ApplyEvent) {
        let Some(operator) = self.operators.get_mut(&change) else { return };
        let mut actions = Vec::new();
        operator.apply.handle(event, &mut actions);
        for action in actions {
            match action {
                ApplyAction::Submit { op, spec } => {
                    self.handle_operator_event(now, change, StoreEvent::Submit { tag: op, spec });
                }
                ApplyAction::Done(result) => self.handle_apply_result(now, change, &result),
            }
        }
    }

    fn handle_apply_result(&mut self, now: ClockTime, change: usize, result: &ApplyResult) {
        let head = self.store_head();
        let Some(operator) = self.operators.get_mut(&change) else { return };
        self.checker.check_apply_result(now, operator.change, result, head.as_ref());
        // After an unknown result, another attempt with the same change ID finds the change or makes it.
        if matches!(result, ApplyResult::Accepted { .. }) || operator.retries >= 5 {
            operator.is_done = true;
        } else {
            let pause = 1_000 + self.random.below(2_000);
            self.schedule_event(now, pause, FleetEvent::StartOperator { change });
        }
    }

    pub(super) fn handle_operator_event(
        &mut self,
        now: ClockTime,
        change: usize,
        event: StoreEvent<OperationId>,
    ) {
        let Some(operator) = self.operators.get_mut(&change) else { return };
        let attempt = u64::from(operator.retries);
        let mut actions = Vec::new();
        operator.client.handle(now, event, &mut actions);
        for action in actions {
            match action {
                StoreAction::Call { call, request } => {
                    self.store.send(
                        now,
                        (FIRST_OPERATOR_CALLER + change, attempt),
                        call,
                        request,
                        5,
                    );
                }
                StoreAction::Done { tag, result } => {
                    self.handle_apply_event(now, change, ApplyEvent::Store { op: tag, result });
                }
                _ => {}
            }
        }
    }

    // Checks a node that became ready against the latest generation that it could have received: that of the store if
    // the store answered, otherwise the latest of the peers that have been running and connected since the node's
    // start. If messages are lost at random, the node can't be expected to reach any peer.
    pub(super) fn check_ready(&mut self, now: ClockTime, index: usize, source: ReadySource) {
        let node = &self.nodes[index];
        let is_connected = |zone: usize| {
            self.partitions.iter().all(|(partition, from, to)| {
                *partition != zone || *to <= node.started_at || now < *from
            })
        };
        let peers = node.available_generations.1.iter().filter(|(peer, _)| {
            let other = &self.nodes[*peer];
            other.is_up
                && other.started_at <= node.started_at
                && other.paused_until <= node.started_at
                && (other.zone == node.zone
                    || (is_connected(node.zone) && is_connected(other.zone)))
        });
        let latest = peers.map(|(_, generation)| *generation).max().unwrap_or(0);
        let available_generations = match source {
            ReadySource::Store => node.available_generations.0,
            ReadySource::Peers if self.settings.message_faults > 0.0 => 0,
            ReadySource::Peers => latest,
        };
        let generation = node.sync.generation();
        let startup_duration = now.since(node.started_at);
        self.checker.check_readiness(
            now,
            index,
            startup_duration,
            generation,
            available_generations,
        );
    }

    pub(super) fn check_contact(&mut self, now: ClockTime, zone: usize, from: ClockTime) {
        let partition_duration = now.since(from);
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let was_running = node.is_up && node.started_at < from && node.paused_until < from;
            if node.zone != zone || !was_running {
                continue;
            }
            let mut age = node.sync.contact_age(node.local_time(now));
            if self.settings.injected_bug == InjectedBug::FalseContactAge {
                age = ClockSpan::ZERO;
            }
            // A message that was in transit when the partition began can arrive half a second later.
            if age + ClockSpan::from_ms(1_000) < partition_duration {
                let text = format!(
                    "node {index} reported a contact {age} ago, but was partitioned for {partition_duration}"
                );
                self.checker.record_violation(now, text);
            }
        }
    }

    pub(super) fn finish(mut self) -> HistoryReport {
        let now = ClockTime::from_ms(self.settings.length_ms);
        // A refused document never comes into force. If the latest document is refused, all nodes must end with the
        // highest generation that is in force at any of them.
        let highest_generation =
            self.nodes.iter().map(|node| node.sync.generation()).max().unwrap_or(0);
        let latest = match self.store_head() {
            Some(head) if !self.is_invalid(head.change) => head.generation,
            _ => highest_generation,
        };
        for index in 0..self.nodes.len() {
            let sync = &self.nodes[index].sync;
            let (generation, readiness) = (sync.generation(), sync.readiness());
            if generation != latest {
                let text =
                    format!("node {index} ended with generation {generation} instead of {latest}");
                self.checker.record_violation(now, text);
            }
            if let Err(reason) = readiness
                && latest > 0
            {
                self.checker.record_violation(now, format!("node {index} isn't ready: {reason}"));
            }
            self.store_calls += self.nodes[index].client.counters().sent();
        }
        self.add_store_traffic();
        self.checker.report
    }

    fn add_store_traffic(&mut self) {
        let mut report = std::mem::take(&mut self.checker.report);
        report.store_calls = self.store_calls;
        let zones: Vec<usize> = self.nodes.iter().map(|node| node.zone).collect();
        for (((caller, _), _), traffic) in self.store.traffic() {
            let bytes = traffic.bytes_in + traffic.bytes_out;
            let Some(zone) = zones.get(*caller) else { continue };
            report.store_bytes += bytes;
            if self.settings.zones[*zone].region != 0 {
                report.link_bytes += bytes;
            }
        }
        self.checker.report = report;
    }
}
