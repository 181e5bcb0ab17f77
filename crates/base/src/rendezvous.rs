//! Rendezvous hashing: which of several nodes owns a key.
//!
//! Each node is scored by a hash of the key and the node's name, and the highest score owns the key. When a node
//! leaves, only its own keys move, and each moves to the node that was second for it. The second node can
//! therefore hold a copy that is in the right place when the first one fails.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `name` for `key`; the highest score owns the key.
pub fn score(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the positions in `names` from the owner of `key` downwards.
pub fn rank<T: AsRef<str>>(key: u64, names: &[T]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..names.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(place(key, names, index)));
    order
}

/// Returns the position in `names` of the owner of `key`, or `None` when there are no names.
pub fn owner<T: AsRef<str>>(key: u64, names: &[T]) -> Option<usize> {
    (0..names.len()).max_by_key(|&index| place(key, names, index))
}

// The name breaks a tie of scores, so that the order never depends on the order of `names`.
fn place<T: AsRef<str>>(key: u64, names: &[T], index: usize) -> (u64, &str) {
    let name = names[index].as_ref();
    (score(key, name), name)
}
