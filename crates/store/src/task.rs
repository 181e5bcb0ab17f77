//! The calls of one operation.
//!
//! This module contains the rules that resolve a lost answer, without queues and timers: depending on the outcome of a
//! call, an operation ends, reads the key, or sends its call again.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    operation::{
        ChangeDetector, OperationError, OperationReply, OperationSpec, Result, StoreOperation,
    },
    port::{KeyVersion, StoreEntry, StoreFailure, StoreOutcome, StoreReply, StoreRequest},
};

/// The purpose of the next call of an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskStep {
    /// The call that carries out the operation.
    Initial,
    /// The read of the key that resolves a write whose answer was lost.
    ReadBack,
    /// The poll for changes after a version.
    Poll(KeyVersion),
}

/// The next step of an operation after the outcome of a call.
#[derive(Debug)]
pub(crate) enum NextStep {
    /// The operation is complete.
    Done(Result<OperationReply>),
    /// A watch reports entries and removed keys and continues; `None` instead of removed keys marks a snapshot.
    Report(Vec<StoreEntry>, Option<Vec<crate::port::StoreKey>>),
    /// The next call is sent without delay.
    RetryNow,
    /// The next call is sent after a back-off.
    RetryAfterBackoff,
}

#[derive(Clone, Debug)]
pub(crate) struct StoreTask<T> {
    pub(crate) tag: T,
    pub(crate) spec: OperationSpec,
    pub(crate) deadline: Option<ClockTime>,
    pub(crate) step: TaskStep,
    /// The number of calls that have failed since the last answered one.
    pub(crate) failures: u32,
    /// Whether an earlier call of this write may have taken effect although it was not answered.
    pub(crate) may_have_applied: bool,
    pub(crate) not_before: ClockTime,
}

impl<T> StoreTask<T> {
    pub(crate) fn new(now: ClockTime, tag: T, spec: OperationSpec) -> StoreTask<T> {
        let is_watch = matches!(spec.operation, StoreOperation::Watch { .. });
        let deadline = (!is_watch).then(|| now + spec.timeout);
        StoreTask {
            tag,
            spec,
            deadline,
            step: TaskStep::Initial,
            failures: 0,
            may_have_applied: false,
            not_before: now,
        }
    }

    /// Returns the error with which the operation ends if its timeout expires now.
    pub(crate) fn error_when_abandoned(&self) -> OperationError {
        if self.may_have_applied { OperationError::Unknown } else { OperationError::NotDone }
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
                TaskStep::ReadBack,
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

    /// Handles the outcome of the call that was sent at `sent`.
    ///
    /// A granted lease is counted from `sent` and shortened by `drift_ppm`, the possible drift between the clocks of
    /// the router and of the service in parts per million.
    pub(crate) fn handle_outcome(
        &mut self,
        sent: ClockTime,
        drift_ppm: u64,
        outcome: StoreOutcome,
    ) -> NextStep {
        let reply = match outcome {
            Ok(reply) => reply,
            Err(StoreFailure::NotSent) => return self.retry_after_failure(),
            Err(StoreFailure::Rejected)
                if self.step == TaskStep::Initial && !self.may_have_applied =>
            {
                return NextStep::Done(Err(OperationError::Rejected));
            }
            // A rejected call doesn't show whether an earlier unanswered call of the same write took effect.
            Err(StoreFailure::Rejected | StoreFailure::Unknown) => {
                if self.is_write() {
                    self.may_have_applied |= self.step == TaskStep::Initial;
                    self.step = TaskStep::ReadBack;
                }
                return self.retry_after_failure();
            }
        };
        self.failures = 0;
        match &self.spec.operation {
            StoreOperation::Watch { .. } => self.handle_watch_reply(reply),
            StoreOperation::Cas { expected, change_detector, .. } => {
                let (expected, change_detector) = (*expected, *change_detector);
                self.handle_write_reply(reply, expected, change_detector)
            }
            StoreOperation::Delete { expected, .. } => {
                let expected = *expected;
                self.handle_delete_reply(reply, expected)
            }
            _ => NextStep::Done(final_reply(reply, sent, drift_ppm)),
        }
    }

    fn retry_after_failure(&mut self) -> NextStep {
        self.failures += 1;
        NextStep::RetryAfterBackoff
    }

    fn handle_watch_reply(&mut self, reply: StoreReply) -> NextStep {
        match reply {
            StoreReply::Entries { entries, removed, latest_version } => {
                let is_snapshot = self.step == TaskStep::Initial;
                self.step = TaskStep::Poll(latest_version);
                NextStep::Report(entries, (!is_snapshot).then_some(removed))
            }
            // The service no longer has the changes after the last version, so the keys must be listed again.
            StoreReply::Compacted => {
                self.step = TaskStep::Initial;
                NextStep::RetryNow
            }
            _ => self.retry_after_failure(),
        }
    }

    // Versions only increase, so a write that expects another version than the key has can no longer take effect. The
    // change detector shows whether it did: values contain a log of changes, so that a later value derived from the
    // written one also shows the change.
    fn handle_write_reply(
        &mut self,
        reply: StoreReply,
        expected: KeyVersion,
        change_detector: Option<ChangeDetector>,
    ) -> NextStep {
        let entry = match reply {
            StoreReply::Written(version) => {
                return NextStep::Done(Ok(OperationReply::Written { version, entry: None }));
            }
            StoreReply::Value(entry) | StoreReply::Conflict(entry) => entry,
            // The service compares versions before it checks the lease, so no earlier call of this write took effect,
            // and without the lease no later one can.
            StoreReply::LeaseNotFound => return NextStep::Done(Ok(OperationReply::LeaseNotFound)),
            _ => return self.retry_after_failure(),
        };
        let version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        let contains = |entry: &StoreEntry| {
            change_detector.is_some_and(|change_detector| {
                (change_detector.contains)(&entry.value, change_detector.change_id)
            })
        };
        match entry {
            // The change may also come from an earlier operation with the same change ID whose result was lost.
            Some(entry) if contains(&entry) => {
                NextStep::Done(Ok(OperationReply::Written { version, entry: Some(entry) }))
            }
            _ if self.step == TaskStep::ReadBack && version == expected => {
                self.step = TaskStep::Initial;
                NextStep::RetryNow
            }
            entry => NextStep::Done(Ok(OperationReply::Conflict(entry))),
        }
    }

    fn handle_delete_reply(&mut self, reply: StoreReply, expected: KeyVersion) -> NextStep {
        match reply {
            StoreReply::Written(_) => NextStep::Done(Ok(OperationReply::Deleted)),
            StoreReply::Value(None) | StoreReply::Conflict(None) => {
                NextStep::Done(Ok(OperationReply::Deleted))
            }
            StoreReply::Value(Some(entry)) if entry.version == expected => {
                self.step = TaskStep::Initial;
                NextStep::RetryNow
            }
            StoreReply::Value(entry) | StoreReply::Conflict(entry) => {
                NextStep::Done(Ok(OperationReply::Conflict(entry)))
            }
            _ => self.retry_after_failure(),
        }
    }
}

fn final_reply(reply: StoreReply, sent: ClockTime, drift_ppm: u64) -> Result<OperationReply> {
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
