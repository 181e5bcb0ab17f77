//! Prompt pieces and the index of cached prefixes.
