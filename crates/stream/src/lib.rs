//! A resumable log of the events of a streamed answer.
//!
//! A caller must receive every event of its answer once and in order, or see that the answer was interrupted. The
//! router therefore numbers the events itself, keeps a bounded log of them, and accepts tokens only from the current
//! attempt. If an engine fails, the log returns the text from which another engine continues. If a caller reconnects,
//! the log returns the events that the caller has not received.

mod error;
mod event_id;
mod log;
mod origin;

pub use error::{Result, StreamError};
pub use event_id::EventId;
pub use log::{LogSettings, ResumeText, StreamEvent, StreamLog, TokenBatch, TokenOutcome};
pub use origin::StreamOrigin;
