//! The rate limits of one router: combines three state machines behind one event type and one action type.
//!
//! The spender admits the router's own requests, the holder grants tokens from the buckets of the shards that the
//! router holds, and the zone share reads and writes how each limit is divided among the zones.

use std::{collections::VecDeque, sync::Arc};

use godwitroad_base::{ClockTime, SeededRandom, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    holder::{HolderAction, HolderCounters, HolderEvent, RateHolder},
    message::{RateAction, RateEvent, RateMessage},
    settings::RateSettings,
    share::ZoneShare,
    share_events::{ShareAction, ShareEvent},
    spender::{RateSpender, SpenderAction, SpenderCounters, SpenderEvent},
};

/// Counters of a [`RateNode`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateCounters {
    /// The counters of the holder.
    pub holder: HolderCounters,
    /// The counters of the spender.
    pub spender: SpenderCounters,
    /// The number of messages sent to other VMs.
    pub messages: u64,
    /// The number of calls to the store.
    pub store_calls: u64,
    /// The number of accounts with state in the holder.
    pub held_accounts: u64,
    /// The number of accounts with state in the spender.
    pub spent_accounts: u64,
}

/// The rate limits of one router.
#[derive(Debug)]
pub struct RateNode {
    settings: RateSettings,
    spender: RateSpender,
    holder: RateHolder,
    share: ZoneShare,
    leaving: bool,
    messages: u64,
    store_calls: u64,
}

// An event for one of the three state machines.
#[derive(Debug)]
enum NodeStep {
    Spender(SpenderEvent),
    Holder(HolderEvent),
    Share(ShareEvent),
}

impl RateNode {
    /// Returns the state of a router that has just started.
    pub fn new(settings: RateSettings, now: ClockTime, random: SeededRandom) -> RateNode {
        RateNode {
            spender: RateSpender::new(settings.clone(), now),
            holder: RateHolder::new(settings.clone(), now),
            share: ZoneShare::new(settings.clone(), random),
            settings,
            leaving: false,
            messages: 0,
            store_calls: 0,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: RateEvent, actions: &mut Vec<RateAction>) {
        let mut steps = Vec::new();
        match event {
            RateEvent::Configure(table) => {
                steps.push(NodeStep::Share(ShareEvent::Configure(table)));
            }
            RateEvent::View(view) => {
                self.spender.set_view(Arc::clone(&view));
                let backups = view.shards.iter().map(|shard| shard.backup.clone()).collect();
                steps.push(NodeStep::Holder(HolderEvent::Backups(backups)));
                steps.push(NodeStep::Share(ShareEvent::View(view)));
            }
            RateEvent::Term(term) => {
                steps.push(NodeStep::Holder(HolderEvent::Term(term)));
                steps.push(NodeStep::Share(ShareEvent::Term(term)));
            }
            RateEvent::Peer { from, message: RateMessage::Grant(grants) } => {
                steps.push(NodeStep::Spender(SpenderEvent::Grants { from: from.vm, grants }));
            }
            RateEvent::Peer { from, message } => {
                steps.push(NodeStep::Holder(HolderEvent::Peer { from, message }));
            }
            RateEvent::Store { call, outcome } => {
                steps.push(NodeStep::Share(ShareEvent::Store { call, outcome }));
            }
            RateEvent::Spend(event) => steps.push(NodeStep::Spender(SpenderEvent::Spend(event))),
            RateEvent::Handoff => {
                self.leaving = true;
                steps.push(NodeStep::Share(ShareEvent::Handoff));
            }
            RateEvent::DeadZones(zones) => {
                steps.push(NodeStep::Share(ShareEvent::DeadZones(zones)))
            }
            RateEvent::Tick => {
                steps.push(NodeStep::Spender(SpenderEvent::Tick));
                steps.push(NodeStep::Holder(HolderEvent::Tick));
                steps.push(NodeStep::Share(ShareEvent::Tick));
            }
        }
        self.run_steps(now, steps, actions);
        if self.leaving && self.holder.unconfirmed() == 0 {
            self.leaving = false;
            actions.push(RateAction::HandoffComplete);
        }
    }

    /// Returns whether the router holds all shards that it owns.
    pub fn is_ready(&self) -> bool {
        self.share.is_ready()
    }

    /// Returns the state machine that grants tokens from the shards that this router holds.
    pub fn holder(&self) -> &RateHolder {
        &self.holder
    }

    /// Returns the zone of this router.
    pub fn zone(&self) -> &ZoneName {
        &self.settings.zone
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> RateCounters {
        RateCounters {
            holder: self.holder.counters(),
            spender: self.spender.counters(),
            messages: self.messages,
            store_calls: self.store_calls,
            held_accounts: self.holder.active_accounts() as u64,
            spent_accounts: self.spender.active_accounts() as u64,
        }
    }

    // The actions of each state machine become events of the others, in the order in which they were emitted.
    fn run_steps(&mut self, now: ClockTime, steps: Vec<NodeStep>, actions: &mut Vec<RateAction>) {
        let mut queue = VecDeque::from(steps);
        while let Some(step) = queue.pop_front() {
            match step {
                NodeStep::Spender(event) => {
                    let mut outputs = Vec::new();
                    self.spender.handle(now, event, &mut outputs);
                    for action in outputs {
                        self.dispatch_spender_action(action, &mut queue, actions);
                    }
                }
                NodeStep::Holder(event) => self.run_holder(now, event, &mut queue, actions),
                NodeStep::Share(event) => {
                    let mut outputs = Vec::new();
                    self.share.handle(now, event, &mut outputs);
                    for action in outputs {
                        self.dispatch_share_action(now, action, &mut queue, actions);
                    }
                }
            }
        }
    }

    fn run_holder(
        &mut self,
        now: ClockTime,
        event: HolderEvent,
        queue: &mut VecDeque<NodeStep>,
        actions: &mut Vec<RateAction>,
    ) {
        let mut outputs = Vec::new();
        self.holder.handle(now, event, &mut outputs);
        for action in outputs {
            match action {
                HolderAction::Send { to, message } => self.send(to, message, queue, actions),
                HolderAction::HandoffReceived { shard } => {
                    queue.push_back(NodeStep::Share(ShareEvent::HandoffReceived { shard }));
                }
                HolderAction::RenewClaim { shard } => {
                    queue.push_back(NodeStep::Share(ShareEvent::RenewClaim { shard }));
                }
            }
        }
    }

    fn dispatch_spender_action(
        &mut self,
        action: SpenderAction,
        queue: &mut VecDeque<NodeStep>,
        actions: &mut Vec<RateAction>,
    ) {
        match action {
            SpenderAction::Send { to, message } => self.send(to, message, queue, actions),
            SpenderAction::Admitted { ticket, tokens } => {
                actions.push(RateAction::Admitted { ticket, tokens });
            }
            SpenderAction::Refused { ticket, retry_after } => {
                actions.push(RateAction::Refused { ticket, retry_after });
            }
        }
    }

    // Row changes reach the holder before any queued step, so that a lowered row is in use before it is written.
    fn dispatch_share_action(
        &mut self,
        now: ClockTime,
        action: ShareAction,
        queue: &mut VecDeque<NodeStep>,
        actions: &mut Vec<RateAction>,
    ) {
        let event = match action {
            ShareAction::Store { call, request } => {
                self.store_calls += 1;
                actions.push(RateAction::Store { call, request });
                return;
            }
            ShareAction::Demand { shard } => {
                let demands = self.holder.demands(now, shard);
                queue.push_front(NodeStep::Share(ShareEvent::Demand { shard, demands }));
                return;
            }
            ShareAction::LowerRows { shard, rows } => {
                let rows = self.holder.lower_rows(now, shard, &rows);
                queue.push_front(NodeStep::Share(ShareEvent::RowsLowered { shard, rows }));
                return;
            }
            ShareAction::Start { shard, claim, previous, rows } => {
                HolderEvent::Start { shard, claim, previous, rows }
            }
            ShareAction::ClaimRenewed { shard, claim } => {
                HolderEvent::ClaimRenewed { shard, claim }
            }
            ShareAction::Rows { shard, rows } => HolderEvent::Rows { shard, rows },
            ShareAction::Stop { shard, to } => HolderEvent::Stop { shard, to },
        };
        self.run_holder(now, event, queue, actions);
    }

    // Messages to this VM itself are delivered within the process.
    fn send(
        &mut self,
        to: VmName,
        message: RateMessage,
        queue: &mut VecDeque<NodeStep>,
        actions: &mut Vec<RateAction>,
    ) {
        if to != self.settings.node.vm {
            self.messages += 1;
            actions.push(RateAction::Send { to, message });
            return;
        }
        queue.push_back(match message {
            RateMessage::Grant(grants) => {
                NodeStep::Spender(SpenderEvent::Grants { from: to, grants })
            }
            message => {
                let from = self.settings.node.clone();
                NodeStep::Holder(HolderEvent::Peer { from, message })
            }
        });
    }
}
