//! Rendezvous hashing: assigns each key to one of several nodes.
//!
//! Each node is scored by a hash of the key and the node's name, and the node with the highest score owns the key.
//! When a node is removed, only its own keys move, and each moves to the node that had the second highest score for it.
//! A backup copy on that second node is therefore already where it is needed when the first node fails.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `name` for `key`; the name with the highest score owns the key.
pub fn score(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the indices of `names` in descending order of their scores for `key`; the first one is the owner.
pub fn rank<T: AsRef<str>>(key: u64, names: &[T]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..names.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(sort_key(key, names, index)));
    order
}

/// Returns the index in `names` of the owner of `key`, or `None` if there are no names.
pub fn owner<T: AsRef<str>>(key: u64, names: &[T]) -> Option<usize> {
    (0..names.len()).max_by_key(|&index| sort_key(key, names, index))
}

// Equal scores are ordered by name, so that the result never depends on the order of `names`.
fn sort_key<T: AsRef<str>>(key: u64, names: &[T], index: usize) -> (u64, &str) {
    let name = names[index].as_ref();
    (score(key, name), name)
}
