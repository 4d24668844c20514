//! Fences: which order of a generation is the newer one.
//!
//! The high bits order readers, the low bits the attempts for one reader. A daemon that goes on
//! for a reader who has moved to another daemon therefore stays below the new reader's fence,
//! however many attempts it makes.

const ATTEMPT_BITS: u32 = 12;
const TIE_BITS: u32 = 8;

/// The fence of a fresh generation.
pub(crate) fn first() -> u64 {
    1 << ATTEMPT_BITS
}

/// The fence of the next attempt for the same reader.
pub(crate) fn next_attempt(fence: u64) -> u64 {
    // Attempts are bounded far below the capacity of their bits.
    fence + 1
}

/// The fence of a reader who comes back with a cursor.
///
/// Two readers with one cursor get different fences, the later one the higher, as far as the
/// clocks of their daemons agree; the lower is refused or replaced, never mixed in.
pub(crate) fn next_reader(fence: u64, now_unix_ms: u64) -> u64 {
    let tie = u64::from(rand::random::<u8>());
    let newest = (now_unix_ms << TIE_BITS) | tie;
    let reader = (fence >> ATTEMPT_BITS) + 1;
    reader.max(newest) << ATTEMPT_BITS
}
