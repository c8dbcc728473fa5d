//! Deterministic generated text, so that tests can verify a response whichever engines produced it.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "wind ", "rope ", "pane ", "crew ", "quote ", "round ", "sheet ", "north ", "club ", "coach ",
    "size ", "shirt ", "stripe ", "collar ", "order ", "parent ",
];

pub fn token_at(model: &str, prompt: &[u8], position: u64) -> String {
    let seed = xxh3_64(prompt) ^ xxh3_64(model.as_bytes());
    let hash = xxh3_64(&(seed ^ position.wrapping_mul(0x9e37_79b9)).to_le_bytes());
    format!("{position}{}", WORDS[(hash % WORDS.len() as u64) as usize])
}
