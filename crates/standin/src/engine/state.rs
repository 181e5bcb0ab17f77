//! The state that the request handlers and streams of one engine share.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use godwitroad_base::{BuildName, ClockSpan, ClockTime};
use tokio::sync::watch;

use super::{
    AnswerFault, EngineFaults, EngineSettings, PrefixCache, feed::CacheFeed, orders::OrderState,
    slots::SlotTable,
};

/// The state of one engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    core: Mutex<EngineCore>,
    started: Instant,
    // The current incarnation; a change ends all streams of earlier incarnations.
    incarnation: watch::Sender<u64>,
}

/// The mutable state of one engine, protected by one lock.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) cache: PrefixCache,
    pub(crate) feed: CacheFeed,
    pub(crate) slots: SlotTable,
    pub(crate) orders: OrderState,
    pub(crate) faults: EngineFaults,
    pub(crate) work: EngineWork,
    pub(crate) build: Option<BuildName>,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
}

/// Counters of the work that an engine did, for measurements and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct EngineWork {
    /// The requests that were accepted.
    pub taken: u64,
    /// The answers that were sent completely.
    pub finished: u64,
    /// The requests that ended early, because of a disconnect, a restart or a fault.
    pub cut: u64,
    /// The prompt blocks that were computed because they weren't cached.
    #[serde(rename = "computed_pieces")]
    pub computed_blocks: u64,
    /// The prompt blocks that were found in the cache.
    #[serde(rename = "cached_pieces")]
    pub cached_blocks: u64,
    /// The tokens that were generated.
    pub tokens: u64,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> EngineState {
        let core = EngineCore::new(&settings);
        let (incarnation, _) = watch::channel(settings.incarnation);
        EngineState { settings, core: Mutex::new(core), started: Instant::now(), incarnation }
    }

    // The data stays usable after a panic in another handler, so a poisoned lock is ignored.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.started.elapsed().as_millis() as u64)
    }

    pub(crate) fn incarnation(&self) -> u64 {
        *self.incarnation.borrow()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.incarnation.subscribe()
    }

    /// Starts a new incarnation with an empty cache and no requests; faults and work counters are kept, and so is the
    /// build if `build` is `None`.
    pub(crate) fn restart(&self, build: Option<BuildName>) {
        let mut core = self.lock();
        let faults = std::mem::take(&mut core.faults);
        let work = core.work;
        let build = build.or_else(|| core.build.take());
        *core = EngineCore { faults, work, build, ..EngineCore::new(&self.settings) };
        drop(core);
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Removes and returns the fault of the next answer.
    pub(crate) fn take_answer_fault(&self) -> AnswerFault {
        self.lock().faults.answers.pop_front().unwrap_or(AnswerFault::None)
    }

    /// Returns `span` multiplied by the active slow factor.
    pub(crate) fn apply_slow_factor(&self, span: ClockSpan) -> Duration {
        let factor = u64::from(self.lock().faults.slow_factor.max(1));
        Duration::from_millis(span.as_ms() * factor)
    }
}

impl EngineCore {
    fn new(settings: &EngineSettings) -> EngineCore {
        let models = settings.models.clone();
        EngineCore {
            cache: PrefixCache::new(settings.cache_blocks),
            feed: CacheFeed::new(settings.event_buffer, settings.event_delay),
            slots: SlotTable::new(settings.slots),
            orders: OrderState::new(settings.checks_fencing, settings.load_time, models),
            faults: EngineFaults::default(),
            work: EngineWork::default(),
            build: settings.build.clone(),
            headers: Vec::new(),
            body: String::new(),
        }
    }
}
