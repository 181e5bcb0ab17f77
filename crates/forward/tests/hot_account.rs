//! Simulates fleets of several zones in which one account suddenly asks for many times its limit at all routers, which
//! hear of each other's admissions only with their gossip, some rounds later. In no window may the fleet admit more than
//! the operator tolerates; what it admits stays near the limit, and requests within the limit are hardly ever refused.

mod support;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
};

use godwitroad_base::SeededRandom;
use godwitroad_forward::{ForwardEvent, GossipMessage, GossipRound, PeerPlace};
use support::{TestRouter, at, limited_rules, settings, token_request};
use yare::parameterized;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const STEP_MS: u64 = 10;
const HOT_FROM_MS: u64 = 4_000;
const HOT_TO_MS: u64 = 13_000;
const LOWERED_MS: u64 = 5_000;
const LENGTH_MS: u64 = 18_000;
const OVERAGE: f64 = 0.1;
const SLACK: u64 = 110_000;

/// A fleet, the requests of its only account, and the faults.
#[derive(Clone, Copy)]
struct Plan {
    routers: usize,
    /// The routers that get requests.
    asked: usize,
    /// The account's limit, in units per second.
    rate: u64,
    /// The requested multiple of the limit from `HOT_FROM_MS` to `HOT_TO_MS`, and at other times.
    hot_load: f64,
    load: f64,
    /// Half of the routers lose contact with the others for 6 s.
    cut: bool,
    /// All routers end together and start again.
    herd: bool,
    /// The limit is halved.
    lowered: bool,
    /// The chance that a message is lost.
    loss: f64,
}

const PLAN: Plan = Plan {
    routers: 59,
    asked: 59,
    rate: 2_200_000,
    hot_load: 7.5,
    load: 0.55,
    cut: false,
    herd: false,
    lowered: false,
    loss: 0.0,
};

const LARGE: Plan = Plan { routers: 295, asked: 295, rate: 300_000, ..PLAN };

struct Fleet {
    plan: Plan,
    random: SeededRandom,
    routers: Vec<TestRouter>,
    first_rounds: Vec<u64>,
    messages: BTreeMap<u64, Vec<(usize, GossipMessage)>>,
    requests: BTreeMap<u64, Vec<(usize, u64, bool)>>,
    admitted: Vec<(u64, u64)>,
    requested: u64,
}

fn place_of(index: usize) -> PeerPlace {
    let address = Ipv4Addr::new(10, 1, (index / 250) as u8, (index % 250) as u8 + 1).into();
    PeerPlace { vm: format!("vm-{index}").into(), zone: ZONES[index % ZONES.len()].into(), address }
}

fn index_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => {
            let [_, _, high, low] = address.octets();
            usize::from(high) * 250 + usize::from(low) - 1
        }
        IpAddr::V6(_) => unreachable!("places have IPv4 addresses"),
    }
}

fn start(now: u64, index: usize, plan: Plan) -> TestRouter {
    let mut settings = settings("vm", 1);
    settings.place = place_of(index);
    settings.incarnation = now + 1;
    settings.regions = ZONES
        .iter()
        .enumerate()
        .map(|(n, zone)| ((*zone).into(), ["n", "s"][n % 2].into()))
        .collect();
    settings.allowance.restarted = now > 0;
    settings.allowance.overage = OVERAGE;
    settings.allowance.slack = SLACK;
    let mut router = TestRouter::new(settings);
    (0..plan.routers).for_each(|n| router.handle(now, ForwardEvent::PeerListed(place_of(n))));
    router.handle(now, ForwardEvent::Rules(limited_rules(1, plan.rate)));
    router
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Fleet {
        let mut random = SeededRandom::new(seed);
        Fleet {
            plan,
            routers: (0..plan.routers).map(|index| start(0, index, plan)).collect(),
            first_rounds: (0..plan.routers).map(|_| random.below(200)).collect(),
            random,
            messages: BTreeMap::new(),
            requests: BTreeMap::new(),
            admitted: Vec::new(),
            requested: 0,
        }
    }

    fn is_cut(&self, now: u64, from: usize, to: usize) -> bool {
        let is_between = (HOT_FROM_MS + 2_000..HOT_FROM_MS + 8_000).contains(&now);
        self.plan.cut && is_between && (from / 6) % 2 != (to / 6) % 2
    }

    fn exchange_gossip(&mut self, now: u64) {
        for (to, message) in self.messages.remove(&now).unwrap_or_default() {
            self.routers[to].receive(now, message);
        }
        for index in 0..self.plan.routers {
            let router = &mut self.routers[index];
            if now < self.first_rounds[index] && !router.state.has_urgent_gossip() {
                continue;
            }
            if now.is_multiple_of(200) {
                router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
            }
            let Some(GossipRound { message, recipients, .. }) = router.gossip_round(now) else {
                continue;
            };
            for to in recipients.into_iter().map(index_of).filter(|to| *to != index) {
                let is_lost = self.plan.loss > 0.0 && self.random.chance(self.plan.loss);
                if !is_lost && !self.is_cut(now, index, to) {
                    let due = now + STEP_MS * (1 + self.random.below(3));
                    self.messages.entry(due).or_default().push((to, message.clone()));
                }
            }
        }
    }

    fn send_requests(&mut self, now: u64) {
        let is_hot = (HOT_FROM_MS..HOT_TO_MS).contains(&now);
        let load = if is_hot { self.plan.hot_load } else { self.plan.load };
        let mut remaining = load * self.plan.rate as f64 * STEP_MS as f64 / 1_000.0;
        let mut due = self.requests.remove(&now).unwrap_or_default();
        while remaining > 0.0 {
            let tokens = 200 + self.random.below(7_000);
            remaining -= tokens as f64;
            if remaining < 0.0 && !self.random.chance(1.0 + remaining / tokens as f64) {
                break;
            }
            due.push((self.random.below(self.plan.asked as u64) as usize, tokens, true));
            self.requested += tokens;
        }
        for (index, tokens, may_return) in due {
            match self.routers[index].state.admit(at(now), token_request(tokens)) {
                Ok(_) => self.admitted.push((now, tokens)),
                Err(refusal) if may_return => {
                    let wait = refusal.retry_after.map_or(0, |wait| wait.as_ms());
                    let due = (now + wait).next_multiple_of(STEP_MS).max(now + STEP_MS);
                    self.requests.entry(due).or_default().push((index, tokens, false));
                }
                Err(_) => {}
            }
        }
    }

    fn run(plan: Plan, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(plan, seed);
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if plan.herd && now == HOT_FROM_MS + 4_000 {
                fleet.routers = (0..plan.routers).map(|index| start(now, index, plan)).collect();
            }
            if plan.lowered && now == LOWERED_MS {
                let lower = ForwardEvent::Rules(limited_rules(2, plan.rate / 2));
                fleet.routers.iter_mut().for_each(|router| router.handle(now, lower.clone()));
            }
            fleet.exchange_gossip(now);
            fleet.send_requests(now);
        }
        fleet
    }

    fn admitted_between(&self, from: u64, to: u64) -> u64 {
        let within = self.admitted.iter().filter(|(time, _)| (from..to).contains(time));
        within.map(|(_, tokens)| tokens).sum()
    }

    // Returns the largest number of units admitted in any window that begins at `from` or later.
    fn max_in_window(&self, from: u64) -> u64 {
        let starts = (from..LENGTH_MS - 8_000).step_by(100);
        starts.map(|start| self.admitted_between(start, start + 8_000)).max().unwrap_or(0)
    }
}

fn tolerated(rate: u64) -> u64 {
    ((9 * rate) as f64 * (1.0 + OVERAGE)) as u64 + SLACK
}

#[parameterized(
    many = { PLAN },
    few = { Plan { routers: 4, asked: 4, ..PLAN } },
    sixteen = { Plan { routers: 16, asked: 16, ..PLAN } },
    more = { Plan { routers: 86, asked: 86, ..PLAN } },
    most = { Plan { routers: 97, asked: 97, ..PLAN } },
    large = { LARGE },
    large_at_few_routers = { Plan { asked: 20, ..LARGE } },
    large_with_small_limit = { Plan { rate: 60_000, ..LARGE } },
    large_under_a_cut = { Plan { cut: true, ..LARGE } },
    large_herd = { Plan { herd: true, ..LARGE } },
    small_limit = { Plan { rate: 50_000, ..PLAN } },
    little_hot = { Plan { hot_load: 1.5, ..PLAN } },
    busy_before = { Plan { load: 0.95, ..PLAN } },
    skewed = { Plan { asked: 5, ..PLAN } },
    cut = { Plan { cut: true, ..PLAN } },
    cut_of_few = { Plan { routers: 16, asked: 16, cut: true, ..PLAN } },
    herd = { Plan { herd: true, ..PLAN } },
    lowered = { Plan { lowered: true, ..PLAN } },
)]
fn a_hot_account_keeps_to_its_limit_and_gets_it(plan: Plan) {
    for seed in 0..3 {
        let fleet = Fleet::run(plan, seed);
        let (max, allowed) = (fleet.max_in_window(0), tolerated(plan.rate));
        assert!(max <= allowed, "seed {seed}: {max} of {allowed} in a window");
        if plan.lowered {
            let (max, allowed) = (fleet.max_in_window(LOWERED_MS), tolerated(plan.rate / 2));
            assert!(max <= allowed, "seed {seed}: {max} of {allowed} under the lower limit");
            continue;
        }
        let (hot, limit) = (
            fleet.admitted_between(HOT_FROM_MS, HOT_TO_MS),
            plan.rate * (HOT_TO_MS - HOT_FROM_MS) / 1_000,
        );
        assert!(hot >= limit, "seed {seed}: {hot} of {limit} while hot");
    }
}

#[parameterized(
    many = { PLAN },
    small_limit = { Plan { rate: 50_000, ..PLAN } },
    most_with_small_limit = { Plan { routers: 97, asked: 97, rate: 30_000, ..PLAN } },
    few = { Plan { routers: 9, asked: 9, ..PLAN } },
    at_five_routers = { Plan { asked: 5, ..PLAN } },
    at_one_router = { Plan { asked: 1, ..PLAN } },
    large = { LARGE },
    large_with_small_limit = { Plan { rate: 60_000, ..LARGE } },
)]
fn use_that_grows_within_the_limit_is_hardly_ever_refused(plan: Plan) {
    let fleet = Fleet::run(Plan { hot_load: 0.9, ..plan }, 0);
    let admitted = fleet.admitted_between(0, LENGTH_MS);
    assert!(admitted * 100 >= fleet.requested * 99, "{admitted} of {}", fleet.requested);
}

#[parameterized(
    many = { PLAN },
    large = { LARGE },
    large_with_small_limit = { Plan { rate: 60_000, ..LARGE } },
    many_with_loss = { Plan { loss: 0.3, ..PLAN } },
    large_with_loss = { Plan { loss: 0.3, ..LARGE } },
)]
fn use_of_a_third_of_the_limit_is_hardly_ever_refused(plan: Plan) {
    let fleet = Fleet::run(Plan { load: 0.34, hot_load: 0.34, ..plan }, 0);
    let admitted = fleet.admitted_between(0, LENGTH_MS);
    assert!(admitted * 100 >= fleet.requested * 99, "{admitted} of {}", fleet.requested);
}
