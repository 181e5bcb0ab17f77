//! Reads the platform's store, watches it for changes, and maintains this router's own entry there.
//!
//! The router reads all entries once and then watches for changes. Each answer, even an empty one, is a freshness
//! proof: evidence that the router had the current configuration when the call started. Every call has a time limit
//! because a connection can stall without being closed.

use std::collections::BTreeSet;

use actix_rt::spawn;
use bytes::Bytes;
use godwitroad_base::{
    ClockSpan, ClockTime, ModelName, StoreEra, StoreRevision, TargetName, VmName,
};
use godwitroad_forward::{ChangePiece, ForwardEvent, StoreRoute, StoreStep};
use http::{Request, Response, StatusCode};
use tokio::time::timeout_at;

use crate::{
    client::SendError,
    core::SharedCore,
    platform::{PlatformAdapter, StoreAnswer, StoreCall, StoreItem, WireError},
    relay,
};

/// The time limit of a call that doesn't wait for changes. The store answers within a few milliseconds, and within a
/// few hundred milliseconds when it is slow.
const CALL_TIMEOUT: ClockSpan = ClockSpan::from_ms(900);

/// The time that the answer to a watch may take beyond the wait of the watch.
const WATCH_MARGIN: ClockSpan = ClockSpan::from_ms(700);

/// The wait of a watch whose answer is needed immediately: the first one after an outage, and one for changes that are
/// known to exist.
const IMMEDIATE_WAIT: ClockSpan = ClockSpan::from_ms(1);

/// The maximum pause of a router that relies on the store watches of its peers. After it, the router notices a peer
/// that has stopped sending gossip.
const IDLE_PAUSE: ClockSpan = ClockSpan::from_ms(200);

/// The delay after the first failed call. It doubles with each further failure, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: ClockSpan = ClockSpan::from_ms(150);

/// The maximum delay after a failed call.
const MAX_RETRY_DELAY: ClockSpan = ClockSpan::from_ms(800);

/// Why a call to the store has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No answer was received.
    #[error("{0}")]
    Send(#[from] SendError),
    /// The answer can't be decoded.
    #[error("{0}")]
    Wire(#[from] WireError),
    /// The store returned from an older copy while the call was under way, or the answer is from before that.
    #[error("the store's era is {answered}, the call belongs to era {expected}")]
    OtherEra {
        /// The era of the answer.
        answered: StoreEra,
        /// The era in which the call was made, or a later one that is already known.
        expected: StoreEra,
    },
    /// The store refused the call, or answered another kind of call.
    #[error("the store refused the call")]
    Refused,
}

/// A `Result` with a [`StoreError`].
type Result<T> = std::result::Result<T, StoreError>;

/// Makes a call that the store answers immediately.
pub(crate) async fn call<P: PlatformAdapter>(
    core: &SharedCore<P>,
    call: &StoreCall,
) -> Result<StoreAnswer> {
    call_with_timeout(core, call, CALL_TIMEOUT).await
}

async fn call_with_timeout<P: PlatformAdapter>(
    core: &SharedCore<P>,
    call: &StoreCall,
    timeout: ClockSpan,
) -> Result<StoreAnswer> {
    let request = core.platform.store_request(call);
    core.metrics.count("store.calls", 1);
    let sent_at = core.now();
    let sent_in = core.read(|state| state.store_era());
    let sent = send(core, request, timeout).await;
    core.metrics.record("store.call_ms", core.now().since(sent_at).as_ms());
    let answer = sent?;
    check_era(core, sent_in, core.platform.read_store_era(answer.headers())?)?;
    let read = core.platform.read_store(call, answer.status(), answer.body())?;
    record_changes(core, call, &read, answer.body());
    Ok(read)
}

// Keeps the answer to a watch for peers.
fn record_changes<P: PlatformAdapter>(
    core: &SharedCore<P>,
    call: &StoreCall,
    answer: &StoreAnswer,
    body: &Bytes,
) {
    let StoreCall::Watch { after, .. } = call else { return };
    let StoreAnswer::Items { revision, last_change, .. } = answer else { return };
    let era = core.read(|state| state.store_era()).unwrap_or_default();
    let body = if *last_change > 0 { &body[..] } else { &[] };
    let (after, upto) = (StoreRevision::new(era, *after), StoreRevision::new(era, *revision));
    core.update(|state| state.record_changes(ChangePiece { after, upto, body: body.into() }));
}

// Sends a request to the store, directly or through a peer, and records which path brought an answer.
async fn send<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: Request<Bytes>,
    timeout: ClockSpan,
) -> std::result::Result<Response<Bytes>, SendError> {
    match core.update(|state| state.plan_store_call(core.now())) {
        StoreRoute::Direct => send_direct(core, request, timeout).await,
        StoreRoute::Peers { peers, tries_direct } => {
            if tries_direct {
                spawn(probe_direct(core.clone()));
            }
            let (sent, peer) = relay::call_store(core, &peers, request, timeout).await;
            if let Some(peer) = &peer {
                let is_answered = is_answer(&sent);
                core.update(|state| state.record_store_call(core.now(), Some(peer), is_answered));
            }
            sent
        }
    }
}

async fn send_direct<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: Request<Bytes>,
    timeout: ClockSpan,
) -> std::result::Result<Response<Bytes>, SendError> {
    let address = core.platform.store_address();
    let sent = core.client.call_with_headers(address, request, core.deadline(timeout)).await;
    let is_answered = is_answer(&sent);
    core.update(|state| state.record_store_call(core.now(), None, is_answered));
    sent
}

// Finds out whether the store answers direct calls again.
async fn probe_direct<P: PlatformAdapter>(core: SharedCore<P>) {
    core.metrics.count("store.calls", 1);
    let request = core.platform.store_request(&StoreCall::Probe);
    // The outcome is recorded, and nothing depends on the answer.
    let _ = send_direct(&core, request, CALL_TIMEOUT).await;
}

// A store that rejects calls may answer those of other routers.
fn is_answer(sent: &std::result::Result<Response<Bytes>, SendError>) -> bool {
    let is_rejection =
        |status| matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    sent.as_ref().is_ok_and(|answer| !is_rejection(answer.status()))
}

// Passes a new era to the decision state. Only an answer of the era in which the call was made counts: one of an earlier
// era is outdated, and one of a later era may refer to revisions and leases that mean something else by now.
fn check_era<P: PlatformAdapter>(
    core: &SharedCore<P>,
    sent_in: Option<StoreEra>,
    answered: Option<StoreEra>,
) -> Result<()> {
    let known = core.read(|state| state.store_era());
    // A store that reports no era stays in the one that is known.
    let answered = answered.or(known).unwrap_or_default();
    if known.is_none_or(|known| answered > known) {
        core.handle(ForwardEvent::StoreEra(answered));
        if known.is_some() {
            core.check_store.notify_one();
            core.write_entry.notify_one();
        }
    }
    let expected = known.filter(|known| answered < *known).or(sent_in).unwrap_or(answered);
    if expected == answered { Ok(()) } else { Err(StoreError::OtherEra { answered, expected }) }
}

/// The entries that are known from the store, so that a new full read shows which ones were removed.
#[derive(Default)]
struct ListedNames {
    targets: BTreeSet<TargetName>,
    peers: BTreeSet<VmName>,
    recent_weights: BTreeSet<(ModelName, u64)>,
    has_leader: bool,
    has_mark: bool,
    has_activity: bool,
}

impl ListedNames {
    fn record_recent(&mut self, model: &ModelName, version: u64, is_recent: bool) {
        let entry = (model.clone(), version);
        if is_recent {
            self.recent_weights.insert(entry);
        } else {
            self.recent_weights.remove(&entry);
        }
    }
}

/// Reads the store for as long as the process runs.
pub(crate) async fn run<P: PlatformAdapter>(core: SharedCore<P>) {
    // After a restart of this task, the state knows entries that may have been removed meanwhile.
    let mut listed = core.read(|state| ListedNames {
        targets: state.target_names().cloned().collect(),
        peers: state.peer_names().cloned().collect(),
        ..ListedNames::default()
    });
    let mut backoff = RetryBackoff::default();
    loop {
        let revision = match read_all(&core, &mut listed).await {
            Ok(revision) => revision,
            Err(StoreError::OtherEra { answered, expected }) if answered > expected => continue,
            Err(error) => {
                backoff.wait_after_failure(&core, &error).await;
                continue;
            }
        };
        backoff.record_success(&core);
        watch(&core, &mut listed, &mut backoff, revision).await;
    }
}

// Watches for changes until the store no longer has those after the last known revision, or begins another era.
async fn watch<P: PlatformAdapter>(
    core: &SharedCore<P>,
    listed: &mut ListedNames,
    backoff: &mut RetryBackoff,
    mut after: StoreRevision,
) {
    while core.read(|state| state.store_era()) == Some(after.era()) {
        let step = core.read(|state| state.next_store_step(core.now(), after));
        // A router without an answer of the store follows its peers as far as they know more.
        if step == StoreStep::CatchUp && !backoff.is_failing() {
            core.sleep(core.update(|state| state.catch_up_pause(core.now()))).await;
        }
        if (step == StoreStep::CatchUp || backoff.is_failing())
            && let Some(revision) = catch_up(core, listed, after).await
        {
            after = revision;
            if !backoff.is_failing() {
                core.sleep(core.read(|state| state.peer_batch_delay())).await;
                continue;
            }
        }
        let wait = match step {
            // After a failure, the next call must show immediately whether the store is reachable again.
            _ if backoff.is_failing() => IMMEDIATE_WAIT,
            StoreStep::Watch(wait) => wait,
            StoreStep::Read | StoreStep::CatchUp => IMMEDIATE_WAIT,
            StoreStep::Idle => {
                // The pause is bounded so that the time since the peers' last gossip is checked again.
                let _ = timeout_at(core.deadline(IDLE_PAUSE), core.check_store.notified()).await;
                continue;
            }
        };
        let call = StoreCall::Watch { after: after.number(), wait };
        let sent_at = core.now();
        let timeout = ClockSpan::from_ms(wait.as_ms() + WATCH_MARGIN.as_ms());
        match call_with_timeout(core, &call, timeout).await {
            Ok(StoreAnswer::Items { items, revision, last_change, .. }) => {
                after = after.max(StoreRevision::new(after.era(), revision));
                // The changes are applied before the freshness proof, which covers them.
                apply_items(core, listed, items);
                if last_change > 0 {
                    let revision = StoreRevision::new(after.era(), last_change);
                    core.handle(ForwardEvent::StoreChanged { revision });
                }
                backoff.record_success(core);
                core.handle(ForwardEvent::StoreAnswered { read_from: sent_at });
                if last_change > 0 || matches!(step, StoreStep::Read | StoreStep::CatchUp) {
                    core.sleep(core.read(|state| state.batch_delay(core.now()))).await;
                }
            }
            Ok(StoreAnswer::HistoryCompacted) => {
                core.log.event("store_history_gone", &format!("after={after}"));
                return;
            }
            Err(StoreError::OtherEra { answered, expected }) if answered > expected => return,
            Ok(_) => backoff.wait_after_failure(core, &StoreError::Refused).await,
            Err(error) => backoff.wait_after_failure(core, &error).await,
        }
    }
}

// Reads the changes after a revision from a peer. Returns the revision up to which they were read, or `None` if no peer
// hands them on.
async fn catch_up<P: PlatformAdapter>(
    core: &SharedCore<P>,
    listed: &mut ListedNames,
    after: StoreRevision,
) -> Option<StoreRevision> {
    let peers = core.update(|state| state.change_peers(core.now(), after));
    let pieces = relay::read_changes(core, &peers, after).await?;
    let mut read_to = after;
    for piece in pieces {
        // The era may have changed while the peer was asked.
        let is_current = core.read(|state| state.store_era()) == Some(piece.upto.era());
        if !is_current || piece.after > read_to || piece.upto <= read_to {
            continue;
        }
        let call = StoreCall::Watch { after: read_to.number(), wait: IMMEDIATE_WAIT };
        if !piece.body.is_empty() {
            let read = core.platform.read_store(&call, StatusCode::OK, &piece.body).ok()?;
            let StoreAnswer::Items { items, last_change, .. } = read else { return None };
            apply_items(core, listed, items);
            if last_change > 0 {
                let revision = StoreRevision::new(after.era(), last_change);
                core.handle(ForwardEvent::StoreChanged { revision });
            }
        }
        read_to = piece.upto;
        core.update(|state| state.record_changes(piece));
    }
    core.update(|state| state.record_catch_up(core.now()));
    (read_to > after).then_some(read_to)
}

async fn read_all<P: PlatformAdapter>(
    core: &SharedCore<P>,
    listed: &mut ListedNames,
) -> Result<StoreRevision> {
    let sent_at = core.now();
    let mut seen = ListedNames::default();
    let mut first = None;
    let mut page = None;
    let mut all_items = Vec::new();
    let first_revision = loop {
        let call_page = StoreCall::List { after: page };
        let StoreAnswer::Items { items, revision, next, .. } = call(core, &call_page).await? else {
            return Err(StoreError::Refused);
        };
        // Pages are read at different revisions. The watch starts from the first one and repeats any later change.
        let era = core.read(|state| state.store_era()).unwrap_or_default();
        let first_revision = *first.get_or_insert(StoreRevision::new(era, revision));
        if first_revision.era() != era {
            return Err(StoreError::OtherEra { answered: era, expected: first_revision.era() });
        }
        all_items.extend(items);
        page = next;
        if page.is_none() {
            break first_revision;
        }
    };
    apply_items(core, &mut seen, all_items);
    remove_missing(core, listed, &seen);
    *listed = seen;
    core.handle(ForwardEvent::StoreAnswered { read_from: sent_at });
    Ok(first_revision)
}

fn remove_missing<P: PlatformAdapter>(
    core: &SharedCore<P>,
    before: &ListedNames,
    seen: &ListedNames,
) {
    for name in before.targets.difference(&seen.targets) {
        core.handle(ForwardEvent::TargetRemoved(name.clone()));
    }
    for vm in before.peers.difference(&seen.peers) {
        core.handle(ForwardEvent::PeerRemoved(vm.clone()));
    }
    if !seen.has_leader {
        core.handle(ForwardEvent::TermHolder(None));
    }
    if !seen.has_mark {
        core.handle(ForwardEvent::TermMark(None));
    }
    if !seen.has_activity {
        core.handle(ForwardEvent::TermActivity(None));
    }
    for (model, version) in before.recent_weights.difference(&seen.recent_weights) {
        let (model, version) = (model.clone(), *version);
        core.handle(ForwardEvent::RecentWeights { model, version, is_recent: false });
    }
}

fn apply_items<P: PlatformAdapter>(
    core: &SharedCore<P>,
    listed: &mut ListedNames,
    items: Vec<StoreItem>,
) {
    for item in items {
        let event = match item {
            StoreItem::Rules(rules) => ForwardEvent::Rules(rules),
            StoreItem::DesiredVersion { model, version } => {
                ForwardEvent::DesiredVersion { model, version }
            }
            StoreItem::Target(record) => {
                listed.targets.insert(record.name.clone());
                ForwardEvent::Target(record)
            }
            StoreItem::TargetRemoved(name) => {
                listed.targets.remove(&name);
                close_idle(core, &name);
                ForwardEvent::TargetRemoved(name)
            }
            StoreItem::Peer(place) => {
                listed.peers.insert(place.vm.clone());
                ForwardEvent::PeerListed(place)
            }
            StoreItem::PeerRemoved(vm) => {
                listed.peers.remove(&vm);
                ForwardEvent::PeerRemoved(vm)
            }
            StoreItem::Origins(notes) => ForwardEvent::Origins(notes),
            StoreItem::OrderLeader(leader) => {
                listed.has_leader = leader.is_some();
                ForwardEvent::TermHolder(leader)
            }
            StoreItem::ActivityMark(mark) => {
                listed.has_mark = true;
                ForwardEvent::TermMark(Some(mark))
            }
            StoreItem::LeaderActivity(activity) => {
                listed.has_activity = activity.is_some();
                ForwardEvent::TermActivity(activity)
            }
            StoreItem::WeightRecord(record) => ForwardEvent::WeightRecord(record),
            StoreItem::RecentWeights { model, version, is_recent } => {
                listed.record_recent(&model, version, is_recent);
                ForwardEvent::RecentWeights { model, version, is_recent }
            }
            StoreItem::RolloutOrder { order, revision } => {
                ForwardEvent::RolloutOrder { order, revision }
            }
            StoreItem::RolloutUnreadable { service, error, revision } => {
                let reason = error.to_string();
                ForwardEvent::RolloutUnreadable { service, reason, revision }
            }
            StoreItem::RolloutStatus(status) => ForwardEvent::RolloutStatus(status),
            StoreItem::Unreadable { key, target, error } => {
                core.log.warn("store_entry_unreadable", &format!("key={key} error={error}"));
                let Some(name) = target else { continue };
                // The key still exists, so its removal must be noticed.
                listed.targets.insert(name.clone());
                ForwardEvent::TargetUnreadable(name)
            }
        };
        core.handle(event);
    }
}

// Closes the idle connections to a target that has left.
fn close_idle<P: PlatformAdapter>(core: &SharedCore<P>, name: &TargetName) {
    let address = core.read(|state| state.target(name).map(|record| record.address));
    if let Some(address) = address {
        core.client.close_idle(address);
    }
}

/// The state of the exponential backoff between failed calls.
#[derive(Default)]
struct RetryBackoff {
    failing_since: Option<ClockTime>,
    delay: ClockSpan,
}

impl RetryBackoff {
    fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    fn record_success<P: PlatformAdapter>(&mut self, core: &SharedCore<P>) {
        if let Some(since) = self.failing_since.take() {
            let away = core.now().since(since).as_ms();
            core.log.event("store_regained", &format!("away_ms={away}"));
        }
        self.delay = MIN_RETRY_DELAY;
    }

    async fn wait_after_failure<P: PlatformAdapter>(
        &mut self,
        core: &SharedCore<P>,
        error: &StoreError,
    ) {
        core.metrics.count("store.failures", 1);
        if self.failing_since.is_none() {
            self.failing_since = Some(core.now());
            let proof = core.read(|state| state.proof_age(core.now()).map(ClockSpan::as_ms));
            core.log.warn("store_lost", &format!("error={error} proof_age_ms={proof:?}"));
        }
        core.handle(ForwardEvent::StoreFailed);
        let delay = self.delay.max(MIN_RETRY_DELAY);
        core.sleep(delay).await;
        self.delay = ClockSpan::from_ms(delay.as_ms() * 2).min(MAX_RETRY_DELAY);
    }
}

/// Registers this router in the store and renews the lease of its entry until the process stops.
pub(crate) async fn maintain_entry<P: PlatformAdapter>(core: SharedCore<P>) {
    let mut lease = None;
    loop {
        if core.is_stopping() {
            return;
        }
        let (place, length) = {
            let settings = core.settings.borrow();
            (settings.forward.place.clone(), settings.entry_lease)
        };
        let renewed = match lease {
            None => register(&core, place, length).await,
            Some(lease) => match call(&core, &StoreCall::Renew { lease }).await {
                Ok(StoreAnswer::Conflict) => None,
                Ok(_) | Err(_) => Some(lease),
            },
        };
        lease = renewed;
        // Renewing after a third of the lease leaves time for two more attempts.
        let pause = match lease {
            Some(_) => ClockSpan::from_ms(length.as_ms() / 3),
            None => MAX_RETRY_DELAY,
        };
        let is_lost = timeout_at(core.deadline(pause), core.write_entry.notified()).await.is_ok();
        if is_lost {
            core.sleep(core.update(|state| state.entry_delay())).await;
            lease = None;
        }
    }
}

async fn register<P: PlatformAdapter>(
    core: &SharedCore<P>,
    place: godwitroad_forward::PeerPlace,
    length: ClockSpan,
) -> Option<u64> {
    let granted = call(core, &StoreCall::Grant { length }).await;
    let Ok(StoreAnswer::Granted { lease, .. }) = granted else { return None };
    match call(core, &StoreCall::Register { place, lease }).await {
        Ok(StoreAnswer::Written { .. }) => Some(lease),
        Ok(_) | Err(_) => None,
    }
}

/// Removes this router's own entry from the store.
pub(crate) async fn deregister<P: PlatformAdapter>(core: &SharedCore<P>) {
    let vm = core.settings.borrow().forward.place.vm.clone();
    if let Err(error) = call(core, &StoreCall::Deregister { vm }).await {
        // The store removes the entry when its lease expires.
        core.log.warn("sign_off_failed", &format!("error={error}"));
    }
}
