//! Guards against streams that go on at another build of the targets' software than the one that began them, and against
//! streams that are refused although targets of their build serve.
//!
//! Histories of several routers: builds are released, turned back and released again, gossip is lost and late, routers
//! learn late of targets, one, some or all of them are killed, and some are out of step for seconds: cut off from the store,
//! from the other routers or from both, as a suspended one is.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{SeededRandom, StoreEra, StoreRevision};
use godwitroad_forward::{
    ForwardArrival, ForwardEvent, GossipMessage, OriginNotes, RefusalReason, SendPlan, TargetRecord,
};
use support::{TestRouter, at, histories, place, prompt, rules, settings, target};
use yare::parameterized;

const TARGETS: usize = 6;
const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 30_000;

/// The longest delay until a router learns of a change of the targets.
const MAX_VIEW_DELAY_MS: u64 = 300;

/// The time from a router's start from which its callers count for the share of streams that go on.
const IN_TOUCH_MS: u64 = 3_000;

/// What a router that is out of step doesn't reach.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum StepLoss {
    #[default]
    None,
    Store,
    Peers,
    Both,
}

#[derive(Clone, Copy, Debug, Default)]
struct FaultPlan {
    routers: usize,
    gossip_loss: f64,
    /// The share of the routers that is killed at once, and how often that happens in a second.
    killed: f64,
    kills_per_s: f64,
    /// How often one router gets out of step in a second, and of what.
    losses_per_s: f64,
    loss: StepLoss,
}

/// A stream whose caller holds its connection.
#[derive(Clone, Debug)]
struct LiveStream {
    id: String,
    build: String,
}

#[derive(Debug, Default)]
struct StreamCounts {
    begun: u64,
    refused: u64,
    mixed: u64,
    /// Streams that were taken up in touch while two targets of their build served.
    taken_up: u64,
    gone_on: u64,
}

struct RouterRun {
    router: TestRouter,
    started: u64,
    // When it started or was out of step last, and until when it is.
    disturbed: u64,
    away_until: u64,
    unseen: Vec<(u64, ForwardEvent)>,
    saved_at: u64,
}

struct History {
    random: SeededRandom,
    plan: FaultPlan,
    routers: Vec<RouterRun>,
    targets: BTreeMap<usize, TargetRecord>,
    saved: BTreeMap<(usize, u64), OriginNotes>,
    in_flight: Vec<(u64, usize, GossipMessage)>,
    live: Vec<LiveStream>,
    counts: StreamCounts,
    number: u64,
}

fn arrival(id: &str, resumes: Option<&str>) -> ForwardArrival {
    let last_event = resumes.map(|_| 2);
    ForwardArrival {
        id: id.into(),
        resumes: resumes.map(Into::into),
        last_event,
        ..prompt(id, "own")
    }
}

impl RouterRun {
    fn has_lost(&self, now: u64, plan: FaultPlan, side: StepLoss) -> bool {
        now < self.away_until && (plan.loss == side || plan.loss == StepLoss::Both)
    }
}

impl History {
    fn new(seed: u64, plan: FaultPlan) -> History {
        let mut history = History {
            random: SeededRandom::new(seed),
            plan,
            routers: Vec::new(),
            targets: BTreeMap::new(),
            saved: BTreeMap::new(),
            in_flight: Vec::new(),
            live: Vec::new(),
            counts: StreamCounts::default(),
            number: 0,
        };
        for index in 0..TARGETS {
            history.targets.insert(index, history.record(index, "v1", 1));
        }
        for index in 0..plan.routers {
            let run = history.start(0, index);
            history.routers.push(run);
        }
        history
    }

    fn record(&self, index: usize, build: &str, started_ms: u64) -> TargetRecord {
        let name = format!("model-{index}-{started_ms}");
        let record = target(&name, "models", ["a", "b", "c"][index % 3], 20 + index as u8);
        TargetRecord { build: build.into(), slots: 64, started_ms, ..record }
    }

    // Starts a router that reads the store.
    fn start(&self, now: u64, index: usize) -> RouterRun {
        let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
        settings.incarnation = now + 1;
        let mut router = TestRouter::new(settings);
        for other in 0..self.plan.routers {
            let place = place(&format!("vm-{other}"), "a", other as u8 + 1);
            router.handle(now, ForwardEvent::PeerListed(place));
        }
        router.handle(now, ForwardEvent::Rules(Arc::new(rules(1))));
        for record in self.targets.values() {
            router.handle(now, ForwardEvent::Target(record.clone()));
        }
        for notes in self.saved.values() {
            router.handle(now, ForwardEvent::Origins(notes.clone()));
        }
        router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
        RouterRun {
            router,
            started: now,
            disturbed: now,
            away_until: now,
            unseen: Vec::new(),
            saved_at: now,
        }
    }

    fn run(&mut self) {
        for step in 1..LENGTH_MS / STEP_MS {
            let now = step * STEP_MS;
            self.change_targets(now);
            self.kill_routers(now);
            self.lose_step(now);
            self.update_views(now);
            self.exchange_gossip(now);
            self.begin_stream(now);
            self.break_streams(now);
        }
    }

    // Replaces one target after the other by one of the next build; sometimes the release turns back.
    fn change_targets(&mut self, now: u64) {
        if !now.is_multiple_of(400) {
            return;
        }
        let index = self.random.below(TARGETS as u64) as usize;
        let newer = ["v1", "v2", "v1", "v3"][(now / 8_000) as usize % 4];
        let before = self.targets.get(&index).cloned();
        if before.as_ref().is_some_and(|record| record.build.as_str() == newer) {
            return;
        }
        let record = self.record(index, newer, now);
        self.targets.insert(index, record.clone());
        for run in &mut self.routers {
            let seen = now + self.random.below(MAX_VIEW_DELAY_MS);
            run.unseen.push((seen, ForwardEvent::Target(record.clone())));
            let removed = before.clone().map(|before| ForwardEvent::TargetRemoved(before.name));
            run.unseen.extend(removed.map(|event| (seen, event)));
            let revision = StoreRevision::new(StoreEra::default(), now);
            run.unseen.push((seen, ForwardEvent::StoreChanged { revision }));
        }
    }

    fn kill_routers(&mut self, now: u64) {
        if !self.random.chance(self.plan.kills_per_s * STEP_MS as f64 / 1_000.0) {
            return;
        }
        for index in 0..self.routers.len() {
            if self.random.chance(self.plan.killed) {
                self.routers[index] = self.start(now, index);
            }
        }
    }

    fn lose_step(&mut self, now: u64) {
        if self.random.chance(self.plan.losses_per_s * STEP_MS as f64 / 1_000.0) {
            let index = self.random.below(self.routers.len() as u64) as usize;
            let away_until = now + 500 + self.random.below(6_000);
            let run = &mut self.routers[index];
            run.away_until = run.away_until.max(away_until);
            run.disturbed = run.away_until;
        }
    }

    fn update_views(&mut self, now: u64) {
        for (index, run) in self.routers.iter_mut().enumerate() {
            if run.has_lost(now, self.plan, StepLoss::Store) {
                continue;
            }
            let (seen, unseen) = run.unseen.drain(..).partition(|(at, _)| *at <= now);
            run.unseen = unseen;
            let seen: Vec<(u64, ForwardEvent)> = seen;
            for (_, event) in seen {
                run.router.handle(now, event);
            }
            if now.is_multiple_of(200) {
                let read_from = at(now.saturating_sub(MAX_VIEW_DELAY_MS));
                run.router.handle(now, ForwardEvent::StoreAnswered { read_from });
                run.router.handle(now, ForwardEvent::Tick);
            }
            if now - run.saved_at >= 250
                && let Some(notes) = run.router.state.take_unsaved_origins(at(now))
            {
                run.saved_at = now;
                self.saved.insert((index, run.started), notes);
            }
        }
    }

    fn exchange_gossip(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            let is_cut = |run: &RouterRun| run.has_lost(now, self.plan, StepLoss::Peers);
            let cut: Vec<bool> = self.routers.iter().map(is_cut).collect();
            let router = &mut self.routers[index].router;
            let Some(round) = router.gossip_round(now) else { continue };
            for other in (0..self.routers.len()).filter(|other| *other != index) {
                let is_lost = cut[index] || cut[other];
                if !is_lost && !self.random.chance(self.plan.gossip_loss) {
                    let arrives = now + self.random.below(40);
                    self.in_flight.push((arrives, other, round.message.clone()));
                }
            }
        }
        let (arrived, in_flight) = self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = in_flight;
        let arrived: Vec<(u64, usize, GossipMessage)> = arrived;
        for (_, other, message) in arrived {
            self.routers[other].router.receive(now, message);
        }
    }

    fn place(
        &mut self,
        now: u64,
        index: usize,
        arrival: ForwardArrival,
    ) -> Result<SendPlan, RefusalReason> {
        let state = &mut self.routers[index].router.state;
        let mut request = state.admit(at(now), arrival).map_err(|refusal| refusal.reason)?;
        let plan = state.choose_target(at(now), &mut request).map_err(|refusal| refusal.reason)?;
        state.record_stream_begin(at(now), &mut request, &plan);
        let complete = godwitroad_forward::AttemptOutcome::Complete { status: 200 };
        state.finish_attempt(at(now), &mut request, &plan, complete);
        Ok(plan)
    }

    fn begin_stream(&mut self, now: u64) {
        self.number += 1;
        let id = format!("stream-{}", self.number);
        let index = self.random.below(self.routers.len() as u64) as usize;
        match self.place(now, index, arrival(&id, None)) {
            Ok(plan) => {
                self.counts.begun += 1;
                self.live.push(LiveStream { id, build: plan.build.to_string() });
            }
            Err(_) => self.counts.refused += 1,
        }
    }

    // Takes up a stream that broke at any router, some of the time again.
    fn break_streams(&mut self, now: u64) {
        if self.live.len() < 20 {
            return;
        }
        let stream = self.live.swap_remove(self.random.below(20) as usize);
        self.number += 1;
        let index = self.random.below(self.routers.len() as u64) as usize;
        let taken_up = arrival(&format!("again-{}", self.number), Some(&stream.id));
        let targets = self.targets.values();
        let serving = targets.filter(|record| record.build.as_str() == stream.build).count();
        let counts = serving >= 2 && now >= self.routers[index].disturbed + IN_TOUCH_MS;
        let placed = self.place(now, index, taken_up);
        self.counts.taken_up += u64::from(counts);
        if let Ok(plan) = placed {
            self.counts.gone_on += u64::from(counts);
            self.counts.mixed += u64::from(plan.build.as_str() != stream.build);
            if self.random.chance(0.5) {
                self.live.push(stream);
            }
        }
    }
}

#[parameterized(
    calm = { FaultPlan { routers: 4, ..Default::default() } },
    alone = { FaultPlan { routers: 1, killed: 1.0, kills_per_s: 0.2, ..Default::default() } },
    gossip_is_lost = { FaultPlan { routers: 6, gossip_loss: 0.2, ..Default::default() } },
    some_are_killed = { FaultPlan { routers: 6, gossip_loss: 0.05, killed: 0.4, kills_per_s: 0.3, ..Default::default() } },
    all_are_killed = { FaultPlan { routers: 6, gossip_loss: 0.05, killed: 1.0, kills_per_s: 0.2, ..Default::default() } },
    cut_off_from_the_store = { FaultPlan { routers: 6, losses_per_s: 0.4, loss: StepLoss::Store, ..Default::default() } },
    cut_off_from_each_other = { FaultPlan { routers: 6, losses_per_s: 0.4, loss: StepLoss::Peers, ..Default::default() } },
    cut_off_from_both = { FaultPlan { routers: 6, losses_per_s: 0.4, loss: StepLoss::Both, ..Default::default() } },
    cut_off_and_killed = { FaultPlan {
        routers: 6, gossip_loss: 0.05, killed: 0.4, kills_per_s: 0.2, losses_per_s: 0.4, loss: StepLoss::Both,
    } },
    large = { FaultPlan { routers: 40, gossip_loss: 0.05, killed: 0.3, kills_per_s: 0.2, ..Default::default() } },
)]
fn streams_go_on_at_the_build_that_began_them(plan: FaultPlan) {
    let mut totals = StreamCounts::default();
    let routers = plan.routers as u64;
    for seed in 0..histories().div_ceil(routers.div_ceil(8)) {
        let mut history = History::new(seed, plan);
        history.run();
        let counts = history.counts;
        assert_eq!(counts.mixed, 0, "seed {seed}: {counts:?}");
        totals.begun += counts.begun;
        totals.refused += counts.refused;
        totals.taken_up += counts.taken_up;
        totals.gone_on += counts.gone_on;
    }
    let begin_share = totals.begun as f64 / (totals.begun + totals.refused) as f64;
    let share = totals.gone_on as f64 / totals.taken_up as f64;
    assert!(totals.taken_up > 100, "{totals:?}");
    assert!(share >= 0.5 * begin_share, "{share} of {begin_share} go on: {totals:?}");
    if std::env::var("GODWITROAD_HISTORIES").is_ok() {
        println!("{plan:?}: {share:.3} of those taken up go on, {begin_share:.3} begin");
    }
}

fn placed_build(router: &mut TestRouter, now: u64, arrival: ForwardArrival) -> String {
    let mut request = router.state.admit(at(now), arrival).expect("an open route");
    let plan = router.state.choose_target(at(now), &mut request).expect("a target");
    let complete = godwitroad_forward::AttemptOutcome::Complete { status: 200 };
    router.state.finish_attempt(at(now), &mut request, &plan, complete);
    plan.build.to_string()
}

fn newer_target(last: u8) -> TargetRecord {
    TargetRecord { build: "v2".into(), ..target("model-new", "models", "a", last) }
}

#[test]
fn no_stream_begins_at_a_build_that_other_routers_may_not_have_seen() {
    let mut router = support::router(0);
    router.handle(5_000, ForwardEvent::StoreAnswered { read_from: at(5_000) });
    router.handle(5_000, ForwardEvent::Target(newer_target(30)));
    for now in 5_001..5_999 {
        let build = placed_build(&mut router, now, arrival(&format!("begun-{now}"), None));
        assert_eq!(build, "v1", "at {now} ms");
    }
    router.handle(6_000, ForwardEvent::StoreAnswered { read_from: at(6_000) });
    let later = (6_000..6_200)
        .map(|now| placed_build(&mut router, now, arrival(&format!("begun-{now}"), None)));
    assert!(later.collect::<Vec<_>>().contains(&"v2".to_string()));
}

#[test]
fn streams_begin_at_a_new_build_at_once_if_no_other_is_left() {
    let mut router = support::router(0);
    router.handle(3_000, ForwardEvent::Target(newer_target(30)));
    for zone in ["a", "b", "c"] {
        router.handle(3_000, ForwardEvent::TargetRemoved(format!("model-{zone}").as_str().into()));
    }
    assert_eq!(placed_build(&mut router, 3_001, arrival("begun", None)), "v2");
}

#[test]
fn a_stream_of_a_build_that_has_left_is_refused_for_good() {
    let mut router = support::router(0);
    router.handle(1_000, ForwardEvent::Target(newer_target(30)));
    let mut request = router.state.admit(at(1_000), arrival("begun", None)).expect("a route");
    let plan = router.state.choose_target(at(1_000), &mut request).expect("a target");
    router.state.record_stream_begin(at(1_000), &mut request, &plan);
    for zone in ["a", "b", "c"] {
        router.handle(2_000, ForwardEvent::TargetRemoved(format!("model-{zone}").as_str().into()));
    }
    for (stream, reason) in
        [("begun", RefusalReason::BuildGone), ("other", RefusalReason::OriginUnknown)]
    {
        let taken_up = arrival(&format!("again-{stream}"), Some(stream));
        let mut request = router.state.admit(at(2_100), taken_up).expect("a route");
        let refusal = router.state.choose_target(at(2_100), &mut request).expect_err("no target");
        assert_eq!((refusal.reason, refusal.retry_after), (reason, None));
        assert!(reason.is_not_run());
    }
}
