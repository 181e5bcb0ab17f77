//! The error type of the stream log.

use thiserror::Error;

/// The result of an operation on a stream.
pub type Result<T> = std::result::Result<T, StreamError>;

/// The reason why a stream can't be continued for a caller.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The text is not an event id in the form that routers write.
    #[error("an event id has the form <request id>-<number>")]
    EventIdInvalid,
    /// Events after the last one that the caller received are no longer in the log.
    #[error(
        "the events after number {after} are no longer in the log; the oldest one is number {oldest}"
    )]
    EventsDropped {
        /// The number of the last event that the caller received.
        after: u64,
        /// The number of the oldest event in the log.
        oldest: u64,
    },
    /// The caller gave the number of an event that was never sent.
    #[error("event number {after} was never sent; the newest one is number {newest}")]
    EventsUnknown {
        /// The number that the caller gave.
        after: u64,
        /// The number of the newest event in the log.
        newest: u64,
    },
}
