//! Orders to targets under a fencing number.
