//! A caller's request from its first byte to the last byte of its answer.

mod attempt;
mod caller;
mod errors;
mod events;
mod stream;

pub(crate) use caller::answer;
