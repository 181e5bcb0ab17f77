//! The hash table below the index.
//!
//! Millions of entries must fit in little memory, so an entry is 12 bytes in two parallel arrays: a key of 64
//! bits and 32 bits of state. The table has a fixed number of slots, linear probing and backward-shift deletion.
//! One key stands for a block and a group of 64 targets. A block that every target holds therefore makes runs of
//! at most 64 slots, and one probe finds all holders in a group.

/// The number of targets that share one probe.
pub(crate) const GROUP_TARGETS: usize = 64;

/// The share of slots that may be in use, in percent.
///
/// The slots that a probe visits grow with the square of the free share. With 53%, an entry takes 22.7 bytes and a
/// probe visits about half the slots that it would visit with 65%.
const MAX_FILL_PERCENT: usize = 53;

const EMPTY: u64 = 0;

#[derive(Clone, Debug)]
pub(crate) struct EntryTable {
    keys: Vec<u64>,
    states: Vec<u32>,
    used: usize,
    limit: usize,
}

/// Returns the key of `block` in the target group `group`.
pub(crate) fn entry_key(block: u64, group: usize) -> u64 {
    let spread = (group as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (block ^ spread).max(1)
}

impl EntryTable {
    pub(crate) fn new(limit: usize) -> EntryTable {
        let limit = limit.max(16);
        let slots = limit * 100 / MAX_FILL_PERCENT + 1;
        EntryTable { keys: vec![EMPTY; slots], states: vec![0; slots], used: 0, limit }
    }

    pub(crate) fn len(&self) -> usize {
        self.used
    }

    pub(crate) fn slots(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.used >= self.limit
    }

    pub(crate) fn bytes(&self) -> usize {
        self.keys.capacity() * size_of::<u64>() + self.states.capacity() * size_of::<u32>()
    }

    fn home_slot(&self, key: u64) -> usize {
        ((u128::from(key) * self.keys.len() as u128) >> 64) as usize
    }

    fn next_slot(&self, slot: usize) -> usize {
        if slot + 1 == self.keys.len() { 0 } else { slot + 1 }
    }

    /// Reads the first slot of each key, so that the processor fetches all of them at once.
    ///
    /// The probes of a lookup depend on memory that is seldom cached. One after another, each would wait for its
    /// own fetch.
    pub(crate) fn prefetch(&self, keys: impl Iterator<Item = u64>) {
        let sum = keys.fold(0u64, |sum, key| {
            let home_slot = self.home_slot(key);
            sum ^ self.keys[home_slot] ^ u64::from(self.states[home_slot])
        });
        std::hint::black_box(sum);
    }

    /// Calls `visit` with the state of each entry under `key`.
    pub(crate) fn for_each(&self, key: u64, mut visit: impl FnMut(u32)) {
        let home_slot = self.home_slot(key);
        // Slices spare the check of each position; a run seldom reaches the end of the table.
        let mut scan = |keys: &[u64], states: &[u32]| {
            for (&found, &state) in keys.iter().zip(states) {
                if found == key {
                    visit(state);
                } else if found == EMPTY {
                    return true;
                }
            }
            false
        };
        if !scan(&self.keys[home_slot..], &self.states[home_slot..]) {
            scan(&self.keys[..home_slot], &self.states[..home_slot]);
        }
    }

    /// Returns the slot of the entry under `key` whose state satisfies `matches`.
    pub(crate) fn find(&self, key: u64, matches: impl Fn(u32) -> bool) -> Option<usize> {
        let mut slot = self.home_slot(key);
        while self.keys[slot] != EMPTY {
            if self.keys[slot] == key && matches(self.states[slot]) {
                return Some(slot);
            }
            slot = self.next_slot(slot);
        }
        None
    }

    /// Returns the key and state in `slot`, or `None` when it is empty.
    pub(crate) fn entry_at(&self, slot: usize) -> Option<(u64, u32)> {
        (self.keys[slot] != EMPTY).then(|| (self.keys[slot], self.states[slot]))
    }

    pub(crate) fn set_state(&mut self, slot: usize, state: u32) {
        self.states[slot] = state;
    }

    /// Adds an entry; the caller has made room.
    pub(crate) fn insert(&mut self, key: u64, state: u32) {
        debug_assert!(!self.is_full(), "the caller evicts before it inserts");
        let mut slot = self.home_slot(key);
        while self.keys[slot] != EMPTY {
            slot = self.next_slot(slot);
        }
        self.keys[slot] = key;
        self.states[slot] = state;
        self.used += 1;
    }

    /// Removes the entry in `slot` and closes the run behind it.
    pub(crate) fn remove(&mut self, slot: usize) {
        let count = self.keys.len();
        let distance =
            |from: usize, to: usize| if to >= from { to - from } else { to + count - from };
        let mut hole = slot;
        let mut next = self.next_slot(slot);
        while self.keys[next] != EMPTY {
            // An entry moves back only if the hole isn't before its home.
            let home_slot = self.home_slot(self.keys[next]);
            if distance(home_slot, next) >= distance(hole, next) {
                self.keys[hole] = self.keys[next];
                self.states[hole] = self.states[next];
                hole = next;
            }
            next = self.next_slot(next);
        }
        self.keys[hole] = EMPTY;
        self.used -= 1;
    }
}
