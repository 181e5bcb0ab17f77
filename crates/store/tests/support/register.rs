//! Linearizability of the history of one key, after Wing and Gong.
//!
//! The search takes any operation that began before every remaining one ended as the next one, and remembers which
//! sets of operations it has tried with which state.

use std::collections::HashSet;

use godwitroad_base::ClockTime;

/// What a client did to the key; values are unique numbers, zero stands for no value.
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

/// Returns whether some order of the calls that keeps the real-time order explains every result.
pub(crate) fn is_linearizable(calls: &[RegisterCall]) -> bool {
    assert!(calls.len() <= 128);
    let all = if calls.len() == 128 { u128::MAX } else { (1u128 << calls.len()) - 1 };
    search(calls, all, 0, &mut HashSet::new())
}

fn search(calls: &[RegisterCall], left: u128, state: u64, seen: &mut HashSet<(u128, u64)>) -> bool {
    let is_left = |index: &usize| left >> index & 1 == 1;
    // A write without a result may never take effect, so that it alone need not be placed.
    let optional = |index: &usize| matches!(calls[*index].op, RegisterOp::MayHaveWritten { .. });
    if (0..calls.len()).filter(is_left).all(|index| optional(&index)) {
        return true;
    }
    if !seen.insert((left, state)) {
        return false;
    }
    let horizon = (0..calls.len())
        .filter(is_left)
        .filter(|index| !optional(index))
        .map(|index| calls[index].ended)
        .min()
        .unwrap_or(ClockTime::ZERO);
    (0..calls.len()).filter(is_left).any(|index| {
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
        call.began <= horizon
            && next.is_some_and(|next| search(calls, left & !(1 << index), next, seen))
    })
}
