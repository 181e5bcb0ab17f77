//! The id that a caller sees on each event of a stream.

use std::{fmt, str::FromStr};

use godwitroad_base::RequestId;

use crate::error::StreamError;

/// The id of one event: the request and the event's number, counted from one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EventId {
    /// The request.
    pub request: RequestId,
    /// The number of the event.
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
