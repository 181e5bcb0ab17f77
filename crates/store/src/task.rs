//! One operation on its way through the calls that it needs.
//!
//! The rules by which a lost answer is settled are here, free of queues and timers: given what came of a call, an
//! operation ends, reads, or is sent again.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    operation::{
        ChangeDetector, OperationError, OperationReply, OperationSpec, Result, StoreOperation,
    },
    port::{KeyVersion, StoreEntry, StoreFailure, StoreOutcome, StoreReply, StoreRequest},
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskStep {
    /// The operation's own call.
    Main,
    /// The read that settles a write whose answer was lost.
    Settle,
    /// The wait for changes after a version.
    Poll(KeyVersion),
}

/// What follows from the outcome of a call.
#[derive(Debug)]
pub(crate) enum TaskNext {
    /// The operation ended.
    Done(Result<OperationReply>),
    /// A watch reports and goes on.
    Report(Vec<StoreEntry>, Option<Vec<crate::port::StoreKey>>),
    /// The next call follows at once.
    Again,
    /// The next call follows after a back-off.
    Later,
}

#[derive(Clone, Debug)]
pub(crate) struct StoreTask<T> {
    pub(crate) tag: T,
    pub(crate) spec: OperationSpec,
    pub(crate) deadline: Option<ClockTime>,
    pub(crate) step: TaskStep,
    pub(crate) failures: u32,
    /// Whether a call of this write may have reached the service without an answer.
    pub(crate) is_exposed: bool,
    pub(crate) not_before: ClockTime,
}

impl<T> StoreTask<T> {
    pub(crate) fn new(now: ClockTime, tag: T, spec: OperationSpec) -> StoreTask<T> {
        let is_watch = matches!(spec.operation, StoreOperation::Watch { .. });
        let deadline = (!is_watch).then(|| now + spec.wait);
        StoreTask {
            tag,
            spec,
            deadline,
            step: TaskStep::Main,
            failures: 0,
            is_exposed: false,
            not_before: now,
        }
    }

    /// Returns the error with which the operation ends when it is given up.
    pub(crate) fn surrender(&self) -> OperationError {
        if self.is_exposed { OperationError::Unknown } else { OperationError::NotDone }
    }

    pub(crate) fn is_write(&self) -> bool {
        matches!(self.spec.operation, StoreOperation::Cas { .. } | StoreOperation::Delete { .. })
    }

    pub(crate) fn request(&self) -> StoreRequest {
        match (&self.spec.operation, self.step) {
            (StoreOperation::Watch { prefix }, TaskStep::Poll(after)) => {
                StoreRequest::Watch { prefix: prefix.clone(), after }
            }
            (
                StoreOperation::Cas { key, .. } | StoreOperation::Delete { key, .. },
                TaskStep::Settle,
            )
            | (StoreOperation::Get { key }, _) => StoreRequest::Get { key: key.clone() },
            (StoreOperation::List { prefix } | StoreOperation::Watch { prefix }, _) => {
                StoreRequest::List { prefix: prefix.clone() }
            }
            (StoreOperation::Cas { key, value, expected, lease, .. }, _) => StoreRequest::Put {
                key: key.clone(),
                value: value.clone(),
                expected: Some(*expected),
                lease: *lease,
            },
            (StoreOperation::Delete { key, expected }, _) => {
                StoreRequest::Delete { key: key.clone(), expected: *expected }
            }
            (StoreOperation::Grant { ttl }, _) => StoreRequest::Grant { ttl: *ttl },
            (StoreOperation::KeepAlive { lease }, _) => StoreRequest::KeepAlive { lease: *lease },
        }
    }

    /// Takes the outcome of the call that was sent at `sent`.
    pub(crate) fn settle(
        &mut self,
        sent: ClockTime,
        drift_ppm: u64,
        outcome: StoreOutcome,
    ) -> TaskNext {
        let reply = match outcome {
            Ok(reply) => reply,
            Err(StoreFailure::NotSent) => return self.fail(),
            Err(StoreFailure::Rejected) if self.step == TaskStep::Main && !self.is_exposed => {
                return TaskNext::Done(Err(OperationError::Rejected));
            }
            Err(StoreFailure::Rejected | StoreFailure::Unknown) => {
                if self.is_write() {
                    self.is_exposed |= self.step == TaskStep::Main;
                    self.step = TaskStep::Settle;
                }
                return self.fail();
            }
        };
        self.failures = 0;
        match &self.spec.operation {
            StoreOperation::Watch { .. } => self.settle_watch(reply),
            StoreOperation::Cas { expected, change_detector, .. } => {
                let (expected, change_detector) = (*expected, *change_detector);
                self.settle_write(reply, expected, change_detector)
            }
            StoreOperation::Delete { expected, .. } => {
                let expected = *expected;
                self.settle_delete(reply, expected)
            }
            _ => TaskNext::Done(read_reply(reply, sent, drift_ppm)),
        }
    }

    fn fail(&mut self) -> TaskNext {
        self.failures += 1;
        TaskNext::Later
    }

    fn settle_watch(&mut self, reply: StoreReply) -> TaskNext {
        match reply {
            StoreReply::Entries { entries, removed, latest_version } => {
                let is_snapshot = self.step == TaskStep::Main;
                self.step = TaskStep::Poll(latest_version);
                TaskNext::Report(entries, (!is_snapshot).then_some(removed))
            }
            StoreReply::Compacted => {
                self.step = TaskStep::Main;
                TaskNext::Again
            }
            _ => self.fail(),
        }
    }

    // A version never returns to an earlier value, so that a write whose key is at another version won't take effect
    // any more. Whether it did is for the marker to show: values carry a log of changes, so that a later value that
    // was derived from this one shows it too.
    fn settle_write(
        &mut self,
        reply: StoreReply,
        expected: KeyVersion,
        change_detector: Option<ChangeDetector>,
    ) -> TaskNext {
        let entry = match reply {
            StoreReply::Written(version) => {
                return TaskNext::Done(Ok(OperationReply::Written { version, entry: None }));
            }
            StoreReply::Value(entry) | StoreReply::Conflict(entry) => entry,
            // The service compares versions first, so that no earlier call of this write took effect, and without
            // its lease none will.
            StoreReply::LeaseNotFound => return TaskNext::Done(Ok(OperationReply::LeaseNotFound)),
            _ => return self.fail(),
        };
        let version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        let holds = |entry: &StoreEntry| {
            change_detector.is_some_and(|change_detector| {
                (change_detector.holds)(&entry.value, change_detector.change)
            })
        };
        match entry {
            // An earlier operation with the same change id, whose result its owner never got, counts as well.
            Some(entry) if holds(&entry) => {
                TaskNext::Done(Ok(OperationReply::Written { version, entry: Some(entry) }))
            }
            _ if self.step == TaskStep::Settle && version == expected => {
                self.step = TaskStep::Main;
                TaskNext::Again
            }
            entry => TaskNext::Done(Ok(OperationReply::Conflict(entry))),
        }
    }

    fn settle_delete(&mut self, reply: StoreReply, expected: KeyVersion) -> TaskNext {
        match reply {
            StoreReply::Written(_) => TaskNext::Done(Ok(OperationReply::Deleted)),
            StoreReply::Value(None) | StoreReply::Conflict(None) => {
                TaskNext::Done(Ok(OperationReply::Deleted))
            }
            StoreReply::Value(Some(entry)) if entry.version == expected => {
                self.step = TaskStep::Main;
                TaskNext::Again
            }
            StoreReply::Value(entry) | StoreReply::Conflict(entry) => {
                TaskNext::Done(Ok(OperationReply::Conflict(entry)))
            }
            _ => self.fail(),
        }
    }
}

fn read_reply(reply: StoreReply, sent: ClockTime, drift_ppm: u64) -> Result<OperationReply> {
    match reply {
        StoreReply::Value(entry) => Ok(OperationReply::Value(entry)),
        StoreReply::Entries { entries, latest_version, .. } => {
            Ok(OperationReply::Entries { entries, latest_version })
        }
        StoreReply::Lease { lease, ttl } => {
            let drift = ttl.as_ms().saturating_mul(drift_ppm) / 1_000_000;
            let until = sent + ttl.saturating_sub(ClockSpan::from_ms(drift));
            Ok(OperationReply::Lease { lease, until })
        }
        StoreReply::LeaseNotFound => Ok(OperationReply::LeaseNotFound),
        _ => Err(OperationError::Rejected),
    }
}
