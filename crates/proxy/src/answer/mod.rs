//! The handling of a caller's request, from reading its head to sending the last byte of its answer.

mod attempt;
mod body;
mod caller;
mod errors;
mod events;
mod handover;
mod held;
mod stream;

pub(crate) use caller::answer;
