//! The random number generator of a balancer.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A random number generator whose numbers are the same for the same seed.
#[derive(Debug)]
pub(crate) struct SeededRandom(Pcg64Mcg);

impl SeededRandom {
    /// Creates a generator with a seed.
    pub(crate) fn new(seed: u64) -> Self {
        SeededRandom(Pcg64Mcg::seed_from_u64(seed))
    }

    fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a number from 0 up to and excluding 1.
    pub(crate) fn unit_interval(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number from 0 up to and excluding `bound`; 0 if that is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.bits()) * bound as u128) >> 64) as usize
    }
}
