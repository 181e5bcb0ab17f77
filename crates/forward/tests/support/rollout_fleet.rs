//! A fleet of routers that carries out a rollout of the service `plain` under random faults and virtual time.

use godwitroad_base::{BuildName, ClockSpan, SeededRandom, StoreEra, StoreRevision, TargetName};
use godwitroad_forward::{
    AttemptOutcome, ForwardAction, ForwardEvent, ForwardRequest, GossipMessage, RolloutOrder,
    RolloutSettings, RolloutStatus, SendPlan, StatusKind,
};
use godwitroad_orders::{LeaderEntry, TermAction, TermAnswer};

use super::{TestRouter, arrival, at, fleet_router, settings, target};

pub(crate) const ORDER_MS: u64 = 4_000;
pub(crate) const DURATION_MS: u64 = 12_000;
const STEP_MS: u64 = 20;
const LEASE_MS: u64 = 1_800;
const OLD_TARGETS: usize = 20;
const NEW_TARGETS: usize = 20;

/// The time without a disturbance from which a router has to keep the bounds.
const CONTACT_MS: u64 = 4_000;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VersionKind {
    Good,
    /// Good, but both versions fail as often.
    FaultyAsBefore,
    /// Good, but one target fails.
    OneFaultyTarget,
    Bad,
    /// Bad from this time after the order on.
    BadLater(u64),
    /// Bad while other requests run at the target.
    BadUnderLoad,
    BadOnOneRoute,
    Slow,
}

impl VersionKind {
    pub(crate) fn is_good(self) -> bool {
        use VersionKind::{FaultyAsBefore, Good, OneFaultyTarget};
        matches!(self, Good | FaultyAsBefore | OneFaultyTarget)
    }
}

/// The faults of a history; rates are per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetFaults {
    pub(crate) gossip_loss: f64,
    pub(crate) kills: f64,
    pub(crate) leader_kills: f64,
    pub(crate) partitions: f64,
    pub(crate) store_losses: f64,
    pub(crate) outages: f64,
}

struct RouterRun {
    router: TestRouter,
    run: u64,
    disturbed: u64,
    // Until when it is cut off from its peers, and from the store.
    cut_until: u64,
    lost_until: u64,
    unseen: Vec<(u64, ForwardEvent)>,
}

struct OpenAttempt {
    ends: u64,
    router: usize,
    run: u64,
    request: ForwardRequest,
    plan: SendPlan,
    fails: bool,
}

/// What a history has shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetCounts {
    pub(crate) requests: u64,
    /// Requests that undisturbed routers sent to the new version before the end of the order.
    pub(crate) exposed: u64,
    pub(crate) refused: u64,
    /// When the new version gave its 50th bad response, and when it got its last request by an undisturbed router.
    pub(crate) bad: u64,
    pub(crate) bad_50th: Option<u64>,
    pub(crate) last_exposed: u64,
    /// The final status and when it was written.
    pub(crate) status: Option<(StatusKind, u64)>,
    pub(crate) stops: Vec<String>,
}

pub(crate) struct RolloutFleet {
    random: SeededRandom,
    kind: VersionKind,
    faults: FleetFaults,
    routers: Vec<RouterRun>,
    revision: u64,
    leader: Option<(usize, u64, u64)>,
    status: Option<RolloutStatus>,
    order: Option<u64>,
    down_until: u64,
    in_flight: Vec<(u64, usize, GossipMessage)>,
    open: Vec<OpenAttempt>,
    // The first target of the new version that got a request.
    faulty: Option<TargetName>,
    pub(crate) counts: FleetCounts,
}

impl RolloutFleet {
    pub(crate) fn new(
        seed: u64,
        routers: usize,
        kind: VersionKind,
        faults: FleetFaults,
    ) -> RolloutFleet {
        let mut fleet = RolloutFleet {
            random: SeededRandom::new(seed),
            kind,
            faults,
            routers: Vec::new(),
            revision: 10,
            leader: None,
            status: None,
            order: None,
            down_until: 0,
            in_flight: Vec::new(),
            open: Vec::new(),
            faulty: None,
            counts: FleetCounts::default(),
        };
        for index in 0..routers {
            let run = fleet.start(0, index, routers);
            fleet.routers.push(run);
        }
        fleet
    }

    fn start(&mut self, now: u64, index: usize, routers: usize) -> RouterRun {
        let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
        settings.incarnation = now + 1;
        settings.rollout = Some(RolloutSettings::default());
        settings.allowance.restarted = now > 0;
        let new = if now >= ORDER_MS { NEW_TARGETS } else { 0 };
        let record = |index: usize| {
            let build: BuildName = if index < OLD_TARGETS { "v1".into() } else { "v2".into() };
            let record = target(&format!("t-{index}"), "plain", "a", index as u8);
            godwitroad_forward::TargetRecord { build, slots: 64, ..record }
        };
        let mut router = fleet_router(now, settings, routers, (0..OLD_TARGETS + new).map(record));
        if let Some(order) = self.order {
            router.handle(now, order_event(order));
        }
        if let Some(status) = &self.status {
            router.handle(now, ForwardEvent::RolloutStatus(status.clone()));
        }
        let leader = self.leader.map(leader_entry);
        router.handle(now, ForwardEvent::TermHolder(leader));
        RouterRun {
            router,
            run: now,
            disturbed: if now == 0 { 0 } else { now + CONTACT_MS },
            cut_until: 0,
            lost_until: 0,
            unseen: Vec::new(),
        }
    }

    pub(crate) fn run(&mut self) {
        for now in (STEP_MS..ORDER_MS + DURATION_MS + 6_000).step_by(STEP_MS as usize) {
            if now == ORDER_MS {
                self.begin_order(now);
            }
            self.inject_faults(now);
            self.update_views(now);
            self.exchange_gossip(now);
            self.end_attempts(now);
            self.send_requests(now);
            self.carry_out(now);
        }
    }

    fn begin_order(&mut self, now: u64) {
        for index in OLD_TARGETS..OLD_TARGETS + NEW_TARGETS {
            let record = target(&format!("t-{index}"), "plain", "a", index as u8);
            let record =
                godwitroad_forward::TargetRecord { build: "v2".into(), slots: 64, ..record };
            self.publish(now, &ForwardEvent::Target(record));
        }
        self.revision += 1;
        self.order = Some(self.revision);
        self.publish(now, &order_event(self.revision));
    }

    fn publish(&mut self, now: u64, event: &ForwardEvent) {
        for run in &mut self.routers {
            let seen = now + 20 + self.random.below(280);
            run.unseen.push((seen, event.clone()));
        }
    }

    fn happens(&mut self, per_second: f64) -> bool {
        self.random.chance(per_second * STEP_MS as f64 / 1_000.0)
    }

    fn inject_faults(&mut self, now: u64) {
        let faults = self.faults;
        let index = self.random.below(self.routers.len() as u64) as usize;
        if self.happens(faults.kills) {
            self.kill(now, index);
        }
        if let Some((leader, ..)) = self.leader
            && self.happens(faults.leader_kills)
        {
            self.kill(now, leader);
        }
        let until = now + 500 + self.random.below(4_000);
        if self.happens(faults.partitions) {
            self.routers[index].cut_until = until;
            self.routers[index].disturbed = until + CONTACT_MS;
        }
        if self.happens(faults.store_losses) {
            self.routers[index].lost_until = until;
            self.routers[index].disturbed = until + CONTACT_MS;
        }
        if self.happens(faults.outages) {
            self.down_until = until;
            for run in &mut self.routers {
                run.disturbed = run.disturbed.max(until + CONTACT_MS);
            }
        }
        if self.leader.is_some_and(|(_, _, until)| now >= until) {
            self.leader = None;
            self.revision += 1;
            self.publish(now, &ForwardEvent::TermHolder(None));
        }
    }

    fn kill(&mut self, now: u64, index: usize) {
        let routers = self.routers.len();
        self.routers[index] = self.start(now, index, routers);
        self.open.retain(|open| open.router != index);
    }

    fn reaches_store(&self, now: u64, index: usize) -> bool {
        now >= self.down_until && now >= self.routers[index].lost_until
    }

    fn update_views(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            let reaches = self.reaches_store(now, index);
            let run = &mut self.routers[index];
            if !reaches {
                if now.is_multiple_of(200) {
                    run.router.handle(now, ForwardEvent::StoreFailed);
                }
                continue;
            }
            let unseen = std::mem::take(&mut run.unseen);
            let (seen, unseen): (Vec<_>, Vec<_>) =
                unseen.into_iter().partition(|(at, _)| *at <= now);
            run.unseen = unseen;
            for (_, event) in seen {
                run.router.handle(now, event);
            }
            if now.is_multiple_of(200) {
                let read_from = at(now.saturating_sub(300));
                run.router.handle(now, ForwardEvent::StoreAnswered { read_from });
            }
        }
    }

    fn exchange_gossip(&mut self, now: u64) {
        let cut: Vec<bool> = self.routers.iter().map(|run| now < run.cut_until).collect();
        for index in 0..self.routers.len() {
            let Some(round) = self.routers[index].router.gossip_round(now) else { continue };
            for other in (0..self.routers.len()).filter(|other| *other != index) {
                let is_lost = cut[index] || cut[other];
                if !is_lost && !self.random.chance(self.faults.gossip_loss) {
                    let arrives = now + self.random.below(40);
                    self.in_flight.push((arrives, other, round.message.clone()));
                }
            }
        }
        let in_flight = std::mem::take(&mut self.in_flight);
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = in_flight;
        for (_, other, message) in arrived {
            self.routers[other].router.receive(now, message);
        }
    }

    // Returns whether a response is bad, and how long it takes.
    fn behave(&mut self, now: u64, path: &str, plan: &SendPlan) -> (bool, u64) {
        let normal = 20 + self.random.below(30);
        let is_new = plan.build.as_str() == "v2";
        let age = now.saturating_sub(ORDER_MS);
        let busy = self.open.iter().any(|open| open.plan.target == plan.target);
        let share = match self.kind {
            VersionKind::Good => 0.0,
            VersionKind::FaultyAsBefore => 0.1,
            VersionKind::OneFaultyTarget if is_new => {
                let faulty = self.faulty.get_or_insert(plan.target.clone());
                f64::from(u8::from(*faulty == plan.target))
            }
            _ if !is_new => 0.0,
            VersionKind::BadLater(from) if age < from => 0.0,
            VersionKind::BadUnderLoad if !busy => 0.0,
            VersionKind::BadOnOneRoute if path != "/open/x" => 0.0,
            _ => 0.4,
        };
        let is_bad = self.random.chance(share);
        if is_bad && is_new && !self.kind.is_good() {
            self.counts.bad += 1;
            if self.counts.bad == 50 {
                self.counts.bad_50th = Some(now);
            }
        }
        let is_slow = is_bad && self.kind == VersionKind::Slow;
        (is_bad && !is_slow, if is_slow { normal * 6 } else { normal })
    }

    fn send_requests(&mut self, now: u64) {
        for _ in 0..8 {
            let index = self.random.below(self.routers.len() as u64) as usize;
            let path = if self.random.chance(0.3) { "/open/x" } else { "/any/x" };
            let arrival = arrival(path, Some("key-one"));
            let Ok(request) = self.routers[index].router.state.admit(at(now), arrival) else {
                self.counts.refused += 1;
                continue;
            };
            let in_order = (ORDER_MS..ORDER_MS + DURATION_MS).contains(&now);
            self.counts.requests += u64::from(in_order);
            self.attempt(now, index, path, request);
        }
    }

    fn attempt(&mut self, now: u64, index: usize, path: &str, mut request: ForwardRequest) {
        let run = &mut self.routers[index];
        let (run_id, is_sound) = (run.run, now >= run.disturbed);
        let Ok(plan) = run.router.state.choose_target(at(now), &mut request) else {
            self.counts.refused += 1;
            return;
        };
        let is_over = self.status.as_ref().is_some_and(|status| {
            self.counts.status.is_some() && status.state == StatusKind::Completed
        });
        if plan.build.as_str() == "v2" && is_sound && !is_over {
            self.counts.exposed += u64::from(now < ORDER_MS + DURATION_MS);
            self.counts.last_exposed = now;
        }
        let (fails, took) = self.behave(now, path, &plan);
        let ends = now + took;
        self.open.push(OpenAttempt { ends, router: index, run: run_id, request, plan, fails });
    }

    fn end_attempts(&mut self, now: u64) {
        let open = std::mem::take(&mut self.open);
        let (ended, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|open| open.ends <= now);
        self.open = open;
        for OpenAttempt { ends, router, run, mut request, plan, fails } in ended {
            if self.routers[router].run == run {
                let outcome = AttemptOutcome::Complete { status: if fails { 500 } else { 200 } };
                let state = &mut self.routers[router].router.state;
                state.finish_attempt(at(ends.max(now)), &mut request, &plan, outcome);
            }
        }
    }

    // Carries out the routers' calls to the store.
    fn carry_out(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            for action in std::mem::take(&mut self.routers[index].router.actions) {
                match action {
                    ForwardAction::Term(action) => {
                        let answer = self.answer_term(now, index, action);
                        self.routers[index].router.handle(now, ForwardEvent::Term(answer));
                    }
                    ForwardAction::RecordRollout { fence, step }
                        if self.reaches_store(now, index) =>
                    {
                        let leads =
                            self.leader.is_some_and(|(_, revision, _)| revision == fence.number());
                        let known = self.status.as_ref().map_or(0, |status| status.revision);
                        let is_next = known == step.status.revision;
                        if leads && is_next && self.order == Some(step.order) {
                            self.write_status(now, step.status);
                        }
                    }
                    ForwardAction::Notice("rollout_stopped", detail) => {
                        self.counts.stops.push(detail);
                    }
                    _ => {}
                }
            }
        }
    }

    fn write_status(&mut self, now: u64, status: RolloutStatus) {
        self.revision += 1;
        let status = RolloutStatus { revision: self.revision, ..status };
        if status.state != StatusKind::Running {
            self.counts.status = Some((status.state, now));
        }
        self.status = Some(status.clone());
        self.publish(now, &ForwardEvent::RolloutStatus(status));
    }

    fn answer_term(&mut self, now: u64, index: usize, action: TermAction) -> TermAnswer {
        if !self.reaches_store(now, index) {
            return TermAnswer::Lost;
        }
        let number = self.leader.map_or(0, |(_, revision, _)| revision);
        match action {
            TermAction::Acquire { expected } if expected.leader == number => {
                self.revision += 1;
                let leader = (index, self.revision, now + LEASE_MS);
                self.leader = Some(leader);
                self.publish(now, &ForwardEvent::TermHolder(Some(leader_entry(leader))));
                TermAnswer::Acquired {
                    lease: self.revision,
                    fence: StoreRevision::new(StoreEra::default(), self.revision),
                    granted: at(now),
                    replaced: expected.leader > 0,
                }
            }
            TermAction::Renew { lease, is_activity: false } if lease == number => {
                self.leader = self.leader.map(|(vm, number, _)| (vm, number, now + LEASE_MS));
                TermAnswer::Renewed { from: at(now) }
            }
            TermAction::Clear { .. } => {
                self.revision += 1;
                TermAnswer::Cleared { revision: self.revision }
            }
            _ => TermAnswer::Refused,
        }
    }
}

fn leader_entry((vm, revision, _): (usize, u64, u64)) -> LeaderEntry {
    LeaderEntry { vm: format!("vm-{vm}").as_str().into(), revision }
}

fn order_event(revision: u64) -> ForwardEvent {
    let order = RolloutOrder {
        service: "plain".into(),
        target: "v2".into(),
        duration: ClockSpan::from_ms(DURATION_MS),
    };
    ForwardEvent::RolloutOrder { order, revision }
}
