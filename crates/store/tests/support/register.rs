//! Linearizability check of the history of one key with the algorithm of Wing and Gong.
//!
//! The search tries as the next operation each one that began before the earliest end of the remaining operations, and
//! memoizes the pairs of remaining operations and state that it has visited.

use std::collections::HashSet;

use godwitroad_base::ClockTime;

/// An operation of a client on the key, with its result. Values are unique numbers; zero means no value.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum RegisterOp {
    Read(u64),
    Wrote { old: u64, new: u64 },
    Conflicted { old: u64, found: u64 },
    MayHaveWritten { old: u64, new: u64 },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterCall {
    pub(crate) began: ClockTime,
    pub(crate) ended: ClockTime,
    pub(crate) op: RegisterOp,
}

/// Returns whether the results of all calls match some sequential order that respects real time.
pub(crate) fn is_linearizable(calls: &[RegisterCall]) -> bool {
    assert!(calls.len() <= 128);
    let all = if calls.len() == 128 { u128::MAX } else { (1u128 << calls.len()) - 1 };
    search(calls, all, 0, &mut HashSet::new())
}

fn search(
    calls: &[RegisterCall],
    remaining: u128,
    state: u64,
    visited: &mut HashSet<(u128, u64)>,
) -> bool {
    let is_remaining = |index: &usize| remaining >> index & 1 == 1;
    // Only a write without a result may be left out of the order, because it may never take effect.
    let is_optional = |index: &usize| matches!(calls[*index].op, RegisterOp::MayHaveWritten { .. });
    if (0..calls.len()).filter(is_remaining).all(|index| is_optional(&index)) {
        return true;
    }
    if !visited.insert((remaining, state)) {
        return false;
    }
    let earliest_end = (0..calls.len())
        .filter(is_remaining)
        .filter(|index| !is_optional(index))
        .map(|index| calls[index].ended)
        .min()
        .unwrap_or(ClockTime::ZERO);
    (0..calls.len()).filter(is_remaining).any(|index| {
        let call = calls[index];
        let next = match call.op {
            RegisterOp::Read(value) => (value == state).then_some(state),
            RegisterOp::Wrote { old, new } | RegisterOp::MayHaveWritten { old, new } => {
                (old == state).then_some(new)
            }
            RegisterOp::Conflicted { old, found } => {
                (found == state && old != state).then_some(state)
            }
        };
        call.began <= earliest_end
            && next.is_some_and(|next| search(calls, remaining & !(1 << index), next, visited))
    })
}
