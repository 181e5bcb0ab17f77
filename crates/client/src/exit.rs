//! The exit codes, by which scripts tell what happened.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum ExitKind {
    /// The command did what it was asked for.
    Done = 0,
    /// The command failed for a reason without a code of its own, such as an unreadable file.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The document isn't a configuration or has mistakes.
    Mistakes = 3,
    /// Another change was accepted first; nothing was changed by this command.
    Conflict = 4,
    /// The store can't be reached or refused; nothing was changed by this command.
    StoreUnavailable = 5,
    /// The store didn't say whether the change was accepted; repeating it with the same change id settles it.
    Unknown = 6,
    /// The change was accepted but isn't in force everywhere yet.
    NotInForce = 7,
    /// No router answered.
    RoutersUnavailable = 8,
    /// The documents differ.
    Different = 9,
    /// What was asked for doesn't exist.
    NotFound = 10,
}

impl ExitKind {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns whether the report belongs on standard error.
    pub fn is_failure(self) -> bool {
        !matches!(self, ExitKind::Done | ExitKind::Different | ExitKind::NotInForce)
    }
}
