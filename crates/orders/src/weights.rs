//! Decides which target changes to new weights next, for targets that count the orders they accepted.
//!
//! An order may be delayed and take effect seconds after its time-out, when newer orders have been carried out. Each
//! order therefore carries the count that the target had when the order was decided, and a target refuses an order with
//! an outdated count. The target's count is fetched before every order, and again after an order without an answer.
//!
//! The plan has no stored state: the remaining steps follow from the desired versions and from the versions that the
//! targets serve, so that a new order leader continues a rollout where its predecessor stopped. A version that has
//! been replaced by a newer one is never ordered.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName, ZoneName};

use crate::{
    WeightUrgency,
    survey::{ANSWER_TIMEOUT, LoadSurvey},
};

/// Settings of a [`WeightPlan`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSettings {
    /// The number of targets that may load at once in a fleet of any size; more would slow each other down in a small
    /// fleet.
    pub loads_at_once: usize,
    /// The fraction of all targets that may load at once, where it exceeds `loads_at_once`.
    pub load_share: f64,
    /// The number of targets that finish their requests while others load.
    pub drains_at_once: usize,
    /// The time between announcing a change to the routers and the order, so that requests in flight arrive before it.
    pub notice: ClockSpan,
    /// The time-out for a target to finish its requests. The order is then sent nevertheless, and the target finishes
    /// the requests before it loads, without accepting others.
    pub drain: ClockSpan,
    /// The interval between two reports that are fetched from a target that still runs requests.
    pub poll: ClockSpan,
    /// The interval between two reports that are fetched from a loading target. It delays the target's return.
    pub load_poll: ClockSpan,
    /// The time-out of a change, after which another target changes first.
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
            load_poll: ClockSpan::from_ms(150),
            patience: ClockSpan::from_secs(8),
        }
    }
}

/// A target that can receive orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightTarget {
    /// The name of the target.
    pub name: TargetName,
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// The version that the target serves of each model.
    pub versions: BTreeMap<ModelName, u64>,
    /// The tokens of the requests in progress at the target; the least loaded targets change first.
    pub work: u64,
    /// How urgently the target needs newer weights; the most urgent targets change first.
    pub urgency: WeightUrgency,
}

/// An order to load a version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// The target that receives the order.
    pub target: TargetName,
    /// The model whose weights change.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// The number of orders that the target had accepted when this one was decided; it refuses any other number.
    pub expected: u64,
}

/// The state that a target reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightReport {
    /// The version that the target serves of each model.
    pub versions: BTreeMap<ModelName, u64>,
    /// Whether the target is carrying out an order.
    pub busy: bool,
    /// The number of orders that the target accepted since its start.
    pub accepted: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WeightAnswer {
    /// The target accepted the order or has already carried it out.
    Taken,
    /// Another order is in progress, or the count of accepted orders differs.
    Conflict,
    /// The target refuses orders from this router, or the order itself.
    Refused,
    /// The order was not answered; it may still be carried out.
    Lost,
}

/// An action that a [`WeightPlan`] requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightAction {
    /// Fetch the current report of a target.
    FetchReport {
        /// The target that is queried.
        target: TargetName,
    },
    /// Send an order.
    Send(WeightOrder),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ChangeStep {
    Announced,
    Querying,
    Ordered,
    Loading,
    BackingOff,
}

#[derive(Clone, Debug)]
struct ChangeState {
    step: ChangeStep,
    // The start of the current step, or the time of its last call or answer.
    since: ClockTime,
    // The start of the whole change.
    started: ClockTime,
    // When the target was sent an order or first known to load, if it may be loading.
    load_started: Option<ClockTime>,
    // Whether an order was sent, so that the target may be loading.
    is_ordered: bool,
    model: ModelName,
    version: u64,
}

impl WeightSettings {
    // Returns how many targets may load while one of this urgency begins to.
    fn loads_at_once(&self, targets: usize, urgency: WeightUrgency) -> usize {
        let share = (targets as f64 * self.load_share) as usize;
        let regular = share.max(self.loads_at_once);
        match urgency {
            WeightUrgency::Regular => regular,
            WeightUrgency::Late => regular.max(targets / MAX_CHANGING_DIVISOR),
            WeightUrgency::Overdue => usize::MAX,
        }
    }

    // Returns how many targets may be changing with one of this urgency.
    fn changes_at_once(&self, targets: usize, urgency: WeightUrgency) -> usize {
        if urgency == WeightUrgency::Overdue {
            return usize::MAX;
        }
        let slots = self.loads_at_once(targets, urgency) + self.drains_at_once;
        slots.min(targets / MAX_CHANGING_DIVISOR).max(1)
    }
}

impl ChangeState {
    // Returns the order for this change, which is sent now. If a newer version was announced in the meantime, it is ordered
    // instead.
    fn order(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        expected: u64,
        desired: Option<u64>,
    ) -> WeightOrder {
        self.version = desired.map_or(self.version, |desired| desired.max(self.version));
        self.step = ChangeStep::Ordered;
        self.since = now;
        self.load_started = Some(now);
        self.is_ordered = true;
        let (model, version) = (self.model.clone(), self.version);
        WeightOrder { target: target.clone(), model, version, expected }
    }
}

/// The rollout of all models as the order leader sees it.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    settings: WeightSettings,
    desired: BTreeMap<ModelName, u64>,
    changes: BTreeMap<TargetName, ChangeState>,
    // Targets that timed out or didn't answer, and the time until which other targets change first.
    postponed_until: BTreeMap<TargetName, ClockTime>,
    survey: LoadSurvey,
}

/// The maximum share of the targets that may change at once, as a divisor: one half.
const MAX_CHANGING_DIVISOR: usize = 2;

/// The time for which other targets change first after a target's change timed out or the target didn't answer.
const POSTPONE_DELAY: ClockSpan = ClockSpan::from_ms(3_000);

impl WeightPlan {
    /// Returns a plan without desired versions.
    pub fn new(settings: WeightSettings) -> WeightPlan {
        WeightPlan { settings, ..WeightPlan::default() }
    }

    /// Raises the desired version of a model to `version`; returns whether it was lower before.
    pub fn announce_version(&mut self, model: ModelName, version: u64) -> bool {
        let known = self.desired.entry(model).or_insert(0);
        let is_newer = version > *known;
        *known = version.max(*known);
        is_newer
    }

    /// Returns the desired version of a model, or `None` if no version was announced.
    pub fn desired_version(&self, model: &ModelName) -> Option<u64> {
        self.desired.get(model).copied()
    }

    /// Returns what the rollout has to do, for the log.
    pub fn summary(&self, targets: &[WeightTarget]) -> String {
        let outdated = targets.iter().filter(|target| self.is_outdated(&target.versions));
        let mut counts = [0; 3];
        outdated.for_each(|target| counts[target.urgency as usize] += 1);
        let [regular, late, overdue] = counts;
        format!(
            "targets={} regular={regular} late={late} overdue={overdue} changing={} reports_missing={}",
            targets.len(),
            self.changes.len(),
            self.survey.missing_count(),
        )
    }

    /// Returns the targets that are changing or about to change, which should receive no new requests.
    pub fn changing(&self) -> impl Iterator<Item = &TargetName> {
        self.changes.keys()
    }

    /// Returns whether a target is changing or about to change.
    pub fn is_changing(&self, target: &TargetName) -> bool {
        self.changes.contains_key(target)
    }

    /// Discards all changes in progress, because this router may no longer send orders.
    pub fn abandon(&mut self) {
        self.changes.clear();
        self.survey = LoadSurvey::default();
    }

    /// Returns whether any target is changing or about to change.
    pub fn is_changing_any(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns whether a target that serves these versions serves an outdated one.
    pub fn is_outdated(&self, versions: &BTreeMap<ModelName, u64>) -> bool {
        self.first_outdated(versions).is_some()
    }

    /// Returns how long before its first order a leader should begin to prepare it.
    pub fn preparation_span(&self) -> ClockSpan {
        self.settings.notice + self.settings.drain
    }

    /// Returns the actions that are due before this router may send orders: it finds out which targets already load weights,
    /// and announces the first changes, so that their targets finish their requests meanwhile.
    pub fn prepare(&mut self, now: ClockTime, targets: &[WeightTarget]) -> Vec<WeightAction> {
        self.remove_finished(now, targets);
        self.start_changes(now, targets);
        self.survey.expire(now);
        if self.survey.is_begun() {
            return Vec::new();
        }
        let outdated = targets.iter().filter(|target| self.is_outdated(&target.versions));
        let names: BTreeSet<TargetName> = outdated.map(|target| target.name.clone()).collect();
        let fetch = |target: &TargetName| WeightAction::FetchReport { target: target.clone() };
        let actions = names.iter().map(fetch).collect();
        self.survey.begin(now, names);
        actions
    }

    // Records the report of a target that was requested by the survey. Returns whether it was.
    fn record_survey(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<&WeightReport>,
    ) -> bool {
        if !self.survey.end_wait(target) {
            return false;
        }
        let Some(report) = report else {
            // A target that doesn't answer serves requests again, and others change first.
            if self.changes.remove(target).is_some() {
                self.postponed_until.insert(target.clone(), now + POSTPONE_DELAY);
            }
            return true;
        };
        if !report.busy {
            self.survey.record_count(now, target, report.accepted);
            return true;
        }
        if let Some((model, version)) = self.first_outdated(&report.versions) {
            let change = ChangeState {
                step: ChangeStep::Loading,
                since: now,
                started: now,
                load_started: Some(now),
                is_ordered: true,
                model,
                version,
            };
            self.changes.insert(target.clone(), change);
        }
        true
    }

    /// Returns the actions that are due at `now`, given all targets that serve models.
    pub fn next(&mut self, now: ClockTime, targets: &[WeightTarget]) -> Vec<WeightAction> {
        let mut actions = self.prepare(now, targets);
        let by_name: BTreeMap<&TargetName, &WeightTarget> =
            targets.iter().map(|target| (&target.name, target)).collect();
        let is_idle = |name: &TargetName| by_name.get(name).is_none_or(|target| target.work == 0);
        let urgency = |name: &TargetName| {
            by_name.get(name).map_or(WeightUrgency::Regular, |target| target.urgency)
        };
        // A target that received its order but still runs requests is not loading yet. One whose report is missing may be.
        let is_loading = |(name, change): &(&TargetName, &ChangeState)| {
            change.step != ChangeStep::Announced && is_idle(name)
        };
        let mut loading =
            self.changes.iter().filter(is_loading).count() + self.survey.missing_count();
        let settings = self.settings;
        let regular_limit = settings.loads_at_once(targets.len(), WeightUrgency::Regular);
        // Many targets that load at once take longer, and their reports would keep this router busy.
        let load_poll = settings.load_poll.as_ms() * loading.div_ceil(regular_limit).max(1) as u64;
        for (name, change) in &mut self.changes {
            if self.survey.awaits(name) {
                continue;
            }
            let waited = now.since(change.since);
            let is_due = match change.step {
                ChangeStep::Announced => {
                    let (urgency, is_idle) = (urgency(name), is_idle(name));
                    let is_ready =
                        is_idle || urgency > WeightUrgency::Regular || waited >= settings.drain;
                    let limit = settings.loads_at_once(targets.len(), urgency);
                    let takes_slot = waited >= settings.notice && is_ready && loading < limit;
                    loading += usize::from(takes_slot);
                    takes_slot
                }
                ChangeStep::Querying | ChangeStep::Ordered => waited >= ANSWER_TIMEOUT,
                // The first report after an order may be from before it.
                ChangeStep::Loading if is_idle(name) => {
                    let has_begun = |at: ClockTime| now.since(at) >= settings.poll;
                    waited.as_ms() >= load_poll && change.load_started.is_none_or(has_begun)
                }
                ChangeStep::Loading | ChangeStep::BackingOff => waited >= settings.poll,
            };
            if !is_due {
                continue;
            }
            let count = match change.step {
                ChangeStep::Announced => self.survey.take_count(now, name),
                _ => None,
            };
            actions.push(match count {
                Some(accepted) => {
                    let desired = self.desired.get(&change.model).copied();
                    WeightAction::Send(change.order(now, name, accepted, desired))
                }
                None => {
                    change.step = ChangeStep::Querying;
                    change.since = now;
                    WeightAction::FetchReport { target: name.clone() }
                }
            });
        }
        actions
    }

    // Removes changes that are done, that timed out or whose target was removed, and postpones targets that timed out.
    fn remove_finished(&mut self, now: ClockTime, targets: &[WeightTarget]) {
        let patience = self.settings.patience;
        let postponed_until = &mut self.postponed_until;
        self.changes.retain(|name, change| {
            let Some(target) = targets.iter().find(|target| target.name == *name) else {
                return false;
            };
            let is_done = target.versions.get(&change.model).is_some_and(|v| *v >= change.version);
            // A load takes one of the few places until it ends, also if the target took the order late.
            let waiting_since = change.load_started.unwrap_or(change.started);
            let is_overdue = now.since(waiting_since) >= patience;
            if is_overdue && !is_done {
                postponed_until.insert(name.clone(), now + POSTPONE_DELAY);
            }
            !is_done && !is_overdue
        });
        self.postponed_until.retain(|_, until| now < *until);
    }

    fn start_changes(&mut self, now: ClockTime, targets: &[WeightTarget]) {
        let mut zones: BTreeSet<&ZoneName> = targets
            .iter()
            .filter(|target| self.changes.contains_key(&target.name))
            .map(|target| &target.zone)
            .collect();
        let mut waiting: BTreeMap<&TargetName, &WeightTarget> = targets
            .iter()
            .filter(|target| {
                !self.changes.contains_key(&target.name) && self.is_outdated(&target.versions)
            })
            .map(|target| (&target.name, target))
            .collect();
        loop {
            // Two changing targets in one availability zone would take much of the zone's capacity.
            let next = waiting.values().copied().min_by_key(|target| {
                let is_postponed = self.postponed_until.contains_key(&target.name);
                let shares_zone = zones.contains(&target.zone);
                (is_postponed, Reverse(target.urgency), shares_zone, target.work, &target.name)
            });
            let Some(target) = next else { return };
            let is_postponed = self.postponed_until.contains_key(&target.name);
            let urgency = if is_postponed { WeightUrgency::Regular } else { target.urgency };
            if self.changes.len() >= self.settings.changes_at_once(targets.len(), urgency) {
                return;
            }
            waiting.remove(&target.name);
            zones.insert(&target.zone);
            let Some((model, version)) = self.first_outdated(&target.versions) else { continue };
            let step = ChangeStep::Announced;
            let (since, started, is_ordered, load_started) = (now, now, false, None);
            let change =
                ChangeState { step, since, started, load_started, is_ordered, model, version };
            self.changes.insert(target.name.clone(), change);
        }
    }

    // Returns the first model of which a newer version is desired, and that version.
    fn first_outdated(&self, versions: &BTreeMap<ModelName, u64>) -> Option<(ModelName, u64)> {
        versions.iter().find_map(|(model, version)| {
            let desired = self.desired_version(model)?;
            (desired > *version).then(|| (model.clone(), desired))
        })
    }

    /// Handles a target's report, or `None` if the target did not answer. Returns the order to send, if any.
    pub fn report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<&WeightReport>,
    ) -> Option<WeightOrder> {
        if self.record_survey(now, target, report) {
            return None;
        }
        let change = self.changes.get_mut(target)?;
        change.since = now;
        let Some(report) = report else {
            if change.is_ordered {
                change.step = ChangeStep::BackingOff;
            } else {
                // A target that has no order may serve requests again while others change.
                self.changes.remove(target);
                self.postponed_until.insert(target.clone(), now + POSTPONE_DELAY);
            }
            return None;
        };
        if report.busy {
            change.step = ChangeStep::Loading;
            change.load_started.get_or_insert(now);
            return None;
        }
        let has_loaded = change.load_started.take().is_some();
        let desired = self.desired.get(&change.model).copied();
        let serves = report.versions.get(&change.model).copied().unwrap_or(0);
        if serves >= change.version.max(desired?) {
            self.changes.remove(target);
            return None;
        }
        // The target waits for its turn if the report answers a fetch for an earlier change, or if an older version has been
        // loaded.
        if change.step == ChangeStep::Announced || has_loaded {
            change.step = ChangeStep::Announced;
            self.survey.record_count(now, target, report.accepted);
            return None;
        }
        Some(change.order(now, target, report.accepted, desired))
    }

    /// Handles the outcome of an order.
    pub fn answer(&mut self, now: ClockTime, target: &TargetName, answer: WeightAnswer) {
        let Some(change) = self.changes.get_mut(target) else { return };
        change.since = now;
        match answer {
            WeightAnswer::Taken => change.step = ChangeStep::Loading,
            WeightAnswer::Conflict | WeightAnswer::Lost | WeightAnswer::Refused => {
                change.step = ChangeStep::BackingOff;
                change.load_started = None;
            }
        }
    }
}
