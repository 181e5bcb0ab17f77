//! Which target changes to new weights next, where each target counts the orders that it accepted.
//!
//! An order can be left unanswered and carried out seconds later, after newer ones. Each order therefore names the
//! count that the target had when it was decided; a late order then no longer fits. Before every order the target is
//! asked for its count, and after an order without an answer it is asked again.
//!
//! The plan has no state that must last: what is left to do follows from the named versions and from what the targets
//! serve, so that a new owner takes a rollout up where the old one stopped. A version that is already replaced is
//! never ordered.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName, ZoneName};

/// The settings of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSettings {
    /// Targets that load at once without slowing each other down, in a small fleet.
    pub loads_at_once: usize,
    /// The part of all targets that may load at once in a large fleet.
    pub load_share: f64,
    /// Targets that finish their requests while others load.
    pub drains_at_once: usize,
    /// The time between the notice to the routers and the order, so that requests under way arrive before it.
    pub notice: ClockSpan,
    /// The longest time for a target to finish its requests before the order is sent all the same; the target then
    /// finishes them itself, but takes no others meanwhile.
    pub drain: ClockSpan,
    /// The time between two questions to a target that loads.
    pub poll: ClockSpan,
    /// The time after which a target's place is given to another.
    pub patience: ClockSpan,
}

impl Default for WeightSettings {
    fn default() -> WeightSettings {
        WeightSettings {
            loads_at_once: 2,
            load_share: 0.2,
            drains_at_once: 2,
            notice: ClockSpan::from_ms(60),
            drain: ClockSpan::from_ms(900),
            poll: ClockSpan::from_ms(500),
            patience: ClockSpan::from_secs(8),
        }
    }
}

/// A target that could be given an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightTarget {
    /// The target.
    pub name: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The versions that it serves.
    pub versions: BTreeMap<ModelName, u64>,
    /// The work under way there, in tokens; the least busy change first.
    pub work: u64,
}

/// An order to change to other weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// The orders that the target had accepted when this one was decided.
    pub expected: u64,
}

/// What a target says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightReport {
    /// The versions that it serves.
    pub versions: BTreeMap<ModelName, u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// The orders that it accepted.
    pub accepted: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WeightAnswer {
    /// The target carries it out, or already did.
    Taken,
    /// Another order is in progress, or the count differs.
    Conflict,
    /// The target refuses this owner or the order itself.
    Refused,
    /// No answer; the order may still be carried out.
    Lost,
}

/// What the plan asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightAction {
    /// Ask a target for its state.
    FetchReport {
        /// The target.
        target: TargetName,
    },
    /// Send an order.
    Send(WeightOrder),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ChangeStep {
    Noticed,
    Asked,
    Ordered,
    Loading,
    Resting,
}

#[derive(Clone, Debug)]
struct ChangeState {
    step: ChangeStep,
    since: ClockTime,
    started: ClockTime,
    model: ModelName,
    version: u64,
}

/// The rollout as the owner sees it.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    settings: WeightSettings,
    named: BTreeMap<ModelName, u64>,
    changes: BTreeMap<TargetName, ChangeState>,
    // Targets that failed, and until when others go first.
    postponed: BTreeMap<TargetName, ClockTime>,
}

/// The part of the targets, as a divisor, that may be out of service at once.
const MOST_PART: usize = 2;

/// The pause for a target that did not change in time.
const POSTPONE: ClockSpan = ClockSpan::from_ms(3_000);

/// The time for an answer to an order or a question.
const ANSWER_TIME: ClockSpan = ClockSpan::from_ms(900);

impl WeightPlan {
    /// Returns a plan without named versions.
    pub fn new(settings: WeightSettings) -> WeightPlan {
        WeightPlan { settings, ..WeightPlan::default() }
    }

    /// Takes the version that is named for a model; returns whether it is newer than before.
    pub fn announce_version(&mut self, model: ModelName, version: u64) -> bool {
        let known = self.named.entry(model).or_insert(0);
        let is_newer = version > *known;
        *known = version.max(*known);
        is_newer
    }

    /// Returns the named version of a model.
    pub fn named(&self, model: &ModelName) -> Option<u64> {
        self.named.get(model).copied()
    }

    /// Returns the targets that change now or are about to, which should get no new work.
    pub fn changing(&self) -> impl Iterator<Item = &TargetName> {
        self.changes.keys()
    }

    /// Forgets what is under way, as another router gives the orders now.
    pub fn abandon(&mut self) {
        self.changes.clear();
    }

    /// Returns whether any target should change.
    pub fn has_work(&self, targets: &[WeightTarget]) -> bool {
        !self.changes.is_empty() || targets.iter().any(|target| self.behind(target).is_some())
    }

    /// Returns what to do next, given all targets that serve models.
    pub fn next(&mut self, now: ClockTime, targets: &[WeightTarget]) -> Vec<WeightAction> {
        self.settle(now, targets);
        let loads = self.loads_at_once(targets.len());
        let places = loads + self.settings.drains_at_once;
        self.start(now, targets, places.min(targets.len() / MOST_PART).max(1));
        let settings = self.settings;
        let work = |name: &TargetName| {
            targets.iter().find(|target| target.name == *name).map_or(0, |target| target.work)
        };
        // A target that has its order but still runs requests doesn't load yet.
        let is_loading = |(name, change): &(&TargetName, &ChangeState)| {
            change.step != ChangeStep::Noticed && work(name) == 0
        };
        let mut free = loads.saturating_sub(self.changes.iter().filter(is_loading).count());
        let mut actions = Vec::new();
        for (name, change) in &mut self.changes {
            let waited = now.since(change.since);
            let is_due = match change.step {
                ChangeStep::Noticed => {
                    let is_idle = work(name) == 0;
                    let is_due = waited >= settings.notice && (is_idle || waited >= settings.drain);
                    let takes_place = is_due && free > 0;
                    free -= usize::from(takes_place);
                    takes_place
                }
                ChangeStep::Asked | ChangeStep::Ordered => waited >= ANSWER_TIME,
                ChangeStep::Loading | ChangeStep::Resting => waited >= settings.poll,
            };
            if is_due {
                change.step = ChangeStep::Asked;
                change.since = now;
                actions.push(WeightAction::FetchReport { target: name.clone() });
            }
        }
        actions
    }

    fn loads_at_once(&self, targets: usize) -> usize {
        let share = (targets as f64 * self.settings.load_share) as usize;
        share.max(self.settings.loads_at_once)
    }

    // Ends changes that are done or whose target is gone, and takes the place of those that take too long.
    fn settle(&mut self, now: ClockTime, targets: &[WeightTarget]) {
        let patience = self.settings.patience;
        let postponed = &mut self.postponed;
        self.changes.retain(|name, change| {
            let Some(target) = targets.iter().find(|target| target.name == *name) else {
                return false;
            };
            let is_done = target.versions.get(&change.model).is_some_and(|v| *v >= change.version);
            let is_late = now.since(change.started) >= patience;
            if is_late && !is_done {
                postponed.insert(name.clone(), now + POSTPONE);
            }
            !is_done && !is_late
        });
        self.postponed.retain(|_, until| now < *until);
    }

    fn start(&mut self, now: ClockTime, targets: &[WeightTarget], most: usize) {
        while self.changes.len() < most {
            let zones: Vec<&ZoneName> = targets
                .iter()
                .filter(|target| self.changes.contains_key(&target.name))
                .map(|target| &target.zone)
                .collect();
            let waiting = targets.iter().filter(|target| !self.changes.contains_key(&target.name));
            let behind = waiting.filter_map(|target| Some((target, self.behind(target)?)));
            // Two of one zone at once would take much of the zone's capacity.
            let next = behind.min_by_key(|(target, _)| {
                let is_postponed = self.postponed.contains_key(&target.name);
                (is_postponed, zones.contains(&&target.zone), target.work, target.name.clone())
            });
            let Some((target, (model, version))) = next else { return };
            let step = ChangeStep::Noticed;
            let change = ChangeState { step, since: now, started: now, model, version };
            self.changes.insert(target.name.clone(), change);
        }
    }

    fn behind(&self, target: &WeightTarget) -> Option<(ModelName, u64)> {
        let mut models = target.versions.iter();
        models.find_map(|(model, version)| {
            let named = self.named(model)?;
            (named > *version).then(|| (model.clone(), named))
        })
    }

    /// Takes a target's report; `None` when it did not answer. Returns the order that follows from it.
    pub fn report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<&WeightReport>,
    ) -> Option<WeightOrder> {
        let change = self.changes.get_mut(target)?;
        change.since = now;
        let Some(report) = report else {
            change.step = ChangeStep::Resting;
            return None;
        };
        if report.busy {
            change.step = ChangeStep::Loading;
            return None;
        }
        // A version named meanwhile goes first; the one before it is skipped.
        change.version = self.named.get(&change.model).copied()?.max(change.version);
        let serves = report.versions.get(&change.model).copied().unwrap_or(0);
        if serves >= change.version {
            self.changes.remove(target);
            return None;
        }
        change.step = ChangeStep::Ordered;
        Some(WeightOrder {
            target: target.clone(),
            model: change.model.clone(),
            version: change.version,
            expected: report.accepted,
        })
    }

    /// Takes the outcome of an order.
    pub fn answer(&mut self, now: ClockTime, target: &TargetName, answer: WeightAnswer) {
        let Some(change) = self.changes.get_mut(target) else { return };
        change.since = now;
        change.step = match answer {
            WeightAnswer::Taken => ChangeStep::Loading,
            WeightAnswer::Conflict | WeightAnswer::Lost | WeightAnswer::Refused => {
                ChangeStep::Resting
            }
        };
    }
}
