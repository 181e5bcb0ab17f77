//! What a simulated fleet goes through and what comes of it.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan};
use godwitroad_limits::{RateCounters, RateTable};

use super::{
    checker::{AdmissionLog, FleetViolations},
    fault::FleetFault,
    node::InjectedBug,
};

/// What a simulated fleet consists of and goes through.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The seed of everything.
    pub seed: u64,
    /// The number of VMs in each zone.
    pub zones: Vec<usize>,
    /// The limits at the start.
    pub table: Arc<RateTable>,
    /// Later generations of the limits with the times at which they are accepted.
    pub changes: Vec<(u64, Arc<RateTable>)>,
    /// The requests in the order of their times.
    pub arrivals: Vec<FleetArrival>,
    /// The faults.
    pub faults: Vec<FleetFault>,
    /// The simulated time in milliseconds.
    pub length: u64,
    /// The time between two ticks of a process.
    pub tick: u64,
    /// The longest wait of a request for tokens.
    pub wait: ClockSpan,
    /// The age of the platform's VM list.
    pub list_lag: u64,
    /// The largest error of a clock's speed, in parts per million.
    pub drift_ppm: u64,
    /// Whether the bytes of messages are counted.
    pub count_bytes: bool,
    /// The fault built into every process, if any.
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
            list_lag: 3_000,
            drift_ppm: 500,
            count_bytes: false,
            injected_bug: None,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct FleetArrival {
    /// The time in milliseconds.
    pub at: u64,
    /// The number of the VM to which the load balancer sends the request while it runs.
    pub vm: usize,
    /// The account.
    pub account: AccountName,
    /// The tokens to reserve.
    pub tokens: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The request had no answer when the run ended, or its router stopped.
    Open,
    /// The tokens were admitted at this time.
    Admitted(u64),
    /// The request was refused at this time.
    Refused(u64),
}

/// What a run shows.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// The admissions of each account.
    pub logs: BTreeMap<AccountName, AdmissionLog>,
    /// The end of each arrival, in the order of the arrivals.
    pub ends: Vec<RequestEnd>,
    /// What was violated.
    pub violations: FleetViolations,
    /// The messages between VMs.
    pub messages: u64,
    /// The messages of the limits alone.
    pub rate_messages: u64,
    /// The bytes of the limits' messages, written as JSON.
    pub rate_bytes: u64,
    /// The calls to the store that took effect.
    pub store_calls: u64,
    /// The times at which processes that had started held all that they should, with their starts.
    pub ready: Vec<(usize, u64, u64)>,
    /// The counters of the processes that ran at the end.
    pub counters: Vec<RateCounters>,
}
