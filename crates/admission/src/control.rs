//! The admission decision of one router.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, SeededRandom, ServiceName};

use crate::{
    returns::ReturnTable,
    settings::AdmissionSettings,
    shares::{AccountDemand, fair_part},
};

/// How long requests of a priority are taken to go on after the last one.
const PRIORITY_MEMORY: ClockSpan = ClockSpan::from_ms(1_000);

/// The time constant of the rate of placed requests.
const RATE_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The minimum time that a refused caller is told to stay away. Earlier, routers have no new figures of their peers' work.
const MIN_RETURN: ClockSpan = ClockSpan::from_ms(100);

/// What admission needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The service.
    pub service: ServiceName,
    /// The client account.
    pub account: Option<AccountName>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The route's latency objective.
    pub objective: ClockSpan,
    /// When the request arrived at this router.
    pub arrived: ClockTime,
    /// When the caller gives up.
    pub deadline: ClockTime,
    /// A number that is uniformly distributed over requests, from a hash of the request's id.
    pub draw: u64,
}

/// The estimate of a target for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetEstimate {
    /// The estimated time to the first event, in ms.
    pub first_ms: f64,
    /// The same time without other work at the target, in ms.
    pub alone_ms: f64,
}

/// The longest time to the first event and the longest backlog with which a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimit {
    /// The longest estimated time to the first event, in ms.
    pub first_ms: f64,
    /// The longest backlog that leaves room for more urgent requests, in ms; infinite if there are none.
    pub urgent_ms: f64,
    /// The factor of both limits' backlog for the account's share of the work.
    pub account_factor: f64,
    /// Whether the request takes a place that is reserved for a returning caller.
    pub is_return: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct PriorityRecord {
    last_seen: ClockTime,
    objective: ClockSpan,
    // Placed requests per second until `placed_at`.
    rate: f64,
    placed_at: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct ServiceRecord {
    priorities: BTreeMap<u8, PriorityRecord>,
    returns: ReturnTable,
}

/// The admission stage of one router.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    services: BTreeMap<ServiceName, ServiceRecord>,
}

impl TargetEstimate {
    /// Returns the part of the time to the first event that is due to other work, in ms.
    pub fn backlog_ms(&self) -> f64 {
        (self.first_ms - self.alone_ms).max(0.0)
    }
}

impl AdmissionLimit {
    /// Returns the longest backlog with which the request is admitted at a target, in ms; negative if the target can't serve
    /// it in time even without other work.
    pub fn backlog_ms(&self, estimate: &TargetEstimate) -> f64 {
        let own = self.first_ms - estimate.alone_ms;
        // A factor would raise a negative limit.
        if own <= 0.0 { own } else { own.min(self.urgent_ms) * self.account_factor }
    }

    /// Returns whether the request is admitted at a target.
    pub fn admits(&self, estimate: &TargetEstimate) -> bool {
        estimate.backlog_ms() <= self.backlog_ms(estimate)
    }
}

impl AdmissionControl {
    /// Returns an admission stage that has seen no requests.
    pub fn new(settings: AdmissionSettings) -> AdmissionControl {
        AdmissionControl { settings, services: BTreeMap::new() }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Returns the settings.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Removes what is known of services that aren't configured any more.
    pub fn retain_services(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    /// Records a request and returns the limit for its admission. `demands` is the work that accounts ask for.
    pub fn limit(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        demands: &[AccountDemand],
    ) -> AdmissionLimit {
        let settings = self.settings;
        let service = self.services.entry(request.service.clone()).or_default();
        service.record_request(now, request);
        let is_return = service.returns.take_place(now, request.priority, &request.account);
        let elapsed = now.since(request.arrived).as_ms() as f64;
        let goal = request.objective.as_ms() as f64 * settings.objective_factor - elapsed;
        let first_ms = goal.min(request.deadline.since(now).as_ms() as f64);
        let is_exempt = (request.draw as f64 / u64::MAX as f64) < settings.exempt_fraction;
        if is_exempt || is_return {
            return AdmissionLimit {
                first_ms,
                urgent_ms: f64::INFINITY,
                account_factor: 1.0,
                is_return,
            };
        }
        let objective = service.urgent_objective(now, request.priority);
        let urgent_ms = objective
            .map_or(f64::INFINITY, |objective| objective.as_ms() as f64 * settings.urgent_fraction);
        let part = fair_part(demands, request.account.as_ref());
        let account_factor = part.max(settings.min_account_factor);
        AdmissionLimit { first_ms, urgent_ms, account_factor, is_return }
    }

    /// Records that a request is placed.
    pub fn record_placed(&mut self, now: ClockTime, service: &ServiceName, priority: u8) {
        let service = self.services.entry(service.clone()).or_default();
        let record = service.priorities.entry(priority).or_default();
        record.rate = record.rate(now) + 1_000.0 / RATE_SPAN.as_ms() as f64;
        record.placed_at = now;
    }

    /// Returns when the caller of a refused request should return, and reserves a place for it. `over_ms` is the time by
    /// which the backlog is too long.
    pub fn refuse(
        &mut self,
        now: ClockTime,
        request: &AdmissionRequest,
        over_ms: f64,
        random: &mut SeededRandom,
    ) -> ClockSpan {
        let service = self.services.entry(request.service.clone()).or_default();
        let record = service.priorities.get(&request.priority);
        let rate = record.map_or(0.0, |record| record.rate(now));
        let first = MIN_RETURN.max(ClockSpan::from_ms(over_ms.max(0.0) as u64));
        let left = request.deadline.since(now);
        let kind = (request.priority, request.account.clone());
        service.returns.add(now, kind, (first, left), rate, random)
    }
}

impl ServiceRecord {
    fn record_request(&mut self, now: ClockTime, request: &AdmissionRequest) {
        let record = self.priorities.entry(request.priority).or_default();
        let is_known =
            record.objective > ClockSpan::ZERO && now.since(record.last_seen) <= PRIORITY_MEMORY;
        // The shortest objective of the priority's routes.
        record.objective =
            if is_known { record.objective.min(request.objective) } else { request.objective };
        record.last_seen = now;
    }

    // Returns the shortest objective of more urgent requests that were seen lately.
    fn urgent_objective(&self, now: ClockTime, priority: u8) -> Option<ClockSpan> {
        let urgent = self.priorities.range(..priority).map(|(_, record)| record);
        let current = urgent.filter(|record| {
            record.objective > ClockSpan::ZERO && now.since(record.last_seen) <= PRIORITY_MEMORY
        });
        current.map(|record| record.objective).min()
    }
}

impl PriorityRecord {
    // Returns the placed requests per second.
    fn rate(&self, now: ClockTime) -> f64 {
        let passed = now.since(self.placed_at).as_ms() as f64 / RATE_SPAN.as_ms() as f64;
        self.rate * (-passed).exp()
    }
}
