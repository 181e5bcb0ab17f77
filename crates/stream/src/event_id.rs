//! The id of an event in a stream.
//!
//! Callers receive it with each event and send the last one back to resume the stream.

use std::{fmt, str::FromStr};

use godwitroad_base::RequestId;

use crate::error::StreamError;

/// The id of one event, written as `<request id>-<number>`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EventId {
    /// The request that the stream answers.
    pub request: RequestId,
    /// The position of the event in the stream, counted from one.
    pub number: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.number)
    }
}

impl FromStr for EventId {
    type Err = StreamError;

    fn from_str(text: &str) -> Result<EventId, StreamError> {
        let (request, number) = text.split_once('-').ok_or(StreamError::EventIdInvalid)?;
        let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
        if !is_number {
            return Err(StreamError::EventIdInvalid);
        }
        let request = request.parse().map_err(|_| StreamError::EventIdInvalid)?;
        let number = number.parse().map_err(|_| StreamError::EventIdInvalid)?;
        Ok(EventId { request, number })
    }
}
