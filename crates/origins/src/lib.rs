//! Remembers at which version of the targets' software (their *build*) each stream began.
//!
//! Targets of several builds may serve a service side by side, and what two builds write doesn't fit together. A stream
//! that broke must therefore go on at the build that began it, at whichever router its caller takes it up again.
//!
//! While one build alone serves, and no other one did for as long as a stream can be taken up, the build of any stream is
//! known without a record. Records are exchanged between routers, and saved in the store for the case that all routers
//! are lost, only for services where builds mix. A stream whose build is unknown there is not continued.
//!
//! The crate is deterministic and does no I/O: its caller passes in the time and exchanges notes between routers.

mod key;
mod notes;
mod table;

pub use key::{BuildTag, ServiceTag, StreamKey};
pub use notes::{BuildSighting, OriginNotes, StreamOrigin};
pub use table::{OriginSettings, OriginTable};
