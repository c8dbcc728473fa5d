//! The text that stand-in engines generate: fixed by model, prompt and position.
//!
//! So a test can tell whether an answer is whole, its caller's own, and well resumed, whichever
//! engine generated it.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "wind ", "rope ", "pane ", "crew ", "quote ", "round ", "sheet ", "north ", "club ", "coach ",
    "size ", "shirt ", "stripe ", "collar ", "order ", "parent ",
];

/// The token at a position.
pub fn token(model: &str, prompt: &[u8], position: u64) -> String {
    let seed = xxh3_64(prompt) ^ xxh3_64(model.as_bytes());
    let hash = xxh3_64(&(seed ^ position.wrapping_mul(0x9e37_79b9)).to_le_bytes());
    format!("{position}{}", WORDS[(hash % WORDS.len() as u64) as usize])
}
