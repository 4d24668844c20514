//! The text that the engine generates.
//!
//! Each new generation gets a unique mark, and every token is `mark.index `. Two marks in one
//! stream show that tokens of two generations were mixed. A resumed generation reuses the mark of
//! the tokens it continues.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::batch::Prefix;

/// The token at `index` of the generation with this mark.
#[must_use]
pub fn token(mark: &str, index: u32) -> Arc<str> {
    Arc::from(format!("{mark}.{index} "))
}

/// The mark of a token, or `None` if the token has none.
#[must_use]
pub fn mark(token: &str) -> Option<&str> {
    Some(token.split_once('.')?.0)
}

/// How many tokens a prompt asks for: the number after `tokens=`, or 16.
#[must_use]
pub fn output_tokens(prompt: &str) -> u32 {
    const DEFAULT_TOKENS: u32 = 16;
    let Some((_, rest)) = prompt.split_once("tokens=") else { return DEFAULT_TOKENS };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(DEFAULT_TOKENS)
}

/// How many tokens a prompt takes in memory: one per four bytes, rounded up.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    const BYTES_PER_TOKEN: usize = 4;
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The part of a prompt that other prompts may share: everything before the first empty line.
#[must_use]
pub fn prefix(prompt: &str) -> Option<Prefix> {
    let (shared, _) = prompt.split_once("\n\n")?;
    let mut hasher = DefaultHasher::new();
    shared.hash(&mut hasher);
    Some(Prefix { hash: hasher.finish(), tokens: prompt_tokens(shared) })
}

/// True when this prompt makes the engine process crash.
#[must_use]
pub fn crashes(prompt: &str) -> bool {
    prompt.contains("crash-the-engine")
}
