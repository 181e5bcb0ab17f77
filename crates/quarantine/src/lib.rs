//! Finds the parts of prompts that crash targets, and withholds requests that contain them.
//!
//! A target that crashes ends all its requests, so a crash casts suspicion on every part of their prompts. A part is
//! withheld after several crashes in different moments with no complete answer in between: sound parts are cleared by
//! the answers that complete, a part that crashes every target never is. Crashes in the same moment count once, as a
//! rack or a release takes many targets down whatever they run.
//!
//! The crate is deterministic and does no I/O: its caller passes in the time and exchanges reports between routers.

mod completion;
mod digest;
mod evidence;
mod notes;
mod outage;
mod part;
mod settings;
mod suspect;
mod table;

pub use digest::RequestDigest;
pub use notes::{CrashReport, QuarantineNotes};
pub use part::PartKey;
pub use settings::QuarantineSettings;
pub use suspect::{AnswerPhase, PartCrash};
pub use table::{PartVerdict, QuarantineTable, WithheldPart};
