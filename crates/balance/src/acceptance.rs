//! Which targets accept requests.
//!
//! A target that rejects requests answers fast, so that its load looks low and it would draw more of them. Its acceptance,
//! a moving average over the offered requests, tells it from one with free capacity. Targets whose acceptance is close to
//! the best are preferred. The others get trials, which the retry budget limits, and return as they accept them. If all
//! reject, all are close to the best, so that requests are still offered to all.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, TargetName};

/// The settings of an [`AcceptanceTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptanceSettings {
    /// The weight of one offered request in the moving average.
    pub weight: f64,
    /// The lowest acceptance, so that a target which rejected many requests needs no more acceptances to return than one
    /// which rejected some.
    pub min_share: f64,
    /// The acceptance relative to the best from which a target is preferred.
    pub preferred_ratio: f64,
    /// The acceptance below which a target counts as rejecting.
    pub rejecting_share: f64,
    /// The lowest acceptance that is taken over from a peer; below it only this router's own offers count.
    pub min_peer_share: f64,
    /// The time after a rejection without another trial.
    pub pause: ClockSpan,
    /// The maximum of that time, which doubles with each rejected trial.
    pub max_pause: ClockSpan,
}

/// What may be offered to a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OfferKind {
    /// Any request.
    Preferred,
    /// A request that tries out whether the target accepts again.
    Trial,
    /// No request unless no other target can take it.
    Avoided,
}

#[derive(Clone, Copy, Debug)]
struct TargetAcceptance {
    share: f64,
    paused_until: ClockTime,
    pause: ClockSpan,
    // When it began to reject requests; `None` if it doesn't count as rejecting.
    rejecting_since: Option<ClockTime>,
    // When it last rejected and accepted a request of this router.
    rejected_at: Option<ClockTime>,
    accepted_at: Option<ClockTime>,
}

/// What a router tells its peers of a target that has rejected a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerRejection {
    /// The target's acceptance there.
    pub share: f64,
    /// The time since the rejection.
    pub age: ClockSpan,
    /// How long the target wants no requests from that router.
    pub deferral: ClockSpan,
}

/// The acceptance of all targets to which requests were offered.
#[derive(Clone, Debug)]
pub struct AcceptanceTable {
    settings: AcceptanceSettings,
    targets: BTreeMap<TargetName, TargetAcceptance>,
}

impl Default for AcceptanceSettings {
    fn default() -> AcceptanceSettings {
        AcceptanceSettings {
            weight: 0.25,
            min_share: 0.05,
            preferred_ratio: 0.8,
            rejecting_share: 0.5,
            min_peer_share: 0.5,
            pause: ClockSpan::from_ms(100),
            max_pause: ClockSpan::from_secs(2),
        }
    }
}

impl AcceptanceTable {
    /// Returns a table in which every target is preferred.
    pub fn new(settings: AcceptanceSettings) -> AcceptanceTable {
        AcceptanceTable { settings, targets: BTreeMap::new() }
    }

    /// Records that a target rejected a request, and returns whether it counts as rejecting from now on.
    pub fn record_rejection(&mut self, now: ClockTime, name: &TargetName) -> bool {
        let settings = self.settings;
        let target = self.entry(name);
        target.rejected_at = Some(now);
        target.share = (target.share * (1.0 - settings.weight)).max(settings.min_share);
        // Requests that were sent before the pause began tell nothing new.
        if now >= target.paused_until {
            target.paused_until = now + target.pause;
            target.pause = (target.pause + target.pause).min(settings.max_pause);
        }
        let begins = target.share < settings.rejecting_share && target.rejecting_since.is_none();
        if begins {
            target.rejecting_since = Some(now);
        }
        begins
    }

    /// Records that a target accepted a request, and returns for how long it counted as rejecting if that has ended.
    pub fn record_acceptance(&mut self, now: ClockTime, name: &TargetName) -> Option<ClockSpan> {
        let settings = self.settings;
        let target = self.entry(name);
        target.accepted_at = Some(now);
        target.share += (1.0 - target.share) * settings.weight;
        target.paused_until = now;
        target.pause = ClockSpan::from_ms(target.pause.as_ms() / 2).max(settings.pause);
        if target.share < settings.preferred_ratio {
            return None;
        }
        target.rejecting_since.take().map(|since| now.since(since))
    }

    /// Records what a peer says of a target that has rejected a request of the peer, and returns whether the target is avoided
    /// from now on. If it has accepted a request of this router since then, nothing changes.
    pub fn record_peer_rejection(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        rejection: PeerRejection,
    ) -> bool {
        let settings = self.settings;
        let target = self.entry(name);
        if target.accepted_at.is_some_and(|at| now.since(at) <= rejection.age) {
            return false;
        }
        let before = target.share;
        target.share = target.share.min(rejection.share.max(settings.min_peer_share));
        target.paused_until = target.paused_until.max(now + rejection.deferral);
        let begins = target.share < settings.preferred_ratio && before >= settings.preferred_ratio;
        if begins {
            target.rejecting_since.get_or_insert(now);
        }
        begins
    }

    /// Returns the targets that have rejected a request of this router less than `lifetime` ago and aren't preferred, as
    /// the peers are told of them.
    pub fn rejecting(
        &self,
        now: ClockTime,
        lifetime: ClockSpan,
    ) -> impl Iterator<Item = (&TargetName, PeerRejection)> {
        let rejection = move |target: &TargetAcceptance| {
            let age = now.since(target.rejected_at?);
            let is_reported = age < lifetime && target.share < self.settings.preferred_ratio;
            let deferral = ClockSpan::ZERO;
            is_reported.then_some(PeerRejection { share: target.share, age, deferral })
        };
        self.targets.iter().filter_map(move |(name, target)| Some((name, rejection(target)?)))
    }

    /// Returns what may be offered to each of `names`, in the same order.
    pub fn offers<'a>(
        &self,
        now: ClockTime,
        names: impl Iterator<Item = &'a TargetName> + Clone,
    ) -> Vec<OfferKind> {
        let rating = |name| self.rating(now, name);
        let best = names.clone().map(rating).fold(0.0, f64::max);
        let kind = |name| {
            if rating(name) >= best * self.settings.preferred_ratio {
                OfferKind::Preferred
            } else if self.is_paused(now, name) {
                OfferKind::Avoided
            } else {
                OfferKind::Trial
            }
        };
        names.map(kind).collect()
    }

    /// Returns whether a target rejects most requests, or has just rejected one.
    pub fn is_rejecting(&self, now: ClockTime, name: &TargetName) -> bool {
        let target = self.targets.get(name);
        self.is_paused(now, name) || target.is_some_and(|target| target.rejecting_since.is_some())
    }

    /// Returns the share of the offered requests that a target accepts, as a moving average.
    pub fn share(&self, name: &TargetName) -> f64 {
        self.targets.get(name).map_or(1.0, |target| target.share)
    }

    /// Removes a target that has left, was started again or serves other weights.
    pub fn remove(&mut self, name: &TargetName) {
        self.targets.remove(name);
    }

    fn is_paused(&self, now: ClockTime, name: &TargetName) -> bool {
        self.targets.get(name).is_some_and(|target| now < target.paused_until)
    }

    fn rating(&self, now: ClockTime, name: &TargetName) -> f64 {
        let factor = if self.is_paused(now, name) { 0.5 } else { 1.0 };
        self.share(name) * factor
    }

    fn entry(&mut self, name: &TargetName) -> &mut TargetAcceptance {
        let pause = self.settings.pause;
        self.targets.entry(name.clone()).or_insert(TargetAcceptance {
            share: 1.0,
            paused_until: ClockTime::ZERO,
            pause,
            rejecting_since: None,
            rejected_at: None,
            accepted_at: None,
        })
    }
}
