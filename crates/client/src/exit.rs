//! The exit codes, which tell scripts how a command ended.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum ExitKind {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that has no code of its own, such as an unreadable file.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The document isn't a configuration or doesn't pass validation.
    InvalidDocument = 3,
    /// Another change was accepted first; this command changed nothing.
    Conflict = 4,
    /// The store can't be reached or rejected the call; this command changed nothing.
    StoreUnavailable = 5,
    /// The store didn't say whether the change was accepted; repeating the command with the same change id is safe and
    /// shows the result.
    OutcomeUnknown = 6,
    /// The change was accepted but wasn't in force on all routers before the wait ended.
    NotInForce = 7,
    /// No router could be reached, or none returned its status.
    RoutersUnavailable = 8,
    /// The file differs from the current configuration.
    Different = 9,
    /// The requested account, key, request or list doesn't exist.
    NotFound = 10,
}

impl ExitKind {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns whether the report is an error, which is printed to standard error.
    pub fn is_failure(self) -> bool {
        !matches!(self, ExitKind::Success | ExitKind::Different | ExitKind::NotInForce)
    }
}
