//! Fencing tokens, which order the attempts at one generation: the higher fence is the newer.
//!
//! The high bits order the readers, the low bits the attempts for one reader. A daemon that still
//! serves a reader who has moved to another daemon therefore stays below the new reader's fence,
//! however many attempts it makes.

const ATTEMPT_BITS: u32 = 12;
const TIE_BITS: u32 = 8;

/// The fence of a new generation.
pub(crate) fn first() -> u64 {
    1 << ATTEMPT_BITS
}

/// The fence of the next attempt for the same reader.
pub(crate) fn next_attempt(fence: u64) -> u64 {
    // The number of attempts is bounded far below what `ATTEMPT_BITS` can count.
    fence + 1
}

/// The fence of a reader who resumes with a cursor.
///
/// Two readers with the same cursor get different fences, the later one the higher, as far as the
/// clocks of their daemons agree. The lower one is refused or replaced, so that their tokens never
/// mix.
pub(crate) fn next_reader(fence: u64, now_unix_ms: u64) -> u64 {
    let tie_breaker = u64::from(rand::random::<u8>());
    let newest = (now_unix_ms << TIE_BITS) | tie_breaker;
    let reader = (fence >> ATTEMPT_BITS) + 1;
    reader.max(newest) << ATTEMPT_BITS
}
