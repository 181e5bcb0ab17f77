//! The deterministic text of answers.
//!
//! Each token's text is derived from the prompt and the token's index, so that a test that knows the prompt can detect a
//! duplicated token, a lost one or one of another answer from the text alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the text of the token at `index` in the answer to `prompt`.
pub fn token_text(prompt: &[u8], index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt, index) as u32;
    format!(" {index}:{hash:08x}")
}

/// Returns the text of the first `tokens` tokens of the answer to `prompt`.
pub fn answer_text(prompt: &[u8], tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}
