//! Tests of request IDs, rendezvous hashing, clock arithmetic and seeded random numbers.
//!
//! Two nodes with the same view of the fleet must derive the same identifiers and the same owners.

use godwitroad_base::{ClockSpan, ClockTime, NodeId, RequestId, SeededRandom, rendezvous};
use proptest::prelude::*;
use yare::parameterized;

proptest! {
    #[test]
    fn request_id_round_trips_through_text(node: u64, serial: u64) {
        let id = RequestId { node, serial };
        prop_assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
    }

    #[test]
    fn rank_is_independent_of_the_order_of_names(key: u64, seed: u64) {
        let names: Vec<String> = (0..7).map(|index| format!("vm-{index}")).collect();
        let mut shuffled = names.clone();
        let mut random = SeededRandom::new(seed);
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, random.below(index as u64 + 1) as usize);
        }
        let by_name = |list: &[String]| -> Vec<String> {
            rendezvous::rank(key, list).into_iter().map(|index| list[index].clone()).collect()
        };
        prop_assert_eq!(by_name(&names), by_name(&shuffled));
    }

    #[test]
    fn removed_node_moves_only_its_own_keys_to_their_second_rank(key: u64, removed in 0usize..6) {
        let names: Vec<String> = (0..6).map(|index| format!("vm-{index}")).collect();
        let before = rendezvous::rank(key, &names);
        let others: Vec<String> =
            names.iter().filter(|name| **name != names[removed]).cloned().collect();
        let after = &others[rendezvous::owner(key, &others).unwrap()];
        let expected = if before[0] == removed { before[1] } else { before[0] };
        prop_assert_eq!(after, &names[expected]);
    }

    #[test]
    fn below_returns_numbers_below_its_bound(seed: u64, bound in 1u64..) {
        prop_assert!(SeededRandom::new(seed).below(bound) < bound);
    }
}

#[parameterized(
    empty = { "" },
    short = { "0123" },
    signed = { "+123456789abcdef0123456789abcdef" },
    letters = { "zz23456789abcdef0123456789abcdef" },
)]
fn malformed_request_id_is_an_error(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

#[test]
fn incarnations_of_one_vm_have_different_tags() {
    assert_ne!(NodeId::new("vm-1", 1).tag(), NodeId::new("vm-1", 2).tag());
}

#[test]
fn span_since_a_later_time_is_zero() {
    assert_eq!(ClockTime::from_ms(5).since(ClockTime::from_ms(9)), ClockSpan::ZERO);
}

#[test]
fn same_seed_gives_the_same_numbers() {
    let mut first = SeededRandom::new(7);
    let mut second = SeededRandom::new(7);
    let same = (0..100).all(|_| first.next_u64() == second.next_u64());
    assert!(same && SeededRandom::new(8).next_u64() != SeededRandom::new(7).next_u64());
}
