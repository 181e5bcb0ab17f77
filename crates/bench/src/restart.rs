//! Over-admission and wrongful refusals.
