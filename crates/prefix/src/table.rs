//! Hash table of the index entries.
//!
//! The table must hold millions of entries in little memory. A slot therefore takes 12 bytes in two parallel arrays:
//! a key of 64 bits and a state of 32 bits. The table has a fixed number of slots, linear probing and backward-shift
//! deletion. A key stands for a block and a group of 64 targets. A block that every target has cached therefore takes
//! runs of at most 64 slots, and one probe finds all targets of a group that have it.

/// The number of targets whose entries for a block share one key.
pub(crate) const GROUP_TARGETS: usize = 64;

/// The maximum load factor of the table in percent.
///
/// The number of slots that a probe visits grows with the inverse square of the share of free slots. At 53%, an entry
/// takes 22.7 bytes of memory, and a probe visits about half as many slots as at 65%.
const MAX_FILL_PERCENT: usize = 53;

const EMPTY: u64 = 0;

#[derive(Clone, Debug)]
pub(crate) struct EntryTable {
    keys: Vec<u64>,
    states: Vec<u32>,
    used: usize,
    limit: usize,
}

/// Returns the key of the block with the short hash `block` for the group of targets `group`.
///
/// The same operation on a key returns the short hash, because it combines both by an exclusive or.
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

    /// Reads the home slot of each key, so that the processor loads all of them into its cache in parallel.
    ///
    /// The slots that a lookup probes are rarely in the cache of the processor, and successive probes would each wait
    /// for their own load.
    pub(crate) fn prefetch(&self, keys: impl Iterator<Item = u64>) {
        let sum = keys.fold(0u64, |sum, key| {
            let home_slot = self.home_slot(key);
            sum ^ self.keys[home_slot] ^ u64::from(self.states[home_slot])
        });
        std::hint::black_box(sum);
    }

    /// Calls `visit` with the state of each entry with the key `key`.
    pub(crate) fn for_each(&self, key: u64, mut visit: impl FnMut(u32)) {
        let home_slot = self.home_slot(key);
        // Iteration over slices avoids a bounds check per slot; a run rarely wraps around the end of the table.
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

    /// Returns the slot of the first entry with the key `key` whose state satisfies `matches`.
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

    /// Returns the key and the state in `slot`, or `None` if the slot is empty.
    pub(crate) fn entry_at(&self, slot: usize) -> Option<(u64, u32)> {
        (self.keys[slot] != EMPTY).then(|| (self.keys[slot], self.states[slot]))
    }

    pub(crate) fn set_state(&mut self, slot: usize, state: u32) {
        self.states[slot] = state;
    }

    /// Adds an entry; the caller must ensure that the table isn't full.
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

    /// Removes the entry in `slot` and shifts later entries of its run back.
    pub(crate) fn remove(&mut self, slot: usize) {
        let count = self.keys.len();
        let distance =
            |from: usize, to: usize| if to >= from { to - from } else { to + count - from };
        let mut hole = slot;
        let mut next = self.next_slot(slot);
        while self.keys[next] != EMPTY {
            // An entry may not move to a slot before its home slot, where a probe would not find it.
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
