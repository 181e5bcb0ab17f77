//! Why a stream cannot be continued for a caller.

use thiserror::Error;

/// The result of an operation on a stream.
pub type Result<T> = std::result::Result<T, StreamError>;

/// Why a stream cannot be continued for a caller.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The event id is not one that a router gives.
    #[error("an event id has the form <request id>-<number>")]
    EventIdInvalid,
    /// The events after the caller's last one are no longer held.
    #[error("the events after number {after} are no longer held; the oldest is number {oldest}")]
    EventsDropped {
        /// The last event that the caller has.
        after: u64,
        /// The oldest event that is held.
        oldest: u64,
    },
    /// The caller names an event that was never sent.
    #[error("event number {after} was never sent; the newest is number {newest}")]
    EventsUnknown {
        /// The event that the caller names.
        after: u64,
        /// The newest event.
        newest: u64,
    },
}
