//! A simulated VM with its clock and its router process.

use std::{collections::VecDeque, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, NodeId, SeededRandom, VmName, ZoneName};
use godwitroad_limits::{
    OwnershipView, RateAction, RateEvent, RateMessage, RateNode, RateSettings, RateTable,
};
use godwitroad_member::{
    MemberAction, MemberEvent, MemberMessage, MemberReport, MemberSettings, MemberTable,
};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};

/// A bug injected into every process, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedBug {
    /// Holders issue tokens without a valid term and before earlier holders have stopped.
    IgnoredTerm,
    /// Buckets refill at twice the configured rate.
    DoubledRefill,
}

/// A message between simulated VMs.
#[derive(Clone, Debug)]
pub(crate) enum WireMessage {
    Member(MemberMessage),
    Rate(RateMessage),
}

/// An event at one simulated process.
#[derive(Clone, Debug)]
pub(crate) enum NodeEvent {
    Wire { from: NodeId, message: WireMessage },
    MemberStore { call: CallId, outcome: StoreOutcome },
    RateStore { call: CallId, outcome: StoreOutcome },
    Member(MemberEvent),
    Rate(RateEvent),
    Tick,
}

/// An action that a process requests from the simulation.
#[derive(Clone, Debug)]
pub(crate) enum NodeAction {
    Send { to: VmName, message: WireMessage },
    MemberStore { call: CallId, request: StoreRequest },
    RateStore { call: CallId, request: StoreRequest },
    Admitted { ticket: u64, tokens: u64 },
    Refused { ticket: u64 },
    Left,
}

/// A simulated VM and its current process.
#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) id: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) zone_index: usize,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) lost: bool,
    /// The events that are delivered when the paused process resumes.
    pub(crate) backlog: VecDeque<NodeEvent>,
    pub(crate) member: MemberTable,
    pub(crate) rate: RateNode,
    pub(crate) epoch: u64,
    clock_offset: u64,
    /// The clock rate in parts per million of true time.
    pub(crate) clock_rate: u64,
    injected_bug: Option<InjectedBug>,
}

impl SimNode {
    pub(crate) fn new(
        id: NodeId,
        zone: (usize, ZoneName),
        table: &Arc<RateTable>,
        clock: (u64, u64),
        injected_bug: Option<InjectedBug>,
        at: u64,
        random: &mut SeededRandom,
    ) -> SimNode {
        let (clock_offset, clock_rate) = clock;
        let now = clock_time(clock_offset, clock_rate, at);
        let member_settings = MemberSettings {
            zone: zone.1.clone(),
            node: id.clone(),
            address: format!("{}:7000", id.vm),
            ..MemberSettings::default()
        };
        let rate_settings =
            RateSettings { node: id.clone(), zone: zone.1.clone(), ..RateSettings::default() };
        let mut node = SimNode {
            member: MemberTable::new(member_settings, now, random.fork()),
            rate: RateNode::new(rate_settings, now, random.fork()),
            id,
            zone: zone.1,
            zone_index: zone.0,
            running: true,
            paused: false,
            lost: false,
            backlog: VecDeque::new(),
            epoch: 0,
            clock_offset,
            clock_rate,
            injected_bug,
        };
        let configure = RateEvent::Configure(Arc::clone(table));
        node.handle(at, NodeEvent::Rate(configure), &mut Vec::new());
        node
    }

    pub(crate) fn now(&self, at: u64) -> ClockTime {
        clock_time(self.clock_offset, self.clock_rate, at)
    }

    fn rate_now(&self, at: u64) -> ClockTime {
        match self.injected_bug {
            Some(InjectedBug::DoubledRefill) => {
                clock_time(self.clock_offset, 2 * self.clock_rate, at)
            }
            _ => self.now(at),
        }
    }

    /// Returns whether the process may issue tokens of `shard`.
    pub(crate) fn holds(&self, at: u64, shard: u16) -> bool {
        self.running && !self.paused && self.rate.holder().holds(self.rate_now(at), shard)
    }

    pub(crate) fn handle(&mut self, at: u64, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::Wire { from, message: WireMessage::Member(message) } => {
                self.run_member(at, MemberEvent::Peer { from, message }, actions);
            }
            NodeEvent::Wire { from, message: WireMessage::Rate(message) } => {
                self.run_rate(at, RateEvent::Peer { from, message }, actions);
            }
            NodeEvent::MemberStore { call, outcome } => {
                self.run_member(at, MemberEvent::Store { call, outcome }, actions);
            }
            NodeEvent::RateStore { call, outcome } => {
                self.run_rate(at, RateEvent::Store { call, outcome }, actions);
            }
            NodeEvent::Member(event) => self.run_member(at, event, actions),
            NodeEvent::Rate(event) => self.run_rate(at, event, actions),
            NodeEvent::Tick => {
                self.run_member(at, MemberEvent::Tick, actions);
                self.run_rate(at, RateEvent::Tick, actions);
            }
        }
    }

    fn run_member(&mut self, at: u64, event: MemberEvent, actions: &mut Vec<NodeAction>) {
        let is_vm_list = matches!(event, MemberEvent::VmList(_));
        let mut member_actions = Vec::new();
        self.member.handle(self.now(at), event, &mut member_actions);
        let mut changed = false;
        let mut handoff_required = false;
        for action in member_actions {
            match action {
                MemberAction::Send { to, message, .. } => {
                    actions.push(NodeAction::Send { to, message: WireMessage::Member(message) });
                }
                MemberAction::Store { call, request } => {
                    actions.push(NodeAction::MemberStore { call, request });
                }
                MemberAction::Report(MemberReport::HandoffRequired) => handoff_required = true,
                MemberAction::Report(MemberReport::Left) => actions.push(NodeAction::Left),
                MemberAction::Report(_) => changed = true,
            }
        }
        self.epoch = self.member.epoch();
        if changed {
            let mut view = (*OwnershipView::from_members(&self.member)).clone();
            if self.injected_bug == Some(InjectedBug::IgnoredTerm) {
                for shard in &mut view.shards {
                    shard.exclusive = shard.owner.as_ref() == Some(&self.id.vm);
                }
            }
            self.run_rate(at, RateEvent::View(Arc::new(view)), actions);
        }
        if is_vm_list {
            let dead_zones = self.member.dead_zones(self.now(at));
            self.run_rate(at, RateEvent::DeadZones(dead_zones), actions);
        }
        if handoff_required {
            self.run_rate(at, RateEvent::Handoff, actions);
        }
    }

    fn run_rate(&mut self, at: u64, event: RateEvent, actions: &mut Vec<NodeAction>) {
        let now = self.rate_now(at);
        let term = match self.injected_bug {
            Some(InjectedBug::IgnoredTerm) => Some(now + ClockSpan::from_secs(3_600)),
            Some(InjectedBug::DoubledRefill) => {
                self.member.may_hold(self.now(at)).then(|| now + ClockSpan::from_secs(1))
            }
            None => self.member.term_end(now),
        };
        let mut rate_actions = Vec::new();
        // The term is updated first, so that a resumed process does not act on shards whose term expired meanwhile.
        self.rate.handle(now, RateEvent::Term(term), &mut rate_actions);
        self.rate.handle(now, event, &mut rate_actions);
        for action in rate_actions {
            match action {
                RateAction::Send { to, message } => {
                    actions.push(NodeAction::Send { to, message: WireMessage::Rate(message) });
                }
                RateAction::Store { call, request } => {
                    actions.push(NodeAction::RateStore { call, request });
                }
                RateAction::Admitted { ticket, tokens } => {
                    actions.push(NodeAction::Admitted { ticket, tokens });
                }
                RateAction::Refused { ticket, .. } => actions.push(NodeAction::Refused { ticket }),
                RateAction::HandoffComplete => {
                    self.run_member(at, MemberEvent::HandoffComplete, actions);
                }
            }
        }
    }
}

fn clock_time(clock_offset: u64, clock_rate: u64, at: u64) -> ClockTime {
    let elapsed = u128::from(at) * u128::from(clock_rate) / 1_000_000;
    ClockTime::from_ms(clock_offset + elapsed as u64)
}
