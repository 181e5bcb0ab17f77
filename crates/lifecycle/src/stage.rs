//! The stages of a request and the transitions between them.

use std::marker::PhantomData;

use godwitroad_base::{ClockTime, RequestId};

/// A request in stage `S`.
///
/// A transition consumes the request, so no earlier stage of it can be reused.
#[derive(Debug)]
pub struct RequestLife<S> {
    id: RequestId,
    attempts: u32,
    may_have_run: bool,
    stage: S,
}

/// The request has arrived and has not been processed yet.
#[derive(Debug)]
pub struct Received;

/// Rate limit tokens are reserved for the request.
#[derive(Debug)]
pub struct Admitted {
    reserved: u64,
}

/// The request is waiting for a target.
#[derive(Debug)]
pub struct Queued {
    reserved: u64,
    since: ClockTime,
}

/// The request was passed to the code that calls the target, and it is not known yet whether a byte was sent.
#[derive(Debug)]
pub struct Offered<R> {
    queued: Queued,
    mode: PhantomData<R>,
}

/// A byte of the request may have reached the target.
#[derive(Debug)]
pub struct Dispatched<R> {
    queued: Queued,
    mode: PhantomData<R>,
}

/// The target has started to answer.
#[derive(Debug)]
pub struct Streaming<R> {
    queued: Queued,
    mode: PhantomData<R>,
}

/// The answer is complete.
#[derive(Debug)]
pub struct Finished;

/// The request certainly did not run.
#[derive(Debug)]
pub struct Refused;

/// The request may have run, and its outcome is unknown.
#[derive(Debug)]
pub struct Unknown;

/// Marks a request that may run more than once.
#[derive(Debug)]
pub enum Repeatable {}

/// Marks a request that must run at most once.
#[derive(Debug)]
pub enum RunOnce {}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Repeatable {}
    impl Sealed for super::RunOnce {}
}

/// Whether a request may run more than once: [`Repeatable`] or [`RunOnce`].
pub trait RepeatMode: sealed::Sealed {}

impl RepeatMode for Repeatable {}
impl RepeatMode for RunOnce {}

/// Evidence that an attempt did not run.
#[derive(Clone, Copy, Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns evidence that a failed attempt did not run, or `None` if it may have run.
    ///
    /// `sent` states whether a byte may have reached the target, and `rejected` whether the target itself stated that
    /// it ran no part of the request.
    pub fn from_failed_attempt(sent: bool, rejected: bool) -> Option<NotRunProof> {
        (!sent || rejected).then_some(NotRunProof(()))
    }
}

impl<S> RequestLife<S> {
    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the number of attempts so far, including the current one.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether a failed attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    fn replace_stage<T>(self, stage: T) -> RequestLife<T> {
        self.map_stage(|_| stage)
    }

    fn map_stage<T>(self, change: impl FnOnce(S) -> T) -> RequestLife<T> {
        let RequestLife { id, attempts, may_have_run, stage } = self;
        RequestLife { id, attempts, may_have_run, stage: change(stage) }
    }
}

impl RequestLife<Received> {
    /// Returns a request that has just arrived.
    pub fn new(id: RequestId) -> RequestLife<Received> {
        RequestLife { id, attempts: 0, may_have_run: false, stage: Received }
    }

    /// Records the number of rate limit tokens that are reserved for the request.
    pub fn admit(self, reserved: u64) -> RequestLife<Admitted> {
        self.replace_stage(Admitted { reserved })
    }

    /// Ends the request; it did not run.
    pub fn refuse(self) -> RequestLife<Refused> {
        self.replace_stage(Refused)
    }
}

impl RequestLife<Admitted> {
    /// Moves the request to the queue.
    pub fn enqueue(self, now: ClockTime) -> RequestLife<Queued> {
        let reserved = self.stage.reserved;
        self.replace_stage(Queued { reserved, since: now })
    }

    /// Ends the request; it did not run.
    pub fn refuse(self) -> RequestLife<Refused> {
        self.replace_stage(Refused)
    }
}

impl RequestLife<Queued> {
    /// Returns the number of rate limit tokens that are reserved for the request.
    pub fn reserved(&self) -> u64 {
        self.stage.reserved
    }

    /// Returns the time at which the request first entered the queue.
    pub fn since(&self) -> ClockTime {
        self.stage.since
    }

    /// Passes the request to the code that calls the target, for one attempt.
    pub fn offer<R: RepeatMode>(mut self) -> RequestLife<Offered<R>> {
        self.attempts += 1;
        self.map_stage(|queued| Offered { queued, mode: PhantomData })
    }

    /// Ends the request; it did not run.
    pub fn refuse(self) -> RequestLife<Refused> {
        self.replace_stage(Refused)
    }
}

impl<R: RepeatMode> RequestLife<Offered<R>> {
    /// Records that a byte may have reached the target.
    pub fn mark_sent(self) -> RequestLife<Dispatched<R>> {
        self.map_stage(|stage| Dispatched { queued: stage.queued, mode: PhantomData })
    }

    /// Returns the request to the queue after an attempt that certainly did not run.
    pub fn requeue(self, _proof: NotRunProof) -> RequestLife<Queued> {
        self.map_stage(|stage| stage.queued)
    }
}

impl<R: RepeatMode> RequestLife<Dispatched<R>> {
    /// Records that the target has started to answer.
    pub fn start(self) -> RequestLife<Streaming<R>> {
        self.map_stage(|stage| Streaming { queued: stage.queued, mode: PhantomData })
    }

    /// Ends the request after an attempt that certainly did not run.
    pub fn refuse(self, _proof: NotRunProof) -> RequestLife<Refused> {
        self.replace_stage(Refused)
    }

    /// Ends the request; it may have run.
    pub fn mark_unknown(self) -> RequestLife<Unknown> {
        self.replace_stage(Unknown)
    }
}

impl RequestLife<Dispatched<Repeatable>> {
    /// Returns a repeatable request to the queue for another attempt.
    pub fn retry(mut self) -> RequestLife<Queued> {
        self.may_have_run = true;
        self.map_stage(|stage| stage.queued)
    }
}

impl<R: RepeatMode> RequestLife<Streaming<R>> {
    /// Ends the request with a complete answer.
    pub fn finish(self) -> RequestLife<Finished> {
        self.replace_stage(Finished)
    }

    /// Ends the request with an incomplete answer.
    pub fn mark_unknown(self) -> RequestLife<Unknown> {
        self.replace_stage(Unknown)
    }
}

impl RequestLife<Streaming<Repeatable>> {
    /// Returns a repeatable request to the queue, so that another target can continue its answer.
    pub fn resume(mut self) -> RequestLife<Queued> {
        self.may_have_run = true;
        self.map_stage(|stage| stage.queued)
    }
}
