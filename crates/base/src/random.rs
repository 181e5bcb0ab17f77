//! Seeded random numbers.
//!
//! State machines never use the system's entropy source: the same seed must produce the same actions, so that a
//! failure found with a seed can be reproduced.

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// A random number generator whose sequence is determined by its seed.
#[derive(Clone, Debug)]
pub struct SeededRandom(ChaCha8Rng);

impl SeededRandom {
    /// Returns the generator for `seed`.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a new generator, seeded by this one's next value, whose sequence is independent of its later values.
    pub fn fork(&mut self) -> SeededRandom {
        SeededRandom::new(self.next_u64())
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a uniformly distributed number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        // The multiply-shift method has a bias below bound / 2^64, which is negligible for the bounds used here.
        ((u128::from(self.next_u64()) * u128::from(bound)) >> 64) as u64
    }

    /// Returns a uniformly distributed number in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns `true` with probability `chance`.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.fraction() < chance
    }
}
