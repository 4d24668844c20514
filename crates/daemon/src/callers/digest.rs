//! Digests that bind a cursor to its request and to the text already read.

use comfreymast_base::Model;
use sha2::{Digest, Sha256};

/// The digest of a text without tokens.
pub(crate) const EMPTY_TEXT: u64 = 0;

/// The digest of the model, the prompt and the token limit of a request.
pub(crate) fn of_request(model: &Model, prompt: &str, max_tokens: u32) -> u64 {
    let hash = Sha256::new()
        .chain_update((model.as_str().len() as u64).to_be_bytes())
        .chain_update(model.as_str())
        .chain_update(max_tokens.to_be_bytes())
        .chain_update(prompt);
    first_u64(hash)
}

/// Extends the `digest` of a text by one token.
pub(crate) fn with_token(digest: u64, token: &str) -> u64 {
    first_u64(Sha256::new().chain_update(digest.to_be_bytes()).chain_update(token))
}

fn first_u64(hash: Sha256) -> u64 {
    let bytes = hash.finalize();
    bytes.iter().take(size_of::<u64>()).fold(0, |value, byte| (value << 8) | u64::from(*byte))
}
