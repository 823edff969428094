//! Prompts and their deterministic answers.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of prompt bytes that count as one token.
const TOKEN_BYTES: usize = 4;
/// Tokens per block of the prefix cache.
pub(crate) const BLOCK_TOKENS: usize = 16;
/// Shortest and longest answer to a request without a token limit, in tokens.
const NATURAL_TOKENS: std::ops::RangeInclusive<u64> = 4..=400;
/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "linen", "refill", "valve", "hem", "collar", "gauge", "indigo", "pressure", "pleat", "hose",
    "cotton", "seal", "drape", "bracket", "weave", "label",
];

/// Returns the prompt of a chat with the given pairs of role and content.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.extend([role, ": ", content, "\n"]);
    }
    prompt
}

/// Returns the length of a prompt, in tokens.
pub const fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(TOKEN_BYTES)
}

/// Returns the length of the answer to a request without a token limit, in tokens.
///
/// Lengths follow a log-uniform distribution over a hundredfold range.
pub fn natural_tokens(prompt: &str) -> usize {
    let fraction = xxh3_64_with_seed(prompt.as_bytes(), 1) as f64 / u64::MAX as f64;
    let (shortest, longest) = (*NATURAL_TOKENS.start() as f64, *NATURAL_TOKENS.end() as f64);
    (shortest * (longest / shortest).powf(fraction)) as usize
}

/// Returns the answer of `tokens` tokens to a prompt.
pub fn expected_completion(prompt: &str, tokens: usize) -> String {
    let digest = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Returns the token at `index` of the answer to the prompt with the given digest.
pub(crate) fn token(digest: u64, index: usize) -> String {
    let hash = xxh3_64_with_seed(&(index as u64).to_le_bytes(), digest);
    let word = WORDS[hash as usize % WORDS.len()];
    format!("{word}{} ", hash >> 56)
}

/// Returns the digest of a prompt, from which its answer is generated.
pub(crate) fn digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns a hash for each complete block of a prompt. Each hash also covers the preceding blocks.
pub(crate) fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    blocks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}
