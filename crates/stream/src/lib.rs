//! Numbered event streams and their resumption.
//!
//! A caller must get every event of its own answer once and in order, or see that the answer broke off. The
//! router therefore numbers events itself, keeps a bounded log of them, and takes tokens only from the attempt
//! that is current. When an engine dies, the log says from where another engine has to go on; when a caller
//! returns, it says what the caller has missed.

mod error;
mod event_id;
mod log;

pub use error::{Result, StreamError};
pub use event_id::EventId;
pub use log::{LogSettings, ResumeText, StreamEvent, StreamLog, TokenBatch, TokenOutcome};
