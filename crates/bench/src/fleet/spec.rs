//! The input and the result of a simulation.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan};
use godwitroad_limits::{RateCounters, RateTable};

use super::{
    checker::{AdmissionLog, FleetViolations},
    fault::FleetFault,
    node::InjectedBug,
};

/// The fleet, the traffic and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of VMs in each zone.
    pub zones: Vec<usize>,
    /// The limits of the accounts at the start.
    pub table: Arc<RateTable>,
    /// Later generations of the limits, each with the time in milliseconds from which processes adopt it.
    pub changes: Vec<(u64, Arc<RateTable>)>,
    /// The requests, in the order of their arrival.
    pub arrivals: Vec<FleetArrival>,
    /// The faults to inject.
    pub faults: Vec<FleetFault>,
    /// The length of the simulation in milliseconds.
    pub length: u64,
    /// The mean time between two ticks of a process, in milliseconds.
    pub tick: u64,
    /// The maximum time for which a request waits for tokens.
    pub wait: ClockSpan,
    /// The age of the platform's VM list when a process receives it, in milliseconds.
    pub vm_list_age: u64,
    /// The maximum error of a clock's rate, in parts per million.
    pub drift_ppm: u64,
    /// Whether the bytes of the limits' messages are counted.
    pub count_bytes: bool,
    /// The bug injected into every process, if any.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        FleetSpec {
            seed: 1,
            zones: vec![3, 3, 3],
            table: Arc::default(),
            changes: Vec::new(),
            arrivals: Vec::new(),
            faults: Vec::new(),
            length: 20_000,
            tick: 10,
            wait: ClockSpan::from_ms(500),
            vm_list_age: 3_000,
            drift_ppm: 500,
            count_bytes: false,
            injected_bug: None,
        }
    }
}

/// A request that arrives at the load balancer.
#[derive(Clone, Debug)]
pub struct FleetArrival {
    /// The time of arrival in milliseconds.
    pub at: u64,
    /// The index of the VM to which the load balancer sends the request if a process runs there.
    pub vm: usize,
    /// The account whose tokens the request uses.
    pub account: AccountName,
    /// The tokens to reserve.
    pub tokens: u64,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The run ended, or the router stopped, before the request was answered.
    Open,
    /// The tokens were admitted at this time in milliseconds.
    Admitted(u64),
    /// The request was refused at this time in milliseconds.
    Refused(u64),
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// The admissions of each account.
    pub logs: BTreeMap<AccountName, AdmissionLog>,
    /// The outcome of each request, in the order of [`FleetSpec::arrivals`].
    pub ends: Vec<RequestEnd>,
    /// The violations of the invariants.
    pub violations: FleetViolations,
    /// The number of messages between VMs.
    pub messages: u64,
    /// The number of messages of the rate limits, which are part of `messages`.
    pub rate_messages: u64,
    /// The bytes of the rate limits' messages when encoded as JSON; zero unless [`FleetSpec::count_bytes`] is set.
    pub rate_bytes: u64,
    /// The number of calls that the store executed.
    pub store_calls: u64,
    /// The VM index, the start and the time of readiness of each started process that became ready.
    pub ready: Vec<(usize, u64, u64)>,
    /// The counters of the processes that were running at the end.
    pub counters: Vec<RateCounters>,
}
