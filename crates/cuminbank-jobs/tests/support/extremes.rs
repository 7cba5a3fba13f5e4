//! Numbers at the edges of their ranges.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Returns a value that is likely to be at an edge of the range.
pub fn extreme_value(random: &mut ChaCha8Rng) -> u64 {
    match random.random_range(0..6) {
        0 => 0,
        1 => u64::from(u32::MAX),
        2 => u64::MAX,
        3 => 1 << 48,
        4 => random.random_range(0..5),
        _ => random.random(),
    }
}
